// How an entry's own calls to one upstream have fared lately: the share that
// failed, and whether it took connections.
//
//   UpstreamHealth H;
//   H.onOutcome(N, Failed);
//   H.onUnreachable(N, Pause);
//   if (H.usable(N)) cost += H.failureShare(N) * ...;
#ifndef GOLDCRESTLINK_FORWARD_UPSTREAM_HEALTH_H
#define GOLDCRESTLINK_FORWARD_UPSTREAM_HEALTH_H

#include "base/time.h"

namespace goldcrestlink::forward {

/// Not thread-safe.
class UpstreamHealth {
public:
  // Commands.

  void onOutcome(Time N, bool Failed);
  /// It refused a connection or did not take one. It is left alone for
  /// \p Pause, and twice as long each time in a row, up to eight times.
  void onUnreachable(Time N, Duration Pause);
  /// Another incarnation answers at its address; it is never used again.
  void onReplaced() { Replaced = true; }

  // Queries.

  bool usable(Time N) const { return !Replaced && N >= PausedUntil; }
  /// From 0 to 1; fades when there are no calls.
  double failureShare(Time N) const;

private:
  double Failures = 0;
  Time FailuresAt{};
  Time PausedUntil{};
  unsigned Pauses = 0;
  bool Replaced = false;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_UPSTREAM_HEALTH_H
