// Starts runs at the upstream, handles their data and ends them. When the
// connection of a run breaks at an engine, the engine is first checked on a new
// connection. If it refuses the connection or has lost its adapters, it
// crashed, and all running requests become suspect. Otherwise only the runs
// whose connections broke have failed. A stalled stream is handled like a
// broken connection.
#include <algorithm>
#include <cassert>

#include "base/hash.h"
#include "side/side_state_machine.h"

namespace goldcrestlink::side {

namespace {

constexpr double EstimateSmoothing = 0.1;
constexpr double LoadWaitDecay = 0.05;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusPreconditionFailed = 412;
constexpr unsigned StatusUnavailable = 503;
constexpr int64_t MinSequencesForReserve = 8;
// Bytes of an answer that is kept until it is complete, since it is not checked
// part by part. As much as an answer that is checked may have.
constexpr size_t MaxBodyBytes = 4 * 1024 * 1024;
constexpr Duration ExpiryInterval = std::chrono::milliseconds(250);
constexpr Duration PlanInterval = std::chrono::milliseconds(20);

double smooth(double Old, double Sample) {
  return Old + EstimateSmoothing * (Sample - Old);
}

} // namespace

bool SideStateMachine::canStart(const WaitingAttempt &Item) const {
  if (Item.Isolated && !Runs.empty())
    return false;
  if (IsolatedRunning > 0)
    return false;
  // If the upstream has enough sequences, an attempt leaves one free for each
  // more urgent rank.
  const bool Reserving =
      Opts.shareRanks() && Self.MaxSequences >= MinSequencesForReserve;
  const int64_t Reserve = Reserving ? static_cast<int64_t>(Item.Rank) : 0;
  if (static_cast<int64_t>(Runs.size()) >= Self.MaxSequences - Reserve)
    return false;
  return Self.Kind == UpstreamKind::Service || Slots->ready(Item.Slot);
}

void SideStateMachine::startReady(const CurrentTime &Now, Actions &Out) {
  if (Down)
    return;
  // While a suspect waits and its adapter is ready, no other attempt starts. A
  // suspect needs an empty engine, and a busy engine would never become empty.
  bool SuspectReady = false;
  for (size_t I = 0; I < Queue->ranks(); ++I)
    for (const WaitingAttempt &Item : Queue->waiting(I))
      SuspectReady |= Item.Isolated && Slots->ready(Item.Slot);
  const auto Eligible = [&](const WaitingAttempt &Item) {
    return (!SuspectReady || Item.Isolated) && canStart(Item);
  };
  while (auto Item = Queue->pickNext(Now.Steady, Eligible))
    startRun(Now, Item->AttemptId, Out);
}

void SideStateMachine::startRun(const CurrentTime &Now, const std::string &Id,
                                Actions &Out) {
  ActiveAttempt &Attempt = ActiveAttempts.at(Id);
  const wire::Attempt &Request = Attempt.Request;
  const bool Keyed = !Request.idempotent();
  if (Keyed && Opts.checkLease() && !Ledger.mayDispatch(Now, Request.key()))
    return refuseAttempt(Now, Id, Code::LeaseExpired, Out);
  Run NewRun;
  NewRun.Started = Now.Steady;
  NewRun.LastProgress = Running.at(Now.Steady);
  if (Self.Kind == UpstreamKind::Engine) {
    NewRun.Slot = Slots->find(Attempt.SlotHash);
    assert(NewRun.Slot);
    if (Opts.pinSlots())
      Slots->pin(*NewRun.Slot);
    NewRun.Check.emplace(Attempt.SlotKey, Id, Request.stream());
    IsolatedRunning += Request.isolated() ? 1 : 0;
  }
  StartRun Start;
  Start.AttemptId = Id;
  Start.Method = Request.method();
  Start.Path = Request.path();
  Start.ContentType = Request.content_type();
  Start.Body = Request.body();
  Start.OwnConnection = Keyed;
  Start.IdempotencyKey = Request.key();
  if (Keyed && Self.ChecksFencing) {
    Start.FencingNumber = Ledger.fencingNumber(Request.key());
    Start.FencingScope = Ledger.shardOf(Request.key());
  }
  Runs.emplace(Id, std::move(NewRun));
  countStart(Now, Attempt);
  Out.emplace_back(std::move(Start));
  log(LogClass::Routine,
      "start attempt=" + Id + " request=" + Request.request_id() + " adapter=" +
          Attempt.SlotKey + " rank=" + Request.rank() + " waited_us=" +
          std::to_string((Now.Steady - Attempt.Arrived).count()),
      Out);
}

void SideStateMachine::countStart(const CurrentTime &Now,
                                  const ActiveAttempt &Attempt) {
  RankCounters &C = Counters.Ranks[Attempt.Rank];
  const auto Waited =
      static_cast<uint64_t>((Now.Steady - Attempt.Arrived).count());
  ++C.Started;
  C.WaitedUs += Waited;
  C.Stalled += Attempt.NeededLoad ? 1 : 0;
  C.StalledUs += Attempt.NeededLoad ? Waited : 0;
  Counters.RunningAtStarts += Runs.size();
}

void SideStateMachine::endRun(const std::string &Id) {
  const auto It = Runs.find(Id);
  assert(It != Runs.end());
  const ActiveAttempt &Attempt = ActiveAttempts.at(Id);
  if (It->second.Slot) {
    const size_t Slot = *It->second.Slot;
    // A crash may have cleared the slots after the run was started.
    if (Opts.pinSlots() && Slots->slots()[Slot].Hash == Attempt.SlotHash &&
        Slots->slots()[Slot].Pins > 0)
      Slots->unpin(Slot);
    IsolatedRunning -= Attempt.Request.isolated() ? 1 : 0;
  }
  Runs.erase(It);
}

void SideStateMachine::onRunHead(const CurrentTime &Now, const std::string &Id,
                                 unsigned Status, std::string_view ContentType,
                                 Actions &Out) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  Run &R = It->second;
  R.LastProgress = Running.at(Now.Steady);
  R.Status = Status;
  R.ContentType = ContentType;
  const ActiveAttempt &Attempt = ActiveAttempts.at(Id);
  if (!Attempt.Request.stream() || Status != StatusOk || !R.Check)
    return;
  wire::AttemptEvent Event;
  Event.set_kind(wire::AttemptEvent::HEAD);
  Event.set_status(Status);
  Event.set_content_type(R.ContentType);
  R.HeadSent = true;
  sendEvent(Id, std::move(Event), Out);
}

void SideStateMachine::onRunData(const CurrentTime &Now, const std::string &Id,
                                 std::string_view Bytes, Actions &Out) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  Run &R = It->second;
  R.LastProgress = Running.at(Now.Steady);
  if (R.FirstData == Time{})
    R.FirstData = Now.Steady;
  const ActiveAttempt &Attempt = ActiveAttempts.at(Id);
  const bool Checked = R.Check && R.Status == StatusOk;
  if (!Checked) {
    R.Body.append(Bytes);
    if (R.Body.size() <= MaxBodyBytes)
      return;
    Out.emplace_back(CancelRun{Id});
    endRun(Id);
    return failAttempt(Now, Id, Code::UpstreamError, Outcome::Unknown, false,
                       Out);
  }
  std::string Part;
  if (!R.Check->feed(Bytes, Part) && Opts.checkAnswers()) {
    Out.emplace_back(CancelRun{Id});
    endRun(Id);
    return failAttempt(Now, Id, Code::WrongAdapter, Outcome::Ran, false, Out);
  }
  if (!Attempt.Request.stream() || Part.empty())
    return;
  wire::AttemptEvent Event;
  Event.set_kind(wire::AttemptEvent::DATA);
  Event.set_data(std::move(Part));
  R.Pauses.onEvents(Now.Steady, 0,
                    Delays.longestSince(R.Pauses.lastAt(), Now.Steady));
  sendEvent(Id, std::move(Event), Out);
}

void SideStateMachine::notePauses(const ActiveAttempt &Attempt,
                                  const PauseMeter &Pauses,
                                  wire::AttemptEvent &Last, Actions &Out) {
  const PauseMeter::Pause &Longest = Pauses.longest();
  if (!Attempt.Request.stream())
    return;
  // What this process missed is not the upstream's.
  Last.set_observes_pauses(Pauses.place() != PausePlace::Process);
  if (Pauses.place() != PausePlace::Process)
    Last.set_longest_pause_us(static_cast<uint64_t>(Longest.Length.count()));
  const Duration MaxPause(static_cast<int64_t>(Attempt.Request.max_pause_us()));
  if (MaxPause > Duration(0) && Longest.Length > MaxPause)
    log(LogClass::Kept,
        "long_pause attempt=" + Attempt.Request.attempt_id() +
            " request=" + Attempt.Request.request_id() +
            " pause_ms=" + std::to_string(Longest.Length.count() / 1000) +
            " pause_in=" + std::string(pausePlaceName(Pauses.place())),
        Out);
}

void SideStateMachine::updateServiceEstimate(const CurrentTime &Now,
                                             const Run &Ended,
                                             const ActiveAttempt &Attempt) {
  if (Self.Kind == UpstreamKind::Service) {
    ServiceSeconds =
        smooth(ServiceSeconds, seconds(Now.Steady - Ended.Started));
    return;
  }
  const size_t Tokens = Attempt.Request.stream() ? Ended.Check->events()
                                                 : Attempt.Request.max_tokens();
  if (Tokens > 0)
    TokenSeconds = smooth(TokenSeconds, seconds(Now.Steady - Ended.Started) /
                                            static_cast<double>(Tokens));
}

void SideStateMachine::onRunDone(const CurrentTime &Now, const std::string &Id,
                                 Actions &Out) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  Run Ended = std::move(It->second);
  const ActiveAttempt &Attempt = ActiveAttempts.at(Id);
  endRun(Id);
  wire::AttemptEvent Last;
  if (Ended.Status == StatusNotFound && Ended.Check) {
    // The engine does not have the adapter, so it restarted unnoticed.
    requestCheck(Now, Out);
    return refuseAttempt(Now, Id, Code::Interrupted, Out);
  }
  if (Ended.Status == StatusUnavailable && Ended.Check)
    return refuseAttempt(Now, Id, Code::Overloaded, Out);
  if (Ended.Status == StatusPreconditionFailed && Self.ChecksFencing &&
      !Attempt.Request.idempotent())
    return refuseAttempt(Now, Id, Code::StaleFencing, Out);
  std::string Rest;
  if (Ended.Check && Ended.Status == StatusOk && !Ended.Check->complete(Rest) &&
      Opts.checkAnswers())
    return failAttempt(Now, Id, Code::WrongAdapter, Outcome::Ran, false, Out);
  if (Ended.Check && Ended.Status == StatusOk)
    updateServiceEstimate(Now, Ended, Attempt);
  if (!Ended.Check) {
    updateServiceEstimate(Now, Ended, Attempt);
    Rest = std::move(Ended.Body);
  } else if (Ended.Status != StatusOk) {
    Rest = std::move(Ended.Body);
  }
  if (Suspects.verdict(Now.Steady, Attempt.Request.fingerprint()) ==
      Suspicion::Suspect) {
    Suspects.clear(Attempt.Request.fingerprint());
    wire::Envelope Notice = envelope();
    Notice.mutable_suspect_notice()->add_fingerprints(
        Attempt.Request.fingerprint());
    Notice.mutable_suspect_notice()->set_cleared(true);
    broadcastToCell(Notice, Out);
  }
  Last.set_kind(wire::AttemptEvent::DONE);
  Last.set_outcome(wire::OUTCOME_RAN);
  if (!Ended.HeadSent) {
    Last.set_status(Ended.Status);
    Last.set_content_type(Ended.ContentType);
  }
  Last.set_data(std::move(Rest));
  notePauses(Attempt, Ended.Pauses, Last, Out);
  ++Counters.Finished;
  finishAttempt(Now, Id, std::move(Last), Out);
  startReady(Now, Out);
}

void SideStateMachine::onRunError(const CurrentTime &Now, const std::string &Id,
                                  RunError Error, Actions &Out) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  requestCheck(Now, Out);
  if (Error == RunError::NotSent) {
    endRun(Id);
    return refuseAttempt(Now, Id, Code::UpstreamDown, Out);
  }
  if (!It->second.Check) {
    // A call to a plain service may have run; a check cannot decide it.
    endRun(Id);
    return failAttempt(Now, Id, Code::UpstreamError, Outcome::Unknown, false,
                       Out);
  }
  It->second.Broken = true;
}

void SideStateMachine::requestCheck(const CurrentTime &Now, Actions &Out) {
  if (CheckPending)
    return;
  CheckPending = true;
  NextCheck = Now.Steady + Opts.checkEvery();
  Out.emplace_back(CheckUpstream{});
}

bool SideStateMachine::slotsMatch(const UpstreamStatus &Status) const {
  const auto &OwnSlots = Slots->slots();
  for (size_t I = 0; I < OwnSlots.size(); ++I) {
    const std::string EngineKey =
        I < Status.SlotKeys.size() ? Status.SlotKeys[I] : std::string();
    if (OwnSlots[I].State == SlotState::Ready && OwnSlots[I].Key != EngineKey)
      return false;
  }
  return true;
}

void SideStateMachine::onUpstreamCheck(const CurrentTime &Now,
                                       const UpstreamStatus &Status,
                                       Actions &Out) {
  CheckPending = false;
  using Kind = UpstreamStatus::Kind;
  const bool LostAdapters =
      Status.Result == Kind::Healthy && !slotsMatch(Status);
  if (Status.Result == Kind::Refused || LostAdapters)
    onCrash(Now, Out);
  else
    failBrokenRuns(Now, Out);
  const bool WasDown = Down;
  Down = Status.Result != Kind::Healthy;
  NextCheck = Now.Steady + (Down ? Opts.checkWhenDown() : Opts.checkEvery());
  if (Down != WasDown)
    log(LogClass::Kept, std::string("upstream ") + (Down ? "down" : "up"), Out);
  if (Down)
    return;
  if (LostAdapters || WasDown)
    importEngineSlots(Status);
  startReady(Now, Out);
}

// Records the adapters that a restarted engine reports in its slots.
void SideStateMachine::importEngineSlots(const UpstreamStatus &Status) {
  const size_t Count = std::min(Slots->slots().size(), Status.SlotKeys.size());
  for (size_t I = 0; I < Count; ++I) {
    const std::string &Key = Status.SlotKeys[I];
    if (Slots->slots()[I].State != SlotState::Empty || Key.empty() ||
        Slots->find(hash64(Key)))
      continue;
    Slots->beginLoad(I, Key, hash64(Key));
    Slots->finishLoad(I, true);
  }
}

// Called when a check did not find a crash: only the broken runs failed.
void SideStateMachine::failBrokenRuns(const CurrentTime &Now, Actions &Out) {
  std::vector<std::string> Broken;
  for (const auto &[Id, R] : Runs)
    if (R.Broken)
      Broken.push_back(Id);
  for (const std::string &Id : Broken) {
    endRun(Id);
    failAttempt(Now, Id, Code::Interrupted, Outcome::Unknown, false, Out);
  }
}

void SideStateMachine::onCrash(const CurrentTime &Now, Actions &Out) {
  Slots->clear();
  LoadPermits.clear();
  LoadStarted.clear();
  std::vector<std::string> Running;
  for (const auto &[Id, R] : Runs)
    if (R.Check)
      Running.push_back(Id);
  if (Running.empty())
    return;
  ++Counters.Crashes;
  std::vector<uint64_t> Fingerprints;
  for (const std::string &Id : Running)
    Fingerprints.push_back(ActiveAttempts.at(Id).Request.fingerprint());
  const std::string CrashId = Upstream + "/" + std::to_string(Incarnation) +
                              "/" + std::to_string(++CrashCount);
  Suspects.noteCrash(Now.Steady, CrashId, Fingerprints);
  wire::Envelope Notice = envelope();
  wire::SuspectNotice &Suspected = *Notice.mutable_suspect_notice();
  Suspected.set_upstream(Upstream);
  Suspected.set_crash_id(CrashId);
  for (uint64_t Fingerprint : Fingerprints)
    Suspected.add_fingerprints(Fingerprint);
  broadcastToCell(Notice, Out);
  log(LogClass::Kept,
      "crash id=" + CrashId + " suspects=" + std::to_string(Running.size()),
      Out);
  for (const std::string &Id : Running) {
    Out.emplace_back(CancelRun{Id});
    endRun(Id);
    failAttempt(Now, Id, Code::UpstreamCrashed, Outcome::Unknown, true, Out);
  }
  refuseSuspects(Now, Out);
}

void SideStateMachine::finishAttempt(const CurrentTime &Now,
                                     const std::string &Id,
                                     wire::AttemptEvent Last, Actions &Out) {
  const auto It = ActiveAttempts.find(Id);
  assert(It != ActiveAttempts.end());
  const ActiveAttempt Attempt = std::move(It->second);
  ActiveAttempts.erase(It);
  const std::string &Key = Attempt.Request.key();
  if (!Attempt.Request.idempotent()) {
    AttemptByKey.erase(Key);
    if (Last.kind() == wire::AttemptEvent::DONE)
      Ledger.finish(Key,
                    {Last.status(), Last.content_type(), Last.data(), true});
    else if (Last.kind() == wire::AttemptEvent::REFUSED)
      Ledger.release(Now, Key);
    else
      Ledger.markLost(Key);
  }
  for (const std::string &Joined : Attempt.Joined) {
    const AttemptLog::Record *Record = Log.find(Joined);
    if (!Record || Record->Closed)
      continue;
    sendEvent(Joined, Last, Out);
    Log.close(Now.Steady, Joined);
  }
  const AttemptLog::Record *Record = Log.find(Id);
  if (!Record || Record->Closed)
    return; // The caller has been answered; only the key needed the result.
  sendEvent(Id, std::move(Last), Out);
  Log.close(Now.Steady, Id);
}

void SideStateMachine::refuseAttempt(const CurrentTime &Now,
                                     const std::string &Id, Code Reason,
                                     Actions &Out) {
  ++Counters.Refused;
  Queue->remove(Id);
  const ActiveAttempt &Attempt = ActiveAttempts.at(Id);
  log(LogClass::Kept,
      "refused attempt=" + Id + " request=" + Attempt.Request.request_id() +
          " adapter=" + Attempt.SlotKey + " rank=" + Attempt.Request.rank() +
          " reason=" + std::string(codeName(Reason)),
      Out);
  wire::AttemptEvent Last;
  Last.set_kind(wire::AttemptEvent::REFUSED);
  Last.set_code(std::string(codeName(Reason)));
  Last.set_outcome(wire::OUTCOME_NOT_RUN);
  Last.set_suspect(
      Suspects.verdict(Now.Steady, Attempt.Request.fingerprint()) ==
      Suspicion::Suspect);
  finishAttempt(Now, Id, std::move(Last), Out);
}

void SideStateMachine::failAttempt(const CurrentTime &Now,
                                   const std::string &Id, Code Reason,
                                   Outcome KnownOutcome, bool Suspect,
                                   Actions &Out) {
  ++Counters.Failed;
  wire::AttemptEvent Last;
  Last.set_kind(wire::AttemptEvent::FAILED);
  Last.set_code(std::string(codeName(Reason)));
  Last.set_outcome(static_cast<wire::Outcome>(KnownOutcome));
  Last.set_suspect(Suspect);
  log(LogClass::Kept,
      "failed attempt=" + Id + " reason=" + std::string(codeName(Reason)), Out);
  finishAttempt(Now, Id, std::move(Last), Out);
}

// Moves the expected load waits towards the baseline. Without this, estimates
// from a past peak would cause refusals for ever: refused attempts cause no
// loads, and without loads there are no new samples.
void SideStateMachine::decayLoadWaits() {
  for (double &Wait : LoadWaitSeconds)
    Wait += LoadWaitDecay * (BaselineLoadWaitSeconds - Wait);
}

void SideStateMachine::expireWaiting(const CurrentTime &Now, Actions &Out) {
  if (Opts.shareRanks())
    for (const WaitingAttempt &Item : Queue->takeTooLate(Now.Steady))
      refuseAttempt(Now, Item.AttemptId, Code::DeadlineUnreachable, Out);
  std::vector<std::string> Late;
  for (const auto &[Id, Attempt] : ActiveAttempts)
    if (Attempt.Deadline <= Now.Steady && !Runs.count(Id))
      Late.push_back(Id);
  for (const std::string &Id : Late)
    refuseAttempt(Now, Id, Code::DeadlineExceeded, Out);
}

void SideStateMachine::expireRunning(const CurrentTime &Now, Actions &Out) {
  std::vector<std::string> Late;
  std::vector<std::string> Stalled;
  for (const auto &[Id, R] : Runs) {
    if (!R.Check || R.Broken)
      continue;
    if (ActiveAttempts.at(Id).Deadline <= Now.Steady)
      Late.push_back(Id);
    else if (ActiveAttempts.at(Id).Request.stream() &&
             Running.timeLeft(Now.Steady, R.LastProgress,
                              Opts.stallTimeout()) == Duration(0))
      Stalled.push_back(Id);
  }
  for (const std::string &Id : Late) {
    Out.emplace_back(CancelRun{Id});
    endRun(Id);
    failAttempt(Now, Id, Code::DeadlineExceeded, Outcome::Unknown, false, Out);
  }
  for (const std::string &Id : Stalled) {
    Out.emplace_back(CancelRun{Id});
    Runs.at(Id).Broken = true;
    requestCheck(Now, Out);
  }
}

void SideStateMachine::onTimer(const CurrentTime &Now, Actions &Out) {
  Delays.onTimer(Now.Steady);
  Running.onTimer(Now.Steady);
  if (Now.Steady >= NextExpiry) {
    NextExpiry = Now.Steady + ExpiryInterval;
    Ledger.expire(Now);
    Log.expire(Now.Steady);
    decayLoadWaits();
    expireWaiting(Now, Out);
    expireRunning(Now, Out);
  }
  if (Now.Steady >= NextCheck)
    requestCheck(Now, Out);
  if (Now.Steady >= NextPlan) {
    NextPlan = Now.Steady + PlanInterval;
    startReady(Now, Out);
    planLoads(Now, Out);
    grantPermits(Now, Out);
  }
}

} // namespace goldcrestlink::side
