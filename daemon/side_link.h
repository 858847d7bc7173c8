// A connection from this process to one side, which can be opened anew. Sends
// of attempts fail when no connection stands; other messages wait for a while.
//
//   SideLink L(Io, Context, "127.0.0.1:7000", "", OnMessage);
//   if (!L.sendNow(Attempt)) ...;  L.sendSoon(Resume);  L.flush();
#ifndef GOLDCRESTLINK_DAEMON_SIDE_LINK_H
#define GOLDCRESTLINK_DAEMON_SIDE_LINK_H

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "wire/socket.h"

namespace goldcrestlink {

/// Not thread-safe.
class SideLink {
public:
  SideLink(boost::asio::io_context &Io, zmq::context_t &Context,
           std::string Address, std::string Source,
           wire::DealerSocket::OnMessage On);
  /// Sends now; false if no connection stands.
  bool sendNow(wire::Envelope &Message);
  /// Sends now, or with one of the next flushes. The oldest waiting message
  /// is dropped when too many wait.
  void sendSoon(wire::Envelope &Message);
  /// Sends what waits. To be called every few milliseconds.
  void flush();
  /// Closes the connection and opens another. Waiting messages are dropped.
  void reset();
  const std::string &address() const { return Address; }

private:
  void open();

  boost::asio::io_context &Io;
  zmq::context_t &Context;
  std::string Address;
  std::string Source;
  wire::DealerSocket::OnMessage On;
  std::optional<wire::DealerSocket> Socket;
  std::deque<wire::Envelope> Waiting;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_SIDE_LINK_H
