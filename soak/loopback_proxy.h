// TCP proxy on loopback between processes under test. Its links can delay
// bytes, hold them in one direction or both, reset their connections, or make
// the open connections permanently silent.
//
//   LoopbackProxy Proxy;
//   size_t Link = Proxy.addLink(Listen, Target);
//   Proxy.setFault(Link, LinkFault::HeldForward);
//   Proxy.reset(Link);
#ifndef GOLDCRESTLINK_SOAK_LOOPBACK_PROXY_H
#define GOLDCRESTLINK_SOAK_LOOPBACK_PROXY_H

#include <memory>

#include "http/message.h"

namespace goldcrestlink::soak {

/// Forward is the direction from the connecting process to the target. Silent
/// holds both directions. Held bytes arrive once the fault has ended, like
/// bytes that TCP retransmits after a network outage.
enum class LinkFault { None, Delayed, HeldForward, HeldBackward, Silent };

/// Thread-safe: connections are served on a thread owned by the proxy.
class LoopbackProxy {
public:
  /// Added latency per direction of a delayed link.
  static constexpr int DelayMs = 150;

  LoopbackProxy();
  ~LoopbackProxy();
  /// Starts to listen at \p Listen and returns the number of the link; throws
  /// boost::system::system_error if the address is in use. If the target
  /// refuses a connection, the connection to the proxy is reset. With
  /// \p MirrorRefusals the proxy refuses connections too while the target does,
  /// from when a connection to the target ends or fails.
  size_t addLink(const http::Endpoint &Listen, const http::Endpoint &Target,
                 bool MirrorRefusals = false);
  void setFault(size_t Link, LinkFault Fault);
  /// Resets the open connections.
  void reset(size_t Link);
  /// The open connections stay open but carry no more bytes; new connections
  /// work.
  void silenceOpen(size_t Link);

  struct State;

private:
  std::unique_ptr<State> Shared;
};

} // namespace goldcrestlink::soak

#endif // GOLDCRESTLINK_SOAK_LOOPBACK_PROXY_H
