// The deployment under test: real entry and side processes, stand-ins for
// upstreams and the store, and the network links between them. The steps of a
// schedule inject faults into all of these. Connections pass through the
// loopback proxy, except those that a side opens to its own engine, which runs
// on the same instance, and to the store.
//
//   FleetUnderTest Fleet(SoakShape(), Oracle, Folder);
//   Fleet.apply(Now, Step, Traffic);   // false: not yet possible, retry later
//   Fleet.healAll(Now, Traffic);
#ifndef GOLDCRESTLINK_SOAK_FLEET_UNDER_TEST_H
#define GOLDCRESTLINK_SOAK_FLEET_UNDER_TEST_H

#include <filesystem>
#include <map>
#include <memory>

#include "soak/callers.h"
#include "soak/loopback_proxy.h"
#include "soak/schedule.h"
#include "testing/platform_standin.h"
#include "testing/process.h"

namespace goldcrestlink::soak {

/// Not thread-safe.
class FleetUnderTest {
public:
  /// Starts all processes and stand-ins; writes logs and settings to \p Folder.
  /// Precondition: the working directory contains goldcrestlinkd.
  FleetUnderTest(const SoakShape &Shape, GuaranteeOracle &Oracle,
                 const std::filesystem::path &Folder);
  ~FleetUnderTest();

  /// Addresses at which callers reach the entries, through the proxy.
  const std::vector<http::Endpoint> &entries() const { return ProxiedEntries; }
  /// Carries out a step. Returns false if the step has to be retried later: a
  /// process can start only after its previous run has stopped.
  bool apply(Time Now, const Step &Next, Callers &Traffic);
  /// Ends every fault and starts the processes and upstreams that do not run.
  void healAll(Time Now, Callers &Traffic);
  /// Reports processes that ended without having been stopped.
  void reapEnded();
  /// Reports processes that exceeded their limits on memory or open files.
  void checkResources();
  /// Stops every process; reports those that do not stop or exit with an error.
  void stopAll();

private:
  struct ProcessUnderTest {
    std::string Name;
    std::string SettingsFile;
    std::string LogFile;
    std::unique_ptr<testing::Process> Running;
    bool Stopping = false;
  };
  struct Upstream {
    std::string Name;
    /// Changes when the upstream restarts under another id.
    std::string Id;
  };

  std::string host(unsigned Block, size_t Index) const;
  std::string storeAndFleetSections(const http::Endpoint &Store,
                                    const std::string &Host) const;
  void addLink(const http::Endpoint &Listen, const http::Endpoint &Target,
               bool IsUpstream = false);
  void addEntry(size_t Index);
  void addEngine(size_t Index);
  void addUpstream(const std::string &Name, const std::string &Service,
                   const http::Endpoint &Listen,
                   const http::Endpoint &Published);
  void addProcess(const std::string &Name, const std::string &Settings);
  void launch(ProcessUnderTest &Process);
  bool start(ProcessUnderTest &Process);
  void kill(ProcessUnderTest &Process);
  void terminate(ProcessUnderTest &Process);
  static void signal(ProcessUnderTest &Process, int Number);
  void reapIfEnded(ProcessUnderTest &Process);
  void crashUpstream(Upstream &Target);
  void startUpstream(Upstream &Target, bool WithNewId);
  void configure(Time Now, bool Extra);
  void recordDisturbance(Time Now, const Step &Next, Callers &Traffic);

  SoakShape Shape;
  GuaranteeOracle &Oracle;
  std::filesystem::path Folder;
  /// Second octet of all addresses.
  unsigned Network;
  testing::PlatformStandIn Platform;
  LoopbackProxy Proxy;
  std::vector<http::Endpoint> ProxiedEntries;
  std::vector<http::Endpoint> ProxiedStores;
  /// Proxy links, numbered as SoakShape::links() documents.
  std::vector<size_t> Links;
  std::vector<ProcessUnderTest> Processes;
  std::vector<Upstream> Upstreams;
  /// Releases so far, by adapter.
  std::map<size_t, int> ReleaseCounts;
  int ConfigVersion = 1;
  int Incarnation = 1;
};

} // namespace goldcrestlink::soak

#endif // GOLDCRESTLINK_SOAK_FLEET_UNDER_TEST_H
