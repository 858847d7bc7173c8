// Forwarder, from the send on: answers, second sends, ends and time limits.
//
// What may be repeated follows from the route. A call that is not idempotent
// and may have run is never sent again; a resumable stream goes on after its
// last whole event. Every second send takes one from the service's allowance.
// Work per event is constant; a timer is looked at once.
#include <algorithm>

#include "forward/forwarder.h"

namespace goldcrestlink::forward {

namespace {

// A refused caller is asked to come back within this range. The platform's
// clients honour up to a third of the time that they have left.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
// Spread of the time to come back, so that callers do not return in one wave.
constexpr double RetryAfterSpread = 0.5;
// Less time than this is of no use to an upstream.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(5);

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

} // namespace

// Sends and their ends.

void Forwarder::sendTo(Time N, ActiveCall &A, uint64_t Version) {
  if (A.Deadline - N < MinTimeLeft) {
    leaveSide(A);
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
  Port.log(LineClass::Routine,
           "send " + describe(A) + " send=" + std::to_string(A.Sends) +
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
  leaveSide(A);
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
    erase(N, A, ServedOutcome);
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
  erase(N, A, isSuccess(H.Status) ? ServedOutcome : "upstream_failure");
}

void Forwarder::onError(Time N, SendId S, SendError E, std::string_view Why) {
  ActiveCall *A = find(S);
  if (!A)
    return;
  Port.log(LineClass::Kept,
           "send_failed " + describe(*A) + " send=" + std::to_string(A->Sends) +
               " sent=" + (E == SendError::NotSent ? "no" : "maybe") +
               " why=\"" + std::string(Why) + "\"");
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
  Port.log(
      Outcome == ServedOutcome ? LineClass::Routine : LineClass::Kept,
      "end " + describe(A) + " outcome=" + std::string(Outcome) + " sends=" +
          std::to_string(A.Sends) + " asks=" + std::to_string(A.Asks) +
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
      leaveSide(A);
    }
    return fail(N, A, EndReason::TimedOut);
  }
  if (N < A.StageUntil)
    return;
  switch (A.At) {
  case Stage::Asking:
    Port.log(LineClass::Kept, "side_silent " + describe(A));
    Board.onSideSilent(N, A.Upstream.Id);
    leaveSide(A);
    Port.sideSilent(A.Upstream);
    // The engine's own refusal is true, so a send is safe without its side.
    if (A.UpstreamHolds && isUsable(A.Upstream.Id))
      return sendTo(
          N, A, Known->releasedVersion(A.Call.Ask.Model, A.Call.Ask.Adapter));
    A.Tried.insert(A.Upstream.Id);
    return placeEngine(N, A);
  case Stage::Waiting:
    leaveSide(A);
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
