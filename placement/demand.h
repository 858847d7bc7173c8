// Recent demand for each adapter version at one upstream, as exponentially
// decayed counts of requests. The value of a slot is its demand.
//
//   DemandTable D(DemandTable::Options());
//   D.record(Now, SlotHash);
//   double Value = D.value(Now, SlotHash);
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
    /// Value by time of last use instead of demand: least recently used goes.
    Options &setRecency(bool On) {
      Recency = On;
      return *this;
    }
    Options &setMaxEntries(size_t N) {
      MaxEntries = N;
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
  /// Counts one request.
  void record(Time N, uint64_t Slot);
  /// The decayed demand; 0 for an adapter without recent requests.
  double value(Time N, uint64_t Slot) const;
  size_t size() const { return Entries.size(); }

private:
  struct Entry {
    double Value = 0;
    Time Updated;
  };
  double decayed(Time N, const Entry &E) const;
  void dropSmallest(Time N);

  Options Limits;
  std::unordered_map<uint64_t, Entry> Entries;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_PLACEMENT_DEMAND_H
