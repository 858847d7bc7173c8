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
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/types.h"
#include "catalog/version_times.h"

namespace goldcrestlink {

/// The revision of each part of a process's catalog state. Two processes with
/// equal revisions have the same catalog state.
struct CatalogRevisions {
  /// Version of the configuration.
  uint64_t Config = 0;
  /// Revisions of the store up to which all changes are known.
  StoreRevision Upstreams;
  StoreRevision Releases;

  bool operator==(const CatalogRevisions &) const = default;
  /// True if \p Other is newer in any part.
  bool lacks(const CatalogRevisions &Other) const {
    return Config < Other.Config || Upstreams < Other.Upstreams ||
           Releases < Other.Releases;
  }
};

/// A change of one upstream that takes effect later, unless the store reports
/// another one before. Without a record, the upstream is to be removed.
struct DeferredChange {
  Duration Remaining{};
  std::optional<UpstreamRecord> Record;
};

/// The last change of one upstream. Without a record, the upstream was removed.
struct UpstreamChange {
  std::string Id;
  StoreRevision Revision;
  std::optional<UpstreamRecord> Record;
  std::optional<DeferredChange> Deferred = std::nullopt;
};

/// A catalog update that one process sends to another whose state is older.
struct CatalogUpdate {
  /// The configuration in its encoded form, as the store holds it; empty if
  /// there is no newer one.
  std::string ConfigText;
  std::vector<UpstreamChange> Upstreams;
  /// Upstreams contains all that exist. So it is for a receiver whose state is
  /// of an earlier era.
  bool Complete = false;
  std::vector<WeightRelease> Releases;
  /// The sender's revisions.
  CatalogRevisions AsOf;
};

/// Not thread-safe. The configuration and the index of its routes are shared
/// between copies and never changed, so that a copy is cheap enough to be
/// passed to another thread as a snapshot.
class Catalog {
public:
  class Options {
  public:
    /// Grace period during which upstreams that the store does not list after
    /// an outage are kept. The platform guarantees that expired records are
    /// back within 2 s.
    Duration absenceGrace() const { return AbsenceGrace; }
    /// How long a record from an older copy of the store is not used if it
    /// contradicts what was known before, such as that the upstream is draining
    /// or removed. The platform removes a record that is not renewed within
    /// three heartbeats, 3.6 s.
    Duration restoredGrace() const { return RestoredGrace; }
    Options &setAbsenceGrace(Duration D) {
      AbsenceGrace = D;
      return *this;
    }

  private:
    Duration AbsenceGrace = std::chrono::milliseconds(2200);
    Duration RestoredGrace = std::chrono::milliseconds(4000);
  };

  Catalog() = default;
  explicit Catalog(Options O) : Opts(O) {}

  // Commands.

  /// Applies \p Config, whose encoded form is \p Text, unless a configuration
  /// of the same or a newer version is known. Returns true if it was applied.
  bool applyConfig(std::shared_ptr<const DeploymentConfig> Config,
                   std::string Text);
  /// Applies a complete list as of \p Revision. Upstreams that are not in it
  /// are removed. The first list of an era may be older than what is known:
  /// what it contradicts stays in force for a grace period.
  void applyUpstreams(Time Now, StoreRevision Revision,
                      const std::map<std::string, UpstreamRecord> &Records);
  /// Applies one change as of \p Revision. \p Record is null if the upstream
  /// was removed or its record does not describe a usable upstream. Returns
  /// true if anything but the revision changed. A change of an era before that
  /// of the last list is ignored.
  bool applyUpstream(Time Now, StoreRevision Revision, const std::string &Id,
                     const UpstreamRecord *Record);
  /// Returns true if the version is newer than the known one.
  bool applyRelease(Time Now, const WeightRelease &Release);
  /// Applies the upstreams and releases of another process's update. Returns
  /// true if any is new. The caller decodes the configuration and applies it.
  bool applyUpdate(Time Now, const CatalogUpdate &Update);
  /// The store is reachable again after an outage; starts the grace period.
  void onStoreReconnected(Time Now);
  /// Carries out the changes whose grace period has ended. Returns true if
  /// there were any.
  bool onTimer(Time Now);

  // Queries.

  const DeploymentConfig *config() const { return Config.get(); }
  std::shared_ptr<const DeploymentConfig> sharedConfig() const {
    return Config;
  }
  /// Whether \p Text is the encoded form of config(), which then need not be
  /// decoded again.
  bool isKnownConfig(std::string_view Text) const {
    return ConfigText && *ConfigText == Text;
  }
  /// The route with the longest matching prefix; null if none matches.
  const RouteSpec *route(std::string_view Host, std::string_view Path) const;
  /// Null if the configuration has no such service.
  const ServiceSpec *service(std::string_view Name) const;
  /// The newest announced version; 0 if none was announced.
  uint64_t releasedVersion(std::string_view Model,
                           std::string_view Adapter) const;
  /// The versions that were announced lately, by version, and the newest one.
  std::vector<AnnouncedVersion> announced(Time Now, std::string_view Model,
                                          std::string_view Adapter) const;
  const std::map<std::string, UpstreamRecord> &upstreams() const {
    return Upstreams;
  }
  /// The revision of the last update of the upstream; 0 if there was none.
  StoreRevision revisionOf(const std::string &Id) const;
  /// True while changes are deferred.
  bool hasDeferredChanges() const { return !Deferred.empty(); }
  const CatalogRevisions &revisions() const { return Current; }
  /// The update that brings a process with the revisions \p Known up to date.
  CatalogUpdate since(Time Now, const CatalogRevisions &Known) const;
  /// Number of adapters and models of which a version was announced.
  size_t releaseCount() const { return Releases.size(); }

private:
  struct Revision {
    // Revision of the last update received.
    StoreRevision Seen;
    // Revision of the last update that changed the upstream.
    StoreRevision Changed;
  };
  struct KnownRelease {
    // The newest.
    WeightRelease Release;
    // Each version was announced by its time.
    VersionTimes Announced;
  };
  // Routes of each host, longest prefix first.
  using RouteIndex =
      std::map<std::string, std::vector<const RouteSpec *>, std::less<>>;
  struct Pending {
    Time Until;
    std::optional<UpstreamRecord> Record;
  };
  enum class Source {
    /// A watch: the change was made after the list.
    Event,
    /// A list, or the state of another process, which may come from one.
    List
  };

  static RouteIndex indexOf(const std::vector<RouteSpec> &Routes);
  bool apply(Time Now, StoreRevision Revision, const std::string &Id,
             const UpstreamRecord *Record, Source From);
  /// Applies the complete state of the upstreams as of \p Revision.
  bool applyAll(Time Now, StoreRevision Revision,
                std::span<const UpstreamChange> All);
  bool applyChange(Time Now, StoreRevision Revision,
                   const UpstreamChange &Change);
  /// Whether \p Record is the one that takes effect later.
  bool isDeferred(const std::string &Id, const UpstreamRecord *Record) const;
  /// Null if no version was announced.
  const KnownRelease *releaseOf(std::string_view Model,
                                std::string_view Adapter) const;
  void remove(Time Now, const std::string &Id);
  void trimRevisions();

  Options Opts;
  std::shared_ptr<const DeploymentConfig> Config;
  // Of Config; null without one.
  std::shared_ptr<const RouteIndex> RoutesByHost;
  std::map<std::string, UpstreamRecord> Upstreams;
  // Revisions of each upstream, removed ones included.
  std::map<std::string, Revision> Revisions;
  CatalogRevisions Current;
  std::shared_ptr<const std::string> ConfigText;
  std::map<std::string, KnownRelease, std::less<>> Releases;
  // Changes deferred after an outage of the store or its return from an older
  // copy; at most one for each upstream.
  std::map<std::string, Pending> Deferred;
  Time GraceUntil{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CATALOG_CATALOG_H
