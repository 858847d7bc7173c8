// The shell around SideMachine. Messages that a side sends to itself are
// delivered after the actions of the present command, so the machine is never
// re-entered.
#include "daemon/side_traffic.h"

#include <deque>
#include <mutex>
#include <unordered_map>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/random.h"
#include "daemon/side_links.h"
#include "side/upstream_client.h"

namespace goldcrestlink {

namespace {
constexpr Duration Tick = std::chrono::milliseconds(10);
// Peer identity under which a side's messages to itself appear.
constexpr const char *SelfPeer = "self";

side::SideMachine::Options machineOptions(const Settings &S) {
  return side::SideMachine::Options()
      .setShareRanks(S.ShareRanks)
      .setBrokeredLoads(S.BrokeredLoads)
      .setEvictByRecency(S.EvictByRecency);
}
} // namespace

struct SideTraffic::State {
  State(const Settings &InSettings, uint64_t FromSeed,
        zmq::context_t &InContext, SideSinks InSinks)
      : S(InSettings), Seed(FromSeed), Context(InContext),
        Sinks(std::move(InSinks)), Ticker(Io), Guard(Io.get_executor()),
        Rand(FromSeed), Client(Io, events()),
        Router(Io, Context, S.SideListen.text(),
               [this](const std::string &Peer, wire::Envelope &Message) {
                 onMessage(Peer, Message);
               }),
        Links(Io, Context, S.SourceAddress,
              [this](const std::string &Upstream, wire::Envelope &Message) {
                onLinkMessage(Upstream, Message);
              }) {}

  side::UpstreamEvents events();
  void onMessage(const std::string &Peer, wire::Envelope &Message);
  void onLinkMessage(const std::string &Upstream, wire::Envelope &Message);
  void onConfig(std::shared_ptr<const Declarations> Config);
  void applyShards(const ShardEffects &Effects);
  void perform(side::Actions &Out);
  void perform(side::Reply &A);
  void perform(side::TellSide &A);
  void perform(side::StartRun &A) { Client.start(A); }
  void perform(side::CancelRun &A) { Client.cancel(A.AttemptId); }
  void perform(side::LoadAdapter &A) { Client.load(A); }
  void perform(side::CheckUpstream &) { Client.check(); }
  void perform(side::LogDecision &A) { Sinks.Log(A.Class, std::move(A.Line)); }
  void toControl(const std::string &Peer, const wire::Envelope &Message,
                 bool ByRouter);
  std::vector<std::string> otherSides() const;
  void tick();
  void updateSummary();

  // Runs one command of the machine and performs its actions.
  template <class Command> void command(Command C) {
    if (!Machine)
      return;
    side::Actions Out;
    C(*Machine, presentTime(), Out);
    perform(Out);
  }

  Settings S;
  uint64_t Seed;
  zmq::context_t &Context;
  SideSinks Sinks;
  boost::asio::io_context Io{1};
  boost::asio::steady_timer Ticker;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  Random Rand;
  side::UpstreamClient Client;
  wire::RouterSocket Router;
  std::unique_ptr<side::SideMachine> Machine;
  std::shared_ptr<const Declarations> InForce;
  SideLinks Links;
  std::deque<wire::Envelope> ToSelf;
  bool Performing = false;
  bool Draining = false;
  mutable std::mutex SummaryMutex;
  SideSummary Summary;
};

side::UpstreamEvents SideTraffic::State::events() {
  using side::Actions;
  using side::SideMachine;
  side::UpstreamEvents On;
  On.Head = [this](const std::string &Id, unsigned Status,
                   std::string_view Type) {
    command([&](SideMachine &M, const Now &N, Actions &Out) {
      M.onRunHead(N, Id, Status, Type, Out);
    });
  };
  On.Data = [this](const std::string &Id, std::string_view Bytes) {
    command([&](SideMachine &M, const Now &N, Actions &Out) {
      M.onRunData(N, Id, Bytes, Out);
    });
  };
  On.Done = [this](const std::string &Id) {
    command([&](SideMachine &M, const Now &N, Actions &Out) {
      M.onRunDone(N, Id, Out);
    });
  };
  On.Error = [this](const std::string &Id, side::RunError Error) {
    command([&](SideMachine &M, const Now &N, Actions &Out) {
      M.onRunError(N, Id, Error, Out);
    });
  };
  On.Loaded = [this](size_t Slot, const std::string &Key, bool Loaded) {
    command([&](SideMachine &M, const Now &N, Actions &Out) {
      M.onLoadDone(N, Slot, Key, Loaded, Out);
    });
  };
  On.Checked = [this](const side::UpstreamStatus &Status) {
    command([&](SideMachine &M, const Now &N, Actions &Out) {
      M.onUpstreamCheck(N, Status, Out);
    });
  };
  return On;
}

void SideTraffic::State::perform(side::Actions &Out) {
  for (side::Action &A : Out)
    std::visit([this](auto &One) { perform(One); }, A);
  if (Performing)
    return;
  Performing = true;
  while (!ToSelf.empty()) {
    const wire::Envelope Message = std::move(ToSelf.front());
    ToSelf.pop_front();
    // A permit's answer must appear to come from the broker: this side.
    const std::string Peer =
        Message.has_permit_grant() ? S.Upstream : std::string(SelfPeer);
    command([&](side::SideMachine &M, const Now &N, side::Actions &More) {
      M.onEnvelope(N, Peer, Message, More);
    });
  }
  Performing = false;
}

void SideTraffic::State::perform(side::Reply &A) {
  if (A.Peer == SelfPeer)
    ToSelf.push_back(std::move(A.Message));
  else if (!A.Peer.empty())
    Router.send(A.Peer, A.Message);
}

void SideTraffic::State::perform(side::TellSide &A) {
  if (A.Upstream == S.Upstream)
    ToSelf.push_back(std::move(A.Message));
  else if (SideLink *L = Links.find(A.Upstream))
    L->sendSoon(A.Message);
}

void SideTraffic::State::toControl(const std::string &Peer,
                                   const wire::Envelope &Message,
                                   bool ByRouter) {
  Sinks.Control(Peer, Message, [this, Peer, ByRouter](wire::Envelope Answer) {
    boost::asio::post(Io, [this, Peer, ByRouter, Answer]() mutable {
      if (ByRouter)
        Router.send(Peer, Answer);
      else if (SideLink *L = Links.find(Peer))
        L->sendSoon(Answer);
    });
  });
}

void SideTraffic::State::onMessage(const std::string &Peer,
                                   wire::Envelope &Message) {
  if (Message.has_config_request() || Message.has_config_reply() ||
      Message.has_membership() || Message.has_report())
    return toControl(Peer, Message, true);
  if (!Machine && Message.has_attempt()) {
    wire::Envelope Answer;
    wire::AttemptEvent &E = *Answer.mutable_event();
    E.set_attempt_id(Message.attempt().attempt_id());
    E.set_kind(wire::AttemptEvent::REFUSED);
    E.set_code(std::string(codeName(Code::WrongUpstream)));
    Router.send(Peer, Answer);
    return;
  }
  command([&](side::SideMachine &M, const Now &N, side::Actions &Out) {
    M.onEnvelope(N, Peer, Message, Out);
  });
}

void SideTraffic::State::onLinkMessage(const std::string &Upstream,
                                       wire::Envelope &Message) {
  const bool Newer = InForce && Message.generation() > InForce->generation();
  if (Message.has_config_reply() || Message.has_membership() || Newer)
    toControl(Upstream, Message, false);
  command([&](side::SideMachine &M, const Now &N, side::Actions &Out) {
    M.onEnvelope(N, Upstream, Message, Out);
  });
}

void SideTraffic::State::onConfig(std::shared_ptr<const Declarations> Config) {
  InForce = Config;
  if (const UpstreamDecl *Self = Config->upstream(S.Upstream))
    Client.setUpstream(*Self);
  Links.onConfig(Config);
  if (Machine)
    return command([&](side::SideMachine &M, const Now &N, side::Actions &Out) {
      M.onConfig(N, Config, Out);
    });
  Machine = std::make_unique<side::SideMachine>(machineOptions(S), Config,
                                                S.Upstream, Seed);
  Machine->setDraining(Draining);
}

void SideTraffic::State::applyShards(const ShardEffects &Effects) {
  if (!Machine)
    return;
  if (Effects.EndLease)
    Machine->endLease();
  for (uint32_t Shard : Effects.Drop)
    Machine->dropShard(Shard);
  const Now N = presentTime();
  for (const ShardEffects::Taken &T : Effects.Take)
    Machine->takeShard(N, T.Shard, T.FencingNumber);
  if (Effects.LeaseUntil)
    Machine->extendLease(*Effects.LeaseUntil);
  if (!Effects.Owners.empty())
    Machine->setShardOwners(Effects.Owners);
}

// Upstreams of the other sides of the cell.
std::vector<std::string> SideTraffic::State::otherSides() const {
  std::vector<std::string> Out;
  if (!InForce)
    return Out;
  for (const UpstreamDecl &U : InForce->upstreams())
    if (U.Cell == S.Cell && U.Name != S.Upstream)
      Out.push_back(U.Name);
  return Out;
}

void SideTraffic::State::tick() {
  Links.flush();
  command([](side::SideMachine &M, const Now &N, side::Actions &Out) {
    M.onTimer(N, Out);
  });
  updateSummary();
  Ticker.expires_after(Tick);
  Ticker.async_wait([this](boost::system::error_code Error) {
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

SideTraffic::SideTraffic(const Settings &S, uint64_t Seed,
                         zmq::context_t &Context, SideSinks Sinks)
    : Shell(std::make_unique<State>(S, Seed, Context, std::move(Sinks))) {}

SideTraffic::~SideTraffic() = default;

void SideTraffic::run() {
  Shell->tick();
  Shell->Io.run();
}

void SideTraffic::stop() { Shell->Io.stop(); }

void SideTraffic::publish(std::shared_ptr<const Declarations> Config) {
  boost::asio::post(Shell->Io, [this, Config] { Shell->onConfig(Config); });
}

void SideTraffic::applyShards(ShardEffects Effects) {
  boost::asio::post(Shell->Io, [this, Effects = std::move(Effects)] {
    Shell->applyShards(Effects);
  });
}

void SideTraffic::setDraining(bool On) {
  boost::asio::post(Shell->Io, [this, On] {
    Shell->Draining = On;
    if (Shell->Machine)
      Shell->Machine->setDraining(On);
  });
}

void SideTraffic::tell(std::string Peer, wire::Envelope Message) {
  boost::asio::post(Shell->Io, [this, Peer, Message]() mutable {
    if (SideLink *L = Shell->Links.find(Peer))
      L->sendSoon(Message);
  });
}

void SideTraffic::tellCell(wire::Envelope Message) {
  boost::asio::post(Shell->Io, [this, Message]() mutable {
    for (const std::string &Name : Shell->otherSides())
      if (SideLink *L = Shell->Links.find(Name))
        L->sendSoon(Message);
  });
}

void SideTraffic::tellAny(wire::Envelope Message) {
  boost::asio::post(Shell->Io, [this, Message]() mutable {
    const std::vector<std::string> Others = Shell->otherSides();
    if (Others.empty())
      return;
    if (SideLink *L =
            Shell->Links.find(Others[Shell->Rand.below(Others.size())]))
      L->sendSoon(Message);
  });
}

SideSummary SideTraffic::summary() const {
  const std::lock_guard<std::mutex> Lock(Shell->SummaryMutex);
  return Shell->Summary;
}

} // namespace goldcrestlink
