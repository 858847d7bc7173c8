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

bool Catalog::applyConfig(std::shared_ptr<const DeploymentConfig> NewConfig) {
  if (Config && NewConfig->Version <= Config->Version)
    return false;
  Config = std::move(NewConfig);
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
  UpstreamRevision = std::max(UpstreamRevision, Revision);
}

void Catalog::applyUpstream(Time N, uint64_t Revision, const std::string &Id,
                            const UpstreamRecord *Record) {
  uint64_t &Seen = Revisions[Id];
  if (Revision < Seen)
    return;
  Seen = Revision;
  UpstreamRevision = std::max(UpstreamRevision, Revision);
  if (Record) {
    Absent.erase(Id);
    Upstreams[Id] = *Record;
  } else {
    remove(N, Id);
  }
  if (Revisions.size() > MaxRevisions)
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
  return true;
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
