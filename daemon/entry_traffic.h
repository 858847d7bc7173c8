// The traffic thread of an entry on the platform: callers' connections, calls
// to upstreams, messages to sides, and the Forwarder that decides.
//
//   EntryTraffic T(Settings, Seed, Sinks);
//   std::thread Thread([&] { T.run(); });
//   T.publish(Catalog);      // from the control thread
//   T.stop();
#ifndef GOLDCRESTLINK_DAEMON_ENTRY_TRAFFIC_H
#define GOLDCRESTLINK_DAEMON_ENTRY_TRAFFIC_H

#include <functional>
#include <memory>
#include <string>

#include "base/line_class.h"
#include "catalog/catalog.h"
#include "config/settings.h"

namespace goldcrestlink {

/// Where the traffic thread hands things over; both may be called on it at any
/// time and must not block.
struct TrafficSinks {
  std::function<void(LineClass, std::string)> Log;
  /// What another process knows of the deployment that this one lacks.
  std::function<void(BeliefUpdate)> Beliefs;
  /// Entries alive, this one included.
  std::function<void(size_t)> Entries;
};

/// Construct and run() on any threads; the other methods are thread-safe.
class EntryTraffic {
public:
  /// Binds the listening addresses; throws std::runtime_error if one is taken.
  EntryTraffic(const Settings &S, uint64_t Seed, TrafficSinks Sinks);
  ~EntryTraffic();
  /// Serves until stop().
  void run();
  void publish(std::shared_ptr<const Catalog> C);
  /// Not ready from now on; serves on, and asks callers to close.
  void announceStop();
  /// Accepts no more connections and closes idle ones.
  void stopAccepting();
  void stop();
  /// Calls and connections with an answer on the way.
  size_t callsInProgress() const;
  /// Calls \p Done on the traffic thread with the metrics page.
  void metrics(std::function<void(std::string)> Done);

  struct State;

private:
  std::unique_ptr<State> Shared;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_ENTRY_TRAFFIC_H
