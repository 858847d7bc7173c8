// Intake of attempts, admission, and replies. Starting and ending of runs is
// in side_runs.cc, loads in side_loads.cc.
//
// An attempt lives in Works from admission to its last event, in Queue while
// it waits and in Runs while the upstream has it; it is in exactly one of the
// last two. Everything is bounded: waiting attempts by Queue, running ones by
// the upstream's declared concurrency, kept events by AttemptLog, keys by
// KeyLedger. Each command costs at most a scan of the waiting attempts.
#include "side/side_machine.h"

#include <algorithm>
#include <cassert>
#include <limits>

#include "base/hash.h"
#include "routing/rendezvous.h"

namespace goldcrestlink::side {

namespace {

constexpr size_t BrokerCandidates = 3;
constexpr uint32_t DefaultTokens = 128;
constexpr uint64_t RetryAfterUs = 500000;
constexpr Duration FarTarget = std::chrono::hours(1);

std::vector<double> rankShares(const Declarations &D) {
  std::vector<double> Out;
  for (const RankDecl &R : D.ranks())
    Out.push_back(R.Share);
  return Out;
}

std::unordered_map<std::string, double> appShares(const Declarations &D) {
  std::unordered_map<std::string, double> Out;
  for (const ApplicationDecl &A : D.applications())
    Out[A.Name] = A.Share;
  return Out;
}

} // namespace

SideMachine::SideMachine(Options O, std::shared_ptr<const Declarations> InForce,
                         std::string UpstreamName, uint64_t Seed)
    : Opts(O), Config(std::move(InForce)), Upstream(std::move(UpstreamName)),
      Incarnation(Seed),
      Demand(DemandTable::Options().setRecency(O.evictByRecency())),
      Ledger(KeyLedger::Options(Opts.ledger())
                 .setShards(
                     static_cast<uint32_t>(Config->policy().ShardsPerService))
                 .setRetention(Config->policy().KeyRetention)
                 .setClockSkew(Config->policy().ClockSkew)),
      Suspects(SuspectTable::Options().setQuarantine(
          Config->policy().QuarantineFor)),
      Log(AttemptLog::Options()) {
  adoptSelf();
  buildQueue();
  buildLoads();
  if (!Opts.checkLease())
    Ledger.extendLease(Time::max());
}

void SideMachine::adoptSelf() {
  const UpstreamDecl *Decl = Config->upstream(Upstream);
  Declared = Decl != nullptr;
  if (Decl)
    Self = *Decl;
  const size_t SlotCount =
      Self.Kind == UpstreamKind::Engine ? static_cast<size_t>(Self.Slots) : 0;
  if (!Slots || (Slots->slots().size() != SlotCount && Runs.empty()))
    Slots.emplace(SlotCount);
}

void SideMachine::buildQueue() {
  const std::vector<double> Shares = rankShares(*Config);
  Queue.emplace(RankQueue::Options().setMaxWaiting(Opts.maxWaiting()), Shares,
                appShares(*Config));
  LoadWaitSeconds.assign(Shares.size(), UsualLoadWaitSeconds);
  Counters.Ranks.assign(Shares.size(), RankCounters());
  for (size_t I = 0; I < Shares.size(); ++I)
    Counters.Ranks[I].Rank = Config->ranks()[I].Name;
}

std::vector<std::string> SideMachine::brokerNames() const {
  const auto Cell = Config->group(UpstreamKind::Engine, Self.Group, Self.Cell);
  std::vector<std::string> Out;
  for (const UpstreamDecl *U :
       rendezvousOrder(hash64("load-broker"), Cell, BrokerCandidates))
    Out.push_back(U->Name);
  return Out;
}

void SideMachine::buildLoads() {
  const StoreDecl &Store = Config->store();
  const size_t Sides =
      Config->group(UpstreamKind::Engine, Self.Group, Self.Cell).size();
  Planner.emplace(LoadPlanner::Options().setStaticRate(
                      Store.LoadsPerSecond /
                      static_cast<double>(std::max<size_t>(Sides, 1))),
                  brokerNames());
  Broker.emplace(
      LoadBroker::Options()
          .setRate(Store.LoadsPerSecond)
          .setBurst(static_cast<double>(Store.Concurrent))
          .setMaxInFlight(static_cast<size_t>(Store.FullSpeedInFlight)),
      rankShares(*Config));
}

// Most changes touch adapters only; then the queue, the wishes and the permits
// stay as they are.
void SideMachine::onConfig(const Now &N,
                           std::shared_ptr<const Declarations> Newer,
                           Actions &Out) {
  assert(Newer->generation() >= Config->generation());
  const auto Older = std::move(Config);
  const auto OldBrokers = Planner->brokers();
  Config = std::move(Newer);
  adoptSelf();
  const bool SameRanks = Older->ranks() == Config->ranks() &&
                         Older->applications() == Config->applications();
  if (!SameRanks)
    requeue(N, Out);
  if (!SameRanks || !(Older->store() == Config->store()) ||
      OldBrokers != brokerNames())
    buildLoads();
  startReady(N, Out);
}

void SideMachine::requeue(const Now &N, Actions &Out) {
  std::vector<WaitingItem> Kept;
  for (size_t I = 0; I < Queue->ranks(); ++I)
    Kept.insert(Kept.end(), Queue->waiting(I).begin(), Queue->waiting(I).end());
  buildQueue();
  for (auto &[Id, W] : Works)
    W.Rank = Config->rankIndex(W.Ask.rank()).value_or(Queue->ranks() - 1);
  for (WaitingItem &Item : Kept) {
    Item.Rank = Opts.shareRanks() ? Works.at(Item.AttemptId).Rank : 0;
    if (!Queue->push(Item))
      refuseWork(N, Item.AttemptId, Code::Overloaded, Out);
  }
}

wire::Envelope SideMachine::envelope() const {
  wire::Envelope E;
  E.set_generation(Config->generation());
  return E;
}

void SideMachine::fillState(wire::SideState &S) const {
  S.set_upstream(Upstream);
  for (const Slot &One : Slots->slots())
    if (One.State != SlotState::Empty)
      S.add_resident(One.Hash);
  S.set_running(static_cast<uint32_t>(Runs.size()));
  S.set_waiting(static_cast<uint32_t>(Queue->size()));
  S.set_leaving(Draining);
  S.set_upstream_down(Down);
  S.set_incarnation(Incarnation);
}

void SideMachine::log(LineClass Class, std::string Line, Actions &Out) const {
  Out.emplace_back(LogDecision{Class, std::move(Line)});
}

void SideMachine::sendEvent(const std::string &Id, wire::AttemptEvent Event,
                            Actions &Out) {
  const AttemptLog::Record *R = Log.find(Id);
  assert(R);
  if (Event.kind() != wire::AttemptEvent::DATA)
    fillState(*Event.mutable_state());
  Log.append(Id, Event);
  Reply Action{R->Peer, envelope()};
  *Action.Message.mutable_event() = std::move(Event);
  Out.emplace_back(std::move(Action));
}

void SideMachine::tellCell(const wire::Envelope &Message, Actions &Out) {
  for (const UpstreamDecl *U : Config->group(Self.Kind, Self.Group, Self.Cell))
    if (U->Name != Upstream)
      Out.emplace_back(TellSide{U->Name, Message});
}

void SideMachine::onEnvelope(const Now &N, const std::string &Peer,
                             const wire::Envelope &Message, Actions &Out) {
  switch (Message.body_case()) {
  case wire::Envelope::kAttempt:
    return onAttempt(N, Peer, Message.attempt(), Out);
  case wire::Envelope::kCancel:
    return onCancel(N, Message.cancel(), Out);
  case wire::Envelope::kResume:
    return onResume(N, Peer, Message.resume(), Out);
  case wire::Envelope::kProbe:
    return onProbe(N, Peer, Message.probe(), Out);
  case wire::Envelope::kPermitRequest:
    return onPermitRequest(N, Peer, Message.permit_request(), Out);
  case wire::Envelope::kPermitGrant:
    return onPermitGrant(N, Peer, Message.permit_grant(), Out);
  case wire::Envelope::kPermitRelease:
    return Broker->release(N.Steady, Message.permit_release().side(),
                           Message.permit_release().adapter(),
                           Message.permit_release().loaded());
  case wire::Envelope::kSuspectNotice:
    return onSuspectNotice(N, Message.suspect_notice(), Out);
  default:
    return; // Not a side's concern; the shell handles the rest.
  }
}

Duration SideMachine::expectedService(const wire::Attempt &A) const {
  if (Self.Kind == UpstreamKind::Service)
    return fromSeconds(ServiceSeconds);
  const uint32_t Tokens = A.max_tokens() ? A.max_tokens() : DefaultTokens;
  return fromSeconds(Tokens * TokenSeconds);
}

Duration SideMachine::expectedWait(size_t Rank, uint64_t SlotHash) const {
  const auto Width = static_cast<size_t>(Self.MaxSequences);
  Duration Wait{};
  if (Runs.size() + Queue->size() >= Width)
    Wait = Queue->workAhead(Rank) / static_cast<int64_t>(Width) +
           fromSeconds(TokenSeconds);
  if (Self.Kind == UpstreamKind::Engine && !Slots->ready(SlotHash))
    Wait += fromSeconds(LoadWaitSeconds[Rank]);
  return Wait;
}

Code SideMachine::admissionProblem(const Now &N, const Work &W) const {
  if (Draining)
    return Code::Leaving;
  if (Down)
    return Code::UpstreamDown;
  if (Queue->size() >= Opts.maxWaiting())
    return Code::Overloaded;
  if (W.Deadline <= N.Steady)
    return Code::DeadlineExceeded;
  if (!Opts.shareRanks())
    return Code::None;
  const Duration Left = W.Target - N.Steady;
  const Duration Tolerable =
      std::max(Left - W.Service,
               fromSeconds(TolerableWaitShare * std::max(seconds(Left), 0.0)));
  return expectedWait(W.Rank, W.SlotHash) > Tolerable
             ? Code::DeadlineUnreachable
             : Code::None;
}

void SideMachine::sendRefusal(const Now &N, const std::string &Peer,
                              const wire::Attempt &A, Code Why, Outcome Known,
                              Actions &Out) {
  ++Counters.Refused;
  Log.open(A.attempt_id(), Peer);
  wire::AttemptEvent Event;
  Event.set_kind(wire::AttemptEvent::REFUSED);
  Event.set_code(std::string(codeName(Why)));
  Event.set_outcome(static_cast<wire::Outcome>(Known));
  Event.set_retry_after_us(RetryAfterUs);
  Event.set_suspect(Suspects.verdict(N.Steady, A.fingerprint()) ==
                    Suspicion::Suspect);
  sendEvent(A.attempt_id(), std::move(Event), Out);
  Log.close(N.Steady, A.attempt_id());
  log(LineClass::Kept,
      "refused attempt=" + A.attempt_id() + " request=" + A.request_id() +
          " adapter=" + slotKey(A.adapter(), A.version()) +
          " rank=" + A.rank() + " reason=" + std::string(codeName(Why)),
      Out);
}

// Decides about the key of a call that may not be repeated. False if the
// attempt has been answered or joined to another one.
bool SideMachine::claimKey(const Now &N, const wire::Attempt &A, Actions &Out) {
  const KeyDecision D = Ledger.claim(
      N, {A.key(), A.key_issued_ms(), A.received_ms(), A.fingerprint()});
  const std::string &Id = A.attempt_id();
  const AttemptLog::Record *R = Log.find(Id);
  assert(R);
  wire::AttemptEvent Event;
  switch (D.What) {
  case KeyVerdict::Run:
    KeyHolder[A.key()] = Id;
    return true;
  case KeyVerdict::Join:
    Works.at(KeyHolder.at(A.key())).Joined.push_back(Id);
    Event.set_kind(wire::AttemptEvent::ACCEPTED);
    sendEvent(Id, std::move(Event), Out);
    return false;
  case KeyVerdict::Replay:
    Event.set_kind(D.Answer->BodyKept ? wire::AttemptEvent::DONE
                                      : wire::AttemptEvent::FAILED);
    Event.set_status(D.Answer->Status);
    Event.set_content_type(D.Answer->ContentType);
    Event.set_data(D.Answer->Body);
    Event.set_outcome(wire::OUTCOME_RAN);
    Event.set_code(D.Answer->BodyKept ? "none" : "too_large");
    break;
  case KeyVerdict::Refuse:
    Event.set_kind(wire::AttemptEvent::REFUSED);
    Event.set_code(std::string(codeName(D.Why)));
    Event.set_outcome(static_cast<wire::Outcome>(D.Known));
    Event.set_retry_after_us(RetryAfterUs);
    if (const auto It = ShardOwners.find(Ledger.shardOf(A.key()));
        D.Why == Code::NotOwner && It != ShardOwners.end())
      Event.set_owner_hint(It->second);
    ++Counters.Refused;
    break;
  }
  log(LineClass::Routine,
      "key attempt=" + Id + " request=" + A.request_id() + " key=" + A.key() +
          " reason=" + Event.code(),
      Out);
  sendEvent(Id, std::move(Event), Out);
  Log.close(N.Steady, Id);
  return false;
}

SideMachine::Work SideMachine::makeWork(const Now &N, const wire::Attempt &A,
                                        size_t Rank) const {
  Work W;
  W.Ask = A;
  W.Rank = Rank;
  W.Arrived = N.Steady;
  W.Target = N.Steady + Duration(static_cast<int64_t>(A.target_left_us()));
  W.Deadline = N.Steady + Duration(static_cast<int64_t>(A.time_left_us()));
  W.Service = expectedService(A);
  if (Self.Kind == UpstreamKind::Engine) {
    W.SlotKey = slotKey(A.adapter(), A.version());
    W.SlotHash = hash64(W.SlotKey);
    W.Missed = !Slots->ready(W.SlotHash);
  }
  return W;
}

// Without ranks all items are of one, in order of arrival.
WaitingItem SideMachine::waitingItem(const Now &N, const Work &W) const {
  WaitingItem Item;
  Item.AttemptId = W.Ask.attempt_id();
  Item.Slot = W.SlotHash;
  Item.Rank = Opts.shareRanks() ? W.Rank : 0;
  Item.Application = W.Ask.application();
  Item.Arrived = N.Steady;
  Item.Target = Opts.shareRanks() ? W.Target : N.Steady + FarTarget;
  Item.Deadline = W.Deadline;
  Item.Service = W.Service;
  Item.Isolated = W.Ask.isolated();
  return Item;
}

void SideMachine::onAttempt(const Now &N, const std::string &Peer,
                            const wire::Attempt &A, Actions &Out) {
  if (Log.find(A.attempt_id())) {
    wire::Resume Again;
    Again.set_attempt_id(A.attempt_id());
    return onResume(N, Peer, Again, Out);
  }
  const auto Rank = Config->rankIndex(A.rank());
  if (!Declared || A.upstream() != Upstream)
    return sendRefusal(N, Peer, A, Code::WrongUpstream, Outcome::None, Out);
  if (!Rank)
    return sendRefusal(N, Peer, A, Code::UnknownRank, Outcome::None, Out);
  const bool Engine = Self.Kind == UpstreamKind::Engine;
  if (Engine && (A.adapter().empty() || A.version().empty()))
    return sendRefusal(N, Peer, A, Code::UnknownAdapter, Outcome::None, Out);
  const Suspicion Verdict = Opts.isolateSuspects()
                                ? Suspects.verdict(N.Steady, A.fingerprint())
                                : Suspicion::Clean;
  if (Verdict == Suspicion::Quarantined)
    return sendRefusal(N, Peer, A, Code::Quarantined, Outcome::NotRun, Out);
  if (Verdict == Suspicion::Suspect && !A.isolated() && Engine)
    return sendRefusal(N, Peer, A, Code::Interrupted, Outcome::NotRun, Out);

  Work W = makeWork(N, A, *Rank);
  if (Engine)
    Demand.record(N.Steady, W.SlotHash);
  const bool Keyed = !A.idempotent();
  if (!Keyed) {
    const Code Problem = admissionProblem(N, W);
    if (Problem != Code::None)
      return sendRefusal(N, Peer, A, Problem, Outcome::NotRun, Out);
    Log.open(A.attempt_id(), Peer);
    return enqueue(N, std::move(W), Out);
  }
  Log.open(A.attempt_id(), Peer);
  if (!claimKey(N, A, Out))
    return;
  const Code Problem = admissionProblem(N, W);
  const std::string &Id = A.attempt_id();
  Works.emplace(Id, W);
  if (Problem != Code::None)
    return refuseWork(N, Id, Problem, Out);
  enqueue(N, std::move(W), Out);
}

void SideMachine::enqueue(const Now &N, Work W, Actions &Out) {
  const std::string Id = W.Ask.attempt_id();
  const WaitingItem Item = waitingItem(N, W);
  Works.insert_or_assign(Id, std::move(W));
  if (!Queue->push(Item))
    return refuseWork(N, Id, Code::Overloaded, Out);
  ++Counters.Admitted;
  startReady(N, Out);
  if (!Works.count(Id))
    return;
  wire::AttemptEvent Event;
  Event.set_kind(wire::AttemptEvent::ACCEPTED);
  sendEvent(Id, std::move(Event), Out);
  planLoads(N, Out);
}

void SideMachine::onCancel(const Now &N, const wire::Cancel &C, Actions &Out) {
  const std::string &Id = C.attempt_id();
  const auto It = Works.find(Id);
  if (It == Works.end()) {
    // Denies an attempt that is still on its way.
    if (!Log.find(Id)) {
      Log.open(Id, {});
      Log.close(N.Steady, Id);
    }
    return;
  }
  if (!It->second.Ask.idempotent())
    return; // Its key needs the answer.
  if (Runs.count(Id)) {
    Out.emplace_back(CancelRun{Id});
    endRun(Id);
  }
  refuseWork(N, Id, Code::Cancelled, Out);
  startReady(N, Out);
}

void SideMachine::onResume(const Now &N, const std::string &Peer,
                           const wire::Resume &R, Actions &Out) {
  const std::string &Id = R.attempt_id();
  const AttemptLog::Record *Record = Log.find(Id);
  if (!Record) {
    // The attempt never arrived. Denying it now proves that it will not run:
    // the denial is remembered like any refusal.
    wire::Attempt Denied;
    Denied.set_attempt_id(Id);
    return sendRefusal(N, Peer, Denied, Code::NeverArrived, Outcome::None, Out);
  }
  Log.redirect(Id, Peer);
  for (const wire::AttemptEvent &E : Record->Events)
    if (E.sequence() >= R.next_sequence()) {
      Reply Action{Peer, envelope()};
      *Action.Message.mutable_event() = E;
      Out.emplace_back(std::move(Action));
    }
}

void SideMachine::onProbe(const Now &N, const std::string &Peer,
                          const wire::Probe &P, Actions &Out) {
  Reply Action{Peer, envelope()};
  wire::ProbeReply &R = *Action.Message.mutable_probe_reply();
  R.set_probe_id(P.probe_id());
  const auto Rank = Config->rankIndex(P.rank());
  const uint64_t Hash = hash64(slotKey(P.adapter(), P.version()));
  const auto Slot = Slots->find(Hash);
  R.set_resident(Slots->ready(Hash));
  R.set_loading(Slot && !Slots->ready(Hash));
  R.set_wait_us(
      static_cast<uint64_t>(expectedWait(Rank.value_or(0), Hash).count()));
  const double Victim = Slots->victimValue(N.Steady, Demand);
  R.set_victim_value(std::min(Victim, 1e9));
  fillState(*R.mutable_state());
  Out.emplace_back(std::move(Action));
}

void SideMachine::onSuspectNotice(const Now &N, const wire::SuspectNotice &S,
                                  Actions &Out) {
  const std::vector<uint64_t> Fingerprints(S.fingerprints().begin(),
                                           S.fingerprints().end());
  if (!S.cleared()) {
    Suspects.noteCrash(N.Steady, S.crash_id(), Fingerprints);
    return refuseSuspects(N, Out);
  }
  for (uint64_t F : Fingerprints)
    Suspects.clear(F);
}

// Waiting attempts that have become suspect must not start as if nothing had
// happened, or copies sent before the crash would take down more upstreams.
void SideMachine::refuseSuspects(const Now &N, Actions &Out) {
  if (!Opts.isolateSuspects())
    return;
  std::vector<std::pair<std::string, Code>> Refused;
  for (const auto &[Id, W] : Works) {
    const Suspicion V = Suspects.verdict(N.Steady, W.Ask.fingerprint());
    if (Runs.count(Id) || V == Suspicion::Clean)
      continue;
    if (V == Suspicion::Quarantined)
      Refused.emplace_back(Id, Code::Quarantined);
    else if (!W.Ask.isolated())
      Refused.emplace_back(Id, Code::Interrupted);
  }
  for (const auto &[Id, Why] : Refused)
    refuseWork(N, Id, Why, Out);
}

void SideMachine::takeShard(const Now &N, uint32_t Shard,
                            uint64_t FencingNumber) {
  Ledger.takeShard(Shard, N.Wall, FencingNumber);
}

void SideMachine::dropShard(uint32_t Shard) { Ledger.dropShard(Shard); }

} // namespace goldcrestlink::side
