// Asks the kernel what has arrived at a socket. After a pause of the process, a
// timer may run before the event loop has learnt of it.
#ifndef GOLDCRESTLINK_HTTP_SOCKET_READY_H
#define GOLDCRESTLINK_HTTP_SOCKET_READY_H

#include <poll.h>

namespace goldcrestlink::http {

/// What a pending operation on a socket waits for.
enum class SocketEvent : short { Readable = POLLIN, Connected = POLLOUT };

/// Whether \p Event, or a failure of the connection, waits to be handled.
/// Thread-safe.
inline bool isSocketReady(int Handle, SocketEvent Event) {
  pollfd Asked = {Handle, static_cast<short>(Event), 0};
  return poll(&Asked, 1, 0) > 0;
}

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_SOCKET_READY_H
