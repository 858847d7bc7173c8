// Health of one upstream as seen by this entry's own calls: the share of recent
// calls that failed, and whether the upstream accepts connections.
//
//   UpstreamHealth H;
//   H.onOutcome(Now, CallOutcome::Failed);
//   H.onUnreachable(Now, Backoff);
//   if (H.usable(Now)) Cost += H.failureShare(Now) * FailureCost;
#ifndef GOLDCRESTLINK_FORWARD_UPSTREAM_HEALTH_H
#define GOLDCRESTLINK_FORWARD_UPSTREAM_HEALTH_H

#include "base/time.h"

namespace goldcrestlink::forward {

/// What a call says of the upstream that it was sent to.
enum class CallOutcome {
  Answered,
  /// The upstream failed, refused the call or did not answer in time.
  Failed,
  /// The call was given up for reasons of its caller.
  Unknown
};

/// Not thread-safe.
class UpstreamHealth {
public:
  // Commands.

  void onOutcome(Time Now, CallOutcome Outcome);
  /// The upstream refused a connection or did not accept it in time. It is not
  /// used for \p Backoff; each consecutive failure doubles the time, up to
  /// eight times \p Backoff.
  void onUnreachable(Time Now, Duration Backoff);
  /// Another incarnation answers at the upstream's address; this one is never
  /// used again.
  void onReplaced() { Replaced = true; }

  // Queries.

  bool usable(Time Now) const { return !Replaced && Now >= BackoffUntil; }
  /// Weighted share of recent calls that failed, from 0 to 1. Decays with time
  /// when there are no calls.
  double failureShare(Time Now) const;

private:
  double Failures = 0;
  Time FailuresUpdated{};
  Time BackoffUntil{};
  unsigned ConsecutiveBackoffs = 0;
  bool Replaced = false;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_UPSTREAM_HEALTH_H
