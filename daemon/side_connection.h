// A connection from this process to one side, which can be reopened; entries
// also use it to reach other entries. A message is either sent only if the
// connection is up, as attempts are, or queued until the connection takes it.
//
//   SideConnection Side(Io, Context, "127.0.0.1:7000", "", OnMessage);
//   if (!Side.trySend(Attempt)) ...;
//   Side.sendOrQueue(Resume);  Side.flush();
#ifndef GOLDCRESTLINK_DAEMON_SIDE_CONNECTION_H
#define GOLDCRESTLINK_DAEMON_SIDE_CONNECTION_H

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "wire/socket.h"

namespace goldcrestlink {

/// Not thread-safe.
class SideConnection {
public:
  /// Connects to \p Address from the local address \p SourceAddress, or from
  /// any if that is empty.
  SideConnection(boost::asio::io_context &Io, zmq::context_t &Context,
                 std::string Address, std::string SourceAddress,
                 wire::DealerSocket::OnMessage MessageHandler);
  /// Sends at once; returns false if the connection is down or ZeroMQ's queue
  /// is full.
  bool trySend(wire::Envelope &Message);
  /// Sends at once, or queues the message for one of the next flushes. The
  /// oldest queued message is dropped when the queue is full.
  void sendOrQueue(wire::Envelope &Message);
  /// Sends queued messages. To be called every few milliseconds.
  void flush();
  /// Closes the connection and opens a new one. Queued messages are dropped.
  void reset();
  const std::string &address() const { return Address; }

private:
  void open();

  boost::asio::io_context &Io;
  zmq::context_t &Context;
  std::string Address;
  std::string SourceAddress;
  wire::DealerSocket::OnMessage MessageHandler;
  // Empty while it could not be opened; the next attempt is at NextOpen.
  std::optional<wire::DealerSocket> Socket;
  Time NextOpen{};
  std::deque<wire::Envelope> Queued;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_SIDE_CONNECTION_H
