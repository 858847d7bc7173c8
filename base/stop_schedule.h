// The points in time of a graceful stop, from its signal to the exit of the
// process. Whatever decides about a call while the process stops gets them.
//
//   StopSchedule S = StopSchedule::beforeKill(Now, Grace, Notice);
//   if (Now + Wait + Run > S.AnswerBy) refuse();
#ifndef GOLDCRESTLINK_BASE_STOP_SCHEDULE_H
#define GOLDCRESTLINK_BASE_STOP_SCHEDULE_H

#include <algorithm>

#include "base/time.h"

namespace goldcrestlink {

struct StopSchedule {
  /// Reserved for the process to exit before it is killed; less if the grace
  /// period is short.
  static constexpr Duration MaxExitMargin = std::chrono::milliseconds(400);
  /// Reserved for the last answers to reach their callers, also if a packet is
  /// lost and sent again; less if the stop is short.
  static constexpr Duration MaxDelivery = std::chrono::milliseconds(500);

  /// When the stop was requested.
  Time Begin{};
  /// New connections are accepted until then.
  Time AcceptUntil{};
  /// Calls whose answer has not begun are answered then at the latest.
  Time AnswerBy{};
  /// The process exits then even if answers are not complete.
  Time ExitAt{};

  /// A stop that lasts \p Total at most. Connections are accepted for
  /// \p Notice, but at most half of the time. Thread-safe.
  static StopSchedule lasting(Time Now, Duration Total, Duration Notice) {
    return {Now, Now + std::min(Notice, Total / 2),
            Now + Total - std::min(MaxDelivery, Total / 16), Now + Total};
  }
  /// A stop that ends before the process is killed, \p Grace after \p Now.
  /// AnswerBy is in the last sixth of \p Grace. Thread-safe.
  static StopSchedule beforeKill(Time Now, Duration Grace, Duration Notice) {
    return lasting(Now, Grace - std::min(MaxExitMargin, Grace / 10), Notice);
  }
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_STOP_SCHEDULE_H
