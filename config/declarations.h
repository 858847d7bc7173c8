// The operators' declarations: adapters, versions, ranks, applications,
// upstreams, routes and policy. A set is built once from files; then it is
// immutable and shared between threads.
//
//   FindingList Findings;
//   auto Set = Declarations::parse(Files, /*Generation=*/7, Findings);
//   const AdapterDecl *Adapter = Set->adapter("stave-0001");
#ifndef GOLDCRESTLINK_CONFIG_DECLARATIONS_H
#define GOLDCRESTLINK_CONFIG_DECLARATIONS_H

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/finding.h"
#include "base/time.h"
#include "config/ini_file.h"
#include "http/message.h"

namespace goldcrestlink {

/// A declaration file, or a part of one that begins at a section.
struct DeclarationFile {
  std::string Name;
  std::string Text;
};

/// The sections of a file. Parsing a file costs more than building declarations
/// from its sections, so processes keep the parsed form for the parts that do
/// not change.
struct ParsedFile {
  std::string Name;
  std::vector<IniSection> Sections;
  FindingList Findings;
};

/// A rank of requests. Declarations::ranks() lists the most urgent rank first.
struct RankDecl {
  std::string Name;
  /// Sort key of the ranks; the lowest value is the most urgent.
  int64_t Priority = 0;
  /// The complete answer is due within this time.
  Duration Target = std::chrono::seconds(10);
  /// After this time the request ends with an error.
  Duration Deadline = std::chrono::seconds(20);
  /// Longest pause between two parts of a streamed answer that is still on
  /// time; zero if none is declared.
  Duration MaxPause{};
  /// Fraction of an upstream's work that this rank is guaranteed while other
  /// ranks send more than the upstream can serve.
  double Share = 0;
  /// Weight of a request of this rank relative to requests of other ranks.
  double Worth = 1;
  bool operator==(const RankDecl &) const = default;
};

struct ApplicationDecl {
  std::string Name;
  std::vector<std::string> Ranks;
  /// Rank of requests that name none. Defaults to the first of Ranks.
  std::string DefaultRank;
  /// Weight of the application among those that use the same rank.
  double Share = 1;
  bool operator==(const ApplicationDecl &) const = default;
};

struct AdapterDecl {
  std::string Name;
  std::string Model;
  std::vector<std::string> Versions;
};

enum class UpstreamKind { Engine, Service };

struct UpstreamDecl {
  std::string Name;
  UpstreamKind Kind = UpstreamKind::Engine;
  /// Base model of an engine, or name of the plain service.
  std::string Group;
  std::string Cell;
  std::string DataCenter;
  /// Address at which the upstream's side listens for entries and other sides.
  http::Endpoint Side;
  /// Address of the upstream itself.
  http::Endpoint Address;
  /// Engines: adapter versions that can be loaded at the same time.
  int64_t Slots = 8;
  /// Limit on the requests that run at the same time.
  int64_t MaxSequences = 16;
  /// The upstream rejects requests with an outdated fencing number.
  bool ChecksFencing = false;
  uint64_t NameHash = 0;
};

/// A path prefix that is served by a plain service.
struct RouteDecl {
  std::string PathPrefix;
  std::string Service;
  bool Idempotent = false;
  std::string Rank;
};

/// Limits on adapter loads from the weight store.
struct StoreDecl {
  double LoadsPerSecond = 7;
  /// Burst: loads that may start at once before LoadsPerSecond limits them.
  int64_t Concurrent = 2;
  /// Number of loads in flight up to which the store serves each at full speed.
  int64_t FullSpeedInFlight = 16;
  bool operator==(const StoreDecl &) const = default;
};

struct PolicyDecl {
  /// Upper bound on the difference between the clocks of any two instances.
  Duration ClockSkew = std::chrono::milliseconds(250);
  /// How long an idempotency key is retained, counted from its issue time.
  Duration KeyRetention = std::chrono::minutes(10);
  /// Length of the lease under which a side owns shards.
  Duration Lease = std::chrono::seconds(60);
  /// How long a fingerprint stays suspect or quarantined after a crash.
  Duration QuarantineDuration = std::chrono::minutes(10);
  int64_t ShardsPerService = 16;
};

/// Immutable and thread-safe once built.
class Declarations {
public:
  /// Parses and checks all files and builds the set. Adds every problem to
  /// \p Findings; the result may be used only if there are none. Thread-safe.
  static std::shared_ptr<const Declarations>
  parse(const std::vector<DeclarationFile> &Files, uint64_t Generation,
        FindingList &Findings);

  /// Parses the sections of one file, with its syntax errors. Thread-safe.
  static ParsedFile parseFile(const DeclarationFile &File);
  /// Like parse(), for files that are already parsed. Thread-safe.
  static std::shared_ptr<const Declarations>
  build(std::span<const std::shared_ptr<const ParsedFile>> Files,
        uint64_t Generation, FindingList &Findings);

  uint64_t generation() const { return Generation; }
  const std::vector<RankDecl> &ranks() const { return Ranks; }
  const std::vector<UpstreamDecl> &upstreams() const { return Upstreams; }
  const std::vector<RouteDecl> &routes() const { return Routes; }
  const std::unordered_map<std::string, AdapterDecl> &adapters() const {
    return Adapters;
  }
  const std::vector<ApplicationDecl> &applications() const {
    return Applications;
  }
  const StoreDecl &store() const { return Store; }
  const PolicyDecl &policy() const { return Policy; }

  /// These return null or nullopt if the name is not declared.
  const AdapterDecl *adapter(std::string_view Name) const;
  std::optional<size_t> rankIndex(std::string_view Name) const;
  const ApplicationDecl *application(std::string_view Name) const;
  const UpstreamDecl *upstream(std::string_view Name) const;
  /// The route with the longest prefix of \p Path; null if there is none.
  const RouteDecl *route(std::string_view Path) const;
  /// Upstreams of a model or service in a cell, or in all cells if \p Cell is
  /// empty, in the order of their declaration.
  std::vector<const UpstreamDecl *>
  group(UpstreamKind Kind, std::string_view Group, std::string_view Cell) const;

private:
  friend class DeclarationParser;
  uint64_t Generation = 0;
  std::vector<RankDecl> Ranks;
  std::vector<ApplicationDecl> Applications;
  std::unordered_map<std::string, AdapterDecl> Adapters;
  std::vector<UpstreamDecl> Upstreams;
  std::unordered_map<std::string, size_t> UpstreamIndex;
  /// Indexes into Upstreams by kind, group and cell.
  std::unordered_map<std::string, std::vector<size_t>> Groups;
  std::vector<RouteDecl> Routes;
  StoreDecl Store;
  PolicyDecl Policy;
};

/// True for names of letters, digits, '.', '_' and '-', at most 100 bytes.
bool isValidName(std::string_view Name);

/// The key of a slot: "adapter@version".
std::string slotKey(std::string_view Adapter, std::string_view Version);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_DECLARATIONS_H
