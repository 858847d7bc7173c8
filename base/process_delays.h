// Times in which this process did nothing although it had something to do: it
// was stopped, or its machine was busy. Noticed by a timer that runs every few
// milliseconds.
//
//   Delays.onTimer(Now);
//   Duration Idle = Delays.longestSince(LastEventAt, Now);
#ifndef GOLDCRESTLINK_BASE_PROCESS_DELAYS_H
#define GOLDCRESTLINK_BASE_PROCESS_DELAYS_H

#include <algorithm>

#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe. Constant size: keeps the last delay only.
class ProcessDelays {
public:
  /// Shorter times count as usual.
  static constexpr Duration MinDelay = std::chrono::milliseconds(50);

  /// The timer has run. \p Now does not decrease from call to call.
  void onTimer(Time Now) {
    if (LastAt != Time{} && Now - LastAt >= MinDelay) {
      Length = Now - LastAt;
      EndedAt = Now;
    }
    LastAt = Now;
  }

  /// The longest delay that had not ended by \p From, as far as it lies after
  /// \p From; zero if there was none.
  Duration longestSince(Time From, Time Now) const {
    if (LastAt == Time{})
      return Duration(0);
    const Duration Present = Now - std::max(From, LastAt);
    const Duration Last =
        EndedAt > From ? std::min(Length, EndedAt - From) : Duration(0);
    const Duration Out = std::max(Present, Last);
    return Out >= MinDelay ? Out : Duration(0);
  }

private:
  Time LastAt{};
  Time EndedAt{};
  Duration Length{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_PROCESS_DELAYS_H
