// An entry keeps at most CrashesToQuarantine crash ids. Before a crash is
// counted, expired entries are removed; if the table is still full, the entry
// that expires first is removed. Each removal scans the table, whose size is
// bounded; crashes are rare, so the cost does not matter.
#include "delivery/suspect_table.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
constexpr size_t CrashesToQuarantine = 2;
} // namespace

void SuspectTable::makeRoom(Time Now) {
  std::erase_if(Entries,
                [&](const auto &E) { return E.second.ExpiresAt <= Now; });
  if (Entries.size() < Limits.maxEntries())
    return;
  const auto ExpiresFirst = std::min_element(
      Entries.begin(), Entries.end(), [](const auto &A, const auto &B) {
        return A.second.ExpiresAt < B.second.ExpiresAt;
      });
  Entries.erase(ExpiresFirst);
}

void SuspectTable::noteCrash(Time Now, const std::string &CrashId,
                             std::span<const uint64_t> Fingerprints) {
  for (uint64_t Fingerprint : Fingerprints) {
    makeRoom(Now);
    Entry &E = Entries[Fingerprint];
    const bool AlreadyCounted = std::find(E.CrashIds.begin(), E.CrashIds.end(),
                                          CrashId) != E.CrashIds.end();
    if (!AlreadyCounted && E.CrashIds.size() < CrashesToQuarantine)
      E.CrashIds.push_back(CrashId);
    E.ExpiresAt = Now + Limits.quarantine();
  }
}

void SuspectTable::clear(uint64_t Fingerprint) {
  const auto It = Entries.find(Fingerprint);
  if (It != Entries.end() && It->second.CrashIds.size() < CrashesToQuarantine)
    Entries.erase(It);
}

Suspicion SuspectTable::verdict(Time Now, uint64_t Fingerprint) const {
  const auto It = Entries.find(Fingerprint);
  if (It == Entries.end() || It->second.ExpiresAt <= Now)
    return Suspicion::Clean;
  return It->second.CrashIds.size() >= CrashesToQuarantine
             ? Suspicion::Quarantined
             : Suspicion::Suspect;
}

} // namespace goldcrestlink
