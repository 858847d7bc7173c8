// Engines have few slots, so every look-up is a scan of them.
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

std::optional<size_t> SlotTable::victim(Time N, const DemandTable &Demand,
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
        S.State == SlotState::Empty ? -1 : Demand.value(N, S.Hash);
    if (Value < BestValue) {
      Best = I;
      BestValue = Value;
    }
  }
  return Replaceable > Reserve ? Best : std::nullopt;
}

double SlotTable::victimValue(Time N, const DemandTable &Demand) const {
  const auto I = victim(N, Demand, 0);
  if (!I)
    return std::numeric_limits<double>::infinity();
  return Slots[*I].State == SlotState::Empty ? 0
                                             : Demand.value(N, Slots[*I].Hash);
}

void SlotTable::beginLoad(size_t I, std::string Key, uint64_t Hash) {
  Slot &S = Slots[I];
  assert(S.Pins == 0 && S.State != SlotState::Loading);
  assert(!find(Hash));
  S = Slot{SlotState::Loading, std::move(Key), Hash, 0};
}

void SlotTable::finishLoad(size_t I, bool Loaded) {
  assert(Slots[I].State == SlotState::Loading);
  if (Loaded)
    Slots[I].State = SlotState::Ready;
  else
    Slots[I] = Slot{};
}

void SlotTable::pin(size_t I) {
  assert(Slots[I].State == SlotState::Ready);
  ++Slots[I].Pins;
}

void SlotTable::unpin(size_t I) {
  assert(Slots[I].Pins > 0);
  --Slots[I].Pins;
}

void SlotTable::clear() {
  for (Slot &S : Slots)
    S = Slot{};
}

} // namespace goldcrestlink
