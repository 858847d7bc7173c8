// Each class has an exponentially decayed sum of its work. All sums decay by
// the same factor, which leaves their fractions unchanged, so the decay is
// applied only when work is added. charge() and receivedShare() take
// O(classes); pick() takes O(classes^2).
#include "scheduling/share_tracker.h"

#include <cassert>
#include <cmath>
#include <numeric>

namespace goldcrestlink {

ShareTracker::ShareTracker(std::vector<double> Shares, Duration HalfLife)
    : Shares(std::move(Shares)), HalfLife(HalfLife), Work(this->Shares.size()) {
  assert(HalfLife.count() > 0);
}

double ShareTracker::decay(Time Now) const {
  if (Now <= Updated)
    return 1;
  return std::exp2(-seconds(Now - Updated) / seconds(HalfLife));
}

std::optional<size_t>
ShareTracker::pick(const std::vector<bool> &Eligible,
                   const std::vector<bool> &Escalated) const {
  assert(Eligible.size() == Shares.size() && Escalated.size() == Shares.size());
  std::optional<size_t> MostUrgent;
  for (size_t I = 0; I < Shares.size(); ++I) {
    if (!Eligible[I])
      continue;
    if (Escalated[I] && receivedShare(I) < Shares[I])
      return I;
    if (!MostUrgent)
      MostUrgent = I;
  }
  return MostUrgent;
}

void ShareTracker::charge(Time Now, size_t Class, double Amount) {
  assert(Class < Work.size());
  const double Factor = decay(Now);
  for (double &W : Work)
    W *= Factor;
  Updated = std::max(Updated, Now);
  Work[Class] += Amount;
}

double ShareTracker::receivedShare(size_t Class) const {
  const double Total = std::accumulate(Work.begin(), Work.end(), 0.0);
  return Total > 0 ? Work[Class] / Total : 0;
}

} // namespace goldcrestlink
