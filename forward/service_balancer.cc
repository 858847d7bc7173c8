// A choice takes one pass over the service's upstreams. Each upstream may have
// queueFactor() open calls per slot; all entries get equal shares of these, at
// least one call each, so that a single entry may use all of them.
#include "forward/service_balancer.h"

#include <algorithm>

namespace goldcrestlink::forward {

void ServiceBalancer::onSent(const std::string &Id) {
  ++States[Id].Outstanding;
}

void ServiceBalancer::onEnded(Time Now, const std::string &Id,
                              CallOutcome Outcome) {
  UpstreamState &State = States[Id];
  if (State.Outstanding > 0)
    --State.Outstanding;
  State.Health.onOutcome(Now, Outcome);
}

void ServiceBalancer::onUnreachable(Time Now, const std::string &Id) {
  States[Id].Health.onUnreachable(Now, Opts.unreachableBackoff());
}

void ServiceBalancer::onReplaced(const std::string &Id) {
  States[Id].Health.onReplaced();
}

void ServiceBalancer::setEntries(size_t Count) {
  Entries = std::max<size_t>(1, Count);
}

void ServiceBalancer::retain(
    const std::map<std::string, UpstreamRecord> &Known) {
  std::erase_if(States, [&](const auto &Item) {
    return !Known.contains(Item.first) && Item.second.Outstanding == 0;
  });
}

const UpstreamRecord *
ServiceBalancer::choose(Time Now,
                        std::span<const UpstreamRecord *const> Upstreams,
                        const std::set<std::string> &Excluded) const {
  const UpstreamRecord *Best = nullptr;
  double BestCost = 0;
  static const UpstreamState Unknown;
  for (const UpstreamRecord *U : Upstreams) {
    const auto It = States.find(U->Id);
    const UpstreamState &State = It == States.end() ? Unknown : It->second;
    const double Share = std::max(1.0, U->Slots * Opts.queueFactor() /
                                           static_cast<double>(Entries));
    if (!State.Health.usable(Now) || State.Outstanding >= Share ||
        Excluded.contains(U->Id))
      continue;
    double Cost =
        State.Outstanding + Opts.failureCost() * State.Health.failureShare(Now);
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
