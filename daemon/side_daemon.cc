// The control thread is the calling thread. Only a few sides per cell read from
// the platform: the first WatchersPerCell sides in rendezvous order watch the
// configuration and the list of instances and send updates to the other sides.
// Every side also requests updates from one other side per second, which makes
// up for lost messages.
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
#include "base/stop_schedule.h"
#include "daemon/cell_status.h"
#include "daemon/config_updater.h"
#include "daemon/decision_log.h"
#include "daemon/shard_lease_manager.h"
#include "daemon/side_traffic.h"
#include "http/server.h"
#include "membership/cell_watchers.h"

namespace goldcrestlink {

namespace {

constexpr Duration StepInterval = std::chrono::milliseconds(100);
constexpr Duration PeerPollInterval = std::chrono::seconds(1);
constexpr Duration ReportInterval = std::chrono::seconds(5);
constexpr Duration InstancePollInterval = std::chrono::seconds(1);
// Time to send the last responses once no work is in progress.
constexpr Duration StopFlush = std::chrono::milliseconds(300);

class SideControl {
public:
  explicit SideControl(const Settings &InSettings)
      : ProcessSettings(InSettings), Seed(freshSeed()),
        Log(ProcessSettings.LogLinesPerSecond),
        Platform(Io, ProcessSettings.Platform),
        Updater(
            Io, Platform, Seed,
            [this](std::shared_ptr<const Declarations> Config) {
              publish(Config);
            },
            [this](const std::string &Peer,
                   const wire::ConfigRequest &Request) {
              requestConfig(Peer, Request);
            }),
        Status(Platform, ProcessSettings.Cell), Signals(Io, SIGTERM, SIGINT),
        StepTimer(Io), Traffic(ProcessSettings, Seed, Context, makeSinks()),
        ListenerCloses(std::make_shared<http::CloseLog>(
            "status",
            [this](LogClass Class, std::string Line) {
              Log.push(Class, std::move(Line));
            })),
        Listener(Io, ProcessSettings.Listen,
                 http::ServerOptions().setCloseLog(ListenerCloses),
                 [this](http::Request R, std::shared_ptr<http::Responder> A) {
                   onHttp(R, *A);
                 }) {}

  int run() {
    std::thread Thread([this] { Traffic.run(); });
    Updater.start();
    step();
    Signals.async_wait([this](boost::system::error_code Error, int) {
      if (!Error)
        beginStop();
    });
    LOG(INFO) << "side " << ProcessSettings.InstanceName << " beside "
              << ProcessSettings.Upstream << " listens on "
              << ProcessSettings.SideListen.text();
    Io.run();
    Traffic.stop();
    Thread.join();
    Log.finish(currentTime().Steady);
    LOG(INFO) << "side " << ProcessSettings.InstanceName << " stopped";
    return 0;
  }

private:
  SideSinks makeSinks() {
    SideSinks Out;
    Out.Log = [this](LogClass Class, std::string Line) {
      Log.push(Class, std::move(Line));
    };
    Out.Control = [this](const std::string &Peer, const wire::Envelope &Message,
                         std::function<void(wire::Envelope)> Reply) {
      boost::asio::post(Io, [this, Peer, Message, Reply] {
        onMessage(Peer, Message, Reply);
      });
    };
    return Out;
  }

  wire::Envelope newEnvelope() const {
    wire::Envelope Message;
    Message.set_generation(Updater.replica().generation());
    return Message;
  }

  void requestConfig(const std::string &Peer,
                     const wire::ConfigRequest &Request) {
    wire::Envelope Message = newEnvelope();
    *Message.mutable_config_request() = Request;
    Traffic.send(Peer, std::move(Message));
  }

  void publish(const std::shared_ptr<const Declarations> &Config) {
    Traffic.publish(Config);
    const UpstreamDecl *Self = Config->upstream(ProcessSettings.Upstream);
    if (Self && Self->Kind == UpstreamKind::Service && !ShardLeases)
      startShardLeases(*Config, *Self);
    IsWatcher = false;
    StatusWriter.clear();
    for (const UpstreamDecl *U : cellWatchers(*Config, ProcessSettings.Cell)) {
      IsWatcher |= U->Name == ProcessSettings.Upstream;
      if (StatusWriter.empty())
        StatusWriter = U->Name;
    }
    Updater.setWatching(IsWatcher);
    if (!IsWatcher)
      return;
    wire::Envelope Message = newEnvelope();
    Message.mutable_config_reply()->set_head(Updater.replica().headText());
    Traffic.sendToCell(std::move(Message));
  }

  void startShardLeases(const Declarations &Config, const UpstreamDecl &Self) {
    const auto Members =
        Config.group(UpstreamKind::Service, Self.Group, {}).size();
    ShardLease Lease(
        ShardLease::Options()
            .setLease(Config.policy().Lease)
            .setShards(static_cast<uint32_t>(Config.policy().ShardsPerService))
            .setDeclaredMembers(Members),
        ProcessSettings.Upstream, Seed);
    ShardLeases = std::make_unique<ShardLeaseManager>(
        Platform, objects::shardTable(Self.Group), std::move(Lease),
        [this](ShardChanges Effects) {
          Traffic.applyShards(std::move(Effects));
        });
  }

  void onMessage(const std::string &Peer, const wire::Envelope &Message,
                 const std::function<void(wire::Envelope)> &Reply) {
    if (Message.has_config_request())
      return answerConfigRequest(Message, Reply);
    if (Message.has_config_reply())
      return Updater.onPeerReply(Peer, Message.config_reply());
    if (Message.has_membership())
      return applyMembership(Message.membership());
    const Time Now = currentTime().Steady;
    if (Message.has_report())
      return Status.record(Now, Message.report());
    if (Message.generation() > Updater.replica().generation() &&
        Now >= NextConfigRequest) {
      NextConfigRequest = Now + StepInterval;
      requestConfig(Peer, wire::ConfigRequest());
    }
  }

  void answerConfigRequest(const wire::Envelope &Message,
                           const std::function<void(wire::Envelope)> &Reply) {
    wire::Envelope Answer = newEnvelope();
    *Answer.mutable_config_reply() =
        Updater.answer(Message.config_request(), Message.generation());
    Reply(std::move(Answer));
    if (Membership.revision() == 0)
      return;
    wire::Envelope Members = newEnvelope();
    *Members.mutable_membership() = Membership;
    Reply(std::move(Members));
  }

  // A revision is the Unix time in milliseconds at which a watcher read the
  // list of instances; the notice with the latest revision wins.
  void applyMembership(const wire::MembershipNotice &Notice) {
    if (Notice.revision() <= Membership.revision())
      return;
    Membership = Notice;
    const auto &Draining = Notice.leaving();
    const bool SelfDraining =
        std::find(Draining.begin(), Draining.end(), ProcessSettings.Upstream) !=
        Draining.end();
    Traffic.setDraining(SelfDraining || Stopping);
    if (ShardLeases)
      ShardLeases->onGone(
          currentTime().Steady,
          std::set<std::string>(Notice.gone().begin(), Notice.gone().end()));
  }

  void readInstances() {
    Platform.instances([this](const std::vector<InstanceRow> *Rows) {
      if (!Rows || Rows->empty())
        return;
      std::set<std::string> Listed;
      wire::MembershipNotice Notice;
      for (const InstanceRow &Row : *Rows) {
        Listed.insert(Row.Name);
        EverListed.insert(Row.Name);
        if (Row.Draining)
          Notice.add_leaving(Row.Name);
      }
      for (const std::string &Name : EverListed)
        if (!Listed.count(Name))
          Notice.add_gone(Name);
      std::string SerializedNotice = Notice.SerializeAsString();
      if (SerializedNotice == LastSerializedNotice)
        return;
      LastSerializedNotice = std::move(SerializedNotice);
      Notice.set_revision(
          static_cast<uint64_t>(unixMillis(currentTime().Wall)));
      applyMembership(Notice);
      wire::Envelope Message = newEnvelope();
      *Message.mutable_membership() = Notice;
      Traffic.sendToCell(std::move(Message));
    });
  }

  void pollPeers() {
    wire::Envelope Message = newEnvelope();
    Message.mutable_config_request();
    if (Updater.replica().current())
      return Traffic.sendToAny(Message);
    for (const http::Endpoint &Peer : ProcessSettings.Peers)
      Traffic.send(Peer.text(), Message);
  }

  void report(Time Now) {
    const SideSummary Summary = Traffic.summary();
    wire::Envelope Message = newEnvelope();
    wire::ProcessReport &Report = *Message.mutable_report();
    Report.set_name(ProcessSettings.InstanceName);
    Report.set_upstream(ProcessSettings.Upstream);
    Report.set_generation(Updater.replica().generation());
    Report.set_ready(Summary.Ready);
    Report.set_upstream_down(Summary.UpstreamDown);
    Report.set_running(static_cast<uint32_t>(Summary.Running));
    Report.set_waiting(static_cast<uint32_t>(Summary.Waiting));
    if (StatusWriter == ProcessSettings.Upstream)
      Status.record(Now, Report);
    else if (!StatusWriter.empty())
      Traffic.send(StatusWriter, std::move(Message));
  }

  void step() {
    const Time Now = currentTime().Steady;
    Log.drain(Now);
    if (ShardLeases)
      ShardLeases->step(Now);
    if (Now >= NextPoll) {
      NextPoll = Now + PeerPollInterval;
      pollPeers();
    }
    if (IsWatcher && Now >= NextInstancePoll) {
      NextInstancePoll = Now + InstancePollInterval;
      readInstances();
    }
    if (Now >= NextReport) {
      NextReport = Now + ReportInterval;
      report(Now);
    }
    if (StatusWriter == ProcessSettings.Upstream)
      Status.step(Now);
    if (Stopping)
      stepStop(Now);
    StepTimer.expires_after(StepInterval);
    StepTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        step();
    });
  }

  void beginStop() {
    LOG(INFO) << "stopping: accepts no new work";
    if (Stopping)
      return;
    Stopping = true;
    Traffic.setDraining(true);
    Stop = StopSchedule::lasting(currentTime().Steady,
                                 ProcessSettings.DrainTimeout, Duration(0));
  }

  // Waits until all work is drained, then until the shards are released, then
  // for StopFlush. Attempts that still wait at Stop.AnswerBy are refused; at
  // Stop.ExitAt the process stops in any case.
  void stepStop(Time Now) {
    if (Now >= Stop.AnswerBy)
      Traffic.refuseWaiting();
    const bool Drained = Traffic.summary().Drained;
    if (Drained && ShardLeases && !ReleaseRequested) {
      ReleaseRequested = true;
      ShardLeases->release();
    }
    const bool Released = !ShardLeases || ShardLeases->released();
    if (!Drained || !Released)
      DrainedSince = Time{};
    else if (DrainedSince == Time{})
      DrainedSince = Now;
    const bool Flushed =
        DrainedSince != Time{} && Now - DrainedSince >= StopFlush;
    if (Flushed || Now >= Stop.ExitAt)
      Io.stop();
  }

  void onHttp(const http::Request &R, http::Responder &Answer) {
    const SideSummary Summary = Traffic.summary();
    if (R.path() == "/healthz")
      return Answer.respond(200, {}, "ok\n");
    if (R.path() == "/readyz")
      return Answer.respond(Summary.Ready ? 200 : 503, {}, "");
    if (R.path() != "/metrics" && R.path() != "/status")
      return Answer.respond(404, {}, "");
    const side::SideCounters &Counters = Summary.Counters;
    std::ostringstream Out;
    const auto Line = [&](const char *Name, auto Value) {
      Out << "goldcrestlink_side_" << Name << "{upstream=\""
          << ProcessSettings.Upstream << "\"} " << Value << "\n";
    };
    Line("generation", Updater.replica().generation());
    Line("upstream_down", Summary.UpstreamDown ? 1 : 0);
    Line("running", Summary.Running);
    Line("waiting", Summary.Waiting);
    Line("keys", Summary.Keys);
    Line("bad_frames_total", Summary.BadFrames);
    Line("admitted_total", Counters.Admitted);
    Line("refused_total", Counters.Refused);
    Line("finished_total", Counters.Finished);
    Line("failed_total", Counters.Failed);
    Line("loads_total", Counters.Loads);
    Line("load_failures_total", Counters.LoadFailures);
    Line("crashes_total", Counters.Crashes);
    Line("running_at_starts_total", Counters.RunningAtStarts);
    for (const side::RankCounters &R : Counters.Ranks) {
      const auto RankLine = [&](const char *Name, uint64_t Value) {
        Out << "goldcrestlink_side_" << Name << "{upstream=\""
            << ProcessSettings.Upstream << "\",rank=\"" << R.Rank << "\"} "
            << Value << "\n";
      };
      RankLine("started_total", R.Started);
      RankLine("waited_us_total", R.WaitedUs);
      RankLine("stalled_total", R.Stalled);
      RankLine("stalled_us_total", R.StalledUs);
    }
    Out << ListenerCloses->metrics();
    Answer.respond(200, {{"Content-Type", "text/plain"}}, Out.str());
  }

  Settings ProcessSettings;
  uint64_t Seed;
  boost::asio::io_context Io{1};
  zmq::context_t Context{1};
  DecisionLog Log;
  ObjectClient Platform;
  ConfigUpdater Updater;
  CellStatus Status;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer StepTimer;
  SideTraffic Traffic;
  std::shared_ptr<http::CloseLog> ListenerCloses;
  http::Server Listener;
  std::unique_ptr<ShardLeaseManager> ShardLeases;
  wire::MembershipNotice Membership;
  // Every instance that has been in the list since this process started.
  std::set<std::string> EverListed;
  std::string LastSerializedNotice;
  // The side that writes the cell's status.
  std::string StatusWriter;
  bool IsWatcher = false;
  bool Stopping = false;
  bool ReleaseRequested = false;
  Time NextReport{};
  Time NextPoll{};
  Time NextInstancePoll{};
  Time NextConfigRequest{};
  StopSchedule Stop;
  Time DrainedSince{};
};

} // namespace

int runSide(const Settings &ProcessSettings) {
  return SideControl(ProcessSettings).run();
}

} // namespace goldcrestlink
