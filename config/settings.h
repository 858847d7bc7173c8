// Settings of one process, read from an INI file: role, addresses, limits.
//
//   Settings S = loadSettings("entry.ini");   // throws FindingError
#ifndef GOLDCRESTLINK_CONFIG_SETTINGS_H
#define GOLDCRESTLINK_CONFIG_SETTINGS_H

#include <string>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace goldcrestlink {

enum class Role { Entry, Side };

/// Settings of a process that uses the platform's store. Such entries send
/// requests to upstreams directly; such sides admit requests and load adapters
/// for the engine on their instance.
struct FleetSettings {
  /// The platform's store; port 0 if the process does not use it.
  http::Endpoint Store{"", 0};
  /// Entry: address at which the platform queries whether the entry is ready.
  http::Endpoint ReadyListen{"127.0.0.1", 8081};
  /// Entries from which the configuration is requested while the store does not
  /// answer. Their ports are ignored; LinkPort is used.
  std::vector<http::Endpoint> Peers;
  /// IP address of this process.
  std::string Address;
  /// Port on which entries and sides listen for connections from each other.
  int64_t LinkPort = 7000;
  /// Port that serves the metrics.
  int64_t MetricsPort = 9464;
  /// Side: the engine that it runs beside, and the service of that engine.
  http::Endpoint Engine{"127.0.0.1", 8000};
  std::string Service;
  /// Limit on the retries that all entries together send to a service within
  /// RetryWindow: RetryRatio times the number of its requests, plus RetrySlack.
  double RetryRatio = 0.2;
  double RetrySlack = 50;
  Duration RetryWindow = std::chrono::seconds(10);
  /// How long after its report a draining upstream may still get requests.
  Duration DrainTime = std::chrono::seconds(2);
  /// The process exits within this time after SIGTERM.
  Duration StopTimeout = std::chrono::seconds(8);
  /// Whether a key that was taken away may not be used RevokeTime later, also
  /// at processes that do not reach the store.
  bool RevokeStrict = false;
  Duration RevokeTime = std::chrono::seconds(5);
  /// Time in which a new configuration has to be in force.
  Duration ConfigApplyTime = std::chrono::seconds(2);
  /// Quotas are judged over each span of this length, with an excess (a share
  /// of the quota) and a slack in its units.
  Duration QuotaWindow = std::chrono::seconds(8);
  double QuotaExcess = 0.1;
  double QuotaSlack = 0;
  /// Memory limit of the process in MB (1,000,000 bytes); 0 if not known.
  int64_t MemoryMb = 0;
  /// Side: count the largest output that requests may still make, and not the
  /// usual one, against the engine's memory.
  bool HoldOutput = false;
};

/// Plain values; immutable after loading.
struct Settings {
  Role ProcessRole = Role::Entry;
  std::string InstanceName;
  std::string Cell;
  std::string DataCenter;
  /// Local IP address for connections to sides; empty lets the system choose.
  std::string SourceAddress;
  /// Address of the HTTP server: callers' requests at an entry, only health and
  /// metrics at a side.
  http::Endpoint Listen{"127.0.0.1", 8080};
  std::vector<http::Endpoint> Platform;
  /// Sides from which the configuration is requested while the platform is
  /// down.
  std::vector<http::Endpoint> Peers;
  /// Side only: the declared upstream that this process runs beside.
  std::string Upstream;
  /// Side only: address to which entries and other sides connect.
  http::Endpoint SideListen{"127.0.0.1", 7000};
  int64_t TrafficThreads = 1;
  int64_t MaxBodyBytes = 1024 * 1024;
  int64_t MaxHeaderBytes = 16 * 1024;
  int64_t MaxConnections = 8192;
  int64_t MaxRequestsInProgress = 16384;
  int64_t LogLinesPerSecond = 2000;
  Duration DrainTimeout = std::chrono::minutes(2);
  /// Strategy by which an entry chooses a side; see routing/candidate_choice.h.
  std::string Routing = "adaptive";
  /// Side: start attempts by rank and share; if false, the attempts of an
  /// application in order of arrival.
  bool ShareRanks = true;
  /// Side: load only with a permit of the broker; if false, load at once.
  bool BrokeredLoads = true;
  /// Side: evict the least recently used adapter instead of the one in least
  /// demand.
  bool EvictByRecency = false;
  FleetSettings Fleet;
  /// True if the process uses the platform's store.
  bool usesPlatformStore() const { return Fleet.Store.Port != 0; }
};

/// Parses and checks the text of a settings file. Throws FindingError with all
/// problems. Thread-safe.
Settings parseSettings(const std::string &File, std::string_view Text);

/// Reads and parses \p File. Throws FindingError.
Settings loadSettings(const std::string &File);

/// The text of a settings file with every key at its default.
std::string defaultSettingsText();

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_SETTINGS_H
