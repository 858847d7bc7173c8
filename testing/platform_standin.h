// Stand-ins that speak the platform's published protocol on loopback: its store
// with lists and watches, engines with reports, orders and streams, and a plain
// service. They run on one thread of the test's own process; the programs under
// test are real processes.
//
//   PlatformStandIn P;
//   P.putConfig(1);
//   P.addEngine("127.0.1.1", Port);
//   http::Endpoint Store = P.store();
#ifndef GOLDCRESTLINK_TESTING_PLATFORM_STANDIN_H
#define GOLDCRESTLINK_TESTING_PLATFORM_STANDIN_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/message.h"

namespace goldcrestlink::testing {

/// What one upstream has seen.
struct UpstreamTally {
  /// Request ids that it ran, in order.
  std::vector<std::string> Ran;
  /// Requests that named another instance, or an adapter it does not hold.
  int Misdirected = 0;
  /// Orders over its adapter slots, on adapters in use, or without what the
  /// platform demands of them.
  int Violations = 0;
  int Orders = 0;
};

/// Thread-safe: each call is carried out on the stand-ins' thread.
class PlatformStandIn {
public:
  PlatformStandIn();
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
  /// Writes the upstream's entry again as draining, or removes it.
  void drain(const std::string &Id);
  void remove(const std::string &Id);
  /// An engine starts again under the same id, holding nothing.
  void restartEngine(const std::string &Id);
  /// Announces a version of adapter \p Name.
  void release(const std::string &Name, int Version);
  /// While set, every call to the store is answered 503.
  void setStoreDown(bool Down);
  /// Drops the history; watches that wait hear nothing of it.
  void dropHistory();
  UpstreamTally tally(const std::string &Id) const;
  /// Versions of the adapters that an engine holds, by name.
  std::map<std::string, int> held(const std::string &Id) const;

  struct State;

private:
  template <class F> auto onThread(F Do) const;
  std::unique_ptr<State> Shared;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_PLATFORM_STANDIN_H
