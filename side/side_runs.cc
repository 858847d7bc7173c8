// Starting, following and ending runs at the upstream, and judging what a
// broken one means. A run that breaks is not judged alone: the upstream is
// asked on a fresh connection first. If it is gone or has lost its adapters it
// crashed, and all that ran is suspect; if it is well only that run failed.
#include <algorithm>
#include <cassert>

#include "base/hash.h"
#include "side/side_machine.h"

namespace goldcrestlink::side {

namespace {

constexpr double Smoothing = 0.1;
constexpr double LoadWaitRelaxation = 0.05;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusPreconditionFailed = 412;
constexpr unsigned StatusUnavailable = 503;
constexpr int64_t MinSequencesForReserve = 8;
constexpr Duration ExpiryInterval = std::chrono::milliseconds(250);
constexpr Duration PlanInterval = std::chrono::milliseconds(20);

double smooth(double Old, double Sample) {
  return Old + Smoothing * (Sample - Old);
}

} // namespace

bool SideMachine::canStart(const WaitingItem &Item) const {
  if (Item.Isolated && !Runs.empty())
    return false;
  if (IsolatedRunning > 0)
    return false;
  const bool Reserving =
      Opts.shareRanks() && Self.MaxSequences >= MinSequencesForReserve;
  const int64_t Reserve = Reserving ? static_cast<int64_t>(Item.Rank) : 0;
  if (static_cast<int64_t>(Runs.size()) >= Self.MaxSequences - Reserve)
    return false;
  return Self.Kind == UpstreamKind::Service || Slots->ready(Item.Slot);
}

void SideMachine::startReady(const Now &N, Actions &Out) {
  if (Down)
    return;
  // While a suspect waits with its adapter ready, others hold back until the
  // engine is empty; otherwise a busy engine would never be.
  bool SuspectReady = false;
  for (size_t I = 0; I < Queue->ranks(); ++I)
    for (const WaitingItem &Item : Queue->waiting(I))
      SuspectReady |= Item.Isolated && Slots->ready(Item.Slot);
  const auto Eligible = [&](const WaitingItem &Item) {
    return (!SuspectReady || Item.Isolated) && canStart(Item);
  };
  while (auto Item = Queue->pickNext(N.Steady, Eligible))
    startRun(N, Item->AttemptId, Out);
}

void SideMachine::startRun(const Now &N, const std::string &Id, Actions &Out) {
  Work &W = Works.at(Id);
  const wire::Attempt &A = W.Ask;
  const bool Keyed = !A.idempotent();
  if (Keyed && Opts.checkLease() && !Ledger.mayDispatch(N, A.key()))
    return refuseWork(N, Id, Code::LeaseLapsed, Out);
  Run R;
  R.Started = N.Steady;
  R.LastProgress = N.Steady;
  if (Self.Kind == UpstreamKind::Engine) {
    R.Slot = Slots->find(W.SlotHash);
    assert(R.Slot);
    if (Opts.pinSlots())
      Slots->pin(*R.Slot);
    R.Check.emplace(W.SlotKey, Id, A.stream());
    IsolatedRunning += A.isolated() ? 1 : 0;
  }
  StartRun Start;
  Start.AttemptId = Id;
  Start.Method = A.method();
  Start.Path = A.path();
  Start.ContentType = A.content_type();
  Start.Body = A.body();
  Start.OwnConnection = Keyed;
  Start.IdempotencyKey = A.key();
  if (Keyed && Self.ChecksFencing) {
    Start.FencingNumber = Ledger.fencingNumber(A.key());
    Start.FencingScope = Ledger.shardOf(A.key());
  }
  Runs.emplace(Id, std::move(R));
  countStart(N, W);
  Out.emplace_back(std::move(Start));
  log(LineClass::Routine,
      "start attempt=" + Id + " request=" + A.request_id() +
          " adapter=" + W.SlotKey + " rank=" + A.rank() +
          " waited_us=" + std::to_string((N.Steady - W.Arrived).count()),
      Out);
}

void SideMachine::countStart(const Now &N, const Work &W) {
  RankCounters &C = Counters.Ranks[W.Rank];
  const auto Waited = static_cast<uint64_t>((N.Steady - W.Arrived).count());
  ++C.Started;
  C.WaitedUs += Waited;
  C.Stalled += W.Missed ? 1 : 0;
  C.StalledUs += W.Missed ? Waited : 0;
  Counters.RunningAtStarts += Runs.size();
}

void SideMachine::endRun(const std::string &Id) {
  const auto It = Runs.find(Id);
  assert(It != Runs.end());
  const Work &W = Works.at(Id);
  if (It->second.Slot) {
    const size_t Slot = *It->second.Slot;
    // The slots may have been cleared by a crash since.
    if (Opts.pinSlots() && Slots->slots()[Slot].Hash == W.SlotHash &&
        Slots->slots()[Slot].Pins > 0)
      Slots->unpin(Slot);
    IsolatedRunning -= W.Ask.isolated() ? 1 : 0;
  }
  Runs.erase(It);
}

void SideMachine::onRunHead(const Now &N, const std::string &Id,
                            unsigned Status, std::string_view ContentType,
                            Actions &Out) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  Run &R = It->second;
  R.LastProgress = N.Steady;
  R.Status = Status;
  R.ContentType = ContentType;
  const Work &W = Works.at(Id);
  if (!W.Ask.stream() || Status != StatusOk || !R.Check)
    return;
  wire::AttemptEvent Event;
  Event.set_kind(wire::AttemptEvent::HEAD);
  Event.set_status(Status);
  Event.set_content_type(R.ContentType);
  R.HeadSent = true;
  sendEvent(Id, std::move(Event), Out);
}

void SideMachine::onRunData(const Now &N, const std::string &Id,
                            std::string_view Bytes, Actions &Out) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  Run &R = It->second;
  R.LastProgress = N.Steady;
  if (R.FirstData == Time{})
    R.FirstData = N.Steady;
  const Work &W = Works.at(Id);
  const bool Checked = R.Check && R.Status == StatusOk;
  if (!Checked) {
    R.Body.append(Bytes);
    return;
  }
  std::string Part;
  if (!R.Check->feed(Bytes, Part) && Opts.checkAnswers()) {
    Out.emplace_back(CancelRun{Id});
    endRun(Id);
    return failWork(N, Id, Code::WrongAdapter, Outcome::Ran, false, Out);
  }
  if (!W.Ask.stream() || Part.empty())
    return;
  wire::AttemptEvent Event;
  Event.set_kind(wire::AttemptEvent::DATA);
  Event.set_data(std::move(Part));
  sendEvent(Id, std::move(Event), Out);
}

void SideMachine::learnFrom(const Now &N, const Run &R, const Work &W) {
  if (Self.Kind == UpstreamKind::Service) {
    ServiceSeconds = smooth(ServiceSeconds, seconds(N.Steady - R.Started));
    return;
  }
  const size_t Tokens = W.Ask.stream() ? R.Check->events() : W.Ask.max_tokens();
  if (Tokens > 0)
    TokenSeconds = smooth(TokenSeconds, seconds(N.Steady - R.Started) /
                                            static_cast<double>(Tokens));
}

void SideMachine::onRunDone(const Now &N, const std::string &Id, Actions &Out) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  Run R = std::move(It->second);
  const Work &W = Works.at(Id);
  endRun(Id);
  wire::AttemptEvent Last;
  if (R.Status == StatusNotFound && R.Check) {
    // The engine lost the adapter: it restarted without telling.
    requestCheck(N, Out);
    return refuseWork(N, Id, Code::Interrupted, Out);
  }
  if (R.Status == StatusUnavailable && R.Check)
    return refuseWork(N, Id, Code::Overloaded, Out);
  if (R.Status == StatusPreconditionFailed && Self.ChecksFencing &&
      !W.Ask.idempotent())
    return refuseWork(N, Id, Code::StaleFencing, Out);
  std::string Rest;
  if (R.Check && R.Status == StatusOk && !R.Check->complete(Rest) &&
      Opts.checkAnswers())
    return failWork(N, Id, Code::WrongAdapter, Outcome::Ran, false, Out);
  if (R.Check && R.Status == StatusOk)
    learnFrom(N, R, W);
  if (!R.Check) {
    learnFrom(N, R, W);
    Rest = std::move(R.Body);
  } else if (R.Status != StatusOk) {
    Rest = std::move(R.Body);
  }
  if (Suspects.verdict(N.Steady, W.Ask.fingerprint()) == Suspicion::Suspect) {
    Suspects.clear(W.Ask.fingerprint());
    wire::Envelope Notice = envelope();
    Notice.mutable_suspect_notice()->add_fingerprints(W.Ask.fingerprint());
    Notice.mutable_suspect_notice()->set_cleared(true);
    tellCell(Notice, Out);
  }
  Last.set_kind(wire::AttemptEvent::DONE);
  Last.set_outcome(wire::OUTCOME_RAN);
  if (!R.HeadSent) {
    Last.set_status(R.Status);
    Last.set_content_type(R.ContentType);
  }
  Last.set_data(std::move(Rest));
  ++Counters.Finished;
  finishWork(N, Id, std::move(Last), Out);
  startReady(N, Out);
}

void SideMachine::onRunError(const Now &N, const std::string &Id,
                             RunError Error, Actions &Out) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  requestCheck(N, Out);
  if (Error == RunError::NotSent) {
    endRun(Id);
    return refuseWork(N, Id, Code::UpstreamDown, Out);
  }
  if (!It->second.Check) {
    // A plain service's call may have run; nothing more can be learnt.
    endRun(Id);
    return failWork(N, Id, Code::UpstreamError, Outcome::Unknown, false, Out);
  }
  It->second.Broken = true;
}

void SideMachine::requestCheck(const Now &N, Actions &Out) {
  if (Checking)
    return;
  Checking = true;
  NextCheck = N.Steady + Opts.checkEvery();
  Out.emplace_back(CheckUpstream{});
}

bool SideMachine::slotsAgree(const UpstreamStatus &Status) const {
  const auto &Mine = Slots->slots();
  for (size_t I = 0; I < Mine.size(); ++I) {
    const std::string Theirs =
        I < Status.SlotKeys.size() ? Status.SlotKeys[I] : std::string();
    if (Mine[I].State == SlotState::Ready && Mine[I].Key != Theirs)
      return false;
  }
  return true;
}

void SideMachine::onUpstreamCheck(const Now &N, const UpstreamStatus &Status,
                                  Actions &Out) {
  Checking = false;
  using Kind = UpstreamStatus::Kind;
  const bool Lost = Status.Is == Kind::Healthy && !slotsAgree(Status);
  if (Status.Is == Kind::Refused || Lost)
    onCrash(N, Out);
  else
    settleBroken(N, Out);
  const bool WasDown = Down;
  Down = Status.Is != Kind::Healthy;
  NextCheck = N.Steady + (Down ? Opts.checkWhenDown() : Opts.checkEvery());
  if (Down != WasDown)
    log(LineClass::Kept, std::string("upstream ") + (Down ? "down" : "up"),
        Out);
  if (Down)
    return;
  if (Lost || WasDown)
    adoptSlots(Status);
  startReady(N, Out);
}

// Takes over what a restarted engine still or already holds.
void SideMachine::adoptSlots(const UpstreamStatus &Status) {
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

// The upstream is well: only the broken runs failed.
void SideMachine::settleBroken(const Now &N, Actions &Out) {
  std::vector<std::string> Broken;
  for (const auto &[Id, R] : Runs)
    if (R.Broken)
      Broken.push_back(Id);
  for (const std::string &Id : Broken) {
    endRun(Id);
    failWork(N, Id, Code::Interrupted, Outcome::Unknown, false, Out);
  }
}

void SideMachine::onCrash(const Now &N, Actions &Out) {
  Slots->clear();
  LoadPermits.clear();
  LoadStarted.clear();
  std::vector<std::string> Ran;
  for (const auto &[Id, R] : Runs)
    if (R.Check)
      Ran.push_back(Id);
  if (Ran.empty())
    return;
  ++Counters.Crashes;
  std::vector<uint64_t> Fingerprints;
  for (const std::string &Id : Ran)
    Fingerprints.push_back(Works.at(Id).Ask.fingerprint());
  const std::string CrashId = Upstream + "/" + std::to_string(Incarnation) +
                              "/" + std::to_string(++CrashCount);
  Suspects.noteCrash(N.Steady, CrashId, Fingerprints);
  wire::Envelope Notice = envelope();
  wire::SuspectNotice &S = *Notice.mutable_suspect_notice();
  S.set_upstream(Upstream);
  S.set_crash_id(CrashId);
  for (uint64_t F : Fingerprints)
    S.add_fingerprints(F);
  tellCell(Notice, Out);
  log(LineClass::Kept,
      "crash id=" + CrashId + " suspects=" + std::to_string(Ran.size()), Out);
  for (const std::string &Id : Ran) {
    Out.emplace_back(CancelRun{Id});
    endRun(Id);
    failWork(N, Id, Code::UpstreamCrashed, Outcome::Unknown, true, Out);
  }
  refuseSuspects(N, Out);
}

void SideMachine::finishWork(const Now &N, const std::string &Id,
                             wire::AttemptEvent Last, Actions &Out) {
  const auto It = Works.find(Id);
  assert(It != Works.end());
  const Work W = std::move(It->second);
  Works.erase(It);
  const std::string &Key = W.Ask.key();
  if (!W.Ask.idempotent()) {
    KeyHolder.erase(Key);
    if (Last.kind() == wire::AttemptEvent::DONE)
      Ledger.finish(Key,
                    {Last.status(), Last.content_type(), Last.data(), true});
    else if (Last.kind() == wire::AttemptEvent::REFUSED)
      Ledger.release(N, Key);
    else
      Ledger.lose(Key);
  }
  for (const std::string &Joined : W.Joined) {
    const AttemptLog::Record *R = Log.find(Joined);
    if (!R || R->Closed)
      continue;
    sendEvent(Joined, Last, Out);
    Log.close(N.Steady, Joined);
  }
  const AttemptLog::Record *R = Log.find(Id);
  if (!R || R->Closed)
    return; // The caller was told before; only its key needed the end.
  sendEvent(Id, std::move(Last), Out);
  Log.close(N.Steady, Id);
}

void SideMachine::refuseWork(const Now &N, const std::string &Id, Code Why,
                             Actions &Out) {
  ++Counters.Refused;
  Queue->remove(Id);
  const Work &W = Works.at(Id);
  log(LineClass::Kept,
      "refused attempt=" + Id + " request=" + W.Ask.request_id() +
          " adapter=" + W.SlotKey + " rank=" + W.Ask.rank() +
          " reason=" + std::string(codeName(Why)),
      Out);
  wire::AttemptEvent Last;
  Last.set_kind(wire::AttemptEvent::REFUSED);
  Last.set_code(std::string(codeName(Why)));
  Last.set_outcome(wire::OUTCOME_NOT_RUN);
  Last.set_suspect(Suspects.verdict(N.Steady, W.Ask.fingerprint()) ==
                   Suspicion::Suspect);
  finishWork(N, Id, std::move(Last), Out);
}

void SideMachine::failWork(const Now &N, const std::string &Id, Code Why,
                           Outcome Known, bool Suspect, Actions &Out) {
  ++Counters.Failed;
  wire::AttemptEvent Last;
  Last.set_kind(wire::AttemptEvent::FAILED);
  Last.set_code(std::string(codeName(Why)));
  Last.set_outcome(static_cast<wire::Outcome>(Known));
  Last.set_suspect(Suspect);
  log(LineClass::Kept,
      "failed attempt=" + Id + " reason=" + std::string(codeName(Why)), Out);
  finishWork(N, Id, std::move(Last), Out);
}

// Without loads there are no samples: expected waits drift back to the usual,
// or a past rush would keep refusing work for ever.
void SideMachine::relaxLoadWaits() {
  for (double &Wait : LoadWaitSeconds)
    Wait += LoadWaitRelaxation * (UsualLoadWaitSeconds - Wait);
}

void SideMachine::expireWaiting(const Now &N, Actions &Out) {
  if (Opts.shareRanks())
    for (const WaitingItem &Item : Queue->takeHopeless(N.Steady))
      refuseWork(N, Item.AttemptId, Code::DeadlineUnreachable, Out);
  std::vector<std::string> Late;
  for (const auto &[Id, W] : Works)
    if (W.Deadline <= N.Steady && !Runs.count(Id))
      Late.push_back(Id);
  for (const std::string &Id : Late)
    refuseWork(N, Id, Code::DeadlineExceeded, Out);
}

void SideMachine::expireRunning(const Now &N, Actions &Out) {
  std::vector<std::string> Late;
  std::vector<std::string> Stalled;
  for (const auto &[Id, R] : Runs) {
    if (!R.Check || R.Broken)
      continue;
    if (Works.at(Id).Deadline <= N.Steady)
      Late.push_back(Id);
    else if (Works.at(Id).Ask.stream() &&
             N.Steady - R.LastProgress > Opts.stallTimeout())
      Stalled.push_back(Id);
  }
  for (const std::string &Id : Late) {
    Out.emplace_back(CancelRun{Id});
    endRun(Id);
    failWork(N, Id, Code::DeadlineExceeded, Outcome::Unknown, false, Out);
  }
  for (const std::string &Id : Stalled) {
    Out.emplace_back(CancelRun{Id});
    Runs.at(Id).Broken = true;
    requestCheck(N, Out);
  }
}

void SideMachine::onTimer(const Now &N, Actions &Out) {
  if (N.Steady >= NextExpiry) {
    NextExpiry = N.Steady + ExpiryInterval;
    Ledger.expire(N);
    Log.expire(N.Steady);
    relaxLoadWaits();
    expireWaiting(N, Out);
    expireRunning(N, Out);
  }
  if (N.Steady >= NextCheck)
    requestCheck(N, Out);
  if (N.Steady >= NextPlan) {
    NextPlan = N.Steady + PlanInterval;
    startReady(N, Out);
    planLoads(N, Out);
    grantPermits(N, Out);
  }
}

} // namespace goldcrestlink::side
