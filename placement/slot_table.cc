// Every look-up scans all slots; an engine has only a few.
#include "placement/slot_table.h"

#include <cassert>
#include <limits>

namespace goldcrestlink {

std::optional<size_t> SlotTable::find(uint64_t Hash) const {
  for (size_t I = 0; I < Slots.size(); ++I)
    if (Slots[I].State != SlotState::Empty && Slots[I].Hash == Hash)
      return I;
  return std::nullopt;
}

bool SlotTable::ready(uint64_t Hash) const {
  const auto I = find(Hash);
  return I && Slots[*I].State == SlotState::Ready;
}

std::optional<size_t> SlotTable::victim(Time Now, const DemandTable &Demand,
                                        size_t Reserve) const {
  std::optional<size_t> Best;
  double BestValue = std::numeric_limits<double>::infinity();
  size_t Replaceable = 0;
  for (size_t I = 0; I < Slots.size(); ++I) {
    const Slot &S = Slots[I];
    if (S.Pins > 0 || S.State == SlotState::Loading)
      continue;
    ++Replaceable;
    const double Value =
        S.State == SlotState::Empty ? -1 : Demand.value(Now, S.Hash);
    if (Value < BestValue) {
      Best = I;
      BestValue = Value;
    }
  }
  return Replaceable > Reserve ? Best : std::nullopt;
}

double SlotTable::victimValue(Time Now, const DemandTable &Demand) const {
  const auto I = victim(Now, Demand, 0);
  if (!I)
    return std::numeric_limits<double>::infinity();
  return Slots[*I].State == SlotState::Empty
             ? 0
             : Demand.value(Now, Slots[*I].Hash);
}

void SlotTable::beginLoad(size_t Index, std::string Key, uint64_t Hash) {
  Slot &S = Slots[Index];
  assert(S.Pins == 0 && S.State != SlotState::Loading);
  assert(!find(Hash));
  S = Slot{SlotState::Loading, std::move(Key), Hash, 0};
}

void SlotTable::finishLoad(size_t Index, bool Loaded) {
  assert(Slots[Index].State == SlotState::Loading);
  if (Loaded)
    Slots[Index].State = SlotState::Ready;
  else
    Slots[Index] = Slot{};
}

void SlotTable::pin(size_t Index) {
  assert(Slots[Index].State == SlotState::Ready);
  ++Slots[Index].Pins;
}

void SlotTable::unpin(size_t Index) {
  assert(Slots[Index].Pins > 0);
  --Slots[Index].Pins;
}

void SlotTable::clear() {
  for (Slot &S : Slots)
    S = Slot{};
}

} // namespace goldcrestlink
