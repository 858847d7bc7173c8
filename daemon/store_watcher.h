// Keeps a Catalog up to date from the platform's store and reports changes.
//
//   StoreWatcher Watcher(Io, StoreAddress, Seed,
//                        [&] { publish(Watcher.catalog()); }, Log);
//   Watcher.start();
#ifndef GOLDCRESTLINK_DAEMON_STORE_WATCHER_H
#define GOLDCRESTLINK_DAEMON_STORE_WATCHER_H

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "catalog/catalog.h"
#include "daemon/unreadable_objects.h"
#include "platform/store_client.h"

namespace goldcrestlink {

/// Not thread-safe.
class StoreWatcher {
public:
  /// Called after the catalog has changed.
  using OnChanged = std::function<void()>;
  using OnLog = std::function<void(std::string)>;
  /// Called when the catalog has all changes of the upstreams that the store
  /// had made before a time, after OnChanged.
  using OnCurrent = std::function<void(Time)>;
  /// Called when the catalog has all changes of the configuration that the
  /// store had made before a time, after OnChanged.
  using OnConfirmed = std::function<void(BootTime)>;

  /// \p DrainTime: see watchPace().
  StoreWatcher(boost::asio::io_context &Io, const http::Endpoint &Store,
               Duration DrainTime, uint64_t Seed, OnChanged NotifyChanged,
               OnLog Log);
  /// Lists and watches the store from now on, as long as the object exists.
  void start();
  void onCurrent(OnCurrent Callback) { NotifyCurrent = std::move(Callback); }
  void onConfigConfirmed(OnConfirmed Callback) {
    NotifyConfirmed = std::move(Callback);
  }
  /// While the configuration has organisations, asks the store again when its
  /// last answer about the configuration was asked for more than \p MaxAge ago.
  void confirmConfigEvery(Duration MaxAge) { MaxConfirmationAge = MaxAge; }
  /// Applies newer catalog state received from another process.
  void onCatalogUpdate(const CatalogUpdate &Update);
  /// Sets the number of entries that exchange catalog state, this one included.
  /// Each asks the store at the pace of watchPace().
  void setEntryCount(size_t Count);
  const Catalog &catalog() const { return KnownCatalog; }
  /// False while the store cannot be reached.
  bool inContact() const { return InContact; }
  uint64_t storeCalls() const { return Store.calls(); }
  uint64_t storeEra() const { return Store.era(); }
  /// Number of unreadable objects found since the start; one that is read again
  /// is not counted again.
  uint64_t unreadableObjects() const { return Unreadable.total(); }
  /// Number of lists since the start that could not be read to their end.
  uint64_t unfinishedLists() const { return UnfinishedLists; }

private:
  void logList(std::string_view Kind, StoreRevision Revision,
               const std::vector<platform::StoreObject> &List);
  void onConfigObject(const platform::StoreObject &Object);
  /// Empty if the object describes no usable upstream, which is logged once.
  std::optional<UpstreamRecord>
  readUpstream(const platform::StoreObject &Object);
  void onUpstreams(StoreRevision Revision,
                   const std::vector<platform::StoreObject> &List);
  void onUpstream(const platform::StoreObject &Object);
  /// \p Age: how long ago the store may have got the object; see
  /// WeightRelease::Age.
  void onRelease(const platform::StoreObject &Object, Duration Age);
  /// Logs an unreadable object once.
  void noteUnreadable(std::string_view Kind,
                      const platform::StoreObject &Object,
                      std::string_view Why);
  platform::WatchHandlers handlersFor(std::string_view Kind);
  void onContact(bool Reached, std::string_view Why);
  void scheduleNotification();
  void scheduleDeferredCheck();

  boost::asio::io_context &Io;
  platform::StoreClient Store;
  Duration DrainTime;
  boost::asio::steady_timer DeferredTimer;
  Catalog KnownCatalog;
  UnreadableObjects Unreadable;
  uint64_t UnfinishedLists = 0;
  OnChanged NotifyChanged;
  OnLog Log;
  OnCurrent NotifyCurrent;
  OnConfirmed NotifyConfirmed;
  // Zero: the store is not asked again for this.
  Duration MaxConfirmationAge{};
  bool InContact = true;
  bool NotificationPending = false;
  // The releases that are reported next may have been made at any time since
  // calls for them began to fail.
  bool ReleasesMayBeOld = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_STORE_WATCHER_H
