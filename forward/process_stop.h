// Decides until when a call that has not run may wait at an entry that stops.
// Load: requests that wait for a place at an engine or in the queue of a plain
// service when their entry is stopped, or that arrive after that.
//
// A call is sent only if it is expected to end before the process does. A call
// whose caller waits for longer than the process lives is refused early enough
// that another entry can still serve it: half of its time is left for that.
//
//   ProcessStop Stop;
//   Stop.begin(Schedule);
//   if (!Stop.mayWait(Now, ExpectedWait, Call)) refuse();
#ifndef GOLDCRESTLINK_FORWARD_PROCESS_STOP_H
#define GOLDCRESTLINK_FORWARD_PROCESS_STOP_H

#include <optional>

#include "base/stop_schedule.h"

namespace goldcrestlink::forward {

/// What a stop has to know of a call that has not been sent.
struct UnsentCall {
  /// When its request was complete.
  Time Arrived{};
  /// When its caller or its route's timeout ends it.
  Time Deadline{};
  /// Expected time from its send to the end of its answer.
  Duration Run{};
};

/// Not thread-safe.
class ProcessStop {
public:
  /// The time allowed for an answer, as a multiple of what is expected: outputs
  /// are longer than estimated as often as not.
  static constexpr int RunFactor = 2;
  /// The same for requests that are complete only after new connections are no
  /// longer accepted. They must not be cut off even if their upstream is at
  /// work until the process ends.
  static constexpr int LateRunFactor = 4;

  // Commands.

  /// The process stops. Later calls do nothing.
  void begin(const StopSchedule &NewSchedule) {
    if (!Schedule)
      Schedule = NewSchedule;
  }

  // Queries.

  bool begun() const { return Schedule.has_value(); }
  /// Precondition: begun().
  const StopSchedule &schedule() const { return *Schedule; }
  /// Whether the time has come to answer every call whose answer has not begun.
  bool isAnswerDue(Time Now) const {
    return Schedule && Now >= Schedule->AnswerBy;
  }
  /// The latest time at which \p Call may be sent; Time::max() if the stop does
  /// not limit it. A call that its own deadline ends before AnswerBy is not
  /// limited.
  Time latestSend(const UnsentCall &Call) const;
  /// Whether \p Call can be sent after it has waited for \p Wait more.
  bool mayWait(Time Now, Duration Wait, const UnsentCall &Call) const {
    const Time Latest = latestSend(Call);
    return Latest == Time::max() || Now + Wait < Latest;
  }

private:
  std::optional<StopSchedule> Schedule;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_PROCESS_STOP_H
