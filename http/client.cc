// A call takes an idle connection or opens one, writes the request and reads
// the response in parts, handing each part over as it comes. A call on a kept
// connection that the peer closed before any response byte is repeated once on
// a fresh connection only if its method is safe to repeat (GET).
// Idle connections are bounded per client, and dropped by age before the peer
// is expected to close them. Request and answer are transferred at the same
// time, since a peer may answer before it has read a long body; a connection on
// which the answer came first is closed. Keep-alive probes find connections
// that have gone silent.
#include "http/client.h"

#include <charconv>
#include <map>
#include <optional>
#include <stdexcept>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace goldcrestlink::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {
constexpr size_t MaxIdlePerEndpoint = 64;
constexpr size_t ReadBufferBytes = 1024 * 1024;
// Bodies are handed on in parts, so the limit only has to be out of reach.
constexpr uint64_t MaxBodyBytes = uint64_t(1) << 50;
// A connection whose peer acknowledges nothing for this long is given up.
constexpr int ProbeIdleSeconds = 1;
constexpr int ProbeIntervalSeconds = 1;
constexpr int ProbeCount = 2;
constexpr int UserTimeoutMs = 2500;
// A kept connection is left this long before the peer's announced timeout.
constexpr Duration IdleMargin = std::chrono::milliseconds(700);

void setProbes(Tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  const auto Set = [&](int Level, int Name, int Value) {
    // Best effort: without probes, the call's own time limits remain.
    (void)setsockopt(Handle, Level, Name, &Value, sizeof(Value));
  };
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, ProbeIdleSeconds);
  Set(IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
  Set(IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
  Set(IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
  Set(IPPROTO_TCP, TCP_NODELAY, 1);
}

// The time in "Keep-Alive: timeout=5"; zero if there is none.
Duration announcedIdleTime(std::string_view Field) {
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

  struct Kept {
    Tcp::socket Socket;
    Time Since;
    // Not used again after this.
    Time Until;
  };

  std::optional<Tcp::socket> take(const std::string &Key, Duration MaxAge) {
    auto It = Idle.find(Key);
    const Time N = steadyNow();
    while (It != Idle.end() && !It->second.empty()) {
      Kept Last = std::move(It->second.back());
      It->second.pop_back();
      if (N >= Last.Until || N - Last.Since > MaxAge)
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

  void give(const std::string &Key, Tcp::socket Socket, Duration Usable) {
    auto &List = Idle[Key];
    const Time N = steadyNow();
    std::erase_if(List, [&](const Kept &K) { return N >= K.Until; });
    if (List.size() < MaxIdlePerEndpoint)
      List.push_back({std::move(Socket), N, N + Usable});
  }

  asio::io_context &Io;
  std::map<std::string, std::vector<Kept>> Idle;
};

namespace {

class LiveCall : public Call, public std::enable_shared_from_this<LiveCall> {
public:
  LiveCall(std::shared_ptr<Client::Pool> Idle, const Endpoint &To, Request What,
           CallOptions Options, CallHandlers On)
      : Idle(std::move(Idle)), Key(To.text()), To(To), Options(Options),
        On(std::move(On)) {
    Stream.emplace(this->Idle->Io);
    Message.version(11);
    Message.method_string(What.Method);
    Message.target(What.Target);
    Message.set(bhttp::field::host, Key);
    for (const Header &H : What.Fields) {
      if (beast::iequals(H.Name, "Host"))
        Message.set(bhttp::field::host, H.Value);
      else
        Message.insert(H.Name, H.Value);
    }
    Message.body() = std::move(What.Body);
    Message.keep_alive(!Options.freshConnection());
    Message.prepare_payload();
    Buffer.max_size(ReadBufferBytes);
  }

  void run() {
    if (!Options.freshConnection())
      if (auto Socket = Idle->take(Key, Options.maxIdleAge())) {
        Stream.emplace(std::move(*Socket));
        Reused = true;
        return write();
      }
    connect();
  }

  void cancel() override {
    if (Over)
      return;
    Over = true;
    resetSocket();
  }

private:
  void connect() {
    Stream->expires_after(nanos(Options.connectTimeout()));
    const Tcp::endpoint Where(asio::ip::make_address(To.Address), To.Port);
    Stream->async_connect(Where, [Self = shared_from_this()](ErrorCode Error) {
      if (Self->Over)
        return;
      if (Error)
        return Self->fail(CallError::NotSent, Error);
      setProbes(Self->Stream->socket());
      Self->write();
    });
  }

  void write() {
    Written = false;
    Stream->expires_after(nanos(Options.silenceTimeout()));
    bhttp::async_write(*Stream, Message,
                       [Self = shared_from_this(),
                        Attempt = Attempt](ErrorCode Error, size_t Bytes) {
                         if (Self->Over || Attempt != Self->Attempt)
                           return;
                         Self->Written = !Error;
                         // Nothing was taken by a connection that the peer had
                         // closed. Other errors show when the answer is read.
                         if (Error && Bytes == 0 &&
                             kindOf(Error) == CallError::Broken)
                           Self->brokenBeforeHead(Error, true);
                       });
    Parser.emplace();
    Parser->body_limit(MaxBodyBytes);
    if (Message.method() == bhttp::verb::head)
      Parser->skip(true);
    readHead();
  }

  void readHead() {
    Stream->expires_after(nanos(Options.silenceTimeout()));
    bhttp::async_read_header(
        *Stream, Buffer, *Parser,
        [Self = shared_from_this(), Attempt = Attempt](ErrorCode Error,
                                                       size_t) {
          if (Self->Over || Attempt != Self->Attempt)
            return;
          if (Error)
            return Self->brokenBeforeHead(Error, false);
          ResponseHead Head;
          Head.Status = Self->Parser->get().result_int();
          for (const auto &F : Self->Parser->get())
            Head.Fields.push_back(
                {std::string(F.name_string()), std::string(F.value())});
          if (Self->On.OnHead)
            Self->On.OnHead(Head);
          Self->afterPart();
        });
  }

  void afterPart() {
    if (Over)
      return;
    std::string &Body = Parser->get().body();
    if (!Body.empty()) {
      std::string Part = std::move(Body);
      Body.clear();
      if (On.OnData)
        On.OnData(std::move(Part));
      if (Over)
        return;
    }
    if (Parser->is_done())
      return done();
    Stream->expires_after(nanos(Options.silenceTimeout()));
    bhttp::async_read_some(
        *Stream, Buffer, *Parser,
        [Self = shared_from_this()](ErrorCode Error, size_t) {
          if (Self->Over)
            return;
          if (Error)
            return Self->fail(kindOf(Error), Error);
          Self->afterPart();
        });
  }

  void done() {
    Over = true;
    if (Parser->get().keep_alive() && !Options.freshConnection() && Written &&
        Buffer.size() == 0) {
      Stream->expires_never();
      const Duration Announced =
          announcedIdleTime(std::string(Parser->get()["Keep-Alive"]));
      const Duration Usable =
          Announced > Duration(0)
              ? std::max(Announced - IdleMargin, Announced / 2)
              : Options.maxIdleAge();
      Idle->give(Key, Stream->release_socket(), Usable);
    } else {
      closeSocket();
    }
    if (On.OnDone)
      On.OnDone();
  }

  // \p NothingLeft: the connection took no byte of the request.
  void brokenBeforeHead(ErrorCode Error, bool NothingLeft) {
    const bool Repeatable =
        NothingLeft ||
        (Options.repeatReads() && Message.method() == bhttp::verb::get);
    if (Reused && Repeatable && kindOf(Error) == CallError::Broken) {
      Reused = false;
      ++Attempt;
      Buffer.clear();
      Stream.emplace(Idle->Io);
      return connect();
    }
    fail(NothingLeft ? CallError::NotSent : kindOf(Error), Error);
  }

  static CallError kindOf(ErrorCode Error) {
    return Error == beast::error::timeout ? CallError::Silent
                                          : CallError::Broken;
  }

  void fail(CallError Kind, ErrorCode Error) {
    Over = true;
    resetSocket();
    if (On.OnError)
      On.OnError(Kind, Error.message());
  }

  // A call that is given up must not reach its peer later: an orderly close
  // would leave bytes that a cut link holds up to be delivered after it heals.
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

  static std::chrono::nanoseconds nanos(Duration D) { return D; }

  std::shared_ptr<Client::Pool> Idle;
  std::string Key;
  Endpoint To;
  CallOptions Options;
  CallHandlers On;
  std::optional<beast::tcp_stream> Stream;
  beast::flat_buffer Buffer;
  bhttp::request<bhttp::string_body> Message;
  std::optional<bhttp::response_parser<bhttp::string_body>> Parser;
  // Handlers of an earlier connection of this call are told apart by it.
  unsigned Attempt = 0;
  bool Written = false;
  bool Reused = false;
  bool Over = false;
};

} // namespace

Client::Client(asio::io_context &Io) : Idle(std::make_shared<Pool>(Io)) {}
Client::~Client() = default;

std::shared_ptr<Call> Client::start(const Endpoint &To, Request What,
                                    CallOptions Options, CallHandlers On) {
  auto Live = std::make_shared<LiveCall>(Idle, To, std::move(What), Options,
                                         std::move(On));
  asio::post(Idle->Io, [Live] { Live->run(); });
  return Live;
}

std::shared_ptr<Call>
Client::fetch(const Endpoint &To, Request What, CallOptions Options,
              std::function<void(const Response *, CallError)> Done) {
  auto Out = std::make_shared<Response>();
  CallHandlers On;
  On.OnHead = [Out](const ResponseHead &Head) { Out->Head = Head; };
  On.OnData = [Out](std::string Part) { Out->Body += Part; };
  On.OnDone = [Out, Done] { Done(Out.get(), CallError::Broken); };
  On.OnError = [Done](CallError Kind, const std::string &) {
    Done(nullptr, Kind);
  };
  return start(To, std::move(What), Options, std::move(On));
}

void Client::dropIdle(const Endpoint &To) { Idle->Idle.erase(To.text()); }

Response fetchNow(const Endpoint &To, Request What, CallOptions Options) {
  asio::io_context Io;
  Client C(Io);
  Response Out;
  bool Ok = false;
  C.fetch(To, std::move(What), Options, [&](const Response *R, CallError) {
    Ok = R != nullptr;
    if (R)
      Out = *R;
  });
  Io.run();
  if (!Ok)
    throw std::runtime_error("no answer from " + To.text());
  return Out;
}

} // namespace goldcrestlink::http
