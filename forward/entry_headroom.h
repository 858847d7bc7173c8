// How long this process itself delays calls, because its machine gives it too
// little processor time. Measured by a timer that runs every few milliseconds.
//
//   Headroom.onTimer(Now);
//   if (Headroom.ownTime(Now) > Route.Objective) refuse(503);
#ifndef GOLDCRESTLINK_FORWARD_ENTRY_HEADROOM_H
#define GOLDCRESTLINK_FORWARD_ENTRY_HEADROOM_H

#include <deque>

#include "base/time.h"

namespace goldcrestlink::forward {

/// Not thread-safe. Memory is bounded by Window / MinGap gaps.
class EntryHeadroom {
public:
  // Commands.

  /// The timer has run. \p Now does not decrease from call to call.
  void onTimer(Time Now);

  // Queries.

  /// Time that this process is expected to add to a call that arrives now; zero
  /// while it gets the processor time that it needs.
  Duration ownTime(Time Now) const;

private:
  // A time between two runs of the timer that was too long.
  struct Gap {
    Time EndedAt{};
    Duration Length{};
  };

  Time LastAt{};
  std::deque<Gap> Gaps;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_ENTRY_HEADROOM_H
