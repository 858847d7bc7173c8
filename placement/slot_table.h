// The adapter slots of one engine: which adapter version each slot holds, how
// many requests use it, and which slot to replace next. A pinned slot is never
// replaced.
//
//   SlotTable Slots(8);
//   auto Index = Slots.victim(Now, Demand, /*Reserve=*/1);
//   Slots.beginLoad(*Index, "stave-1@3", Hash);
//   Slots.finishLoad(*Index, true);
//   Slots.pin(*Index); ... Slots.unpin(*Index);
#ifndef GOLDCRESTLINK_PLACEMENT_SLOT_TABLE_H
#define GOLDCRESTLINK_PLACEMENT_SLOT_TABLE_H

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "placement/demand.h"

namespace goldcrestlink {

enum class SlotState { Empty, Loading, Ready };

struct Slot {
  SlotState State = SlotState::Empty;
  /// "adapter@version" and its hash.
  std::string Key;
  uint64_t Hash = 0;
  /// Number of requests that the engine runs with this adapter.
  uint32_t Pins = 0;
};

/// Not thread-safe. The number of slots is fixed.
class SlotTable {
public:
  explicit SlotTable(size_t Count) : Slots(Count) {}

  /// Index of the slot that holds or loads \p Hash; none if there is no such
  /// slot.
  std::optional<size_t> find(uint64_t Hash) const;
  /// True if the adapter version \p Hash is loaded.
  bool ready(uint64_t Hash) const;
  /// Index of the slot to replace: an empty slot if there is one, else the
  /// unpinned slot of least value. None if at most \p Reserve slots could be
  /// replaced.
  std::optional<size_t> victim(Time Now, const DemandTable &Demand,
                               size_t Reserve) const;
  /// Value of the slot that victim() returns with no reserve: 0 for an empty
  /// slot, infinity if no slot can be replaced.
  double victimValue(Time Now, const DemandTable &Demand) const;

  /// Preconditions: the slot is unpinned and not loading, and no slot holds or
  /// loads \p Hash.
  void beginLoad(size_t Index, std::string Key, uint64_t Hash);
  /// Precondition: the slot is loading. A failed load leaves it empty.
  void finishLoad(size_t Index, bool Loaded);
  /// Precondition: the slot is ready.
  void pin(size_t Index);
  /// Precondition: the slot is pinned.
  void unpin(size_t Index);
  /// Empties all slots, after the engine has lost its adapters.
  void clear();

  const std::vector<Slot> &slots() const { return Slots; }

private:
  std::vector<Slot> Slots;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_PLACEMENT_SLOT_TABLE_H
