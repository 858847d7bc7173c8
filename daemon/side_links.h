// The connections of one thread to sides, by upstream name or "ip:port",
// opened on first use at their declared addresses.
//
//   SideLinks L(Io, Context, Source, OnMessage);
//   L.onConfig(Declarations);          // closes what is no longer declared
//   if (SideLink *S = L.find("engine-1")) S->sendSoon(Message);
#ifndef GOLDCRESTLINK_DAEMON_SIDE_LINKS_H
#define GOLDCRESTLINK_DAEMON_SIDE_LINKS_H

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/random.h"
#include "config/declarations.h"
#include "daemon/side_link.h"

namespace goldcrestlink {

/// Not thread-safe. Holds at most one connection per declared side and peer.
class SideLinks {
public:
  /// Called with the name under which the sender was opened.
  using OnMessage =
      std::function<void(const std::string &Peer, wire::Envelope &)>;
  SideLinks(boost::asio::io_context &Io, zmq::context_t &Context,
            std::string Source, OnMessage On);
  /// Takes over new declarations: closes connections to sides that are gone or
  /// have moved.
  void onConfig(std::shared_ptr<const Declarations> Config);
  /// The connection to \p Peer, opened if need be; null if it is unknown.
  SideLink *find(const std::string &Peer);
  /// Some open connection; null if there is none.
  SideLink *any(Random &Rand);
  /// Sends what waits on any connection. To be called every few milliseconds.
  void flush();

private:
  boost::asio::io_context &Io;
  zmq::context_t &Context;
  std::string Source;
  OnMessage On;
  std::shared_ptr<const Declarations> InForce;
  std::unordered_map<std::string, std::unique_ptr<SideLink>> Links;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_SIDE_LINKS_H
