// ZeroMQ's descriptor is edge-triggered: after each wake-up, and after each
// send, the socket's events are read until none is left. Each wake-up handles
// at most MaxBatch messages before it lets other work of the thread run.
// Queues are bounded by ZeroMQ's high-water marks.
#include "wire/socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

namespace goldcrestlink::wire {

namespace asio = boost::asio;

namespace {
constexpr int MaxBatch = 256;
constexpr int HighWaterMark = 8192;
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

std::string_view viewOf(const zmq::message_t &M) {
  return {static_cast<const char *>(M.data()), M.size()};
}

// Shared base of both ends: the socket, its descriptor and the read loop.
class Pump : public std::enable_shared_from_this<Pump> {
public:
  Pump(asio::io_context &Io, zmq::context_t &Context, zmq::socket_type Type)
      : Io(Io), Socket(Context, Type), Descriptor(Io) {
    Socket.set(zmq::sockopt::linger, 0);
    Socket.set(zmq::sockopt::sndhwm, HighWaterMark);
    Socket.set(zmq::sockopt::rcvhwm, HighWaterMark);
    Socket.set(zmq::sockopt::maxmsgsize, MaxFrameBytes);
  }
  virtual ~Pump() = default;

  void start() {
    Descriptor.assign(Socket.get(zmq::sockopt::fd));
    schedule();
    wait();
  }

  void stop() {
    Stopped = true;
    Descriptor.release();
    Socket.close();
  }

  // Reads soon, since events may have come up unseen during a send.
  void schedule() {
    if (Scheduled || Stopped)
      return;
    Scheduled = true;
    asio::post(Io, [Self = shared_from_this()] {
      Self->Scheduled = false;
      Self->drain();
    });
  }

  zmq::socket_t &socket() { return Socket; }
  bool stopped() const { return Stopped; }
  uint64_t badFrames() const { return BadFrames; }

protected:
  // Reads one message if there is one. False when there is none.
  virtual bool receiveOne() = 0;
  void countBadFrame() { ++BadFrames; }

private:
  void wait() {
    Descriptor.async_wait(
        asio::posix::stream_descriptor::wait_read,
        [Self = shared_from_this()](boost::system::error_code Error) {
          if (Error || Self->Stopped)
            return;
          Self->drain();
          if (!Self->Stopped)
            Self->wait();
        });
  }

  void drain() {
    for (int I = 0; I < MaxBatch; ++I) {
      if (Stopped)
        return;
      if (!(Socket.get(zmq::sockopt::events) & ZMQ_POLLIN) || !receiveOne())
        return;
    }
    schedule();
  }

  asio::io_context &Io;
  zmq::socket_t Socket;
  asio::posix::stream_descriptor Descriptor;
  uint64_t BadFrames = 0;
  bool Scheduled = false;
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
    return false; // EHOSTUNREACH: the router's peer is gone.
  }
}

} // namespace

struct RouterSocket::State : Pump {
  State(asio::io_context &Io, zmq::context_t &Context, OnMessage On)
      : Pump(Io, Context, zmq::socket_type::router), On(std::move(On)) {
    socket().set(zmq::sockopt::router_mandatory, 1);
  }

  bool receiveOne() override {
    zmq::message_t Peer;
    if (!socket().recv(Peer, zmq::recv_flags::dontwait))
      return false;
    zmq::message_t Frame;
    bool Extra = !Peer.more();
    if (!Extra && !socket().recv(Frame, zmq::recv_flags::dontwait))
      return false;
    while (!Extra && Frame.more()) {
      zmq::message_t Rest;
      if (!socket().recv(Rest, zmq::recv_flags::dontwait) || !Rest.more())
        Extra = true;
    }
    Envelope Message;
    if (Extra || !parseFrame(viewOf(Frame), Message))
      countBadFrame();
    else
      On(std::string(viewOf(Peer)), Message);
    return true;
  }

  OnMessage On;
};

RouterSocket::RouterSocket(asio::io_context &Io, zmq::context_t &Context,
                           const std::string &Address, OnMessage On)
    : Shared(std::make_shared<State>(Io, Context, std::move(On))) {
  try {
    Shared->socket().bind("tcp://" + Address);
  } catch (const zmq::error_t &E) {
    throw std::runtime_error("cannot listen on " + Address + ": " + E.what());
  }
  Shared->start();
}

RouterSocket::~RouterSocket() { Shared->stop(); }

bool RouterSocket::send(const std::string &Peer, Envelope &Message) {
  const std::string Frame = serialiseFrame(Message);
  const bool Sent = sendPart(Shared->socket(), Peer, true) &&
                    sendPart(Shared->socket(), Frame, false);
  Shared->schedule();
  return Sent;
}

uint64_t RouterSocket::badFrames() const { return Shared->badFrames(); }

struct DealerSocket::State : Pump {
  State(asio::io_context &Io, zmq::context_t &Context, OnMessage On)
      : Pump(Io, Context, zmq::socket_type::dealer), On(std::move(On)) {
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
      On(Message);
    return true;
  }

  OnMessage On;
};

DealerSocket::DealerSocket(asio::io_context &Io, zmq::context_t &Context,
                           const std::string &Address,
                           const std::string &Source, OnMessage On)
    : Shared(std::make_shared<State>(Io, Context, std::move(On))) {
  const std::string Local = Source.empty() ? "" : Source + ":0;";
  Shared->socket().connect("tcp://" + Local + Address);
  Shared->start();
}

DealerSocket::~DealerSocket() { Shared->stop(); }

bool DealerSocket::send(Envelope &Message) {
  const bool Sent = sendPart(Shared->socket(), serialiseFrame(Message), false);
  Shared->schedule();
  return Sent;
}

} // namespace goldcrestlink::wire
