// Measures the pauses between the events of one streamed answer, as its caller
// sees them: the longest one, when it ended, and where it came about.
//
//   PauseMeter Pauses;
//   Pauses.onEvents(Now, SendNumber, Delays.longestSince(Pauses.lastAt(),
//   Now)); Pauses.onUpstreamPause(Length);      // as seen beside the upstream
//   if (Pauses.longest().Length > Route.MaxPause) log(Pauses.place());
#ifndef GOLDCRESTLINK_BASE_PAUSE_METER_H
#define GOLDCRESTLINK_BASE_PAUSE_METER_H

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace goldcrestlink {

/// Where a pause came about.
enum class PausePlace {
  /// Before this process; nothing more is known.
  Upstream,
  /// The upstream made no events.
  Engine,
  /// The upstream made events that did not arrive.
  Network,
  /// The time until the stream went on at another upstream.
  Resume,
  /// This process did nothing.
  Process
};

/// Name of \p Place in logs. Thread-safe.
inline std::string_view pausePlaceName(PausePlace Place) {
  constexpr std::string_view Names[] = {"upstream", "engine", "network",
                                        "resume", "process"};
  return Names[static_cast<size_t>(Place)];
}

/// Not thread-safe. Constant size.
class PauseMeter {
public:
  struct Pause {
    Duration Length{};
    /// When the event after the pause arrived.
    Time EndedAt{};
    /// The event after the pause came from another send than the one before.
    bool BetweenSends = false;
    /// The longest time within the pause in which this process did nothing.
    Duration Idle{};
  };

  // Commands.

  /// One or more events of the send \p Send arrived. Events that arrive
  /// together count as one. \p Idle: the longest time since lastAt() in which
  /// this process did nothing. \p Now does not decrease from call to call.
  void onEvents(Time Now, uint32_t Send, Duration Idle) {
    if (LastAt != Time{} && Now - LastAt > Longest.Length)
      Longest = {Now - LastAt, Now, Send != LastSend, Idle};
    LastAt = Now;
    LastSend = Send;
  }
  /// Whether the upstream's pauses are observed beside it.
  void setObserved(bool IsObserved) { Observed = IsObserved; }
  /// The upstream made no event for \p Length.
  void onUpstreamPause(Duration Length) {
    UpstreamPause = std::max(UpstreamPause, Length);
  }

  // Queries.

  /// When the last event arrived; Time{} if there was none.
  Time lastAt() const { return LastAt; }
  /// The longest pause so far; of length zero before the second event.
  const Pause &longest() const { return Longest; }
  /// Where most of the longest pause came about.
  PausePlace place() const {
    if (Longest.BetweenSends)
      return PausePlace::Resume;
    if (2 * Longest.Idle >= Longest.Length)
      return PausePlace::Process;
    if (2 * UpstreamPause >= Longest.Length)
      return PausePlace::Engine;
    return Observed ? PausePlace::Network : PausePlace::Upstream;
  }

private:
  Pause Longest;
  Time LastAt{};
  uint32_t LastSend = 0;
  Duration UpstreamPause{};
  bool Observed = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_PAUSE_METER_H
