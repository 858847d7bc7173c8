// Stand-ins that speak the platform's published protocol on loopback: its store
// with lists and watches, engines with reports, orders and streams, and a plain
// service. They run on one thread of the test's own process; the programs under
// test are real processes.
//
//   PlatformStandIn P;
//   P.putConfig(1);
//   P.addEngine("e0", "127.0.1.1", Port);
//   http::Endpoint Store = P.store();
#ifndef GOLDCRESTLINK_TESTING_PLATFORM_STANDIN_H
#define GOLDCRESTLINK_TESTING_PLATFORM_STANDIN_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "testing/store_standin.h"
#include "testing/upstream_standin.h"

namespace goldcrestlink::testing {

/// Thread-safe: each call is carried out on the stand-ins' thread. Upstreams
/// are named by the id under which they were added, also when they start again
/// under another.
class PlatformStandIn {
public:
  /// Attempts that routes allow for one request.
  static constexpr int MaxAttempts = 2;

  /// \p Observer hears what upstreams do and outlives the stand-ins.
  explicit PlatformStandIn(UpstreamObserver *Observer = nullptr);
  ~PlatformStandIn();

  http::Endpoint store() const;
  /// Writes a configuration of this version: routes /once/, /read/ and
  /// /stream/ of host "h", and /extra/ if \p Extra.
  void putConfig(int Version, bool Extra = false);
  /// Starts an engine and registers it. Precondition: the address is loopback.
  void addEngine(const std::string &Id, const std::string &Address,
                 uint16_t Port);
  void addPlain(const std::string &Id, const std::string &Address,
                uint16_t Port);
  /// Starts an upstream that the store says to be at another address.
  void add(UpstreamStandIn::Spec S);
  /// Writes the upstream's entry again as draining, or as ready, or removes it.
  void drain(const std::string &Name);
  void restore(const std::string &Name);
  void remove(const std::string &Name);
  /// Writes an entry, a release and a configuration that nobody can read.
  void putGarbage();
  /// An engine starts again under the same id, holding nothing.
  void restartEngine(const std::string &Name);
  /// The upstream ends, cutting what it runs; its entry stays. Nothing happens
  /// if it does not run.
  void crash(const std::string &Name);
  /// It starts again and is entered as ready, under \p Id if one is given.
  /// False, and nothing happens, if it runs.
  bool start(const std::string &Name, const std::string &Id = "");
  void setFault(const std::string &Name, UpstreamFault F);
  /// Announces a version of adapter \p Adapter.
  void release(const std::string &Adapter, int Version);
  /// While set, every call to the store is answered 503.
  void setStoreDown(bool Down) {
    setStoreFault(Down ? StoreFault::Unavailable : StoreFault::None);
  }
  void setStoreFault(StoreFault F);
  /// Drops the history; watches that wait hear nothing of it.
  void dropHistory();
  UpstreamTally tally(const std::string &Name) const;
  /// Versions of the adapters that an engine holds, by name.
  std::map<std::string, int> held(const std::string &Name) const;

  struct State;

private:
  template <class F> auto onThread(F Do) const;
  std::unique_ptr<State> Shared;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_PLATFORM_STANDIN_H
