// One socket per check; it is closed in the handler. When the time limit ends,
// the connect is cancelled unless its result waits in the kernel.
#include "http/connection_check.h"

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/socket_ready.h"

namespace goldcrestlink::http {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {
struct PendingCheck {
  explicit PendingCheck(asio::io_context &Io) : Socket(Io), Timer(Io) {}
  Tcp::socket Socket;
  asio::steady_timer Timer;
};

ConnectionCheck resultOf(ErrorCode Error) {
  if (!Error)
    return ConnectionCheck::Accepted;
  return Error == asio::error::connection_refused ? ConnectionCheck::Refused
                                                  : ConnectionCheck::Unknown;
}
} // namespace

void checkConnection(asio::io_context &Io, const Endpoint &To, Duration Timeout,
                     std::function<void(ConnectionCheck)> Done) {
  auto Check = std::make_shared<PendingCheck>(Io);
  Check->Timer.expires_after(Timeout);
  Check->Timer.async_wait([Check](ErrorCode Error) {
    if (Error || !Check->Socket.is_open() ||
        isSocketReady(Check->Socket.native_handle(), SocketEvent::Connected))
      return;
    ErrorCode Ignored;
    Check->Socket.cancel(Ignored);
  });
  Check->Socket.async_connect(
      Tcp::endpoint(asio::ip::make_address(To.Address), To.Port),
      [Check, Done = std::move(Done)](ErrorCode Error) {
        Check->Timer.cancel();
        ErrorCode Ignored;
        Check->Socket.close(Ignored);
        Done(resultOf(Error));
      });
}

} // namespace goldcrestlink::http
