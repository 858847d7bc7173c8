// When the table is full, all entries below the mean are dropped in one pass,
// so that the cost per record stays constant when spread over the records
// between two passes.
#include "placement/demand.h"

#include <cmath>

namespace goldcrestlink {

double DemandTable::decayed(Time N, const Entry &E) const {
  if (Limits.recency())
    return seconds(E.Updated.time_since_epoch());
  if (N <= E.Updated)
    return E.Value;
  return E.Value *
         std::exp2(-seconds(N - E.Updated) / seconds(Limits.halfLife()));
}

void DemandTable::record(Time N, uint64_t Slot) {
  if (Entries.size() >= Limits.maxEntries() && !Entries.count(Slot))
    dropSmallest(N);
  Entry &E = Entries[Slot];
  E.Value = Limits.recency() ? 0 : decayed(N, E) + 1;
  E.Updated = N;
}

double DemandTable::value(Time N, uint64_t Slot) const {
  const auto It = Entries.find(Slot);
  return It == Entries.end() ? 0 : decayed(N, It->second);
}

void DemandTable::dropSmallest(Time N) {
  double Sum = 0;
  for (const auto &[Slot, E] : Entries)
    Sum += decayed(N, E);
  const double Mean = Sum / static_cast<double>(Entries.size());
  std::erase_if(Entries, [&](const auto &Item) {
    return decayed(N, Item.second) <= Mean;
  });
}

} // namespace goldcrestlink
