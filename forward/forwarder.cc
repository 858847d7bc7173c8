// A call to an engine is placed by asking the side beside the cheapest engine
// for admission; the call is sent when the side says go. A side that does not
// answer is passed over, or, if its engine is known to hold the adapter, the
// call is sent there directly: the engine's own refusal is true in any case. A
// call to a plain service is sent at once or waits in a short queue.
//
// What may be repeated follows from the route. A call that is not idempotent
// and may have run is never sent again; a resumable stream goes on after its
// last whole event. Every second send takes one from the service's allowance.
//
// Work per event is constant but for the ranking of the service's upstreams.
#include "forward/forwarder.h"

#include <algorithm>
#include <span>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {

// A refused caller is asked to come back within this range. The platform's
// clients honour up to a third of the time that they have left.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
// Spread of the time to come back, so that callers do not return in one wave.
constexpr double RetryAfterSpread = 0.5;
// While no configuration or no upstream is known.
constexpr Duration UnknownRetryAfter = std::chrono::milliseconds(500);
// A home is told at most this often to load the same adapter.
constexpr Duration PrefetchPause = std::chrono::seconds(1);
constexpr size_t MaxPrefetchNotes = 16384;
// Calls that wait for a plain service, per service.
constexpr size_t MaxQueued = 256;
// Less time than this is of no use to an upstream.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(5);

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

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
    leaveSide(N, A);
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
  Port.log("end id=" + C.RequestId + " outcome=" + std::string(wordOf(Why)) +
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
    leaveSide(N, A);
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
    const uint64_t Key = mixHash(hash64(Want.Model + "/" + Want.Adapter),
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

void Forwarder::leaveSide(Time N, ActiveCall &A) {
  if (A.AskId == 0)
    return;
  const Duration FirstToken = A.FirstByteAt != Time{} && A.SentAt != Time{}
                                  ? A.FirstByteAt - A.SentAt
                                  : Duration(0);
  Port.endAsk(A.Upstream, A.AskId, FirstToken);
  CallOfAsk.erase(A.AskId);
  A.AskId = 0;
  (void)N;
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
      leaveSide(N, A);
      return placeEngine(N, A);
    }
    return sendTo(N, A, R.Version);
  case Verdict::Wait:
    A.At = Stage::Waiting;
    Port.log("wait " + describe(A) + " ask=" + std::to_string(AskId) +
             " expected_ms=" + std::to_string(R.Expected.count() / 1000));
    // The side gives up first; this covers a side that has died meanwhile.
    A.StageUntil = N + A.Patience * 2 + Opts.askTimeout();
    schedule(A.StageUntil, A.Id);
    return;
  case Verdict::Refuse:
    CallOfAsk.erase(Found);
    A.AskId = 0;
    A.Tried.insert(A.Upstream.Id);
    A.OnlyHolders |= !R.TryElsewhere;
    A.ComeBack = A.ComeBack == Duration(0) ? R.Expected
                                           : std::min(A.ComeBack, R.Expected);
    return placeEngine(N, A);
  }
}

// Sends and their ends.

void Forwarder::sendTo(Time N, ActiveCall &A, uint64_t Version) {
  if (A.Deadline - N < MinTimeLeft) {
    leaveSide(N, A);
    return fail(N, A, EndReason::TimedOut);
  }
  A.At = Stage::Sent;
  A.StageUntil = A.Deadline;
  A.Version = Version;
  A.SentAt = N;
  A.FirstByteAt = Time{};
  A.HeadSeen = false;
  A.Buffered.clear();
  A.Events.dropPartial();
  A.Tried.insert(A.Upstream.Id);
  ++A.Sends;
  if (!A.IsEngine)
    Balancer.onSent(A.Upstream.Id);
  SendTerms T;
  T.To = A.Upstream;
  T.TimeLeft = A.Deadline - N;
  T.Version = Version;
  T.Rank = A.Rank;
  T.IsEngine = A.IsEngine;
  T.AfterEvent = A.Events.lastId();
  Port.log("send " + describe(A) + " send=" + std::to_string(A.Sends) +
           " version=" + std::to_string(Version) +
           " waited_ms=" + std::to_string((N - A.Arrived).count() / 1000) +
           (T.AfterEvent.empty() ? "" : " after_event=" + T.AfterEvent));
  Port.send({A.Id, A.Sends}, A.Call, T);
}

bool Forwarder::isCurrent(const ActiveCall &A, SendId S) const {
  return S.Number == A.Sends &&
         (A.At == Stage::Sent || A.At == Stage::Streaming);
}

Forwarder::ActiveCall *Forwarder::find(SendId S) {
  const auto It = Calls.find(S.Call);
  return It == Calls.end() || !isCurrent(It->second, S) ? nullptr : &It->second;
}

void Forwarder::settleSend(Time N, ActiveCall &A, bool Failed) {
  leaveSide(N, A);
  if (A.IsEngine)
    Board.onOutcome(N, A.Upstream.Id, Failed);
  else
    Balancer.onEnded(N, A.Upstream.Id, Failed);
}

void Forwarder::onHead(Time N, SendId S, AnswerHead Head) {
  ActiveCall *A = find(S);
  if (!A)
    return;
  if (Head.OtherRequest || Head.Encoded ||
      (isSuccess(Head.Status) && !Head.Signed)) {
    Port.cancelSend(S);
    A->MayHaveRun = true;
    settleSend(N, *A, true);
    return onBroken(N, *A, EndReason::BadAnswer);
  }
  A->Head = std::move(Head);
  A->HeadSeen = true;
  if (!A->Head.NotRun)
    A->MayHaveRun = true;
}

void Forwarder::onData(Time N, SendId S, std::string Part) {
  ActiveCall *A = find(S);
  if (!A || !A->HeadSeen)
    return;
  if (A->FirstByteAt == Time{})
    A->FirstByteAt = N;
  const bool Stream = isSuccess(A->Head.Status) && A->Head.EventStream;
  if (!Stream) {
    A->Buffered += Part;
    if (A->Buffered.size() <= Opts.maxBuffered())
      return;
    Port.cancelSend(S);
    settleSend(N, *A, true);
    return onBroken(N, *A, EndReason::BadAnswer);
  }
  std::string Whole = A->Events.feed(Part);
  if (Whole.empty())
    return;
  A->At = Stage::Streaming;
  if (!A->HeadPassedOn) {
    A->HeadPassedOn = true;
    Port.answerBegin(A->Id, A->Head.Status, A->Head.Fields);
  }
  Port.answerData(A->Id, std::move(Whole));
}

void Forwarder::onDone(Time N, SendId S) {
  ActiveCall *A = find(S);
  if (!A)
    return;
  if (A->Head.NotRun) {
    if (A->Head.OtherInstance) {
      Board.onReplaced(A->Upstream.Id);
      Balancer.onReplaced(A->Upstream.Id);
    }
    settleSend(N, *A, true);
    return onNotRun(N, *A);
  }
  onWhole(N, *A);
}

void Forwarder::onWhole(Time N, ActiveCall &A) {
  const unsigned Status = A.Head.Status;
  settleSend(N, A, Status >= 500);
  const std::string Service = A.Service;
  const bool Plain = !A.IsEngine;
  if (isSuccess(Status) && A.Head.EventStream) {
    if (!A.HeadPassedOn)
      Port.answerBegin(A.Id, Status, A.Head.Fields);
    if (std::string Rest = A.Events.takePartial(); !Rest.empty())
      Port.answerData(A.Id, std::move(Rest));
    Port.answerEnd(A.Id);
    erase(N, A, "served");
  } else if (A.HeadPassedOn) {
    // A resumed stream whose second run failed.
    Port.answerAbort(A.Id);
    erase(N, A, "cut");
  } else if (Status >= 500 && A.Repeat == Repeatability::Idempotent &&
             maySendAgain(N, A, true)) {
    A.HasFailure = true;
    A.FailureHead = A.Head;
    A.FailureBody = std::move(A.Buffered);
    placeAgain(N, A);
  } else if ((Status == 503 || Status == 429 || Status == 408) &&
             A.Repeat != Repeatability::Idempotent) {
    // The upstream does not say that it has not run; these statuses would.
    fail(N, A, EndReason::BadAnswer);
  } else {
    std::string Body = std::move(A.Buffered);
    passOnWhole(N, A, AnswerHead(A.Head), std::move(Body));
  }
  if (Plain)
    serveQueue(N, Service);
}

void Forwarder::passOnWhole(Time N, ActiveCall &A, const AnswerHead &H,
                            std::string Body) {
  Port.answerWhole(A.Id, H.Status, H.Fields, std::move(Body));
  erase(N, A, isSuccess(H.Status) ? "served" : "upstream_failure");
}

void Forwarder::onError(Time N, SendId S, SendError E, std::string_view Why) {
  ActiveCall *A = find(S);
  if (!A)
    return;
  Port.log("send_failed " + describe(*A) + " send=" + std::to_string(A->Sends) +
           " sent=" + (E == SendError::NotSent ? "no" : "maybe") + " why=\"" +
           std::string(Why) + "\"");
  settleSend(N, *A, true);
  if (E == SendError::NotSent) {
    if (A->IsEngine)
      Board.onUnreachable(N, A->Upstream.Id);
    else
      Balancer.onUnreachable(N, A->Upstream.Id);
    // Nothing has left, so this was no send.
    --A->Sends;
    if (A->HeadPassedOn || A->Asks >= Opts.maxAsks())
      return onBroken(N, *A, EndReason::NotAccepted);
    return placeAgain(N, *A);
  }
  A->MayHaveRun = true;
  onBroken(N, *A, EndReason::Broken);
}

bool Forwarder::maySendAgain(Time N, ActiveCall &A, bool AfterRun) {
  if (AfterRun && A.Repeat == Repeatability::AtMostOnce)
    return false;
  if (A.Sends >= A.MaxAttempts || A.Deadline - N < A.Objective / 10)
    return false;
  return Allowances.at(A.Service).take(N, Board.entries());
}

void Forwarder::placeAgain(Time N, ActiveCall &A) {
  if (!A.IsEngine)
    return placePlain(N, A);
  A.Asks = 0;
  placeEngine(N, A);
}

void Forwarder::onNotRun(Time N, ActiveCall &A) {
  if (maySendAgain(N, A, false))
    return placeAgain(N, A);
  fail(N, A, EndReason::NotAccepted);
}

void Forwarder::onBroken(Time N, ActiveCall &A, EndReason Why) {
  if (A.MayHaveRun && maySendAgain(N, A, true))
    return placeAgain(N, A);
  fail(N, A, Why);
}

// Ends.

Duration Forwarder::retryAfter(Time N, const ActiveCall &A) {
  const Duration Left = A.Call.TimeLeft > Duration(0)
                            ? A.Call.TimeLeft - (N - A.Arrived)
                            : MaxRetryAfter;
  const Duration Base = std::max(A.ComeBack, MinRetryAfter);
  const Duration Spread = Duration(static_cast<int64_t>(
      static_cast<double>(Base.count()) * RetryAfterSpread * Rand.unit()));
  return std::min(
      {Base + Spread, MaxRetryAfter, std::max(MinRetryAfter, Left / 3)});
}

void Forwarder::fail(Time N, ActiveCall &A, EndReason Why) {
  if (A.HeadPassedOn) {
    Port.answerAbort(A.Id);
    return erase(N, A, wordOf(Why));
  }
  if (A.HasFailure) {
    std::string Body = std::move(A.FailureBody);
    return passOnWhole(N, A, AnswerHead(A.FailureHead), std::move(Body));
  }
  if (!A.MayHaveRun)
    Port.answerOwn(A.Id, 503, A.Call.RequestId, retryAfter(N, A), Why);
  else
    Port.answerOwn(A.Id, Why == EndReason::TimedOut ? 504 : 502,
                   A.Call.RequestId, Duration(0), Why);
  erase(N, A, wordOf(Why));
}

void Forwarder::erase(Time N, ActiveCall &A, std::string_view Outcome) {
  Port.log("end " + describe(A) + " outcome=" + std::string(Outcome) +
           " sends=" + std::to_string(A.Sends) +
           " asks=" + std::to_string(A.Asks) +
           " may_have_run=" + (A.MayHaveRun ? "yes" : "no") + " first_ms=" +
           std::to_string(A.FirstByteAt == Time{}
                              ? -1
                              : (A.FirstByteAt - A.Arrived).count() / 1000) +
           " total_ms=" + std::to_string((N - A.Arrived).count() / 1000));
  Port.record(A.Rank, Outcome,
              A.FirstByteAt == Time{} ? Duration(0) : A.FirstByteAt - A.Arrived,
              N - A.Arrived);
  Calls.erase(A.Id);
}

std::string Forwarder::describe(const ActiveCall &A) const {
  std::string Out = "id=" + A.Call.RequestId + " route=" + A.RouteName +
                    " rank=" + std::to_string(A.Rank);
  if (A.IsEngine)
    Out += " model=" + A.Call.Ask.Model + " adapter=" + A.Call.Ask.Adapter +
           " prompt=" + std::to_string(A.Call.Ask.PromptTokens);
  if (!A.Upstream.Id.empty())
    Out += " upstream=" + A.Upstream.Id;
  return Out;
}

// Time.

void Forwarder::schedule(Time When, uint64_t Id) { Timers.push({When, Id}); }

void Forwarder::onTimer(Time N) {
  while (!Timers.empty() && Timers.top().first <= N) {
    const uint64_t Id = Timers.top().second;
    Timers.pop();
    if (const auto It = Calls.find(Id); It != Calls.end())
      onDue(N, It->second);
  }
}

void Forwarder::onDue(Time N, ActiveCall &A) {
  if (N >= A.Deadline) {
    if (A.At == Stage::Sent || A.At == Stage::Streaming) {
      // It may have run even if nothing has been heard of it.
      A.MayHaveRun = true;
      Port.cancelSend({A.Id, A.Sends});
      settleSend(N, A, !A.HeadSeen);
    } else {
      leaveSide(N, A);
    }
    return fail(N, A, EndReason::TimedOut);
  }
  if (N < A.StageUntil)
    return;
  switch (A.At) {
  case Stage::Asking:
    Port.log("side_silent " + describe(A));
    Board.onSideSilent(N, A.Upstream.Id);
    leaveSide(N, A);
    Port.sideSilent(A.Upstream);
    // The engine's own refusal is true, so a send is safe without its side.
    if (A.UpstreamHolds && isUsable(A.Upstream.Id))
      return sendTo(
          N, A, Known->releasedVersion(A.Call.Ask.Model, A.Call.Ask.Adapter));
    A.Tried.insert(A.Upstream.Id);
    return placeEngine(N, A);
  case Stage::Waiting:
    leaveSide(N, A);
    A.Tried.insert(A.Upstream.Id);
    return placeEngine(N, A);
  case Stage::Queued:
    return fail(N, A, EndReason::Overloaded);
  case Stage::Sent:
  case Stage::Streaming:
    return;
  }
}

} // namespace goldcrestlink::forward
