// Each suspect trait has the list of crashes since its last output. When one
// has been in enough crashes, the likeliest cause in the latest report is
// quarantined: the trait that has been without output for longest, or else the
// most specific one. Its crashes count no longer against the traits that merely
// occurred together with it. If two are as likely, such as two requests that
// were lost together and repeated together, the verdict is put off until one
// has been in more crashes, or had output, but not beyond the bound for shared
// traits. A report costs O(its traits), and O(suspects) when a trait has been
// in enough crashes or the table is full.
#include "forward/crash_attribution.h"

#include <algorithm>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {
// Crashes that are stored per suspect, and for all traits together.
constexpr size_t MaxCrashes = 8;
constexpr size_t MaxObserved = 64;
// Two traits that were together in so many crashes may both be the cause.
constexpr size_t MinCommonCrashes = 2;
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
  for (const RequestTrait &T : Traits)
    if (clear(Now, T.Hash, Now))
      Cleared.push_back(T);
  return Cleared;
}

void CrashAttribution::onOutputReport(Time Now,
                                      std::span<const TraitOutput> Outputs) {
  for (const TraitOutput &O : Outputs)
    clear(Now, O.Trait.Hash, Now - std::max(Duration(0), O.Age));
}

bool CrashAttribution::clear(Time Now, uint64_t Trait, Time At) {
  if (Recent.size() >= Opts.maxOutputs() / 2) {
    Older = std::move(Recent);
    Recent.clear();
  }
  Recent[Trait] = std::max(At, lastOutput(Trait));
  bool WasSuspect = false;
  if (const auto It = Suspects.find(Trait); It != Suspects.end()) {
    WasSuspect = std::erase_if(It->second.Crashes,
                               [&](const Crash &C) { return C.At <= At; }) > 0;
    if (It->second.Crashes.empty())
      Suspects.erase(It);
  }
  if (const auto It = Verdicts.find(Trait); It != Verdicts.end() &&
                                            It->second.Quarantined &&
                                            It->second.DecidedAt <= At) {
    setVerdict(Trait, {It->second.Version + 1, false, Now,
                       Now + Opts.quarantineTime()});
    WasSuspect = true;
  }
  return WasSuspect;
}

bool CrashAttribution::hadOutputBefore(uint64_t Trait, Time At) const {
  const Time Last = lastOutput(Trait);
  return Last != Time::min() && Last >= At - Opts.recentOutput();
}

void CrashAttribution::addCrash(Time Now, const RequestTrait &Trait,
                                const Crash &C) {
  if (lastOutput(Trait.Hash) >= C.At)
    return;
  if (!Suspects.contains(Trait.Hash) && Suspects.size() >= Opts.maxSuspects())
    makeRoomForSuspects();
  Suspect &S = Suspects[Trait.Hash];
  S.Depth = Trait.Depth;
  S.UpdatedAt = Now;
  const bool Known =
      std::any_of(S.Crashes.begin(), S.Crashes.end(),
                  [&](const Crash &K) { return isSameCrash(K, C); });
  if (Known)
    return;
  if (S.Crashes.size() >= MaxCrashes)
    S.Crashes.erase(S.Crashes.begin());
  S.Crashes.insert(std::upper_bound(S.Crashes.begin(), S.Crashes.end(), C,
                                    [](const Crash &A, const Crash &B) {
                                      return A.At < B.At;
                                    }),
                   C);
}

CrashAttribution::Result CrashAttribution::onCrash(Time Now,
                                                   const CrashReport &Report) {
  Result Out;
  // An entry that has just started is told of earlier crashes.
  if (Report.Age > Opts.suspicionTime())
    return Out;
  const Crash C{Report.Upstream, Now - std::max(Duration(0), Report.Age)};
  if (std::none_of(Observed.begin(), Observed.end(),
                   [&](const Crash &O) { return isSameCrash(O, C); }))
    Observed.push_back(C);
  if (Observed.size() > MaxObserved)
    Observed.pop_front();
  const bool Explained =
      std::any_of(Report.Traits.begin(), Report.Traits.end(),
                  [&](const RequestTrait &T) { return isQuarantined(T.Hash); });
  for (const RequestTrait &T : Report.Traits) {
    if (hadOutputBefore(T.Hash, C.At))
      Out.Cleared.push_back(
          {T, std::max(Duration(0), Now - lastOutput(T.Hash))});
    if (!Explained)
      addCrash(Now, T, C);
  }
  Out.Quarantined = settle(Now, Report.Traits);
  return Out;
}

std::vector<uint64_t>
CrashAttribution::settle(Time Now, std::span<const RequestTrait> Traits) {
  std::vector<uint64_t> Out;
  while (const RequestTrait *Cause = mostSuspect(Now, Traits)) {
    Out.push_back(Cause->Hash);
    const auto It = Verdicts.find(Cause->Hash);
    setVerdict(Cause->Hash, {It == Verdicts.end() ? 1 : It->second.Version + 1,
                             true, Now, Now + Opts.quarantineTime()});
    const std::vector<Crash> Crashes =
        std::move(Suspects.at(Cause->Hash).Crashes);
    Suspects.erase(Cause->Hash);
    explain(Crashes, *Cause);
  }
  return Out;
}

bool CrashAttribution::crashedWithout(const Suspect &S, const Crash &C) const {
  return std::any_of(Observed.begin(), Observed.end(), [&](const Crash &O) {
    const Duration Apart = O.At > C.At ? O.At - C.At : C.At - O.At;
    return Apart < Opts.sameEvent() &&
           std::none_of(S.Crashes.begin(), S.Crashes.end(),
                        [&](const Crash &K) { return isSameCrash(K, O); });
  });
}

size_t CrashAttribution::countCrashes(const Suspect &S, bool Separate) const {
  size_t Count = 0;
  Time LastCounted = Time::min();
  for (const Crash &C : S.Crashes) {
    if (Count > 0 && C.At < LastCounted + Opts.sameEvent() &&
        (Separate || crashedWithout(S, C)))
      continue;
    ++Count;
    LastCounted = C.At;
  }
  return Count;
}

size_t CrashAttribution::crashCount(uint64_t Trait) const {
  const auto It = Suspects.find(Trait);
  return It == Suspects.end() ? 0
                              : countCrashes(It->second, It->second.Depth == 0);
}

bool CrashAttribution::isSuspectEnough(const RequestTrait &Trait) const {
  if (crashCount(Trait.Hash) < Opts.crashesToQuarantine())
    return false;
  const Suspect &S = Suspects.at(Trait.Hash);
  return !hadOutputBefore(Trait.Hash, S.Crashes.back().At) ||
         countCrashes(S, true) >= Opts.crashesToQuarantineShared();
}

bool CrashAttribution::isLikelierCause(const RequestTrait &A,
                                       const RequestTrait &B) const {
  const Time LastA = lastOutput(A.Hash);
  const Time LastB = lastOutput(B.Hash);
  return LastA != LastB ? LastA < LastB : A.Depth > B.Depth;
}

bool CrashAttribution::areEquallyLikely(const RequestTrait &A,
                                        const RequestTrait &B) const {
  return !isLikelierCause(A, B) && !isLikelierCause(B, A);
}

size_t CrashAttribution::crashesInCommon(const Suspect &A,
                                         const Suspect &B) const {
  return static_cast<size_t>(
      std::count_if(A.Crashes.begin(), A.Crashes.end(), [&](const Crash &C) {
        return std::any_of(B.Crashes.begin(), B.Crashes.end(),
                           [&](const Crash &K) { return isSameCrash(C, K); });
      }));
}

bool CrashAttribution::hasRival(Time Now, const RequestTrait &Trait) const {
  const size_t Count = crashCount(Trait.Hash);
  if (Count >= Opts.crashesToQuarantineShared())
    return false;
  const Suspect &S = Suspects.at(Trait.Hash);
  const bool MoreReportsDue = Now - S.Crashes.back().At < Opts.reportDelay();
  return std::any_of(Suspects.begin(), Suspects.end(), [&](const auto &Item) {
    const auto &[Hash, Other] = Item;
    if (Hash == Trait.Hash || !areEquallyLikely(Trait, {Hash, Other.Depth}) ||
        crashesInCommon(S, Other) < MinCommonCrashes)
      return false;
    return crashCount(Hash) + (MoreReportsDue ? 1 : 0) >= Count;
  });
}

bool CrashAttribution::isContested(Time Now,
                                   std::span<const RequestTrait> Traits) const {
  return std::any_of(Traits.begin(), Traits.end(), [&](const RequestTrait &T) {
    return isSuspectEnough(T) && hasRival(Now, T);
  });
}

const RequestTrait *
CrashAttribution::mostSuspect(Time Now,
                              std::span<const RequestTrait> Traits) const {
  const RequestTrait *Best = nullptr;
  for (const RequestTrait &T : Traits) {
    if (!isSuspectEnough(T) || (Best && !isLikelierCause(T, *Best)))
      continue;
    // With two deadly traits, the one that all their requests share is in more
    // crashes than either.
    const bool MayBeAnother =
        crashCount(T.Hash) < Opts.crashesToQuarantineShared() &&
        std::any_of(
            Traits.begin(), Traits.end(), [&](const RequestTrait &Other) {
              return crashCount(Other.Hash) > 1 && isLikelierCause(Other, T);
            });
    if (!MayBeAnother && !hasRival(Now, T))
      Best = &T;
  }
  return Best;
}

void CrashAttribution::explain(const std::vector<Crash> &Crashes,
                               const RequestTrait &Cause) {
  for (auto &[Trait, S] : Suspects) {
    if (areEquallyLikely(Cause, {Trait, S.Depth}) &&
        crashCount(Trait) >= Opts.crashesToQuarantineShared())
      continue;
    std::erase_if(S.Crashes, [&](const Crash &C) {
      return std::any_of(Crashes.begin(), Crashes.end(),
                         [&](const Crash &E) { return isSameCrash(C, E); });
    });
  }
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
    if (T.Quarantined && hadOutputBefore(T.Trait, Now)) {
      setVerdict(T.Trait,
                 {T.Version + 1, false, Now, Now + Opts.quarantineTime()});
      continue;
    }
    const bool Was = isQuarantined(T.Trait);
    setVerdict(T.Trait, {T.Version, T.Quarantined, Now,
                         Now + std::min(T.Remaining, Opts.quarantineTime())});
    if (!T.Quarantined || Was)
      continue;
    Out.push_back(T.Trait);
    if (const auto S = Suspects.find(T.Trait); S != Suspects.end()) {
      const RequestTrait Cause{T.Trait, S->second.Depth};
      const std::vector<Crash> Crashes = std::move(S->second.Crashes);
      Suspects.erase(S);
      explain(Crashes, Cause);
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
