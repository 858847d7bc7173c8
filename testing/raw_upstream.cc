// Blocking sockets; the destructor shuts them down so that their threads end.
#include "testing/raw_upstream.h"

#include <list>
#include <mutex>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "testing/standin_support.h"

namespace goldcrestlink::testing {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

struct RawConnection::State {
  explicit State(Tcp::socket InSocket) : Socket(std::move(InSocket)) {}
  Tcp::socket Socket;
  asio::streambuf Buffer;
  std::string Head;
};

bool RawConnection::readHead() {
  boost::system::error_code Error;
  const size_t HeadSize =
      asio::read_until(Impl.Socket, Impl.Buffer, "\r\n\r\n", Error);
  if (Error)
    return false;
  const auto Data = Impl.Buffer.data();
  Impl.Head.assign(static_cast<const char *>(Data.data()), HeadSize);
  Impl.Buffer.consume(HeadSize);
  return true;
}

bool RawConnection::readRequest() {
  if (!readHead())
    return false;
  boost::system::error_code Error;
  const size_t BodySize = parseNumber(field("Content-Length"));
  while (Impl.Buffer.size() < BodySize && !Error)
    Impl.Buffer.commit(
        Impl.Socket.read_some(Impl.Buffer.prepare(BodySize), Error));
  Impl.Buffer.consume(BodySize);
  return !Error;
}

std::string RawConnection::field(const std::string &Name) const {
  const size_t At = Impl.Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return "";
  const size_t Begin = At + Name.size() + 4;
  return Impl.Head.substr(Begin, Impl.Head.find("\r\n", Begin) - Begin);
}

bool RawConnection::isHealthCheck() const {
  return Impl.Head.starts_with("GET ");
}

bool RawConnection::write(const std::string &Bytes) {
  boost::system::error_code Error;
  asio::write(Impl.Socket, asio::buffer(Bytes), Error);
  return !Error;
}

void RawConnection::reset() {
  boost::system::error_code Error;
  Impl.Socket.set_option(asio::socket_base::linger(true, 0), Error);
  Impl.Socket.close(Error);
}

struct RawUpstream::State {
  State(const std::string &Address, Script InScript, int ReceiveBytes)
      : OnConnection(std::move(InScript)),
        Acceptor(Io, {asio::ip::make_address(Address), 0}) {
    if (ReceiveBytes > 0)
      Acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBytes));
    Thread = std::thread([this] { accept(); });
  }

  void accept() {
    for (;;) {
      boost::system::error_code Error;
      Tcp::socket Socket(Io);
      Acceptor.accept(Socket, Error);
      const std::lock_guard Lock(Mutex);
      if (Error || Stopping)
        return;
      RawConnection::State &Open = Connections.emplace_back(std::move(Socket));
      Threads.emplace_back([this, &Open] {
        RawConnection Connection(Open);
        OnConnection(Connection);
        const std::lock_guard Closing(Mutex);
        boost::system::error_code Ignored;
        Open.Socket.close(Ignored);
      });
    }
  }

  ~State() {
    boost::system::error_code Ignored;
    {
      const std::lock_guard Lock(Mutex);
      Stopping = true;
      for (RawConnection::State &Open : Connections)
        Open.Socket.shutdown(Tcp::socket::shutdown_both, Ignored);
    }
    // A connection of its own ends the blocking accept().
    asio::io_context Own;
    Tcp::socket(Own).connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
    for (std::thread &T : Threads)
      T.join();
  }

  Script OnConnection;
  asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::mutex Mutex;
  bool Stopping = false;
  std::list<RawConnection::State> Connections;
  std::list<std::thread> Threads;
  std::thread Thread;
};

RawUpstream::RawUpstream(const std::string &Address, Script OnConnection,
                         int ReceiveBytes)
    : Impl(std::make_unique<State>(Address, std::move(OnConnection),
                                   ReceiveBytes)) {}

RawUpstream::~RawUpstream() = default;

http::Endpoint RawUpstream::endpoint() const {
  const auto Local = Impl->Acceptor.local_endpoint();
  return {Local.address().to_string(), Local.port()};
}

} // namespace goldcrestlink::testing
