// What a process believes about the deployment: configuration, upstreams and
// weight releases. Observations from the store or from peers are applied in
// any order; belief never steps back to an older revision.
//
//   Catalog C;
//   C.applyConfig(Revision, Config);
//   C.applyUpstreams(N, Revision, Records);       // a whole list
//   C.applyUpstream(N, Revision, Id, &Record);    // one change; null: removed
//   const RouteSpec *R = C.route("host.example", "/path/x");
#ifndef GOLDCRESTLINK_CATALOG_CATALOG_H
#define GOLDCRESTLINK_CATALOG_CATALOG_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/types.h"

namespace goldcrestlink {

/// How new each part of a process's belief is. Two processes with equal
/// revisions believe the same.
struct BeliefRevisions {
  /// Version of the configuration.
  uint64_t Config = 0;
  /// Store revisions up to which changes are known.
  uint64_t Upstreams = 0;
  uint64_t Releases = 0;

  bool operator==(const BeliefRevisions &) const = default;
  /// True if \p Other knows something that this does not.
  bool lacks(const BeliefRevisions &Other) const {
    return Config < Other.Config || Upstreams < Other.Upstreams ||
           Releases < Other.Releases;
  }
};

/// The last change of one upstream; no record: it is gone.
struct UpstreamChange {
  std::string Id;
  uint64_t Revision = 0;
  std::optional<UpstreamRecord> Record;
};

/// What one process tells another that knows less.
struct BeliefUpdate {
  /// The configuration as the store holds it; empty: no newer one.
  std::string ConfigText;
  std::vector<UpstreamChange> Upstreams;
  std::vector<WeightRelease> Releases;
  BeliefRevisions AsOf;
};

/// Not thread-safe. Copies are cheap enough to hand to another thread as a
/// snapshot: records are shared.
class Catalog {
public:
  class Options {
  public:
    /// How long entries that were missing when the store came back are still
    /// believed; the platform says lapsed entries return within two seconds.
    Duration absenceGrace() const { return AbsenceGrace; }
    Options &setAbsenceGrace(Duration D) {
      AbsenceGrace = D;
      return *this;
    }

  private:
    Duration AbsenceGrace = std::chrono::milliseconds(2200);
  };

  Catalog() = default;
  explicit Catalog(Options O) : Opts(O) {}

  // Commands.

  /// Takes over \p Config, whose encoded form is \p Text, unless one of the
  /// same or a newer version is known; true if it was taken.
  bool applyConfig(std::shared_ptr<const DeploymentConfig> Config,
                   std::string Text);
  /// A whole list as of \p Revision; upstreams that it lacks are removed.
  void applyUpstreams(Time N, uint64_t Revision,
                      const std::map<std::string, UpstreamRecord> &Records);
  /// One change as of \p Revision. \p Record null: removed, or not a record
  /// that names an upstream to use.
  /// True if anything changed but the revision.
  bool applyUpstream(Time N, uint64_t Revision, const std::string &Id,
                     const UpstreamRecord *Record);
  /// True if the version is newer than what was known.
  bool applyRelease(const WeightRelease &R);
  /// Upstreams and releases that another process knows; true if any is new.
  /// Its configuration is decoded and applied by the caller.
  bool applyBeliefs(Time N, const BeliefUpdate &U);
  /// The store could not be reached from here until now.
  void onStoreRegained(Time N);
  /// Drops upstreams whose grace is over. True if any was dropped.
  bool onTimer(Time N);

  // Queries.

  const DeploymentConfig *config() const { return Config.get(); }
  std::shared_ptr<const DeploymentConfig> sharedConfig() const {
    return Config;
  }
  /// The route with the longest matching prefix; null if none matches.
  const RouteSpec *route(std::string_view Host, std::string_view Path) const;
  /// Null if the configuration has no such service.
  const ServiceSpec *service(std::string_view Name) const;
  /// Newest announced version; 0 if none was announced.
  uint64_t releasedVersion(std::string_view Model,
                           std::string_view Adapter) const;
  const std::map<std::string, UpstreamRecord> &upstreams() const {
    return Upstreams;
  }
  /// Upstreams are kept that the store does not list at present.
  bool hasAbsent() const { return !Absent.empty(); }
  const BeliefRevisions &revisions() const { return Newest; }
  /// What a process with \p Known lacks.
  BeliefUpdate since(const BeliefRevisions &Known) const;
  const std::map<std::string, WeightRelease, std::less<>> &releases() const {
    return Releases;
  }

private:
  struct Revision {
    // Of the last observation, and of the last one that changed something.
    uint64_t Seen = 0;
    uint64_t Changed = 0;
  };

  void remove(Time N, const std::string &Id);
  void trimRevisions();

  Options Opts;
  std::shared_ptr<const DeploymentConfig> Config;
  // Routes of each host, longest prefix first.
  std::map<std::string, std::vector<const RouteSpec *>, std::less<>> ByHost;
  std::map<std::string, UpstreamRecord> Upstreams;
  // Revision of the last change seen per upstream, removals included.
  std::map<std::string, Revision> Revisions;
  BeliefRevisions Newest;
  std::shared_ptr<const std::string> ConfigText;
  std::map<std::string, WeightRelease, std::less<>> Releases;
  // Removals that are held back after an outage of the store, and until when.
  std::map<std::string, Time> Absent;
  Time GraceUntil{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CATALOG_CATALOG_H
