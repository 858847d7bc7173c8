// One traffic thread of an entry: an HTTP listener, connections to the sides,
// and an EntryMachine that decides. Shards share nothing but the port.
//
//   EntryShard S(Settings, 0, Context, Sinks);
//   std::thread T([&] { S.run(); });
//   S.publish(Declarations);            // any thread
#ifndef GOLDCRESTLINK_DAEMON_ENTRY_SHARD_H
#define GOLDCRESTLINK_DAEMON_ENTRY_SHARD_H

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "config/declarations.h"
#include "config/settings.h"
#include "entry/actions.h"
#include "wire/generated/messages.pb.h"

namespace zmq {
class context_t;
} // namespace zmq

namespace goldcrestlink {

/// Where a shard hands things to the control thread. All are thread-safe.
struct EntrySinks {
  std::function<void(LineClass, std::string)> Log;
  std::function<void(entry::RequestRecord)> Record;
  std::function<void(const std::string &Peer, const wire::Envelope &)> Control;
  /// Text of the metrics page; called back on any thread.
  std::function<void(std::function<void(std::string)>)> Metrics;
};

/// run() belongs to one thread; the other methods are thread-safe.
class EntryShard {
public:
  /// Binds the listener. \p Index tells shards of a process apart. Throws
  /// std::runtime_error if the address is taken.
  EntryShard(const Settings &S, size_t Index, uint64_t Seed,
             zmq::context_t &Context, EntrySinks Sinks);
  ~EntryShard();
  /// Serves until stopped.
  void run();
  void stop();
  void publish(std::shared_ptr<const Declarations> Config);
  void setMembership(std::set<std::string> Leaving, std::set<std::string> Gone);
  /// Sends to a side, by upstream name or "ip:port".
  void tell(std::string Peer, wire::Envelope Message);
  /// Sends to some side of the cell.
  void tellAny(wire::Envelope Message);
  /// First step of a graceful stop: not ready, but still serving.
  void announceStop();
  /// Second step: accept nothing more.
  void stopAccepting();
  size_t requestsInProgress() const;

private:
  struct State;
  std::unique_ptr<State> Shell;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_ENTRY_SHARD_H
