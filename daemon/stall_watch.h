// Tells a process that it stood still: that it was stopped, or its machine
// suspended, so that what it knows and what has been waiting for it may be old.
//
//   if (Stalls.check()) discardBeliefs();   // before each message, and often
#ifndef GOLDCRESTLINK_DAEMON_STALL_WATCH_H
#define GOLDCRESTLINK_DAEMON_STALL_WATCH_H

#include <ctime>

#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe.
class StallWatch {
public:
  /// A process that is merely busy returns sooner.
  static constexpr Duration MaxGap = std::chrono::milliseconds(500);

  /// True if the last call was more than MaxGap ago.
  bool check() {
    const Duration Now = sinceBoot();
    const bool Stalled = Last != Duration(0) && Now - Last > MaxGap;
    Last = Now;
    return Stalled;
  }

private:
  // Unlike the steady clock, this one counts the time of a suspension.
  static Duration sinceBoot() {
    timespec T{};
    clock_gettime(CLOCK_BOOTTIME, &T);
    return std::chrono::duration_cast<Duration>(
        std::chrono::seconds(T.tv_sec) + std::chrono::nanoseconds(T.tv_nsec));
  }

  Duration Last{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_STALL_WATCH_H
