// One socket per check; it is closed in the handler or by the time limit.
#include "http/connection_check.h"

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace goldcrestlink::http {

void checkConnection(boost::asio::io_context &Io, const Endpoint &To,
                     Duration Timeout,
                     std::function<void(ConnectionCheck)> Done) {
  namespace asio = boost::asio;
  using Tcp = asio::ip::tcp;
  auto Stream = std::make_shared<boost::beast::tcp_stream>(Io);
  Stream->expires_after(Timeout);
  Stream->async_connect(
      Tcp::endpoint(asio::ip::make_address(To.Address), To.Port),
      [Stream, Done = std::move(Done)](boost::system::error_code Error) {
        Done(!Error ? ConnectionCheck::Accepted
             : Error == asio::error::connection_refused
                 ? ConnectionCheck::Refused
                 : ConnectionCheck::Unknown);
      });
}

} // namespace goldcrestlink::http
