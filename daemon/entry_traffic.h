// The traffic thread of an entry whose deployment is declared in the platform's
// store: callers' connections, calls to upstreams, messages to sides, and the
// Forwarder that takes the decisions.
//
//   EntryTraffic Traffic(Settings, Seed, Sinks);
//   std::thread Thread([&] { Traffic.run(); });
//   Traffic.publish(Catalog);      // from the control thread
//   Traffic.stop();
#ifndef GOLDCRESTLINK_DAEMON_ENTRY_TRAFFIC_H
#define GOLDCRESTLINK_DAEMON_ENTRY_TRAFFIC_H

#include <functional>
#include <memory>
#include <string>

#include "base/boot_clock.h"
#include "base/log_class.h"
#include "base/memory_budget.h"
#include "base/stop_schedule.h"
#include "catalog/catalog.h"
#include "config/settings.h"

namespace goldcrestlink {

/// Where the traffic thread sends its output. All are called on that thread, at
/// any time, and must not block.
struct TrafficSinks {
  std::function<void(LogClass, std::string)> Log;
  /// Newer catalog state received from another process.
  std::function<void(CatalogUpdate)> CatalogUpdates;
  /// The number of running entries, this one included, when it changes.
  std::function<void(size_t)> EntryCount;
};

/// Construct and run() on any threads; the other methods are thread-safe.
class EntryTraffic {
public:
  /// Binds the listening addresses; throws std::runtime_error if one is in use.
  EntryTraffic(const Settings &ProcessSettings, uint64_t Seed,
               std::shared_ptr<MemoryBudget> Memory, TrafficSinks Sinks);
  ~EntryTraffic();
  /// Serves until stop().
  void run();
  /// Replaces the catalog that decisions are based on.
  void publish(std::shared_ptr<const Catalog> NewCatalog);
  /// The catalog has all changes of the upstreams that were made before
  /// \p AsOf.
  void confirmUpstreams(Time AsOf);
  /// The catalog that was published has all changes of the configuration that
  /// were made before \p AskedAt.
  void confirmConfig(BootTime AskedAt);
  /// First step of a graceful shutdown: reports not ready and asks callers to
  /// close their connections, but still serves what can end in time.
  void announceStop(const StopSchedule &Schedule);
  /// Second step: accepts no new connections and closes idle ones.
  void stopAccepting();
  /// Ends run(), and the calls that are left.
  void stop();
  /// The number of calls whose answer is not complete; after announceStop()
  /// also of requests that have begun to arrive, and of answers that are not
  /// yet in their client's kernel. Is up to 20 ms late with the latter two.
  size_t callsInProgress() const;
  /// Passes the metrics page to \p Done, on the traffic thread.
  void metrics(std::function<void(std::string)> Done);

  struct State;

private:
  std::unique_ptr<State> Impl;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_ENTRY_TRAFFIC_H
