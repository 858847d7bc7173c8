// The sends to an upstream break at about the same time, so the traits of those
// that break shortly after the first go into one report. Probes are repeated
// with growing delays, since the port of a process that ends may stay open for
// a moment, and packets may be lost. Work per broken send is linear in the
// traits of the report; a new catalog is compared with the few upstreams in
// question.
#include "forward/crash_detector.h"

#include <algorithm>
#include <array>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {
// Delays after each probe that is not refused.
constexpr std::array<Duration, 3> ProbeDelays = {
    std::chrono::milliseconds(100), std::chrono::milliseconds(400),
    std::chrono::milliseconds(1200)};
// Sends that break this long after the first one are lost for another reason;
// an upstream takes longer to restart.
constexpr Duration SameBreak = std::chrono::milliseconds(1500);
// Until this long after the break, another incarnation in the upstream's place
// shows that it crashed. An upstream that has crashed is back within seconds.
constexpr Duration MaxAbsence = std::chrono::seconds(8);
} // namespace

bool CrashDetector::onBroken(Time Now, const UpstreamRecord &Upstream,
                             std::span<const RequestTrait> Traits) {
  if (Traits.empty())
    return false;
  if (Suspected.size() >= MaxUpstreams && !Suspected.contains(Upstream.Id))
    Suspected.erase(std::min_element(Suspected.begin(), Suspected.end(),
                                     [](const auto &A, const auto &B) {
                                       return A.second.Since < B.second.Since;
                                     }));
  const auto [It, IsNew] =
      Suspected.try_emplace(Upstream.Id, Broken{Upstream, Now});
  Broken &Lost = It->second;
  const bool IsAnother = !IsNew && Now - Lost.Since >= SameBreak;
  if (IsAnother)
    Lost = {Upstream, Now};
  for (const RequestTrait &T : Traits)
    if (Lost.Traits.size() < MaxTraits &&
        std::find(Lost.Traits.begin(), Lost.Traits.end(), T) ==
            Lost.Traits.end())
      Lost.Traits.push_back(T);
  return IsNew || IsAnother;
}

std::optional<CrashReport> CrashDetector::onProbe(Time Now,
                                                  const std::string &UpstreamId,
                                                  ProbeResult Result) {
  const auto It = Suspected.find(UpstreamId);
  if (It == Suspected.end())
    return std::nullopt;
  Broken &Lost = It->second;
  if (Lost.HadOutput)
    return std::nullopt;
  if (Result != ProbeResult::Refused) {
    if (Lost.Probes < ProbeDelays.size())
      Lost.NextProbe = Now + ProbeDelays[Lost.Probes++];
    return std::nullopt;
  }
  const CrashReport Report = reportOf(Now, Lost);
  Suspected.erase(It);
  return Report;
}

void CrashDetector::onOutput(const std::string &UpstreamId, Time SentAt) {
  const auto It = Suspected.find(UpstreamId);
  if (It == Suspected.end() || SentAt <= It->second.Since)
    return;
  It->second.HadOutput = true;
  It->second.NextProbe.reset();
}

std::vector<UpstreamRecord> CrashDetector::dueProbes(Time Now) {
  std::vector<UpstreamRecord> Out;
  for (auto &[Id, Lost] : Suspected)
    if (Lost.NextProbe && Now >= *Lost.NextProbe) {
      Lost.NextProbe.reset();
      Out.push_back(Lost.Upstream);
    }
  std::erase_if(Suspected, [&](const auto &Item) {
    return Now - Item.second.Since > MaxAbsence;
  });
  return Out;
}

std::vector<ObservedCrash>
CrashDetector::onUpstreams(Time Now,
                           const std::map<std::string, UpstreamRecord> &Known) {
  std::vector<ObservedCrash> Out;
  std::erase_if(Suspected, [&](const auto &Item) {
    const UpstreamRecord &Old = Item.second.Upstream;
    if (const auto It = Known.find(Old.Id);
        It != Known.end() && It->second.Draining)
      return true;
    const bool IsReplaced =
        std::any_of(Known.begin(), Known.end(), [&](const auto &New) {
          const UpstreamRecord &U = New.second;
          return (U.Id == Old.Id || U.Address == Old.Address) &&
                 U.StartedMs > Old.StartedMs;
        });
    if (IsReplaced)
      Out.push_back({Old.Id, reportOf(Now, Item.second)});
    return IsReplaced;
  });
  return Out;
}

CrashReport CrashDetector::reportOf(Time Now, const Broken &Lost) {
  return {hash64(Lost.Upstream.Id), Now - Lost.Since, Lost.Traits};
}

} // namespace goldcrestlink::forward
