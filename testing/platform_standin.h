// Stand-ins that implement the platform's published protocol on the loopback
// interface: the store with lists and watches, engines with reports, orders and
// streams, and plain services. They run on one thread of the test process; the
// programs under test are separate processes.
//
//   PlatformStandIn Platform;
//   Platform.putConfig(1);
//   Platform.addEngine("e0", "127.0.1.1", Port);
//   http::Endpoint Store = Platform.store();
#ifndef GOLDCRESTLINK_TESTING_PLATFORM_STANDIN_H
#define GOLDCRESTLINK_TESTING_PLATFORM_STANDIN_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "catalog/types.h"
#include "testing/store_standin.h"
#include "testing/upstream_standin.h"

namespace goldcrestlink::testing {

/// Thread-safe: each call runs on the thread of the stand-ins. The name of an
/// upstream is the id under which it was added, also after a restart under
/// another id.
class PlatformStandIn {
public:
  /// The maximum number of attempts per request in the routes.
  static constexpr int MaxAttempts = 2;

  /// \p Observer, if any, is notified of what upstreams do. It must outlive the
  /// stand-ins.
  explicit PlatformStandIn(UpstreamObserver *Observer = nullptr);
  ~PlatformStandIn();

  /// The address of the store, and another one at which it can refuse requests
  /// while it serves those to the first.
  http::Endpoint store() const;
  http::Endpoint secondStore() const;
  void setSecondStoreRefused(bool Refused);
  /// The configurations that are put from now on have these organisations, of
  /// which only names, keys and ranks are used. With \p PublicRoute, the route
  /// /read/ is public.
  void setOrganisations(std::vector<OrganisationSpec> Organisations,
                        bool PublicRoute = true);
  /// Writes a configuration of this version. It has the routes /once/, /read/,
  /// /stream/ and /resume/ of host "h", and also /extra/ if \p Extra.
  void putConfig(int Version, bool Extra = false);
  /// Sets the largest body of a request in configurations written from now on.
  void setBodyLimit(size_t Bytes);
  void setIdleTime(int Ms);
  /// Starts an engine and adds its record to the store. Precondition: the
  /// address is a loopback address.
  void addEngine(const std::string &Id, const std::string &Address,
                 uint16_t Port);
  /// The same for a plain service.
  void addPlain(const std::string &Id, const std::string &Address,
                uint16_t Port);
  /// Starts an upstream whose address in the store may differ from the one on
  /// which it listens.
  void add(UpstreamStandIn::Spec Description);
  /// Writes the record of an upstream that the test runs itself.
  void putUpstream(const std::string &Id, const std::string &Service,
                   const http::Endpoint &Address);
  /// The address in the upstream's record.
  http::Endpoint address(const std::string &Name) const;
  /// Sets the upstream's record in the store to draining or to ready, or
  /// removes the record.
  void drain(const std::string &Name);
  void restore(const std::string &Name);
  void remove(const std::string &Name);
  /// Writes an invalid upstream record, release and configuration, and a valid
  /// configuration under a name that is not the operator's.
  void putGarbage();
  /// Writes a record of an upstream, or a complete object of that kind, which
  /// need not be valid JSON. An empty text removes it.
  void putUpstreamText(const std::string &Name, const std::string &Spec);
  void putUpstreamObjectText(const std::string &Name,
                             const std::string &Object);
  /// Lists of the store have at most this many objects on a page.
  void setStorePageSize(size_t Count);
  /// Resets an engine to holding no model or adapter, under the same id and
  /// with its connections open.
  void restartEngine(const std::string &Name);
  /// Stops the upstream and cuts off its runs; its record stays in the store.
  /// Does nothing if the upstream is not running.
  void crash(const std::string &Name);
  /// Restarts the upstream, under \p Id unless that is empty, and writes its
  /// record as ready; a record under its previous id is removed. Returns false
  /// and does nothing if the upstream is running.
  bool start(const std::string &Name, const std::string &Id = "");
  void setFault(const std::string &Name, UpstreamFault F);
  /// From now on the upstream's answers name this limit, in requests per
  /// second; empty: none.
  void setLimit(const std::string &Name, const std::string &PerSecond);
  /// From now on the upstream's answers say that it leaves, until it is started
  /// again. Its record does not change.
  void setLeaving(const std::string &Name);
  /// From now on the upstream turns callers' requests away with 503 and this
  /// Retry-After; empty: it serves them.
  void setRetryAfter(const std::string &Name, const std::string &Seconds);
  /// Sets the version of the upstream's software and writes its record.
  void setSoftwareVersion(const std::string &Name, const std::string &Version);
  /// From now on upstreams crash on requests with this part in their prompts,
  /// or with a body that begins with \p Body, and start again later. Empty:
  /// none.
  void setDeadly(const std::string &Part, const std::string &Body,
                 CrashKind How = CrashKind::Refused);
  /// Crashes of all upstreams that requests have caused.
  int crashesByRequests() const;
  /// Announces a version of an adapter in the store.
  void release(const std::string &Adapter, int Version);
  /// While set, the store answers every request with 503.
  void setStoreDown(bool Down) {
    setStoreFault(Down ? StoreFault::Unavailable : StoreFault::None);
  }
  void setStoreFault(StoreFault F);
  /// Drops the store's log of changes. Open watches are not notified.
  void dropHistory();
  /// The store comes back from a copy of its state of \p Age ago. With
  /// \p Rewrite, the operator and the upstreams write again at once what has
  /// been lost.
  void restoreStore(Duration Age, bool Rewrite = true);
  /// Writes the newest configuration, releases and records of upstreams again.
  void rewriteStore();
  uint64_t storeRevision() const;
  UpstreamTally tally(const std::string &Name) const;
  /// The adapters that an engine holds, with their versions.
  std::map<std::string, int> held(const std::string &Name) const;

  struct State;

private:
  template <class F> auto onThread(F Do) const;
  std::unique_ptr<State> Impl;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_PLATFORM_STANDIN_H
