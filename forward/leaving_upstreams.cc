// Every id is added to and removed from the queue once for each incarnation.
#include "forward/leaving_upstreams.h"

#include <algorithm>

namespace goldcrestlink::forward {

bool LeavingUpstreams::add(Time Now, const UpstreamIncarnation &Leaving) {
  const auto [It, IsNew] = StartedMs.try_emplace(Leaving.Id, Leaving.StartedMs);
  if (!IsNew && It->second >= Leaving.StartedMs)
    return false;
  It->second = Leaving.StartedMs;
  if (!IsNew)
    std::erase_if(Order,
                  [&](const auto &Item) { return Item.second == Leaving.Id; });
  Order.emplace_back(Now, Leaving.Id);
  if (StartedMs.size() > MaxUpstreams) {
    StartedMs.erase(Order.front().second);
    Order.pop_front();
  }
  return true;
}

void LeavingUpstreams::onRecord(const UpstreamIncarnation &Known) {
  if (const auto It = StartedMs.find(Known.Id);
      It != StartedMs.end() && It->second == 0)
    It->second = Known.StartedMs;
}

void LeavingUpstreams::expire(Time Now) {
  while (!Order.empty() && Now - Order.front().first > Lifetime) {
    StartedMs.erase(Order.front().second);
    Order.pop_front();
  }
}

bool LeavingUpstreams::contains(const UpstreamIncarnation &Asked) const {
  const auto It = StartedMs.find(Asked.Id);
  return It != StartedMs.end() &&
         (It->second == 0 || It->second >= Asked.StartedMs);
}

std::vector<UpstreamIncarnation> LeavingUpstreams::all() const {
  std::vector<UpstreamIncarnation> Out;
  for (const auto &[Id, Started] : StartedMs)
    Out.push_back({Id, Started});
  return Out;
}

} // namespace goldcrestlink::forward
