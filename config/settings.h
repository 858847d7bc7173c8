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
