// Finds the organisation that a caller's key identifies.
//
//   KeyTable Keys(Catalog->sharedConfig(), Seed);
//   if (Keys.areRequired())
//     if (auto Organisation = Keys.find(Call.Key)) ...
#ifndef GOLDCRESTLINK_FORWARD_KEY_TABLE_H
#define GOLDCRESTLINK_FORWARD_KEY_TABLE_H

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "catalog/types.h"

namespace goldcrestlink::forward {

/// The keys of one configuration. Immutable, so its methods are thread-safe.
class KeyTable {
public:
  /// Without a configuration: no key is required or known.
  KeyTable() = default;
  /// \p Seed should be random: it keeps callers from learning from response
  /// times which keys share a place in the table. \p Config may be null.
  KeyTable(std::shared_ptr<const DeploymentConfig> Config, uint64_t Seed);

  /// Whether requests of routes that are not public need a key.
  bool areRequired() const { return Config && !Config->Organisations.empty(); }
  /// The organisation of \p Key; null if the key is empty or unknown. If two
  /// organisations have the key, the one that the configuration names first.
  /// The result keeps the configuration that it belongs to.
  std::shared_ptr<const OrganisationSpec> find(std::string_view Key) const;

private:
  struct Entry {
    std::string_view Key;
    const OrganisationSpec *Organisation = nullptr;
  };

  std::shared_ptr<const DeploymentConfig> Config;
  uint64_t Seed = 0;
  // By the seeded hash of the key.
  std::unordered_multimap<uint64_t, Entry> ByHash;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_KEY_TABLE_H
