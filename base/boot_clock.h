// A clock that keeps running while the machine is suspended, unlike the steady
// clock. Ages that must not be understated are measured with it.
//
//   const BootTime AskedAt = bootTime();
//   const Duration Age = bootTime() - AskedAt;
#ifndef GOLDCRESTLINK_BASE_BOOT_CLOCK_H
#define GOLDCRESTLINK_BASE_BOOT_CLOCK_H

#include <ctime>

#include "base/time.h"

namespace goldcrestlink {

/// The clock of BootTime. A type of its own, so that its times cannot be
/// compared with those of the steady clock.
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, Duration>;

  static time_point now() {
    timespec T{};
    clock_gettime(CLOCK_BOOTTIME, &T);
    return time_point(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(T.tv_sec) + std::chrono::nanoseconds(T.tv_nsec)));
  }
};

using BootTime = BootClock::time_point;

/// Reads the clock. Called only by the I/O layer, never by a state machine.
inline BootTime bootTime() { return BootClock::now(); }

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_BOOT_CLOCK_H
