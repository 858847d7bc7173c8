// A TCP relay on loopback between processes under test, whose links can be
// slowed, held in one direction or both, reset, or left silent for good.
//
//   LoopbackProxy P;
//   size_t Link = P.addLink(Listen, Target);
//   P.setFault(Link, LinkFault::HeldForward);
//   P.reset(Link);
#ifndef GOLDCRESTLINK_SOAK_LOOPBACK_PROXY_H
#define GOLDCRESTLINK_SOAK_LOOPBACK_PROXY_H

#include <memory>

#include "http/message.h"

namespace goldcrestlink::soak {

/// Forward is from the side that connects. Bytes that are held arrive once the
/// fault is over, as the network delivers what it has to send again.
enum class LinkFault { None, Delayed, HeldForward, HeldBack, Silent };

/// Thread-safe: relays run on a thread of the proxy's own.
class LoopbackProxy {
public:
  /// How much later bytes arrive on a delayed link.
  static constexpr int DelayMs = 150;

  LoopbackProxy();
  ~LoopbackProxy();
  /// Listens at once; throws boost::system::system_error if the address is
  /// taken. A connection whose target refuses it is reset.
  size_t addLink(const http::Endpoint &Listen, const http::Endpoint &Target);
  void setFault(size_t Link, LinkFault F);
  /// Resets the connections that are open.
  void reset(size_t Link);
  /// The connections that are open pass nothing any more; new ones work.
  void silenceOpen(size_t Link);

  struct State;

private:
  std::unique_ptr<State> Shared;
};

} // namespace goldcrestlink::soak

#endif // GOLDCRESTLINK_SOAK_LOOPBACK_PROXY_H
