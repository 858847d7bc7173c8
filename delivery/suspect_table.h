// Requests that were running when an upstream crashed. After the first crash a
// fingerprint is suspect and may run once more, alone; after the second it is
// quarantined for a time. Finishing clears it.
//
//   SuspectTable T(SuspectTable::Options());
//   T.noteCrash(Now, CrashId, Fingerprints);
//   if (T.verdict(Now, Fp) == Suspicion::Quarantined) refuse();
#ifndef GOLDCRESTLINK_DELIVERY_SUSPECT_TABLE_H
#define GOLDCRESTLINK_DELIVERY_SUSPECT_TABLE_H

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace goldcrestlink {

enum class Suspicion { Clean, Suspect, Quarantined };

/// Not thread-safe. Holds at most maxEntries() fingerprints.
class SuspectTable {
public:
  class Options {
  public:
    size_t maxEntries() const { return MaxEntries; }
    Duration quarantine() const { return Quarantine; }
    Options &setMaxEntries(size_t N) {
      MaxEntries = N;
      return *this;
    }
    Options &setQuarantine(Duration D) {
      Quarantine = D;
      return *this;
    }

  private:
    size_t MaxEntries = 8192;
    Duration Quarantine = std::chrono::minutes(10);
  };

  explicit SuspectTable(Options O) : Limits(O) {}

  /// Counts a crash against each fingerprint; a crash id counts once.
  void noteCrash(Time N, const std::string &CrashId,
                 std::span<const uint64_t> Fingerprints);
  /// The fingerprint finished: it did not cause the crash.
  void clear(uint64_t Fingerprint);
  Suspicion verdict(Time N, uint64_t Fingerprint) const;
  size_t size() const { return Entries.size(); }

private:
  struct Entry {
    std::vector<std::string> Crashes;
    Time Until;
  };
  void expire(Time N);

  Options Limits;
  std::unordered_map<uint64_t, Entry> Entries;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DELIVERY_SUSPECT_TABLE_H
