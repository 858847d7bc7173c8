// The I/O layer of the side state machine: performs its actions and passes it
// messages, the upstream's answers and timer ticks. Messages that a side sends
// to itself are queued and delivered after the actions of the current event, so
// the state machine is never re-entered.
#include "daemon/side_traffic.h"

#include <deque>
#include <mutex>
#include <unordered_map>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/random.h"
#include "daemon/side_connection_pool.h"
#include "side/upstream_client.h"

namespace goldcrestlink {

namespace {
constexpr Duration TickInterval = std::chrono::milliseconds(10);
// Peer identity of a side's messages to itself.
constexpr const char *SelfPeer = "self";

side::SideStateMachine::Options
machineOptions(const Settings &ProcessSettings) {
  return side::SideStateMachine::Options()
      .setShareRanks(ProcessSettings.ShareRanks)
      .setBrokeredLoads(ProcessSettings.BrokeredLoads)
      .setEvictByRecency(ProcessSettings.EvictByRecency);
}
} // namespace

struct SideTraffic::State {
  State(const Settings &InSettings, uint64_t InSeed, zmq::context_t &InContext,
        SideSinks InSinks)
      : ProcessSettings(InSettings), Seed(InSeed), Context(InContext),
        Sinks(std::move(InSinks)), TickTimer(Io), WorkGuard(Io.get_executor()),
        RandomSource(InSeed), Client(Io, events()),
        Router(Io, Context, ProcessSettings.SideListen.text(),
               [this](const std::string &Peer, wire::Envelope &Message) {
                 onMessage(Peer, Message);
               }),
        Sides(Io, Context, ProcessSettings.SourceAddress,
              [this](const std::string &Upstream, wire::Envelope &Message) {
                onSideMessage(Upstream, Message);
              }) {}

  side::UpstreamEvents events();
  void onMessage(const std::string &Peer, wire::Envelope &Message);
  void onSideMessage(const std::string &Upstream, wire::Envelope &Message);
  void onConfig(std::shared_ptr<const Declarations> Config);
  void applyShards(const ShardChanges &Effects);
  void perform(side::Actions &Out);
  void perform(side::Reply &Action);
  void perform(side::SendToSide &Action);
  void perform(side::StartRun &Action) { Client.start(Action); }
  void perform(side::CancelRun &Action) { Client.cancel(Action.AttemptId); }
  void perform(side::LoadAdapter &Action) { Client.load(Action); }
  void perform(side::CheckUpstream &) { Client.check(); }
  void perform(side::LogDecision &Action) {
    Sinks.Log(Action.Class, std::move(Action.Line));
  }
  void passToControl(const std::string &Peer, const wire::Envelope &Message,
                     bool ViaRouter);
  std::vector<std::string> otherSides() const;
  void tick();
  void updateSummary();

  // Passes one event to the state machine and performs the resulting actions.
  template <class Event> void dispatch(Event Apply) {
    if (!Machine)
      return;
    side::Actions Out;
    Apply(*Machine, currentTime(), Out);
    perform(Out);
  }

  Settings ProcessSettings;
  uint64_t Seed;
  zmq::context_t &Context;
  SideSinks Sinks;
  boost::asio::io_context Io{1};
  boost::asio::steady_timer TickTimer;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard;
  Random RandomSource;
  side::UpstreamClient Client;
  wire::RouterSocket Router;
  std::unique_ptr<side::SideStateMachine> Machine;
  std::shared_ptr<const Declarations> CurrentConfig;
  SideConnectionPool Sides;
  std::deque<wire::Envelope> SelfMessages;
  bool DeliveringToSelf = false;
  bool Draining = false;
  mutable std::mutex SummaryMutex;
  SideSummary Summary;
};

side::UpstreamEvents SideTraffic::State::events() {
  using side::Actions;
  using side::SideStateMachine;
  side::UpstreamEvents On;
  On.Head = [this](const std::string &Id, unsigned Status,
                   std::string_view Type) {
    dispatch([&](SideStateMachine &M, const CurrentTime &N, Actions &Out) {
      M.onRunHead(N, Id, Status, Type, Out);
    });
  };
  On.Data = [this](const std::string &Id, std::string_view Bytes) {
    dispatch([&](SideStateMachine &M, const CurrentTime &N, Actions &Out) {
      M.onRunData(N, Id, Bytes, Out);
    });
  };
  On.Done = [this](const std::string &Id) {
    dispatch([&](SideStateMachine &M, const CurrentTime &N, Actions &Out) {
      M.onRunDone(N, Id, Out);
    });
  };
  On.Error = [this](const std::string &Id, side::RunError Error) {
    dispatch([&](SideStateMachine &M, const CurrentTime &N, Actions &Out) {
      M.onRunError(N, Id, Error, Out);
    });
  };
  On.Loaded = [this](size_t Slot, const std::string &Key, bool Loaded) {
    dispatch([&](SideStateMachine &M, const CurrentTime &N, Actions &Out) {
      M.onLoadDone(N, Slot, Key, Loaded, Out);
    });
  };
  On.Checked = [this](const side::UpstreamStatus &Status) {
    dispatch([&](SideStateMachine &M, const CurrentTime &N, Actions &Out) {
      M.onUpstreamCheck(N, Status, Out);
    });
  };
  return On;
}

void SideTraffic::State::perform(side::Actions &Out) {
  for (side::Action &Action : Out)
    std::visit([this](auto &One) { perform(One); }, Action);
  if (DeliveringToSelf)
    return;
  DeliveringToSelf = true;
  while (!SelfMessages.empty()) {
    const wire::Envelope Message = std::move(SelfMessages.front());
    SelfMessages.pop_front();
    // A permit grant must appear to come from the load broker, which is this
    // side.
    const std::string Peer = Message.has_permit_grant()
                                 ? ProcessSettings.Upstream
                                 : std::string(SelfPeer);
    dispatch([&](side::SideStateMachine &M, const CurrentTime &N,
                 side::Actions &FurtherActions) {
      M.onEnvelope(N, Peer, Message, FurtherActions);
    });
  }
  DeliveringToSelf = false;
}

void SideTraffic::State::perform(side::Reply &Action) {
  if (Action.Peer == SelfPeer)
    SelfMessages.push_back(std::move(Action.Message));
  else if (!Action.Peer.empty())
    Router.send(Action.Peer, Action.Message);
}

void SideTraffic::State::perform(side::SendToSide &Action) {
  if (Action.Upstream == ProcessSettings.Upstream)
    SelfMessages.push_back(std::move(Action.Message));
  else if (SideConnection *Side = Sides.find(Action.Upstream))
    Side->sendOrQueue(Action.Message);
}

void SideTraffic::State::passToControl(const std::string &Peer,
                                       const wire::Envelope &Message,
                                       bool ViaRouter) {
  Sinks.Control(Peer, Message, [this, Peer, ViaRouter](wire::Envelope Answer) {
    boost::asio::post(Io, [this, Peer, ViaRouter, Answer]() mutable {
      if (ViaRouter)
        Router.send(Peer, Answer);
      else if (SideConnection *Side = Sides.find(Peer))
        Side->sendOrQueue(Answer);
    });
  });
}

void SideTraffic::State::onMessage(const std::string &Peer,
                                   wire::Envelope &Message) {
  if (Message.has_config_request() || Message.has_config_reply() ||
      Message.has_membership() || Message.has_report())
    return passToControl(Peer, Message, true);
  if (!Machine && Message.has_attempt()) {
    wire::Envelope Answer;
    wire::AttemptEvent &E = *Answer.mutable_event();
    E.set_attempt_id(Message.attempt().attempt_id());
    E.set_kind(wire::AttemptEvent::REFUSED);
    E.set_code(std::string(codeName(Code::WrongUpstream)));
    Router.send(Peer, Answer);
    return;
  }
  dispatch([&](side::SideStateMachine &M, const CurrentTime &N,
               side::Actions &Out) { M.onEnvelope(N, Peer, Message, Out); });
}

void SideTraffic::State::onSideMessage(const std::string &Upstream,
                                       wire::Envelope &Message) {
  const bool Newer =
      CurrentConfig && Message.generation() > CurrentConfig->generation();
  if (Message.has_config_reply() || Message.has_membership() || Newer)
    passToControl(Upstream, Message, false);
  dispatch(
      [&](side::SideStateMachine &M, const CurrentTime &N, side::Actions &Out) {
        M.onEnvelope(N, Upstream, Message, Out);
      });
}

void SideTraffic::State::onConfig(std::shared_ptr<const Declarations> Config) {
  CurrentConfig = Config;
  if (const UpstreamDecl *Self = Config->upstream(ProcessSettings.Upstream))
    Client.setUpstream(*Self);
  Sides.onConfig(Config);
  if (Machine)
    return dispatch([&](side::SideStateMachine &M, const CurrentTime &N,
                        side::Actions &Out) { M.onConfig(N, Config, Out); });
  Machine = std::make_unique<side::SideStateMachine>(
      machineOptions(ProcessSettings), Config, ProcessSettings.Upstream, Seed);
  Machine->setDraining(Draining);
}

void SideTraffic::State::applyShards(const ShardChanges &Effects) {
  if (!Machine)
    return;
  if (Effects.EndLease)
    Machine->endLease();
  for (uint32_t Shard : Effects.Drop)
    Machine->dropShard(Shard);
  const CurrentTime N = currentTime();
  for (const ShardChanges::Taken &T : Effects.Take)
    Machine->takeShard(N, T.Shard, T.FencingNumber);
  if (Effects.LeaseUntil)
    Machine->extendLease(*Effects.LeaseUntil);
  if (!Effects.Owners.empty())
    Machine->setShardOwners(Effects.Owners);
}

// Names of the upstreams of the other sides of the cell.
std::vector<std::string> SideTraffic::State::otherSides() const {
  std::vector<std::string> Out;
  if (!CurrentConfig)
    return Out;
  for (const UpstreamDecl &U : CurrentConfig->upstreams())
    if (U.Cell == ProcessSettings.Cell && U.Name != ProcessSettings.Upstream)
      Out.push_back(U.Name);
  return Out;
}

void SideTraffic::State::tick() {
  Sides.flush();
  dispatch([](side::SideStateMachine &M, const CurrentTime &N,
              side::Actions &Out) { M.onTimer(N, Out); });
  updateSummary();
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      tick();
  });
}

void SideTraffic::State::updateSummary() {
  const std::lock_guard<std::mutex> Lock(SummaryMutex);
  Summary.BadFrames = Router.badFrames();
  if (!Machine) {
    Summary.Drained = true;
    return;
  }
  Summary.Ready = !Machine->draining();
  Summary.Drained = Machine->drained();
  Summary.UpstreamDown = Machine->upstreamDown();
  Summary.Running = Machine->running();
  Summary.Waiting = Machine->waiting();
  Summary.Keys = Machine->ledger().size();
  Summary.Counters = Machine->counters();
}

SideTraffic::SideTraffic(const Settings &ProcessSettings, uint64_t Seed,
                         zmq::context_t &Context, SideSinks Sinks)
    : Impl(std::make_unique<State>(ProcessSettings, Seed, Context,
                                   std::move(Sinks))) {}

SideTraffic::~SideTraffic() = default;

void SideTraffic::run() {
  Impl->tick();
  Impl->Io.run();
}

void SideTraffic::stop() { Impl->Io.stop(); }

void SideTraffic::publish(std::shared_ptr<const Declarations> Config) {
  boost::asio::post(Impl->Io, [this, Config] { Impl->onConfig(Config); });
}

void SideTraffic::applyShards(ShardChanges Effects) {
  boost::asio::post(Impl->Io, [this, Effects = std::move(Effects)] {
    Impl->applyShards(Effects);
  });
}

void SideTraffic::setDraining(bool On) {
  boost::asio::post(Impl->Io, [this, On] {
    Impl->Draining = On;
    if (Impl->Machine)
      Impl->Machine->setDraining(On);
  });
}

void SideTraffic::refuseWaiting() {
  boost::asio::post(Impl->Io, [this] {
    Impl->dispatch([](side::SideStateMachine &M, const CurrentTime &N,
                      side::Actions &Out) { M.refuseWaiting(N, Out); });
  });
}

void SideTraffic::send(std::string Peer, wire::Envelope Message) {
  boost::asio::post(Impl->Io, [this, Peer, Message]() mutable {
    if (SideConnection *Side = Impl->Sides.find(Peer))
      Side->sendOrQueue(Message);
  });
}

void SideTraffic::sendToCell(wire::Envelope Message) {
  boost::asio::post(Impl->Io, [this, Message]() mutable {
    for (const std::string &Name : Impl->otherSides())
      if (SideConnection *Side = Impl->Sides.find(Name))
        Side->sendOrQueue(Message);
  });
}

void SideTraffic::sendToAny(wire::Envelope Message) {
  boost::asio::post(Impl->Io, [this, Message]() mutable {
    const std::vector<std::string> Others = Impl->otherSides();
    if (Others.empty())
      return;
    if (SideConnection *Side =
            Impl->Sides.find(Others[Impl->RandomSource.below(Others.size())]))
      Side->sendOrQueue(Message);
  });
}

SideSummary SideTraffic::summary() const {
  const std::lock_guard<std::mutex> Lock(Impl->SummaryMutex);
  return Impl->Summary;
}

} // namespace goldcrestlink
