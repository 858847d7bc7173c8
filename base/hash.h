// Hashes by xxHash, used for rendezvous scores, chunk boundaries, request
// fingerprints and content addresses. Not cryptographic.
//
//   uint64_t Score = mixHash(hash64(Key), hash64(UpstreamId));
#ifndef GOLDCRESTLINK_BASE_HASH_H
#define GOLDCRESTLINK_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestlink {

/// 64-bit hash of \p Data. Thread-safe.
uint64_t hash64(std::string_view Data, uint64_t Seed = 0);

/// Combines two hashes; the order of the arguments matters. Thread-safe.
uint64_t mixHash(uint64_t First, uint64_t Second);

/// 128-bit hash of \p Data as 32 hexadecimal digits, for content addresses.
/// Thread-safe.
std::string contentHash(std::string_view Data);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_HASH_H
