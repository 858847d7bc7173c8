// The connections of one thread to sides, by upstream name or "ip:port". Each
// is opened on first use; a named upstream's at its declared address.
//
//   SideConnectionPool Sides(Io, Context, SourceAddress, OnMessage);
//   Sides.onConfig(Declarations);      // closes undeclared connections
//   if (SideConnection *Side = Sides.find("engine-1"))
//     Side->sendOrQueue(Message);
#ifndef GOLDCRESTLINK_DAEMON_SIDE_CONNECTION_POOL_H
#define GOLDCRESTLINK_DAEMON_SIDE_CONNECTION_POOL_H

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/random.h"
#include "config/declarations.h"
#include "daemon/side_connection.h"

namespace goldcrestlink {

/// Not thread-safe. Holds at most one connection per declared side and per
/// "ip:port".
class SideConnectionPool {
public:
  /// Called for each message received. \p Peer is the name that was passed to
  /// find().
  using OnMessage =
      std::function<void(const std::string &Peer, wire::Envelope &)>;
  SideConnectionPool(boost::asio::io_context &Io, zmq::context_t &Context,
                     std::string SourceAddress, OnMessage MessageHandler);
  /// Applies new declarations: closes the connections whose name is no longer
  /// declared or is declared at another address, and those by "ip:port".
  void onConfig(std::shared_ptr<const Declarations> Config);
  /// The connection to \p Peer, opened if necessary; null if \p Peer is neither
  /// declared nor an "ip:port".
  SideConnection *find(const std::string &Peer);
  /// A random connection of those opened so far; null if there is none.
  SideConnection *any(Random &Rand);
  /// Sends the queued messages of all connections. To be called every few
  /// milliseconds.
  void flush();

private:
  boost::asio::io_context &Io;
  zmq::context_t &Context;
  std::string SourceAddress;
  OnMessage MessageHandler;
  std::shared_ptr<const Declarations> CurrentConfig;
  std::unordered_map<std::string, std::unique_ptr<SideConnection>> Connections;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_SIDE_CONNECTION_POOL_H
