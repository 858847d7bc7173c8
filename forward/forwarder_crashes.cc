// The part of Forwarder that contains requests which crash upstreams: it
// reports crashes, exchanges reports and verdicts with other entries, and ends
// the calls that a new verdict quarantines.
//
// A quarantined call is rejected when it arrives. Calls of which one is the
// cause of crashes, but not known which, are placed one at a time and sent
// once, so that the next crash or output decides. A new verdict visits every
// call once; all other work is constant per event and trait.
#include "forward/forwarder.h"

#include <algorithm>
#include <cstdio>

namespace goldcrestlink::forward {

namespace {

// A trait whose requests had output this recently is in use by many requests.
constexpr Duration BusyOutputInterval = std::chrono::milliseconds(200);
// Retry-After time while another request that may be the cause of the same
// crashes is in progress.
constexpr Duration IsolationRetryAfter = std::chrono::milliseconds(300);

std::string traitList(std::span<const RequestTrait> Traits) {
  std::string Out;
  for (const RequestTrait &T : Traits) {
    char Text[48];
    std::snprintf(Text, sizeof(Text), "%s%016llx@%u", Out.empty() ? "" : ",",
                  static_cast<unsigned long long>(T.Hash), unsigned(T.Depth));
    Out += Text;
  }
  return Out;
}

} // namespace

void Forwarder::noteBroken(Time Now, const ActiveCall &Call) {
  // An upstream that leaves may end at any time.
  const auto It = CurrentCatalog->upstreams().find(Call.Upstream.Id);
  const bool IsDraining =
      It != CurrentCatalog->upstreams().end() && It->second.Draining;
  if (Call.HasOutput || IsDraining ||
      Leaving.contains({Call.Upstream.Id, Call.Upstream.StartedMs}))
    return;
  if (Detector.onBroken(Now, Call.Upstream, Call.Traits))
    Port.probe(Call.Upstream);
}

void Forwarder::findCrashes(Time Now) {
  for (ObservedCrash &C :
       Detector.onUpstreams(Now, CurrentCatalog->upstreams()))
    onCrash(Now, C.UpstreamId, std::move(C.Report));
}

void Forwarder::probeAgain(Time Now) {
  for (const UpstreamRecord &U : Detector.dueProbes(Now))
    Port.probe(U);
}

void Forwarder::noteOutput(Time Now, ActiveCall &Call) {
  if (Call.HasOutput)
    return;
  Call.HasOutput = true;
  Detector.onOutput(Call.Upstream.Id, Call.SentAt);
  const std::vector<RequestTrait> Cleared = Crashes.onOutput(Now, Call.Traits);
  if (Cleared.empty())
    return;
  Port.log(LogClass::Routine, "cleared id=" + Call.Request.RequestId +
                                  " traits=" + traitList(Cleared));
  std::vector<TraitOutput> Outputs;
  for (const RequestTrait &T : Cleared)
    Outputs.push_back({T, Duration(0)});
  Port.shareOutput(Outputs);
}

void Forwarder::onProbe(Time Now, const std::string &UpstreamId,
                        ProbeResult Result) {
  if (std::optional<CrashReport> Report =
          Detector.onProbe(Now, UpstreamId, Result))
    onCrash(Now, UpstreamId, std::move(*Report));
}

void Forwarder::onCrash(Time Now, const std::string &UpstreamId,
                        CrashReport Report) {
  const CrashAttribution::Result Result = Crashes.onCrash(Now, Report);
  // The other entries have recent output of such traits as well.
  std::erase_if(Report.Traits, [&](const RequestTrait &T) {
    return std::any_of(Result.Cleared.begin(), Result.Cleared.end(),
                       [&](const TraitOutput &O) {
                         return O.Trait == T && O.Age < BusyOutputInterval;
                       });
  });
  Port.log(LogClass::Kept,
           "upstream_crashed upstream=" + UpstreamId +
               " cleared=" + std::to_string(Result.Cleared.size()) +
               " age_ms=" + std::to_string(Report.Age.count() / 1000) +
               " suspect=" + traitList(Report.Traits));
  if (!Report.Traits.empty())
    Port.shareCrash(Report);
  onNewVerdicts(Now, Result.Quarantined);
}

std::vector<TraitOutput> Forwarder::onCrashReport(Time Now,
                                                  const CrashReport &Report) {
  CrashAttribution::Result Result = Crashes.onCrash(Now, Report);
  onNewVerdicts(Now, Result.Quarantined);
  return std::move(Result.Cleared);
}

void Forwarder::onNewVerdicts(Time Now, std::span<const uint64_t> Traits) {
  if (Traits.empty())
    return;
  Port.shareVerdicts(Crashes.verdicts(Now));
  onQuarantined(Now, Traits);
}

bool Forwarder::admitTraits(Time Now, uint64_t Id, const IncomingCall &Request,
                            std::span<const RequestTrait> Traits) {
  onNewVerdicts(Now, Crashes.settle(Now, Traits));
  if (Crashes.checkQuarantine(Now, Traits)) {
    Port.log(LogClass::Kept, "quarantined id=" + Request.RequestId +
                                 " traits=" + traitList(Traits));
    rejectNewCall(Id, Request, 503, Crashes.quarantineTime(),
                  EndReason::Quarantined);
    return false;
  }
  if (IsolatedCalls > 0 && Crashes.isContested(Now, Traits)) {
    Port.log(LogClass::Kept, "isolated id=" + Request.RequestId +
                                 " traits=" + traitList(Traits));
    rejectNewCall(Id, Request, 503, IsolationRetryAfter, EndReason::Suspect);
    return false;
  }
  return true;
}

void Forwarder::onOutputReport(Time Now, std::span<const TraitOutput> Outputs) {
  Crashes.onOutputReport(Now, Outputs);
}

void Forwarder::onVerdicts(Time Now, std::span<const TraitVerdict> Verdicts) {
  onQuarantined(Now, Crashes.merge(Now, Verdicts));
}

void Forwarder::onQuarantined(Time Now, std::span<const uint64_t> Traits) {
  if (Traits.empty())
    return;
  for (const uint64_t Trait : Traits) {
    char Text[48];
    std::snprintf(Text, sizeof(Text), "quarantine trait=%016llx",
                  static_cast<unsigned long long>(Trait));
    Port.log(LogClass::Kept, Text);
  }
  std::vector<uint64_t> ToEnd;
  for (const auto &[Id, Call] : Calls)
    if (!Call.HasOutput && Crashes.checkQuarantine(Now, Call.Traits))
      ToEnd.push_back(Id);
  for (const uint64_t Id : ToEnd) {
    const auto It = Calls.find(Id);
    if (It == Calls.end())
      continue;
    ActiveCall &Call = It->second;
    const bool WasSent = Call.CurrentStage == Stage::Sent ||
                         Call.CurrentStage == Stage::Streaming;
    const std::string Service = Call.Service;
    const bool IsPlain = !Call.IsEngine;
    if (WasSent) {
      // The upstream may have begun to run it, but has not crashed on it yet.
      Call.MayHaveRun = true;
      Port.cancelSend({Call.Id, Call.Sends});
      finishSend(Now, Call, CallOutcome::Unknown);
    } else {
      endAdmission(Call);
    }
    fail(Now, Call, EndReason::Quarantined);
    if (WasSent && IsPlain)
      sendQueued(Now, Service);
  }
}

} // namespace goldcrestlink::forward
