// Admission of attempts and replies to entries. Runs are started and ended in
// side_runs.cc, adapters are loaded in side_loads.cc.
//
// An attempt is in ActiveAttempts from its admission to its last event. During
// this time it is either in Queue, while it waits, or in Runs, while the
// upstream runs it. All memory is bounded: waiting attempts by Queue, running
// attempts by the declared concurrency of the upstream, stored events by
// AttemptLog, and keys by KeyLedger. A command costs a few scans of the
// waiting and running attempts, one more scan for each attempt that it starts,
// and the planning of loads, whose cost is stated in side_loads.cc.
#include "side/side_state_machine.h"

#include <algorithm>
#include <cassert>
#include <limits>

#include "base/hash.h"
#include "routing/rendezvous.h"

namespace goldcrestlink::side {

namespace {

constexpr size_t MaxBrokers = 3;
// Expected output length of a request that sets no max_tokens.
constexpr uint32_t DefaultOutputTokens = 128;
constexpr uint64_t RetryAfterUs = 500000;
// Time to the target of each attempt when ranks are off. It is the same for
// all, so that ordering by target is ordering by arrival.
constexpr Duration UnrankedTarget = std::chrono::hours(1);

std::vector<double> rankShares(const Declarations &Config) {
  std::vector<double> Out;
  for (const RankDecl &Rank : Config.ranks())
    Out.push_back(Rank.Share);
  return Out;
}

std::unordered_map<std::string, double> appShares(const Declarations &Config) {
  std::unordered_map<std::string, double> Out;
  for (const ApplicationDecl &Application : Config.applications())
    Out[Application.Name] = Application.Share;
  return Out;
}

} // namespace

SideStateMachine::SideStateMachine(
    Options O, std::shared_ptr<const Declarations> InitialConfig,
    std::string UpstreamName, uint64_t ProcessIncarnation)
    : Opts(O), Config(std::move(InitialConfig)),
      Upstream(std::move(UpstreamName)), Incarnation(ProcessIncarnation),
      Demand(DemandTable::Options().setRecency(O.evictByRecency())),
      Ledger(KeyLedger::Options(Opts.ledger())
                 .setShards(
                     static_cast<uint32_t>(Config->policy().ShardsPerService))
                 .setRetention(Config->policy().KeyRetention)
                 .setClockSkew(Config->policy().ClockSkew)),
      Suspects(SuspectTable::Options().setQuarantine(
          Config->policy().QuarantineDuration)),
      Log(AttemptLog::Options()) {
  applyOwnDeclaration();
  buildQueue();
  buildLoads();
  if (!Opts.checkLease())
    Ledger.extendLease(Time::max());
}

void SideStateMachine::applyOwnDeclaration() {
  const UpstreamDecl *Decl = Config->upstream(Upstream);
  Declared = Decl != nullptr;
  if (Decl)
    Self = *Decl;
  const size_t SlotCount =
      Self.Kind == UpstreamKind::Engine ? static_cast<size_t>(Self.Slots) : 0;
  if (!Slots || (Slots->slots().size() != SlotCount && Runs.empty()))
    Slots.emplace(SlotCount);
}

void SideStateMachine::buildQueue() {
  const std::vector<double> Shares = rankShares(*Config);
  Queue.emplace(RankQueue::Options().setMaxWaiting(Opts.maxWaiting()), Shares,
                appShares(*Config));
  LoadWaitSeconds.assign(Shares.size(), BaselineLoadWaitSeconds);
  Counters.Ranks.assign(Shares.size(), RankCounters());
  for (size_t I = 0; I < Shares.size(); ++I)
    Counters.Ranks[I].Rank = Config->ranks()[I].Name;
}

std::vector<std::string> SideStateMachine::brokerNames() const {
  const auto Cell = Config->group(UpstreamKind::Engine, Self.Group, Self.Cell);
  std::vector<std::string> Out;
  for (const UpstreamDecl *U :
       rendezvousOrder(hash64("load-broker"), Cell, MaxBrokers))
    Out.push_back(U->Name);
  return Out;
}

void SideStateMachine::buildLoads() {
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

// Most new configurations change adapters only. The queue, the load requests
// and the permits are then kept.
void SideStateMachine::onConfig(const CurrentTime &Now,
                                std::shared_ptr<const Declarations> NewConfig,
                                Actions &Out) {
  assert(NewConfig->generation() >= Config->generation());
  const auto OldConfig = std::move(Config);
  const auto OldBrokers = Planner->brokers();
  Config = std::move(NewConfig);
  applyOwnDeclaration();
  const bool SameRanks = OldConfig->ranks() == Config->ranks() &&
                         OldConfig->applications() == Config->applications();
  if (!SameRanks)
    requeue(Now, Out);
  if (!SameRanks || !(OldConfig->store() == Config->store()) ||
      OldBrokers != brokerNames())
    buildLoads();
  startReady(Now, Out);
}

void SideStateMachine::requeue(const CurrentTime &Now, Actions &Out) {
  std::vector<WaitingAttempt> Kept;
  for (size_t I = 0; I < Queue->ranks(); ++I)
    Kept.insert(Kept.end(), Queue->waiting(I).begin(), Queue->waiting(I).end());
  buildQueue();
  for (auto &[Id, Attempt] : ActiveAttempts)
    Attempt.Rank =
        Config->rankIndex(Attempt.Request.rank()).value_or(Queue->ranks() - 1);
  for (WaitingAttempt &Item : Kept) {
    Item.Rank = Opts.shareRanks() ? ActiveAttempts.at(Item.AttemptId).Rank : 0;
    if (!Queue->push(Item))
      refuseAttempt(Now, Item.AttemptId, Code::Overloaded, Out);
  }
}

wire::Envelope SideStateMachine::envelope() const {
  wire::Envelope E;
  E.set_generation(Config->generation());
  return E;
}

void SideStateMachine::fillState(wire::SideState &State) const {
  State.set_upstream(Upstream);
  for (const Slot &EngineSlot : Slots->slots())
    if (EngineSlot.State != SlotState::Empty)
      State.add_resident(EngineSlot.Hash);
  State.set_running(static_cast<uint32_t>(Runs.size()));
  State.set_waiting(static_cast<uint32_t>(Queue->size()));
  State.set_leaving(Draining);
  State.set_upstream_down(Down);
  State.set_incarnation(Incarnation);
}

void SideStateMachine::log(LogClass Class, std::string Line,
                           Actions &Out) const {
  Out.emplace_back(LogDecision{Class, std::move(Line)});
}

void SideStateMachine::sendEvent(const std::string &Id,
                                 wire::AttemptEvent Event, Actions &Out) {
  const AttemptLog::Record *R = Log.find(Id);
  assert(R);
  if (Event.kind() != wire::AttemptEvent::DATA)
    fillState(*Event.mutable_state());
  Log.append(Id, Event);
  Reply Action{R->Peer, envelope()};
  *Action.Message.mutable_event() = std::move(Event);
  Out.emplace_back(std::move(Action));
}

void SideStateMachine::broadcastToCell(const wire::Envelope &Message,
                                       Actions &Out) {
  for (const UpstreamDecl *U : Config->group(Self.Kind, Self.Group, Self.Cell))
    if (U->Name != Upstream)
      Out.emplace_back(SendToSide{U->Name, Message});
}

void SideStateMachine::onEnvelope(const CurrentTime &Now,
                                  const std::string &Peer,
                                  const wire::Envelope &Message, Actions &Out) {
  switch (Message.body_case()) {
  case wire::Envelope::kAttempt:
    return onAttempt(Now, Peer, Message.attempt(), Out);
  case wire::Envelope::kCancel:
    return onCancel(Now, Message.cancel(), Out);
  case wire::Envelope::kResume:
    return onResume(Now, Peer, Message.resume(), Out);
  case wire::Envelope::kProbe:
    return onProbe(Now, Peer, Message.probe(), Out);
  case wire::Envelope::kPermitRequest:
    return onPermitRequest(Now, Peer, Message.permit_request(), Out);
  case wire::Envelope::kPermitGrant:
    return onPermitGrant(Now, Peer, Message.permit_grant(), Out);
  case wire::Envelope::kPermitRelease:
    return Broker->release(Now.Steady, Message.permit_release().side(),
                           Message.permit_release().adapter(),
                           Message.permit_release().loaded());
  case wire::Envelope::kSuspectNotice:
    return onSuspectNotice(Now, Message.suspect_notice(), Out);
  default:
    return; // The I/O layer handles the other messages.
  }
}

Duration SideStateMachine::expectedService(const wire::Attempt &Request) const {
  if (Self.Kind == UpstreamKind::Service)
    return fromSeconds(ServiceSeconds);
  const uint32_t Tokens =
      Request.max_tokens() ? Request.max_tokens() : DefaultOutputTokens;
  return fromSeconds(Tokens * TokenSeconds);
}

Duration SideStateMachine::expectedWait(size_t Rank, uint64_t SlotHash) const {
  const auto Width = static_cast<size_t>(Self.MaxSequences);
  Duration Wait{};
  if (Runs.size() + Queue->size() >= Width)
    Wait = Queue->workAhead(Rank) / static_cast<int64_t>(Width) +
           fromSeconds(TokenSeconds);
  if (Self.Kind == UpstreamKind::Engine && !Slots->ready(SlotHash))
    Wait += fromSeconds(LoadWaitSeconds[Rank]);
  return Wait;
}

Code SideStateMachine::admissionProblem(const CurrentTime &Now,
                                        const ActiveAttempt &Attempt) const {
  if (Draining)
    return Code::Draining;
  if (Down)
    return Code::UpstreamDown;
  if (Queue->size() >= Opts.maxWaiting())
    return Code::Overloaded;
  if (Attempt.Deadline <= Now.Steady)
    return Code::DeadlineExceeded;
  if (!Opts.shareRanks())
    return Code::None;
  const Duration Left = Attempt.Target - Now.Steady;
  const Duration MaxWait =
      std::max(Left - Attempt.Service,
               fromSeconds(TolerableWaitShare * std::max(seconds(Left), 0.0)));
  return expectedWait(Attempt.Rank, Attempt.SlotHash) > MaxWait
             ? Code::DeadlineUnreachable
             : Code::None;
}

void SideStateMachine::sendRefusal(const CurrentTime &Now,
                                   const std::string &Peer,
                                   const wire::Attempt &Request, Code Reason,
                                   Outcome KnownOutcome, Actions &Out) {
  ++Counters.Refused;
  Log.open(Request.attempt_id(), Peer);
  wire::AttemptEvent Event;
  Event.set_kind(wire::AttemptEvent::REFUSED);
  Event.set_code(std::string(codeName(Reason)));
  Event.set_outcome(static_cast<wire::Outcome>(KnownOutcome));
  Event.set_retry_after_us(RetryAfterUs);
  Event.set_suspect(Suspects.verdict(Now.Steady, Request.fingerprint()) ==
                    Suspicion::Suspect);
  sendEvent(Request.attempt_id(), std::move(Event), Out);
  Log.close(Now.Steady, Request.attempt_id());
  log(LogClass::Kept,
      "refused attempt=" + Request.attempt_id() +
          " request=" + Request.request_id() +
          " adapter=" + slotKey(Request.adapter(), Request.version()) +
          " rank=" + Request.rank() +
          " reason=" + std::string(codeName(Reason)),
      Out);
}

// Claims the key of a call that must not be repeated. Returns true if the call
// may run. Otherwise the attempt has been answered or joined to another one.
bool SideStateMachine::claimKey(const CurrentTime &Now,
                                const wire::Attempt &Request, Actions &Out) {
  const KeyDecision Decision =
      Ledger.claim(Now, {Request.key(), Request.key_issued_ms(),
                         Request.received_ms(), Request.fingerprint()});
  const std::string &Id = Request.attempt_id();
  const AttemptLog::Record *Record = Log.find(Id);
  assert(Record);
  wire::AttemptEvent Event;
  switch (Decision.Verdict) {
  case KeyVerdict::Run:
    AttemptByKey[Request.key()] = Id;
    return true;
  case KeyVerdict::Join:
    ActiveAttempts.at(AttemptByKey.at(Request.key())).Joined.push_back(Id);
    Event.set_kind(wire::AttemptEvent::ACCEPTED);
    sendEvent(Id, std::move(Event), Out);
    return false;
  case KeyVerdict::Replay:
    Event.set_kind(Decision.Answer->BodyKept ? wire::AttemptEvent::DONE
                                             : wire::AttemptEvent::FAILED);
    Event.set_status(Decision.Answer->Status);
    Event.set_content_type(Decision.Answer->ContentType);
    Event.set_data(Decision.Answer->Body);
    Event.set_outcome(wire::OUTCOME_RAN);
    Event.set_code(Decision.Answer->BodyKept ? "none" : "too_large");
    break;
  case KeyVerdict::Refuse:
    Event.set_kind(wire::AttemptEvent::REFUSED);
    Event.set_code(std::string(codeName(Decision.Reason)));
    Event.set_outcome(static_cast<wire::Outcome>(Decision.KnownOutcome));
    Event.set_retry_after_us(RetryAfterUs);
    if (const auto It = ShardOwners.find(Ledger.shardOf(Request.key()));
        Decision.Reason == Code::NotOwner && It != ShardOwners.end())
      Event.set_owner_hint(It->second);
    ++Counters.Refused;
    break;
  }
  log(LogClass::Routine,
      "key attempt=" + Id + " request=" + Request.request_id() +
          " key=" + Request.key() + " reason=" + Event.code(),
      Out);
  sendEvent(Id, std::move(Event), Out);
  Log.close(Now.Steady, Id);
  return false;
}

SideStateMachine::ActiveAttempt SideStateMachine::makeActiveAttempt(
    const CurrentTime &Now, const wire::Attempt &Request, size_t Rank) const {
  ActiveAttempt Attempt;
  Attempt.Request = Request;
  Attempt.Rank = Rank;
  Attempt.Arrived = Now.Steady;
  Attempt.Target =
      Now.Steady + Duration(static_cast<int64_t>(Request.target_left_us()));
  Attempt.Deadline =
      Now.Steady + Duration(static_cast<int64_t>(Request.time_left_us()));
  Attempt.Service = expectedService(Request);
  if (Self.Kind == UpstreamKind::Engine) {
    Attempt.SlotKey = slotKey(Request.adapter(), Request.version());
    Attempt.SlotHash = hash64(Attempt.SlotKey);
    Attempt.NeededLoad = !Slots->ready(Attempt.SlotHash);
  }
  return Attempt;
}

// If ranks are off, all items have rank 0 and the same time to their target, so
// the queue starts the attempts of an application in order of arrival.
WaitingAttempt
SideStateMachine::waitingItem(const CurrentTime &Now,
                              const ActiveAttempt &Attempt) const {
  WaitingAttempt Item;
  Item.AttemptId = Attempt.Request.attempt_id();
  Item.Slot = Attempt.SlotHash;
  Item.Rank = Opts.shareRanks() ? Attempt.Rank : 0;
  Item.Application = Attempt.Request.application();
  Item.Arrived = Now.Steady;
  Item.Target =
      Opts.shareRanks() ? Attempt.Target : Now.Steady + UnrankedTarget;
  Item.Deadline = Attempt.Deadline;
  Item.ServiceTime = Attempt.Service;
  Item.Isolated = Attempt.Request.isolated();
  return Item;
}

void SideStateMachine::onAttempt(const CurrentTime &Now,
                                 const std::string &Peer,
                                 const wire::Attempt &Request, Actions &Out) {
  // A repeated message, or one that arrives after its attempt was denied, only
  // causes the recorded events to be sent again.
  if (Log.find(Request.attempt_id())) {
    wire::Resume Resume;
    Resume.set_attempt_id(Request.attempt_id());
    return onResume(Now, Peer, Resume, Out);
  }
  const auto Rank = Config->rankIndex(Request.rank());
  if (!Declared || Request.upstream() != Upstream)
    return sendRefusal(Now, Peer, Request, Code::WrongUpstream, Outcome::None,
                       Out);
  if (!Rank)
    return sendRefusal(Now, Peer, Request, Code::UnknownRank, Outcome::None,
                       Out);
  const bool Engine = Self.Kind == UpstreamKind::Engine;
  if (Engine && (Request.adapter().empty() || Request.version().empty()))
    return sendRefusal(Now, Peer, Request, Code::UnknownAdapter, Outcome::None,
                       Out);
  const Suspicion Verdict =
      Opts.isolateSuspects()
          ? Suspects.verdict(Now.Steady, Request.fingerprint())
          : Suspicion::Clean;
  if (Verdict == Suspicion::Quarantined)
    return sendRefusal(Now, Peer, Request, Code::Quarantined, Outcome::NotRun,
                       Out);
  if (Verdict == Suspicion::Suspect && !Request.isolated() && Engine)
    return sendRefusal(Now, Peer, Request, Code::Interrupted, Outcome::NotRun,
                       Out);

  ActiveAttempt Attempt = makeActiveAttempt(Now, Request, *Rank);
  if (Engine)
    Demand.record(Now.Steady, Attempt.SlotHash);
  const bool Keyed = !Request.idempotent();
  if (!Keyed) {
    const Code Problem = admissionProblem(Now, Attempt);
    if (Problem != Code::None)
      return sendRefusal(Now, Peer, Request, Problem, Outcome::NotRun, Out);
    Log.open(Request.attempt_id(), Peer);
    return enqueue(Now, std::move(Attempt), Out);
  }
  Log.open(Request.attempt_id(), Peer);
  if (!claimKey(Now, Request, Out))
    return;
  const Code Problem = admissionProblem(Now, Attempt);
  const std::string &Id = Request.attempt_id();
  ActiveAttempts.emplace(Id, Attempt);
  if (Problem != Code::None)
    return refuseAttempt(Now, Id, Problem, Out);
  enqueue(Now, std::move(Attempt), Out);
}

void SideStateMachine::enqueue(const CurrentTime &Now, ActiveAttempt Attempt,
                               Actions &Out) {
  const std::string Id = Attempt.Request.attempt_id();
  const WaitingAttempt Item = waitingItem(Now, Attempt);
  ActiveAttempts.insert_or_assign(Id, std::move(Attempt));
  if (!Queue->push(Item))
    return refuseAttempt(Now, Id, Code::Overloaded, Out);
  ++Counters.Admitted;
  startReady(Now, Out);
  if (!ActiveAttempts.count(Id))
    return;
  wire::AttemptEvent Event;
  Event.set_kind(wire::AttemptEvent::ACCEPTED);
  sendEvent(Id, std::move(Event), Out);
  planLoads(Now, Out);
}

void SideStateMachine::onCancel(const CurrentTime &Now,
                                const wire::Cancel &Cancel, Actions &Out) {
  const std::string &Id = Cancel.attempt_id();
  const auto It = ActiveAttempts.find(Id);
  if (It == ActiveAttempts.end()) {
    // The attempt may still be in transit. Its id is recorded so that it does
    // not start when it arrives.
    if (!Log.find(Id)) {
      Log.open(Id, {});
      Log.close(Now.Steady, Id);
    }
    return;
  }
  if (!It->second.Request.idempotent())
    return; // The answer is needed for later submissions of the key.
  if (Runs.count(Id)) {
    Out.emplace_back(CancelRun{Id});
    endRun(Id);
  }
  refuseAttempt(Now, Id, Code::Cancelled, Out);
  startReady(Now, Out);
}

void SideStateMachine::onResume(const CurrentTime &Now, const std::string &Peer,
                                const wire::Resume &Resume, Actions &Out) {
  const std::string &Id = Resume.attempt_id();
  const AttemptLog::Record *Record = Log.find(Id);
  if (!Record) {
    // The attempt has not arrived. The refusal guarantees that it will not run:
    // its id is recorded, as with any refusal, and a late copy is denied.
    wire::Attempt Denied;
    Denied.set_attempt_id(Id);
    return sendRefusal(Now, Peer, Denied, Code::NeverArrived, Outcome::None,
                       Out);
  }
  Log.redirect(Id, Peer);
  for (const wire::AttemptEvent &E : Record->Events)
    if (E.sequence() >= Resume.next_sequence()) {
      Reply Action{Peer, envelope()};
      *Action.Message.mutable_event() = E;
      Out.emplace_back(std::move(Action));
    }
}

void SideStateMachine::onProbe(const CurrentTime &Now, const std::string &Peer,
                               const wire::Probe &Probe, Actions &Out) {
  Reply Action{Peer, envelope()};
  wire::ProbeReply &Answer = *Action.Message.mutable_probe_reply();
  Answer.set_probe_id(Probe.probe_id());
  const auto Rank = Config->rankIndex(Probe.rank());
  const uint64_t Hash = hash64(slotKey(Probe.adapter(), Probe.version()));
  const auto Slot = Slots->find(Hash);
  Answer.set_resident(Slots->ready(Hash));
  Answer.set_loading(Slot && !Slots->ready(Hash));
  Answer.set_wait_us(
      static_cast<uint64_t>(expectedWait(Rank.value_or(0), Hash).count()));
  // If no slot can be replaced, the value is infinite and is sent as 1e9.
  const double VictimValue = Slots->victimValue(Now.Steady, Demand);
  Answer.set_victim_value(std::min(VictimValue, 1e9));
  fillState(*Answer.mutable_state());
  Out.emplace_back(std::move(Action));
}

void SideStateMachine::onSuspectNotice(const CurrentTime &Now,
                                       const wire::SuspectNotice &Notice,
                                       Actions &Out) {
  const std::vector<uint64_t> Fingerprints(Notice.fingerprints().begin(),
                                           Notice.fingerprints().end());
  if (!Notice.cleared()) {
    Suspects.noteCrash(Now.Steady, Notice.crash_id(), Fingerprints);
    return refuseSuspects(Now, Out);
  }
  for (uint64_t Fingerprint : Fingerprints)
    Suspects.clear(Fingerprint);
}

// Refuses waiting attempts that have become suspect. Copies of a request that
// were sent before the crash would otherwise crash more upstreams.
void SideStateMachine::refuseSuspects(const CurrentTime &Now, Actions &Out) {
  if (!Opts.isolateSuspects())
    return;
  std::vector<std::pair<std::string, Code>> Refused;
  for (const auto &[Id, Attempt] : ActiveAttempts) {
    const Suspicion Verdict =
        Suspects.verdict(Now.Steady, Attempt.Request.fingerprint());
    if (Runs.count(Id) || Verdict == Suspicion::Clean)
      continue;
    if (Verdict == Suspicion::Quarantined)
      Refused.emplace_back(Id, Code::Quarantined);
    else if (!Attempt.Request.isolated())
      Refused.emplace_back(Id, Code::Interrupted);
  }
  for (const auto &[Id, Reason] : Refused)
    refuseAttempt(Now, Id, Reason, Out);
}

void SideStateMachine::refuseWaiting(const CurrentTime &Now, Actions &Out) {
  std::vector<std::string> Waiting;
  for (const auto &[Id, Attempt] : ActiveAttempts)
    if (!Runs.count(Id))
      Waiting.push_back(Id);
  for (const std::string &Id : Waiting)
    refuseAttempt(Now, Id, Code::Draining, Out);
}

void SideStateMachine::takeShard(const CurrentTime &Now, uint32_t Shard,
                                 uint64_t FencingNumber) {
  Ledger.takeShard(Shard, Now.Wall, FencingNumber);
}

void SideStateMachine::dropShard(uint32_t Shard) { Ledger.dropShard(Shard); }

} // namespace goldcrestlink::side
