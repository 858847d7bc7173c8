// An exponentially weighted share of failures that decays with time, so that an
// upstream which gets no calls because of it is tried again within seconds.
#include "forward/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace goldcrestlink::forward {

namespace {
// Time constant of the decay.
constexpr double FailureSeconds = 3.0;
// Weight of one outcome.
constexpr double OutcomeWeight = 0.2;
constexpr unsigned MaxPauseDoublings = 3;
} // namespace

double UpstreamHealth::failureShare(Time N) const {
  return Failures * std::exp(-seconds(N - FailuresAt) / FailureSeconds);
}

void UpstreamHealth::onOutcome(Time N, bool Failed) {
  Failures =
      failureShare(N) * (1 - OutcomeWeight) + (Failed ? OutcomeWeight : 0);
  FailuresAt = N;
  if (Failed)
    return;
  Pauses = 0;
  PausedUntil = Time{};
}

void UpstreamHealth::onUnreachable(Time N, Duration Pause) {
  PausedUntil = N + Pause * (1 << std::min(Pauses, MaxPauseDoublings));
  ++Pauses;
}

} // namespace goldcrestlink::forward
