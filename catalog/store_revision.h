// A revision of the platform's store, which may come back from an older copy of
// its state and then gives out again the numbers that it had given out since.
//
//   if (Event.Revision < Known.Seen) ignore(Event);
#ifndef GOLDCRESTLINK_CATALOG_STORE_REVISION_H
#define GOLDCRESTLINK_CATALOG_STORE_REVISION_H

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace goldcrestlink {

/// Ordered by age. A number alone does not tell which of two states is newer.
struct StoreRevision {
  /// Rises by one each time that the store comes back from an older copy; 0 if
  /// the store names no era.
  uint64_t Era = 0;
  uint64_t Number = 0;

  bool operator==(const StoreRevision &) const = default;
  std::strong_ordering operator<=>(const StoreRevision &Other) const {
    return std::tie(Era, Number) <=> std::tie(Other.Era, Other.Number);
  }
  /// "ERA.NUMBER", for logs.
  std::string text() const {
    return std::to_string(Era) + "." + std::to_string(Number);
  }
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CATALOG_STORE_REVISION_H
