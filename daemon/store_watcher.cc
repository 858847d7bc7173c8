// Changes that arrive together cause one notification. Unreadable records are
// logged and leave the catalog unchanged, except that an unreadable record of
// an upstream removes the upstream, since it no longer says how to reach it.
#include "daemon/store_watcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "daemon/watch_pace.h"

namespace goldcrestlink {

namespace {
// How often to look for deferred changes whose grace period after an outage or
// restore of the store has ended.
constexpr Duration DeferredCheckInterval = std::chrono::milliseconds(200);
} // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context &InIo,
                           const http::Endpoint &Address, Duration InDrainTime,
                           uint64_t Seed, OnChanged InNotifyChanged,
                           OnLog InLog)
    : Io(InIo), Store(InIo, Address, platform::StoreClient::Options(), Seed),
      DrainTime(InDrainTime), DeferredTimer(InIo),
      NotifyChanged(std::move(InNotifyChanged)), Log(std::move(InLog)) {}

void StoreWatcher::start() {
  using platform::StoreObject;
  Store.onReachabilityChange(
      [this](bool Reached, std::string_view Why) { onContact(Reached, Why); });
  Store.onRestored([this](uint64_t Before, uint64_t Era) {
    Log("store state=restored era=" + std::to_string(Era) +
        " before=" + std::to_string(Before));
  });
  platform::WatchHandlers Config = handlersFor(platform::kinds::Config);
  Config.OnList = [this](StoreRevision Revision,
                         const std::vector<StoreObject> &List) {
    logList(platform::kinds::Config, Revision, List);
    for (const StoreObject &Object : List)
      if (Object.Name == platform::kinds::ConfigName)
        onConfigObject(Object);
  };
  Config.OnChange = [this](const StoreObject &Object) {
    if (Object.Name == platform::kinds::ConfigName)
      onConfigObject(Object);
  };
  Config.OnCurrent = [this](const platform::CallTime &AskedAt) {
    // Behind the notification of the changes, so that a configuration is never
    // confirmed in place of the one that follows it.
    boost::asio::post(Io, [this, At = AskedAt.Boot] {
      if (NotifyConfirmed)
        NotifyConfirmed(At);
    });
  };
  Store.watch(platform::kinds::Config, std::move(Config));

  platform::WatchHandlers Upstreams = handlersFor(platform::kinds::Upstreams);
  Upstreams.OnList = [this](StoreRevision Revision,
                            const std::vector<StoreObject> &List) {
    onUpstreams(Revision, List);
  };
  Upstreams.OnChange = [this](const StoreObject &Object) {
    onUpstream(Object);
  };
  Upstreams.OnRecovered = [this] {
    KnownCatalog.onStoreReconnected(currentTime().Steady);
  };
  Upstreams.OnCurrent = [this](const platform::CallTime &AskedAt) {
    // Behind the notification of the changes.
    boost::asio::post(Io, [this, AsOf = AskedAt.Steady] {
      if (NotifyCurrent)
        NotifyCurrent(AsOf);
    });
  };
  Upstreams.BatchDelay = watchPace(1, DrainTime).UpstreamPause;
  Store.watch(platform::kinds::Upstreams, std::move(Upstreams));
  Store.setWatchTime(platform::kinds::Upstreams,
                     watchPace(1, DrainTime).UpstreamRenewal);

  platform::WatchHandlers Releases = handlersFor(platform::kinds::Releases);
  Releases.OnList = [this](StoreRevision Revision,
                           const std::vector<StoreObject> &List) {
    logList(platform::kinds::Releases, Revision, List);
    for (const StoreObject &Object : List)
      onRelease(Object, WeightRelease::LongAgo);
  };
  Releases.OnRecovered = [this] { ReleasesMayBeOld = true; };
  Releases.OnChange = [this](const StoreObject &Object) {
    onRelease(Object, ReleasesMayBeOld ? WeightRelease::LongAgo : Duration(0));
  };
  Releases.OnCurrent = [this](const platform::CallTime &) {
    ReleasesMayBeOld = false;
  };
  Store.watch(platform::kinds::Releases, std::move(Releases));
}

platform::WatchHandlers StoreWatcher::handlersFor(std::string_view Kind) {
  platform::WatchHandlers Out;
  Out.OnLeftOut = [this, Kind](size_t Count, const std::string &Why) {
    // Objects are told apart by what is wrong with them, since some have no
    // readable name.
    if (Unreadable.add(Kind, Why))
      Log("store kind=" + std::string(Kind) + " outcome=left_out objects=" +
          std::to_string(Count) + " why=\"" + Why + "\"");
  };
  Out.OnUnfinished = [this, Kind](int Pages, std::string_view Why) {
    ++UnfinishedLists;
    Log("store kind=" + std::string(Kind) + " outcome=list_unfinished pages=" +
        std::to_string(Pages) + " why=\"" + std::string(Why) + "\"");
  };
  return Out;
}

void StoreWatcher::noteUnreadable(std::string_view Kind,
                                  const platform::StoreObject &Object,
                                  std::string_view Why) {
  if (Unreadable.add(Kind, Object.Name))
    Log("store kind=" + std::string(Kind) + " object=" + Object.Name +
        " outcome=unreadable revision=" + Object.Revision.text() + " why=\"" +
        std::string(Why) + "\"");
}

void StoreWatcher::setEntryCount(size_t Count) {
  const WatchPace Pace = watchPace(Count, DrainTime);
  Store.setBatchDelay(platform::kinds::Upstreams, Pace.UpstreamPause);
  Store.setWatchTime(platform::kinds::Upstreams, Pace.UpstreamRenewal);
  Store.setWatchTime(platform::kinds::Config, Pace.ConfigRenewal);
  Store.setWatchTime(platform::kinds::Releases, Pace.ReleaseRenewal);
}

void StoreWatcher::logList(std::string_view Kind, StoreRevision Revision,
                           const std::vector<platform::StoreObject> &List) {
  StoreRevision Newest;
  for (const platform::StoreObject &Object : List)
    Newest = std::max(Newest, Object.Revision);
  Log("store listed=" + std::string(Kind) +
      " objects=" + std::to_string(List.size()) +
      " revision=" + Revision.text() + " newest=" + Newest.text());
}

void StoreWatcher::onConfigObject(const platform::StoreObject &Object) {
  if (Object.Removed || Object.Content.empty())
    return;
  // The store and several processes may deliver the same one. It is compared,
  // since the version that a sender names may be wrong.
  if (KnownCatalog.isKnownConfig(Object.Content)) {
    Unreadable.remove(platform::kinds::Config, Object.Name);
    return;
  }
  try {
    auto Config = std::make_shared<DeploymentConfig>(
        platform::decodeConfig(Object.Content));
    Unreadable.remove(platform::kinds::Config, Object.Name);
    const uint64_t Version = Config->Version;
    const size_t Routes = Config->Routes.size();
    const size_t Organisations = Config->Organisations.size();
    if (!KnownCatalog.applyConfig(std::move(Config), Object.Content))
      return;
    Log("config version=" + std::to_string(Version) + " revision=" +
        Object.Revision.text() + " routes=" + std::to_string(Routes) +
        " organisations=" + std::to_string(Organisations));
    // Calls to the store have a cost; without keys no age matters.
    Store.confirmEvery(platform::kinds::Config,
                       Organisations > 0 ? MaxConfirmationAge : Duration(0));
    scheduleNotification();
  } catch (const platform::DecodeError &Error) {
    noteUnreadable(platform::kinds::Config, Object, Error.what());
  }
}

std::optional<UpstreamRecord>
StoreWatcher::readUpstream(const platform::StoreObject &Object) {
  auto Record = platform::decodeUpstream(Object.Name, Object.Content);
  if (Record)
    Unreadable.remove(platform::kinds::Upstreams, Object.Name);
  else
    noteUnreadable(platform::kinds::Upstreams, Object,
                   "describes no usable upstream");
  return Record;
}

void StoreWatcher::onUpstreams(StoreRevision Revision,
                               const std::vector<platform::StoreObject> &List) {
  std::map<std::string, UpstreamRecord> Records;
  for (const platform::StoreObject &Object : List)
    if (auto Record = readUpstream(Object))
      Records[Object.Name] = std::move(*Record);
  Log("upstreams listed=" + std::to_string(List.size()) + " usable=" +
      std::to_string(Records.size()) + " revision=" + Revision.text());
  KnownCatalog.applyUpstreams(currentTime().Steady, Revision, Records);
  scheduleNotification();
  scheduleDeferredCheck();
}

void StoreWatcher::onUpstream(const platform::StoreObject &Object) {
  std::optional<UpstreamRecord> Record;
  if (Object.Removed)
    Unreadable.remove(platform::kinds::Upstreams, Object.Name);
  else
    Record = readUpstream(Object);
  if (const StoreRevision Known = KnownCatalog.revisionOf(Object.Name);
      Object.Revision < Known)
    Log("upstream id=" + Object.Name + " outcome=outdated revision=" +
        Object.Revision.text() + " known=" + Known.text());
  if (!KnownCatalog.applyUpstream(currentTime().Steady, Object.Revision,
                                  Object.Name, Record ? &*Record : nullptr))
    return;
  Log("upstream id=" + Object.Name + " state=" +
      (Record ? (Record->Draining ? "draining" : "ready")
              : (Object.Removed ? "removed" : "unreadable")) +
      (Record ? " software=" + Record->SoftwareVersion : "") +
      " revision=" + Object.Revision.text());
  scheduleNotification();
  scheduleDeferredCheck();
}

void StoreWatcher::onRelease(const platform::StoreObject &Object,
                             Duration Age) {
  if (Object.Removed)
    return;
  auto Record = platform::decodeRelease(Object.Name, Object.Content);
  if (!Record) {
    noteUnreadable(platform::kinds::Releases, Object,
                   "announces no version of weights");
    return;
  }
  Unreadable.remove(platform::kinds::Releases, Object.Name);
  Record->Revision = Object.Revision;
  Record->Age = Age;
  const CatalogRevisions Before = KnownCatalog.revisions();
  const bool IsNewer = KnownCatalog.applyRelease(currentTime().Steady, *Record);
  // Digests announce the revision also if the version is known already.
  if (KnownCatalog.revisions() != Before)
    scheduleNotification();
  if (!IsNewer)
    return;
  Log("release model=" + Record->Model + " adapter=" + Record->Adapter +
      " version=" + std::to_string(Record->Version) +
      " revision=" + Object.Revision.text());
}

void StoreWatcher::onCatalogUpdate(const CatalogUpdate &Update) {
  const CatalogRevisions Before = KnownCatalog.revisions();
  const bool Changed = KnownCatalog.applyUpdate(currentTime().Steady, Update);
  if (!Update.ConfigText.empty()) {
    platform::StoreObject Object;
    Object.Name = "peer";
    Object.Content = Update.ConfigText;
    onConfigObject(Object);
  }
  if (!Changed && KnownCatalog.revisions() == Before)
    return;
  Log("beliefs upstreams=" + std::to_string(Update.Upstreams.size()) +
      " releases=" + std::to_string(Update.Releases.size()) +
      " complete=" + (Update.Complete ? "yes" : "no") +
      " upstream_revision=" + Update.AsOf.Upstreams.text() +
      " store=" + (InContact ? "reached" : "lost"));
  scheduleNotification();
  scheduleDeferredCheck();
}

void StoreWatcher::onContact(bool Reached, std::string_view Why) {
  InContact = Reached;
  Log(std::string("store state=") + (Reached ? "regained" : "lost") +
      " why=\"" + std::string(Why) + "\"");
}

void StoreWatcher::scheduleNotification() {
  if (NotificationPending)
    return;
  NotificationPending = true;
  boost::asio::post(Io, [this] {
    NotificationPending = false;
    NotifyChanged();
  });
}

void StoreWatcher::scheduleDeferredCheck() {
  DeferredTimer.expires_after(DeferredCheckInterval);
  DeferredTimer.async_wait([this](boost::system::error_code Error) {
    if (Error)
      return;
    if (KnownCatalog.onTimer(currentTime().Steady))
      scheduleNotification();
    if (KnownCatalog.hasDeferredChanges())
      scheduleDeferredCheck();
  });
}

} // namespace goldcrestlink
