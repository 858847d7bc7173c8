// Runs a graceful shutdown: the process reports that it is not ready but still
// serves until callers have noticed; then accepts no new connections; then the
// io_context is stopped once the last response has been sent or the time limit
// is reached. What decides about calls gets the schedule when the stop begins,
// and has answered them all before its end.
//
//   GracefulShutdown Shutdown(Io, {Announce, StopAccepting, CallsInProgress});
//   Shutdown.begin(StopSchedule::beforeKill(Now, Grace, Notice), Flush);
#ifndef GOLDCRESTLINK_DAEMON_GRACEFUL_SHUTDOWN_H
#define GOLDCRESTLINK_DAEMON_GRACEFUL_SHUTDOWN_H

#include <functional>

#include <boost/asio/steady_timer.hpp>

#include "base/stop_schedule.h"

namespace goldcrestlink {

/// All are called on the thread of the io_context, in this order.
struct ShutdownHandlers {
  /// Reports that the process is not ready, and tells those who decide about
  /// calls when it ends.
  std::function<void(const StopSchedule &)> Announce;
  std::function<void()> StopAccepting;
  std::function<size_t()> CallsInProgress;
};

/// Not thread-safe: to be used on the thread of its io_context.
class GracefulShutdown {
public:
  GracefulShutdown(boost::asio::io_context &Io, ShutdownHandlers On);
  /// Starts the shutdown, at NewSchedule.Begin; later calls do nothing.
  /// \p NewFlush is the time to send the last responses once no call is in
  /// progress.
  void begin(const StopSchedule &NewSchedule, Duration NewFlush);
  bool begun() const { return Begun; }

private:
  void awaitDrained(Time IdleSince);

  boost::asio::io_context &Io;
  ShutdownHandlers On;
  StopSchedule Schedule;
  Duration Flush{};
  boost::asio::steady_timer Timer;
  bool Begun = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_GRACEFUL_SHUTDOWN_H
