// One traffic thread of an entry: an HTTP listener, connections to the sides,
// and the entry state machine that takes the decisions. The workers of a
// process share only the listening port.
//
//   EntryWorker Worker(Settings, 0, Seed, Context, Sinks);
//   std::thread Thread([&] { Worker.run(); });
//   Worker.publish(Declarations);       // any thread
#ifndef GOLDCRESTLINK_DAEMON_ENTRY_WORKER_H
#define GOLDCRESTLINK_DAEMON_ENTRY_WORKER_H

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/stop_schedule.h"
#include "config/declarations.h"
#include "config/settings.h"
#include "entry/actions.h"
#include "http/close_log.h"
#include "wire/generated/messages.pb.h"

namespace zmq {
class context_t;
} // namespace zmq

namespace goldcrestlink {

/// Where a worker sends its output for the control thread. All are thread-safe.
struct EntrySinks {
  std::function<void(LogClass, std::string)> Log;
  std::function<void(entry::RequestRecord)> Record;
  /// Receives messages about configuration or membership, and messages from a
  /// side that has a newer configuration.
  std::function<void(const std::string &Peer, const wire::Envelope &)> Control;
  /// Requests the text of the metrics page; the callback may run on any thread.
  std::function<void(std::function<void(std::string)>)> Metrics;
  /// Of all workers together.
  std::shared_ptr<http::CloseLog> Closes;
};

/// run() belongs to one thread; the other methods are thread-safe.
class EntryWorker {
public:
  /// Binds the listener. \p Index distinguishes the workers of a process.
  /// Throws std::runtime_error if the address is in use.
  EntryWorker(const Settings &ProcessSettings, size_t Index, uint64_t Seed,
              zmq::context_t &Context, EntrySinks Sinks);
  ~EntryWorker();
  /// Serves until stop().
  void run();
  void stop();
  void publish(std::shared_ptr<const Declarations> Config);
  /// Sets the upstreams that are draining and those that have been removed.
  void setMembership(std::set<std::string> Draining,
                     std::set<std::string> Gone);
  /// Sends to a side, by upstream name or "ip:port".
  void send(std::string Peer, wire::Envelope Message);
  /// Sends to a random side to which a connection was opened.
  void sendToAny(wire::Envelope Message);
  /// First step of a graceful shutdown: reports not ready, but still serves
  /// what can end in time.
  void announceStop(const StopSchedule &Schedule);
  /// Second step: accepts no new connections.
  void stopAccepting();
  size_t requestsInProgress() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_ENTRY_WORKER_H
