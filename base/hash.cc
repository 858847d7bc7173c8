// Uses the XXH3 variants of xxHash. The cost is linear in the size of the
// input.
#include "base/hash.h"

#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace goldcrestlink {

uint64_t hash64(std::string_view Data, uint64_t Seed) {
  return XXH3_64bits_withSeed(Data.data(), Data.size(), Seed);
}

uint64_t mixHash(uint64_t First, uint64_t Second) {
  const uint64_t Pair[2] = {First, Second};
  return XXH3_64bits(Pair, sizeof(Pair));
}

std::string contentHash(std::string_view Data) {
  const XXH128_hash_t H = XXH3_128bits(Data.data(), Data.size());
  char Text[33];
  std::snprintf(Text, sizeof(Text), "%016llx%016llx",
                static_cast<unsigned long long>(H.high64),
                static_cast<unsigned long long>(H.low64));
  return Text;
}

} // namespace goldcrestlink
