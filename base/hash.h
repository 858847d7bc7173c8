// 64-bit hashes by xxHash, used for rendezvous scores, chunk boundaries and
// request fingerprints. Not for secrets.
#ifndef GOLDCRESTLINK_BASE_HASH_H
#define GOLDCRESTLINK_BASE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestlink {

/// Hash of \p Data. Thread-safe.
uint64_t hash64(std::string_view Data, uint64_t Seed = 0);

/// Combines two hashes; not commutative. Thread-safe.
uint64_t mixHash(uint64_t A, uint64_t B);

/// Hex digest of 128 bits, for content addresses. Thread-safe.
std::string contentHash(std::string_view Data);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_HASH_H
