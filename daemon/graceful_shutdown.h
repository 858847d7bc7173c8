// Runs a graceful shutdown: the process reports that it is not ready but still
// serves until callers have noticed; then accepts no new connections; then the
// io_context is stopped once the last response has been sent or the time limit
// is reached.
//
//   GracefulShutdown Shutdown(Io, {Announce, StopAccepting, CallsInProgress});
//   Shutdown.begin(Now, {Notice, Flush, MaxDuration});
#ifndef GOLDCRESTLINK_DAEMON_GRACEFUL_SHUTDOWN_H
#define GOLDCRESTLINK_DAEMON_GRACEFUL_SHUTDOWN_H

#include <functional>

#include <boost/asio/steady_timer.hpp>

#include "base/time.h"

namespace goldcrestlink {

struct ShutdownTimes {
  /// How long new connections are still accepted after begin().
  Duration Notice{};
  /// Time to send the last responses once no call is in progress.
  Duration Flush{};
  /// From begin() until the io_context is stopped even if calls are open.
  Duration MaxDuration{};
};

/// All are called on the thread of the io_context, in this order.
struct ShutdownHandlers {
  /// Reports that the process is not ready.
  std::function<void()> Announce;
  std::function<void()> StopAccepting;
  std::function<size_t()> CallsInProgress;
};

/// Not thread-safe: to be used on the thread of its io_context.
class GracefulShutdown {
public:
  GracefulShutdown(boost::asio::io_context &Io, ShutdownHandlers On);
  /// Starts the shutdown; later calls do nothing.
  void begin(Time Now, ShutdownTimes InTimes);
  bool begun() const { return Begun; }

private:
  void awaitDrained(Time IdleSince);

  boost::asio::io_context &Io;
  ShutdownHandlers On;
  ShutdownTimes Times;
  boost::asio::steady_timer Timer;
  Time Deadline{};
  bool Begun = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_GRACEFUL_SHUTDOWN_H
