// One timer: it runs for the notice period, then polls the number of calls in
// progress every PollInterval until the exit.
#include "daemon/graceful_shutdown.h"

#include <boost/asio/io_context.hpp>

namespace goldcrestlink {

namespace {
constexpr Duration PollInterval = std::chrono::milliseconds(20);
} // namespace

GracefulShutdown::GracefulShutdown(boost::asio::io_context &InIo,
                                   ShutdownHandlers InOn)
    : Io(InIo), On(std::move(InOn)), Timer(Io) {}

void GracefulShutdown::begin(const StopSchedule &NewSchedule,
                             Duration NewFlush) {
  if (Begun)
    return;
  Begun = true;
  Schedule = NewSchedule;
  Flush = NewFlush;
  On.Announce(Schedule);
  Timer.expires_after(Schedule.AcceptUntil - Schedule.Begin);
  Timer.async_wait([this](boost::system::error_code) {
    On.StopAccepting();
    awaitDrained(Time{});
  });
}

// \p IdleSince is when a poll first found no call in progress; Time{} before
// the first poll, or if the last poll found one.
void GracefulShutdown::awaitDrained(Time IdleSince) {
  const Time Now = currentTime().Steady;
  if (On.CallsInProgress() > 0)
    IdleSince = Time{};
  else if (IdleSince == Time{})
    IdleSince = Now;
  const bool Flushed = IdleSince != Time{} && Now - IdleSince >= Flush;
  if (Flushed || Now >= Schedule.ExitAt)
    return Io.stop();
  Timer.expires_after(PollInterval);
  Timer.async_wait([this, IdleSince](boost::system::error_code) {
    awaitDrained(IdleSince);
  });
}

} // namespace goldcrestlink
