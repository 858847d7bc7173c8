// A call reuses an idle connection or opens a new one, writes the request, and
// passes each part of the response on as it arrives, so a call buffers at most
// ReadBufferBytes of the response. A chunk size or trailer that is longer fails
// the call.
//
// If a reused connection breaks before the response header, the call is retried
// once on a new connection if that connection took no byte of the request, or
// if the method is GET and CallOptions::repeatReads() is set.
//
// The pool holds at most MaxIdlePerEndpoint connections per endpoint and drops
// them before the peer is expected to close them. Request and response are
// transferred at the same time, since a peer may respond before it has read a
// long body; a connection whose response was complete before the request was
// written is closed. TCP keep-alive probes detect peers that no longer respond.
//
// When a deadline passes, the pending operation is cancelled unless its result
// waits in the kernel, and its handler decides: an operation that had completed
// before succeeds. One timer per call is moved only when it fires.
#include "http/client.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <stdexcept>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/part_body.h"
#include "http/socket_ready.h"

namespace goldcrestlink::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {
constexpr size_t MaxIdlePerEndpoint = 64;
// An upstream may hold some hundred connections of this process at once.
constexpr size_t ReadBufferBytes = 64 * 1024;
// Effectively no limit: a call passes each part of the body on and keeps none
// of them.
constexpr uint64_t MaxBodyBytes = uint64_t(1) << 50;
// Bytes of a response that fetch() collects. A page of the store's list has
// about 1 MB.
constexpr size_t MaxFetchBytes = 16 * 1024 * 1024;
// Bytes received and not read yet that are discarded at once, and how often,
// when a call is given up: up to 256 KB, more than most receive buffers hold.
constexpr size_t DiscardBytes = 16 * 1024;
constexpr size_t MaxDiscardReads = 16;
// TCP keep-alive: the first probe is sent after this idle time, further ones at
// this interval; after this many unanswered probes the connection is closed.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
// A connection whose peer acknowledges nothing for this long is closed.
constexpr int TcpUserTimeoutMs = 2500;
// An idle connection is reused only until this long before the end of the
// keep-alive timeout that the peer announced, or for half of a short timeout,
// since the peer may close the connection just as a request is sent on it.
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(500);
// After a deadline, the time until its operation is judged again.
constexpr Duration RecheckInterval = std::chrono::milliseconds(50);

// Status codes below FirstFinalStatus are of interim responses, which precede
// the final one. Codes outside of the range have no meaning in HTTP.
constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
// Continue, Processing, Early Hints.
constexpr unsigned InterimStatuses[] = {100, 102, 103};
// A peer that sends more of them for one request is faulty.
constexpr unsigned MaxInterimResponses = 16;

void setSocketOptions(Tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  const auto Set = [&](int Level, int Name, int Value) {
    // Errors are ignored: without keep-alive, the call's timeouts still apply.
    (void)setsockopt(Handle, Level, Name, &Value, sizeof(Value));
  };
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  Set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  Set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  Set(IPPROTO_TCP, TCP_USER_TIMEOUT, TcpUserTimeoutMs);
  Set(IPPROTO_TCP, TCP_NODELAY, 1);
}

// The timeout announced by a Keep-Alive field such as "timeout=5"; zero if the
// field names none.
Duration announcedKeepAlive(std::string_view Field) {
  const size_t At = Field.find("timeout=");
  if (At == std::string_view::npos)
    return Duration(0);
  Field.remove_prefix(At + 8);
  int Value = 0;
  const auto [End, Error] =
      std::from_chars(Field.data(), Field.data() + Field.size(), Value);
  return Error == std::errc() ? std::chrono::seconds(Value) : Duration(0);
}

Time steadyNow() { return currentTime().Steady; }
} // namespace

struct Client::Pool {
  explicit Pool(asio::io_context &Io) : Io(Io) {}

  struct IdleConnection {
    Tcp::socket Socket;
    // Not reused from this time on.
    Time UsableUntil;
  };

  // Takes the most recently used idle connection that is still open and has no
  // unread data. Connections found to be unusable on the way are closed.
  std::optional<Tcp::socket> take(const std::string &Key) {
    auto It = ByEndpoint.find(Key);
    const Time Now = steadyNow();
    while (It != ByEndpoint.end() && !It->second.empty()) {
      IdleConnection Last = std::move(It->second.back());
      It->second.pop_back();
      if (Now >= Last.UsableUntil)
        continue;
      Tcp::socket Socket = std::move(Last.Socket);
      ErrorCode Error;
      Socket.non_blocking(true, Error);
      char Byte;
      Socket.receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek, Error);
      if (Error == asio::error::would_block)
        return Socket;
    }
    return std::nullopt;
  }

  // Keeps a connection for reuse within \p Usable, or closes it if the endpoint
  // has MaxIdlePerEndpoint already.
  void put(const std::string &Key, Tcp::socket Socket, Duration Usable) {
    auto &List = ByEndpoint[Key];
    const Time Now = steadyNow();
    std::erase_if(
        List, [&](const IdleConnection &K) { return Now >= K.UsableUntil; });
    if (List.size() < MaxIdlePerEndpoint)
      List.push_back({std::move(Socket), Now + Usable});
  }

  asio::io_context &Io;
  // By endpoint, "ip:port".
  std::map<std::string, std::vector<IdleConnection>> ByEndpoint;
};

namespace {

class ActiveCall : public Call,
                   public std::enable_shared_from_this<ActiveCall> {
public:
  ActiveCall(std::shared_ptr<Client::Pool> Pool, const Endpoint &To,
             Request Req, CallOptions Options, CallHandlers Handlers)
      : Pool(std::move(Pool)), Key(To.text()), To(To), Options(Options),
        Handlers(std::move(Handlers)), DeadlineTimer(this->Pool->Io) {
    Stream.emplace(this->Pool->Io);
    Message.version(11);
    Message.method_string(Req.Method);
    Message.target(Req.Target);
    Message.set(bhttp::field::host, Key);
    for (const Header &H : Req.Fields) {
      if (beast::iequals(H.Name, "Host"))
        Message.set(bhttp::field::host, H.Value);
      else
        Message.insert(H.Name, H.Value);
    }
    Body = Req.Body.empty() ? std::move(Req.Shared)
                            : SharedBody(std::move(Req.Body));
    Message.body() = {Body.view().data(), Body.size()};
    Message.keep_alive(!Options.freshConnection());
    setLength();
    Buffer.max_size(ReadBufferBytes);
  }

  void run() {
    if (!Options.freshConnection())
      if (auto Socket = Pool->take(Key)) {
        Stream.emplace(std::move(*Socket));
        Reused = true;
        return write();
      }
    connect();
  }

  void cancel() override {
    if (Finished)
      return;
    finish();
    abandon();
  }

  void closeWhenDone() override { CloseWhenDone = true; }

private:
  void finish() {
    Finished = true;
    DeadlineTimer.cancel();
  }

  // The operation that is started next has to end within \p D.
  void expireAfter(Duration D) {
    Deadline = steadyNow() + D;
    if (TimerAt == Time{} || Deadline < TimerAt)
      armTimer();
  }

  void armTimer() {
    TimerAt = Deadline;
    DeadlineTimer.expires_at(Deadline);
    DeadlineTimer.async_wait([Weak = weak_from_this()](ErrorCode Error) {
      const auto Self = Weak.lock();
      if (!Self || Error || Self->Finished)
        return;
      Self->onDeadlineTimer(steadyNow());
    });
  }

  void onDeadlineTimer(Time Now) {
    if (Now >= Deadline) {
      if (!isSocketReady(Stream->socket().native_handle(), Awaited))
        Stream->cancel();
      // An operation of several steps may go on with what it had read before.
      Deadline = Now + RecheckInterval;
    }
    armTimer();
  }

  // Beast's prepare_payload() throws for a TRACE with a body.
  void setLength() {
    const bhttp::verb Method = Message.method();
    if (!Body.empty() || Method == bhttp::verb::post ||
        Method == bhttp::verb::put || Method == bhttp::verb::options)
      Message.content_length(Body.size());
  }

  void connect() {
    Awaited = SocketEvent::Connected;
    expireAfter(Options.connectTimeout());
    const Tcp::endpoint Address(asio::ip::make_address(To.Address), To.Port);
    Stream->async_connect(
        Address, [Self = shared_from_this()](ErrorCode Error) {
          if (Self->Finished)
            return;
          if (Error)
            return Self->fail(CallError::NotSent, Error);
          if (Self->Handlers.MayWrite && !Self->Handlers.MayWrite())
            return Self->fail(CallError::NotSent, asio::error::access_denied);
          setSocketOptions(Self->Stream->socket());
          Self->write();
        });
  }

  void write() {
    RequestWritten = false;
    Awaited = SocketEvent::Readable;
    expireAfter(Options.readTimeout());
    bhttp::async_write(*Stream, Message,
                       [Self = shared_from_this(),
                        Attempt = Attempt](ErrorCode Error, size_t Bytes) {
                         if (Self->Finished || Attempt != Self->Attempt)
                           return;
                         Self->RequestWritten = !Error;
                         // The peer had closed the connection, and no byte was
                         // sent. Other errors also end the read of the
                         // response and are handled there.
                         if (Error && Bytes == 0 &&
                             errorKind(Error) == CallError::Broken)
                           Self->failBeforeHead(Error, true);
                       });
    readHead();
  }

  void readHead() {
    Parser.emplace();
    Parser->body_limit(MaxBodyBytes);
    if (Message.method() == bhttp::verb::head)
      Parser->skip(true);
    expireAfter(Options.readTimeout());
    bhttp::async_read_header(
        *Stream, Buffer, *Parser,
        [Self = shared_from_this(), Attempt = Attempt](ErrorCode Error,
                                                       size_t) {
          if (Self->Finished || Attempt != Self->Attempt)
            return;
          if (Error)
            return Self->failBeforeHead(Error, false);
          const unsigned Status = Self->Parser->get().result_int();
          if (Status < FirstStatus || Status > LastStatus)
            return Self->fail(CallError::Broken, bhttp::error::bad_status);
          if (Status < FirstFinalStatus)
            return Self->onInterimResponse();
          ResponseHead Head;
          Head.Status = Status;
          Head.EndsWithConnection = Self->Parser->need_eof();
          for (const auto &F : Self->Parser->get())
            Head.Fields.push_back(
                {std::string(F.name_string()), std::string(F.value())});
          if (Self->Handlers.OnHead)
            Self->Handlers.OnHead(Head);
          Self->processBody();
        });
  }

  // The response to the request follows, except after a change of protocol,
  // which no request asks for, and other codes, which have no meaning.
  void onInterimResponse() {
    const bool IsDue =
        std::ranges::find(InterimStatuses, Parser->get().result_int()) !=
        std::end(InterimStatuses);
    if (!IsDue || ++InterimResponses > MaxInterimResponses)
      return fail(CallError::Broken, bhttp::error::bad_status);
    readHead();
  }

  void processBody() {
    if (Finished)
      return;
    std::string &Body = Parser->get().body();
    if (!Body.empty()) {
      std::string Part = std::move(Body);
      Body.clear();
      if (Handlers.OnData)
        Handlers.OnData(std::move(Part));
      if (Finished)
        return;
    }
    if (Parser->is_done())
      return isCutShort() ? fail(CallError::Broken, asio::error::broken_pipe)
                          : done();
    expireAfter(Options.readTimeout());
    bhttp::async_read_some(
        *Stream, Buffer, *Parser,
        [Self = shared_from_this()](ErrorCode Error, size_t) {
          if (Self->Finished)
            return;
          if (Error)
            return Self->fail(errorKind(Error), Error);
          Self->processBody();
        });
  }

  // The kernel reports a reset to the write of the request if that is in
  // progress, and the read then sees an orderly end. So the end of a
  // connection does not show that a response without a length is complete
  // unless the request was written.
  bool isCutShort() const { return Parser->need_eof() && !RequestWritten; }

  void done() {
    finish();
    if (Parser->keep_alive() && !Options.freshConnection() && RequestWritten &&
        !CloseWhenDone && Buffer.size() == 0) {
      const Duration Announced =
          announcedKeepAlive(std::string(Parser->get()["Keep-Alive"]));
      const Duration Usable =
          Announced > Duration(0)
              ? std::max(Announced - KeepAliveMargin, Announced / 2)
              : Options.maxIdleAge();
      Pool->put(Key, Stream->release_socket(), Usable);
    } else {
      closeSocket();
    }
    if (Handlers.OnDone)
      Handlers.OnDone();
  }

  // Ends or retries a call whose connection failed before the response header
  // was read. \p NothingSent: no byte of the request was sent.
  void failBeforeHead(ErrorCode Error, bool NothingSent) {
    const bool Repeatable =
        NothingSent ||
        (Options.retryGets() && Message.method() == bhttp::verb::get);
    if (Reused && Repeatable && errorKind(Error) == CallError::Broken) {
      Reused = false;
      ++Attempt;
      Buffer.clear();
      Stream.emplace(Pool->Io);
      return connect();
    }
    fail(NothingSent ? CallError::NotSent : errorKind(Error), Error);
  }

  static CallError errorKind(ErrorCode Error) {
    // Operations are cancelled by the deadline only, as long as the call runs.
    return Error == asio::error::operation_aborted ? CallError::TimedOut
                                                   : CallError::Broken;
  }

  void fail(CallError Kind, ErrorCode Error) {
    finish();
    Kind == CallError::TimedOut ? abandon() : resetSocket();
    if (Error == asio::error::operation_aborted)
      Error = beast::error::timeout;
    if (Handlers.OnError)
      Handlers.OnError(Kind, Error.message());
  }

  // Ends the connection of a call that the peer may be working on. The kernel
  // repeats an orderly close until the peer has it, so a peer that cannot be
  // reached now learns of it later; a reset is sent only once. But after an
  // orderly close the kernel would also go on resending a request that has not
  // arrived, so that needs a reset.
  void abandon() {
    if (!RequestWritten || !isAcknowledged() || !discardReceived())
      return resetSocket();
    const int KernelDefault = 0;
    (void)setsockopt(Stream->socket().native_handle(), IPPROTO_TCP,
                     TCP_USER_TIMEOUT, &KernelDefault, sizeof(KernelDefault));
    closeSocket();
  }

  // True if the peer's kernel has everything that was sent.
  bool isAcknowledged() {
    int Unacknowledged = 0;
    return ioctl(Stream->socket().native_handle(), SIOCOUTQ, &Unacknowledged) ==
               0 &&
           Unacknowledged == 0;
  }

  // Reads what has been received, since closing a socket with unread bytes
  // resets its connection. Returns false if there is no end to it.
  bool discardReceived() {
    ErrorCode Error;
    Stream->socket().non_blocking(true, Error);
    char Bytes[DiscardBytes];
    for (size_t Reads = 0; Reads < MaxDiscardReads; ++Reads) {
      Stream->socket().receive(asio::buffer(Bytes), 0, Error);
      if (Error)
        return true;
    }
    return false;
  }

  void resetSocket() {
    ErrorCode Ignored;
    Stream->socket().set_option(asio::socket_base::linger(true, 0), Ignored);
    Stream->socket().close(Ignored);
  }

  void closeSocket() {
    ErrorCode Ignored;
    Stream->socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream->socket().close(Ignored);
  }

  std::shared_ptr<Client::Pool> Pool;
  std::string Key;
  Endpoint To;
  CallOptions Options;
  CallHandlers Handlers;
  asio::steady_timer DeadlineTimer;
  Time Deadline{};
  // When DeadlineTimer fires, at Deadline or before; Time{}: not armed yet.
  Time TimerAt{};
  // What the operation in progress waits for.
  SocketEvent Awaited = SocketEvent::Connected;
  std::optional<beast::tcp_stream> Stream;
  beast::flat_buffer Buffer;
  SharedBody Body;
  bhttp::request<bhttp::span_body<const char>> Message;
  std::optional<bhttp::response_parser<PartBody>> Parser;
  // Increases with each connection of this call. Handlers of an earlier
  // connection compare it and do nothing.
  unsigned Attempt = 0;
  unsigned InterimResponses = 0;
  bool RequestWritten = false;
  bool Reused = false;
  bool CloseWhenDone = false;
  bool Finished = false;
};

} // namespace

Client::Client(asio::io_context &Io)
    : Connections(std::make_shared<Pool>(Io)) {}
Client::~Client() = default;

std::shared_ptr<Call> Client::start(const Endpoint &To, Request Req,
                                    CallOptions Options,
                                    CallHandlers Handlers) {
  auto NewCall = std::make_shared<ActiveCall>(Connections, To, std::move(Req),
                                              Options, std::move(Handlers));
  asio::post(Connections->Io, [NewCall] { NewCall->run(); });
  return NewCall;
}

std::shared_ptr<Call>
Client::fetch(const Endpoint &To, Request Req, CallOptions Options,
              std::function<void(const Response *, CallError)> Done) {
  auto Out = std::make_shared<Response>();
  auto Started = std::make_shared<std::weak_ptr<Call>>();
  CallHandlers Handlers;
  Handlers.OnHead = [Out](const ResponseHead &Head) { Out->Head = Head; };
  Handlers.OnData = [Out, Started, Done](std::string Part) {
    Out->Body += Part;
    if (Out->Body.size() <= MaxFetchBytes)
      return;
    if (const auto Self = Started->lock())
      Self->cancel();
    Done(nullptr, CallError::Broken);
  };
  Handlers.OnDone = [Out, Done] { Done(Out.get(), CallError::Broken); };
  Handlers.OnError = [Done](CallError Kind, const std::string &) {
    Done(nullptr, Kind);
  };
  std::shared_ptr<Call> Result =
      start(To, std::move(Req), Options, std::move(Handlers));
  *Started = Result;
  return Result;
}

void Client::dropIdle(const Endpoint &To) {
  Connections->ByEndpoint.erase(To.text());
}

Response fetchBlocking(const Endpoint &To, Request Req, CallOptions Options) {
  asio::io_context Io;
  Client C(Io);
  Response Out;
  bool Ok = false;
  C.fetch(To, std::move(Req), Options, [&](const Response *R, CallError) {
    Ok = R != nullptr;
    if (R)
      Out = *R;
  });
  Io.run();
  if (!Ok)
    throw std::runtime_error("no response from " + To.text());
  return Out;
}

} // namespace goldcrestlink::http
