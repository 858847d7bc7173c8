// The control thread is the calling thread. Its work is periodic and bounded:
// per PeerPollInterval one configuration request to one side, or to each peer
// in the settings until a configuration is known; per DrainInterval one drain
// of the log and the metrics, and at most one request for a newer
// configuration. No caller's request waits for this work.
#include "daemon/entry_daemon.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <zmq.hpp>

#include "base/random.h"
#include "daemon/config_updater.h"
#include "daemon/decision_log.h"
#include "daemon/entry_worker.h"
#include "daemon/graceful_shutdown.h"
#include "daemon/request_metrics.h"
#include "membership/cell_watchers.h"

namespace goldcrestlink {

namespace {

constexpr Duration DrainInterval = std::chrono::milliseconds(100);
constexpr Duration PeerPollInterval = std::chrono::seconds(1);
constexpr Duration ReportInterval = std::chrono::seconds(5);
// Callers are still served for this long after readiness fails, so that a load
// balancer notices first.
constexpr Duration StopNotice = std::chrono::seconds(1);
// Time to send the last responses once no request is in progress.
constexpr Duration StopFlush = std::chrono::milliseconds(200);

class EntryControl {
public:
  explicit EntryControl(const Settings &InSettings)
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
        Signals(Io, SIGTERM, SIGINT), DrainTimer(Io), PollTimer(Io),
        Shutdown(Io, {[this](const StopSchedule &Schedule) {
                        for (auto &Worker : Workers)
                          Worker->announceStop(Schedule);
                      },
                      [this] {
                        for (auto &Worker : Workers)
                          Worker->stopAccepting();
                      },
                      [this] { return requestsInProgress(); }}) {}

  int run() {
    startWorkers();
    Updater.start();
    drainQueues();
    pollPeers();
    Signals.async_wait([this](boost::system::error_code Error, int) {
      if (!Error)
        beginStop();
    });
    LOG(INFO) << "entry " << ProcessSettings.InstanceName << " listens on "
              << ProcessSettings.Listen.text();
    Io.run();
    for (auto &Worker : Workers)
      Worker->stop();
    for (std::thread &WorkerThread : Threads)
      WorkerThread.join();
    Log.finish(currentTime().Steady);
    LOG(INFO) << "entry " << ProcessSettings.InstanceName << " stopped";
    return 0;
  }

private:
  void startWorkers() {
    EntrySinks Sinks;
    Sinks.Log = [this](LogClass Class, std::string Line) {
      Log.push(Class, std::move(Line));
    };
    Sinks.Closes = std::make_shared<http::CloseLog>("callers", Sinks.Log);
    Sinks.Record = [this](entry::RequestRecord R) {
      Metrics.push(std::move(R));
    };
    Sinks.Control = [this](const std::string &Peer,
                           const wire::Envelope &Message) {
      boost::asio::post(
          Io, [this, Peer, Message] { onControlMessage(Peer, Message); });
    };
    Sinks.Metrics =
        [this, Closes = Sinks.Closes](std::function<void(std::string)> Done) {
          boost::asio::post(Io, [this, Closes, Done] {
            Metrics.collect();
            Done(Metrics.text() + Closes->metrics());
          });
        };
    for (int64_t I = 0; I < ProcessSettings.TrafficThreads; ++I)
      Workers.push_back(
          std::make_unique<EntryWorker>(ProcessSettings, static_cast<size_t>(I),
                                        workerSeed(I), Context, Sinks));
    for (auto &Worker : Workers)
      Threads.emplace_back([&Worker] { Worker->run(); });
  }

  uint64_t workerSeed(int64_t Index) const {
    return Random(Seed + static_cast<uint64_t>(Index)).next();
  }

  void publish(const std::shared_ptr<const Declarations> &Config) {
    const auto Watchers = cellWatchers(*Config, ProcessSettings.Cell);
    StatusWriter = Watchers.empty() ? std::string() : Watchers.front()->Name;
    for (auto &Worker : Workers)
      Worker->publish(Config);
  }

  void requestConfig(const std::string &Peer,
                     const wire::ConfigRequest &Request) {
    wire::Envelope Message;
    Message.set_generation(Updater.replica().generation());
    *Message.mutable_config_request() = Request;
    Workers.front()->send(Peer, std::move(Message));
  }

  void onControlMessage(const std::string &Peer,
                        const wire::Envelope &Message) {
    if (Message.has_config_reply())
      return Updater.onPeerReply(Peer, Message.config_reply());
    if (Message.has_membership()) {
      const std::set<std::string> Draining(
          Message.membership().leaving().begin(),
          Message.membership().leaving().end());
      const std::set<std::string> Gone(Message.membership().gone().begin(),
                                       Message.membership().gone().end());
      for (auto &Worker : Workers)
        Worker->setMembership(Draining, Gone);
      return;
    }
    // A higher generation means that the peer has a newer configuration.
    const Time Now = currentTime().Steady;
    if (Message.generation() > Updater.replica().generation() &&
        Now >= NextConfigRequest) {
      NextConfigRequest = Now + DrainInterval;
      requestConfig(Peer, wire::ConfigRequest());
    }
  }

  void drainQueues() {
    Log.drain(currentTime().Steady);
    Metrics.collect();
    DrainTimer.expires_after(DrainInterval);
    DrainTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        drainQueues();
    });
  }

  size_t requestsInProgress() const {
    size_t Total = 0;
    for (const auto &Worker : Workers)
      Total += Worker->requestsInProgress();
    return Total;
  }

  void report() {
    if (StatusWriter.empty())
      return;
    wire::Envelope Message;
    Message.set_generation(Updater.replica().generation());
    wire::ProcessReport &Report = *Message.mutable_report();
    Report.set_name(ProcessSettings.InstanceName);
    Report.set_entry(true);
    Report.set_generation(Updater.replica().generation());
    Report.set_ready(!Shutdown.begun());
    Report.set_running(static_cast<uint32_t>(requestsInProgress()));
    Workers.front()->send(StatusWriter, std::move(Message));
  }

  // Requests a newer configuration and membership from one side per interval,
  // or from all peers in the settings while no configuration is known.
  void pollPeers() {
    wire::Envelope Message;
    Message.set_generation(Updater.replica().generation());
    Message.mutable_config_request();
    if (Updater.replica().current())
      Workers.front()->sendToAny(Message);
    else
      for (const http::Endpoint &Peer : ProcessSettings.Peers)
        Workers.front()->send(Peer.text(), Message);
    const Time Now = currentTime().Steady;
    if (Now >= NextReport) {
      NextReport = Now + ReportInterval;
      report();
    }
    PollTimer.expires_after(PeerPollInterval);
    PollTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        pollPeers();
    });
  }

  void beginStop() {
    LOG(INFO) << "stopping: not ready, still serving";
    Shutdown.begin(StopSchedule::lasting(
                       currentTime().Steady,
                       StopNotice + ProcessSettings.DrainTimeout, StopNotice),
                   StopFlush);
  }

  Settings ProcessSettings;
  uint64_t Seed;
  boost::asio::io_context Io{1};
  zmq::context_t Context{1};
  DecisionLog Log;
  RequestMetrics Metrics;
  ObjectClient Platform;
  ConfigUpdater Updater;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer DrainTimer;
  boost::asio::steady_timer PollTimer;
  GracefulShutdown Shutdown;
  Time NextConfigRequest{};
  Time NextReport{};
  // The side that writes the cell's status.
  std::string StatusWriter;
  std::vector<std::unique_ptr<EntryWorker>> Workers;
  std::vector<std::thread> Threads;
};

} // namespace

int runEntry(const Settings &ProcessSettings) {
  return EntryControl(ProcessSettings).run();
}

} // namespace goldcrestlink
