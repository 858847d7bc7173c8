// Choice of a side. By default, a completion considers the first few sides in
// the adapter's rendezvous order: a side that is known to hold the adapter and
// has free capacity is chosen without probing; otherwise these sides are probed
// and the one with the lowest expected cost is chosen. Other strategies
// consider other sides and do not probe; see routing/candidate_choice.h.
// Requests that are not idempotent go to the side that owns the shard of their
// key. The cost of a choice is that of sorting the group's upstreams in the
// considered cells into rendezvous order.
#include <algorithm>
#include <cassert>

#include "base/hash.h"
#include "delivery/key_ledger.h"
#include "entry/entry_state_machine.h"
#include "routing/rendezvous.h"

namespace goldcrestlink::entry {

namespace {
// Limit on the attempts of one keyed request, including those that only find
// out which side owns the key.
constexpr uint32_t MaxKeyedAttempts = 64;
constexpr size_t MaxTrackedShards = 65536;
} // namespace

void EntryStateMachine::route(const CurrentTime &Now, const std::string &Id,
                              Actions &Out) {
  ActiveRequest &Active = Requests.at(Id);
  assert(Active.OpenAttempt.empty());
  Active.RetryAt = Time{};
  if (isCallingBack(Now))
    return fail(Now, Id, Code::Draining, Out);
  if (Active.Kind == UpstreamKind::Service)
    return Active.Idempotent ? routeService(Now, Active, Out)
                             : routeKeyed(Now, Active, Out);
  return Active.Isolated ? routeIsolated(Now, Active, Out)
                         : routeCompletion(Now, Active, Out);
}

void EntryStateMachine::backOff(const CurrentTime &Now, ActiveRequest &Active) {
  Active.TriedUpstreams.clear();
  Active.RetryAt = Now.Steady + Opts.retryBackoff();
}

Candidate EntryStateMachine::makeCandidate(const UpstreamDecl &U,
                                           uint64_t SlotHash) const {
  Candidate C;
  C.MaxSequences = static_cast<size_t>(U.MaxSequences);
  const auto Open = OpenAttemptsBySide.find(U.Name);
  const size_t OwnLoad =
      Open == OpenAttemptsBySide.end() ? 0 : Open->second.size();
  const auto View = Views.find(U.Name);
  if (View != Views.end()) {
    C.Resident = View->second.resident(SlotHash);
    C.Load = View->second.load();
  }
  C.Load = std::max(C.Load, OwnLoad);
  return C;
}

std::vector<const UpstreamDecl *>
EntryStateMachine::usableUpstreams(const CurrentTime &Now,
                                   const ActiveRequest &Active,
                                   std::string_view InCell) const {
  const auto Group = Config->group(Active.Kind, Active.Group, InCell);
  const uint64_t Key = Active.Isolated ? Active.Fingerprint : Active.SlotHash;
  std::vector<const UpstreamDecl *> Out;
  for (const UpstreamDecl *U : rendezvousOrder(Key, Group, Group.size())) {
    const auto View = Views.find(U->Name);
    const bool Usable =
        View == Views.end()
            ? !ListedDraining.count(U->Name) && !ListedGone.count(U->Name)
            : View->second.available(Now.Steady, Opts.sideView());
    if (Usable && !Active.TriedUpstreams.count(U->Name))
      Out.push_back(U);
  }
  return Out;
}

// Returns the usable upstreams of this entry's cell, or those of all cells if
// it has none. The owner of a key may be in any cell, so requests that are not
// idempotent consider all cells.
std::vector<const UpstreamDecl *>
EntryStateMachine::candidateUpstreams(const CurrentTime &Now,
                                      const ActiveRequest &Active) const {
  if (!Active.Idempotent)
    return usableUpstreams(Now, Active, {});
  auto Own = usableUpstreams(Now, Active, Cell);
  return Own.empty() ? usableUpstreams(Now, Active, {}) : Own;
}

void EntryStateMachine::routeCompletion(const CurrentTime &Now,
                                        ActiveRequest &Active, Actions &Out) {
  auto Eligible = candidateUpstreams(Now, Active);
  if (Eligible.empty())
    return retryOrFail(Now, Active, Out);
  const ChoiceStrategy &Strategy = Opts.strategy();
  if (Strategy.CandidateCount > 0 && Eligible.size() > Strategy.CandidateCount)
    Eligible.resize(Strategy.CandidateCount);
  std::vector<Candidate> Candidates;
  bool ResidentWithCapacity = false;
  for (const UpstreamDecl *U : Eligible) {
    Candidates.push_back(makeCandidate(*U, Active.SlotHash));
    const Candidate &C = Candidates.back();
    ResidentWithCapacity |= C.Resident && C.Load < C.MaxSequences;
  }
  if (Strategy.Probes && !ResidentWithCapacity && Eligible.size() > 1)
    return startProbes(Now, Active, Eligible, Out);
  // The strategy expects waits from probes, but none were sent. A wait of one
  // hour makes it prefer the sides that hold the adapter and have free
  // capacity.
  if (Strategy.Probes)
    for (Candidate &C : Candidates)
      if (!C.Resident || C.Load >= C.MaxSequences)
        C.ExpectedWait = std::chrono::seconds(3600);
  const size_t Best = Strategy.Choose(Candidates, Rand);
  send(Now, Active, Eligible[Best]->Name,
       Candidates[Best].Resident ? "resident" : Strategy.Name, Out);
}

// A suspect request goes to the first usable side in the rendezvous order of
// its fingerprint, so that copies of it cannot crash several upstreams at once.
void EntryStateMachine::routeIsolated(const CurrentTime &Now,
                                      ActiveRequest &Active, Actions &Out) {
  const auto Eligible = candidateUpstreams(Now, Active);
  if (Eligible.empty())
    return retryOrFail(Now, Active, Out);
  send(Now, Active, Eligible.front()->Name, "isolated", Out);
}

void EntryStateMachine::routeService(const CurrentTime &Now,
                                     ActiveRequest &Active, Actions &Out) {
  const auto Eligible = candidateUpstreams(Now, Active);
  if (Eligible.empty())
    return retryOrFail(Now, Active, Out);
  std::vector<Candidate> Candidates;
  for (const UpstreamDecl *U : Eligible)
    Candidates.push_back(makeCandidate(*U, 0));
  const size_t Best =
      findChoiceStrategy("least_loaded")->Choose(Candidates, Rand);
  send(Now, Active, Eligible[Best]->Name, "least_loaded", Out);
}

void EntryStateMachine::routeKeyed(const CurrentTime &Now,
                                   ActiveRequest &Active, Actions &Out) {
  if (Active.AttemptCount >= MaxKeyedAttempts)
    return fail(Now, Active.Request.Id, Active.LastFailure, Out);
  const auto Shards = static_cast<uint32_t>(Config->policy().ShardsPerService);
  const std::string ShardName =
      Active.Group + "/" + std::to_string(keyShard(Active.Request.Key, Shards));
  if (ShardOwner.size() >= MaxTrackedShards)
    ShardOwner.clear();
  if (!Active.OwnerHint.empty())
    ShardOwner[ShardName] = Active.OwnerHint;
  Active.OwnerHint.clear();
  const auto KnownOwner = ShardOwner.find(ShardName);
  const auto Eligible = candidateUpstreams(Now, Active);
  const auto IsOwner = [&](const UpstreamDecl *U) {
    return KnownOwner != ShardOwner.end() && U->Name == KnownOwner->second;
  };
  const auto Owner = std::find_if(Eligible.begin(), Eligible.end(), IsOwner);
  if (Owner != Eligible.end())
    return send(Now, Active, (*Owner)->Name, "owner", Out);
  if (Eligible.empty())
    return backOff(Now, Active);
  // Every side knows which side owns the shard and names it in its refusal.
  send(Now, Active, Eligible[Rand.below(Eligible.size())]->Name, "ask_owner",
       Out);
}

void EntryStateMachine::startProbes(
    const CurrentTime &Now, ActiveRequest &Active,
    const std::vector<const UpstreamDecl *> &Eligible, Actions &Out) {
  const std::string RoundId = nextId();
  ProbeRound Round;
  Round.RequestId = Active.Request.Id;
  Round.Deadline = Now.Steady + Opts.probeTimeout();
  for (const UpstreamDecl *U : Eligible) {
    Round.Upstreams.push_back(U->Name);
    Round.Candidates.push_back(makeCandidate(*U, Active.SlotHash));
    SendToSide Send{U->Name, envelope()};
    wire::Probe &P = *Send.Message.mutable_probe();
    P.set_probe_id(RoundId);
    P.set_adapter(Active.Request.Adapter);
    P.set_version(Active.Request.Version);
    P.set_rank(Active.Rank.Name);
    Views[U->Name].onRequestSent(Now.Steady);
    Out.emplace_back(std::move(Send));
  }
  Active.ProbeRoundId = RoundId;
  ProbeRounds.emplace(RoundId, std::move(Round));
}

void EntryStateMachine::onProbeReply(const CurrentTime &Now,
                                     const std::string &Upstream,
                                     const wire::ProbeReply &Reply,
                                     Actions &Out) {
  Views[Upstream].updateState(Now.Steady, Reply.state());
  const auto It = ProbeRounds.find(Reply.probe_id());
  if (It == ProbeRounds.end())
    return;
  ProbeRound &Round = It->second;
  for (size_t I = 0; I < Round.Upstreams.size(); ++I) {
    Candidate &C = Round.Candidates[I];
    if (Round.Upstreams[I] != Upstream || C.Probed)
      continue;
    C.Probed = true;
    C.Resident = Reply.resident();
    C.Loading = Reply.loading();
    C.Load = std::max<size_t>(C.Load, Reply.state().running() +
                                          Reply.state().waiting());
    C.ExpectedWait = Duration(static_cast<int64_t>(Reply.wait_us()));
    C.VictimValue = Reply.victim_value();
    ++Round.ReplyCount;
  }
  if (Round.ReplyCount == Round.Upstreams.size())
    finishProbes(Now, Reply.probe_id(), Out);
}

void EntryStateMachine::finishProbes(const CurrentTime &Now,
                                     const std::string &RoundId, Actions &Out) {
  const auto It = ProbeRounds.find(RoundId);
  if (It == ProbeRounds.end())
    return;
  const ProbeRound Round = std::move(It->second);
  ProbeRounds.erase(It);
  ActiveRequest &Active = Requests.at(Round.RequestId);
  Active.ProbeRoundId.clear();
  std::vector<Candidate> Answered;
  std::vector<size_t> Positions;
  for (size_t I = 0; I < Round.Candidates.size(); ++I) {
    const auto View = Views.find(Round.Upstreams[I]);
    const bool Usable = View->second.available(Now.Steady, Opts.sideView());
    if (Round.Candidates[I].Probed && Usable) {
      Answered.push_back(Round.Candidates[I]);
      Positions.push_back(I);
    } else {
      Active.TriedUpstreams.insert(Round.Upstreams[I]);
    }
  }
  if (Answered.empty())
    return retryOrFail(Now, Active, Out);
  const size_t Best = Opts.strategy().Choose(Answered, Rand);
  const Candidate &C = Answered[Best];
  send(Now, Active, Round.Upstreams[Positions[Best]],
       C.Resident  ? "probed_resident"
       : C.Loading ? "probed_loading"
                   : "probed",
       Out);
}

void EntryStateMachine::send(const CurrentTime &Now, ActiveRequest &Active,
                             const std::string &Upstream,
                             std::string_view Reason, Actions &Out) {
  const std::string Id = nextId();
  SideView &View = Views[Upstream];
  View.setListed(ListedDraining.count(Upstream) > 0,
                 ListedGone.count(Upstream) > 0);
  View.onRequestSent(Now.Steady);
  Active.OpenAttempt = Id;
  Active.HeadStatus = 0;
  ++Active.AttemptCount;
  Attempts[Id] = {Active.Request.Id, Upstream, 0, View.incarnation(), false};
  OpenAttemptsBySide[Upstream].insert(Id);

  SendToSide Send{Upstream, envelope()};
  wire::Attempt &WireAttempt = *Send.Message.mutable_attempt();
  const auto MicrosUntil = [&](Time Limit) {
    return static_cast<uint64_t>(
        std::max<int64_t>((Limit - Now.Steady).count(), 1));
  };
  WireAttempt.set_attempt_id(Id);
  WireAttempt.set_request_id(Active.Request.Id);
  WireAttempt.set_upstream(Upstream);
  WireAttempt.set_adapter(Active.Request.Adapter);
  WireAttempt.set_version(Active.Request.Version);
  WireAttempt.set_rank(Active.Rank.Name);
  WireAttempt.set_application(Active.Request.Application);
  WireAttempt.set_time_left_us(
      MicrosUntil(Active.Deadline - Opts.deadlineMargin()));
  WireAttempt.set_target_left_us(MicrosUntil(Active.Target));
  WireAttempt.set_max_pause_us(
      static_cast<uint64_t>(Active.Rank.MaxPause.count()));
  WireAttempt.set_idempotent(Active.Idempotent);
  if (!Active.Idempotent) {
    WireAttempt.set_key(Active.Request.Key);
    WireAttempt.set_key_issued_ms(Active.Request.KeyIssuedMs);
    WireAttempt.set_received_ms(Active.ReceivedMs);
  }
  WireAttempt.set_fingerprint(Active.Fingerprint);
  WireAttempt.set_isolated(Active.Isolated);
  WireAttempt.set_method(Active.Request.Method);
  WireAttempt.set_path(Active.Request.Path);
  WireAttempt.set_content_type(Active.Request.ContentType);
  WireAttempt.set_body(Active.Request.Body);
  WireAttempt.set_stream(Active.Request.Stream);
  WireAttempt.set_max_tokens(Active.Request.MaxTokens);
  Out.emplace_back(LogDecision{
      LogClass::Routine,
      "route request=" + Active.Request.Id + " attempt=" + Id + " adapter=" +
          (Active.Request.Adapter.empty()
               ? Active.Request.Path
               : slotKey(Active.Request.Adapter, Active.Request.Version)) +
          " rank=" + Active.Rank.Name + " upstream=" + Upstream +
          " reason=" + std::string(Reason)});
  Out.emplace_back(std::move(Send));
}

std::string EntryStateMachine::explain(const CurrentTime &Now,
                                       std::string_view Adapter,
                                       std::string_view Version) const {
  const AdapterDecl *Decl = Config->adapter(Adapter);
  if (!Decl)
    return "adapter is not declared\n";
  const std::string Key = slotKey(Adapter, Version);
  const auto Group = Config->group(UpstreamKind::Engine, Decl->Model, Cell);
  const size_t Count = std::max<size_t>(Opts.strategy().CandidateCount, 1);
  std::string Out = "adapter " + Key + " model " + Decl->Model + " cell " +
                    Cell + " strategy " + std::string(Opts.strategy().Name) +
                    "\n";
  for (const UpstreamDecl *U : rendezvousOrder(hash64(Key), Group, Count)) {
    const Candidate C = makeCandidate(*U, hash64(Key));
    const auto View = Views.find(U->Name);
    const bool Usable = View == Views.end() ||
                        View->second.available(Now.Steady, Opts.sideView());
    Out += "candidate " + U->Name + " available " + (Usable ? "yes" : "no") +
           " resident " + (C.Resident ? "yes" : "no") + " load " +
           std::to_string(C.Load) + " of " + std::to_string(C.MaxSequences) +
           "\n";
  }
  return Out;
}

std::vector<std::string>
EntryStateMachine::availableUpstreams(const CurrentTime &Now) const {
  std::vector<std::string> Out;
  for (const UpstreamDecl &U : Config->upstreams()) {
    if (U.Cell != Cell)
      continue;
    const auto View = Views.find(U.Name);
    if (View == Views.end() ||
        View->second.available(Now.Steady, Opts.sideView()))
      Out.push_back(U.Name);
  }
  return Out;
}

} // namespace goldcrestlink::entry
