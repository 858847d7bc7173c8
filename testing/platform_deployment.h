// A deployment of the real programs on loopback addresses, against stand-ins
// for the platform: two entries, and a side beside each engine.
//
//   PlatformDeployment System;
//   REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
//   CHECK(System.call(1, "/once/x").Head.Status == 200);
#ifndef GOLDCRESTLINK_TESTING_PLATFORM_DEPLOYMENT_H
#define GOLDCRESTLINK_TESTING_PLATFORM_DEPLOYMENT_H

#include <atomic>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/client.h"
#include "testing/platform_standin.h"
#include "testing/process.h"

namespace goldcrestlink::testing {

/// Longest wait of a test for a condition.
constexpr double MaxWaitSeconds = 60;

/// A request for a stream of the route /resume/.
struct StreamRequest {
  std::string Adapter = "a1";
  size_t Events = 40;
  /// To take a stream up: the id of the attempt that began it, and its last
  /// event; empty and 0 to begin one.
  std::string Resumes = {};
  uint64_t AfterEvent = 0;
};

struct StreamResult {
  std::string RequestId;
  /// 0 if no head arrived.
  unsigned Status = 0;
  bool HasRetryAfter = false;
  std::string Body;
  /// The end of the answer was received.
  bool Complete = false;
  Duration Took{};

  /// Number of the last complete event; 0 if there is none.
  uint64_t lastEvent() const;
  /// The software versions that made the events.
  std::set<std::string> versions() const;
};

/// Limits of all processes of a deployment.
struct ProcessLimits {
  /// In MB; 0: not stated in the settings.
  int MemoryMb = 0;
  /// Descriptors of a process; 0: not stated.
  int MaxConnections = 0;
  /// The largest body of a request.
  size_t BodyBytes = 100000;
  /// From SIGTERM until an entry has to have ended.
  int StopSeconds = 30;
  /// `idle_ms` of the configuration.
  int IdleMs = 15000;
};

class PlatformDeployment {
public:
  /// Engines are named "e0", "e1" and so on; plain upstreams "p", "p1" and so
  /// on. Processes are named "entry0", "side0" and so on.
  /// The configuration has \p Organisations, if any. \p EntryBounds are lines
  /// for the section [bounds] of entries. Entry 1 uses the second address of
  /// the store.
  explicit PlatformDeployment(int EngineCount = 2, int PlainCount = 1,
                              ProcessLimits Limits = {},
                              std::vector<OrganisationSpec> Organisations = {},
                              std::string EntryBounds = {});
  ~PlatformDeployment();

  void startEntry(int I);
  /// Starts a side named \p Name beside an engine that the test runs itself.
  void startSide(const std::string &Name, const http::Endpoint &Engine);
  bool ready(size_t I) const;
  /// Makes one request with a fresh id; a status of 0 means that there was no
  /// complete response. \p Prompt is the field Prompt-Prefix, if not empty.
  http::Response call(size_t Entry, const std::string &Target,
                      const std::string &Adapter = "",
                      const std::string &Body = "b",
                      const std::string &Prompt = "");
  /// The field Authorization of all requests from now on; empty: none.
  void setAuthorization(std::string Value) { Authorization = std::move(Value); }
  /// Id of the last request of call() or stream().
  std::string lastId() const;
  /// Reads a stream and calls \p OnEvents once, when it has \p Events events.
  StreamResult
  stream(size_t Entry, const StreamRequest &Wanted, size_t Events = 0,
         const std::function<void(const StreamResult &)> &OnEvents = {});
  /// The value of a metric of the process at \p Host; empty if it is not
  /// exported.
  std::string metric(const std::string &Host, const std::string &Name) const;
  /// Repeats a request until it is served: entries discover sides and engines
  /// while these start. Throws std::runtime_error if a process has ended by
  /// itself.
  bool eventuallyServed(size_t Entry, const std::string &Target,
                        const std::string &Adapter = "");
  /// Stops a process with SIGTERM; returns its exit code.
  int stop(const std::string &Name);
  void kill(const std::string &Name);
  void signal(const std::string &Name, int Number) const;
  /// Whether the process has not ended, the most memory that it has used, and
  /// the memory that it uses now, in MB of 1024 * 1024 bytes.
  bool running(const std::string &Name) const;
  double peakMemoryMb(const std::string &Name) const;
  double memoryMb(const std::string &Name) const;
  size_t openFiles(const std::string &Name) const;
  /// Where the process at \p Host serves its metrics.
  http::Endpoint metricsOf(const std::string &Host) const;
  /// What the process has written so far.
  std::string log(const std::string &Name) const;

  PlatformStandIn Platform;
  std::vector<http::Endpoint> Entries;
  std::vector<http::Endpoint> Ready;
  /// Where "e0", "e1" and so on listen.
  std::vector<http::Endpoint> Engines;

private:
  std::string fleetSection(const std::string &Host,
                           const http::Endpoint &Store) const;
  std::string limitsSection() const;
  void startEngineAndSide(int I);
  void start(const std::string &Name, const std::string &Settings);
  void checkRunning();

  ProcessLimits Limits;
  std::filesystem::path Folder;
  int LinkPort;
  int MetricsPort;
  std::atomic<int> LastId{0};
  std::string EntryBounds;
  std::string Authorization;
  std::map<std::string, std::unique_ptr<Process>> Processes;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_PLATFORM_DEPLOYMENT_H
