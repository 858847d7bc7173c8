// Loads of adapters: selects the adapters that waiting attempts need, requests
// permits for their loads and, on the side that is broker, grants permits. Each
// slot has at most one load in progress, and a load never replaces the adapter
// in a pinned slot. Planning costs a scan of the waiting attempts and a scan of
// the slots per adapter that they need.
#include <algorithm>
#include <map>

#include "side/side_state_machine.h"

namespace goldcrestlink::side {

namespace {
constexpr double LoadWaitSmoothing = 0.2;
constexpr size_t MinSlotsForReserve = 4;
// A load request is escalated once an attempt has waited for this share of its
// time to the target; for the most urgent rank it is escalated at once. Until
// then more urgent loads go first, and more attempts can join the same load.
constexpr double EscalationShare = 0.25;
} // namespace

std::vector<NeededLoad>
SideStateMachine::neededLoads(const CurrentTime &Now) const {
  std::map<uint64_t, NeededLoad> BySlot;
  for (size_t Rank = 0; Rank < Queue->ranks(); ++Rank)
    for (const WaitingAttempt &Item : Queue->waiting(Rank)) {
      if (Slots->find(Item.Slot))
        continue;
      const ActiveAttempt &Attempt = ActiveAttempts.at(Item.AttemptId);
      const auto [It, New] = BySlot.try_emplace(Item.Slot);
      NeededLoad &Load = It->second;
      if (New)
        Load = {Item.Slot, Attempt.SlotKey, Rank, 0, 0, false};
      Load.Rank = std::min(Load.Rank, Rank);
      Load.Priority += Config->ranks()[Attempt.Rank].Worth;
      ++Load.Waiting;
      const double Waited = seconds(Now.Steady - Item.Arrived);
      Load.Escalated |=
          Rank == 0 ||
          Waited > EscalationShare * seconds(Attempt.Target - Attempt.Arrived);
    }
  std::vector<NeededLoad> Out;
  for (auto &[Slot, Load] : BySlot)
    Out.push_back(std::move(Load));
  std::stable_sort(Out.begin(), Out.end(),
                   [](const NeededLoad &A, const NeededLoad &B) {
                     if (A.Rank != B.Rank)
                       return A.Rank < B.Rank;
                     return A.Priority > B.Priority;
                   });
  return Out;
}

// Number of replaceable slots that loads for \p Rank leave to more urgent
// ranks.
size_t SideStateMachine::slotReserve(size_t Rank) const {
  if (!Opts.shareRanks() || Slots->slots().size() < MinSlotsForReserve)
    return 0;
  return std::min<size_t>(Rank, 2);
}

bool SideStateMachine::beginLoad(const CurrentTime &Now, const NeededLoad &Load,
                                 Actions &Out) {
  const auto Slot = Slots->victim(Now.Steady, Demand, slotReserve(Load.Rank));
  if (!Slot || Slots->find(Load.Adapter))
    return false;
  const std::string Evicted = Slots->slots()[*Slot].Key;
  Slots->beginLoad(*Slot, Load.Key, Load.Adapter);
  LoadStarted[Load.Adapter] = Now.Steady;
  ++Counters.Loads;
  Out.emplace_back(LoadAdapter{*Slot, Load.Key});
  log(LogClass::Routine,
      "load adapter=" + Load.Key + " slot=" + std::to_string(*Slot) +
          " evicted=" + (Evicted.empty() ? "-" : Evicted) +
          " waiting=" + std::to_string(Load.Waiting),
      Out);
  return true;
}

void SideStateMachine::planLoads(const CurrentTime &Now, Actions &Out) {
  if (Down || Self.Kind != UpstreamKind::Engine)
    return;
  std::vector<NeededLoad> Loads = neededLoads(Now);
  if (!Opts.brokeredLoads()) {
    for (const NeededLoad &Load : Loads)
      beginLoad(Now, Load, Out);
    return;
  }
  // Permits are requested only for loads that a slot can be found for.
  std::erase_if(Loads, [&](const NeededLoad &Load) {
    return !Slots->victim(Now.Steady, Demand, slotReserve(Load.Rank));
  });
  for (const BrokerRequest &Request : Planner->plan(Now.Steady, Loads)) {
    SendToSide Action{Request.Broker, envelope()};
    wire::LoadPermitRequest &Message = *Action.Message.mutable_permit_request();
    Message.set_side(Upstream);
    Message.set_adapter(Request.Load.Adapter);
    Message.set_priority(Request.Load.Priority);
    Message.set_rank(static_cast<uint32_t>(Request.Load.Rank));
    Message.set_waiting(static_cast<uint32_t>(Request.Load.Waiting));
    Message.set_pressed(Request.Load.Escalated);
    Out.emplace_back(std::move(Action));
  }
  if (!Loads.empty() && Planner->takeFromStaticShare(Now.Steady))
    beginLoad(Now, Loads.front(), Out);
}

void SideStateMachine::onLoadDone(const CurrentTime &Now, size_t Slot,
                                  const std::string &Key, bool Loaded,
                                  Actions &Out) {
  const auto &LoadingSlot = Slots->slots()[Slot];
  if (LoadingSlot.State != SlotState::Loading || LoadingSlot.Key != Key)
    return; // The engine crashed during the load.
  const uint64_t Hash = LoadingSlot.Hash;
  Slots->finishLoad(Slot, Loaded);
  Counters.LoadFailures += Loaded ? 0 : 1;
  for (size_t Rank = 0; Loaded && Rank < Queue->ranks(); ++Rank)
    for (const WaitingAttempt &Item : Queue->waiting(Rank))
      if (Item.Slot == Hash) {
        double &Mean = LoadWaitSeconds[Rank];
        Mean += LoadWaitSmoothing * (seconds(Now.Steady - Item.Arrived) - Mean);
        break;
      }
  const auto Permit = LoadPermits.find(Hash);
  if (Permit != LoadPermits.end()) {
    releasePermit(Permit->second, Hash, true, Out);
    LoadPermits.erase(Permit);
  }
  log(LogClass::Routine,
      "load adapter=" + Key + " slot=" + std::to_string(Slot) +
          (Loaded ? " done" : " failed") + " took_us=" +
          std::to_string((Now.Steady - LoadStarted[Hash]).count()),
      Out);
  LoadStarted.erase(Hash);
  startReady(Now, Out);
  planLoads(Now, Out);
}

void SideStateMachine::releasePermit(const std::string &BrokerName,
                                     uint64_t Adapter, bool Loaded,
                                     Actions &Out) {
  SendToSide Action{BrokerName, envelope()};
  wire::LoadPermitRelease &Release = *Action.Message.mutable_permit_release();
  Release.set_side(Upstream);
  Release.set_adapter(Adapter);
  Release.set_loaded(Loaded);
  Out.emplace_back(std::move(Action));
}

void SideStateMachine::onPermitRequest(const CurrentTime &Now,
                                       const std::string &Peer,
                                       const wire::LoadPermitRequest &Request,
                                       Actions &Out) {
  PermitPeers[Request.side()] = Peer;
  PermitRequest Pending;
  Pending.Side = Request.side();
  Pending.Adapter = Request.adapter();
  Pending.Rank = Request.rank();
  Pending.Priority = Request.priority();
  Pending.Escalated = Request.pressed();
  Broker->request(Now.Steady, Pending);
  Reply Queued{Peer, envelope()};
  Queued.Message.mutable_permit_grant()->set_adapter(Request.adapter());
  Out.emplace_back(std::move(Queued));
  grantPermits(Now, Out);
}

void SideStateMachine::grantPermits(const CurrentTime &Now, Actions &Out) {
  for (const PermitRequest &Pending : Broker->grant(Now.Steady)) {
    Reply Action{PermitPeers[Pending.Side], envelope()};
    wire::LoadPermitGrant &Grant = *Action.Message.mutable_permit_grant();
    Grant.set_adapter(Pending.Adapter);
    Grant.set_granted(true);
    Out.emplace_back(std::move(Action));
  }
}

// \p Peer is the upstream name of the broker's side, because grants arrive on
// the connection that this side opened to the broker.
void SideStateMachine::onPermitGrant(const CurrentTime &Now,
                                     const std::string &Peer,
                                     const wire::LoadPermitGrant &Grant,
                                     Actions &Out) {
  const bool MayLoad =
      Planner->onAnswer(Now.Steady, Peer, Grant.adapter(), Grant.granted());
  if (!Grant.granted())
    return;
  if (MayLoad)
    for (const NeededLoad &Load : neededLoads(Now))
      if (Load.Adapter == Grant.adapter() && beginLoad(Now, Load, Out)) {
        LoadPermits[Grant.adapter()] = Peer;
        return;
      }
  releasePermit(Peer, Grant.adapter(), false, Out);
}

} // namespace goldcrestlink::side
