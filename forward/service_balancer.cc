// One pass over the service's upstreams per choice. Shares of places are equal
// among entries and at least one, so an entry that is alone may use them all.
#include "forward/service_balancer.h"

#include <algorithm>

namespace goldcrestlink::forward {

void ServiceBalancer::onSent(const std::string &Id) { ++Views[Id].Outstanding; }

void ServiceBalancer::onEnded(Time N, const std::string &Id, bool Failed) {
  View &V = Views[Id];
  if (V.Outstanding > 0)
    --V.Outstanding;
  V.Health.onOutcome(N, Failed);
}

void ServiceBalancer::onUnreachable(Time N, const std::string &Id) {
  Views[Id].Health.onUnreachable(N, Opts.failurePause());
}

void ServiceBalancer::onReplaced(const std::string &Id) {
  Views[Id].Health.onReplaced();
}

void ServiceBalancer::setEntries(size_t Count) {
  Entries = std::max<size_t>(1, Count);
}

void ServiceBalancer::retain(
    const std::map<std::string, UpstreamRecord> &Known) {
  std::erase_if(Views, [&](const auto &Item) {
    return !Known.contains(Item.first) && Item.second.Outstanding == 0;
  });
}

const UpstreamRecord *
ServiceBalancer::choose(Time N, std::span<const UpstreamRecord *const> Among,
                        const std::set<std::string> &Excluded) const {
  const UpstreamRecord *Best = nullptr;
  double BestCost = 0;
  static const View Unknown;
  for (const UpstreamRecord *U : Among) {
    const auto It = Views.find(U->Id);
    const View &V = It == Views.end() ? Unknown : It->second;
    const double Share = std::max(1.0, U->Slots * Opts.queueFactor() /
                                           static_cast<double>(Entries));
    if (!V.Health.usable(N) || V.Outstanding >= Share ||
        Excluded.contains(U->Id))
      continue;
    double Cost = V.Outstanding + Opts.failureCost() * V.Health.failureShare(N);
    if (U->DataCentre != Opts.dataCentre())
      Cost += Opts.distanceCost();
    if (!Best || Cost < BestCost) {
      Best = U;
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace goldcrestlink::forward
