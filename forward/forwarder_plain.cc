// The part of Forwarder that places calls to plain services: a call is sent at
// once, or waits in a short queue (plain_queue.h) until an upstream takes it. A
// call that cannot be sent in time is refused at once. Work per call: a pass
// over the service's upstreams, and the order of its queue if there is one.
#include "forward/forwarder.h"

#include <algorithm>

#include "base/hash.h"

namespace goldcrestlink::forward {

uint64_t Forwarder::organisationOf(const ActiveCall &Call) {
  return Call.Organisation ? hash64(Call.Organisation->Name) : 0;
}

PlainQueue &Forwarder::queueOf(const std::string &Service) {
  const auto [It, IsNew] = Queues.try_emplace(Service);
  if (IsNew)
    It->second.setWeights(Weights);
  return It->second;
}

QueuedCall Forwarder::queuedCall(const ActiveCall &Call) {
  return {Call.Id, {Call.Rank, organisationOf(Call), 1, true}, Call.StageUntil};
}

void Forwarder::placeOnService(Time Now, ActiveCall &Call) {
  if (!maySendWithoutSide(Now, Call))
    return fail(Now, Call, EndReason::VersionUncertain);
  Call.VersionIsCertain = Versions.isCurrent(Now);
  Call.ExpectedRun = std::max(queueOf(Call.Service).callTime(), Call.Objective);
  if (!keepThroughStop(Now, Call, Duration(0)))
    return;
  if (const Duration Late = lateAtAll(Now, Call); Late > Duration(0)) {
    Call.RetryDelay = Late;
    return fail(Now, Call, EndReason::Overloaded);
  }
  if (const UpstreamRecord *U = choosePlain(Now, Call)) {
    Call.Upstream = *U;
    queueOf(Call.Service).onStarted(Now, queuedCall(Call));
    return sendTo(Now, Call, 0);
  }
  PlainQueue &Queue = queueOf(Call.Service);
  const auto MaxQueueTime = Duration(static_cast<int64_t>(
      static_cast<double>(Call.Objective.count()) * Opts.maxQueueShare()));
  if (candidatesFor(Call).empty() || pauseOf(Now, Call) > Duration(0))
    return failWithoutUpstream(Now, Call);
  if (Call.Sends > 0)
    return fail(Now, Call, EndReason::Overloaded);
  if (const Duration Wait = limitWait(Call.Service, Queue.size());
      Wait > MaxQueueTime) {
    Call.RetryDelay = Wait;
    return fail(Now, Call, EndReason::Overloaded);
  }
  Call.StageUntil =
      std::min(Now + MaxQueueTime, Call.Deadline - Queue.callTime());
  const QueuedCall Item = queuedCall(Call);
  const Duration Wait = Queue.expectedWait(Now, Item);
  if (Now + Wait > Call.StageUntil)
    return refuseQueued(Now, Call, Wait, "too_long");
  if (!keepThroughStop(Now, Call, Wait))
    return;
  Call.CurrentStage = Stage::Queued;
  schedule(Call.StageUntil, Call.Id);
  if (const std::optional<uint64_t> Id = Queue.push(Now, Item))
    if (const auto It = Calls.find(*Id); It != Calls.end())
      refuseQueued(Now, It->second, Queue.expectedWait(Now, Item), "full");
}

void Forwarder::refuseQueued(Time Now, ActiveCall &Call, Duration Wait,
                             std::string_view Why) {
  const PlainQueue &Queue = queueOf(Call.Service);
  Port.log(LogClass::Routine,
           "queue_refused " + describe(Call) + " why=" + std::string(Why) +
               " rank=" + std::to_string(Call.Rank) +
               " organisation=" + std::to_string(organisationOf(Call)) +
               " expected_ms=" + std::to_string(Wait.count() / 1000) +
               " queued=" + std::to_string(Queue.size()) +
               " interval_us=" + std::to_string(Queue.interval().count()) +
               " call_ms=" + std::to_string(Queue.callTime().count() / 1000));
  Call.RetryDelay = Wait;
  fail(Now, Call, EndReason::Overloaded);
}

void Forwarder::sendQueued(Time Now, const std::string &Service) {
  const auto Found = Queues.find(Service);
  if (Found == Queues.end())
    return;
  PlainQueue &Queue = Found->second;
  const auto IsGone = [&](uint64_t Id) {
    const auto It = Calls.find(Id);
    return It == Calls.end() || It->second.CurrentStage != Stage::Queued;
  };
  Queue.removeIf(IsGone);
  if (Queue.size() == 0)
    return;
  for (const QueuedCall &Next : Queue.inOrder(Now)) {
    if (IsGone(Next.Id))
      continue;
    ActiveCall &Call = Calls.at(Next.Id);
    const UpstreamRecord *U = choosePlain(Now, Call);
    // A stream that needs a certain software version does not hold up others.
    if (!U && !Call.Origin)
      break;
    if (!U)
      continue;
    Queue.onStarted(Now, Next);
    Call.Upstream = *U;
    sendTo(Now, Call, 0);
  }
  for (const QueuedCall &Late : Queue.takeLate(Now))
    if (!IsGone(Late.Id))
      refuseQueued(Now, Calls.at(Late.Id), Queue.expectedWait(Now, Late),
                   "overtaken");
}

const UpstreamRecord *Forwarder::choosePlain(Time Now,
                                             const ActiveCall &Call) const {
  std::vector<const UpstreamRecord *> Allowed;
  for (const UpstreamRecord *U : openCandidatesFor(Now, Call))
    if (Limits.allows(Now, U->Id))
      Allowed.push_back(U);
  return Balancer.choose(Now, Allowed, Call.TriedUpstreams);
}

Duration Forwarder::lateAtAll(Time Now, const ActiveCall &Call) const {
  if (Call.Sends > 0)
    return Duration(0);
  Duration Least = Duration::max();
  for (const UpstreamRecord *U : openCandidatesFor(Now, Call)) {
    const Duration Expected = Balancer.expectedTime(Now, U->Id);
    if (Expected == Duration(0))
      return Duration(0);
    Least = std::min(Least, Expected);
  }
  return Least == Duration::max()
             ? Duration(0)
             : std::max(Duration(0), Least - (Call.Deadline - Now));
}

Duration Forwarder::limitWait(const std::string &Service, size_t Ahead) const {
  double PerSecond = 0;
  for (const UpstreamRecord *U : upstreamsOf(Service)) {
    const double Share = Limits.share(U->Id);
    if (Share <= 0)
      return Duration(0);
    PerSecond += Share;
  }
  return PerSecond > 0 ? fromSeconds(static_cast<double>(Ahead) / PerSecond)
                       : Duration(0);
}

} // namespace goldcrestlink::forward
