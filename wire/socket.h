// ZeroMQ sockets that carry Envelopes, driven by an io_context.
//
//   wire::RouterSocket R(Io, Context, "127.0.0.1:5000", OnMessage);
//   wire::DealerSocket D(Io, Context, "127.0.0.1:5000", "", OnMessage);
//   D.send(Envelope);   // false: not connected, and nothing has left
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

/// Version of the messages; peers of another version are refused.
constexpr uint32_t WireVersion = 1;
/// The largest frame that is read from a peer.
constexpr int64_t MaxFrameBytes = 8 * 1024 * 1024;

/// Parses a frame. False for garbage, truncated frames and other wire
/// versions. Thread-safe.
bool parseFrame(std::string_view Frame, Envelope &Out);

/// Fills in the version and serialises. Thread-safe.
std::string serialiseFrame(Envelope &Message);

/// The server's end: many peers, each known by an opaque identity.
/// Not thread-safe.
class RouterSocket {
public:
  using OnMessage = std::function<void(const std::string &Peer, Envelope &)>;
  /// Binds; throws std::runtime_error if the address is taken.
  RouterSocket(boost::asio::io_context &Io, zmq::context_t &Context,
               const std::string &Address, OnMessage On);
  ~RouterSocket();
  /// Sends to \p Peer; false if the peer is gone or its queue is full.
  bool send(const std::string &Peer, Envelope &Message);
  /// Frames that could not be parsed since the start.
  uint64_t badFrames() const;

  struct State;

private:
  std::shared_ptr<State> Shared;
};

/// The client's end: one peer. A message is taken only while a connection
/// stands, so that a refused send has certainly not left. Not thread-safe.
class DealerSocket {
public:
  using OnMessage = std::function<void(Envelope &)>;
  /// Starts to connect. \p Source is the local IP address to use, or empty.
  DealerSocket(boost::asio::io_context &Io, zmq::context_t &Context,
               const std::string &Address, const std::string &Source,
               OnMessage On);
  ~DealerSocket();
  /// Sends; false if no connection stands or its queue is full.
  bool send(Envelope &Message);

  struct State;

private:
  std::shared_ptr<State> Shared;
};

} // namespace goldcrestlink::wire

#endif // GOLDCRESTLINK_WIRE_SOCKET_H
