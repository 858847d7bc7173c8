// The candidates are ordered by a heap, so that a choice costs one pass over
// all of them and a few steps for each check.
#include "http/connection_policy.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace goldcrestlink::http {

DeadlineStep stepAtDeadline(Time Now, Time Deadline, ConnectionStage Stage,
                            bool HasArrived) {
  // A refused client may send on without end.
  if (Now < Deadline || (HasArrived && Stage != ConnectionStage::Refused))
    return DeadlineStep::Wait;
  const bool IsArriving =
      Stage == ConnectionStage::Head || Stage == ConnectionStage::Body;
  return IsArriving ? DeadlineStep::Refuse : DeadlineStep::Close;
}

std::optional<size_t>
chooseYielding(Time Now, Duration MinQuiet,
               std::span<const YieldCandidate> Candidates,
               const std::function<bool(size_t)> &IsSilent) {
  std::vector<size_t> Heap(Candidates.size());
  std::iota(Heap.begin(), Heap.end(), size_t(0));
  const auto IsNewer = [&](size_t A, size_t B) {
    return Candidates[A].LastProgress > Candidates[B].LastProgress;
  };
  std::make_heap(Heap.begin(), Heap.end(), IsNewer);
  for (size_t Checks = 0; Checks < MaxSilenceChecks && !Heap.empty();
       ++Checks) {
    const size_t Oldest = Heap.front();
    if (Now - Candidates[Oldest].LastProgress < MinQuiet)
      return std::nullopt;
    if (IsSilent(Oldest))
      return Oldest;
    std::pop_heap(Heap.begin(), Heap.end(), IsNewer);
    Heap.pop_back();
  }
  return std::nullopt;
}

} // namespace goldcrestlink::http
