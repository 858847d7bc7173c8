// The control thread is the calling thread: it keeps the catalog up to date
// from the store, passes a complete copy to the traffic thread after each
// change, and runs the graceful shutdown.
#include "daemon/fleet_entry.h"

#include <algorithm>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/random.h"
#include "daemon/entry_traffic.h"
#include "daemon/graceful_shutdown.h"
#include "daemon/guarded_loop.h"
#include "daemon/process_control.h"
#include "daemon/store_watcher.h"
#include "forward/config_age.h"

namespace goldcrestlink {

namespace {

// The platform checks readiness every second and stops sending after two failed
// checks; until then new connections are still accepted.
constexpr Duration StopNotice = std::chrono::milliseconds(2600);
// Time to send the last responses once no call is in progress.
constexpr Duration StopFlush = std::chrono::milliseconds(100);
// With revoke_strict, the store is asked for the configuration when the last
// answer was asked for so long ago. Less if keys may be used or rejected only
// up to a smaller age, so that a read that fails can be repeated before.
constexpr Duration MaxConfirmationAge = std::chrono::milliseconds(2000);
// Calls to the store have a cost, also where the bounds are very small.
constexpr Duration MinConfirmationAge = std::chrono::milliseconds(100);

class FleetEntry {
public:
  FleetEntry(const Settings &InSettings, const std::string &File)
      : ProcessSettings(InSettings), Seed(freshSeed()),
        Memory(std::make_shared<MemoryBudget>(
            MemoryBudget::limitFor(ProcessSettings.Fleet.MemoryMb))),
        Control(Io, ProcessSettings, File,
                {[this] { beginStop(); },
                 [this](const Settings &NewSettings) {
                   ProcessSettings = NewSettings;
                 },
                 [this](std::function<void(std::string)> Done) {
                   Traffic.metrics(
                       [Done, Own = catalogMetrics()](const std::string &Page) {
                         Done(Page + Own);
                       });
                 }},
                Memory),
        Traffic(ProcessSettings, Seed, Memory,
                {[this](LogClass Class, std::string Line) {
                   Control.log(Class, std::move(Line));
                 },
                 [this](CatalogUpdate Update) {
                   boost::asio::post(Io, [this, Update = std::move(Update)] {
                     Store.onCatalogUpdate(Update);
                   });
                 },
                 [this](size_t Count) {
                   boost::asio::post(
                       Io, [this, Count] { Store.setEntryCount(Count); });
                 }}),
        Store(
            Io, ProcessSettings.Fleet.Store, ProcessSettings.Fleet.DrainTime,
            Seed + 1, [this] { publish(); },
            [this](std::string Line) { Control.log(std::move(Line)); }),
        Shutdown(Io,
                 {[this](const StopSchedule &S) { Traffic.announceStop(S); },
                  [this] { Traffic.stopAccepting(); },
                  [this] { return Traffic.callsInProgress(); }}) {}

  int run() {
    Store.onCurrent([this](Time AsOf) { Traffic.confirmUpstreams(AsOf); });
    Store.onConfigConfirmed(
        [this](BootTime AskedAt) { Traffic.confirmConfig(AskedAt); });
    Store.start();
    const FleetSettings &Bounds = ProcessSettings.Fleet;
    if (Bounds.RevokeStrict)
      Store.confirmConfigEvery(std::max(
          MinConfirmationAge,
          std::min({MaxConfirmationAge,
                    (Bounds.RevokeTime - forward::ConfigAge::Margin) / 2,
                    (Bounds.ConfigApplyTime - forward::ConfigAge::Margin) * 4 /
                        5})));
    std::thread Thread([this] { Traffic.run(); });
    runGuarded(Io, [this](const std::string &Why) {
      Control.log("exception thread=control what=\"" + Why + "\"");
    });
    Traffic.stop();
    Thread.join();
    Control.log("stop instance=" + ProcessSettings.InstanceName);
    Control.flush();
    return 0;
  }

private:
  // Metrics of the catalog's state and of the calls to the store.
  std::string catalogMetrics() const {
    const Catalog &Known = Store.catalog();
    size_t Draining = 0;
    for (const auto &[Id, Upstream] : Known.upstreams())
      Draining += Upstream.Draining ? 1 : 0;
    const std::pair<const char *, uint64_t> Gauges[] = {
        {"store_calls_total", Store.storeCalls()},
        {"store_reached", Store.inContact() ? 1 : 0},
        {"store_era", Store.storeEra()},
        {"store_objects_unreadable_total", Store.unreadableObjects()},
        {"store_lists_unfinished_total", Store.unfinishedLists()},
        {"upstreams_era", Known.revisions().Upstreams.Era},
        {"config_version", Known.revisions().Config},
        {"upstreams_revision", Known.revisions().Upstreams.Number},
        {"releases_revision", Known.revisions().Releases.Number},
        {"upstreams_draining", Draining},
        {"upstreams_ready", Known.upstreams().size() - Draining}};
    std::string Out;
    for (const auto &[Name, Value] : Gauges)
      Out += std::string("goldcrestlink_") + Name + " " +
             std::to_string(Value) + "\n";
    return Out;
  }

  void publish() {
    Traffic.publish(std::make_shared<const Catalog>(Store.catalog()));
  }

  void beginStop() {
    Shutdown.begin(StopSchedule::beforeKill(currentTime().Steady,
                                            ProcessSettings.Fleet.StopTimeout,
                                            StopNotice),
                   StopFlush);
  }

  Settings ProcessSettings;
  uint64_t Seed;
  std::shared_ptr<MemoryBudget> Memory;
  boost::asio::io_context Io{1};
  ProcessControl Control;
  EntryTraffic Traffic;
  StoreWatcher Store;
  GracefulShutdown Shutdown;
};

} // namespace

int runFleetEntry(const Settings &ProcessSettings, const std::string &File) {
  boundHeap();
  return FleetEntry(ProcessSettings, File).run();
}

} // namespace goldcrestlink
