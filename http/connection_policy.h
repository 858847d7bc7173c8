// Decides which connections a server gives up: those whose time has run out,
// and the one that makes room for others. A connection on which bytes of its
// client wait in the kernel is kept, since they may be a whole request: they
// stay there unread as long as the process gets no processor time.
//
//   switch (stepAtDeadline(Now, Deadline, Stage, HasArrived)) { ... }
#ifndef GOLDCRESTLINK_HTTP_CONNECTION_POLICY_H
#define GOLDCRESTLINK_HTTP_CONNECTION_POLICY_H

#include <cstdint>

#include "base/time.h"
#include "http/close_log.h"

namespace goldcrestlink::http {

/// What to do with a connection that waits for its client.
enum class DeadlineStep : uint8_t {
  /// Its time has not run out, or bytes have arrived.
  Wait,
  /// Nothing of a request has arrived, or it was refused already.
  Close,
  /// A part of a request has arrived: its client is told that it has not run.
  Refuse
};

/// \p HasArrived: bytes of the client wait in the kernel. Thread-safe.
DeadlineStep stepAtDeadline(Time Now, Time Deadline, ConnectionStage Stage,
                            bool HasArrived);

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_CONNECTION_POLICY_H
