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

/// Keys of a process that runs on the platform's store: entries call upstreams
/// themselves, and sides admit and load for the engine on their instance.
struct FleetSettings {
  /// The platform's store; port 0: the process does not run on it.
  http::Endpoint Store{"", 0};
  /// Entry: where the platform asks whether it is ready.
  http::Endpoint ReadyListen{"127.0.0.1", 8081};
  /// Entries that may know the configuration when the store does not answer;
  /// only their IP addresses count.
  std::vector<http::Endpoint> Peers;
  /// Own IP address, and the port on which every side listens for entries.
  std::string Address;
  int64_t LinkPort = 7000;
  /// Port on which metrics are served.
  int64_t MetricsPort = 9464;
  /// Side: its engine, and the engine's service.
  http::Endpoint Engine{"127.0.0.1", 8000};
  std::string Service;
  /// Second sends that all entries together may make to a service in a window:
  /// this share of its requests, and so many more.
  double RetryRatio = 0.2;
  double RetrySlack = 50;
  Duration RetryWindow = std::chrono::seconds(10);
  /// After SIGTERM, the process is gone by then.
  Duration StopTime = std::chrono::seconds(8);
};

/// Plain values; immutable after loading.
struct Settings {
  Role ProcessRole = Role::Entry;
  std::string InstanceName;
  std::string Cell;
  std::string DataCenter;
  /// Local IP address for connections to sides; empty lets the system choose.
  std::string SourceAddress;
  /// Callers' HTTP (entry) or health and metrics only (side).
  http::Endpoint Listen{"127.0.0.1", 8080};
  std::vector<http::Endpoint> Platform;
  /// Sides that are asked for the configuration when the platform is down.
  std::vector<http::Endpoint> Peers;
  /// Side only: the declared upstream that this process stands beside.
  std::string Upstream;
  /// Side only: where entries and other sides connect to.
  http::Endpoint SideListen{"127.0.0.1", 7000};
  int64_t TrafficThreads = 1;
  int64_t MaxBodyBytes = 1024 * 1024;
  int64_t MaxHeaderBytes = 16 * 1024;
  int64_t MaxConnections = 8192;
  int64_t MaxRequestsInProgress = 16384;
  int64_t LogLinesPerSecond = 2000;
  Duration DrainTimeout = std::chrono::minutes(2);
  /// How an entry chooses a side: see routing/candidate_choice.h.
  std::string Routing = "adaptive";
  /// Side: rank order with shares, or first in, first out.
  bool ShareRanks = true;
  /// Side: permits from a broker, or loads at once.
  bool BrokeredLoads = true;
  /// Side: evict the least recently used adapter, not the least demanded.
  bool EvictByRecency = false;
  FleetSettings Fleet;
  bool onFleet() const { return Fleet.Store.Port != 0; }
};

/// Parses and checks the text of a settings file. Throws FindingError with
/// every problem. Thread-safe.
Settings parseSettings(const std::string &File, std::string_view Text);

/// Reads and parses \p File. Throws FindingError.
Settings loadSettings(const std::string &File);

/// The text of a settings file with every key at its default.
std::string defaultSettingsText();

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_SETTINGS_H
