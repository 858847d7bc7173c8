// A call takes an idle connection or opens one, writes the request and reads
// the response in parts, handing each part over as it comes. A call on a kept
// connection that the peer closed before any response byte is repeated once on
// a fresh connection only if its method is safe to repeat (GET).
// Idle connections are bounded per client.
#include "http/client.h"

#include <map>
#include <optional>
#include <stdexcept>

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
} // namespace

struct Client::Pool {
  explicit Pool(asio::io_context &Io) : Io(Io) {}

  std::optional<Tcp::socket> take(const std::string &Key) {
    auto It = Idle.find(Key);
    while (It != Idle.end() && !It->second.empty()) {
      Tcp::socket Socket = std::move(It->second.back());
      It->second.pop_back();
      ErrorCode Error;
      Socket.non_blocking(true, Error);
      char Byte;
      Socket.receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek, Error);
      if (Error == asio::error::would_block)
        return Socket;
    }
    return std::nullopt;
  }

  void give(const std::string &Key, Tcp::socket Socket) {
    auto &List = Idle[Key];
    if (List.size() < MaxIdlePerEndpoint)
      List.push_back(std::move(Socket));
  }

  asio::io_context &Io;
  std::map<std::string, std::vector<Tcp::socket>> Idle;
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
    for (const Header &H : What.Fields)
      Message.set(H.Name, H.Value);
    Message.body() = std::move(What.Body);
    Message.keep_alive(!Options.freshConnection());
    Message.prepare_payload();
    Buffer.max_size(ReadBufferBytes);
  }

  void run() {
    if (!Options.freshConnection())
      if (auto Socket = Idle->take(Key)) {
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
    closeSocket();
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
      ErrorCode Ignored;
      Self->Stream->socket().set_option(Tcp::no_delay(true), Ignored);
      Self->write();
    });
  }

  void write() {
    Stream->expires_after(nanos(Options.silenceTimeout()));
    bhttp::async_write(*Stream, Message,
                       [Self = shared_from_this()](ErrorCode Error, size_t) {
                         if (Self->Over)
                           return;
                         if (Error)
                           return Self->brokenBeforeHead(Error);
                         Self->Parser.body_limit(MaxBodyBytes);
                         Self->readHead();
                       });
  }

  void readHead() {
    Stream->expires_after(nanos(Options.silenceTimeout()));
    bhttp::async_read_header(
        *Stream, Buffer, Parser,
        [Self = shared_from_this()](ErrorCode Error, size_t) {
          if (Self->Over)
            return;
          if (Error)
            return Self->brokenBeforeHead(Error);
          ResponseHead Head;
          Head.Status = Self->Parser.get().result_int();
          for (const auto &F : Self->Parser.get())
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
    std::string &Body = Parser.get().body();
    if (!Body.empty()) {
      std::string Part = std::move(Body);
      Body.clear();
      if (On.OnData)
        On.OnData(std::move(Part));
      if (Over)
        return;
    }
    if (Parser.is_done())
      return done();
    Stream->expires_after(nanos(Options.silenceTimeout()));
    bhttp::async_read_some(
        *Stream, Buffer, Parser,
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
    if (Parser.get().keep_alive() && !Options.freshConnection() &&
        Buffer.size() == 0) {
      Stream->expires_never();
      Idle->give(Key, Stream->release_socket());
    } else {
      closeSocket();
    }
    if (On.OnDone)
      On.OnDone();
  }

  void brokenBeforeHead(ErrorCode Error) {
    const bool Repeatable = Message.method() == bhttp::verb::get;
    if (Reused && Repeatable && kindOf(Error) == CallError::Broken) {
      Reused = false;
      Buffer.clear();
      Stream.emplace(Idle->Io);
      return connect();
    }
    fail(kindOf(Error), Error);
  }

  static CallError kindOf(ErrorCode Error) {
    return Error == beast::error::timeout ? CallError::Silent
                                          : CallError::Broken;
  }

  void fail(CallError Kind, ErrorCode Error) {
    Over = true;
    closeSocket();
    if (On.OnError)
      On.OnError(Kind, Error.message());
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
  bhttp::response_parser<bhttp::string_body> Parser;
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
