// The control thread is the calling thread. Few sides per cell talk to the
// platform for all: the first WatchersPerCell in a rendezvous order watch the
// configuration and the list of instances and pass on what is new; every side
// also asks one other side per second, so that a missed message heals.
#include "daemon/side_daemon.h"

#include <algorithm>
#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <zmq.hpp>

#include "base/random.h"
#include "daemon/cell_status.h"
#include "daemon/config_keeper.h"
#include "daemon/decision_log.h"
#include "daemon/shard_keeper.h"
#include "daemon/side_traffic.h"
#include "http/server.h"
#include "membership/cell_watchers.h"

namespace goldcrestlink {

namespace {

constexpr Duration StepInterval = std::chrono::milliseconds(100);
constexpr Duration PeerPollInterval = std::chrono::seconds(1);
constexpr Duration ReportInterval = std::chrono::seconds(5);
constexpr Duration ListInterval = std::chrono::seconds(1);
// Time for the last answers to leave once nothing is in progress.
constexpr Duration StopFlush = std::chrono::milliseconds(300);

class SideControl {
public:
  explicit SideControl(const Settings &Given)
      : S(Given), Seed(freshSeed()), Log(S.LogLinesPerSecond),
        Platform(Io, S.Platform),
        Keeper(
            Io, Platform, Seed,
            [this](std::shared_ptr<const Declarations> D) { publish(D); },
            [this](const std::string &Peer, const wire::ConfigRequest &R) {
              ask(Peer, R);
            }),
        Status(Platform, S.Cell), Signals(Io, SIGTERM, SIGINT), StepTimer(Io),
        Traffic(S, Seed, Context, sinks()),
        Listener(Io, S.Listen, http::ServerOptions(),
                 [this](http::Request R, std::shared_ptr<http::Responder> A) {
                   onHttp(R, *A);
                 }) {}

  int run() {
    std::thread Thread([this] { Traffic.run(); });
    Keeper.start();
    step();
    Signals.async_wait([this](boost::system::error_code Error, int) {
      if (!Error)
        beginStop();
    });
    LOG(INFO) << "side " << S.InstanceName << " beside " << S.Upstream
              << " listens on " << S.SideListen.text();
    Io.run();
    Traffic.stop();
    Thread.join();
    Log.finish(presentTime().Steady);
    LOG(INFO) << "side " << S.InstanceName << " stopped";
    return 0;
  }

private:
  SideSinks sinks() {
    SideSinks Out;
    Out.Log = [this](LineClass Class, std::string Line) {
      Log.push(Class, std::move(Line));
    };
    Out.Control = [this](const std::string &Peer, const wire::Envelope &E,
                         std::function<void(wire::Envelope)> Reply) {
      boost::asio::post(Io,
                        [this, Peer, E, Reply] { onMessage(Peer, E, Reply); });
    };
    return Out;
  }

  wire::Envelope envelope() const {
    wire::Envelope E;
    E.set_generation(Keeper.replica().generation());
    return E;
  }

  void ask(const std::string &Peer, const wire::ConfigRequest &Request) {
    wire::Envelope E = envelope();
    *E.mutable_config_request() = Request;
    Traffic.tell(Peer, std::move(E));
  }

  void publish(const std::shared_ptr<const Declarations> &D) {
    Traffic.publish(D);
    const UpstreamDecl *Self = D->upstream(S.Upstream);
    if (Self && Self->Kind == UpstreamKind::Service && !Shards)
      startShards(*D, *Self);
    Watcher = false;
    StatusWriter.clear();
    for (const UpstreamDecl *U : cellWatchers(*D, S.Cell)) {
      Watcher |= U->Name == S.Upstream;
      if (StatusWriter.empty())
        StatusWriter = U->Name;
    }
    Keeper.setWatching(Watcher);
    if (!Watcher)
      return;
    wire::Envelope E = envelope();
    E.mutable_config_reply()->set_head(Keeper.replica().headText());
    Traffic.tellCell(std::move(E));
  }

  void startShards(const Declarations &D, const UpstreamDecl &Self) {
    const auto Members = D.group(UpstreamKind::Service, Self.Group, {}).size();
    ShardLease Lease(
        ShardLease::Options()
            .setLease(D.policy().Lease)
            .setShards(static_cast<uint32_t>(D.policy().ShardsPerService))
            .setDeclaredMembers(Members),
        S.Upstream, Seed);
    Shards = std::make_unique<ShardKeeper>(
        Platform, objects::shardTable(Self.Group), std::move(Lease),
        [this](ShardEffects Effects) {
          Traffic.applyShards(std::move(Effects));
        });
  }

  void onMessage(const std::string &Peer, const wire::Envelope &E,
                 const std::function<void(wire::Envelope)> &Reply) {
    if (E.has_config_request())
      return answer(E, Reply);
    if (E.has_config_reply())
      return Keeper.onPeerReply(Peer, E.config_reply());
    if (E.has_membership())
      return adoptMembership(E.membership());
    const Time N = presentTime().Steady;
    if (E.has_report())
      return Status.note(N, E.report());
    if (E.generation() > Keeper.replica().generation() && N >= NextAsk) {
      NextAsk = N + StepInterval;
      ask(Peer, wire::ConfigRequest());
    }
  }

  void answer(const wire::Envelope &E,
              const std::function<void(wire::Envelope)> &Reply) {
    wire::Envelope Answer = envelope();
    *Answer.mutable_config_reply() =
        Keeper.answer(E.config_request(), E.generation());
    Reply(std::move(Answer));
    if (Membership.revision() == 0)
      return;
    wire::Envelope Members = envelope();
    *Members.mutable_membership() = Membership;
    Reply(std::move(Members));
  }

  // Revisions are Unix milliseconds of the list's reading, by whichever
  // watcher read it; a later reading wins.
  void adoptMembership(const wire::MembershipNotice &M) {
    if (M.revision() <= Membership.revision())
      return;
    Membership = M;
    const auto &Leaving = M.leaving();
    const bool SelfLeaving =
        std::find(Leaving.begin(), Leaving.end(), S.Upstream) != Leaving.end();
    Traffic.setDraining(SelfLeaving || Stopping);
    if (Shards)
      Shards->onGone(presentTime().Steady,
                     std::set<std::string>(M.gone().begin(), M.gone().end()));
  }

  void readList() {
    Platform.instances([this](const std::vector<InstanceRow> *Rows) {
      if (!Rows || Rows->empty())
        return;
      std::set<std::string> Present;
      wire::MembershipNotice M;
      for (const InstanceRow &Row : *Rows) {
        Present.insert(Row.Name);
        EverListed.insert(Row.Name);
        if (Row.Leaving)
          M.add_leaving(Row.Name);
      }
      for (const std::string &Name : EverListed)
        if (!Present.count(Name))
          M.add_gone(Name);
      std::string Text = M.SerializeAsString();
      if (Text == LastList)
        return;
      LastList = std::move(Text);
      M.set_revision(static_cast<uint64_t>(unixMillis(presentTime().Wall)));
      adoptMembership(M);
      wire::Envelope E = envelope();
      *E.mutable_membership() = M;
      Traffic.tellCell(std::move(E));
    });
  }

  void pollPeers() {
    wire::Envelope E = envelope();
    E.mutable_config_request();
    if (Keeper.replica().current())
      return Traffic.tellAny(E);
    for (const http::Endpoint &Peer : S.Peers)
      Traffic.tell(Peer.text(), E);
  }

  void report(Time N) {
    const SideSummary Sum = Traffic.summary();
    wire::Envelope E = envelope();
    wire::ProcessReport &R = *E.mutable_report();
    R.set_name(S.InstanceName);
    R.set_upstream(S.Upstream);
    R.set_generation(Keeper.replica().generation());
    R.set_ready(Sum.Ready);
    R.set_upstream_down(Sum.UpstreamDown);
    R.set_running(static_cast<uint32_t>(Sum.Running));
    R.set_waiting(static_cast<uint32_t>(Sum.Waiting));
    if (StatusWriter == S.Upstream)
      Status.note(N, R);
    else if (!StatusWriter.empty())
      Traffic.tell(StatusWriter, std::move(E));
  }

  void step() {
    const Time N = presentTime().Steady;
    Log.drain(N);
    if (Shards)
      Shards->step(N);
    if (N >= NextPoll) {
      NextPoll = N + PeerPollInterval;
      pollPeers();
    }
    if (Watcher && N >= NextList) {
      NextList = N + ListInterval;
      readList();
    }
    if (N >= NextReport) {
      NextReport = N + ReportInterval;
      report(N);
    }
    if (StatusWriter == S.Upstream)
      Status.step(N);
    if (Stopping)
      stepStop(N);
    StepTimer.expires_after(StepInterval);
    StepTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        step();
    });
  }

  void beginStop() {
    LOG(INFO) << "stopping: takes no new work";
    Stopping = true;
    Traffic.setDraining(true);
    StopDeadline = presentTime().Steady + S.DrainTimeout;
  }

  // Drained work first, then the shards are given up, then the flush.
  void stepStop(Time N) {
    const bool Drained = Traffic.summary().Drained;
    if (Drained && Shards && !ReleaseAsked) {
      ReleaseAsked = true;
      Shards->release();
    }
    const bool Free = !Shards || Shards->released();
    if (!Drained || !Free)
      DrainedSince = Time{};
    else if (DrainedSince == Time{})
      DrainedSince = N;
    const bool Flushed =
        DrainedSince != Time{} && N - DrainedSince >= StopFlush;
    if (Flushed || N >= StopDeadline)
      Io.stop();
  }

  void onHttp(const http::Request &R, http::Responder &Answer) {
    const SideSummary Sum = Traffic.summary();
    if (R.path() == "/healthz")
      return Answer.whole(200, {}, "ok\n");
    if (R.path() == "/readyz")
      return Answer.whole(Sum.Ready ? 200 : 503, {}, "");
    if (R.path() != "/metrics" && R.path() != "/status")
      return Answer.whole(404, {}, "");
    const side::SideCounters &C = Sum.Counters;
    std::ostringstream Out;
    const auto Line = [&](const char *Name, auto Value) {
      Out << "goldcrestlink_side_" << Name << "{upstream=\"" << S.Upstream
          << "\"} " << Value << "\n";
    };
    Line("generation", Keeper.replica().generation());
    Line("upstream_down", Sum.UpstreamDown ? 1 : 0);
    Line("running", Sum.Running);
    Line("waiting", Sum.Waiting);
    Line("keys", Sum.Keys);
    Line("bad_frames_total", Sum.BadFrames);
    Line("admitted_total", C.Admitted);
    Line("refused_total", C.Refused);
    Line("finished_total", C.Finished);
    Line("failed_total", C.Failed);
    Line("loads_total", C.Loads);
    Line("load_failures_total", C.LoadFailures);
    Line("crashes_total", C.Crashes);
    Line("running_at_starts_total", C.RunningAtStarts);
    for (const side::RankCounters &R : C.Ranks) {
      const auto RankLine = [&](const char *Name, uint64_t Value) {
        Out << "goldcrestlink_side_" << Name << "{upstream=\"" << S.Upstream
            << "\",rank=\"" << R.Rank << "\"} " << Value << "\n";
      };
      RankLine("started_total", R.Started);
      RankLine("waited_us_total", R.WaitedUs);
      RankLine("stalled_total", R.Stalled);
      RankLine("stalled_us_total", R.StalledUs);
    }
    Answer.whole(200, {{"Content-Type", "text/plain"}}, Out.str());
  }

  Settings S;
  uint64_t Seed;
  boost::asio::io_context Io{1};
  zmq::context_t Context{1};
  DecisionLog Log;
  ObjectClient Platform;
  ConfigKeeper Keeper;
  CellStatus Status;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer StepTimer;
  SideTraffic Traffic;
  http::Server Listener;
  std::unique_ptr<ShardKeeper> Shards;
  wire::MembershipNotice Membership;
  std::set<std::string> EverListed;
  std::string LastList;
  std::string StatusWriter;
  bool Watcher = false;
  bool Stopping = false;
  bool ReleaseAsked = false;
  Time NextReport{};
  Time NextPoll{};
  Time NextList{};
  Time NextAsk{};
  Time StopDeadline{};
  Time DrainedSince{};
};

} // namespace

int runSide(const Settings &S) { return SideControl(S).run(); }

} // namespace goldcrestlink
