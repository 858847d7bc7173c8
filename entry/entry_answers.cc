// Handling of replies: ordered delivery of an attempt's events, gaps, silent
// sides, refusals and retries. An event is accepted only from the side that the
// attempt was sent to and only in sequence. An event with an earlier sequence
// number, of a closed attempt or from another side is dropped; a later one
// makes the entry request the events in between. The cost per event does not
// depend on the number of requests; checking for silent sides is linear in the
// sides and their open attempts.
#include <algorithm>
#include <array>
#include <cassert>

#include "entry/entry_state_machine.h"

namespace goldcrestlink::entry {

namespace {

// Refusals after which an attempt at another side, or at the same side later,
// may succeed.
constexpr std::array RetryableCodes = {
    Code::Overloaded,   Code::DeadlineUnreachable, Code::Draining,
    Code::UpstreamDown, Code::LoadFailed,          Code::NeverArrived,
    Code::Interrupted,  Code::WrongUpstream,       Code::NoUpstream,
    Code::Cancelled,    Code::UpstreamCrashed,     Code::StaleFencing};
// Failures that are expected to end soon, so that the request is retried after
// a backoff while time is left.
constexpr std::array TransientCodes = {
    Code::Draining,       Code::UpstreamDown, Code::NoUpstream,
    Code::Interrupted,    Code::NeverArrived, Code::WrongUpstream,
    Code::UpstreamCrashed};
constexpr uint32_t MaxDeadlineUnreachableAttempts = 2;

template <size_t Size>
bool contains(const std::array<Code, Size> &List, Code C) {
  return std::find(List.begin(), List.end(), C) != List.end();
}

} // namespace

void EntryStateMachine::onEnvelope(const CurrentTime &Now,
                                   const std::string &Upstream,
                                   const wire::Envelope &Message,
                                   Actions &Out) {
  if (!Config->upstream(Upstream) && !Views.count(Upstream))
    return;
  Views[Upstream].onMessage(Now.Steady);
  if (Message.has_event())
    return onEvent(Now, Upstream, Message.event(), Out);
  if (Message.has_probe_reply())
    return onProbeReply(Now, Upstream, Message.probe_reply(), Out);
}

// A side that sent events of this attempt and now reports that the attempt
// never arrived has restarted and lost it.
bool EntryStateMachine::isLost(const Attempt &Sent,
                               const wire::AttemptEvent &Event) {
  return Event.kind() == wire::AttemptEvent::REFUSED && Sent.NextSequence > 0 &&
         Event.sequence() == 0 &&
         codeFromName(Event.code()) == Code::NeverArrived;
}

void EntryStateMachine::onEvent(const CurrentTime &Now,
                                const std::string &Upstream,
                                const wire::AttemptEvent &Event, Actions &Out) {
  if (Event.has_state())
    Views[Upstream].updateState(Now.Steady, Event.state());
  const auto It = Attempts.find(Event.attempt_id());
  if (It == Attempts.end() || It->second.Upstream != Upstream)
    return;
  Attempt &OpenAttempt = It->second;
  OpenAttempt.SideResponded = true;
  if (isLost(OpenAttempt, Event)) {
    wire::AttemptEvent Failed;
    Failed.set_attempt_id(Event.attempt_id());
    Failed.set_code(std::string(codeName(Code::Interrupted)));
    Failed.set_outcome(wire::OUTCOME_UNKNOWN);
    return onFailed(Now, Requests.at(OpenAttempt.RequestId), Failed, Out);
  }
  if (Event.sequence() < OpenAttempt.NextSequence)
    return;
  if (Event.sequence() > OpenAttempt.NextSequence) {
    SendToSide Send{Upstream, envelope()};
    Send.Message.mutable_resume()->set_attempt_id(Event.attempt_id());
    Send.Message.mutable_resume()->set_next_sequence(OpenAttempt.NextSequence);
    Views[Upstream].onRequestSent(Now.Steady);
    Out.emplace_back(std::move(Send));
    return;
  }
  ++OpenAttempt.NextSequence;
  ActiveRequest &Active = Requests.at(OpenAttempt.RequestId);
  switch (Event.kind()) {
  case wire::AttemptEvent::HEAD:
    Active.HeadStatus = Event.status();
    Active.HeadContentType = Event.content_type();
    return;
  case wire::AttemptEvent::DATA:
    if (Active.FirstByte == Time{})
      Active.FirstByte = Now.Steady;
    Active.Pauses.onEvents(
        Now.Steady, Active.AttemptCount,
        Delays.longestSince(Active.Pauses.lastAt(), Now.Steady));
    deliverHead(Active, Out);
    Out.emplace_back(DeliverData{Active.Request.Id, Event.data()});
    return;
  case wire::AttemptEvent::DONE:
    return onDone(Now, Active, Event, Out);
  case wire::AttemptEvent::REFUSED: {
    const Attempt Refused = OpenAttempt;
    return onRefused(Now, Active, Refused, Event, Out);
  }
  case wire::AttemptEvent::FAILED:
    return onFailed(Now, Active, Event, Out);
  default:
    return; // ACCEPTED needs no action beyond SideResponded.
  }
}

void EntryStateMachine::onDone(const CurrentTime &Now, ActiveRequest &Active,
                               const wire::AttemptEvent &Event, Actions &Out) {
  const std::string Id = Active.Request.Id;
  if (Active.FirstByte == Time{})
    Active.FirstByte = Now.Steady;
  Active.Pauses.setObserved(Event.observes_pauses());
  Active.Pauses.onUpstreamPause(
      Duration(static_cast<int64_t>(Event.longest_pause_us())));
  if (Active.HeadStatus != 0) {
    deliverHead(Active, Out);
    if (!Event.data().empty())
      Out.emplace_back(DeliverData{Id, Event.data()});
    Out.emplace_back(DeliverEnd{Id});
  } else {
    Out.emplace_back(DeliverFullAnswer{Id, Event.status(), Event.content_type(),
                                       Event.data()});
  }
  finish(Now, Id, Code::None, Outcome::Ran, Out);
}

void EntryStateMachine::deliverHead(ActiveRequest &Active, Actions &Out) {
  if (Active.HeadDelivered)
    return;
  Active.HeadDelivered = true;
  Out.emplace_back(DeliverHead{Active.Request.Id, Active.HeadStatus,
                               Active.HeadContentType});
}

void EntryStateMachine::closeAttempt(const std::string &AttemptId) {
  const auto It = Attempts.find(AttemptId);
  assert(It != Attempts.end());
  OpenAttemptsBySide[It->second.Upstream].erase(AttemptId);
  Requests.at(It->second.RequestId).OpenAttempt.clear();
  Attempts.erase(It);
}

// Cancels and closes the open attempt. The side may run it nevertheless.
void EntryStateMachine::abandonAttempt(ActiveRequest &Active, Actions &Out) {
  if (Active.OpenAttempt.empty())
    return;
  SendToSide Send{Attempts.at(Active.OpenAttempt).Upstream, envelope()};
  Send.Message.mutable_cancel()->set_attempt_id(Active.OpenAttempt);
  Out.emplace_back(std::move(Send));
  closeAttempt(Active.OpenAttempt);
  Active.MayHaveRun = true;
}

void EntryStateMachine::onRefused(const CurrentTime &Now, ActiveRequest &Active,
                                  const Attempt &Refused,
                                  const wire::AttemptEvent &Event,
                                  Actions &Out) {
  const Code Why = codeFromName(Event.code());
  closeAttempt(Event.attempt_id());
  Active.LastFailure = Why;
  Active.ConfirmedNotRun = Event.outcome() == wire::OUTCOME_NOT_RUN;
  Active.MayHaveRun |= Event.outcome() == wire::OUTCOME_UNKNOWN;
  // Only the incarnation that the attempt was sent to can rule out that it
  // arrived.
  const bool SameIncarnation =
      Refused.Incarnation != 0 &&
      Refused.Incarnation == Views[Refused.Upstream].incarnation();
  if (Why == Code::NeverArrived && !SameIncarnation)
    Active.MayHaveRun = true;
  if (isCallingBack(Now))
    return fail(Now, Active.Request.Id, Code::Draining, Out);
  if (Event.suspect() && Active.Kind == UpstreamKind::Engine &&
      !Active.Isolated) {
    Active.Isolated = true;
    Active.TriedUpstreams.clear();
    return route(Now, Active.Request.Id, Out);
  }
  if (!Active.Idempotent &&
      (Why == Code::NotOwner || Why == Code::LeaseExpired)) {
    Active.OwnerHint = Event.owner_hint();
    const bool OwnerElsewhere =
        !Active.OwnerHint.empty() && Active.OwnerHint != Refused.Upstream;
    return OwnerElsewhere && !Active.TriedUpstreams.count(Active.OwnerHint)
               ? (Active.TriedUpstreams.insert(Refused.Upstream),
                  route(Now, Active.Request.Id, Out))
               : backOff(Now, Active);
  }
  Active.TriedUpstreams.insert(Refused.Upstream);
  if (!contains(RetryableCodes, Why))
    return fail(Now, Active.Request.Id, Why, Out);
  if (!Active.Idempotent && contains(TransientCodes, Why))
    return backOff(Now, Active);
  if (!Active.Idempotent)
    return fail(Now, Active.Request.Id, Why, Out);
  if (Why == Code::DeadlineUnreachable &&
      Active.AttemptCount >= MaxDeadlineUnreachableAttempts)
    return fail(Now, Active.Request.Id, Why, Out);
  retryOrFail(Now, Active, Out);
}

void EntryStateMachine::onFailed(const CurrentTime &Now, ActiveRequest &Active,
                                 const wire::AttemptEvent &Event,
                                 Actions &Out) {
  const std::string Upstream = Attempts.at(Event.attempt_id()).Upstream;
  const Code Why = codeFromName(Event.code());
  closeAttempt(Event.attempt_id());
  Active.LastFailure = Why;
  Active.Ran |= Event.outcome() == wire::OUTCOME_RAN;
  Active.MayHaveRun |= Event.outcome() != wire::OUTCOME_NOT_RUN;
  const bool WasIsolated = Active.Isolated;
  Active.Isolated |= Event.suspect();
  // A suspect that crashed its upstream while it ran alone is not retried, nor
  // is a request whose answer the caller has already begun to receive.
  const bool NoRetry = !Active.Idempotent || Active.HeadDelivered ||
                       (WasIsolated && Event.suspect()) ||
                       Why == Code::DeadlineExceeded;
  if (NoRetry)
    return fail(Now, Active.Request.Id, Why, Out);
  if (Active.Isolated)
    Active.TriedUpstreams.clear();
  Active.TriedUpstreams.insert(Upstream);
  retryOrFail(Now, Active, Out);
}

void EntryStateMachine::retryOrFail(const CurrentTime &Now,
                                    ActiveRequest &Active, Actions &Out) {
  const bool HasCandidate = !candidateUpstreams(Now, Active).empty();
  if (!HasCandidate) {
    if (contains(TransientCodes, Active.LastFailure) &&
        Now.Steady < Active.Target)
      return backOff(Now, Active);
    return fail(Now, Active.Request.Id, Active.LastFailure, Out);
  }
  const bool First = Active.AttemptCount == 0;
  if (!First && (Active.AttemptCount >= Opts.maxAttempts() || !Budget.take()))
    return fail(Now, Active.Request.Id, Active.LastFailure, Out);
  route(Now, Active.Request.Id, Out);
}

void EntryStateMachine::onSendFailed(const CurrentTime &Now,
                                     const std::string &AttemptId,
                                     Actions &Out) {
  const auto It = Attempts.find(AttemptId);
  if (It == Attempts.end())
    return;
  const std::string Upstream = It->second.Upstream;
  ActiveRequest &Active = Requests.at(It->second.RequestId);
  closeAttempt(AttemptId);
  --Active.AttemptCount;
  Active.LastFailure = Code::NoUpstream;
  if (!Active.Idempotent)
    return backOff(Now, Active);
  Active.TriedUpstreams.insert(Upstream);
  retryOrFail(Now, Active, Out);
}

void EntryStateMachine::checkSilentSides(const CurrentTime &Now, Actions &Out) {
  std::vector<std::pair<std::string, SideView::LivenessStep>> Steps;
  for (auto &[Name, View] : Views) {
    const auto Open = OpenAttemptsBySide.find(Name);
    const size_t Outstanding =
        Open == OpenAttemptsBySide.end() ? 0 : Open->second.size();
    const auto Step =
        View.checkLiveness(Now.Steady, Opts.sideView(), Outstanding);
    if (Step != SideView::LivenessStep::Fine)
      Steps.emplace_back(Name, Step);
  }
  for (const auto &[Name, Step] : Steps) {
    if (Step == SideView::LivenessStep::Unreachable) {
      Out.emplace_back(
          LogDecision{LogClass::Kept, "unreachable upstream=" + Name});
      failOver(Now, Name, Out);
      continue;
    }
    if (Step == SideView::LivenessStep::Reset) {
      Out.emplace_back(
          LogDecision{LogClass::Kept, "reset connection upstream=" + Name});
      Out.emplace_back(ResetConnection{Name});
    }
    probeAndResume(Now, Name, Out);
  }
}

void EntryStateMachine::probeAndResume(const CurrentTime &Now,
                                       const std::string &Upstream,
                                       Actions &Out) {
  Views[Upstream].onRequestSent(Now.Steady);
  SendToSide Probe{Upstream, envelope()};
  Probe.Message.mutable_probe()->set_probe_id(nextId());
  Out.emplace_back(std::move(Probe));
  for (const std::string &Id : OpenAttemptsBySide[Upstream]) {
    SendToSide Send{Upstream, envelope()};
    Send.Message.mutable_resume()->set_attempt_id(Id);
    Send.Message.mutable_resume()->set_next_sequence(
        Attempts.at(Id).NextSequence);
    Out.emplace_back(std::move(Send));
  }
}

// Handles an unreachable side: idempotent requests whose answer has not begun
// are sent to another side. The other attempts stay open in case the side
// becomes reachable again.
void EntryStateMachine::failOver(const CurrentTime &Now,
                                 const std::string &Upstream, Actions &Out) {
  const std::set<std::string> Open = OpenAttemptsBySide[Upstream];
  for (const std::string &Id : Open) {
    const auto It = Attempts.find(Id);
    if (It == Attempts.end())
      continue;
    ActiveRequest &Active = Requests.at(It->second.RequestId);
    if (!Active.Idempotent || Active.HeadDelivered)
      continue;
    abandonAttempt(Active, Out);
    Active.LastFailure = Code::NoUpstream;
    Active.TriedUpstreams.insert(Upstream);
    retryOrFail(Now, Active, Out);
  }
}

} // namespace goldcrestlink::entry
