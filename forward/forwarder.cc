// To place a call on an engine, the entry requests admission from the side
// beside the cheapest engine, and sends the call once the side replies Go. A
// side that does not answer is skipped; but if its engine is known to hold the
// adapter, the call is sent there directly, since an engine reliably refuses
// what it cannot serve. A call to a plain service is sent at once or waits in a
// short queue (forwarder_plain.cc). forwarder_sends.cc handles calls once they
// are sent.
//
// Work per event is constant, apart from ranking the service's upstreams. A new
// catalog visits every upstream and every call.
#include "forward/forwarder.h"

#include <algorithm>
#include <numeric>
#include <span>

#include "admission/organisation_weights.h"
#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {

// Keeps admission ids short on the wire.
constexpr uint64_t AdmissionIdStartMask = 0x3fffffff;
// Retry-After time while no configuration is known or too many calls are in
// progress.
constexpr Duration RejectionRetryAfter = std::chrono::milliseconds(500);
// Retry-After time while the entry waits for the state of a side, which takes a
// few milliseconds.
constexpr Duration StartRetryAfter = std::chrono::milliseconds(100);
// Separates the seed of the key table from the other uses of the seed.
constexpr uint64_t KeySeedPurpose = 0x6b657973;
// Minimum time between prefetch requests for an adapter to the same engine.
constexpr Duration PrefetchInterval = std::chrono::seconds(1);
// When the times of this many prefetch requests are stored, all are dropped.
constexpr size_t MaxPrefetchRecords = 16384;
std::vector<PromptPart> promptParts(const InferenceParams &Params) {
  std::vector<PromptPart> Out;
  uint64_t Key = hash64(adapterName(Params.Model, Params.Adapter));
  uint32_t Tokens = 0;
  for (size_t I = 0;
       I < std::min(Params.SharedParts.size(), Params.SharedTokens.size());
       ++I) {
    Key = mixHash(Key, Params.SharedParts[I]);
    Tokens = std::min(Tokens + Params.SharedTokens[I], Params.PromptTokens);
    Out.push_back({Key, Tokens});
  }
  return Out;
}
} // namespace

Forwarder::Forwarder(Options O, ForwardPort &InPort, uint64_t Seed)
    : Opts(std::move(O)), Port(InPort), Rand(Seed),
      NextAdmissionId(1 + (Seed & AdmissionIdStartMask)),
      Engines(EngineRanker::Options()
                  .setDataCentre(Opts.dataCentre())
                  .setSeed(Seed)),
      Balancer(ServiceBalancer::Options()
                   .setDataCentre(Opts.dataCentre())
                   .setSeed(Seed)),
      KeySeed(mixHash(Seed, KeySeedPurpose)), Age(Opts.configAge()),
      Crashes(CrashAttribution::Options()),
      Quotas(Opts.quotas(), Opts.entryToken()) {}

// Known state of the deployment.

void Forwarder::onCatalog(Time Now, std::shared_ptr<const Catalog> NewCatalog) {
  if (!CurrentCatalog ||
      CurrentCatalog->sharedConfig() != NewCatalog->sharedConfig())
    Keys = KeyTable(NewCatalog->sharedConfig(), KeySeed);
  CurrentCatalog = std::move(NewCatalog);
  Engines.retain(CurrentCatalog->upstreams());
  Balancer.retain(CurrentCatalog->upstreams());
  Limits.retain(CurrentCatalog->upstreams());
  Pauses.retain(CurrentCatalog->upstreams());
  for (const auto &[Id, U] : CurrentCatalog->upstreams())
    Leaving.onRecord({Id, U.StartedMs});
  findCrashes(Now);
  if (hasConfig())
    Weights = organisationWeights(CurrentCatalog->config()->Organisations);
  for (auto &[Service, Queue] : Queues)
    Queue.setWeights(Weights);
  if (hasConfig()) {
    Gate.onCatalog(Now, hasEngines());
    Quotas.setOrganisations(
        Now, withQuotasPerWindow(CurrentCatalog->config()->Organisations,
                                 Opts.quotas().window()));
  }
  onUsableUpstreams(Now);
}

void Forwarder::onUsableUpstreams(Time Now) {
  ReadyUpstreams.clear();
  for (const auto &[Id, U] : CurrentCatalog->upstreams())
    if (isUsable(U))
      ReadyUpstreams[U.Service].push_back(&U);
  std::vector<uint64_t> ToMove;
  for (const auto &[Id, Call] : Calls)
    if ((Call.CurrentStage == Stage::AdmissionRequested ||
         Call.CurrentStage == Stage::WaitingAtSide) &&
        !canSend(Now, Call))
      ToMove.push_back(Id);
  for (const uint64_t Id : ToMove) {
    ActiveCall &Call = Calls.at(Id);
    endAdmission(Call);
    placeOnEngine(Now, Call);
  }
  for (const auto &[Service, Queue] : Queues)
    sendQueued(Now, Service);
}

bool Forwarder::hasEngines() const {
  const std::vector<ServiceSpec> &All = CurrentCatalog->config()->Services;
  return std::any_of(All.begin(), All.end(),
                     [](const ServiceSpec &S) { return S.IsEngine; });
}

const std::vector<const UpstreamRecord *> &
Forwarder::upstreamsOf(const std::string &Service) const {
  static const std::vector<const UpstreamRecord *> None;
  const auto It = ReadyUpstreams.find(Service);
  return It == ReadyUpstreams.end() ? None : It->second;
}

bool Forwarder::isUsable(const std::string &UpstreamId) const {
  const auto It = CurrentCatalog->upstreams().find(UpstreamId);
  return It != CurrentCatalog->upstreams().end() && isUsable(It->second);
}

bool Forwarder::isUsable(const UpstreamRecord &U) const {
  return !U.Draining && !Leaving.contains({U.Id, U.StartedMs});
}

bool Forwarder::canSend(Time Now, const ActiveCall &Call) const {
  return isUsable(Call.Upstream.Id) && Pauses.allows(Now, Call.Upstream.Id) &&
         mayContinue(Call, CurrentCatalog->upstreams().at(Call.Upstream.Id));
}

void Forwarder::onLoad(Time Now, const std::string &UpstreamId,
                       const EngineLoad &Load) {
  Engines.onLoad(Now, UpstreamId, Load);
  if (Load.RequestLimit > 0)
    Limits.onTold(Now, UpstreamId, Load.RequestLimit);
}

void Forwarder::onEntries(Time Now, size_t Count) {
  Limits.setEntries(Now, Count);
  Engines.setEntries(Count);
  Balancer.setEntries(Count);
}

// Arrival of calls.

std::string Forwarder::pickService(const RouteSpec &Route) {
  double Sum = 0;
  for (const RouteTarget &T : Route.Targets)
    Sum += T.Weight;
  double Remaining = Rand.unit() * Sum;
  for (const RouteTarget &T : Route.Targets) {
    Remaining -= T.Weight;
    if (Remaining < 0)
      return T.Service;
  }
  return Route.Targets.empty() ? std::string() : Route.Targets.back().Service;
}

void Forwarder::rejectNewCall(uint64_t Id, const IncomingCall &Request,
                              unsigned Status, Duration RetryAfter,
                              EndReason Why) {
  Port.log(
      LogClass::Kept,
      "end id=" + Request.RequestId +
          " outcome=" + std::string(endReasonName(Why)) +
          " status=" + std::to_string(Status) + " config=" +
          std::to_string(hasConfig() ? CurrentCatalog->config()->Version : 0));
  Port.record(0, endReasonName(Why), Duration(0), Duration(0));
  Port.answerWithError(Id, Status, Request.RequestId, RetryAfter, Why);
}

void Forwarder::onCall(Time Now, uint64_t Id, IncomingCall Request) {
  if (!hasConfig())
    return rejectNewCall(Id, Request, 503, RejectionRetryAfter,
                         EndReason::NoConfig);
  if (!isPlacing(Now))
    return rejectNewCall(Id, Request, 503, StartRetryAfter,
                         EndReason::Starting);
  const std::string_view Path =
      std::string_view(Request.Target).substr(0, Request.Target.find('?'));
  const RouteSpec *Route = CurrentCatalog->route(Request.Host, Path);
  if (!Route)
    return rejectNewCall(Id, Request, 404, Duration(0), EndReason::NoRoute);
  std::shared_ptr<const OrganisationSpec> Organisation;
  if (!admitKey(Now, Id, Request, *Route, Organisation))
    return;
  if (Request.RequestId.empty())
    return rejectNewCall(Id, Request, 400, Duration(0), EndReason::BadRequest);
  if (Calls.size() >= Opts.maxCalls())
    return rejectNewCall(Id, Request, 503, RejectionRetryAfter,
                         EndReason::TooMany);
  if (const Duration Own = Headroom.ownTime(Now);
      Own > Route->Objective && Route->Objective > Duration(0)) {
    Port.log(
        LogClass::Kept,
        "entry_busy id=" + Request.RequestId + " route=" + Route->Name +
            " own_ms=" + std::to_string(Own.count() / 1000) +
            " objective_ms=" + std::to_string(Route->Objective.count() / 1000));
    return rejectNewCall(Id, Request, 503, Own + spread(Own), EndReason::Busy);
  }
  QuotaCharge Charge;
  if (!admitQuota(Now, Id, Request, Organisation.get(), Charge))
    return;
  std::vector<RequestTrait> Traits = traitsOf(Request);
  if (!admitTraits(Now, Id, Request, Traits))
    return returnQuota(Now, Charge);
  ActiveCall Call;
  Call.Id = Id;
  Call.Isolated = Crashes.isContested(Now, Traits);
  IsolatedCalls += Call.Isolated ? 1 : 0;
  Call.RouteName = Route->Name;
  Call.Service = pickService(*Route);
  Call.Repeat = Route->Repeat;
  Call.Streaming = Route->Streaming;
  Call.Rank = combinedRank(Organisation.get(), Route->Rank);
  Call.Organisation = std::move(Organisation);
  Call.Public = Route->Public;
  Call.RemoveCredentials = Keys.areRequired();
  Call.MaxAttempts = std::max(1u, Route->MaxAttempts);
  Call.Objective = Route->Objective;
  Call.MaxPause = Route->MaxPause;
  Call.Arrived = Now;
  const Duration TimeLeft = Request.TimeLeft > Duration(0)
                                ? Request.TimeLeft
                                : Opts.defaultTimeLeft();
  Call.Deadline = Now + std::min(TimeLeft, Route->Timeout);
  if (Call.Repeat == Repeatability::ResumableStream)
    Call.Position.startAfter(Request.AfterEvent);
  Call.Request = std::move(Request);
  Call.Traits = std::move(Traits);
  Call.Quota = std::move(Charge);
  ActiveCall &Placed = Calls.emplace(Id, std::move(Call)).first->second;
  schedule(Placed.Deadline, Id);
  takesUp(Placed) ? findOrigin(Now, Placed) : place(Now, Placed);
}

void Forwarder::place(Time Now, ActiveCall &Call) {
  const ServiceSpec *Spec = CurrentCatalog->service(Call.Service);
  Call.IsEngine = Spec && Spec->IsEngine;
  Allowances.try_emplace(Call.Service, Opts.allowance())
      .first->second.onRequest(Now);
  if (!Call.IsEngine)
    return placeOnService(Now, Call);
  placeOnEngine(Now, Call);
}

void Forwarder::onCallerGone(Time Now, uint64_t Id) {
  const auto It = Calls.find(Id);
  if (It == Calls.end())
    return cancelHeldCall(Now, Id);
  ActiveCall &Call = It->second;
  if (Call.CurrentStage == Stage::Sent ||
      Call.CurrentStage == Stage::Streaming) {
    Call.MayHaveRun = true;
    Port.cancelSend({Call.Id, Call.Sends});
    finishSend(Now, Call, outcomeWhenGivenUp(Call));
  } else {
    endAdmission(Call);
  }
  endCall(Now, Call, "caller_left");
}

// Engines.

EngineRequirements Forwarder::requirementsOf(const ActiveCall &Call) const {
  const InferenceParams &Params = Call.Request.Inference;
  EngineRequirements Out{
      Params.Model,
      Params.Adapter,
      CurrentCatalog->releasedVersion(Params.Model, Params.Adapter),
      Params.PromptTokens,
      Call.Rank,
      std::accumulate(Params.SharedTokens.begin(), Params.SharedTokens.end(),
                      0u),
      Call.MaxPause};
  Out.OutputTokens = Outputs.expected(outputQuery(Call)).Tokens;
  Out.Parts = promptParts(Params);
  return Out;
}

OutputEstimator::Query Forwarder::outputQuery(const ActiveCall &Call) {
  const InferenceParams &Params = Call.Request.Inference;
  return {hash64(Call.RouteName),
          Params.Adapter.empty() ? 0
                                 : adapterHash(Params.Model, Params.Adapter),
          Params.MaxOutputTokens, Params.LengthHint};
}

void Forwarder::learnOutput(Time Now, const ActiveCall &Call) {
  const ServiceSpec *Spec = CurrentCatalog->service(Call.Service);
  // The events before a stream was taken up are not known here.
  if (!Call.IsEngine || !Spec || takesUp(Call))
    return;
  const uint64_t Tokens = Call.Position.eventCount() *
                          std::max<uint64_t>(1, Spec->Engine.TokensPerEvent);
  Outputs.onComplete(outputQuery(Call), Tokens);
  if (Call.Sends == 1 && Call.FirstByteAt != Time{})
    Engines.onStreamed(Call.Upstream.Id, Tokens, Now - Call.FirstByteAt);
}

Duration Forwarder::maxWaitOf(Time Now, const ActiveCall &Call,
                              bool HeldSomewhere) const {
  auto Wait = Duration(static_cast<int64_t>(
      static_cast<double>(Call.Objective.count()) * Opts.maxWaitShare()));
  // The objective of a stream that goes on is behind it; its caller waits some
  // seconds, and a refusal would lose what it has.
  if (!HeldSomewhere || continuesStream(Call))
    Wait = std::max(Wait, Opts.minLoadWait());
  return std::max(Duration(0), std::min(Wait, (Call.Deadline - Now) / 2));
}

bool Forwarder::continuesStream(const ActiveCall &Call) {
  return Call.HeadForwarded || takesUp(Call);
}

void Forwarder::noteExpected(ActiveCall &Call, const EngineCandidate &Candidate,
                             const EngineRequirements &Required) {
  Call.ExpectedFirst = Candidate.Expected;
  Call.ExpectedWhole = Candidate.Whole;
  Call.ExpectedRun = Candidate.Run;
  Call.ExpectedOutput = Required.OutputTokens;
}

void Forwarder::placeOnEngine(Time Now, ActiveCall &Call) {
  const EngineRequirements Required = requirementsOf(Call);
  const std::vector<EngineCandidate> Ranked = rankEngines(Now, Call, Required);
  if (Ranked.empty())
    return failWithoutUpstream(Now, Call);
  noteExpected(Call, Ranked.front(), Required);
  const auto Soonest =
      std::min_element(Ranked.begin(), Ranked.end(),
                       [](const EngineCandidate &A, const EngineCandidate &B) {
                         return A.Whole - A.Run < B.Whole - B.Run;
                       });
  // The wait for a place, and for the adapter if it is not held.
  if (!keepThroughStop(Now, Call, Soonest->Whole - Soonest->Run))
    return;
  if (Call.AdmissionRequests == 0)
    prefetchOnPreferred(Now, Required, Ranked);
  const bool HeldSomewhere =
      std::any_of(Ranked.begin(), Ranked.end(),
                  [](const EngineCandidate &C) { return C.HoldsAdapter; });
  for (const EngineCandidate &C : Ranked) {
    if (Call.TriedUpstreams.contains(C.Upstream->Id) ||
        (Call.OnlyHolders && !C.HoldsAdapter))
      continue;
    if (Call.AdmissionRequests >= Opts.maxAdmissionRequests())
      break;
    if (!C.SideAnswers) {
      if (!Limits.allows(Now, C.Upstream->Id) || !maySendWithoutSide(Now, Call))
        continue;
      Limits.onSent(Now, C.Upstream->Id);
      Engines.onSent(Now, C.Upstream->Id, Required,
                     Limits.interval(C.Upstream->Id));
      Call.Upstream = *C.Upstream;
      noteExpected(Call, C, Required);
      Call.VersionIsCertain = Versions.isCurrent(Now);
      return sendTo(Now, Call, Required.Version);
    }
    return requestAdmission(Now, Call, C, HeldSomewhere);
  }
  if (Call.AdmissionRequests == 0 && !maySendWithoutSide(Now, Call))
    return fail(Now, Call, EndReason::VersionUncertain);
  fail(Now, Call, Call.MayHaveRun ? EndReason::Broken : EndReason::Overloaded);
}

void Forwarder::prefetchOnPreferred(Time Now,
                                    const EngineRequirements &Required,
                                    std::span<const EngineCandidate> Ranked) {
  for (const EngineCandidate &C : Ranked) {
    if (!C.IsPreferred || C.IsHome || C.HoldsAdapter || !C.SideAnswers ||
        &C == Ranked.data())
      continue;
    const uint64_t Key =
        mixHash(hash64(adapterName(Required.Model, Required.Adapter)),
                hash64(C.Upstream->Id));
    if (LastPrefetch.size() >= MaxPrefetchRecords)
      LastPrefetch.clear();
    Time &Last = LastPrefetch[Key];
    if (Now - Last < PrefetchInterval)
      continue;
    Last = Now;
    AdmissionRequest Admission;
    Admission.Id = NextAdmissionId++;
    Admission.Model = Required.Model;
    Admission.Adapter = Required.Adapter;
    Admission.Announced =
        CurrentCatalog->announced(Now, Required.Model, Required.Adapter);
    Admission.Prefetch = true;
    Port.requestAdmission(*C.Upstream, Admission);
  }
}

void Forwarder::requestAdmission(Time Now, ActiveCall &Call,
                                 const EngineCandidate &Candidate,
                                 bool HeldSomewhere) {
  Call.MaxWait = maxWaitOf(Now, Call, HeldSomewhere);
  Call.Upstream = *Candidate.Upstream;
  Call.UpstreamHoldsAdapter = Candidate.HoldsAdapter;
  Call.AdmissionId = NextAdmissionId++;
  CallByAdmission[Call.AdmissionId] = Call.Id;
  ++Call.AdmissionRequests;
  Call.WaitUntil = Time{};
  const EngineRequirements Required = requirementsOf(Call);
  noteExpected(Call, Candidate, Required);
  Engines.onSent(Now, Call.Upstream.Id, Required,
                 Limits.interval(Call.Upstream.Id), Call.AdmissionId);
  sendAdmissionRequest(Now, Call);
}

void Forwarder::sendAdmissionRequest(Time Now, ActiveCall &Call) {
  Call.AdmissionRequestedAt = Now;
  Call.CurrentStage = Stage::AdmissionRequested;
  awaitReply(Now, Call, Opts.admissionTimeout());
  AdmissionRequest Admission;
  Admission.Id = Call.AdmissionId;
  Admission.Model = Call.Request.Inference.Model;
  Admission.Adapter = Call.Request.Inference.Adapter;
  Admission.Announced =
      CurrentCatalog->announced(Now, Admission.Model, Admission.Adapter);
  // Before streams that have not begun: they have waited in vain already.
  Admission.Rank = continuesStream(Call) ? 0 : Call.Rank;
  Admission.PromptTokens = Call.Request.Inference.PromptTokens;
  Admission.OutputTokens = Call.Request.Inference.MaxOutputTokens;
  Admission.MaxWait = Call.MaxWait;
  Admission.ObjectiveLeft = Call.Arrived + Call.Objective - Now;
  Admission.TimeLeft = Call.Deadline - Now;
  Admission.Request = hash64(Call.Request.RequestId);
  Admission.Organisation = organisationOf(Call);
  Admission.MaxPause = Call.MaxPause;
  Admission.Parts = promptParts(Call.Request.Inference);
  Admission.Organisation = organisationOf(Call);
  Port.requestAdmission(Call.Upstream, Admission);
}

bool Forwarder::moveToSooner(Time Now, ActiveCall &Call, Duration Expected) {
  if (Expected <= Opts.moveGain() ||
      Call.AdmissionRequests >= Opts.maxAdmissionRequests())
    return false;
  for (const EngineCandidate &C :
       rankEngines(Now, Call, requirementsOf(Call))) {
    if (!C.HoldsAdapter || !C.SideAnswers ||
        C.Upstream->Id == Call.Upstream.Id ||
        Call.TriedUpstreams.contains(C.Upstream->Id) ||
        C.Expected + Opts.moveGain() > Expected)
      continue;
    Port.log(LogClass::Routine,
             "move " + describe(Call) + " to=" + C.Upstream->Id +
                 " expected_ms=" + std::to_string(Expected.count() / 1000) +
                 " there_ms=" + std::to_string(C.Expected.count() / 1000));
    endAdmission(Call);
    Call.TriedUpstreams.insert(Call.Upstream.Id);
    requestAdmission(Now, Call, C, true);
    return true;
  }
  return false;
}

void Forwarder::onEnginePause(uint64_t AdmissionId, Duration Length) {
  if (const auto It = CallByAdmission.find(AdmissionId);
      It != CallByAdmission.end())
    Calls.at(It->second).EventPauses.onUpstreamPause(Length);
}

void Forwarder::endAdmission(ActiveCall &Call) {
  if (Call.AdmissionId == 0)
    return;
  const Duration FirstToken =
      Call.FirstByteAt != Time{} && Call.SentAt != Time{}
          ? Call.FirstByteAt - Call.SentAt
          : Duration(0);
  Port.endAdmission(Call.Upstream, Call.AdmissionId, FirstToken);
  Engines.onEnded(Call.Upstream.Id);
  CallByAdmission.erase(Call.AdmissionId);
  Call.AdmissionId = 0;
}

void Forwarder::onAdmission(Time Now, const std::string &UpstreamId,
                            uint64_t AdmissionId, const AdmissionReply &Reply) {
  Engines.onSideAnswered(UpstreamId, AdmissionId);
  SideHeardAt = Now;
  const auto Found = CallByAdmission.find(AdmissionId);
  if (Found == CallByAdmission.end())
    return; // The admission request was ended; the side has been notified.
  ActiveCall &Call = Calls.at(Found->second);
  if (Call.CurrentStage != Stage::AdmissionRequested &&
      Call.CurrentStage != Stage::WaitingAtSide)
    return;
  switch (Reply.Decision) {
  case Verdict::Go:
    if (!canSend(Now, Call)) {
      endAdmission(Call);
      return placeOnEngine(Now, Call);
    }
    Call.EventPauses.setObserved(Reply.ObservesPauses);
    return checkVersion(Now, Call, Reply) ? sendTo(Now, Call, Reply.Version)
                                          : void();
  case Verdict::Wait:
    if (moveToSooner(Now, Call, Reply.Expected) ||
        !keepThroughStop(Now, Call, Reply.Expected))
      return;
    Call.CurrentStage = Stage::WaitingAtSide;
    Port.log(
        LogClass::Routine,
        "wait " + describe(Call) + " ask=" + std::to_string(AdmissionId) +
            " expected_ms=" + std::to_string(Reply.Expected.count() / 1000));
    // The side normally refuses the call before WaitUntil; the time-out covers
    // a side that has failed since.
    if (Call.WaitUntil == Time{})
      Call.WaitUntil = Now + Call.MaxWait * 2 + Opts.admissionTimeout();
    Call.StageUntil =
        std::min(Call.WaitUntil, Now + Reply.Expected + Opts.askAgainDelay());
    schedule(Call.StageUntil, Call.Id);
    return;
  case Verdict::Refuse:
    Port.log(LogClass::Routine,
             "refused_by_side " + describe(Call) +
                 " ask=" + std::to_string(AdmissionId) + " expected_ms=" +
                 std::to_string(Reply.Expected.count() / 1000) +
                 " elsewhere=" + (Reply.TryElsewhere ? "yes" : "no"));
    CallByAdmission.erase(Found);
    Engines.onEnded(UpstreamId);
    Call.AdmissionId = 0;
    Call.TriedUpstreams.insert(Call.Upstream.Id);
    Call.OnlyHolders |= !Reply.TryElsewhere;
    Call.RetryDelay = Call.RetryDelay == Duration(0)
                          ? Reply.Expected
                          : std::min(Call.RetryDelay, Reply.Expected);
    return placeOnEngine(Now, Call);
  }
}

} // namespace goldcrestlink::forward
