// Fingerprints of requests that were running when an upstream crashed. After
// the first crash a fingerprint is suspect and may run again only alone on an
// engine; after the second it is quarantined, that is, refused. Both states end
// when quarantine() has passed since the last crash. A suspect that finishes is
// removed earlier; a quarantined fingerprint is not.
//
//   SuspectTable Suspects(SuspectTable::Options());
//   Suspects.noteCrash(Now, CrashId, Fingerprints);
//   if (Suspects.verdict(Now, Fingerprint) == Suspicion::Quarantined)
//     refuse();
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
    Options &setMaxEntries(size_t Value) {
      MaxEntries = Value;
      return *this;
    }
    /// How long a fingerprint stays suspect or quarantined after a crash.
    Options &setQuarantine(Duration Value) {
      Quarantine = Value;
      return *this;
    }

  private:
    size_t MaxEntries = 8192;
    Duration Quarantine = std::chrono::minutes(10);
  };

  explicit SuspectTable(Options O) : Limits(O) {}

  /// Counts a crash for each fingerprint. Repeated calls with the same
  /// \p CrashId count once. The quarantine period starts anew at \p Now.
  void noteCrash(Time Now, const std::string &CrashId,
                 std::span<const uint64_t> Fingerprints);
  /// Removes a suspect that has finished and so did not cause the crash. Has no
  /// effect on a quarantined fingerprint.
  void clear(uint64_t Fingerprint);
  Suspicion verdict(Time Now, uint64_t Fingerprint) const;
  size_t size() const { return Entries.size(); }

private:
  struct Entry {
    std::vector<std::string> CrashIds;
    Time ExpiresAt;
  };
  void makeRoom(Time Now);

  Options Limits;
  std::unordered_map<uint64_t, Entry> Entries;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DELIVERY_SUSPECT_TABLE_H
