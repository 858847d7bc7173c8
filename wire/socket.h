// ZeroMQ sockets that carry Envelopes, driven by an io_context.
//
//   wire::RouterSocket R(Io, Context, "127.0.0.1:5000", OnMessage);
//   wire::DealerSocket D(Io, Context, "127.0.0.1:5000", "", OnMessage);
//   D.send(Envelope);   // false: nothing was sent
#ifndef GOLDCRESTLINK_WIRE_SOCKET_H
#define GOLDCRESTLINK_WIRE_SOCKET_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "wire/generated/messages.pb.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio
namespace zmq {
class context_t;
} // namespace zmq

namespace goldcrestlink::wire {

/// Version of the protocol. Frames of another version are rejected.
constexpr uint32_t WireVersion = 1;
/// The largest frame that is accepted from a peer.
constexpr int64_t MaxFrameBytes = 8 * 1024 * 1024;

/// Parses a frame. False if the frame is malformed or truncated, has another
/// wire version, or carries no message. Thread-safe.
bool parseFrame(std::string_view Frame, Envelope &Out);

/// Sets the wire version of \p Message and serialises it. Thread-safe.
std::string serialiseFrame(Envelope &Message);

/// The listening end: many peers, each with an opaque identity that is passed
/// to the handler and names the receiver in send(). The handler runs on Io's
/// thread. Not thread-safe.
class RouterSocket {
public:
  using OnMessage = std::function<void(const std::string &Peer, Envelope &)>;
  /// Binds; throws std::runtime_error if the address is taken.
  RouterSocket(boost::asio::io_context &Io, zmq::context_t &Context,
               const std::string &Address, OnMessage Handler);
  ~RouterSocket();
  /// Sends to \p Peer; false if the peer has disconnected or its queue is
  /// full.
  bool send(const std::string &Peer, Envelope &Message);
  /// Number of frames since the start that could not be parsed.
  uint64_t badFrames() const;

  struct State;

private:
  std::shared_ptr<State> Shared;
};

/// The connecting end: one peer. A message is accepted only while a connection
/// is established, so a message that send() rejects has not been sent. The
/// handler runs on Io's thread. Not thread-safe.
class DealerSocket {
public:
  using OnMessage = std::function<void(Envelope &)>;
  /// Starts to connect, and reconnects after a loss of the connection.
  /// \p Source is the local IP address to use; empty: any.
  DealerSocket(boost::asio::io_context &Io, zmq::context_t &Context,
               const std::string &Address, const std::string &Source,
               OnMessage Handler);
  ~DealerSocket();
  /// Sends; false if no connection is established or its queue is full.
  bool send(Envelope &Message);

  struct State;

private:
  std::shared_ptr<State> Shared;
};

} // namespace goldcrestlink::wire

#endif // GOLDCRESTLINK_WIRE_SOCKET_H
