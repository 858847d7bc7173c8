// Recent demand for each adapter version at one upstream, as exponentially
// decayed counts of requests. The demand is the value of the slot that holds
// the adapter: the slot of least value is replaced first.
//
//   DemandTable Demand(DemandTable::Options());
//   Demand.record(Now, AdapterHash);
//   double Value = Demand.value(Now, AdapterHash);
#ifndef GOLDCRESTLINK_PLACEMENT_DEMAND_H
#define GOLDCRESTLINK_PLACEMENT_DEMAND_H

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe. Holds at most maxEntries() adapters.
class DemandTable {
public:
  class Options {
  public:
    size_t maxEntries() const { return MaxEntries; }
    Duration halfLife() const { return HalfLife; }
    bool recency() const { return Recency; }
    /// If set, the value is the time of the last use instead of the demand, so
    /// that the least recently used adapter is replaced first.
    Options &setRecency(bool On) {
      Recency = On;
      return *this;
    }
    Options &setMaxEntries(size_t Count) {
      MaxEntries = Count;
      return *this;
    }
    Options &setHalfLife(Duration D) {
      HalfLife = D;
      return *this;
    }

  private:
    size_t MaxEntries = 4096;
    Duration HalfLife = std::chrono::seconds(120);
    bool Recency = false;
  };

  explicit DemandTable(Options O) : Limits(O) {}
  /// Counts one request for the adapter version with hash \p Adapter.
  void record(Time Now, uint64_t Adapter);
  /// The decayed demand (with recency: seconds on the steady clock); 0 for an
  /// adapter without recent requests.
  double value(Time Now, uint64_t Adapter) const;
  size_t size() const { return Entries.size(); }

private:
  struct Entry {
    // Demand as of Updated.
    double Value = 0;
    Time Updated;
  };
  double decayed(Time Now, const Entry &E) const;
  void dropBelowMean(Time Now);

  Options Limits;
  std::unordered_map<uint64_t, Entry> Entries;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_PLACEMENT_DEMAND_H
