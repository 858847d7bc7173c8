// The control thread is the calling thread. Everything it does is periodic
// and bounded: one question per second to one side, one drain of the log and
// the metrics per DrainInterval. No request waits for it.
#include "daemon/entry_daemon.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <zmq.hpp>

#include "base/random.h"
#include "daemon/config_keeper.h"
#include "daemon/decision_log.h"
#include "daemon/entry_shard.h"
#include "daemon/planned_stop.h"
#include "daemon/request_metrics.h"
#include "membership/cell_watchers.h"

namespace goldcrestlink {

namespace {

constexpr Duration DrainInterval = std::chrono::milliseconds(100);
constexpr Duration PeerPollInterval = std::chrono::seconds(1);
constexpr Duration ReportInterval = std::chrono::seconds(5);
// After readiness fails, callers still get served for this long, so that a
// balancer notices first.
constexpr Duration StopNotice = std::chrono::seconds(1);
// Time for the last answers to leave once no request is in progress.
constexpr Duration StopFlush = std::chrono::milliseconds(200);

class EntryControl {
public:
  explicit EntryControl(const Settings &Given)
      : S(Given), Seed(freshSeed()), Log(S.LogLinesPerSecond),
        Platform(Io, S.Platform),
        Keeper(
            Io, Platform, Seed,
            [this](std::shared_ptr<const Declarations> D) { publish(D); },
            [this](const std::string &Peer, const wire::ConfigRequest &R) {
              ask(Peer, R);
            }),
        Signals(Io, SIGTERM, SIGINT), DrainTimer(Io), PollTimer(Io),
        Stop(Io, {[this] {
                    for (auto &Shard : Shards)
                      Shard->announceStop();
                  },
                  [this] {
                    for (auto &Shard : Shards)
                      Shard->stopAccepting();
                  },
                  [this] { return requestsInProgress(); }}) {}

  int run() {
    makeShards();
    Keeper.start();
    drainQueues();
    pollPeers();
    Signals.async_wait([this](boost::system::error_code Error, int) {
      if (!Error)
        beginStop();
    });
    LOG(INFO) << "entry " << S.InstanceName << " listens on "
              << S.Listen.text();
    Io.run();
    for (auto &Shard : Shards)
      Shard->stop();
    for (std::thread &T : Threads)
      T.join();
    Log.finish(presentTime().Steady);
    LOG(INFO) << "entry " << S.InstanceName << " stopped";
    return 0;
  }

private:
  void makeShards() {
    EntrySinks Sinks;
    Sinks.Log = [this](LineClass Class, std::string Line) {
      Log.push(Class, std::move(Line));
    };
    Sinks.Record = [this](entry::RequestRecord R) {
      Metrics.push(std::move(R));
    };
    Sinks.Control = [this](const std::string &Peer, const wire::Envelope &E) {
      boost::asio::post(Io, [this, Peer, E] { onControlMessage(Peer, E); });
    };
    Sinks.Metrics = [this](std::function<void(std::string)> Done) {
      boost::asio::post(Io, [this, Done] {
        Metrics.collect();
        Done(Metrics.text());
      });
    };
    for (int64_t I = 0; I < S.TrafficThreads; ++I)
      Shards.push_back(std::make_unique<EntryShard>(
          S, static_cast<size_t>(I), mixSeed(I), Context, Sinks));
    for (auto &Shard : Shards)
      Threads.emplace_back([&Shard] { Shard->run(); });
  }

  uint64_t mixSeed(int64_t Index) const {
    return Random(Seed + static_cast<uint64_t>(Index)).next();
  }

  void publish(const std::shared_ptr<const Declarations> &D) {
    const auto Watchers = cellWatchers(*D, S.Cell);
    StatusWriter = Watchers.empty() ? std::string() : Watchers.front()->Name;
    for (auto &Shard : Shards)
      Shard->publish(D);
  }

  void ask(const std::string &Peer, const wire::ConfigRequest &Request) {
    wire::Envelope E;
    E.set_generation(Keeper.replica().generation());
    *E.mutable_config_request() = Request;
    Shards.front()->tell(Peer, std::move(E));
  }

  void onControlMessage(const std::string &Peer, const wire::Envelope &E) {
    if (E.has_config_reply())
      return Keeper.onPeerReply(Peer, E.config_reply());
    if (E.has_membership()) {
      const std::set<std::string> Leaving(E.membership().leaving().begin(),
                                          E.membership().leaving().end());
      const std::set<std::string> Gone(E.membership().gone().begin(),
                                       E.membership().gone().end());
      for (auto &Shard : Shards)
        Shard->setMembership(Leaving, Gone);
      return;
    }
    // The peer runs a newer generation.
    const Time N = presentTime().Steady;
    if (E.generation() > Keeper.replica().generation() && N >= NextAsk) {
      NextAsk = N + DrainInterval;
      ask(Peer, wire::ConfigRequest());
    }
  }

  void drainQueues() {
    Log.drain(presentTime().Steady);
    Metrics.collect();
    DrainTimer.expires_after(DrainInterval);
    DrainTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        drainQueues();
    });
  }

  size_t requestsInProgress() const {
    size_t Sum = 0;
    for (const auto &Shard : Shards)
      Sum += Shard->requestsInProgress();
    return Sum;
  }

  void report() {
    if (StatusWriter.empty())
      return;
    wire::Envelope E;
    E.set_generation(Keeper.replica().generation());
    wire::ProcessReport &R = *E.mutable_report();
    R.set_name(S.InstanceName);
    R.set_entry(true);
    R.set_generation(Keeper.replica().generation());
    R.set_ready(!Stop.begun());
    R.set_running(static_cast<uint32_t>(requestsInProgress()));
    Shards.front()->tell(StatusWriter, std::move(E));
  }

  // Asks one side per interval for a newer configuration and membership.
  void pollPeers() {
    wire::Envelope E;
    E.set_generation(Keeper.replica().generation());
    E.mutable_config_request();
    if (Keeper.replica().current())
      Shards.front()->tellAny(E);
    else
      for (const http::Endpoint &Peer : S.Peers)
        Shards.front()->tell(Peer.text(), E);
    const Time N = presentTime().Steady;
    if (N >= NextReport) {
      NextReport = N + ReportInterval;
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
    Stop.begin(presentTime().Steady,
               {StopNotice, StopFlush, StopNotice + S.DrainTimeout});
  }

  Settings S;
  uint64_t Seed;
  boost::asio::io_context Io{1};
  zmq::context_t Context{1};
  DecisionLog Log;
  RequestMetrics Metrics;
  ObjectClient Platform;
  ConfigKeeper Keeper;
  boost::asio::signal_set Signals;
  boost::asio::steady_timer DrainTimer;
  boost::asio::steady_timer PollTimer;
  PlannedStop Stop;
  Time NextAsk{};
  Time NextReport{};
  std::string StatusWriter;
  std::vector<std::unique_ptr<EntryShard>> Shards;
  std::vector<std::thread> Threads;
};

} // namespace

int runEntry(const Settings &S) { return EntryControl(S).run(); }

} // namespace goldcrestlink
