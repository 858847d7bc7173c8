// An entry keeps at most CrashesToQuarantine crash ids. A full table first
// drops expired entries; if none has expired, the entry that expires soonest
// makes room. Crashes are rare, so the scans do not matter.
#include "delivery/suspect_table.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
constexpr size_t CrashesToQuarantine = 2;
} // namespace

void SuspectTable::expire(Time N) {
  std::erase_if(Entries, [&](const auto &E) { return E.second.Until <= N; });
  if (Entries.size() < Limits.maxEntries())
    return;
  const auto Oldest = std::min_element(Entries.begin(), Entries.end(),
                                       [](const auto &A, const auto &B) {
                                         return A.second.Until < B.second.Until;
                                       });
  Entries.erase(Oldest);
}

void SuspectTable::noteCrash(Time N, const std::string &CrashId,
                             std::span<const uint64_t> Fingerprints) {
  for (uint64_t F : Fingerprints) {
    expire(N);
    Entry &E = Entries[F];
    const bool Known = std::find(E.Crashes.begin(), E.Crashes.end(), CrashId) !=
                       E.Crashes.end();
    if (!Known && E.Crashes.size() < CrashesToQuarantine)
      E.Crashes.push_back(CrashId);
    E.Until = N + Limits.quarantine();
  }
}

void SuspectTable::clear(uint64_t Fingerprint) {
  const auto It = Entries.find(Fingerprint);
  if (It != Entries.end() && It->second.Crashes.size() < CrashesToQuarantine)
    Entries.erase(It);
}

Suspicion SuspectTable::verdict(Time N, uint64_t Fingerprint) const {
  const auto It = Entries.find(Fingerprint);
  if (It == Entries.end() || It->second.Until <= N)
    return Suspicion::Clean;
  return It->second.Crashes.size() >= CrashesToQuarantine
             ? Suspicion::Quarantined
             : Suspicion::Suspect;
}

} // namespace goldcrestlink
