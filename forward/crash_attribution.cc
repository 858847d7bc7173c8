// Each suspect trait has the list of crashes since its last output. When one
// has been in enough crashes, the likeliest cause in the latest report is
// quarantined: the trait that has been without output for longest, or else the
// most specific one. Its crashes count no longer against the traits that merely
// occurred together with it. A report costs O(its traits), and
// O(suspects) when a trait is quarantined or the table is full.
#include "forward/crash_attribution.h"

#include <algorithm>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {
// Crashes that are stored per suspect.
constexpr size_t MaxCrashes = 8;
// Reports that took longer to arrive are ignored.
constexpr Duration MaxReportAge = std::chrono::seconds(10);
// A quarantine is prolonged at most this often, so that its expiry, which is
// part of no digest, is not changed by every request.
constexpr Duration ProlongInterval = std::chrono::seconds(10);
} // namespace

bool CrashAttribution::isSameCrash(const Crash &A, const Crash &B) const {
  const Duration Apart = A.At > B.At ? A.At - B.At : B.At - A.At;
  return A.Upstream == B.Upstream && Apart < Opts.sameCrash();
}

Time CrashAttribution::lastOutput(uint64_t Trait) const {
  if (const auto It = Recent.find(Trait); It != Recent.end())
    return It->second;
  const auto It = Older.find(Trait);
  return It == Older.end() ? Time::min() : It->second;
}

std::vector<RequestTrait>
CrashAttribution::onOutput(Time Now, std::span<const RequestTrait> Traits) {
  std::vector<RequestTrait> Cleared;
  for (const RequestTrait &T : Traits) {
    if (Recent.size() >= Opts.maxOutputs() / 2) {
      Older = std::move(Recent);
      Recent.clear();
    }
    Recent[T.Hash] = Now;
    bool WasSuspect = Suspects.erase(T.Hash) > 0;
    if (const auto It = Verdicts.find(T.Hash);
        It != Verdicts.end() && It->second.Quarantined) {
      setVerdict(T.Hash,
                 {It->second.Version + 1, false, Now + Opts.quarantineTime()});
      WasSuspect = true;
    }
    if (WasSuspect)
      Cleared.push_back(T);
  }
  return Cleared;
}

bool CrashAttribution::addCrash(Time Now, const RequestTrait &Trait,
                                const Crash &C) {
  if (!Suspects.contains(Trait.Hash) && Suspects.size() >= Opts.maxSuspects())
    makeRoomForSuspects();
  Suspect &S = Suspects[Trait.Hash];
  S.Depth = Trait.Depth;
  S.UpdatedAt = Now;
  const bool Known =
      std::any_of(S.Crashes.begin(), S.Crashes.end(),
                  [&](const Crash &K) { return isSameCrash(K, C); });
  if (Known || S.Crashes.size() >= MaxCrashes)
    return false;
  S.Crashes.push_back(C);
  return true;
}

CrashAttribution::Result CrashAttribution::onCrash(Time Now,
                                                   const CrashReport &Report) {
  Result Out;
  if (Report.Age > MaxReportAge)
    return Out;
  const Crash C{Report.Upstream, Now - std::max(Duration(0), Report.Age)};
  const bool Explained =
      std::any_of(Report.Traits.begin(), Report.Traits.end(),
                  [&](const RequestTrait &T) { return isQuarantined(T.Hash); });
  for (const RequestTrait &T : Report.Traits) {
    const Time Last = lastOutput(T.Hash);
    if (Last != Time::min() && Last >= C.At - Opts.recentOutput())
      Out.Cleared.push_back(T);
    else if (!Explained)
      addCrash(Now, T, C);
  }
  while (const RequestTrait *Cause = mostSuspect(Report)) {
    Out.Quarantined.push_back(Cause->Hash);
    const auto It = Verdicts.find(Cause->Hash);
    setVerdict(Cause->Hash, {It == Verdicts.end() ? 1 : It->second.Version + 1,
                             true, Now + Opts.quarantineTime()});
    const std::vector<Crash> Crashes =
        std::move(Suspects.at(Cause->Hash).Crashes);
    Suspects.erase(Cause->Hash);
    explain(Crashes);
  }
  return Out;
}

size_t CrashAttribution::crashCount(uint64_t Trait) const {
  const auto It = Suspects.find(Trait);
  return It == Suspects.end() ? 0 : It->second.Crashes.size();
}

bool CrashAttribution::isLikelierCause(const RequestTrait &A,
                                       const RequestTrait &B) const {
  const Time LastA = lastOutput(A.Hash);
  const Time LastB = lastOutput(B.Hash);
  return LastA != LastB ? LastA < LastB : A.Depth > B.Depth;
}

const RequestTrait *
CrashAttribution::mostSuspect(const CrashReport &Report) const {
  const RequestTrait *Best = nullptr;
  for (const RequestTrait &T : Report.Traits) {
    const size_t Count = crashCount(T.Hash);
    if (Count < Opts.crashesToQuarantine() ||
        (Best && !isLikelierCause(T, *Best)))
      continue;
    // With two deadly traits, the one that all their requests share is in more
    // crashes than either.
    const bool MayBeAnother =
        Count < Opts.crashesToQuarantineShared() &&
        std::any_of(Report.Traits.begin(), Report.Traits.end(),
                    [&](const RequestTrait &Other) {
                      return crashCount(Other.Hash) > 1 &&
                             isLikelierCause(Other, T);
                    });
    if (!MayBeAnother)
      Best = &T;
  }
  return Best;
}

void CrashAttribution::explain(const std::vector<Crash> &Crashes) {
  for (auto &[Trait, S] : Suspects)
    std::erase_if(S.Crashes, [&](const Crash &C) {
      return std::any_of(Crashes.begin(), Crashes.end(),
                         [&](const Crash &E) { return isSameCrash(C, E); });
    });
  std::erase_if(Suspects,
                [](const auto &Item) { return Item.second.Crashes.empty(); });
}

void CrashAttribution::makeRoomForSuspects() {
  std::vector<Time> Updates;
  Updates.reserve(Suspects.size());
  for (const auto &[Trait, S] : Suspects)
    Updates.push_back(S.UpdatedAt);
  const auto Middle =
      Updates.begin() + static_cast<std::ptrdiff_t>(Updates.size() / 2);
  std::nth_element(Updates.begin(), Middle, Updates.end());
  const Time Limit = *Middle;
  std::erase_if(Suspects, [&](const auto &Item) {
    return Item.second.UpdatedAt <= Limit;
  });
}

bool CrashAttribution::isQuarantined(uint64_t Trait) const {
  const auto It = Verdicts.find(Trait);
  return It != Verdicts.end() && It->second.Quarantined;
}

bool CrashAttribution::checkQuarantine(Time Now,
                                       std::span<const RequestTrait> Traits) {
  if (Verdicts.empty())
    return false;
  bool Found = false;
  for (const RequestTrait &T : Traits) {
    const auto It = Verdicts.find(T.Hash);
    if (It == Verdicts.end() || !It->second.Quarantined)
      continue;
    Found = true;
    const Time Until = Now + Opts.quarantineTime();
    if (Until - It->second.ExpiresAt >= ProlongInterval)
      It->second.ExpiresAt = Until;
  }
  return Found;
}

std::vector<uint64_t>
CrashAttribution::merge(Time Now, std::span<const TraitVerdict> Theirs) {
  std::vector<uint64_t> Out;
  for (const TraitVerdict &T : Theirs) {
    const auto It = Verdicts.find(T.Trait);
    const bool IsNewer = It == Verdicts.end() ||
                         T.Version > It->second.Version ||
                         (T.Version == It->second.Version &&
                          It->second.Quarantined && !T.Quarantined);
    if (!IsNewer || T.Remaining <= Duration(0))
      continue;
    const bool Was = isQuarantined(T.Trait);
    setVerdict(T.Trait, {T.Version, T.Quarantined,
                         Now + std::min(T.Remaining, Opts.quarantineTime())});
    if (!T.Quarantined || Was)
      continue;
    Out.push_back(T.Trait);
    if (const auto S = Suspects.find(T.Trait); S != Suspects.end()) {
      const std::vector<Crash> Crashes = std::move(S->second.Crashes);
      Suspects.erase(S);
      explain(Crashes);
    }
  }
  return Out;
}

void CrashAttribution::setVerdict(uint64_t Trait, const StoredVerdict &New) {
  if (!Verdicts.contains(Trait) && Verdicts.size() >= Opts.maxVerdicts())
    Verdicts.erase(std::min_element(
        Verdicts.begin(), Verdicts.end(), [](const auto &A, const auto &B) {
          return A.second.ExpiresAt < B.second.ExpiresAt;
        }));
  Verdicts[Trait] = New;
  updateDigest();
}

void CrashAttribution::expire(Time Now) {
  std::erase_if(Suspects, [&](const auto &Item) {
    return Now - Item.second.UpdatedAt >= Opts.suspicionTime();
  });
  if (std::erase_if(Verdicts, [&](const auto &Item) {
        return Now >= Item.second.ExpiresAt;
      }) > 0)
    updateDigest();
}

std::vector<TraitVerdict> CrashAttribution::verdicts(Time Now) const {
  std::vector<TraitVerdict> Out;
  Out.reserve(Verdicts.size());
  for (const auto &[Trait, V] : Verdicts)
    Out.push_back({Trait, V.Version, V.Quarantined, V.ExpiresAt - Now});
  return Out;
}

void CrashAttribution::updateDigest() {
  Digest = 0;
  for (const auto &[Trait, V] : Verdicts)
    Digest ^= mixHash(Trait, uint64_t(V.Version) * 2 + (V.Quarantined ? 1 : 0));
}

} // namespace goldcrestlink::forward
