// Loads: which adapters the waiting attempts need, permits for them, and the
// broker that any side may be. At most one load per slot is in progress, and
// a load never replaces a pinned slot.
#include <algorithm>
#include <map>

#include "side/side_machine.h"

namespace goldcrestlink::side {

namespace {
constexpr double LoadWaitSmoothing = 0.2;
constexpr size_t MinSlotsForReserve = 4;
// A request presses for its load once it has waited this part of its target.
// Until then it lets more urgent ones go first, and others join it.
constexpr double PressedShare = 0.25;
} // namespace

std::vector<LoadWant> SideMachine::loadWants(const Now &N) const {
  std::map<uint64_t, LoadWant> BySlot;
  for (size_t Rank = 0; Rank < Queue->ranks(); ++Rank)
    for (const WaitingItem &Item : Queue->waiting(Rank)) {
      if (Slots->find(Item.Slot))
        continue;
      const Work &W = Works.at(Item.AttemptId);
      const auto [It, New] = BySlot.try_emplace(Item.Slot);
      LoadWant &Want = It->second;
      if (New)
        Want = {Item.Slot, W.SlotKey, Rank, 0, 0, false};
      Want.Rank = std::min(Want.Rank, Rank);
      Want.Priority += Config->ranks()[W.Rank].Worth;
      ++Want.Waiting;
      const double Waited = seconds(N.Steady - Item.Arrived);
      Want.Pressed |=
          Rank == 0 || Waited > PressedShare * seconds(W.Target - W.Arrived);
    }
  std::vector<LoadWant> Out;
  for (auto &[Slot, Want] : BySlot)
    Out.push_back(std::move(Want));
  std::stable_sort(Out.begin(), Out.end(),
                   [](const LoadWant &A, const LoadWant &B) {
                     if (A.Rank != B.Rank)
                       return A.Rank < B.Rank;
                     return A.Priority > B.Priority;
                   });
  return Out;
}

// Less urgent ranks leave some replaceable slots to more urgent ones.
size_t SideMachine::slotReserve(size_t Rank) const {
  if (!Opts.shareRanks() || Slots->slots().size() < MinSlotsForReserve)
    return 0;
  return std::min<size_t>(Rank, 2);
}

bool SideMachine::beginLoad(const Now &N, const LoadWant &Want, Actions &Out) {
  const auto Slot = Slots->victim(N.Steady, Demand, slotReserve(Want.Rank));
  if (!Slot || Slots->find(Want.Adapter))
    return false;
  const std::string Evicted = Slots->slots()[*Slot].Key;
  Slots->beginLoad(*Slot, Want.Key, Want.Adapter);
  LoadStarted[Want.Adapter] = N.Steady;
  ++Counters.Loads;
  Out.emplace_back(LoadAdapter{*Slot, Want.Key});
  log(LineClass::Routine,
      "load adapter=" + Want.Key + " slot=" + std::to_string(*Slot) +
          " evicted=" + (Evicted.empty() ? "-" : Evicted) +
          " waiting=" + std::to_string(Want.Waiting),
      Out);
  return true;
}

void SideMachine::planLoads(const Now &N, Actions &Out) {
  if (Down || Self.Kind != UpstreamKind::Engine)
    return;
  std::vector<LoadWant> Wants = loadWants(N);
  if (!Opts.brokeredLoads()) {
    for (const LoadWant &Want : Wants)
      beginLoad(N, Want, Out);
    return;
  }
  // Ask only for what a slot can be found for.
  std::erase_if(Wants, [&](const LoadWant &W) {
    return !Slots->victim(N.Steady, Demand, slotReserve(W.Rank));
  });
  for (const PermitAsk &Ask : Planner->plan(N.Steady, Wants)) {
    TellSide Tell{Ask.Broker, envelope()};
    wire::LoadPermitRequest &R = *Tell.Message.mutable_permit_request();
    R.set_side(Upstream);
    R.set_adapter(Ask.What.Adapter);
    R.set_priority(Ask.What.Priority);
    R.set_rank(static_cast<uint32_t>(Ask.What.Rank));
    R.set_waiting(static_cast<uint32_t>(Ask.What.Waiting));
    R.set_pressed(Ask.What.Pressed);
    Out.emplace_back(std::move(Tell));
  }
  if (!Wants.empty() && Planner->takeStatic(N.Steady))
    beginLoad(N, Wants.front(), Out);
}

void SideMachine::onLoadDone(const Now &N, size_t Slot, const std::string &Key,
                             bool Loaded, Actions &Out) {
  const auto &S = Slots->slots()[Slot];
  if (S.State != SlotState::Loading || S.Key != Key)
    return; // The engine crashed meanwhile.
  const uint64_t Hash = S.Hash;
  Slots->finishLoad(Slot, Loaded);
  Counters.LoadFailures += Loaded ? 0 : 1;
  for (size_t Rank = 0; Loaded && Rank < Queue->ranks(); ++Rank)
    for (const WaitingItem &Item : Queue->waiting(Rank))
      if (Item.Slot == Hash) {
        double &Mean = LoadWaitSeconds[Rank];
        Mean += LoadWaitSmoothing * (seconds(N.Steady - Item.Arrived) - Mean);
        break;
      }
  const auto Permit = LoadPermits.find(Hash);
  if (Permit != LoadPermits.end()) {
    releasePermit(Permit->second, Hash, true, Out);
    LoadPermits.erase(Permit);
  }
  log(LineClass::Routine,
      "load adapter=" + Key + " slot=" + std::to_string(Slot) +
          (Loaded ? " done" : " failed") +
          " took_us=" + std::to_string((N.Steady - LoadStarted[Hash]).count()),
      Out);
  LoadStarted.erase(Hash);
  startReady(N, Out);
  planLoads(N, Out);
}

void SideMachine::releasePermit(const std::string &To, uint64_t Adapter,
                                bool Loaded, Actions &Out) {
  TellSide Tell{To, envelope()};
  wire::LoadPermitRelease &R = *Tell.Message.mutable_permit_release();
  R.set_side(Upstream);
  R.set_adapter(Adapter);
  R.set_loaded(Loaded);
  Out.emplace_back(std::move(Tell));
}

void SideMachine::onPermitRequest(const Now &N, const std::string &Peer,
                                  const wire::LoadPermitRequest &R,
                                  Actions &Out) {
  PermitPeers[R.side()] = Peer;
  PermitWish Wish;
  Wish.Side = R.side();
  Wish.Adapter = R.adapter();
  Wish.Rank = R.rank();
  Wish.Priority = R.priority();
  Wish.Pressed = R.pressed();
  Broker->request(N.Steady, Wish);
  Reply Queued{Peer, envelope()};
  Queued.Message.mutable_permit_grant()->set_adapter(R.adapter());
  Out.emplace_back(std::move(Queued));
  grantPermits(N, Out);
}

void SideMachine::grantPermits(const Now &N, Actions &Out) {
  for (const PermitWish &Wish : Broker->grant(N.Steady)) {
    Reply Granted{PermitPeers[Wish.Side], envelope()};
    wire::LoadPermitGrant &G = *Granted.Message.mutable_permit_grant();
    G.set_adapter(Wish.Adapter);
    G.set_granted(true);
    Out.emplace_back(std::move(Granted));
  }
}

// \p Peer is the broker's upstream name: grants come over this side's own
// connection to it.
void SideMachine::onPermitGrant(const Now &N, const std::string &Peer,
                                const wire::LoadPermitGrant &G, Actions &Out) {
  const bool Wanted =
      Planner->onAnswer(N.Steady, Peer, G.adapter(), G.granted());
  if (!G.granted())
    return;
  if (Wanted)
    for (const LoadWant &Want : loadWants(N))
      if (Want.Adapter == G.adapter() && beginLoad(N, Want, Out)) {
        LoadPermits[G.adapter()] = Peer;
        return;
      }
  releasePermit(Peer, G.adapter(), false, Out);
}

} // namespace goldcrestlink::side
