// Each direction of a connection is a loop of one read and one write, so that
// it buffers at most BufferBytes and TCP flow control slows the sender down. A
// held direction checks its fault again after HoldPollInterval.
#include "soak/loopback_proxy.h"

#include <array>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "testing/standin_support.h"

namespace goldcrestlink::soak {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr size_t BufferBytes = 16 * 1024;
constexpr auto HoldPollInterval = std::chrono::milliseconds(10);
// Between checks whether a target that is down accepts connections again.
constexpr auto DownPollInterval = std::chrono::milliseconds(20);

Tcp::endpoint tcpEndpoint(const http::Endpoint &E) {
  return {asio::ip::make_address(E.Address), E.Port};
}

struct LinkState {
  LinkState(asio::io_context &InIo, const http::Endpoint &Listen,
            const http::Endpoint &Target, bool InMirrorRefusals)
      : Io(InIo), Listen(tcpEndpoint(Listen)), Target(tcpEndpoint(Target)),
        MirrorRefusals(InMirrorRefusals), Acceptor(InIo, tcpEndpoint(Listen)) {}

  // Connecting on the loopback interface does not block.
  bool targetAccepts() const {
    Tcp::socket Socket(Io);
    ErrorCode Error;
    Socket.connect(Target, Error);
    return !Error;
  }

  // A connection to the target has ended or failed. Refuses connections from
  // now on if the target does.
  void onTargetEnded() {
    if (!MirrorRefusals || !Acceptor.is_open() || targetAccepts())
      return;
    ErrorCode Ignored;
    Acceptor.close(Ignored);
    reopenOnceUp();
  }

  void reopenOnceUp() {
    testing::runLater(Io, DownPollInterval, [this] {
      if (!targetAccepts())
        return reopenOnceUp();
      Acceptor = Tcp::acceptor(Io, Listen);
      OnReopened();
    });
  }

  bool isHeld(bool Forward) const {
    return Fault == LinkFault::Silent ||
           Fault ==
               (Forward ? LinkFault::HeldForward : LinkFault::HeldBackward);
  }

  asio::io_context &Io;
  Tcp::endpoint Listen;
  Tcp::endpoint Target;
  bool MirrorRefusals;
  Tcp::acceptor Acceptor;
  std::function<void()> OnReopened;
  LinkFault Fault = LinkFault::None;
  std::vector<std::weak_ptr<class Relay>> Relays;
};

class Relay : public std::enable_shared_from_this<Relay> {
public:
  Relay(asio::io_context &Io, LinkState &Link, Tcp::socket InClientSocket)
      : Io(Io), Link(Link), ClientSocket(std::move(InClientSocket)),
        TargetSocket(Io) {}

  void start() {
    // The kernel has accepted the connection already; while the link is held in
    // either direction, no connection to the target is made.
    if (Link.isHeld(true) || Link.isHeld(false))
      return retryLater([Self = shared_from_this()] { Self->start(); });
    TargetSocket.async_connect(
        Link.Target, [Self = shared_from_this()](ErrorCode Error) {
          if (Error) {
            Self->Link.onTargetEnded();
            return Self->reset();
          }
          ErrorCode Ignored;
          Self->ClientSocket.set_option(Tcp::no_delay(true), Ignored);
          Self->TargetSocket.set_option(Tcp::no_delay(true), Ignored);
          Self->read(true);
          Self->read(false);
        });
  }

  void reset() {
    for (Tcp::socket *S : {&ClientSocket, &TargetSocket}) {
      ErrorCode Ignored;
      S->set_option(asio::socket_base::linger(true, 0), Ignored);
      S->close(Ignored);
    }
  }

  void silence() { Silenced = true; }

private:
  Tcp::socket &from(bool Forward) {
    return Forward ? ClientSocket : TargetSocket;
  }
  Tcp::socket &to(bool Forward) {
    return Forward ? TargetSocket : ClientSocket;
  }

  void retryLater(std::function<void()> Do) {
    testing::runLater(Io, HoldPollInterval, std::move(Do));
  }

  void read(bool Forward) {
    from(Forward).async_read_some(
        asio::buffer(Buffers[Forward]),
        [Self = shared_from_this(), Forward](ErrorCode Error, size_t Size) {
          if (Error && !Forward)
            Self->Link.onTargetEnded();
          if (Error && Error != asio::error::eof)
            return Self->reset();
          Self->forward(Forward, Size);
        });
  }

  // A \p Size of 0 stands for the end of the stream in this direction.
  void forward(bool Forward, size_t Size) {
    if (Silenced || Link.isHeld(Forward))
      return retryLater([Self = shared_from_this(), Forward, Size] {
        if (Self->ClientSocket.is_open())
          Self->forward(Forward, Size);
      });
    if (Link.Fault != LinkFault::Delayed)
      return write(Forward, Size);
    testing::runLater(Io, std::chrono::milliseconds(LoopbackProxy::DelayMs),
                      [Self = shared_from_this(), Forward, Size] {
                        Self->write(Forward, Size);
                      });
  }

  void write(bool Forward, size_t Size) {
    if (Size == 0) {
      ErrorCode Ignored;
      to(Forward).shutdown(Tcp::socket::shutdown_send, Ignored);
      return;
    }
    asio::async_write(
        to(Forward), asio::buffer(Buffers[Forward], Size),
        [Self = shared_from_this(), Forward](ErrorCode Error, size_t) {
          if (Error)
            return Self->reset();
          Self->read(Forward);
        });
  }

  asio::io_context &Io;
  LinkState &Link;
  Tcp::socket ClientSocket;
  Tcp::socket TargetSocket;
  std::array<std::array<char, BufferBytes>, 2> Buffers{};
  bool Silenced = false;
};

} // namespace

struct LoopbackProxy::State {
  State()
      : Thread([this] {
          auto Guard = asio::make_work_guard(Io);
          Io.run();
        }) {}

  ~State() {
    Io.stop();
    Thread.join();
  }

  void accept(LinkState &Link) {
    Link.Acceptor.async_accept([this, &Link](ErrorCode Error,
                                             Tcp::socket Socket) {
      if (!Error) {
        std::erase_if(Link.Relays,
                      [](const auto &Weak) { return Weak.expired(); });
        auto NewRelay = std::make_shared<Relay>(Io, Link, std::move(Socket));
        Link.Relays.push_back(NewRelay);
        NewRelay->start();
      }
      if (Link.Acceptor.is_open())
        accept(Link);
    });
  }

  template <class F> auto onThread(F Do) {
    return testing::callOn(Io, std::move(Do));
  }

  template <class F> void onRelays(size_t Link, F Do) {
    onThread([&] {
      for (const auto &Weak : Links[Link]->Relays)
        if (const auto R = Weak.lock())
          Do(*R);
    });
  }

  // Declared first: acceptors and sockets refer to it, so it is destroyed after
  // them.
  asio::io_context Io{1};
  std::vector<std::unique_ptr<LinkState>> Links;
  std::thread Thread;
};

LoopbackProxy::LoopbackProxy() : Shared(std::make_unique<State>()) {}
LoopbackProxy::~LoopbackProxy() = default;

size_t LoopbackProxy::addLink(const http::Endpoint &Listen,
                              const http::Endpoint &Target,
                              bool MirrorRefusals) {
  return Shared->onThread([&] {
    Shared->Links.push_back(std::make_unique<LinkState>(
        Shared->Io, Listen, Target, MirrorRefusals));
    LinkState &Link = *Shared->Links.back();
    Link.OnReopened = [S = Shared.get(), &Link] { S->accept(Link); };
    Shared->accept(Link);
    return Shared->Links.size() - 1;
  });
}

void LoopbackProxy::setFault(size_t Link, LinkFault Fault) {
  Shared->onThread([&] { Shared->Links[Link]->Fault = Fault; });
}

void LoopbackProxy::reset(size_t Link) {
  Shared->onRelays(Link, [](Relay &R) { R.reset(); });
}

void LoopbackProxy::silenceOpen(size_t Link) {
  Shared->onRelays(Link, [](Relay &R) { R.silence(); });
}

} // namespace goldcrestlink::soak
