// Tells a process that it stood still: that it was stopped, or its machine
// suspended, so that what it knows and what has been waiting for it may be old.
//
//   if (Stalls.check()) discardBeliefs();   // before each message, and often
#ifndef GOLDCRESTLINK_DAEMON_STALL_WATCH_H
#define GOLDCRESTLINK_DAEMON_STALL_WATCH_H

#include <optional>

#include "base/boot_clock.h"

namespace goldcrestlink {

/// Not thread-safe.
class StallWatch {
public:
  /// A process that is merely busy returns sooner.
  static constexpr Duration MaxGap = std::chrono::milliseconds(500);

  /// True if the last call was more than MaxGap ago.
  bool check() {
    const BootTime Now = bootTime();
    const bool Stalled = Last && Now - *Last > MaxGap;
    Last = Now;
    return Stalled;
  }

private:
  // Unlike the steady clock, this one counts the time of a suspension.
  std::optional<BootTime> Last;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_STALL_WATCH_H
