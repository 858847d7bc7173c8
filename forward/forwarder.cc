// A call to an engine is placed by asking the side beside the cheapest engine
// for admission; the call is sent when the side says go. A side that does not
// answer is passed over, or, if its engine is known to hold the adapter, the
// call is sent there directly: the engine's own refusal is true in any case. A
// call to a plain service is sent at once or waits in a short queue.
// What happens to a call once it is sent is in forwarder_sends.cc.
//
// Work per event is constant but for the ranking of the service's upstreams.
#include "forward/forwarder.h"

#include <algorithm>
#include <span>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {

// Keeps a number short on the wire.
constexpr uint64_t AskStartMask = 0x3fffffff;
// While no configuration or no upstream is known.
constexpr Duration UnknownRetryAfter = std::chrono::milliseconds(500);
// A home is told at most this often to load the same adapter.
constexpr Duration PrefetchPause = std::chrono::seconds(1);
constexpr size_t MaxPrefetchNotes = 16384;
// Calls that wait for a plain service, per service.
constexpr size_t MaxQueued = 256;
} // namespace

std::string_view wordOf(EndReason R) {
  switch (R) {
  case EndReason::NoConfig:
    return "no_config";
  case EndReason::NoRoute:
    return "no_route";
  case EndReason::BadRequest:
    return "bad_request";
  case EndReason::NoUpstream:
    return "no_upstream";
  case EndReason::Overloaded:
    return "overloaded";
  case EndReason::NotAccepted:
    return "not_accepted";
  case EndReason::Broken:
    return "broken";
  case EndReason::TimedOut:
    return "timed_out";
  case EndReason::BadAnswer:
    return "bad_answer";
  case EndReason::TooMany:
    return "too_many";
  }
  return "unknown";
}

Forwarder::Forwarder(Options O, ForwardPort &InPort, uint64_t Seed)
    : Opts(std::move(O)), Port(InPort), Rand(Seed),
      NextAsk(1 + (Seed & AskStartMask)),
      Board(EngineBoard::Options().setDataCentre(Opts.dataCentre())),
      Balancer(ServiceBalancer::Options().setDataCentre(Opts.dataCentre())) {}

// What is believed of the deployment.

void Forwarder::onCatalog(Time N, std::shared_ptr<const Catalog> C) {
  Known = std::move(C);
  Ready.clear();
  for (const auto &[Id, U] : Known->upstreams())
    if (!U.Draining)
      Ready[U.Service].push_back(&U);
  Board.retain(Known->upstreams());
  Balancer.retain(Known->upstreams());
  // Requests that wait at an upstream which is leaving go elsewhere.
  std::vector<uint64_t> Moved;
  for (const auto &[Id, A] : Calls)
    if ((A.At == Stage::Asking || A.At == Stage::Waiting) &&
        !isUsable(A.Upstream.Id))
      Moved.push_back(Id);
  for (const uint64_t Id : Moved) {
    ActiveCall &A = Calls.at(Id);
    leaveSide(A);
    placeEngine(N, A);
  }
  for (const auto &[Service, Queue] : Queues)
    serveQueue(N, Service);
}

const std::vector<const UpstreamRecord *> &
Forwarder::upstreamsOf(const std::string &Service) const {
  static const std::vector<const UpstreamRecord *> None;
  const auto It = Ready.find(Service);
  return It == Ready.end() ? None : It->second;
}

bool Forwarder::isUsable(const std::string &UpstreamId) const {
  const auto It = Known->upstreams().find(UpstreamId);
  return It != Known->upstreams().end() && !It->second.Draining;
}

void Forwarder::onLoad(Time N, const std::string &UpstreamId,
                       const EngineLoad &L) {
  Board.onLoad(N, UpstreamId, L);
}

void Forwarder::onEntries(size_t Count) {
  Board.setEntries(Count);
  Balancer.setEntries(Count);
}

// Intake.

std::string Forwarder::pickService(const RouteSpec &R) {
  double Sum = 0;
  for (const RouteTarget &T : R.Targets)
    Sum += T.Weight;
  double Left = Rand.unit() * Sum;
  for (const RouteTarget &T : R.Targets) {
    Left -= T.Weight;
    if (Left < 0)
      return T.Service;
  }
  return R.Targets.empty() ? std::string() : R.Targets.back().Service;
}

void Forwarder::refuseOutright(uint64_t Id, const CallerCall &C,
                               unsigned Status, Duration RetryAfter,
                               EndReason Why) {
  Port.log(LineClass::Kept,
           "end id=" + C.RequestId + " outcome=" + std::string(wordOf(Why)) +
               " status=" + std::to_string(Status) + " config=" +
               std::to_string(hasConfig() ? Known->config()->Version : 0));
  Port.record(0, wordOf(Why), Duration(0), Duration(0));
  Port.answerOwn(Id, Status, C.RequestId, RetryAfter, Why);
}

void Forwarder::onCall(Time N, uint64_t Id, CallerCall Call) {
  if (!hasConfig())
    return refuseOutright(Id, Call, 503, UnknownRetryAfter,
                          EndReason::NoConfig);
  const std::string_view Path =
      std::string_view(Call.Target).substr(0, Call.Target.find('?'));
  const RouteSpec *R = Known->route(Call.Host, Path);
  if (!R)
    return refuseOutright(Id, Call, 404, Duration(0), EndReason::NoRoute);
  if (Call.RequestId.empty())
    return refuseOutright(Id, Call, 400, Duration(0), EndReason::BadRequest);
  if (Calls.size() >= Opts.maxCalls())
    return refuseOutright(Id, Call, 503, UnknownRetryAfter, EndReason::TooMany);
  ActiveCall A;
  A.Id = Id;
  A.RouteName = R->Name;
  A.Service = pickService(*R);
  A.Repeat = R->Repeat;
  A.Streaming = R->Streaming;
  A.Rank = R->Rank;
  A.MaxAttempts = std::max(1u, R->MaxAttempts);
  A.Objective = R->Objective;
  A.Arrived = N;
  const Duration TimeLeft =
      Call.TimeLeft > Duration(0) ? Call.TimeLeft : Opts.defaultTimeLeft();
  A.Deadline = N + std::min(TimeLeft, R->Timeout);
  const ServiceSpec *S = Known->service(A.Service);
  A.IsEngine = S && S->IsEngine;
  A.Call = std::move(Call);
  Allowances.try_emplace(A.Service, Opts.allowance())
      .first->second.onRequest(N);
  ActiveCall &Placed = Calls.emplace(Id, std::move(A)).first->second;
  schedule(Placed.Deadline, Id);
  if (Placed.IsEngine) {
    Board.onDemand(N, wantOf(Placed));
    placeEngine(N, Placed);
  } else {
    placePlain(N, Placed);
  }
}

void Forwarder::onCallerGone(Time N, uint64_t Id) {
  const auto It = Calls.find(Id);
  if (It == Calls.end())
    return;
  ActiveCall &A = It->second;
  if (A.At == Stage::Sent || A.At == Stage::Streaming) {
    Port.cancelSend({A.Id, A.Sends});
    settleSend(N, A, false);
  } else {
    leaveSide(A);
  }
  erase(N, A, "caller_left");
}

// Plain services.

void Forwarder::placePlain(Time N, ActiveCall &A) {
  const UpstreamRecord *U = Balancer.choose(N, upstreamsOf(A.Service), A.Tried);
  if (U) {
    A.Upstream = *U;
    return sendTo(N, A, 0);
  }
  std::deque<uint64_t> &Queue = Queues[A.Service];
  if (upstreamsOf(A.Service).empty() || A.Sends > 0 ||
      Queue.size() >= MaxQueued)
    return fail(N, A,
                upstreamsOf(A.Service).empty() ? EndReason::NoUpstream
                                               : EndReason::Overloaded);
  A.At = Stage::Queued;
  A.StageUntil =
      N + Duration(static_cast<int64_t>(
              static_cast<double>(A.Objective.count()) * Opts.queueShare()));
  schedule(A.StageUntil, A.Id);
  Queue.push_back(A.Id);
}

void Forwarder::serveQueue(Time N, const std::string &Service) {
  const auto Found = Queues.find(Service);
  if (Found == Queues.end())
    return;
  std::deque<uint64_t> &Queue = Found->second;
  while (!Queue.empty()) {
    const auto It = Calls.find(Queue.front());
    if (It == Calls.end() || It->second.At != Stage::Queued) {
      Queue.pop_front();
      continue;
    }
    ActiveCall &A = It->second;
    const UpstreamRecord *U = Balancer.choose(N, upstreamsOf(Service), A.Tried);
    if (!U)
      return;
    Queue.pop_front();
    A.Upstream = *U;
    sendTo(N, A, 0);
  }
}

// Engines.

EngineWant Forwarder::wantOf(const ActiveCall &A) const {
  const ModelAsk &Ask = A.Call.Ask;
  return {Ask.Model, Ask.Adapter,
          Known->releasedVersion(Ask.Model, Ask.Adapter), Ask.PromptTokens,
          A.Rank};
}

Duration Forwarder::patienceOf(Time N, const ActiveCall &A,
                               bool HeldSomewhere) const {
  auto Wait = Duration(static_cast<int64_t>(
      static_cast<double>(A.Objective.count()) * Opts.patienceShare()));
  if (!HeldSomewhere)
    Wait = std::max(Wait, Opts.loadPatience());
  return std::max(Duration(0), std::min(Wait, (A.Deadline - N) / 2));
}

void Forwarder::placeEngine(Time N, ActiveCall &A) {
  const EngineWant Want = wantOf(A);
  const std::vector<EngineCandidate> Ranked =
      Board.rank(N, Want, upstreamsOf(A.Service));
  if (Ranked.empty())
    return fail(N, A, EndReason::NoUpstream);
  if (A.Asks == 0)
    prefetchHomes(N, Want, Ranked);
  const bool HeldSomewhere =
      std::any_of(Ranked.begin(), Ranked.end(),
                  [](const EngineCandidate &C) { return C.Holds; });
  for (const EngineCandidate &C : Ranked) {
    if (A.Tried.contains(C.Upstream->Id) || (A.OnlyHolders && !C.Holds))
      continue;
    if (A.Asks >= Opts.maxAsks())
      break;
    if (!C.SideAnswers) {
      A.Upstream = *C.Upstream;
      return sendTo(N, A, Want.Version);
    }
    return askSide(N, A, C, HeldSomewhere);
  }
  fail(N, A, A.MayHaveRun ? EndReason::Broken : EndReason::Overloaded);
}

void Forwarder::prefetchHomes(Time N, const EngineWant &Want,
                              std::span<const EngineCandidate> Ranked) {
  for (const EngineCandidate &C : Ranked) {
    if (!C.IsHome || C.Holds || !C.SideAnswers || &C == Ranked.data())
      continue;
    const uint64_t Key = mixHash(hash64(adapterName(Want.Model, Want.Adapter)),
                                 hash64(C.Upstream->Id));
    if (Prefetched.size() >= MaxPrefetchNotes)
      Prefetched.clear();
    Time &Last = Prefetched[Key];
    if (N - Last < PrefetchPause)
      continue;
    Last = N;
    AdmissionAsk Ask;
    Ask.Id = NextAsk++;
    Ask.Model = Want.Model;
    Ask.Adapter = Want.Adapter;
    Ask.Version = Want.Version;
    Ask.Prefetch = true;
    Port.ask(*C.Upstream, Ask);
  }
}

void Forwarder::askSide(Time N, ActiveCall &A, const EngineCandidate &C,
                        bool HeldSomewhere) {
  A.Patience = patienceOf(N, A, HeldSomewhere);
  A.Upstream = *C.Upstream;
  A.UpstreamHolds = C.Holds;
  A.AskId = NextAsk++;
  CallOfAsk[A.AskId] = A.Id;
  ++A.Asks;
  A.At = Stage::Asking;
  A.StageUntil = N + Opts.askTimeout();
  schedule(A.StageUntil, A.Id);
  AdmissionAsk Ask;
  Ask.Id = A.AskId;
  Ask.Model = A.Call.Ask.Model;
  Ask.Adapter = A.Call.Ask.Adapter;
  Ask.Version = Known->releasedVersion(A.Call.Ask.Model, A.Call.Ask.Adapter);
  Ask.Rank = A.Rank;
  Ask.PromptTokens = A.Call.Ask.PromptTokens;
  Ask.OutputTokens = A.Call.Ask.MaxOutputTokens;
  Ask.Patience = A.Patience;
  Ask.ObjectiveLeft = A.Arrived + A.Objective - N;
  Ask.TimeLeft = A.Deadline - N;
  Board.onSent(N, A.Upstream.Id, wantOf(A));
  Port.ask(A.Upstream, Ask);
}

void Forwarder::leaveSide(ActiveCall &A) {
  if (A.AskId == 0)
    return;
  const Duration FirstToken = A.FirstByteAt != Time{} && A.SentAt != Time{}
                                  ? A.FirstByteAt - A.SentAt
                                  : Duration(0);
  Port.endAsk(A.Upstream, A.AskId, FirstToken);
  CallOfAsk.erase(A.AskId);
  A.AskId = 0;
}

void Forwarder::onAdmission(Time N, const std::string &UpstreamId,
                            uint64_t AskId, const AdmissionReply &R) {
  Board.onSideAnswered(UpstreamId);
  const auto Found = CallOfAsk.find(AskId);
  if (Found == CallOfAsk.end())
    return; // Ended meanwhile; the side has been told.
  ActiveCall &A = Calls.at(Found->second);
  if (A.At != Stage::Asking && A.At != Stage::Waiting)
    return;
  switch (R.What) {
  case Verdict::Go:
    if (!isUsable(A.Upstream.Id)) {
      leaveSide(A);
      return placeEngine(N, A);
    }
    return sendTo(N, A, R.Version);
  case Verdict::Wait:
    A.At = Stage::Waiting;
    Port.log(LineClass::Routine,
             "wait " + describe(A) + " ask=" + std::to_string(AskId) +
                 " expected_ms=" + std::to_string(R.Expected.count() / 1000));
    // The side gives up first; this covers a side that has died meanwhile.
    A.StageUntil = N + A.Patience * 2 + Opts.askTimeout();
    schedule(A.StageUntil, A.Id);
    return;
  case Verdict::Refuse:
    Port.log(LineClass::Routine,
             "refused_by_side " + describe(A) +
                 " ask=" + std::to_string(AskId) +
                 " expected_ms=" + std::to_string(R.Expected.count() / 1000) +
                 " elsewhere=" + (R.TryElsewhere ? "yes" : "no"));
    CallOfAsk.erase(Found);
    A.AskId = 0;
    A.Tried.insert(A.Upstream.Id);
    A.OnlyHolders |= !R.TryElsewhere;
    A.ComeBack = A.ComeBack == Duration(0) ? R.Expected
                                           : std::min(A.ComeBack, R.Expected);
    return placeEngine(N, A);
  }
}

} // namespace goldcrestlink::forward
