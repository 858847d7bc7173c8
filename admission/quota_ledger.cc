// Keeps one amount for each key and entry, and a running sum for each key. The
// sums are computed anew every 200 ms without expired amounts, so a report
// costs constant time for each of its keys. In between a sum may count expired
// amounts, which makes shares smaller, not larger.
#include "admission/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace goldcrestlink {

namespace {
constexpr Duration SweepInterval = std::chrono::milliseconds(200);
// Two for each organisation.
constexpr size_t MaxKeys = 1024;
// Three times the entries of the largest deployment planned for; restarted
// entries count twice for SilentTerm.
constexpr size_t MaxEntries = 1024;
} // namespace

void QuotaLedger::sweep(Time Now, KeyState &Key) {
  Key.NextSweep = Now + SweepInterval;
  std::erase_if(Key.ByEntry,
                [&](const auto &Item) { return Now - Item.second.At > Term; });
  Key.Sum = 0;
  for (const auto &[Entry, R] : Key.ByEntry)
    Key.Sum += R.Amount;
}

void QuotaLedger::sweepAll(Time Now) {
  NextSweep = Now + SweepInterval;
  std::erase_if(Entries, [&](const auto &Item) {
    return Now - Item.second.LastAt > EntryTerm + SilentTerm;
  });
  uint32_t Established = 0;
  uint32_t Gone = 0;
  for (const auto &[Id, E] : Entries) {
    if (Now - E.LastAt > EntryTerm)
      ++Gone;
    else if (Now - E.FirstAt >= EstablishedAfter)
      ++Established;
  }
  Reporting = static_cast<uint32_t>(Entries.size()) - Gone;
  Peak = Gone == 0 ? Established : std::max(Peak, Established);
  // A restarted entry reports under a new token, so that its old one, which is
  // silent, does not add to the number of entries that may still run requests.
  Silent = std::min(Gone, Peak - std::min(Peak, Reporting));
  for (auto &[Id, Key] : Keys)
    if (Now >= Key.NextSweep)
      sweep(Now, Key);
  std::erase_if(Keys,
                [](const auto &Item) { return Item.second.ByEntry.empty(); });
}

QuotaTotals QuotaLedger::onReport(Time Now, const QuotaReport &Report) {
  if (Entries.size() < MaxEntries || Entries.contains(Report.Entry)) {
    const auto [It, IsNew] =
        Entries.try_emplace(Report.Entry, EntryState{Now, Now});
    It->second.LastAt = Now;
    if (IsNew)
      NextSweep = Now; // Counts the new entry in its own answer.
  }
  if (Now >= NextSweep)
    sweepAll(Now);
  if (Now - LastReportAt > Term)
    for (auto &[Id, Key] : Keys)
      Key.FirstAt = Now;
  LastReportAt = Now;
  QuotaTotals Out;
  Out.Round = Report.Round;
  if (!Entries.contains(Report.Entry))
    return Out;
  for (const QuotaAmount &A : Report.Amounts) {
    if (!std::isfinite(A.Amount) || A.Amount < 0 ||
        (Keys.size() >= MaxKeys && !Keys.contains(A.Key)))
      continue;
    const auto [It, IsNew] = Keys.try_emplace(A.Key);
    KeyState &Key = It->second;
    if (IsNew) {
      Key.FirstAt = Now;
      Key.NextSweep = Now + SweepInterval;
    }
    Reported &Own = Key.ByEntry[Report.Entry];
    Key.Sum += A.Amount - Own.Amount;
    Own = {A.Amount, Now};
    if (Now - Key.FirstAt >= WarmUp)
      Out.Totals.push_back({A.Key, std::max(Key.Sum, A.Amount)});
  }
  Out.Entries = Reporting;
  Out.SilentEntries = Silent;
  return Out;
}

} // namespace goldcrestlink
