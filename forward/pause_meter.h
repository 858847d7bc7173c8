// Measures the pauses between the events of one answer, as its caller sees
// them: the longest one, when it ended, and whether the events on both sides of
// it came from one send.
//
//   PauseMeter Pauses;
//   Pauses.onEvents(Now, SendNumber);
//   if (Pauses.longest().Length > Route.MaxPause) ...
#ifndef GOLDCRESTLINK_FORWARD_PAUSE_METER_H
#define GOLDCRESTLINK_FORWARD_PAUSE_METER_H

#include <cstdint>

#include "base/time.h"

namespace goldcrestlink::forward {

/// Not thread-safe. Constant size.
class PauseMeter {
public:
  struct Pause {
    Duration Length{};
    /// When the event after the pause arrived.
    Time EndedAt{};
    /// The event after the pause came from another send than the one before:
    /// the pause is the time in which the stream was taken up elsewhere.
    bool BetweenSends = false;
  };

  // Commands.

  /// One or more events of the send \p Send arrived. Events that arrive
  /// together count as one. \p Now does not decrease from call to call.
  void onEvents(Time Now, uint32_t Send) {
    if (LastAt != Time{} && Now - LastAt > Longest.Length)
      Longest = {Now - LastAt, Now, Send != LastSend};
    LastAt = Now;
    LastSend = Send;
  }

  // Queries.

  /// The longest pause so far; of length zero before the second event.
  const Pause &longest() const { return Longest; }

private:
  Pause Longest;
  Time LastAt{};
  uint32_t LastSend = 0;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_PAUSE_METER_H
