// A complete deployment of separate processes on the loopback interface. The
// platform, weight store, engines and plain services are stand-ins; sides and
// entries are the daemon. The command-line tool applies the declarations.
//
//   TestDeployment Deployment(DeploymentOptions{.Engines = 4}, "build",
//                             "/tmp/run");
//   Deployment.start();
//   http::Endpoint Entry = Deployment.Entries[0].Http;
#ifndef GOLDCRESTLINK_TESTING_TEST_DEPLOYMENT_H
#define GOLDCRESTLINK_TESTING_TEST_DEPLOYMENT_H

#include <memory>
#include <string>
#include <vector>

#include "http/message.h"
#include "testing/process.h"

namespace goldcrestlink::testing {

/// The size and settings of a deployment. The defaults suit small tests.
struct DeploymentOptions {
  size_t Engines = 2;
  size_t Services = 2;
  size_t Entries = 2;
  size_t Adapters = 50;
  /// Versions of each adapter, in the syntax of the declarations.
  std::string Versions = "1 2";
  size_t TrafficThreads = 1;
  /// Adapter slots of each engine.
  size_t Slots = 8;
  size_t MaxBatch = 16;
  /// Duration of one decoding step of an engine.
  double StepMs = 20;
  /// One in this many adapter loads fails; 0 for none.
  uint64_t LoadFailsOneIn = 0;
  /// How long an engine is down after a crash.
  uint64_t CrashDownMs = 3000;
  /// Loads per second of the weight store.
  double StoreRate = 7;
  size_t StoreBurst = 2;
  /// Loads in flight beyond which the weight store slows down.
  size_t StoreInFlight = 16;
  /// Whether engines load adapters from the weight store.
  bool UseStore = true;
  bool ServicesCheckFencing = false;
  int64_t LeaseMs = 60000;
  int64_t ClockSkewMs = 20;
  /// Entries connect to sides through a relay that can silence connections.
  /// The entry with index i then has the source address 127.0.0.(i+2).
  bool Relay = false;
  /// Text of the daemon's [strategy] section.
  std::string Strategy;
  uint64_t Seed = 1;
};

/// One process of a deployment and the addresses that it listens on.
struct ManagedProcess {
  std::string Name;
  std::vector<std::string> Command;
  std::unique_ptr<Process> Child;
  http::Endpoint Http;
  /// For an engine, a service or the relay: the address for admin requests; the
  /// platform accepts them at Http. For a side behind a relay: the address on
  /// which it listens for the relay.
  http::Endpoint Admin;
  /// For a side: the declared address, to which entries connect.
  http::Endpoint Wire;
};

/// Not thread-safe. The destructor kills the processes that still run.
class TestDeployment {
public:
  /// \p Programs is the folder of the built programs. \p Work is a folder for
  /// settings, declarations and logs; it is emptied first.
  TestDeployment(DeploymentOptions Shape, std::string Programs,
                 std::string Work);
  /// Starts all processes and waits until a request is served. Throws
  /// std::runtime_error if a step of the start times out.
  void start();
  /// Starts a process again; kills it first if it still runs.
  void restart(ManagedProcess &Target);
  /// Writes the declarations and applies them. Returns the exit code of the
  /// command-line tool.
  int apply();
  /// Runs the command-line tool and returns its exit code. The output is
  /// appended to tool.log.
  int tool(const std::vector<std::string> &Arguments);
  /// True if every entry and side has this generation of the declarations.
  bool allHaveGeneration(uint64_t Generation);
  /// The sum of a counter over all engines, from their /admin/counts pages.
  uint64_t sumEngineCounter(const std::string &Name);
  /// The lines of the /admin/runs pages of these engines or services.
  std::vector<std::string> runs(const std::vector<ManagedProcess> &Upstreams);
  /// Replaces the platform's list of instances. Engines and services in
  /// \p Draining are listed as leaving, those in \p Gone are not listed, and
  /// all others are listed as live.
  void setInstances(const std::vector<std::string> &Draining,
                    const std::vector<std::string> &Gone = {});
  /// Sends an admin request. Returns the body of the response; empty if the
  /// request failed.
  std::string admin(const http::Endpoint &To, const std::string &Target,
                    const std::string &Method = "POST",
                    const std::string &Body = {});
  /// Sends SIGTERM to all entries, then to the sides of engines, then to the
  /// sides of services, and waits for each group to exit before the next one.
  /// True if every exit code is 0.
  bool stopGracefully();

  DeploymentOptions Shape;
  ManagedProcess Platform;
  ManagedProcess Store;
  ManagedProcess Relay;
  std::vector<ManagedProcess> Engines;
  std::vector<ManagedProcess> Services;
  std::vector<ManagedProcess> EngineSides;
  std::vector<ManagedProcess> ServiceSides;
  std::vector<ManagedProcess> Entries;
  std::string Declarations;

private:
  void plan();
  void planSides(std::vector<ManagedProcess> &Sides,
                 const std::vector<ManagedProcess> &Upstreams,
                 const char *Prefix);
  ManagedProcess makeProcess(const std::string &Name);
  std::string settingsText(const ManagedProcess &Target,
                           const std::string &Role) const;
  void writeFile(const std::string &Path, const std::string &Text) const;
  void writeDeclarations();
  void launch(ManagedProcess &Target);

  std::string Programs;
  std::string Work;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_TEST_DEPLOYMENT_H
