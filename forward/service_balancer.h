// Chooses among the upstreams of a plain service: least loaded by this entry's
// own calls, failures and distance considered, within this entry's share of
// each upstream's places.
//
//   ServiceBalancer B(ServiceBalancer::Options().setDataCentre("dc-1"));
//   const UpstreamRecord *U = B.choose(N, Upstreams, Excluded);
//   B.onSent(U->Id);  ...  B.onEnded(N, U->Id, Failed, Took);
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
    Duration failurePause() const { return FailurePause; }
    Options &setDataCentre(std::string Name) {
      DataCentre = std::move(Name);
      return *this;
    }

  private:
    std::string DataCentre;
    // Calls of all entries that may stand at an upstream, per place; upstreams
    // queue a few, and reject the rest.
    double QueueFactor = 2.5;
    // In calls that stand ahead.
    double DistanceCost = 0.5;
    double FailureCost = 8;
    // An upstream that took no connection is left alone this long.
    Duration FailurePause = std::chrono::milliseconds(500);
  };

  explicit ServiceBalancer(Options O) : Opts(std::move(O)) {}

  // Commands.

  void onSent(const std::string &Id);
  /// A call ended. \p Failed: broken, rejected, or the upstream's own failure.
  void onEnded(Time N, const std::string &Id, bool Failed);
  void onUnreachable(Time N, const std::string &Id);
  void onReplaced(const std::string &Id);
  void setEntries(size_t Count);
  /// Forgets idle upstreams that are not in \p Known.
  void retain(const std::map<std::string, UpstreamRecord> &Known);

  // Queries.

  /// Null if none can be used or all shares are taken.
  const UpstreamRecord *choose(Time N,
                               std::span<const UpstreamRecord *const> Among,
                               const std::set<std::string> &Excluded) const;

private:
  struct View {
    uint32_t Outstanding = 0;
    UpstreamHealth Health;
  };

  Options Opts;
  size_t Entries = 4;
  std::unordered_map<std::string, View> Views;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_SERVICE_BALANCER_H
