// Each object keeps the revision of its last change, so that a stale list or a
// late event cannot undo a newer one. Revisions of removed upstreams are kept
// too; ids are new for each start, so the table is trimmed to the newest
// MaxRevisions. A look-up of a route scans the routes of one host only.
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
  Newest.Config = Config->Version;
  ByHost.clear();
  for (const RouteSpec &R : Config->Routes)
    ByHost[R.Host].push_back(&R);
  for (auto &[Host, List] : ByHost)
    std::stable_sort(List.begin(), List.end(),
                     [](const RouteSpec *A, const RouteSpec *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
  return true;
}

void Catalog::applyUpstreams(
    Time N, uint64_t Revision,
    const std::map<std::string, UpstreamRecord> &Records) {
  for (const auto &[Id, Record] : Records)
    applyUpstream(N, Revision, Id, &Record);
  std::vector<std::string> Missing;
  for (const auto &[Id, Record] : Upstreams)
    if (!Records.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    applyUpstream(N, Revision, Id, nullptr);
}

bool Catalog::applyUpstream(Time N, uint64_t Revision, const std::string &Id,
                            const UpstreamRecord *Record) {
  struct Revision &Known = Revisions[Id];
  if (Revision < Known.Seen)
    return false;
  Known.Seen = Revision;
  const auto Old = Upstreams.find(Id);
  const bool Same = Record ? Old != Upstreams.end() && Old->second == *Record &&
                                 !Absent.contains(Id)
                           : Old == Upstreams.end() && Known.Changed > 0;
  if (Same)
    return false;
  Known.Changed = Revision;
  Newest.Upstreams = std::max(Newest.Upstreams, Revision);
  if (Record) {
    Absent.erase(Id);
    Upstreams[Id] = *Record;
  } else {
    remove(N, Id);
  }
  trimRevisions();
  return true;
}

void Catalog::trimRevisions() {
  if (Revisions.size() <= MaxRevisions)
    return;
  std::erase_if(Revisions, [&](const auto &Item) {
    return !Upstreams.contains(Item.first);
  });
}

void Catalog::remove(Time N, const std::string &Id) {
  if (N < GraceUntil && Upstreams.contains(Id))
    Absent[Id] = GraceUntil;
  else
    Upstreams.erase(Id);
}

bool Catalog::applyRelease(const WeightRelease &R) {
  WeightRelease &Known = Releases[releaseKey(R.Model, R.Adapter)];
  if (R.Version <= Known.Version)
    return false;
  Known = R;
  Newest.Releases = std::max(Newest.Releases, R.Revision);
  return true;
}

bool Catalog::applyBeliefs(Time N, const BeliefUpdate &U) {
  bool Changed = false;
  for (const UpstreamChange &C : U.Upstreams)
    Changed |=
        applyUpstream(N, C.Revision, C.Id, C.Record ? &*C.Record : nullptr);
  for (const WeightRelease &R : U.Releases)
    Changed |= applyRelease(R);
  // All that the other process knew up to these is known here now.
  Newest.Upstreams = std::max(Newest.Upstreams, U.AsOf.Upstreams);
  Newest.Releases = std::max(Newest.Releases, U.AsOf.Releases);
  return Changed;
}

BeliefUpdate Catalog::since(const BeliefRevisions &Known) const {
  BeliefUpdate Out;
  Out.AsOf = Newest;
  if (ConfigText && Newest.Config > Known.Config)
    Out.ConfigText = *ConfigText;
  for (const auto &[Id, R] : Revisions) {
    if (R.Changed <= Known.Upstreams)
      continue;
    UpstreamChange Change{Id, R.Changed, std::nullopt};
    if (const auto It = Upstreams.find(Id);
        It != Upstreams.end() && !Absent.contains(Id))
      Change.Record = It->second;
    Out.Upstreams.push_back(std::move(Change));
  }
  for (const auto &[Key, R] : Releases)
    if (R.Revision > Known.Releases)
      Out.Releases.push_back(R);
  return Out;
}

void Catalog::onStoreRegained(Time N) { GraceUntil = N + Opts.absenceGrace(); }

bool Catalog::onTimer(Time N) {
  bool Changed = false;
  for (auto It = Absent.begin(); It != Absent.end();) {
    if (N < It->second) {
      ++It;
      continue;
    }
    Upstreams.erase(It->first);
    It = Absent.erase(It);
    Changed = true;
  }
  return Changed;
}

const RouteSpec *Catalog::route(std::string_view Host,
                                std::string_view Path) const {
  const auto It = ByHost.find(Host);
  if (It == ByHost.end())
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
