// What a process knows about the deployment: the configuration, the upstreams
// and the announced weight versions. Updates from the store and from other
// processes may arrive in any order; the state of an object never goes back to
// an older revision.
//
//   Catalog State;
//   State.applyConfig(Config, ConfigText);
//   State.applyUpstreams(Now, Revision, Records);      // a complete list
//   State.applyUpstream(Now, Revision, Id, &Record);   // a new or changed one
//   State.applyUpstream(Now, Revision, Id, nullptr);   // removed
//   const RouteSpec *Route = State.route("host.example", "/path/x");
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

/// The revision of each part of a process's catalog state. Two processes with
/// equal revisions have the same catalog state.
struct CatalogRevisions {
  /// Version of the configuration.
  uint64_t Config = 0;
  /// Store revisions up to which all changes are known.
  uint64_t Upstreams = 0;
  uint64_t Releases = 0;

  bool operator==(const CatalogRevisions &) const = default;
  /// True if \p Other is newer in any part.
  bool lacks(const CatalogRevisions &Other) const {
    return Config < Other.Config || Upstreams < Other.Upstreams ||
           Releases < Other.Releases;
  }
};

/// The last change of one upstream. Without a record, the upstream was removed.
struct UpstreamChange {
  std::string Id;
  uint64_t Revision = 0;
  std::optional<UpstreamRecord> Record;
};

/// A catalog update that one process sends to another whose state is older.
struct CatalogUpdate {
  /// The configuration in its encoded form, as the store holds it; empty if
  /// there is no newer one.
  std::string ConfigText;
  std::vector<UpstreamChange> Upstreams;
  std::vector<WeightRelease> Releases;
  /// The sender's revisions.
  CatalogRevisions AsOf;
};

/// Not thread-safe. The configuration is shared between copies, so that a copy
/// is cheap enough to be passed to another thread as a snapshot.
class Catalog {
public:
  class Options {
  public:
    /// Grace period during which upstreams that the store does not list after
    /// an outage are kept. The platform guarantees that expired records are
    /// back within 2 s.
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

  /// Applies \p Config, whose encoded form is \p Text, unless a configuration
  /// of the same or a newer version is known. Returns true if it was applied.
  bool applyConfig(std::shared_ptr<const DeploymentConfig> Config,
                   std::string Text);
  /// Applies a complete list as of \p Revision. Upstreams that are not in it
  /// are removed.
  void applyUpstreams(Time Now, uint64_t Revision,
                      const std::map<std::string, UpstreamRecord> &Records);
  /// Applies one change as of \p Revision. \p Record is null if the upstream
  /// was removed or its record does not describe a usable upstream. Returns
  /// true if anything but the revision changed.
  bool applyUpstream(Time Now, uint64_t Revision, const std::string &Id,
                     const UpstreamRecord *Record);
  /// Returns true if the version is newer than the known one.
  bool applyRelease(const WeightRelease &Release);
  /// Applies the upstreams and releases of another process's update. Returns
  /// true if any is new. The caller decodes the configuration and applies it.
  bool applyUpdate(Time Now, const CatalogUpdate &Update);
  /// The store is reachable again after an outage; starts the grace period.
  void onStoreReconnected(Time Now);
  /// Removes upstreams whose grace period has ended. Returns true if any was
  /// removed.
  bool onTimer(Time Now);

  // Queries.

  const DeploymentConfig *config() const { return Config.get(); }
  std::shared_ptr<const DeploymentConfig> sharedConfig() const {
    return Config;
  }
  /// The route with the longest matching prefix; null if none matches.
  const RouteSpec *route(std::string_view Host, std::string_view Path) const;
  /// Null if the configuration has no such service.
  const ServiceSpec *service(std::string_view Name) const;
  /// The newest announced version; 0 if none was announced.
  uint64_t releasedVersion(std::string_view Model,
                           std::string_view Adapter) const;
  const std::map<std::string, UpstreamRecord> &upstreams() const {
    return Upstreams;
  }
  /// The revision of the last update of the upstream; 0 if there was none.
  uint64_t revisionOf(const std::string &Id) const;
  /// True while upstreams are kept that the store does not list.
  bool hasDeferredRemovals() const { return !DeferredRemovals.empty(); }
  const CatalogRevisions &revisions() const { return Current; }
  /// The update that brings a process with the revisions \p Known up to date.
  CatalogUpdate since(const CatalogRevisions &Known) const;
  const std::map<std::string, WeightRelease, std::less<>> &releases() const {
    return Releases;
  }

private:
  struct Revision {
    // Revision of the last update received.
    uint64_t Seen = 0;
    // Revision of the last update that changed the upstream.
    uint64_t Changed = 0;
  };

  void remove(Time Now, const std::string &Id);
  void trimRevisions();

  Options Opts;
  std::shared_ptr<const DeploymentConfig> Config;
  // Routes of each host, longest prefix first.
  std::map<std::string, std::vector<const RouteSpec *>, std::less<>>
      RoutesByHost;
  std::map<std::string, UpstreamRecord> Upstreams;
  // Revisions of each upstream, removed ones included.
  std::map<std::string, Revision> Revisions;
  CatalogRevisions Current;
  std::shared_ptr<const std::string> ConfigText;
  std::map<std::string, WeightRelease, std::less<>> Releases;
  // Removals deferred after an outage of the store, with the end of the grace
  // period.
  std::map<std::string, Time> DeferredRemovals;
  Time GraceUntil{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CATALOG_CATALOG_H
