// The time during which a process has run. Replies that arrive while it gets no
// processor time wait in the kernel, so their time-outs are judged by this time
// and only after the event loop has had the chance to handle them.
//
//   Clock.onTimer(Now);
//   Time Asked = Clock.at(Now);
//   if (Clock.timeLeft(Now, Asked, Timeout) == Duration(0)) giveUp();
#ifndef GOLDCRESTLINK_BASE_RUNNING_CLOCK_H
#define GOLDCRESTLINK_BASE_RUNNING_CLOCK_H

#include <algorithm>

#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe. Constant size.
class RunningClock {
public:
  /// What counts of an interval of the timer. A longer one is a pause.
  static constexpr Duration MaxStep = std::chrono::milliseconds(20);
  /// After a pause, the running time in which what has arrived is handled.
  static constexpr Duration DrainTime = std::chrono::milliseconds(40);

  /// The timer, which runs every 10 ms, has run. \p Now does not decrease from
  /// call to call.
  void onTimer(Time Now) {
    const Time Running = at(Now);
    if (LastAt != Time{} && Now - LastAt > MaxStep)
      DrainedAt = Running + DrainTime;
    Paused = Now - Running;
    LastAt = Now;
  }

  /// The running time at \p Now: it advances with \p Now, except in pauses.
  Time at(Time Now) const {
    const Duration Step =
        LastAt == Time{} ? Duration(0) : std::max(Duration(0), Now - LastAt);
    return Now - Paused - std::max(Duration(0), Step - MaxStep);
  }

  /// The running time left until a question of the running time \p Asked counts
  /// as unanswered; zero if it does. At least \p Timeout after \p Asked, not
  /// before the end of DrainTime, and at most twice \p Timeout, so that it ends
  /// if pauses follow each other closely.
  Duration timeLeft(Time Now, Time Asked, Duration Timeout) const {
    const Time Due =
        std::clamp(DrainedAt, Asked + Timeout, Asked + 2 * Timeout);
    return std::max(Duration(0), Due - at(Now));
  }

private:
  Time LastAt{};
  // The end of DrainTime after the last pause, in running time.
  Time DrainedAt{};
  Duration Paused{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_RUNNING_CLOCK_H
