// The adapter slots of one engine: what each holds, who uses it, and which may
// be replaced. A slot with a pin is never replaced.
//
//   SlotTable T(8);
//   auto I = T.victim(Now, Demand, /*Reserve=*/1);
//   T.beginLoad(*I, "stave-1@3", Hash);  T.finishLoad(*I, true);
//   T.pin(*I); ... T.unpin(*I);
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
  /// Requests that the engine runs with this adapter.
  uint32_t Pins = 0;
};

/// Not thread-safe. The number of slots is fixed.
class SlotTable {
public:
  explicit SlotTable(size_t Count) : Slots(Count) {}

  /// The slot that holds or loads \p Hash.
  std::optional<size_t> find(uint64_t Hash) const;
  bool ready(uint64_t Hash) const;
  /// The slot to replace: an empty one, else the unpinned one of least value.
  /// None if no more than \p Reserve slots could be replaced.
  std::optional<size_t> victim(Time N, const DemandTable &Demand,
                               size_t Reserve) const;
  /// Value of the slot that victim() would name; 0 for an empty one and
  /// infinite if there is none.
  double victimValue(Time N, const DemandTable &Demand) const;

  /// Precondition: the slot is unpinned and not loading.
  void beginLoad(size_t I, std::string Key, uint64_t Hash);
  /// Precondition: the slot is loading. A failed load leaves it empty.
  void finishLoad(size_t I, bool Loaded);
  /// Precondition: the slot is ready.
  void pin(size_t I);
  /// Precondition: the slot is pinned.
  void unpin(size_t I);
  /// Empties all slots after the engine lost them.
  void clear();

  const std::vector<Slot> &slots() const { return Slots; }

private:
  std::vector<Slot> Slots;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_PLACEMENT_SLOT_TABLE_H
