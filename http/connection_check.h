// Finds out whether a peer accepts connections.
//
//   checkConnection(Io, Endpoint, Timeout, [](ConnectionCheck Result) { ... });
#ifndef GOLDCRESTLINK_HTTP_CONNECTION_CHECK_H
#define GOLDCRESTLINK_HTTP_CONNECTION_CHECK_H

#include <functional>

#include "base/time.h"
#include "http/message.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace goldcrestlink::http {

enum class ConnectionCheck {
  Accepted,
  /// Nothing listens at the address.
  Refused,
  /// No response within the time limit, or another error.
  Unknown
};

/// Opens a connection to \p To and closes it at once. \p Done is called once,
/// on Io's thread, not from within this function. Not thread-safe.
void checkConnection(boost::asio::io_context &Io, const Endpoint &To,
                     Duration Timeout,
                     std::function<void(ConnectionCheck)> Done);

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_CONNECTION_CHECK_H
