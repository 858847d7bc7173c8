// What operators declare: adapters, versions, ranks, applications, upstreams,
// routes and policy. Built once from a set of files, then immutable and shared
// between threads.
//
//   FindingList Findings;
//   auto D = Declarations::parse(Files, /*Generation=*/7, Findings);
//   const AdapterDecl *A = D->adapter("stave-0001");
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

/// One operator's file, or a part of one that begins at a section.
struct DeclarationFile {
  std::string Name;
  std::string Text;
};

/// A file as sections. Reading costs more than building, so processes keep
/// this for the parts that a change leaves alone.
struct ReadFile {
  std::string Name;
  std::vector<IniSection> Sections;
  FindingList Findings;
};

/// A rank of work. Position in Declarations::ranks() is its urgency: 0 first.
struct RankDecl {
  std::string Name;
  int64_t Priority = 0;
  /// The whole answer should be there within this time.
  Duration Target = std::chrono::seconds(10);
  /// After this time the request ends with an error.
  Duration Deadline = std::chrono::seconds(20);
  /// Part of an upstream's work that this rank keeps when others flood.
  double Share = 0;
  /// Weight of one request of this rank against one of another.
  double Worth = 1;
  bool operator==(const RankDecl &) const = default;
};

struct ApplicationDecl {
  std::string Name;
  std::vector<std::string> Ranks;
  /// Rank of requests that name none; the first of Ranks unless given.
  std::string DefaultRank;
  /// Weight among the applications of one rank.
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
  http::Endpoint Side;
  http::Endpoint Address;
  int64_t Slots = 8;
  int64_t MaxSequences = 16;
  bool ChecksFencing = false;
  uint64_t NameHash = 0;
};

/// A path of a plain service.
struct RouteDecl {
  std::string PathPrefix;
  std::string Service;
  bool Idempotent = false;
  std::string Rank;
};

/// The weight store's limits.
struct StoreDecl {
  double LoadsPerSecond = 7;
  int64_t Concurrent = 2;
  int64_t FullSpeedInFlight = 16;
  bool operator==(const StoreDecl &) const = default;
};

struct PolicyDecl {
  /// No two clocks of the system's instances differ by more.
  Duration ClockSkew = std::chrono::milliseconds(250);
  /// How long an idempotency key is remembered, from its issue time.
  Duration KeyRetention = std::chrono::minutes(10);
  Duration Lease = std::chrono::seconds(60);
  Duration QuarantineFor = std::chrono::minutes(10);
  int64_t ShardsPerService = 16;
};

/// Immutable and thread-safe once built.
class Declarations {
public:
  /// Checks all files and builds the set. Every problem goes to \p Findings;
  /// the result is meaningful only if there are none. Thread-safe.
  static std::shared_ptr<const Declarations>
  parse(const std::vector<DeclarationFile> &Files, uint64_t Generation,
        FindingList &Findings);

  /// Reads one file's sections, with its syntax findings. Thread-safe.
  static ReadFile read(const DeclarationFile &File);
  /// Like parse(), from files that were read before. Thread-safe.
  static std::shared_ptr<const Declarations>
  build(std::span<const std::shared_ptr<const ReadFile>> Files,
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

  /// Look-ups; null or nullopt if not declared.
  const AdapterDecl *adapter(std::string_view Name) const;
  std::optional<size_t> rankIndex(std::string_view Name) const;
  const ApplicationDecl *application(std::string_view Name) const;
  const UpstreamDecl *upstream(std::string_view Name) const;
  /// The route with the longest prefix of \p Path.
  const RouteDecl *route(std::string_view Path) const;
  /// Upstreams of a model or service within a cell, in declared order; of all
  /// cells if \p Cell is empty.
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
  /// Positions in Upstreams by kind, group and cell.
  std::unordered_map<std::string, std::vector<size_t>> Groups;
  std::vector<RouteDecl> Routes;
  StoreDecl Store;
  PolicyDecl Policy;
};

/// True for names of letters, digits, '.', '_' and '-', at most 100 bytes.
bool isPlainName(std::string_view Name);

/// "adapter@version", the key of a slot.
std::string slotKey(std::string_view Adapter, std::string_view Version);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_DECLARATIONS_H
