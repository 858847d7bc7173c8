// Runs an event loop whose handlers may throw: a fault in the handling of one
// request does not end the process.
//
//   runGuarded(Io, [&](const std::string &Why) { ... });
#ifndef GOLDCRESTLINK_DAEMON_GUARDED_LOOP_H
#define GOLDCRESTLINK_DAEMON_GUARDED_LOOP_H

#include <functional>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace goldcrestlink {

/// Runs \p Io until it is stopped or out of work. An exception ends only the
/// handler that throws it and is passed to \p OnException, on this thread.
void runGuarded(boost::asio::io_context &Io,
                const std::function<void(const std::string &)> &OnException);

/// Large blocks go back to the system when they are freed, so that resident
/// memory follows the memory budget. To be called before other threads start.
void boundHeap();

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_GUARDED_LOOP_H
