// The control thread is the calling thread: it follows the store, hands each
// new belief to the traffic thread as a whole, and runs the stop.
#include "daemon/fleet_entry.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "base/random.h"
#include "daemon/entry_traffic.h"
#include "daemon/planned_stop.h"
#include "daemon/process_control.h"
#include "daemon/store_follower.h"

namespace goldcrestlink {

namespace {

// The platform asks for readiness every second and stops sending after two
// misses; until then new connections are still served.
constexpr Duration StopNotice = std::chrono::milliseconds(2600);
// Left for the process to end before it would be killed.
constexpr Duration StopMargin = std::chrono::milliseconds(400);
// Time for the last answers to leave once no call is in progress.
constexpr Duration StopFlush = std::chrono::milliseconds(100);

class FleetEntry {
public:
  FleetEntry(const Settings &Given, const std::string &File)
      : S(Given), Seed(freshSeed()),
        Control(Io, S, File,
                {[this] { beginStop(); },
                 [this](const Settings &New) { S = New; },
                 [this](std::function<void(std::string)> Done) {
                   Traffic.metrics(
                       [Done, Own = beliefMetrics()](const std::string &Page) {
                         Done(Page + Own);
                       });
                 }}),
        Traffic(S, Seed,
                {[this](LineClass Class, std::string Line) {
                   Control.log(Class, std::move(Line));
                 },
                 [this](BeliefUpdate U) {
                   boost::asio::post(
                       Io, [this, U = std::move(U)] { Follower.onBeliefs(U); });
                 },
                 [this](size_t Count) {
                   boost::asio::post(
                       Io, [this, Count] { Follower.setEntries(Count); });
                 }}),
        Follower(
            Io, S.Fleet.Store, Seed + 1, [this] { publish(); },
            [this](std::string Line) { Control.log(std::move(Line)); }),
        Stop(Io, {[this] { Traffic.announceStop(); },
                  [this] { Traffic.stopAccepting(); },
                  [this] { return Traffic.callsInProgress(); }}) {}

  int run() {
    Follower.start();
    std::thread Thread([this] { Traffic.run(); });
    Io.run();
    Traffic.stop();
    Thread.join();
    Control.log("stop instance=" + S.InstanceName);
    Control.flush();
    return 0;
  }

private:
  // What the process believes of the deployment, and its cost.
  std::string beliefMetrics() const {
    const Catalog &C = Follower.catalog();
    size_t Draining = 0;
    for (const auto &[Id, U] : C.upstreams())
      Draining += U.Draining ? 1 : 0;
    const std::pair<const char *, uint64_t> Gauges[] = {
        {"store_calls_total", Follower.storeCalls()},
        {"store_reached", Follower.inContact() ? 1 : 0},
        {"config_version", C.revisions().Config},
        {"upstreams_revision", C.revisions().Upstreams},
        {"releases_revision", C.revisions().Releases},
        {"upstreams_draining", Draining},
        {"upstreams_ready", C.upstreams().size() - Draining}};
    std::string Out;
    for (const auto &[Name, Value] : Gauges)
      Out += std::string("goldcrestlink_") + Name + " " +
             std::to_string(Value) + "\n";
    return Out;
  }

  void publish() {
    Traffic.publish(std::make_shared<const Catalog>(Follower.catalog()));
  }

  void beginStop() {
    Stop.begin(presentTime().Steady,
               {StopNotice, StopFlush, S.Fleet.StopTime - StopMargin});
  }

  Settings S;
  uint64_t Seed;
  boost::asio::io_context Io{1};
  ProcessControl Control;
  EntryTraffic Traffic;
  StoreFollower Follower;
  PlannedStop Stop;
};

} // namespace

int runFleetEntry(const Settings &S, const std::string &File) {
  return FleetEntry(S, File).run();
}

} // namespace goldcrestlink
