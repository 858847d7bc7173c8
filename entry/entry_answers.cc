// Following attempts: events in order, gaps and silences, refusals, retries.
// Events are taken only from the side that the attempt was sent to and only in
// sequence; anything else is late or crossed and is dropped.
#include <algorithm>
#include <array>
#include <cassert>

#include "entry/entry_machine.h"

namespace goldcrestlink::entry {

namespace {

// Refusals after which another side, or the same one later, may do better.
constexpr std::array RetryableCodes = {
    Code::Overloaded,   Code::DeadlineUnreachable, Code::Leaving,
    Code::UpstreamDown, Code::LoadFailed,          Code::NeverArrived,
    Code::Interrupted,  Code::WrongUpstream,       Code::NoUpstream,
    Code::Cancelled,    Code::UpstreamCrashed,     Code::StaleFencing};
// Problems that may be over soon; worth waiting for while time is left.
constexpr std::array PassingCodes = {Code::Leaving,        Code::UpstreamDown,
                                     Code::NoUpstream,     Code::Interrupted,
                                     Code::NeverArrived,   Code::WrongUpstream,
                                     Code::UpstreamCrashed};
constexpr uint32_t MaxUnreachableTargetAttempts = 2;

template <size_t Size>
bool contains(const std::array<Code, Size> &List, Code C) {
  return std::find(List.begin(), List.end(), C) != List.end();
}

} // namespace

void EntryMachine::onEnvelope(const Now &N, const std::string &Upstream,
                              const wire::Envelope &Message, Actions &Out) {
  if (!Config->upstream(Upstream) && !Views.count(Upstream))
    return;
  Views[Upstream].heard(N.Steady);
  if (Message.has_event())
    return onEvent(N, Upstream, Message.event(), Out);
  if (Message.has_probe_reply())
    return onProbeReply(N, Upstream, Message.probe_reply(), Out);
}

// A side that accepted the attempt and now says that it never arrived has
// restarted since.
bool EntryMachine::isLost(const Attempt &T, const wire::AttemptEvent &E) {
  return E.kind() == wire::AttemptEvent::REFUSED && T.NextSequence > 0 &&
         E.sequence() == 0 && codeFromName(E.code()) == Code::NeverArrived;
}

void EntryMachine::onEvent(const Now &N, const std::string &Upstream,
                           const wire::AttemptEvent &E, Actions &Out) {
  if (E.has_state())
    Views[Upstream].learn(N.Steady, E.state());
  const auto It = Attempts.find(E.attempt_id());
  if (It == Attempts.end() || It->second.Upstream != Upstream)
    return;
  Attempt &T = It->second;
  T.Heard = true;
  if (isLost(T, E)) {
    wire::AttemptEvent Failed;
    Failed.set_attempt_id(E.attempt_id());
    Failed.set_code(std::string(codeName(Code::Interrupted)));
    Failed.set_outcome(wire::OUTCOME_UNKNOWN);
    return onFailed(N, Requests.at(T.RequestId), Failed, Out);
  }
  if (E.sequence() < T.NextSequence)
    return;
  if (E.sequence() > T.NextSequence) {
    SendSide Send{Upstream, envelope()};
    Send.Message.mutable_resume()->set_attempt_id(E.attempt_id());
    Send.Message.mutable_resume()->set_next_sequence(T.NextSequence);
    Views[Upstream].asked(N.Steady);
    Out.emplace_back(std::move(Send));
    return;
  }
  ++T.NextSequence;
  ActiveRequest &A = Requests.at(T.RequestId);
  switch (E.kind()) {
  case wire::AttemptEvent::HEAD:
    A.HeadStatus = E.status();
    A.HeadType = E.content_type();
    return;
  case wire::AttemptEvent::DATA:
    if (A.FirstByte == Time{})
      A.FirstByte = N.Steady;
    deliverHead(A, Out);
    Out.emplace_back(DeliverData{A.Ask.Id, E.data()});
    return;
  case wire::AttemptEvent::DONE:
    return onDone(N, A, E, Out);
  case wire::AttemptEvent::REFUSED: {
    const Attempt Copy = T;
    return onRefused(N, A, Copy, E, Out);
  }
  case wire::AttemptEvent::FAILED:
    return onFailed(N, A, E, Out);
  default:
    return; // ACCEPTED: hearing it was all.
  }
}

void EntryMachine::onDone(const Now &N, ActiveRequest &A,
                          const wire::AttemptEvent &E, Actions &Out) {
  const std::string Id = A.Ask.Id;
  if (A.FirstByte == Time{})
    A.FirstByte = N.Steady;
  if (A.HeadStatus != 0) {
    deliverHead(A, Out);
    if (!E.data().empty())
      Out.emplace_back(DeliverData{Id, E.data()});
    Out.emplace_back(DeliverEnd{Id});
  } else {
    Out.emplace_back(DeliverWhole{Id, E.status(), E.content_type(), E.data()});
  }
  finish(N, Id, Code::None, Outcome::Ran, Out);
}

void EntryMachine::deliverHead(ActiveRequest &A, Actions &Out) {
  if (A.HeadDelivered)
    return;
  A.HeadDelivered = true;
  Out.emplace_back(DeliverHead{A.Ask.Id, A.HeadStatus, A.HeadType});
}

void EntryMachine::closeAttempt(const std::string &AttemptId) {
  const auto It = Attempts.find(AttemptId);
  assert(It != Attempts.end());
  OpenAt[It->second.Upstream].erase(AttemptId);
  Requests.at(It->second.RequestId).Open.clear();
  Attempts.erase(It);
}

// Gives up an unanswered attempt, which may nevertheless run.
void EntryMachine::abandonAttempt(ActiveRequest &A, Actions &Out) {
  if (A.Open.empty())
    return;
  SendSide Send{Attempts.at(A.Open).Upstream, envelope()};
  Send.Message.mutable_cancel()->set_attempt_id(A.Open);
  Out.emplace_back(std::move(Send));
  closeAttempt(A.Open);
  A.MaybeRan = true;
}

void EntryMachine::onRefused(const Now &N, ActiveRequest &A, const Attempt &T,
                             const wire::AttemptEvent &E, Actions &Out) {
  const Code Why = codeFromName(E.code());
  closeAttempt(E.attempt_id());
  A.LastProblem = Why;
  A.Attested = E.outcome() == wire::OUTCOME_NOT_RUN;
  A.MaybeRan |= E.outcome() == wire::OUTCOME_UNKNOWN;
  // Only the incarnation that the attempt was sent to can deny it.
  const bool SameSide =
      T.Incarnation != 0 && T.Incarnation == Views[T.Upstream].incarnation();
  if (Why == Code::NeverArrived && !SameSide)
    A.MaybeRan = true;
  if (E.suspect() && A.Kind == UpstreamKind::Engine && !A.Isolated) {
    A.Isolated = true;
    A.Tried.clear();
    return route(N, A.Ask.Id, Out);
  }
  if (!A.Idempotent && (Why == Code::NotOwner || Why == Code::LeaseLapsed)) {
    A.OwnerHint = E.owner_hint();
    const bool Elsewhere = !A.OwnerHint.empty() && A.OwnerHint != T.Upstream;
    return Elsewhere && !A.Tried.count(A.OwnerHint)
               ? (A.Tried.insert(T.Upstream), route(N, A.Ask.Id, Out))
               : pause(N, A);
  }
  A.Tried.insert(T.Upstream);
  if (!contains(RetryableCodes, Why))
    return fail(N, A.Ask.Id, Why, Out);
  if (!A.Idempotent && contains(PassingCodes, Why))
    return pause(N, A);
  if (!A.Idempotent)
    return fail(N, A.Ask.Id, Why, Out);
  if (Why == Code::DeadlineUnreachable &&
      A.Attempts >= MaxUnreachableTargetAttempts)
    return fail(N, A.Ask.Id, Why, Out);
  retryOrFail(N, A, Out);
}

void EntryMachine::onFailed(const Now &N, ActiveRequest &A,
                            const wire::AttemptEvent &E, Actions &Out) {
  const std::string Upstream = Attempts.at(E.attempt_id()).Upstream;
  const Code Why = codeFromName(E.code());
  closeAttempt(E.attempt_id());
  A.LastProblem = Why;
  A.Ran |= E.outcome() == wire::OUTCOME_RAN;
  A.MaybeRan |= E.outcome() != wire::OUTCOME_NOT_RUN;
  const bool WasIsolated = A.Isolated;
  A.Isolated |= E.suspect();
  // A suspect that crashed its upstream alone, or whose answer has begun, is
  // not tried again.
  const bool Final = !A.Idempotent || A.HeadDelivered ||
                     (WasIsolated && E.suspect()) ||
                     Why == Code::DeadlineExceeded;
  if (Final)
    return fail(N, A.Ask.Id, Why, Out);
  if (A.Isolated)
    A.Tried.clear();
  A.Tried.insert(Upstream);
  retryOrFail(N, A, Out);
}

void EntryMachine::retryOrFail(const Now &N, ActiveRequest &A, Actions &Out) {
  const bool Any = !candidates(N, A).empty();
  if (!Any) {
    if (contains(PassingCodes, A.LastProblem) && N.Steady < A.Target)
      return pause(N, A);
    return fail(N, A.Ask.Id, A.LastProblem, Out);
  }
  const bool First = A.Attempts == 0;
  if (!First && (A.Attempts >= Opts.maxAttempts() || !Budget.take()))
    return fail(N, A.Ask.Id, A.LastProblem, Out);
  route(N, A.Ask.Id, Out);
}

void EntryMachine::onSendFailed(const Now &N, const std::string &AttemptId,
                                Actions &Out) {
  const auto It = Attempts.find(AttemptId);
  if (It == Attempts.end())
    return;
  const std::string Upstream = It->second.Upstream;
  ActiveRequest &A = Requests.at(It->second.RequestId);
  closeAttempt(AttemptId);
  --A.Attempts;
  A.LastProblem = Code::NoUpstream;
  if (!A.Idempotent)
    return pause(N, A);
  A.Tried.insert(Upstream);
  retryOrFail(N, A, Out);
}

void EntryMachine::judgeSides(const Now &N, Actions &Out) {
  std::vector<std::pair<std::string, SideView::Verdict>> Verdicts;
  for (auto &[Name, View] : Views) {
    const auto Open = OpenAt.find(Name);
    const size_t Outstanding = Open == OpenAt.end() ? 0 : Open->second.size();
    const auto V = View.judge(N.Steady, Opts.sideView(), Outstanding);
    if (V != SideView::Verdict::Fine)
      Verdicts.emplace_back(Name, V);
  }
  for (const auto &[Name, V] : Verdicts) {
    if (V == SideView::Verdict::Unreachable) {
      Out.emplace_back(
          LogDecision{LineClass::Kept, "unreachable upstream=" + Name});
      moveAway(N, Name, Out);
      continue;
    }
    if (V == SideView::Verdict::Reset) {
      Out.emplace_back(
          LogDecision{LineClass::Kept, "reset connection upstream=" + Name});
      Out.emplace_back(ResetConnection{Name});
    }
    askAgain(N, Name, Out);
  }
}

void EntryMachine::askAgain(const Now &N, const std::string &Upstream,
                            Actions &Out) {
  Views[Upstream].asked(N.Steady);
  SendSide Ask{Upstream, envelope()};
  Ask.Message.mutable_probe()->set_probe_id(nextId());
  Out.emplace_back(std::move(Ask));
  for (const std::string &Id : OpenAt[Upstream]) {
    SendSide Send{Upstream, envelope()};
    Send.Message.mutable_resume()->set_attempt_id(Id);
    Send.Message.mutable_resume()->set_next_sequence(
        Attempts.at(Id).NextSequence);
    Out.emplace_back(std::move(Send));
  }
}

// The side cannot be reached: what may be repeated and has not begun to answer
// is tried elsewhere. The rest stays open, in case the side comes back.
void EntryMachine::moveAway(const Now &N, const std::string &Upstream,
                            Actions &Out) {
  const std::set<std::string> Open = OpenAt[Upstream];
  for (const std::string &Id : Open) {
    const auto It = Attempts.find(Id);
    if (It == Attempts.end())
      continue;
    ActiveRequest &A = Requests.at(It->second.RequestId);
    if (!A.Idempotent || A.HeadDelivered)
      continue;
    abandonAttempt(A, Out);
    A.LastProblem = Code::NoUpstream;
    A.Tried.insert(Upstream);
    retryOrFail(N, A, Out);
  }
}

} // namespace goldcrestlink::entry
