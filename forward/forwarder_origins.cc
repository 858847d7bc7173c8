// The part of Forwarder that keeps a stream at the software version that began
// it, within one answer and when a caller takes the stream up at any entry.
//
// The origin of a stream is recorded with its first event, here and at a few
// sides, which outlive entries. A call that takes up a stream whose origin is
// not known here is placed only once one of these sides has named it; if none
// knows it, the call is rejected. Constant work per stream, apart from a pass
// over the service's upstreams for each placement.
#include "forward/forwarder.h"

#include <algorithm>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {
// Sides asked for an origin, more than record it: the sides may have changed
// since. After a time-out more are asked, once.
constexpr size_t KeepersAsked = 5;
constexpr size_t KeepersAskedAgain = 10;
// Connections to sides may still be opening after a restart, so the second time
// is longer.
constexpr Duration OriginTimeout = std::chrono::milliseconds(300);
constexpr Duration SecondOriginTimeout = std::chrono::milliseconds(900);
// Another try soon would end likewise. Longer than any Retry-After time, which
// retryAfter() bounds.
constexpr Duration FailedTakeUpDelay = std::chrono::minutes(1);
} // namespace

bool Forwarder::takesUp(const ActiveCall &Call) {
  return Call.Repeat == Repeatability::ResumableStream &&
         !Call.Request.AfterEvent.empty();
}

uint64_t Forwarder::streamKey(const ActiveCall &Call) {
  return hash64(takesUp(Call) ? Call.Request.Resumes : Call.Request.RequestId);
}

void Forwarder::findOrigin(Time Now, ActiveCall &Call) {
  if (Call.Request.Resumes.empty())
    return failTakeUp(Now, Call, EndReason::UnknownOrigin);
  if (const StreamOrigin *Known = Origins.find(Now, streamKey(Call)))
    return placeTakeUp(Now, Call, *Known);
  askForOrigin(Now, Call, KeepersAsked, OriginTimeout);
}

void Forwarder::askForOrigin(Time Now, ActiveCall &Call, size_t Keepers,
                             Duration Timeout) {
  Call.CurrentStage = Stage::OriginRequested;
  ++Call.OriginRound;
  Call.OriginAnswers = 0;
  Call.OriginAskedAt = Now;
  awaitReply(Now, Call, std::min(Timeout, (Call.Deadline - Now) / 2));
  Call.OriginAsked =
      Port.requestOrigin({Call.Id, Call.OriginRound, streamKey(Call)}, Keepers);
  if (Call.OriginAsked == 0)
    failTakeUp(Now, Call, EndReason::UnknownOrigin);
}

void Forwarder::onOrigin(Time Now, const OriginQuery &Query,
                         const std::optional<StreamOrigin> &Origin) {
  SideHeardAt = Now;
  const auto It = Calls.find(Query.Call);
  if (It == Calls.end() || It->second.CurrentStage != Stage::OriginRequested ||
      streamKey(It->second) != Query.Attempt)
    return;
  ActiveCall &Call = It->second;
  if (Origin) {
    Origins.record(Now, Query.Attempt, *Origin);
    return placeTakeUp(Now, Call, *Origin);
  }
  if (Query.Round != Call.OriginRound ||
      ++Call.OriginAnswers < Call.OriginAsked)
    return;
  if (Call.OriginRound == 1)
    return askForOrigin(Now, Call, KeepersAskedAgain, SecondOriginTimeout);
  failTakeUp(Now, Call, EndReason::UnknownOrigin);
}

void Forwarder::onOriginTimeout(Time Now, ActiveCall &Call) {
  // An entry that hears from no side is cut off from them, and another one is
  // likely to know more at once.
  const bool HearsSides = SideHeardAt >= Call.OriginAskedAt;
  if (Call.OriginRound == 1 && HearsSides)
    return askForOrigin(Now, Call, KeepersAskedAgain, SecondOriginTimeout);
  fail(Now, Call, EndReason::UnknownOrigin);
}

void Forwarder::placeTakeUp(Time Now, ActiveCall &Call, StreamOrigin Origin) {
  const RouteSpec *Route = CurrentCatalog->route(
      Call.Request.Host, std::string_view(Call.Request.Target)
                             .substr(0, Call.Request.Target.find('?')));
  const bool IsTarget =
      Route && std::any_of(Route->Targets.begin(), Route->Targets.end(),
                           [&](const RouteTarget &T) {
                             return T.Service == Origin.Service;
                           });
  Call.Service = Origin.Service;
  Call.Origin = std::move(Origin);
  Port.log(LogClass::Routine, "take_up " + describe(Call) +
                                  " resumes=" + Call.Request.Resumes +
                                  " after_event=" + Call.Request.AfterEvent +
                                  " software=" + Call.Origin->SoftwareVersion);
  if (!IsTarget)
    return failTakeUp(Now, Call, EndReason::OriginGone);
  place(Now, Call);
}

void Forwarder::failTakeUp(Time Now, ActiveCall &Call, EndReason Why) {
  Call.RetryDelay = FailedTakeUpDelay;
  fail(Now, Call, Why);
}

std::vector<EngineCandidate>
Forwarder::rankEngines(Time Now, const ActiveCall &Call,
                       const EngineRequirements &Required) const {
  const std::vector<const UpstreamRecord *> Open = openCandidatesFor(Now, Call);
  std::vector<EngineCandidate> Out = Engines.rank(Now, Required, Open);
  if (!Out.empty() || !Call.Origin)
    return Out;
  // An engine reliably refuses what it cannot serve.
  EngineRequirements Any = Required;
  Any.AnyWithoutSide = true;
  return Engines.rank(Now, Any, Open);
}

bool Forwarder::maySendWithoutSide(Time Now, const ActiveCall &Call) const {
  return !Call.Origin || Versions.isCurrent(Now);
}

bool Forwarder::checkVersion(Time Now, ActiveCall &Call,
                             const AdmissionReply &Reply) {
  Call.VersionIsCertain =
      Versions.isCertain(Now, CurrentCatalog->upstreams().at(Call.Upstream.Id),
                         Reply, Call.AdmissionRequestedAt);
  if (Call.VersionIsCertain || !Call.Origin)
    return true;
  Port.log(LogClass::Kept,
           "version_uncertain " + describe(Call) +
               " software=" + Call.Origin->SoftwareVersion +
               " record_started_ms=" + std::to_string(Call.Upstream.StartedMs) +
               " engine_started_ms=" + std::to_string(Reply.EngineStartedMs));
  endAdmission(Call);
  // After a stall the same side may be asked again.
  if (!Versions.mayBeStale(Call.AdmissionRequestedAt))
    Call.TriedUpstreams.insert(Call.Upstream.Id);
  placeOnEngine(Now, Call);
  return false;
}

void Forwarder::noteOrigin(Time Now, ActiveCall &Call) {
  if (Call.Repeat != Repeatability::ResumableStream)
    return;
  // What may be another version than that of the record is none that others
  // can be compared with.
  if (!Call.Origin)
    Call.Origin = {Call.Service, Call.VersionIsCertain
                                     ? Call.Upstream.SoftwareVersion
                                     : std::string()};
  if (Call.Origin->SoftwareVersion.empty())
    return;
  Origins.record(Now, streamKey(Call), *Call.Origin);
  Port.recordOrigin(streamKey(Call), *Call.Origin);
}

bool Forwarder::mayContinue(const ActiveCall &Call, const UpstreamRecord &U) {
  return !Call.Origin || (!U.SoftwareVersion.empty() &&
                          U.SoftwareVersion == Call.Origin->SoftwareVersion);
}

std::vector<const UpstreamRecord *>
Forwarder::candidatesFor(const ActiveCall &Call) const {
  std::vector<const UpstreamRecord *> Out = upstreamsOf(Call.Service);
  std::erase_if(
      Out, [&](const UpstreamRecord *U) { return !mayContinue(Call, *U); });
  return Out;
}

} // namespace goldcrestlink::forward
