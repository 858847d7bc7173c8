// The order of a planned stop: not ready at once, but serving until callers
// have noticed; then no new connections; then the end, once the last answer has
// left or the time is over.
//
//   PlannedStop Stop(Io, {StopNotice, StopFlush, Longest},
//                    {Announce, StopAccepting, CallsInProgress});
//   Stop.begin(Now);     // Io.stop() is called when all is done
#ifndef GOLDCRESTLINK_DAEMON_PLANNED_STOP_H
#define GOLDCRESTLINK_DAEMON_PLANNED_STOP_H

#include <functional>

#include <boost/asio/steady_timer.hpp>

#include "base/time.h"

namespace goldcrestlink {

struct StopTimes {
  /// How long new connections are still served.
  Duration Notice{};
  /// For the last answers to leave once no call is in progress.
  Duration Flush{};
  /// From the beginning until the process ends in any case.
  Duration Longest{};
};

struct StopHandlers {
  std::function<void()> Announce;
  std::function<void()> StopAccepting;
  std::function<size_t()> CallsInProgress;
};

/// For the thread of its io_context.
class PlannedStop {
public:
  PlannedStop(boost::asio::io_context &Io, StopHandlers On);
  /// Later calls do nothing.
  void begin(Time N, StopTimes T);
  bool begun() const { return Begun; }

private:
  void awaitDrained(Time EmptySince);

  boost::asio::io_context &Io;
  StopHandlers On;
  StopTimes Times;
  boost::asio::steady_timer Timer;
  Time Deadline{};
  bool Begun = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_PLANNED_STOP_H
