// The demand of organisations at all entries, as the entries report it to a
// side. Soft state: a side that starts has it again after a few reports.
//
//   QuotaTotals Answer = Ledger.onReport(Now, Report);
#ifndef GOLDCRESTLINK_ADMISSION_QUOTA_LEDGER_H
#define GOLDCRESTLINK_ADMISSION_QUOTA_LEDGER_H

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace goldcrestlink {

/// A quantity of one organisation.
struct QuotaAmount {
  /// Identifies the organisation and the kind of the quantity.
  uint64_t Key = 0;
  double Amount = 0;
};

/// What one entry reports; may be empty, so that the entry is counted.
struct QuotaReport {
  /// Identifies the entry's process.
  uint64_t Entry = 0;
  uint64_t Round = 0;
  std::vector<QuotaAmount> Amounts;
};

/// The answer to a QuotaReport.
struct QuotaTotals {
  uint64_t Round = 0;
  /// Sums over all entries, for those keys of the report that are known.
  std::vector<QuotaAmount> Totals;
  uint32_t Entries = 0;
  /// Entries that were heard lately, but no longer, and have not started anew.
  uint32_t SilentEntries = 0;
};

/// Not thread-safe.
class QuotaLedger {
public:
  /// Age at which an amount is no longer counted. An entry uses a share for the
  /// same time, from when it sent its report.
  static constexpr Duration Term = std::chrono::seconds(1);
  /// Age of the last report at which an entry counts as silent: idle entries
  /// report every 800 ms, and one such report may be lost.
  static constexpr Duration EntryTerm = std::chrono::seconds(2);
  /// Time for which a part of each quota is reserved for a silent entry.
  /// Requests run for at most 12 s, so an entry that has stopped cannot have
  /// any left. Entries that are cut off for longer go on with their floor: a
  /// tenth of the entries has half of a tenth of the rate, which the permitted
  /// excess covers.
  static constexpr Duration SilentTerm = std::chrono::seconds(20);
  /// Age from which an entry counts as one of those that run at the same time;
  /// a restarted one is by then no longer counted under its old token.
  static constexpr Duration EstablishedAfter = std::chrono::seconds(3);
  /// Time for which a key is only collected and not answered, since its total
  /// would lack entries that have not reported yet: two report intervals of
  /// 200 ms and the delay of a message.
  static constexpr Duration WarmUp = std::chrono::milliseconds(450);

  /// Takes in \p Report and returns the totals of its keys. After a term
  /// without any report, keys are only collected for WarmUp: the process stood
  /// still, and it reads the reports that waited one after another.
  QuotaTotals onReport(Time Now, const QuotaReport &Report);
  size_t keys() const { return Keys.size(); }
  size_t entries() const { return Entries.size(); }

private:
  struct Reported {
    double Amount = 0;
    Time At;
  };
  struct KeyState {
    Time FirstAt;
    Time NextSweep;
    double Sum = 0;
    std::unordered_map<uint64_t, Reported> ByEntry;
  };

  static void sweep(Time Now, KeyState &Key);
  void sweepAll(Time Now);

  std::unordered_map<uint64_t, KeyState> Keys;
  struct EntryState {
    Time FirstAt;
    Time LastAt;
  };
  std::unordered_map<uint64_t, EntryState> Entries;
  // The most entries that ran at the same time, since none was silent.
  uint32_t Peak = 0;
  uint32_t Reporting = 0;
  uint32_t Silent = 0;
  Time NextSweep{};
  Time LastReportAt{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_QUOTA_LEDGER_H
