// One Connection per socket reads a request, passes it to the handler, and
// queues the response bytes. It reads the next request only after the response
// is written. While a request is in progress, the connection also waits for the
// socket to become readable, which is how a disconnect of the caller is
// detected. The header, body and unsent-bytes limits bound the memory per
// connection, and maxConnections() bounds the number of connections.
#include "http/server.h"

#include <deque>
#include <optional>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

namespace goldcrestlink::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {
class Connection;

// Size of the first read of a request; most headers are smaller.
constexpr size_t FirstReadBytes = 4096;

using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
} // namespace

struct Server::State : std::enable_shared_from_this<Server::State> {
  State(asio::io_context &Io, ServerOptions Options, Handler OnRequest)
      : Io(Io), Acceptor(Io), Options(Options),
        OnRequest(std::move(OnRequest)) {}

  void listen(const Endpoint &Listen);
  void accept();
  void stop();
  // Closes the connections that have no request in progress.
  void closeIdle();

  asio::io_context &Io;
  Tcp::acceptor Acceptor;
  ServerOptions Options;
  Handler OnRequest;
  std::unordered_set<Connection *> Connections;
  size_t Active = 0;
  // No new connections are accepted.
  bool Stopping = false;
  // Responses carry "Connection: close".
  bool AnnounceClose = false;
};

namespace {

class Connection : public Responder,
                   public std::enable_shared_from_this<Connection> {
public:
  Connection(std::shared_ptr<Server::State> Owner, Tcp::socket Socket)
      : Owner(std::move(Owner)), Stream(std::move(Socket)) {
    this->Owner->Connections.insert(this);
  }

  ~Connection() override {
    Owner->Connections.erase(this);
    finishRequest();
  }

  void readRequest() {
    Parser.emplace();
    Parser->header_limit(
        static_cast<uint32_t>(Owner->Options.maxHeaderBytes()));
    Parser->body_limit(Owner->Options.maxBodyBytes());
    if (Buffer.size() > 0)
      return readHeader();
    expireAfter(Owner->Options.idleTimeout());
    AwaitsRequest = true;
    Stream.async_read_some(
        Buffer.prepare(FirstReadBytes),
        [Self = shared_from_this()](ErrorCode Error, size_t Bytes) {
          Self->AwaitsRequest = false;
          if (Error)
            return Self->close();
          Self->Buffer.commit(Bytes);
          Self->readHeader();
        });
  }

  // Closes the connection unless a request has begun to arrive. The handler of
  // the read decides, since it may be queued with the bytes that were read.
  void cancelIfIdle() {
    if (AwaitsRequest)
      Stream.cancel();
  }

  void closeIfIdle() {
    if (!InRequest && Unsent.empty())
      close();
  }

  void respond(unsigned Status, const Headers &Fields,
               std::string Body) override {
    bhttp::response<bhttp::string_body> Response;
    Response.body() = std::move(Body);
    fillHead(Response, Status, Fields);
    Response.prepare_payload();
    ResponseComplete = true;
    enqueue(serialise(Response));
  }

  void begin(unsigned Status, const Headers &Fields) override {
    bhttp::response<bhttp::empty_body> Response;
    if (!Chunked)
      KeepAlive = false;
    fillHead(Response, Status, Fields);
    if (Chunked)
      Response.chunked(true);
    EndsWithConnection = !Chunked;
    enqueue(serialise(Response));
  }

  void data(std::string Part) override {
    if (Part.empty())
      return;
    if (EndsWithConnection)
      return enqueue(std::move(Part));
    char Size[20];
    const int Length =
        std::snprintf(Size, sizeof(Size), "%zx\r\n", Part.size());
    std::string Frame;
    Frame.reserve(Part.size() + static_cast<size_t>(Length) + 2);
    Frame.append(Size, static_cast<size_t>(Length)).append(Part).append("\r\n");
    enqueue(std::move(Frame));
  }

  void end() override {
    ResponseComplete = true;
    if (!EndsWithConnection)
      return enqueue("0\r\n\r\n");
    if (!Unsent.empty())
      return;
    OnDisconnect = nullptr;
    close();
  }

  void abort() override {
    CloseAfterFlush = true;
    if (Unsent.empty() || EndsWithConnection)
      close();
  }

  void onDisconnect(std::function<void()> Callback) override {
    OnDisconnect = std::move(Callback);
  }

private:
  void expireAfter(Duration D) {
    Stream.expires_after(std::chrono::nanoseconds(D));
  }

  void readHeader() {
    expireAfter(Owner->Options.headerTimeout());
    bhttp::async_read_header(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](ErrorCode Error, size_t) {
          if (Error)
            return Self->onRead(Error);
          // With any other coding the length of the body would be ambiguous.
          const auto Coding =
              Self->Parser->get()[bhttp::field::transfer_encoding];
          if (!Coding.empty() && !beast::iequals(Coding, "chunked"))
            return Self->reject(400, "bad_request");
          if (Self->Parser->is_done())
            return Self->onRead(Error);
          Self->readBody();
        });
  }

  void readBody() {
    expireAfter(Owner->Options.bodyTimeout());
    if (beast::iequals(Parser->get()[bhttp::field::expect], "100-continue"))
      enqueue("HTTP/1.1 100 Continue\r\n\r\n");
    bhttp::async_read(Stream, Buffer, *Parser,
                      [Self = shared_from_this()](ErrorCode Error, size_t) {
                        Self->onRead(Error);
                      });
  }

  template <class Response>
  void fillHead(Response &R, unsigned Status, const Headers &Fields) {
    R.version(11);
    R.result(Status);
    R.keep_alive(KeepAlive && !Owner->AnnounceClose);
    KeepAlive = R.keep_alive();
    for (const Header &H : Fields)
      R.insert(H.Name, H.Value);
  }

  template <class Response> std::string serialise(Response &R) {
    std::string Out;
    bhttp::serializer<false, typename Response::body_type> Serializer(R);
    ErrorCode Error;
    while (!Serializer.is_done()) {
      Serializer.next(Error, [&](ErrorCode &, const auto &Buffers) {
        for (const auto &B : beast::buffers_range_ref(Buffers))
          Out.append(static_cast<const char *>(B.data()), B.size());
        Serializer.consume(beast::buffer_bytes(Buffers));
      });
      if (Serializer.is_header_done() &&
          std::is_same_v<typename Response::body_type, bhttp::empty_body>)
        break;
    }
    return Out;
  }

  void onRead(ErrorCode Error) {
    if (Error == bhttp::error::body_limit)
      return reject(413, "too_large");
    if (Error == bhttp::error::header_limit)
      return reject(431, "too_large");
    if (Error &&
        Error.category() ==
            bhttp::make_error_code(bhttp::error::bad_method).category() &&
        Error != bhttp::error::end_of_stream &&
        Error != bhttp::error::partial_message)
      return reject(400, "bad_request");
    if (Error)
      return close();
    auto Message = Parser->release();
    KeepAlive = Message.keep_alive();
    Chunked = Message.version() >= 11;
    EndsWithConnection = false;
    Request Out;
    Out.Method = std::string(Message.method_string());
    Out.Target = std::string(Message.target());
    for (const auto &Field : Message)
      Out.Fields.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    Out.Body = std::move(Message.body());
    InRequest = true;
    ResponseComplete = false;
    ++Owner->Active;
    Stream.expires_never();
    // If this process was paused, the caller may have disconnected long ago;
    // the handler must not start work for it.
    if (isClosedByPeer())
      return close();
    watchForDisconnect();
    Owner->OnRequest(std::move(Out), shared_from_this());
  }

  void reject(unsigned Status, const char *Code) {
    KeepAlive = false;
    InRequest = true;
    ++Owner->Active;
    respond(Status, {{"Content-Type", "application/json"}},
            std::string("{\"error\":{\"code\":\"") + Code +
                "\",\"outcome\":\"not_run\"}}");
  }

  // True if the caller has closed its sending direction or reset the
  // connection.
  bool isClosedByPeer() {
    ErrorCode Error;
    char Byte;
    Stream.socket().non_blocking(true, Error);
    Stream.socket().receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek,
                            Error);
    return Error == asio::error::eof || Error == asio::error::connection_reset;
  }

  // Closes the connection if the caller disconnects during the request. A
  // readable socket with no bytes available is at the end of the stream.
  // Pipelined bytes end the watch and stay in the kernel until the next
  // readRequest().
  void watchForDisconnect() {
    Stream.socket().async_wait(
        Tcp::socket::wait_read,
        [Weak = weak_from_this(),
         RequestNumber = RequestNumber](ErrorCode Error) {
          auto Self = Weak.lock();
          if (!Self || Error || !Self->InRequest ||
              Self->RequestNumber != RequestNumber)
            return;
          ErrorCode Bad;
          if (Self->Stream.socket().available(Bad) == 0)
            Self->close();
        });
  }

  void enqueue(std::string Bytes) {
    if (Closed)
      return;
    UnsentBytes += Bytes.size();
    if (UnsentBytes > Owner->Options.maxUnsentBytes())
      return close();
    Unsent.push_back(std::move(Bytes));
    if (Unsent.size() == 1)
      writeNext();
  }

  void writeNext() {
    asio::async_write(
        Stream.socket(), asio::buffer(Unsent.front()),
        [Self = shared_from_this()](ErrorCode Error, size_t Bytes) {
          Self->onWritten(Error, Bytes);
        });
  }

  void onWritten(ErrorCode Error, size_t Bytes) {
    if (Closed)
      return;
    if (Error)
      return close();
    UnsentBytes -= Bytes;
    Unsent.pop_front();
    if (!Unsent.empty())
      return writeNext();
    if (CloseAfterFlush)
      return close();
    if (!ResponseComplete || !InRequest)
      return;
    OnDisconnect = nullptr;
    finishRequest();
    // A response that began before the server stopped did not announce the
    // close, so KeepAlive may still be set.
    if (!KeepAlive || Owner->Stopping)
      return close();
    readRequest();
  }

  void finishRequest() {
    if (!InRequest)
      return;
    InRequest = false;
    ++RequestNumber;
    --Owner->Active;
  }

  void close() {
    if (Closed)
      return;
    Closed = true;
    ErrorCode Ignored;
    // An orderly close would look like the end of such a response.
    if (EndsWithConnection && !ResponseComplete)
      Stream.socket().set_option(asio::socket_base::linger(true, 0), Ignored);
    else
      Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream.socket().close(Ignored);
    finishRequest();
    // Posted, not called here: the caller of data() or abort() may be in the
    // middle of changing its own state.
    if (auto Callback = std::move(OnDisconnect); Callback)
      asio::post(Owner->Io, std::move(Callback));
    OnDisconnect = nullptr;
  }

  std::shared_ptr<Server::State> Owner;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<bhttp::request_parser<bhttp::string_body>> Parser;
  std::deque<std::string> Unsent;
  size_t UnsentBytes = 0;
  std::function<void()> OnDisconnect;
  // Number of finished requests; distinguishes the disconnect watch of an
  // earlier request from that of the current one.
  uint64_t RequestNumber = 0;
  bool KeepAlive = true;
  // Waits for the first byte of a request.
  bool AwaitsRequest = false;
  // A request was read and its response is not yet written.
  bool InRequest = false;
  // The complete response is queued or sent.
  bool ResponseComplete = false;
  bool CloseAfterFlush = false;
  // The caller understands chunks.
  bool Chunked = true;
  // The response in progress has neither a length nor chunks.
  bool EndsWithConnection = false;
  bool Closed = false;
};

} // namespace

void Server::State::listen(const Endpoint &Listen) {
  const Tcp::endpoint Address(asio::ip::make_address(Listen.Address),
                              Listen.Port);
  try {
    Acceptor.open(Address.protocol());
    Acceptor.set_option(Tcp::acceptor::reuse_address(true));
    if (Options.reusePort())
      Acceptor.set_option(ReusePort(true));
    Acceptor.bind(Address);
    Acceptor.listen();
  } catch (const boost::system::system_error &E) {
    throw std::runtime_error("cannot listen on " + Listen.text() + ": " +
                             E.code().message());
  }
}

void Server::State::accept() {
  Acceptor.async_accept([Self = shared_from_this()](ErrorCode Error,
                                                    Tcp::socket Socket) {
    if (Self->Stopping)
      return;
    if (!Error && Self->Connections.size() < Self->Options.maxConnections()) {
      ErrorCode Ignored;
      Socket.set_option(Tcp::no_delay(true), Ignored);
      std::make_shared<Connection>(Self, std::move(Socket))->readRequest();
    }
    Self->accept();
  });
}

void Server::State::stop() {
  Stopping = true;
  AnnounceClose = true;
  ErrorCode Ignored;
  Acceptor.close(Ignored);
  for (Connection *C : Connections)
    C->cancelIfIdle();
}

void Server::State::closeIdle() {
  const std::vector<Connection *> Snapshot(Connections.begin(),
                                           Connections.end());
  for (Connection *C : Snapshot)
    C->closeIfIdle();
}

Server::Server(asio::io_context &Io, const Endpoint &Listen,
               ServerOptions Options, Handler OnRequest)
    : Shared(std::make_shared<State>(Io, Options, std::move(OnRequest))) {
  Shared->listen(Listen);
  Shared->accept();
}

Server::~Server() {
  Shared->stop();
  Shared->closeIdle();
}

uint16_t Server::port() const {
  return Shared->Acceptor.local_endpoint().port();
}

void Server::setOptions(const ServerOptions &Options) {
  Shared->Options = Options;
}

void Server::announceClose() { Shared->AnnounceClose = true; }

void Server::stopAccepting() { Shared->stop(); }

size_t Server::activeRequests() const { return Shared->Active; }

} // namespace goldcrestlink::http
