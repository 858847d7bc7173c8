// The traffic thread of a side: the socket that entries and other sides connect
// to, connections to other sides and to the upstream, and the side state
// machine that takes the decisions.
//
//   SideTraffic Traffic(Settings, Seed, Context, Sinks);
//   std::thread Thread([&] { Traffic.run(); });
//   Traffic.publish(Declarations);      // any thread
#ifndef GOLDCRESTLINK_DAEMON_SIDE_TRAFFIC_H
#define GOLDCRESTLINK_DAEMON_SIDE_TRAFFIC_H

#include <functional>
#include <memory>
#include <string>

#include "config/declarations.h"
#include "config/settings.h"
#include "membership/shard_lease.h"
#include "side/side_state_machine.h"

namespace zmq {
class context_t;
} // namespace zmq

namespace goldcrestlink {

/// Where the traffic thread sends its output for the control thread. All are
/// thread-safe.
struct SideSinks {
  std::function<void(LogClass, std::string)> Log;
  /// Receives messages for the control thread: about configuration or
  /// membership, reports of processes, and messages from a side that has a
  /// newer configuration. \p Reply sends an answer to \p Peer.
  std::function<void(const std::string &Peer, const wire::Envelope &,
                     std::function<void(wire::Envelope)> Reply)>
      Control;
};

/// State of the traffic thread for use by the control thread.
struct SideSummary {
  /// A configuration is known and the side is not draining.
  bool Ready = false;
  /// No work is left.
  bool Drained = false;
  bool UpstreamDown = false;
  size_t Running = 0;
  size_t Waiting = 0;
  /// Number of idempotency keys in the state machine's ledger.
  size_t Keys = 0;
  uint64_t BadFrames = 0;
  side::SideCounters Counters;
};

/// run() belongs to one thread; the other methods are thread-safe.
class SideTraffic {
public:
  /// Binds the socket; throws std::runtime_error if the address is in use.
  SideTraffic(const Settings &ProcessSettings, uint64_t Seed,
              zmq::context_t &Context, SideSinks Sinks);
  ~SideTraffic();
  /// Serves until stop().
  void run();
  void stop();
  void publish(std::shared_ptr<const Declarations> Config);
  void applyShards(ShardChanges Effects);
  void setDraining(bool On);
  /// Refuses the attempts that wait.
  void refuseWaiting();
  /// Sends to another side by upstream name or "ip:port".
  void send(std::string Peer, wire::Envelope Message);
  /// Sends to every other side of the cell.
  void sendToCell(wire::Envelope Message);
  /// Sends to a random other side of the cell.
  void sendToAny(wire::Envelope Message);
  /// The state at the last tick of the traffic thread.
  SideSummary summary() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_SIDE_TRAFFIC_H
