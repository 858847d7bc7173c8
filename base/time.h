// Time types. Decisions never read a clock: the caller passes a Now.
//
//   void SideMachine::onTimer(const Now &N);   // N.Steady, N.Wall
#ifndef GOLDCRESTLINK_BASE_TIME_H
#define GOLDCRESTLINK_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace goldcrestlink {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// The present, on both clocks. Deadlines and leases use Steady; only the
/// issue times of idempotency keys are compared with Wall.
struct Now {
  Time Steady;
  WallTime Wall;
};

/// Reads both clocks. Only the shells around the state machines call this.
inline Now presentTime() {
  return {
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()),
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())};
}

/// A duration in seconds as a floating-point number.
inline double seconds(Duration D) {
  return static_cast<double>(D.count()) / 1e6;
}

/// A duration from a number of seconds; fractions below 1 us are dropped.
inline Duration fromSeconds(double S) {
  return Duration(static_cast<int64_t>(S * 1e6));
}

/// Milliseconds since the Unix epoch.
inline int64_t unixMillis(WallTime T) {
  return T.time_since_epoch().count() / 1000;
}

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_TIME_H
