// ZeroMQ's file descriptor is edge-triggered, so after each wake-up and after
// each send all pending messages are read. One wake-up handles at most
// MaxMessagesPerWakeUp of them; the rest is posted, so that other work of the
// thread runs in between. ZeroMQ's high-water marks bound the queues.
#include "wire/socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

namespace goldcrestlink::wire {

namespace asio = boost::asio;

namespace {
constexpr int MaxMessagesPerWakeUp = 256;
// Per peer and direction.
constexpr int MaxQueuedMessages = 8192;
// The delay before a reconnect starts at the first value and doubles up to the
// second.
constexpr int ReconnectMs = 50;
constexpr int ReconnectMaxMs = 1000;
} // namespace

bool parseFrame(std::string_view Frame, Envelope &Out) {
  return Out.ParseFromArray(Frame.data(), static_cast<int>(Frame.size())) &&
         Out.wire_version() == WireVersion &&
         Out.body_case() != Envelope::BODY_NOT_SET;
}

std::string serialiseFrame(Envelope &Message) {
  Message.set_wire_version(WireVersion);
  return Message.SerializeAsString();
}

namespace {

std::string_view viewOf(const zmq::message_t &Message) {
  return {static_cast<const char *>(Message.data()), Message.size()};
}

// Base of both socket classes: the socket, its descriptor and the read loop.
class SocketBase : public std::enable_shared_from_this<SocketBase> {
public:
  SocketBase(asio::io_context &Io, zmq::context_t &Context,
             zmq::socket_type Type)
      : Io(Io), Socket(Context, Type), Descriptor(Io) {
    Socket.set(zmq::sockopt::linger, 0);
    Socket.set(zmq::sockopt::sndhwm, MaxQueuedMessages);
    Socket.set(zmq::sockopt::rcvhwm, MaxQueuedMessages);
    Socket.set(zmq::sockopt::maxmsgsize, MaxFrameBytes);
  }
  virtual ~SocketBase() = default;

  void start() {
    Descriptor.assign(Socket.get(zmq::sockopt::fd));
    scheduleRead();
    waitForEvents();
  }

  void stop() {
    Stopped = true;
    Descriptor.release();
    Socket.close();
  }

  // Posts a read. Needed after a send, since a send may consume the edge that
  // signals incoming messages.
  void scheduleRead() {
    if (ReadScheduled || Stopped)
      return;
    ReadScheduled = true;
    asio::post(Io, [Self = shared_from_this()] {
      Self->ReadScheduled = false;
      Self->readMessages();
    });
  }

  zmq::socket_t &socket() { return Socket; }
  bool stopped() const { return Stopped; }
  uint64_t badFrames() const { return BadFrames; }

protected:
  // Reads and handles one message; false if there is none.
  virtual bool receiveOne() = 0;
  void countBadFrame() { ++BadFrames; }

private:
  void waitForEvents() {
    Descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [Self = shared_from_this()](boost::system::error_code Error) {
          if (Error || Self->Stopped)
            return;
          Self->readMessages();
          if (!Self->Stopped)
            Self->waitForEvents();
        });
  }

  void readMessages() {
    for (int I = 0; I < MaxMessagesPerWakeUp; ++I) {
      if (Stopped)
        return;
      if (!(Socket.get(zmq::sockopt::events) & ZMQ_POLLIN) || !receiveOne())
        return;
    }
    scheduleRead();
  }

  asio::io_context &Io;
  zmq::socket_t Socket;
  asio::posix::stream_descriptor Descriptor;
  uint64_t BadFrames = 0;
  bool ReadScheduled = false;
  bool Stopped = false;
};

bool sendPart(zmq::socket_t &Socket, std::string_view Data, bool More) {
  zmq::message_t Part(Data.data(), Data.size());
  auto Flags = zmq::send_flags::dontwait;
  if (More)
    Flags = Flags | zmq::send_flags::sndmore;
  try {
    return Socket.send(Part, Flags).has_value();
  } catch (const zmq::error_t &) {
    return false; // EHOSTUNREACH: the peer has disconnected from the router.
  }
}

} // namespace

struct RouterSocket::State : SocketBase {
  State(asio::io_context &Io, zmq::context_t &Context, OnMessage Handler)
      : SocketBase(Io, Context, zmq::socket_type::router),
        Handler(std::move(Handler)) {
    socket().set(zmq::sockopt::router_mandatory, 1);
  }

  bool receiveOne() override {
    zmq::message_t Peer;
    if (!socket().recv(Peer, zmq::recv_flags::dontwait))
      return false;
    zmq::message_t Frame;
    bool Malformed = !Peer.more();
    if (!Malformed && !socket().recv(Frame, zmq::recv_flags::dontwait))
      return false;
    while (!Malformed && Frame.more()) {
      zmq::message_t Rest;
      if (!socket().recv(Rest, zmq::recv_flags::dontwait) || !Rest.more())
        Malformed = true;
    }
    Envelope Message;
    if (Malformed || !parseFrame(viewOf(Frame), Message))
      countBadFrame();
    else
      Handler(std::string(viewOf(Peer)), Message);
    return true;
  }

  OnMessage Handler;
};

RouterSocket::RouterSocket(asio::io_context &Io, zmq::context_t &Context,
                           const std::string &Address, OnMessage Handler)
    : Shared(std::make_shared<State>(Io, Context, std::move(Handler))) {
  try {
    Shared->socket().bind("tcp://" + Address);
  } catch (const zmq::error_t &Error) {
    throw std::runtime_error("cannot listen on " + Address + ": " +
                             Error.what());
  }
  Shared->start();
}

RouterSocket::~RouterSocket() { Shared->stop(); }

bool RouterSocket::send(const std::string &Peer, Envelope &Message) {
  const std::string Frame = serialiseFrame(Message);
  const bool Sent = sendPart(Shared->socket(), Peer, true) &&
                    sendPart(Shared->socket(), Frame, false);
  Shared->scheduleRead();
  return Sent;
}

uint64_t RouterSocket::badFrames() const { return Shared->badFrames(); }

struct DealerSocket::State : SocketBase {
  State(asio::io_context &Io, zmq::context_t &Context, OnMessage Handler)
      : SocketBase(Io, Context, zmq::socket_type::dealer),
        Handler(std::move(Handler)) {
    socket().set(zmq::sockopt::immediate, 1);
    socket().set(zmq::sockopt::reconnect_ivl, ReconnectMs);
    socket().set(zmq::sockopt::reconnect_ivl_max, ReconnectMaxMs);
  }

  bool receiveOne() override {
    zmq::message_t Frame;
    if (!socket().recv(Frame, zmq::recv_flags::dontwait))
      return false;
    Envelope Message;
    if (Frame.more() || !parseFrame(viewOf(Frame), Message))
      countBadFrame();
    else
      Handler(Message);
    return true;
  }

  OnMessage Handler;
};

DealerSocket::DealerSocket(asio::io_context &Io, zmq::context_t &Context,
                           const std::string &Address,
                           const std::string &Source, OnMessage Handler)
    : Shared(std::make_shared<State>(Io, Context, std::move(Handler))) {
  const std::string Local = Source.empty() ? "" : Source + ":0;";
  Shared->socket().connect("tcp://" + Local + Address);
  Shared->start();
}

DealerSocket::~DealerSocket() { Shared->stop(); }

bool DealerSocket::send(Envelope &Message) {
  const bool Sent = sendPart(Shared->socket(), serialiseFrame(Message), false);
  Shared->scheduleRead();
  return Sent;
}

} // namespace goldcrestlink::wire
