// The part of Forwarder that handles a call once it is sent: answers, retries,
// ends and time limits.
//
// The route determines what may be repeated. A call that is not idempotent and
// may have run is never sent again; a resumable stream continues after its last
// complete event. Every retry of a call that was sent counts against the
// service's retry allowance. Work per event is constant, and each timer is
// examined once.
#include <algorithm>
#include <utility>

#include "forward/forwarder.h"

namespace goldcrestlink::forward {

namespace {

// Range of the Retry-After time of a refusal. The platform's clients honour a
// time up to a third of the time that they have left.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
// Random part added to the Retry-After time, as a share of it, so that refused
// callers do not all return at once.
constexpr double RetryAfterSpread = 0.5;
// A call with less time left is not sent: no upstream can answer it in time.
constexpr Duration MinTimeLeft = std::chrono::milliseconds(5);

// Answers up to this size, in bytes, are not counted against the total.
constexpr size_t SmallAnswer = 64 * 1024;
// Between removals of expired suspicions and verdicts.
constexpr Duration CrashExpiryInterval = std::chrono::seconds(1);

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

} // namespace

// Sends and their results.

void Forwarder::sendTo(Time Now, ActiveCall &Call, uint64_t Version) {
  if (Call.Deadline - Now < MinTimeLeft) {
    endAdmission(Call);
    return fail(Now, Call, EndReason::TimedOut);
  }
  if (!keepThroughStop(Now, Call, Duration(0)))
    return;
  if (const std::optional<EndReason> Why = checkKeyAtSend(Now, Call)) {
    endAdmission(Call);
    return fail(Now, Call, *Why);
  }
  Call.CurrentStage = Stage::Sent;
  Call.Version = Version;
  Call.SentAt = Now;
  Call.HeardAt = Now;
  Call.SilenceNoted = false;
  Call.FirstByteAt = Time{};
  Call.HasHead = false;
  Call.HasOutput = false;
  Call.Buffered.clear();
  Call.Position.beginSend();
  Call.TriedUpstreams.insert(Call.Upstream.Id);
  ++Call.Sends;
  Pauses.onSent(Now, Call.Upstream.Id);
  if (!Call.IsEngine) {
    Balancer.onSent(Now, Call.Upstream.Id);
    Limits.onSent(Now, Call.Upstream.Id);
  }
  SendOptions SendOpts;
  SendOpts.To = Call.Upstream;
  SendOpts.TimeLeft = Call.Deadline - Now;
  SendOpts.Version = Version;
  SendOpts.Rank = Call.Rank;
  SendOpts.IsEngine = Call.IsEngine;
  SendOpts.RemoveCredentials = Call.RemoveCredentials;
  if (Call.Organisation)
    SendOpts.Organisation = Call.Organisation->Name;
  SendOpts.AfterEvent = Call.Position.lastId();
  Port.log(LogClass::Routine,
           "send " + describe(Call) + " send=" + std::to_string(Call.Sends) +
               " version=" + std::to_string(Version) +
               " software=" + Call.Upstream.SoftwareVersion + " waited_ms=" +
               std::to_string((Now - Call.Arrived).count() / 1000) +
               describeExpected(Call) +
               (SendOpts.AfterEvent.empty()
                    ? ""
                    : " after_event=" + SendOpts.AfterEvent) +
               describeContent(Call));
  checkSilence(Now, Call);
  Port.send({Call.Id, Call.Sends}, Call.Request, SendOpts);
}

bool Forwarder::isCurrent(const ActiveCall &Call, SendId Send) const {
  return Send.Number == Call.Sends && (Call.CurrentStage == Stage::Sent ||
                                       Call.CurrentStage == Stage::Streaming);
}

Forwarder::ActiveCall *Forwarder::find(SendId Send) {
  return const_cast<ActiveCall *>(std::as_const(*this).find(Send));
}

const Forwarder::ActiveCall *Forwarder::find(SendId Send) const {
  const auto It = Calls.find(Send.Call);
  return It == Calls.end() || !isCurrent(It->second, Send) ? nullptr
                                                           : &It->second;
}

void Forwarder::finishSend(Time Now, ActiveCall &Call, CallOutcome Outcome) {
  endAdmission(Call);
  if (!Call.IsEngine) {
    queueOf(Call.Service).onEnded(Now - Call.SentAt);
    return Balancer.onEnded(Now, Call.Upstream.Id, Outcome, Call.SentAt);
  }
  if (Outcome != CallOutcome::Failed || !Call.SilenceNoted)
    Engines.onOutcome(Now, Call.Upstream.Id, Outcome);
}

void Forwarder::onStall(Time Now) {
  Versions.onStall(Now);
  Quotas.onStall(Now);
  for (auto &[Id, Call] : Calls)
    Call.HeardAt = Now;
}

CallOutcome Forwarder::outcomeWhenGivenUp(const ActiveCall &Call) {
  return Call.FirstByteAt == Time{} || Call.SilenceNoted
             ? CallOutcome::Unknown
             : CallOutcome::Answered;
}

void Forwarder::checkSilence(Time Now, ActiveCall &Call) {
  if (!Call.IsEngine || Call.SilenceNoted || Call.Objective <= Duration(0))
    return;
  const Time SilentAt = Call.HeardAt + Call.Objective;
  if (Now < SilentAt) {
    Call.StageUntil = SilentAt;
    return schedule(SilentAt, Call.Id);
  }
  Call.SilenceNoted = true;
  Port.log(LogClass::Kept, "upstream_silent " + describe(Call) +
                               " send=" + std::to_string(Call.Sends) +
                               describeSilence(Now, Call));
  Engines.onOutcome(Now, Call.Upstream.Id, CallOutcome::Failed);
}

void Forwarder::onHead(Time Now, SendId Send, AnswerHead Head) {
  ActiveCall *Call = find(Send);
  if (!Call)
    return;
  Call->HeardAt = Now;
  noteNotice(Now, *Call, Head.Notice);
  if (Head.OtherRequest || Head.Encoded ||
      (isSuccess(Head.Status) && !Head.Signed)) {
    Port.cancelSend(Send);
    Call->MayHaveRun = true;
    finishSend(Now, *Call, CallOutcome::Failed);
    return onBroken(Now, *Call, EndReason::BadAnswer);
  }
  Call->Head = std::move(Head);
  Call->HasHead = true;
  noteLimit(Now, *Call);
  if (!Call->Head.NotRun)
    Call->MayHaveRun = true;
}

void Forwarder::noteLimit(Time Now, const ActiveCall &Call) {
  const std::string &Id = Call.Upstream.Id;
  const double Before = Limits.perSecond(Id);
  const std::optional<double> Named = Limits.onAnswer(Now, Id, Call.Head);
  if (!Named)
    return;
  if (*Named != Before)
    Port.log(LogClass::Kept, "upstream_limit upstream=" + Id +
                                 " per_second=" + std::to_string(*Named) +
                                 " before=" + std::to_string(Before));
  if (Call.IsEngine)
    Port.shareLimit(Call.Upstream, *Named);
}

void Forwarder::onData(Time Now, SendId Send, std::string Part) {
  ActiveCall *Call = find(Send);
  if (!Call || !Call->HasHead)
    return;
  Call->HeardAt = Now;
  if (Call->FirstByteAt == Time{})
    Call->FirstByteAt = Now;
  const bool Stream = isSuccess(Call->Head.Status) && Call->Head.EventStream;
  if (!Stream) {
    Call->Buffered += Part;
    if (fitsBuffers(*Call))
      return;
    Port.cancelSend(Send);
    finishSend(Now, *Call, CallOutcome::Failed);
    return onBroken(Now, *Call, EndReason::BadAnswer);
  }
  std::string Complete = Call->Position.feed(Part);
  if (Call->Position.pending() > Opts.maxEventBytes()) {
    Port.cancelSend(Send);
    finishSend(Now, *Call, CallOutcome::Failed);
    return onBroken(Now, *Call, EndReason::BadAnswer);
  }
  if (!Complete.empty()) {
    noteOutput(Now, *Call);
    Call->EventPauses.onEvents(
        Now, Call->Sends, Delays.longestSince(Call->EventPauses.lastAt(), Now));
    Call->CurrentStage = Stage::Streaming;
    if (!Call->HeadForwarded) {
      noteOrigin(Now, *Call);
      Call->HeadForwarded = true;
      Port.answerBegin(Call->Id, Call->Head.Status, Call->Head.Fields);
    }
    Port.answerData(Call->Id, std::move(Complete));
  }
  if (Call->Position.isInterrupted()) {
    Port.cancelSend(Send);
    onError(Now, Send, SendError::Broken, "event does not continue the stream");
  }
}

bool Forwarder::fitsBuffers(const ActiveCall &Call) const {
  if (Call.Buffered.size() <= SmallAnswer)
    return true;
  size_t Sum = 0;
  for (const auto &[Id, C] : Calls)
    Sum += C.Buffered.size() + C.FailureBody.size();
  return Call.Buffered.size() <= Opts.maxBuffered() &&
         Sum <= Opts.maxBufferedByAll();
}

bool Forwarder::isBrokenOff(const ActiveCall &Call) const {
  if (!isSuccess(Call.Head.Status))
    return false;
  // The end of a connection is no sign that an empty body is complete.
  if (!Call.Head.EventStream)
    return Call.Head.EndsWithConnection && Call.Buffered.empty();
  return Call.Position.endsEarly(Call.Head.EndsWithConnection);
}

void Forwarder::onDone(Time Now, SendId Send) {
  ActiveCall *Call = find(Send);
  if (!Call)
    return;
  if (!Call->Head.NotRun && isBrokenOff(*Call))
    return onError(Now, Send, SendError::Broken, "answer broken off");
  if (Call->Head.NotRun) {
    if (Call->Head.OtherInstance) {
      Engines.onReplaced(Call->Upstream.Id);
      Balancer.onReplaced(Call->Upstream.Id);
    }
    finishSend(Now, *Call, CallOutcome::Failed);
    return onNotRun(Now, *Call);
  }
  onComplete(Now, *Call);
}

void Forwarder::onComplete(Time Now, ActiveCall &Call) {
  const unsigned Status = Call.Head.Status;
  // An unsigned failure may come from something else at the address.
  if (Call.Head.Signed)
    noteOutput(Now, Call);
  finishSend(Now, Call,
             Status >= 500 ? CallOutcome::Failed : CallOutcome::Answered);
  const std::string Service = Call.Service;
  const bool IsPlain = !Call.IsEngine;
  if (isSuccess(Status) && Call.Head.EventStream) {
    if (!Call.HeadForwarded)
      Port.answerBegin(Call.Id, Status, Call.Head.Fields);
    Port.answerEnd(Call.Id);
    learnOutput(Now, Call);
    endCall(Now, Call, ServedOutcome);
  } else if (Call.HeadForwarded) {
    // The send that was to resume the stream got another kind of answer, after
    // the caller had received a part of the stream.
    onBroken(Now, Call, EndReason::Broken);
  } else if (Status >= 500 && Call.Repeat == Repeatability::Idempotent &&
             takeRetry(Now, Call, true)) {
    Call.HasFailure = true;
    Call.FailureHead = Call.Head;
    Call.FailureBody = std::move(Call.Buffered);
    placeRetry(Now, Call);
  } else if ((Status == 503 || Status == 429 || Status == 408) &&
             Call.Repeat != Repeatability::Idempotent) {
    // A caller would take these statuses to mean that the request did not run,
    // which the upstream does not state.
    fail(Now, Call, EndReason::BadAnswer);
  } else {
    std::string Body = std::move(Call.Buffered);
    forwardAnswer(Now, Call, AnswerHead(Call.Head), std::move(Body));
  }
  if (IsPlain)
    sendQueued(Now, Service);
}

void Forwarder::forwardAnswer(Time Now, ActiveCall &Call,
                              const AnswerHead &Head, std::string Body) {
  Port.answerInFull(Call.Id, Head.Status, Head.Fields, std::move(Body));
  endCall(Now, Call,
          isSuccess(Head.Status) ? ServedOutcome : "upstream_failure");
}

void Forwarder::onError(Time Now, SendId Send, SendError Error,
                        std::string_view Why) {
  ActiveCall *Call = find(Send);
  if (!Call)
    return;
  if (Error == SendError::Withheld)
    return onWithheld(Now, *Call);
  Port.log(LogClass::Kept,
           "send_failed " + describe(*Call) +
               " send=" + std::to_string(Call->Sends) +
               " sent=" + (Error == SendError::NotSent ? "no" : "maybe") +
               " output=" + (Call->HasOutput ? "yes" : "no") + " why=\"" +
               std::string(Why) + "\"" + describeContent(*Call));
  finishSend(Now, *Call, CallOutcome::Failed);
  if (Error == SendError::NotSent) {
    if (Call->IsEngine)
      Engines.onUnreachable(Now, Call->Upstream.Id);
    else
      Balancer.onUnreachable(Now, Call->Upstream.Id);
    // Nothing was sent, so this does not count as a send.
    --Call->Sends;
    if (Call->HeadForwarded ||
        Call->AdmissionRequests >= Opts.maxAdmissionRequests())
      return onBroken(Now, *Call, EndReason::NotAccepted);
    return placeRetry(Now, *Call);
  }
  Call->MayHaveRun = true;
  noteBroken(Now, *Call);
  onBroken(Now, *Call, EndReason::Broken);
}

bool Forwarder::takeRetry(Time Now, ActiveCall &Call, bool AfterRun) {
  if (AfterRun && Call.Repeat == Repeatability::AtMostOnce)
    return false;
  if (Call.Sends >= Call.MaxAttempts ||
      Call.Deadline - Now < Call.Objective / 10 ||
      Crashes.checkQuarantine(Now, Call.Traits) ||
      Crashes.isContested(Now, Call.Traits))
    return false;
  return Allowances.at(Call.Service).take(Now, Engines.entries());
}

void Forwarder::placeRetry(Time Now, ActiveCall &Call) {
  if (!Call.IsEngine)
    return placeOnService(Now, Call);
  Call.AdmissionRequests = 0;
  placeOnEngine(Now, Call);
}

void Forwarder::onNotRun(Time Now, ActiveCall &Call) {
  if (takeRetry(Now, Call, false))
    return placeRetry(Now, Call);
  fail(Now, Call, EndReason::NotAccepted);
}

void Forwarder::onBroken(Time Now, ActiveCall &Call, EndReason Why) {
  if (Call.MayHaveRun && takeRetry(Now, Call, true))
    return placeRetry(Now, Call);
  fail(Now, Call, Why);
}

// Ends.

Duration Forwarder::retryAfter(Time Now, const ActiveCall &Call) {
  const Duration Remaining = Call.Request.TimeLeft > Duration(0)
                                 ? Call.Request.TimeLeft - (Now - Call.Arrived)
                                 : MaxRetryAfter;
  const Duration Base =
      std::clamp(Call.RetryDelay, MinRetryAfter, MaxRetryAfter);
  return std::min({Base + spread(Base), MaxRetryAfter,
                   std::max(MinRetryAfter, Remaining / 3)});
}

Duration Forwarder::spread(Duration Delay) {
  return Duration(static_cast<int64_t>(static_cast<double>(Delay.count()) *
                                       RetryAfterSpread * Rand.unit()));
}

void Forwarder::failWithoutUpstream(Time Now, ActiveCall &Call) {
  if (const Duration Pause = pauseOf(Now, Call); Pause > Duration(0)) {
    Call.RetryDelay = Pause;
    return fail(Now, Call, EndReason::Paused);
  }
  if (upstreamsOf(Call.Service).empty() || !candidatesFor(Call).empty())
    return fail(Now, Call, EndReason::NoUpstream);
  failTakeUp(Now, Call, EndReason::OriginGone);
}

Duration Forwarder::retryAfterOf(Time Now, const ActiveCall &Call,
                                 EndReason Why) {
  switch (Why) {
  case EndReason::Quarantined:
    return Crashes.quarantineTime();
  case EndReason::KeyUnknown:
    return Duration(0);
  case EndReason::Stopping:
    // Another entry can take the call now.
    return MinRetryAfter + spread(MinRetryAfter);
  case EndReason::Paused:
  case EndReason::ConfigUnconfirmed:
    // Told in full; the callers do not return all at once.
    return Call.RetryDelay + spread(Call.RetryDelay);
  default:
    return retryAfter(Now, Call);
  }
}

void Forwarder::fail(Time Now, ActiveCall &Call, EndReason Why) {
  if (Call.HeadForwarded) {
    Port.answerAbort(Call.Id);
    return endCall(Now, Call, endReasonName(Why));
  }
  if (Call.HasFailure) {
    std::string Body = std::move(Call.FailureBody);
    return forwardAnswer(Now, Call, AnswerHead(Call.FailureHead),
                         std::move(Body));
  }
  if (!Call.MayHaveRun)
    Port.answerWithError(Call.Id, Why == EndReason::KeyUnknown ? 401 : 503,
                         Call.Request.RequestId, retryAfterOf(Now, Call, Why),
                         Why);
  else
    Port.answerWithError(Call.Id, Why == EndReason::TimedOut ? 504 : 502,
                         Call.Request.RequestId, Duration(0), Why);
  endCall(Now, Call, endReasonName(Why));
}

void Forwarder::endCall(Time Now, ActiveCall &Call, std::string_view Outcome) {
  Port.log(
      Outcome == ServedOutcome ? LogClass::Routine : LogClass::Kept,
      "end " + describe(Call) + " outcome=" + std::string(Outcome) +
          " sends=" + std::to_string(Call.Sends) +
          " asks=" + std::to_string(Call.AdmissionRequests) +
          " may_have_run=" + (Call.MayHaveRun ? "yes" : "no") + " first_ms=" +
          std::to_string(Call.FirstByteAt == Time{}
                             ? -1
                             : (Call.FirstByteAt - Call.Arrived).count() /
                                   1000) +
          " total_ms=" + std::to_string((Now - Call.Arrived).count() / 1000) +
          describeSilence(Now, Call) + describePause(Now, Call));
  Port.record(Call.Rank, Outcome,
              Call.FirstByteAt == Time{} ? Duration(0)
                                         : Call.FirstByteAt - Call.Arrived,
              Now - Call.Arrived);
  if (Call.EventPauses.longest().Length > Duration(0))
    Port.recordPause(Call.Rank, Call.EventPauses.longest().Length,
                     Call.MaxPause);
  if (!Call.MayHaveRun)
    returnQuota(Now, Call.Quota);
  IsolatedCalls -= Call.Isolated ? 1 : 0;
  Calls.erase(Call.Id);
}

// Time.

void Forwarder::schedule(Time When, uint64_t Id) { Timers.push({When, Id}); }

void Forwarder::awaitReply(Time Now, ActiveCall &Call, Duration Timeout) {
  Call.ReplyAskedAt = Running.at(Now);
  Call.ReplyTimeout = std::max(Duration(0), Timeout);
  Call.StageUntil = Now + Call.ReplyTimeout;
  schedule(Call.StageUntil, Call.Id);
}

bool Forwarder::mayReplyYet(Time Now, ActiveCall &Call) {
  if (Call.CurrentStage != Stage::AdmissionRequested &&
      Call.CurrentStage != Stage::OriginRequested)
    return false;
  const Duration Left =
      Running.timeLeft(Now, Call.ReplyAskedAt, Call.ReplyTimeout);
  if (Left == Duration(0))
    return false;
  Call.StageUntil = Now + Left;
  schedule(Call.StageUntil, Call.Id);
  return true;
}

void Forwarder::onTimer(Time Now) {
  Delays.onTimer(Now);
  Running.onTimer(Now);
  resumeHeldCalls(Now);
  Headroom.onTimer(Now);
  if (Now >= NextCrashExpiry) {
    NextCrashExpiry = Now + CrashExpiryInterval;
    Crashes.expire(Now);
    Leaving.expire(Now);
  }
  probeAgain(Now);
  // The limits of upstreams allow further requests as time passes.
  for (const auto &[Service, Queue] : Queues)
    sendQueued(Now, Service);
  while (!Timers.empty() && Timers.top().first <= Now) {
    const uint64_t Id = Timers.top().second;
    Timers.pop();
    if (const auto It = Calls.find(Id); It != Calls.end())
      onDue(Now, It->second);
  }
  stepStop(Now);
}

void Forwarder::onDue(Time Now, ActiveCall &Call) {
  if (Now >= Call.Deadline) {
    if (Call.CurrentStage == Stage::Sent ||
        Call.CurrentStage == Stage::Streaming) {
      // The upstream may have run the request even if no answer arrived.
      Call.MayHaveRun = true;
      Port.cancelSend({Call.Id, Call.Sends});
      finishSend(Now, Call,
                 Call.HasHead ? outcomeWhenGivenUp(Call) : CallOutcome::Failed);
    } else {
      endAdmission(Call);
    }
    return fail(Now, Call, EndReason::TimedOut);
  }
  if (Now < Call.StageUntil || mayReplyYet(Now, Call))
    return;
  switch (Call.CurrentStage) {
  case Stage::OriginRequested:
    return onOriginTimeout(Now, Call);
  case Stage::AdmissionRequested:
    Port.log(LogClass::Kept, "side_silent " + describe(Call));
    Engines.onSideSilent(Now, Call.Upstream.Id);
    endAdmission(Call);
    Port.onSideTimeout(Call.Upstream);
    // An engine reliably refuses what it cannot serve, so sending to it without
    // admission by its side is safe.
    if (Call.UpstreamHoldsAdapter && canSend(Now, Call) &&
        maySendWithoutSide(Now, Call) && Limits.allows(Now, Call.Upstream.Id)) {
      Limits.onSent(Now, Call.Upstream.Id);
      Call.VersionIsCertain = Versions.isCurrent(Now);
      return sendTo(
          Now, Call,
          CurrentCatalog->releasedVersion(Call.Request.Inference.Model,
                                          Call.Request.Inference.Adapter));
    }
    Call.TriedUpstreams.insert(Call.Upstream.Id);
    return placeOnEngine(Now, Call);
  case Stage::WaitingAtSide:
    if (Now < Call.WaitUntil)
      return sendAdmissionRequest(Now, Call);
    endAdmission(Call);
    Call.TriedUpstreams.insert(Call.Upstream.Id);
    return placeOnEngine(Now, Call);
  case Stage::Queued:
    return fail(Now, Call, EndReason::Overloaded);
  case Stage::Sent:
  case Stage::Streaming:
    return checkSilence(Now, Call);
  }
}

} // namespace goldcrestlink::forward
