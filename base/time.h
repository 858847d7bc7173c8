// Time types. State machines never read a clock; their callers pass the current
// time.
//
//   Machine.onTimer(Now);   // Now.Steady, Now.Wall
#ifndef GOLDCRESTLINK_BASE_TIME_H
#define GOLDCRESTLINK_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace goldcrestlink {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The current time on both clocks. Deadlines and leases use Steady; only the
/// issue times of idempotency keys are compared with Wall.
struct CurrentTime {
  Time Steady;
  WallTime Wall;
};

/// Reads both clocks. Called only by the I/O layer, never by a state machine.
inline CurrentTime currentTime() {
  return {
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()),
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())};
}

/// Converts \p Length to seconds.
inline double seconds(Duration Length) {
  return static_cast<double>(Length.count()) / 1e6;
}

/// Converts \p Seconds to a duration; fractions below 1 us are dropped.
inline Duration fromSeconds(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * 1e6));
}

/// Milliseconds since the Unix epoch.
inline int64_t unixMillis(WallTime At) {
  return At.time_since_epoch().count() / 1000;
}

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_TIME_H
