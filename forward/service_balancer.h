// Chooses an upstream of a plain service: the one with the lowest cost, which
// counts this entry's own open calls, recent failures and distance. An entry
// has at most its share of the calls that may be open at each upstream.
//
//   ServiceBalancer B(ServiceBalancer::Options().setDataCentre("dc-1"));
//   const UpstreamRecord *U = B.choose(Now, Upstreams, Excluded);
//   B.onSent(U->Id);  ...  B.onEnded(Now, U->Id, Outcome);
#ifndef GOLDCRESTLINK_FORWARD_SERVICE_BALANCER_H
#define GOLDCRESTLINK_FORWARD_SERVICE_BALANCER_H

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>

#include "catalog/types.h"
#include "forward/upstream_health.h"

namespace goldcrestlink::forward {

/// Not thread-safe.
class ServiceBalancer {
public:
  class Options {
  public:
    const std::string &dataCentre() const { return DataCentre; }
    double queueFactor() const { return QueueFactor; }
    double distanceCost() const { return DistanceCost; }
    double failureCost() const { return FailureCost; }
    Duration unreachableBackoff() const { return UnreachableBackoff; }
    Options &setDataCentre(std::string Name) {
      DataCentre = std::move(Name);
      return *this;
    }

  private:
    std::string DataCentre;
    // Open calls of all entries allowed per slot of an upstream. Upstreams
    // queue a few calls beyond their slots and reject the rest.
    double QueueFactor = 2.5;
    // Cost of an upstream in another data centre, in open calls.
    double DistanceCost = 0.5;
    // Cost of an upstream that fails every call, in open calls.
    double FailureCost = 8;
    // First backoff after an upstream did not accept a connection.
    Duration UnreachableBackoff = std::chrono::milliseconds(500);
  };

  explicit ServiceBalancer(Options O) : Opts(std::move(O)) {}

  // Commands.

  void onSent(const std::string &Id);
  /// A call ended. It has failed if the connection broke, the upstream
  /// rejected the call, or it answered with a failure of its own.
  void onEnded(Time Now, const std::string &Id, CallOutcome Outcome);
  /// The upstream refused a connection or did not accept it in time.
  void onUnreachable(Time Now, const std::string &Id);
  /// Another incarnation answers at the upstream's address.
  void onReplaced(const std::string &Id);
  /// Sets the number of entries that share the upstreams, this one included.
  void setEntries(size_t Count);
  /// Removes upstreams that are not in \p Known and have no open calls.
  void retain(const std::map<std::string, UpstreamRecord> &Known);

  // Queries.

  /// Returns the cheapest of \p Upstreams whose id is not in \p Excluded, or
  /// null if none can be used or this entry's share is used up at each.
  const UpstreamRecord *choose(Time Now,
                               std::span<const UpstreamRecord *const> Upstreams,
                               const std::set<std::string> &Excluded) const;

private:
  struct UpstreamState {
    uint32_t Outstanding = 0;
    UpstreamHealth Health;
  };

  Options Opts;
  size_t Entries = 4;
  std::unordered_map<std::string, UpstreamState> States;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_SERVICE_BALANCER_H
