// One timer: first the notice, then a look at the calls in progress every
// PollInterval, bounded by the deadline.
#include "daemon/planned_stop.h"

#include <boost/asio/io_context.hpp>

namespace goldcrestlink {

namespace {
constexpr Duration PollInterval = std::chrono::milliseconds(20);
} // namespace

PlannedStop::PlannedStop(boost::asio::io_context &InIo, StopHandlers InOn)
    : Io(InIo), On(std::move(InOn)), Timer(Io) {}

void PlannedStop::begin(Time N, StopTimes T) {
  if (Begun)
    return;
  Begun = true;
  Times = T;
  Deadline = N + T.Longest;
  On.Announce();
  Timer.expires_after(T.Notice);
  Timer.async_wait([this](boost::system::error_code) {
    On.StopAccepting();
    awaitDrained(Time{});
  });
}

// \p EmptySince is when the last call was seen to end.
void PlannedStop::awaitDrained(Time EmptySince) {
  const Time N = presentTime().Steady;
  if (On.CallsInProgress() > 0)
    EmptySince = Time{};
  else if (EmptySince == Time{})
    EmptySince = N;
  const bool Flushed = EmptySince != Time{} && N - EmptySince >= Times.Flush;
  if (Flushed || N >= Deadline)
    return Io.stop();
  Timer.expires_after(PollInterval);
  Timer.async_wait([this, EmptySince](boost::system::error_code) {
    awaitDrained(EmptySince);
  });
}

} // namespace goldcrestlink
