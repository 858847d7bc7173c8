// When the table is full, one pass drops all entries whose demand is not above
// the mean. The amortised cost per recorded request stays constant.
#include "placement/demand.h"

#include <cmath>

namespace goldcrestlink {

double DemandTable::decayed(Time Now, const Entry &E) const {
  if (Limits.recency())
    return seconds(E.Updated.time_since_epoch());
  if (Now <= E.Updated)
    return E.Value;
  return E.Value *
         std::exp2(-seconds(Now - E.Updated) / seconds(Limits.halfLife()));
}

void DemandTable::record(Time Now, uint64_t Adapter) {
  if (Entries.size() >= Limits.maxEntries() && !Entries.count(Adapter))
    dropBelowMean(Now);
  Entry &E = Entries[Adapter];
  E.Value = Limits.recency() ? 0 : decayed(Now, E) + 1;
  E.Updated = Now;
}

double DemandTable::value(Time Now, uint64_t Adapter) const {
  const auto It = Entries.find(Adapter);
  return It == Entries.end() ? 0 : decayed(Now, It->second);
}

void DemandTable::dropBelowMean(Time Now) {
  double Sum = 0;
  for (const auto &[Adapter, E] : Entries)
    Sum += decayed(Now, E);
  const double Mean = Sum / static_cast<double>(Entries.size());
  std::erase_if(Entries, [&](const auto &Item) {
    return decayed(Now, Item.second) <= Mean;
  });
}

} // namespace goldcrestlink
