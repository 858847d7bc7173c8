// The revision of the last update is kept for each upstream, removed ones
// included, so that an outdated list or a late event cannot undo a newer
// update. Revisions are ordered by era first, so state from before a restore of
// the store yields to state from after it. The first list of an era may still
// be older than what is known: upstreams that it lacks are kept, and those
// known as draining or removed stay so, until the store reports a change or a
// grace period ends. Every start of an upstream has a new id, so this table
// would grow without bound: when it exceeds MaxRevisions entries, the revisions
// of removed upstreams are dropped. A route look-up scans the routes of one
// host only.
#include "catalog/catalog.h"

#include <algorithm>
#include <set>

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
  RoutesByHost = std::make_shared<const RouteIndex>(indexOf(Config->Routes));
  return true;
}

Catalog::RouteIndex Catalog::indexOf(const std::vector<RouteSpec> &Routes) {
  RouteIndex Out;
  for (const RouteSpec &R : Routes)
    Out[R.Host].push_back(&R);
  for (auto &[Host, List] : Out)
    std::stable_sort(List.begin(), List.end(),
                     [](const RouteSpec *A, const RouteSpec *B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
  return Out;
}

void Catalog::applyUpstreams(
    Time Now, StoreRevision Revision,
    const std::map<std::string, UpstreamRecord> &Records) {
  std::vector<UpstreamChange> All;
  All.reserve(Records.size());
  for (const auto &[Id, Record] : Records)
    All.push_back({Id, Revision, Record});
  applyAll(Now, Revision, All);
}

bool Catalog::applyAll(Time Now, StoreRevision Revision,
                       std::span<const UpstreamChange> All) {
  if (Revision.Era < Current.Upstreams.Era)
    return false;
  const bool IsNewEra = Revision.Era > Current.Upstreams.Era;
  // Upstreams that registered after the copy was made register again.
  if (IsNewEra && !Revisions.empty())
    GraceUntil = std::max(GraceUntil, Now + Opts.absenceGrace());
  bool Changed = false;
  std::set<std::string> Missing;
  for (const auto &[Id, Record] : Upstreams)
    Missing.insert(Id);
  for (const auto &[Id, Later] : Deferred)
    Missing.insert(Id);
  for (const UpstreamChange &C : All) {
    Missing.erase(C.Id);
    Changed |= applyChange(Now, Revision, C);
  }
  for (const std::string &Id : Missing)
    Changed |= apply(Now, Revision, Id, nullptr, Source::List);
  if (IsNewEra)
    Current.Upstreams = std::max(Current.Upstreams, Revision);
  return Changed;
}

bool Catalog::applyChange(Time Now, StoreRevision Revision,
                          const UpstreamChange &Change) {
  const bool Changed =
      apply(Now, Revision, Change.Id, Change.Record ? &*Change.Record : nullptr,
            Source::List);
  if (Change.Deferred && revisionOf(Change.Id) == Revision &&
      !Deferred.contains(Change.Id))
    Deferred[Change.Id] = {
        Now + std::min(Change.Deferred->Remaining, Opts.restoredGrace()),
        Change.Deferred->Record};
  return Changed;
}

bool Catalog::applyUpstream(Time Now, StoreRevision Revision,
                            const std::string &Id,
                            const UpstreamRecord *Record) {
  return apply(Now, Revision, Id, Record, Source::Event);
}

bool Catalog::isDeferred(const std::string &Id,
                         const UpstreamRecord *Record) const {
  const auto It = Deferred.find(Id);
  if (It == Deferred.end())
    return false;
  const std::optional<UpstreamRecord> &Later = It->second.Record;
  return Record ? Later && *Later == *Record : !Later;
}

bool Catalog::apply(Time Now, StoreRevision Revision, const std::string &Id,
                    const UpstreamRecord *Record, Source From) {
  if (Revision.Era < Current.Upstreams.Era)
    return false;
  struct Revision &Known = Revisions[Id];
  if (Revision < Known.Seen)
    return false;
  const bool IsFirstOfEra =
      Known.Seen != StoreRevision() && Revision.Era > Known.Seen.Era;
  Known.Seen = Revision;
  const auto Old = Upstreams.find(Id);
  const bool Unchanged =
      Record ? Old != Upstreams.end() && Old->second == *Record
             : Old == Upstreams.end() && Known.Changed != StoreRevision();
  if (Unchanged ? !Deferred.contains(Id)
                : From == Source::List && isDeferred(Id, Record))
    return false;
  Known.Changed = Revision;
  Current.Upstreams = std::max(Current.Upstreams, Revision);
  Deferred.erase(Id);
  if (!Record)
    remove(Now, Id);
  else if (!Unchanged && From == Source::List && IsFirstOfEra &&
           !Record->Draining)
    Deferred[Id] = {Now + Opts.restoredGrace(), *Record};
  else
    Upstreams[Id] = *Record;
  trimRevisions();
  return true;
}

StoreRevision Catalog::revisionOf(const std::string &Id) const {
  const auto It = Revisions.find(Id);
  return It == Revisions.end() ? StoreRevision() : It->second.Seen;
}

void Catalog::trimRevisions() {
  if (Revisions.size() <= MaxRevisions)
    return;
  std::erase_if(Revisions, [&](const auto &Item) {
    return !Upstreams.contains(Item.first) && !Deferred.contains(Item.first);
  });
}

void Catalog::remove(Time Now, const std::string &Id) {
  if (Now < GraceUntil && Upstreams.contains(Id))
    Deferred[Id] = {GraceUntil, std::nullopt};
  else
    Upstreams.erase(Id);
}

bool Catalog::applyRelease(Time Now, const WeightRelease &Release) {
  KnownRelease &Known = Releases[releaseKey(Release.Model, Release.Adapter)];
  // An age that some process knows is kept when another does not know it.
  if (Release.Age < WeightRelease::LongAgo ||
      !Known.Announced.from(Release.Version))
    Known.Announced.add(Now, Release.Version, Now - Release.Age);
  if (Release.Version < Known.Release.Version)
    return false;
  const bool IsNewer = Release.Version > Known.Release.Version;
  // A version that is announced again, in a later era, is sent to processes
  // that know the store only from then on.
  if (IsNewer || Release.Revision > Known.Release.Revision) {
    Known.Release = Release;
    Current.Releases = std::max(Current.Releases, Release.Revision);
  }
  return IsNewer;
}

bool Catalog::applyUpdate(Time Now, const CatalogUpdate &Update) {
  bool Changed = false;
  // A sender that has not seen the store's return has only older state.
  if (Update.AsOf.Upstreams.Era >= Current.Upstreams.Era) {
    if (Update.Complete)
      Changed |= applyAll(Now, Update.AsOf.Upstreams, Update.Upstreams);
    else
      for (const UpstreamChange &C : Update.Upstreams)
        Changed |= applyChange(Now, C.Revision, C);
    // All changes up to the sender's revisions are known now.
    Current.Upstreams = std::max(Current.Upstreams, Update.AsOf.Upstreams);
  }
  for (const WeightRelease &R : Update.Releases)
    Changed |= applyRelease(Now, R);
  Current.Releases = std::max(Current.Releases, Update.AsOf.Releases);
  return Changed;
}

CatalogUpdate Catalog::since(Time Now, const CatalogRevisions &Known) const {
  CatalogUpdate Out;
  Out.AsOf = Current;
  Out.Complete = Known.Upstreams.Era < Current.Upstreams.Era;
  if (ConfigText && Current.Config > Known.Config)
    Out.ConfigText = *ConfigText;
  for (const auto &[Id, R] : Revisions) {
    const auto Found = Upstreams.find(Id);
    const auto Later = Deferred.find(Id);
    const bool Exists = Found != Upstreams.end() || Later != Deferred.end();
    if (Out.Complete ? !Exists : R.Changed <= Known.Upstreams)
      continue;
    UpstreamChange Change{Id, R.Changed, std::nullopt};
    if (Found != Upstreams.end())
      Change.Record = Found->second;
    if (Later != Deferred.end())
      Change.Deferred = {std::max(Duration(0), Later->second.Until - Now),
                         Later->second.Record};
    Out.Upstreams.push_back(std::move(Change));
  }
  for (const auto &[Key, R] : Releases)
    if (R.Release.Revision > Known.Releases)
      for (const VersionTimes::Step &S : R.Announced.steps()) {
        WeightRelease &Release = Out.Releases.emplace_back(R.Release);
        Release.Version = S.Version;
        Release.Age = Now - S.From;
      }
  return Out;
}

void Catalog::onStoreReconnected(Time Now) {
  GraceUntil = Now + Opts.absenceGrace();
}

bool Catalog::onTimer(Time Now) {
  bool Changed = false;
  for (auto It = Deferred.begin(); It != Deferred.end();) {
    if (Now < It->second.Until) {
      ++It;
      continue;
    }
    if (It->second.Record)
      Upstreams[It->first] = *It->second.Record;
    else
      Upstreams.erase(It->first);
    It = Deferred.erase(It);
    Changed = true;
  }
  return Changed;
}

const RouteSpec *Catalog::route(std::string_view Host,
                                std::string_view Path) const {
  if (!RoutesByHost)
    return nullptr;
  const auto It = RoutesByHost->find(Host);
  if (It == RoutesByHost->end())
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

const Catalog::KnownRelease *
Catalog::releaseOf(std::string_view Model, std::string_view Adapter) const {
  const auto It = Releases.find(releaseKey(Model, Adapter));
  return It == Releases.end() ? nullptr : &It->second;
}

uint64_t Catalog::releasedVersion(std::string_view Model,
                                  std::string_view Adapter) const {
  const KnownRelease *Known = releaseOf(Model, Adapter);
  return Known ? Known->Release.Version : 0;
}

std::vector<AnnouncedVersion>
Catalog::announced(Time Now, std::string_view Model,
                   std::string_view Adapter) const {
  std::vector<AnnouncedVersion> Out;
  if (const KnownRelease *Known = releaseOf(Model, Adapter))
    for (const VersionTimes::Step &S : Known->Announced.steps())
      Out.push_back({S.Version, Now - S.From});
  return Out;
}

} // namespace goldcrestlink
