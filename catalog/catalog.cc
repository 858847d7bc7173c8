// The revision of the last update is kept for each upstream, removed ones
// included, so that an outdated list or a late event cannot undo a newer
// update. Every start of an upstream has a new id, so this table would grow
// without bound: when it exceeds MaxRevisions entries, the revisions of removed
// upstreams are dropped. A route look-up scans the routes of one host only.
#include "catalog/catalog.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
constexpr size_t MaxRevisions = 65536;

std::string releaseKey(std::string_view Model, std::string_view Adapter) {
  std::string Key(Model);
  Key.push_back('/');
  Key.append(Adapter);
  return Key;
}
} // namespace

bool Catalog::applyConfig(std::shared_ptr<const DeploymentConfig> NewConfig,
                          std::string Text) {
  if (Config && NewConfig->Version <= Config->Version)
    return false;
  Config = std::move(NewConfig);
  ConfigText = std::make_shared<const std::string>(std::move(Text));
  Current.Config = Config->Version;
  RoutesByHost.clear();
  for (const RouteSpec &R : Config->Routes)
    RoutesByHost[R.Host].push_back(&R);
  for (auto &[Host, List] : RoutesByHost)
    std::stable_sort(List.begin(), List.end(),
                     [](const RouteSpec *A, const RouteSpec *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
  return true;
}

void Catalog::applyUpstreams(
    Time Now, uint64_t Revision,
    const std::map<std::string, UpstreamRecord> &Records) {
  for (const auto &[Id, Record] : Records)
    applyUpstream(Now, Revision, Id, &Record);
  std::vector<std::string> Missing;
  for (const auto &[Id, Record] : Upstreams)
    if (!Records.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    applyUpstream(Now, Revision, Id, nullptr);
}

bool Catalog::applyUpstream(Time Now, uint64_t Revision, const std::string &Id,
                            const UpstreamRecord *Record) {
  struct Revision &Known = Revisions[Id];
  if (Revision < Known.Seen)
    return false;
  Known.Seen = Revision;
  const auto Old = Upstreams.find(Id);
  const bool Unchanged = Record ? Old != Upstreams.end() &&
                                      Old->second == *Record &&
                                      !DeferredRemovals.contains(Id)
                                : Old == Upstreams.end() && Known.Changed > 0;
  if (Unchanged)
    return false;
  Known.Changed = Revision;
  Current.Upstreams = std::max(Current.Upstreams, Revision);
  if (Record) {
    DeferredRemovals.erase(Id);
    Upstreams[Id] = *Record;
  } else {
    remove(Now, Id);
  }
  trimRevisions();
  return true;
}

uint64_t Catalog::revisionOf(const std::string &Id) const {
  const auto It = Revisions.find(Id);
  return It == Revisions.end() ? 0 : It->second.Seen;
}

void Catalog::trimRevisions() {
  if (Revisions.size() <= MaxRevisions)
    return;
  std::erase_if(Revisions, [&](const auto &Item) {
    return !Upstreams.contains(Item.first);
  });
}

void Catalog::remove(Time Now, const std::string &Id) {
  if (Now < GraceUntil && Upstreams.contains(Id))
    DeferredRemovals[Id] = GraceUntil;
  else
    Upstreams.erase(Id);
}

bool Catalog::applyRelease(const WeightRelease &Release) {
  WeightRelease &Known = Releases[releaseKey(Release.Model, Release.Adapter)];
  if (Release.Version <= Known.Version)
    return false;
  Known = Release;
  Current.Releases = std::max(Current.Releases, Release.Revision);
  return true;
}

bool Catalog::applyUpdate(Time Now, const CatalogUpdate &Update) {
  bool Changed = false;
  for (const UpstreamChange &C : Update.Upstreams)
    Changed |=
        applyUpstream(Now, C.Revision, C.Id, C.Record ? &*C.Record : nullptr);
  for (const WeightRelease &R : Update.Releases)
    Changed |= applyRelease(R);
  // All changes up to the sender's revisions are known now.
  Current.Upstreams = std::max(Current.Upstreams, Update.AsOf.Upstreams);
  Current.Releases = std::max(Current.Releases, Update.AsOf.Releases);
  return Changed;
}

CatalogUpdate Catalog::since(const CatalogRevisions &Known) const {
  CatalogUpdate Out;
  Out.AsOf = Current;
  if (ConfigText && Current.Config > Known.Config)
    Out.ConfigText = *ConfigText;
  for (const auto &[Id, R] : Revisions) {
    if (R.Changed <= Known.Upstreams)
      continue;
    UpstreamChange Change{Id, R.Changed, std::nullopt};
    if (const auto It = Upstreams.find(Id);
        It != Upstreams.end() && !DeferredRemovals.contains(Id))
      Change.Record = It->second;
    Out.Upstreams.push_back(std::move(Change));
  }
  for (const auto &[Key, R] : Releases)
    if (R.Revision > Known.Releases)
      Out.Releases.push_back(R);
  return Out;
}

void Catalog::onStoreReconnected(Time Now) {
  GraceUntil = Now + Opts.absenceGrace();
}

bool Catalog::onTimer(Time Now) {
  bool Changed = false;
  for (auto It = DeferredRemovals.begin(); It != DeferredRemovals.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    Upstreams.erase(It->first);
    It = DeferredRemovals.erase(It);
    Changed = true;
  }
  return Changed;
}

const RouteSpec *Catalog::route(std::string_view Host,
                                std::string_view Path) const {
  const auto It = RoutesByHost.find(Host);
  if (It == RoutesByHost.end())
    return nullptr;
  for (const RouteSpec *R : It->second)
    if (Path.starts_with(R->PathPrefix))
      return R;
  return nullptr;
}

const ServiceSpec *Catalog::service(std::string_view Name) const {
  if (Config)
    for (const ServiceSpec &S : Config->Services)
      if (S.Name == Name)
        return &S;
  return nullptr;
}

uint64_t Catalog::releasedVersion(std::string_view Model,
                                  std::string_view Adapter) const {
  const auto It = Releases.find(releaseKey(Model, Adapter));
  return It == Releases.end() ? 0 : It->second.Version;
}

} // namespace goldcrestlink
