// Work is an exponentially decayed sum per class. All sums decay alike, so the
// fractions need the decay only when new work is added. O(classes) per call.
#include "scheduling/share_tracker.h"

#include <cassert>
#include <cmath>
#include <numeric>

namespace goldcrestlink {

ShareTracker::ShareTracker(std::vector<double> Shares, Duration HalfLife)
    : Shares(std::move(Shares)), HalfLife(HalfLife), Work(this->Shares.size()) {
  assert(HalfLife.count() > 0);
}

double ShareTracker::decay(Time N) const {
  if (N <= Updated)
    return 1;
  return std::exp2(-seconds(N - Updated) / seconds(HalfLife));
}

std::optional<size_t>
ShareTracker::pick(const std::vector<bool> &Eligible,
                   const std::vector<bool> &Pressed) const {
  assert(Eligible.size() == Shares.size() && Pressed.size() == Shares.size());
  std::optional<size_t> MostUrgent;
  for (size_t I = 0; I < Shares.size(); ++I) {
    if (!Eligible[I])
      continue;
    if (Pressed[I] && received(I) < Shares[I])
      return I;
    if (!MostUrgent)
      MostUrgent = I;
  }
  return MostUrgent;
}

void ShareTracker::charge(Time N, size_t Class, double Amount) {
  assert(Class < Work.size());
  const double Factor = decay(N);
  for (double &W : Work)
    W *= Factor;
  Updated = std::max(Updated, N);
  Work[Class] += Amount;
}

double ShareTracker::received(size_t Class) const {
  const double Total = std::accumulate(Work.begin(), Work.end(), 0.0);
  return Total > 0 ? Work[Class] / Total : 0;
}

} // namespace goldcrestlink
