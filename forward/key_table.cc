// A hash table by seeded xxHash. Each key with an equal hash is compared in a
// time that depends on its length only, so response times do not tell how many
// bytes of a guess are right. A lookup hashes the caller's key once, whose
// length the header limit bounds.
#include "forward/key_table.h"

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {

// Compares all bytes. The volatile accumulator keeps the compiler from
// returning at the first difference.
bool equalInConstantTime(std::string_view A, std::string_view B) {
  if (A.size() != B.size())
    return false;
  volatile unsigned char Difference = 0;
  for (size_t I = 0; I < A.size(); ++I)
    Difference = static_cast<unsigned char>(
        Difference |
        (static_cast<unsigned char>(A[I]) ^ static_cast<unsigned char>(B[I])));
  return Difference == 0;
}

} // namespace

KeyTable::KeyTable(std::shared_ptr<const DeploymentConfig> InConfig,
                   uint64_t InSeed)
    : Config(std::move(InConfig)), Seed(InSeed) {
  if (!Config)
    return;
  for (const OrganisationSpec &O : Config->Organisations)
    for (const std::string &Key : O.Keys)
      if (!Key.empty() && !find(Key))
        ByHash.emplace(hash64(Key, Seed), Entry{Key, &O});
}

std::shared_ptr<const OrganisationSpec>
KeyTable::find(std::string_view Key) const {
  if (Key.empty())
    return nullptr;
  const auto [Begin, End] = ByHash.equal_range(hash64(Key, Seed));
  for (auto It = Begin; It != End; ++It)
    if (equalInConstantTime(It->second.Key, Key))
      return {Config, It->second.Organisation};
  return nullptr;
}

} // namespace goldcrestlink::forward
