// The share of failures is an exponentially weighted mean that also decays with
// time, so that an upstream which gets no calls because of past failures is
// tried again within seconds. Every operation takes constant time.
#include "forward/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace goldcrestlink::forward {

namespace {
// Time constant of the decay.
constexpr double FailureDecaySeconds = 3.0;
// Weight of the newest outcome in the mean.
constexpr double OutcomeWeight = 0.2;
constexpr unsigned MaxBackoffDoublings = 3;
} // namespace

double UpstreamHealth::failureShare(Time Now) const {
  return Failures *
         std::exp(-seconds(Now - FailuresUpdated) / FailureDecaySeconds);
}

void UpstreamHealth::onOutcome(Time Now, CallOutcome Outcome) {
  if (Outcome == CallOutcome::Unknown)
    return;
  const bool Failed = Outcome == CallOutcome::Failed;
  Failures =
      failureShare(Now) * (1 - OutcomeWeight) + (Failed ? OutcomeWeight : 0);
  FailuresUpdated = Now;
  if (Failed)
    return;
  ConsecutiveBackoffs = 0;
  BackoffUntil = Time{};
}

void UpstreamHealth::onUnreachable(Time Now, Duration Backoff) {
  BackoffUntil =
      Now + Backoff * (1 << std::min(ConsecutiveBackoffs, MaxBackoffDoublings));
  ++ConsecutiveBackoffs;
}

} // namespace goldcrestlink::forward
