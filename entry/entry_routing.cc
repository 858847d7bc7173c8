// Choosing a side. Completions consider the first few sides in the adapter's
// rendezvous order: one known to hold the adapter and not full is taken at
// once, otherwise the few are probed and the cheapest is taken. Calls that may
// not be repeated go to the side that owns their key's shard. Work per choice
// is linear in the cell's upstreams.
#include <algorithm>
#include <cassert>

#include "base/hash.h"
#include "delivery/key_ledger.h"
#include "entry/entry_machine.h"
#include "routing/rendezvous.h"

namespace goldcrestlink::entry {

namespace {
// A call that looks for its key's owner may be sent this often.
constexpr uint32_t MaxKeyedAttempts = 64;
constexpr size_t MaxTrackedShards = 65536;
} // namespace

void EntryMachine::route(const Now &N, const std::string &Id, Actions &Out) {
  ActiveRequest &A = Requests.at(Id);
  assert(A.Open.empty());
  A.RetryAt = Time{};
  if (A.Kind == UpstreamKind::Service)
    return A.Idempotent ? routeService(N, A, Out) : routeKeyed(N, A, Out);
  return A.Isolated ? routeIsolated(N, A, Out) : routeCompletion(N, A, Out);
}

void EntryMachine::pause(const Now &N, ActiveRequest &A) {
  A.Tried.clear();
  A.RetryAt = N.Steady + Opts.keyRetryPause();
}

Candidate EntryMachine::describe(const UpstreamDecl &U,
                                 uint64_t SlotHash) const {
  Candidate C;
  C.Width = static_cast<size_t>(U.MaxSequences);
  const auto Open = OpenAt.find(U.Name);
  const size_t Mine = Open == OpenAt.end() ? 0 : Open->second.size();
  const auto View = Views.find(U.Name);
  if (View != Views.end()) {
    C.Resident = View->second.resident(SlotHash);
    C.Load = View->second.load();
  }
  C.Load = std::max(C.Load, Mine);
  return C;
}

std::vector<const UpstreamDecl *>
EntryMachine::usable(const Now &N, const ActiveRequest &A,
                     std::string_view InCell) const {
  const auto Group = Config->group(A.Kind, A.Group, InCell);
  const uint64_t Key = A.Isolated ? A.Fingerprint : A.SlotHash;
  std::vector<const UpstreamDecl *> Out;
  for (const UpstreamDecl *U : rendezvousOrder(Key, Group, Group.size())) {
    const auto View = Views.find(U->Name);
    const bool Usable =
        View == Views.end()
            ? !ListedLeaving.count(U->Name) && !ListedGone.count(U->Name)
            : View->second.available(N.Steady, Opts.sideView());
    if (Usable && !A.Tried.count(U->Name))
      Out.push_back(U);
  }
  return Out;
}

// The own cell's sides; other cells' only if none of them can be used. Keys
// have one owner for all cells, so keyed calls look everywhere.
std::vector<const UpstreamDecl *>
EntryMachine::candidates(const Now &N, const ActiveRequest &A) const {
  if (!A.Idempotent)
    return usable(N, A, {});
  auto Own = usable(N, A, Cell);
  return Own.empty() ? usable(N, A, {}) : Own;
}

void EntryMachine::routeCompletion(const Now &N, ActiveRequest &A,
                                   Actions &Out) {
  auto Among = candidates(N, A);
  if (Among.empty())
    return retryOrFail(N, A, Out);
  const ChoiceStrategy &S = Opts.strategy();
  if (S.CandidateCount > 0 && Among.size() > S.CandidateCount)
    Among.resize(S.CandidateCount);
  std::vector<Candidate> Described;
  bool RoomWhereResident = false;
  for (const UpstreamDecl *U : Among) {
    Described.push_back(describe(*U, A.SlotHash));
    const Candidate &C = Described.back();
    RoomWhereResident |= C.Resident && C.Load < C.Width;
  }
  if (S.Probes && !RoomWhereResident && Among.size() > 1)
    return startProbes(N, A, Among, Out);
  if (S.Probes)
    for (Candidate &C : Described)
      if (!C.Resident || C.Load >= C.Width)
        C.Wait = std::chrono::seconds(3600); // One with room is there.
  const size_t Best = S.Choose(Described, Rand);
  send(N, A, Among[Best]->Name, Described[Best].Resident ? "resident" : S.Name,
       Out);
}

// A suspect runs at the one side that its fingerprint names, so that copies of
// it cannot take down several upstreams at once.
void EntryMachine::routeIsolated(const Now &N, ActiveRequest &A, Actions &Out) {
  const auto Among = candidates(N, A);
  if (Among.empty())
    return retryOrFail(N, A, Out);
  send(N, A, Among.front()->Name, "isolated", Out);
}

void EntryMachine::routeService(const Now &N, ActiveRequest &A, Actions &Out) {
  const auto Among = candidates(N, A);
  if (Among.empty())
    return retryOrFail(N, A, Out);
  std::vector<Candidate> Described;
  for (const UpstreamDecl *U : Among)
    Described.push_back(describe(*U, 0));
  const size_t Best =
      findChoiceStrategy("least_loaded")->Choose(Described, Rand);
  send(N, A, Among[Best]->Name, "least_loaded", Out);
}

void EntryMachine::routeKeyed(const Now &N, ActiveRequest &A, Actions &Out) {
  if (A.Attempts >= MaxKeyedAttempts)
    return fail(N, A.Ask.Id, A.LastProblem, Out);
  const auto Shards = static_cast<uint32_t>(Config->policy().ShardsPerService);
  const std::string ShardName =
      A.Group + "/" + std::to_string(keyShard(A.Ask.Key, Shards));
  if (ShardOwner.size() >= MaxTrackedShards)
    ShardOwner.clear();
  if (!A.OwnerHint.empty())
    ShardOwner[ShardName] = A.OwnerHint;
  A.OwnerHint.clear();
  const auto Known = ShardOwner.find(ShardName);
  const auto Among = candidates(N, A);
  const auto IsOwner = [&](const UpstreamDecl *U) {
    return Known != ShardOwner.end() && U->Name == Known->second;
  };
  const auto Owner = std::find_if(Among.begin(), Among.end(), IsOwner);
  if (Owner != Among.end())
    return send(N, A, (*Owner)->Name, "owner", Out);
  if (Among.empty())
    return pause(N, A);
  // Any side knows the owner.
  send(N, A, Among[Rand.below(Among.size())]->Name, "ask_owner", Out);
}

void EntryMachine::startProbes(const Now &N, ActiveRequest &A,
                               const std::vector<const UpstreamDecl *> &Among,
                               Actions &Out) {
  const std::string RoundId = nextId();
  ProbeRound Round;
  Round.RequestId = A.Ask.Id;
  Round.Until = N.Steady + Opts.probeTimeout();
  for (const UpstreamDecl *U : Among) {
    Round.Upstreams.push_back(U->Name);
    Round.Candidates.push_back(describe(*U, A.SlotHash));
    SendSide Send{U->Name, envelope()};
    wire::Probe &P = *Send.Message.mutable_probe();
    P.set_probe_id(RoundId);
    P.set_adapter(A.Ask.Adapter);
    P.set_version(A.Ask.Version);
    P.set_rank(A.Rank.Name);
    Views[U->Name].asked(N.Steady);
    Out.emplace_back(std::move(Send));
  }
  A.ProbeRound = RoundId;
  Rounds.emplace(RoundId, std::move(Round));
}

void EntryMachine::onProbeReply(const Now &N, const std::string &Upstream,
                                const wire::ProbeReply &R, Actions &Out) {
  Views[Upstream].learn(N.Steady, R.state());
  const auto It = Rounds.find(R.probe_id());
  if (It == Rounds.end())
    return;
  ProbeRound &Round = It->second;
  for (size_t I = 0; I < Round.Upstreams.size(); ++I) {
    Candidate &C = Round.Candidates[I];
    if (Round.Upstreams[I] != Upstream || C.Probed)
      continue;
    C.Probed = true;
    C.Resident = R.resident();
    C.Loading = R.loading();
    C.Load =
        std::max<size_t>(C.Load, R.state().running() + R.state().waiting());
    C.Wait = Duration(static_cast<int64_t>(R.wait_us()));
    C.VictimValue = R.victim_value();
    ++Round.Answered;
  }
  if (Round.Answered == Round.Upstreams.size())
    finishProbes(N, R.probe_id(), Out);
}

void EntryMachine::finishProbes(const Now &N, const std::string &RoundId,
                                Actions &Out) {
  const auto It = Rounds.find(RoundId);
  if (It == Rounds.end())
    return;
  const ProbeRound Round = std::move(It->second);
  Rounds.erase(It);
  ActiveRequest &A = Requests.at(Round.RequestId);
  A.ProbeRound.clear();
  std::vector<Candidate> Answered;
  std::vector<size_t> Positions;
  for (size_t I = 0; I < Round.Candidates.size(); ++I) {
    const auto View = Views.find(Round.Upstreams[I]);
    const bool Usable = View->second.available(N.Steady, Opts.sideView());
    if (Round.Candidates[I].Probed && Usable) {
      Answered.push_back(Round.Candidates[I]);
      Positions.push_back(I);
    } else {
      A.Tried.insert(Round.Upstreams[I]);
    }
  }
  if (Answered.empty())
    return retryOrFail(N, A, Out);
  const size_t Best = Opts.strategy().Choose(Answered, Rand);
  const Candidate &C = Answered[Best];
  send(N, A, Round.Upstreams[Positions[Best]],
       C.Resident  ? "probed_resident"
       : C.Loading ? "probed_loading"
                   : "probed",
       Out);
}

void EntryMachine::send(const Now &N, ActiveRequest &A,
                        const std::string &Upstream, std::string_view Reason,
                        Actions &Out) {
  const std::string Id = nextId();
  SideView &View = Views[Upstream];
  View.setListed(ListedLeaving.count(Upstream) > 0,
                 ListedGone.count(Upstream) > 0);
  View.asked(N.Steady);
  A.Open = Id;
  A.HeadStatus = 0;
  ++A.Attempts;
  Attempts[Id] = {A.Ask.Id, Upstream, 0, View.incarnation(), false};
  OpenAt[Upstream].insert(Id);

  SendSide Send{Upstream, envelope()};
  wire::Attempt &T = *Send.Message.mutable_attempt();
  const auto Left = [&](Time Until) {
    return static_cast<uint64_t>(
        std::max<int64_t>((Until - N.Steady).count(), 1));
  };
  T.set_attempt_id(Id);
  T.set_request_id(A.Ask.Id);
  T.set_upstream(Upstream);
  T.set_adapter(A.Ask.Adapter);
  T.set_version(A.Ask.Version);
  T.set_rank(A.Rank.Name);
  T.set_application(A.Ask.Application);
  T.set_time_left_us(Left(A.Deadline - Opts.deadlineGrace()));
  T.set_target_left_us(Left(A.Target));
  T.set_idempotent(A.Idempotent);
  if (!A.Idempotent) {
    T.set_key(A.Ask.Key);
    T.set_key_issued_ms(A.Ask.KeyIssuedMs);
    T.set_received_ms(A.ReceivedMs);
  }
  T.set_fingerprint(A.Fingerprint);
  T.set_isolated(A.Isolated);
  T.set_method(A.Ask.Method);
  T.set_path(A.Ask.Path);
  T.set_content_type(A.Ask.ContentType);
  T.set_body(A.Ask.Body);
  T.set_stream(A.Ask.Stream);
  T.set_max_tokens(A.Ask.MaxTokens);
  Out.emplace_back(LogDecision{
      LineClass::Routine,
      "route request=" + A.Ask.Id + " attempt=" + Id + " adapter=" +
          (A.Ask.Adapter.empty() ? A.Ask.Path
                                 : slotKey(A.Ask.Adapter, A.Ask.Version)) +
          " rank=" + A.Rank.Name + " upstream=" + Upstream +
          " reason=" + std::string(Reason)});
  Out.emplace_back(std::move(Send));
}

std::string EntryMachine::explain(const Now &N, std::string_view Adapter,
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
    const Candidate C = describe(*U, hash64(Key));
    const auto View = Views.find(U->Name);
    const bool Usable = View == Views.end() ||
                        View->second.available(N.Steady, Opts.sideView());
    Out += "candidate " + U->Name + " available " + (Usable ? "yes" : "no") +
           " resident " + (C.Resident ? "yes" : "no") + " load " +
           std::to_string(C.Load) + " of " + std::to_string(C.Width) + "\n";
  }
  return Out;
}

std::vector<std::string> EntryMachine::availableUpstreams(const Now &N) const {
  std::vector<std::string> Out;
  for (const UpstreamDecl &U : Config->upstreams()) {
    if (U.Cell != Cell)
      continue;
    const auto View = Views.find(U.Name);
    if (View == Views.end() ||
        View->second.available(N.Steady, Opts.sideView()))
      Out.push_back(U.Name);
  }
  return Out;
}

} // namespace goldcrestlink::entry
