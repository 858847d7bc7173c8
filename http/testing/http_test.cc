// Tests the HTTP client and server against raw sockets that break the protocol,
// respond early or disconnect.
#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <optional>
#include <thread>

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "http/client.h"
#include "http/connection_check.h"
#include "http/server.h"

using namespace goldcrestlink;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

// Larger than any packet without data, in bytes.
constexpr uint32_t MaxBarePacket = 60;

// The kernel drops packets of more than \p Size bytes that arrive for the
// socket, as a link that loses them would. A socket that accepts passes this
// on.
void dropPacketsAbove(int Socket, uint32_t Size) {
  sock_filter Code[] = {{BPF_LD | BPF_W | BPF_LEN, 0, 0, 0},
                        {BPF_JMP | BPF_JGT | BPF_K, 0, 1, Size},
                        {BPF_RET | BPF_K, 0, 0, 0},
                        {BPF_RET | BPF_K, 0, 0, UINT32_MAX}};
  const sock_fprog Program = {std::size(Code), Code};
  REQUIRE(setsockopt(Socket, SOL_SOCKET, SO_ATTACH_FILTER, &Program,
                     sizeof(Program)) == 0);
}

void deliverPackets(int Socket) {
  const int Unused = 0;
  REQUIRE(setsockopt(Socket, SOL_SOCKET, SO_DETACH_FILTER, &Unused,
                     sizeof(Unused)) == 0);
}

enum class Arrival { Nothing, Data, Close };

// What arrives at the socket next, within \p Wait.
Arrival nextArrival(int Socket, std::chrono::milliseconds Wait) {
  pollfd Watched = {Socket, POLLIN, 0};
  if (poll(&Watched, 1, static_cast<int>(Wait.count())) <= 0)
    return Arrival::Nothing;
  char Byte;
  return recv(Socket, &Byte, 1, MSG_DONTWAIT) > 0 ? Arrival::Data
                                                  : Arrival::Close;
}

// A raw TCP server that accepts one connection and runs a script on it, on its
// own thread.
class Peer {
public:
  explicit Peer(std::function<void(Tcp::socket &)> Script,
                uint32_t MaxPacket = UINT32_MAX)
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    dropPacketsAbove(Acceptor.native_handle(), MaxPacket);
    Thread = std::thread([this, Script = std::move(Script)] {
      Tcp::socket Socket(Io);
      boost::system::error_code Error;
      Acceptor.accept(Socket, Error);
      if (!Error)
        Script(Socket);
    });
  }
  ~Peer() { Thread.join(); }
  http::Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::thread Thread;
};

void readHead(Tcp::socket &Socket) {
  asio::streambuf Buffer;
  boost::system::error_code Error;
  asio::read_until(Socket, Buffer, "\r\n\r\n", Error);
}

void writeText(Tcp::socket &Socket, std::string_view Text) {
  boost::system::error_code Error;
  asio::write(Socket, asio::buffer(Text), Error);
}

// Result of a call to a peer that writes \p ResponseText and closes the
// connection: "status:body", or "broken" if the call fails.
std::string fetchOutcome(std::string ResponseText) {
  Peer P([&](Tcp::socket &Socket) {
    readHead(Socket);
    writeText(Socket, ResponseText);

    Socket.close();
  });
  asio::io_context Io;
  http::Client Client(Io);
  std::string Out = "none";
  Client.fetch(P.endpoint(), http::Request(), http::CallOptions(),
               [&](const http::Response *R, http::CallError) {
                 Out = R ? std::to_string(R->Head.Status) + ":" + R->Body
                         : "broken";
               });
  Io.run();
  return Out;
}

} // namespace

TEST_CASE("a call succeeds only if its response is complete") {
  struct Row {
    const char *ResponseText;
    const char *Expected;
  };
  const Row Rows[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "200:ab"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "broken"},
      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab", "200:ab"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2\r\nab\r\n0\r\n\r\n",
       "200:ab"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
       "broken"},
      {"HTTP/1.1 100 Continue\r\n\r\n"
       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
       "200:ab"},
      {"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
       "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
       "503:"},
      {"HTTP/1.1 100 Continue\r\n\r\n", "broken"},
      {"HTTP/1.1 101 Switching Protocols\r\n\r\nab", "broken"},
      // Codes that have no meaning, alone and before a response.
      {"HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nab", "broken"},
      {"HTTP/1.1 000 No\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
       "\r\n",
       "broken"},
      {"HTTP/1.1 099 No\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
       "\r\n",
       "broken"},
      {"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nab", "broken"},
      {"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nab", "broken"},
      {"HTTP/1.1 600 No\r\nContent-Length: 2\r\n\r\nab", "broken"},
      {"HTTP/1.1 999 No\r\nContent-Length: 2\r\n\r\nab", "broken"},
      {"HTTP/1.1 199 No\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
       "\r\n",
       "broken"},
      {"HTTP/1.1 599 No\r\nContent-Length: 0\r\n\r\n", "599:"},
      {"HTTP/1.1 200", "broken"},
      {"nonsense\r\n\r\n", "broken"},
      {"", "broken"},
  };
  for (const Row &R : Rows) {
    CAPTURE(std::string(R.ResponseText));
    CHECK(fetchOutcome(R.ResponseText) == std::string(R.Expected));
  }
}

// The kernel reports the reset to the write of the request, and the read then
// sees an orderly end.
TEST_CASE("a reset while the request is written breaks a response without "
          "length") {
  constexpr size_t RequestBytes = 64 * 1024 * 1024;
  for (int I = 0; I < 10; ++I) {
    Peer P([](Tcp::socket &Socket) {
      readHead(Socket);
      writeText(Socket, "HTTP/1.1 200 OK\r\n\r\npart");
      // The client takes the part before the reset discards it.
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      Socket.set_option(asio::socket_base::linger(true, 0));
      Socket.close();
    });
    asio::io_context Io;
    http::Client Client(Io);
    http::Request Request;
    Request.Method = "POST";
    Request.Body.assign(RequestBytes, 'x');
    std::string Out = "none";
    Client.fetch(P.endpoint(), std::move(Request), http::CallOptions(),
                 [&](const http::Response *R, http::CallError) {
                   Out = R ? "complete" : "broken";
                 });
    Io.run();
    CHECK(Out == "broken");
  }
}

TEST_CASE("a response that names a huge length takes no memory for it") {
  CHECK(fetchOutcome("HTTP/1.1 200 OK\r\nContent-Length: 999999999999999\r\n"
                     "\r\nab") == "broken");
}

TEST_CASE("cancelling a call closes its connection, and no handler runs") {
  struct Row {
    const char *Name;
    // What the peer writes before the call is cancelled.
    std::string Response;
  };
  const Row Rows[] = {{"no response", ""},
                      {"a part of a response",
                       "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                           std::string(50000, 'x')}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    std::atomic<bool> Answered = false;
    Arrival Seen = Arrival::Nothing;
    {
      Peer P([&](Tcp::socket &Socket) {
        readHead(Socket);
        writeText(Socket, R.Response);
        Answered = true;
        Seen = nextArrival(Socket.native_handle(), std::chrono::seconds(10));
      });
      asio::io_context Io;
      http::Client Client(Io);
      http::CallHandlers On;
      On.OnDone = [] { FAIL("OnDone was called after cancel()"); };
      On.OnError = [](http::CallError, const std::string &) {
        FAIL("OnError was called after cancel()");
      };
      const auto Call = Client.start(P.endpoint(), http::Request(),
                                     http::CallOptions(), std::move(On));
      while (!Answered)
        Io.run_for(std::chrono::milliseconds(1));
      Call->cancel();
      Io.run_for(std::chrono::milliseconds(50));
    }
    CHECK(Seen == Arrival::Close);
  }
}

TEST_CASE("the close of a cancelled call reaches its peer after packets were "
          "lost") {
  std::atomic<bool> Lossy = false;
  Arrival Seen = Arrival::Nothing;
  {
    Peer P([&](Tcp::socket &Socket) {
      readHead(Socket);
      // Longer than the peer's kernel waits with an acknowledgement.
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      dropPacketsAbove(Socket.native_handle(), 0);
      Lossy = true;
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
      deliverPackets(Socket.native_handle());
      Seen = nextArrival(Socket.native_handle(), std::chrono::seconds(5));
    });
    asio::io_context Io;
    http::Client Client(Io);
    const auto Call = Client.start(P.endpoint(), http::Request(),
                                   http::CallOptions(), http::CallHandlers());
    while (!Lossy)
      Io.run_for(std::chrono::milliseconds(1));
    Call->cancel();
  }
  CHECK(Seen == Arrival::Close);
}

TEST_CASE("the request of a cancelled call does not arrive later") {
  std::atomic<bool> Accepted = false;
  Arrival Seen = Arrival::Nothing;
  {
    Peer P(
        [&](Tcp::socket &Socket) {
          Accepted = true;
          std::this_thread::sleep_for(std::chrono::milliseconds(300));
          deliverPackets(Socket.native_handle());
          Seen = nextArrival(Socket.native_handle(), std::chrono::seconds(2));
        },
        MaxBarePacket);
    asio::io_context Io;
    http::Client Client(Io);
    const auto Call = Client.start(P.endpoint(), http::Request(),
                                   http::CallOptions(), http::CallHandlers());
    while (!Accepted)
      Io.run_for(std::chrono::milliseconds(1));
    Io.run_for(std::chrono::milliseconds(100));
    Call->cancel();
  }
  CHECK(Seen != Arrival::Data);
}

TEST_CASE(
    "a response that arrives before the request body is read is accepted") {
  Peer P([&](Tcp::socket &Socket) {
    readHead(Socket);
    writeText(Socket, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno");
    char Byte;
    boost::system::error_code Error;
    // Reads until the client closes the connection, which it must not reuse.
    while (!Error)
      Socket.read_some(asio::buffer(&Byte, 1), Error);
  });
  asio::io_context Io;
  http::Client Client(Io);
  http::Request Long;
  Long.Method = "POST";
  Long.Body.assign(64 * 1024 * 1024, 'x');
  unsigned Status = 0;
  Client.fetch(P.endpoint(), std::move(Long), http::CallOptions(),
               [&](const http::Response *R, http::CallError) {
                 Status = R ? R->Head.Status : 0;
               });
  Io.run();
  CHECK(Status == 413);
}

namespace {

// Sends \p Text to a server with the given limits and returns all that the
// server sends until it closes the connection. \p Served counts the requests
// that reached the handler, which answers with the first \p EchoBytes of the
// body.
std::string responseTo(const std::string &Text, http::ServerOptions Limits,
                       int &Served, size_t EchoBytes = std::string::npos) {
  asio::io_context Io;
  http::Server Server(
      Io, {"127.0.0.1", 0}, Limits,
      [&](http::Request Req, std::shared_ptr<http::Responder> R) {
        ++Served;
        R->respond(200, {},
                   Req.Method + " " + Req.Target + " " +
                       Req.Body.substr(0, EchoBytes));
      });
  std::string Out;
  std::thread Caller([&] {
    asio::io_context CallerIo;
    Tcp::socket Socket(CallerIo);
    Socket.connect({asio::ip::make_address("127.0.0.1"), Server.port()});
    writeText(Socket, Text);
    boost::system::error_code Error;
    char Chunk[4096];
    while (!Error) {
      const size_t Bytes = Socket.read_some(asio::buffer(Chunk), Error);
      Out.append(Chunk, Bytes);
    }
    asio::post(Io, [&] { Io.stop(); });
  });
  Io.run();
  Caller.join();
  return Out;
}

} // namespace

TEST_CASE("requests of ambiguous length or beyond a limit are rejected and "
          "close the connection") {
  struct Row {
    const char *Text;
    int Served;
    const char *Expected;
  };
  const Row Rows[] = {
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
       "Connection: close\r\n\r\nab",
       1, "200"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
       "Content-Length: 3\r\n\r\nabc",
       0, "400"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
       0, "400"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n"
       "GET /b HTTP/1.1\r\n\r\n",
       0, "400"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, gzip\r\n"
       "\r\n0\r\n\r\n",
       0, "400"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", 0, "400"},
      {"garbage\r\n\r\n", 0, "400"},
      {"TRACE /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb", 0, "405"},
      {"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 0, "405"},
      {"GET /a HTTP/1.1\r\nHost: h\r\nX: "
       "0123456789012345678901234567890123456789012345678901234567890123456789"
       "0123456789012345678901234567890123456789012345678901234567890123456789"
       "\r\n\r\n",
       0, "431"},
      {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n", 0, "413"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Text);
    int Served = 0;
    const std::string Out = responseTo(
        R.Text,
        http::ServerOptions().setMaxHeaderBytes(150).setMaxBodyBytes(100),
        Served);
    CHECK(Served == R.Served);
    CHECK(Out.substr(9, 3) == R.Expected);
  }
}

// Trailers pass none of the checks of header fields.
TEST_CASE("trailers do not become fields of the request") {
  asio::io_context Io;
  http::Headers Fields;
  http::Server Server(
      Io, {"127.0.0.1", 0}, http::ServerOptions(),
      [&](http::Request Request, std::shared_ptr<http::Responder> R) {
        Fields = std::move(Request.Fields);
        R->respond(200, {}, "");
        asio::post(Io, [&] { Io.stop(); });
      });
  Tcp::socket Socket(Io);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Server.port()});
  writeText(Socket, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n1\r\nb\r\n0\r\nX-Late: y\r\n\r\n");
  Io.run();
  CHECK(http::headerValue(Fields, "Host") == "h");
  CHECK(http::headerValue(Fields, "X-Late").empty());
}

// Room that is added while the body grows, chunk heads split between reads.
TEST_CASE("a chunked body of any chunk size is received whole") {
  constexpr size_t Bytes = 90000;
  for (const size_t Chunk : {size_t(1), size_t(7), size_t(5000), Bytes}) {
    CAPTURE(Chunk);
    std::string Text = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    std::string Body;
    while (Body.size() < Bytes) {
      const size_t Size = std::min(Chunk, Bytes - Body.size());
      const std::string Part(Size, static_cast<char>('a' + Body.size() % 26));
      char Head[20];
      std::snprintf(Head, sizeof(Head), "%zx;x=y\r\n", Size);
      Text += Head + Part + "\r\n";
      Body += Part;
    }
    Text += "0\r\nX-Trailer: y\r\n\r\n";
    auto Budget = std::make_shared<MemoryBudget>(400000);
    int Served = 0;
    const std::string Out = responseTo(
        Text, http::ServerOptions().setMemory(Budget).setMaxBodyBytes(Bytes),
        Served);
    CHECK(Served == 1);
    CHECK(Out.ends_with("POST /a " + Body));
    CHECK(Budget->used() == 0);
  }
}

// Reading a body for which there is no room, or keeping small requests out.
TEST_CASE("a body beyond the memory budget is refused before it is read") {
  constexpr size_t Limit = 200000;
  // So that the answer needs no room of its own.
  constexpr size_t AnswerBytes = 100;
  struct Row {
    const char *Framing;
    size_t Taken;
    const char *Expected;
  };
  const Row Rows[] = {
      {"Content-Length: 150000\r\n", 0, "200"},
      {"Content-Length: 150000\r\n", 100000, "503"},
      {"Content-Length: 150000\r\nExpect: 100-continue\r\n", 100000, "503"},
      {"Transfer-Encoding: chunked\r\n", 100000, "503"},
      // Uses the part for small requests.
      {"Content-Length: 3\r\n", 180000, "200"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Framing);
    CAPTURE(R.Taken);
    auto Budget = std::make_shared<MemoryBudget>(Limit);
    MemoryReservation Other(Budget, MemoryKind::Answers);
    REQUIRE(Other.resize(R.Taken, MemoryClaim::Small));
    const std::string_view Framing = R.Framing;
    std::string Text = "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
                       std::string(Framing) + "\r\n";
    if (Framing.find("chunked") != std::string_view::npos)
      Text += "1e848\r\n" + std::string(125000, 'b');
    else if (Framing.find("Expect") == std::string_view::npos)
      Text += Framing.find(" 3") != std::string_view::npos
                  ? "abc"
                  : std::string(150000, 'b');
    int Served = 0;
    const std::string Out =
        responseTo(Text.c_str(), http::ServerOptions().setMemory(Budget),
                   Served, AnswerBytes);
    CHECK(Out.substr(9, 3) == R.Expected);
    CHECK((Out.find("Retry-After: ") != std::string::npos) ==
          (Out.substr(9, 3) == "503"));
    CHECK(Served == (Out.substr(9, 3) == "200" ? 1 : 0));
    CHECK(Budget->used(MemoryKind::Bodies) == 0);
  }
}

// Guards against requests that are refused for the room of idle connections.
TEST_CASE("idle connections yield their room to requests") {
  constexpr size_t Limit = 200000;
  constexpr size_t ReceiveBytes = 16 * 1024;
  // More than the room for connections and a body.
  for (const size_t Idle : {size_t(3), size_t(8)}) {
    CAPTURE(Idle);
    asio::io_context Io;
    auto Budget = std::make_shared<MemoryBudget>(Limit);
    http::Server Server(
        Io, {"127.0.0.1", 0},
        http::ServerOptions().setMemory(Budget).setReceiveBytes(ReceiveBytes),
        [](http::Request, std::shared_ptr<http::Responder> Answer) {
          Answer->respond(200, {}, "done");
        });
    asio::io_context CallerIo;
    std::vector<Tcp::socket> Sockets;
    for (size_t I = 0; I < Idle; ++I) {
      Sockets.emplace_back(CallerIo);
      Sockets.back().connect(
          {asio::ip::make_address("127.0.0.1"), Server.port()});
      Io.run_for(std::chrono::milliseconds(10));
      Io.restart();
    }
    // Until they have been idle for long enough to yield.
    Io.run_for(std::chrono::milliseconds(1100));
    Io.restart();
    // At least what the kernel may hold for each of them is reserved.
    CHECK(Budget->used(MemoryKind::Connections) >=
          2 * ReceiveBytes * std::min<size_t>(Idle, 3));
    std::optional<unsigned> Status;
    http::Client Client(Io);
    http::Request Request;
    Request.Method = "POST";
    Request.Body = std::string(50000, 'b');
    Client.fetch({"127.0.0.1", Server.port()}, std::move(Request),
                 http::CallOptions(),
                 [&](const http::Response *Answer, http::CallError) {
                   Status = Answer ? Answer->Head.Status : 0;
                   Io.stop();
                 });
    Io.run_for(std::chrono::seconds(20));
    CHECK(Status == 200U);
    CHECK(Budget->used() <= Limit);
  }
}

TEST_CASE("stopAccepting() does not cut off a request that was just read") {
  // The server stops while the bytes of the request are in the socket, or read
  // but not handled yet, or handled.
  for (int StepsBeforeStop = 0; StepsBeforeStop < 8; ++StepsBeforeStop) {
    CAPTURE(StepsBeforeStop);
    asio::io_context Io;
    int Served = 0;
    http::Server Server(Io, {"127.0.0.1", 0}, http::ServerOptions(),
                        [&](http::Request, std::shared_ptr<http::Responder> R) {
                          ++Served;
                          R->respond(200, {}, "done");
                        });
    asio::io_context CallerIo;
    Tcp::socket Socket(CallerIo);
    Socket.connect({asio::ip::make_address("127.0.0.1"), Server.port()});
    Io.run_for(std::chrono::milliseconds(20));
    Io.restart();
    writeText(Socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    std::function<void(int)> Step = [&](int Left) {
      if (Left == 0)
        return Server.stopAccepting();
      asio::post(Io, [&, Left] { Step(Left - 1); });
    };
    asio::post(Io, [&] { Step(StepsBeforeStop); });
    Io.run_for(std::chrono::milliseconds(50));
    asio::streambuf Buffer;
    boost::system::error_code Error;
    asio::read(Socket, Buffer, Error);
    CHECK((Buffer.size() > 0) == (Served > 0));
  }
}

// Guards against an answer that is cut off although none of it was sent.
TEST_CASE("a complete answer that finds no room is replaced by a failure") {
  constexpr size_t AnswerBytes = 150000;
  struct Row {
    const char *Name;
    size_t Room;
    size_t MaxUnsent;
    const char *Expected;
  };
  const Row Rows[] = {{"fits", 200000, 200000, "200"},
                      {"no room in the budget", 100000, 200000, "502"},
                      {"above the limit", 200000, 100000, "502"}};
  for (const Row &R : Rows) {
    CAPTURE(std::string(R.Name));
    asio::io_context Io;
    http::Server Server(
        Io, {"127.0.0.1", 0},
        http::ServerOptions()
            .setMemory(std::make_shared<MemoryBudget>(R.Room))
            .setMaxUnsentBytes(R.MaxUnsent),
        [](http::Request, std::shared_ptr<http::Responder> Answer) {
          Answer->respond(200, {}, std::string(AnswerBytes, 'a'));
        });
    std::optional<unsigned> Status;
    http::Client Client(Io);
    Client.fetch({"127.0.0.1", Server.port()}, http::Request(),
                 http::CallOptions(),
                 [&](const http::Response *Answer, http::CallError) {
                   Status = Answer ? Answer->Head.Status : 0;
                   Io.stop();
                 });
    Io.run_for(std::chrono::seconds(20));
    CHECK(Status == static_cast<unsigned>(std::stoul(R.Expected)));
  }
}

// Guards against an idle time that begins when an answer is written, while its
// client counts from when it has read it.
TEST_CASE("a client that reads an answer late may use its connection again") {
  constexpr Duration IdleTime = std::chrono::seconds(4);
  // The client has read the answer late by this part of the idle time.
  constexpr int LateParts = 10;
  asio::io_context Io;
  http::Server Server(Io, {"127.0.0.1", 0},
                      http::ServerOptions().setIdleTimeout(IdleTime),
                      [](http::Request, std::shared_ptr<http::Responder> R) {
                        R->respond(200, {}, "done");
                      });
  asio::io_context CallerIo;
  Tcp::socket Socket(CallerIo);
  Socket.connect({asio::ip::make_address("127.0.0.1"), Server.port()});
  constexpr std::string_view Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  writeText(Socket, Request);
  Io.run_for(IdleTime + IdleTime / LateParts);
  writeText(Socket, Request);
  Io.run_for(std::chrono::milliseconds(100));
  std::string Answers(1000, ' ');
  boost::system::error_code Error;
  Answers.resize(Socket.read_some(asio::buffer(Answers), Error));
  CHECK(Answers.find("done") != Answers.rfind("done"));
}

// Guards against a stop that cuts off uploads which could still be served, and
// against requests that get no answer when the process ends.
TEST_CASE("after stopAccepting(), a request that has begun to arrive is served "
          "or refused") {
  struct Row {
    const char *Name;
    const char *Begin;
    const char *Rest;
  };
  const Row Rows[] = {
      {"in its header", "POST /a HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
      {"in a body", "POST /a HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc", "def"},
      {"in a chunk",
       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabc",
       "def\r\n0\r\n\r\n"},
      {"before its body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\n",
       "abc"}};
  for (const Row &R : Rows)
    for (const bool Refuses : {false, true})
      for (const bool RestArrives : {false, true}) {
        CAPTURE(R.Name);
        CAPTURE(Refuses);
        CAPTURE(RestArrives);
        asio::io_context Io;
        int Served = 0;
        http::Server Server(
            Io, {"127.0.0.1", 0}, http::ServerOptions(),
            [&](http::Request, std::shared_ptr<http::Responder> Answer) {
              ++Served;
              Answer->respond(200, {}, "done");
            });
        const auto Run = [&] {
          Io.run_for(std::chrono::milliseconds(20));
          Io.restart();
        };
        asio::io_context CallerIo;
        Tcp::socket Socket(CallerIo);
        Socket.connect({asio::ip::make_address("127.0.0.1"), Server.port()});
        Run();
        writeText(Socket, R.Begin);
        Run();
        Server.announceClose();
        Server.stopAccepting();
        Run();
        CHECK(Server.undelivered() == 1);
        if (Refuses)
          Server.refuseIncomplete();
        Run();
        if (RestArrives)
          writeText(Socket, R.Rest);
        Run();
        CHECK(Served == (RestArrives && !Refuses ? 1 : 0));
        if (!RestArrives && !Refuses)
          continue;
        asio::streambuf Buffer;
        asio::read_until(Socket, Buffer, "\r\n\r\n");
        const std::string Head(asio::buffers_begin(Buffer.data()),
                               asio::buffers_end(Buffer.data()));
        CHECK(Head.starts_with(Refuses ? "HTTP/1.1 503 " : "HTTP/1.1 200 "));
        CHECK((Head.find("Retry-After: ") != std::string::npos) == Refuses);
        Socket.close();
        Run();
        CHECK(Server.undelivered() == 0);
      }
}

TEST_CASE("an aborted response does not look complete, whatever its framing") {
  struct Row {
    const char *Version;
    bool Aborted;
    const char *Body;
    bool Reset;
  };
  for (const Row &R :
       {Row{"1.1", false, "5\r\nfirst\r\n0\r\n\r\n", false},
        Row{"1.1", true, "5\r\nfirst\r\n", false},
        Row{"1.0", false, "first", false}, Row{"1.0", true, "first", true}}) {
    CAPTURE(R.Version);
    CAPTURE(R.Aborted);
    asio::io_context Io;
    std::shared_ptr<http::Responder> Running;
    http::Server Server(Io, {"127.0.0.1", 0}, http::ServerOptions(),
                        [&](http::Request, std::shared_ptr<http::Responder> X) {
                          X->begin(200, {});
                          X->data("first");
                          Running = std::move(X);
                        });
    std::string Body;
    boost::system::error_code End;
    std::thread Caller([&] {
      asio::io_context CallerIo;
      Tcp::socket Socket(CallerIo);
      Socket.connect({asio::ip::make_address("127.0.0.1"), Server.port()});
      writeText(Socket, std::string("GET /a HTTP/") + R.Version +
                            "\r\nHost: h\r\nConnection: close\r\n\r\n");
      asio::streambuf Buffer;
      asio::read_until(Socket, Buffer, "first");
      asio::post(Io, [&] {
        R.Aborted ? Running->abort() : Running->end();
        Running.reset();
      });
      asio::read(Socket, Buffer, End);
      Body.assign(asio::buffers_begin(Buffer.data()),
                  asio::buffers_end(Buffer.data()));
      Body.erase(0, Body.find("\r\n\r\n") + 4);
      asio::post(Io, [&] { Io.stop(); });
    });
    Io.run();
    Caller.join();
    CHECK(Body == R.Body);
    CHECK((End == asio::error::connection_reset) == R.Reset);
  }
}

TEST_CASE(
    "after stopAccepting(), a connection closes once its response is sent") {
  asio::io_context Io;
  int Served = 0;
  std::shared_ptr<http::Responder> Running;
  http::Server Server(Io, {"127.0.0.1", 0}, http::ServerOptions(),
                      [&](http::Request, std::shared_ptr<http::Responder> R) {
                        ++Served;
                        R->begin(200, {});
                        R->data("first");
                        Running = std::move(R);
                      });
  std::string Seen;
  std::thread Caller([&] {
    asio::io_context CallerIo;
    Tcp::socket Socket(CallerIo);
    Socket.connect({asio::ip::make_address("127.0.0.1"), Server.port()});
    writeText(Socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    asio::streambuf Buffer;
    asio::read_until(Socket, Buffer, "first\r\n");
    asio::post(Io, [&] {
      Server.announceClose();
      Server.stopAccepting();
      Running->data("last");
      Running->end();
    });
    asio::read_until(Socket, Buffer, "0\r\n\r\n");
    // A second request on the same connection must not be served.
    writeText(Socket, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    boost::system::error_code Error;
    char Byte;
    Socket.read_some(asio::buffer(&Byte, 1), Error);
    Seen = Error ? "closed" : "answered";
    asio::post(Io, [&] { Io.stop(); });
  });
  Io.run();
  Caller.join();
  CHECK(Served == 1);
  CHECK(Seen == "closed");
}

TEST_CASE(
    "a request is not served if its caller disconnected before it was read") {
  asio::io_context Io;
  int Served = 0;
  http::Server Server(
      Io, {"127.0.0.1", 0}, http::ServerOptions(),
      [&](http::Request, std::shared_ptr<http::Responder>) { ++Served; });
  {
    // The server is paused: its io_context does not run yet.
    asio::io_context CallerIo;
    Tcp::socket Socket(CallerIo);
    Socket.connect({asio::ip::make_address("127.0.0.1"), Server.port()});
    writeText(Socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    Socket.shutdown(Tcp::socket::shutdown_send);
    // The server closes the connection once it has handled the request.
    std::thread Runner([&] { Io.run(); });
    char Byte;
    boost::system::error_code Error;
    Socket.read_some(asio::buffer(&Byte, 1), Error);
    CHECK(Error);
    Io.stop();
    Runner.join();
  }
  CHECK(Served == 0);
}

TEST_CASE("a response without end fails the call and closes its connection") {
  struct Row {
    const char *Start;
    const char *Part;
    size_t MaxBytes;
  };
  constexpr size_t MiB = 1024 * 1024;
  // Beside what the client reads, the sockets' buffers take some megabytes.
  constexpr size_t SocketBuffers = 16 * MiB;
  const Row Rows[] = {
      {"", "x", MiB},
      {"HTTP/1.1 200 OK\r\n", "A: b\r\n", MiB},
      {"HTTP/1.1 200 OK\r\nA: ", "b", MiB},
      {"HTTP/1.1 200 OK\r\n\r\n", "x", 16 * MiB},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n",
       16 * MiB},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "e", MiB},
  };
  for (const Row &R : Rows) {
    CAPTURE(std::string(R.Start));
    std::atomic<size_t> Written{0};
    int Ended = 0;
    bool Failed = false;
    {
      Peer P([&](Tcp::socket &Socket) {
        readHead(Socket);
        writeText(Socket, R.Start);
        std::string Block;
        while (Block.size() < 65536)
          Block += R.Part;
        boost::system::error_code Error;
        while (!Error && Written < 8 * (R.MaxBytes + SocketBuffers))
          Written += asio::write(Socket, asio::buffer(Block), Error);
      });
      asio::io_context Io;
      http::Client Client(Io);
      Client.fetch(P.endpoint(), http::Request(), http::CallOptions(),
                   [&](const http::Response *Response, http::CallError) {
                     ++Ended;
                     Failed = !Response;
                   });
      Io.run();
    }
    CHECK(Ended == 1);
    CHECK(Failed);
    // A chunk of four bytes takes nine on the wire.
    CHECK(Written <= 3 * R.MaxBytes + SocketBuffers);
  }
}

TEST_CASE("an idle connection is reused as long as its peer announced") {
  using namespace std::chrono_literals;
  struct Row {
    const char *Name;
    const char *Announced;
    Duration MaxIdleAge;
    Duration Idle;
    bool Reused;
  };
  const Row Rows[] = {
      {"announced, longer than the caller's limit", "Keep-Alive: timeout=3\r\n",
       50ms, 200ms, true},
      {"announced, almost over", "Keep-Alive: timeout=1\r\n", 60s, 700ms,
       false},
      {"not announced, within the caller's limit", "", 1s, 100ms, true},
      {"not announced, beyond the caller's limit", "", 50ms, 200ms, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    const std::string Response = "HTTP/1.1 200 OK\r\n" +
                                 std::string(R.Announced) +
                                 "Content-Length: 2\r\n\r\nok";
    // Accepts one connection only, so that a call on another one gets nothing.
    Peer P([&](Tcp::socket &Socket) {
      for (int I = 0; I < 2; ++I) {
        readHead(Socket);
        writeText(Socket, Response);
      }
    });
    asio::io_context Io;
    http::Client Client(Io);
    http::CallOptions Options;
    Options.setMaxIdleAge(R.MaxIdleAge).setReadTimeout(400ms);
    int Answered = 0;
    const auto Count = [&](const http::Response *A, http::CallError) {
      Answered += A ? 1 : 0;
    };
    Client.fetch(P.endpoint(), http::Request(), Options, Count);
    Io.run();
    REQUIRE(Answered == 1);
    std::this_thread::sleep_for(R.Idle);
    Io.restart();
    Client.fetch(P.endpoint(), http::Request(), Options, Count);
    Io.run();
    CHECK(Answered == (R.Reused ? 2 : 1));
  }
}

// Guards against a request that is written long after the decision to send it:
// while the connection was opened, the process may have been stopped.
TEST_CASE("a request is not written on a connection that was opened too late") {
  for (const bool May : {true, false}) {
    CAPTURE(May);
    asio::io_context Io;
    int Requests = 0;
    http::Server Server(Io, {"127.0.0.1", 0}, http::ServerOptions(),
                        [&](const http::Request &,
                            const std::shared_ptr<http::Responder> &Answer) {
                          ++Requests;
                          Answer->respond(200, {}, "");
                        });
    http::Client Client(Io);
    int Questions = 0;
    std::optional<http::CallError> Error;
    http::CallHandlers On;
    On.MayWrite = [&] {
      ++Questions;
      return May;
    };
    On.OnError = [&](http::CallError E, const std::string &) { Error = E; };
    On.OnDone = [&] { Io.stop(); };
    http::Request R;
    R.Method = "POST";
    R.Target = "/";
    const auto Call = Client.start({"127.0.0.1", Server.port()}, std::move(R),
                                   http::CallOptions(), std::move(On));
    Io.run_for(std::chrono::milliseconds(300));
    CHECK(Questions == 1);
    CHECK(Requests == (May ? 1 : 0));
    CHECK(Error.has_value() != May);
    CHECK(Error.value_or(http::CallError::NotSent) == http::CallError::NotSent);
  }
}

namespace {

// More than the event loop takes from the kernel at once, so that time-outs run
// before some of the calls of which something has arrived.
constexpr int PausedCalls = 300;

// The thread of \p Io gets no processor time for \p Length, \p After from now.
void pauseLoop(asio::io_context &Io, std::chrono::milliseconds After,
               std::chrono::milliseconds Length) {
  auto Timer = std::make_shared<asio::steady_timer>(Io, After);
  Timer->async_wait([Timer, Length](boost::system::error_code) {
    std::this_thread::sleep_for(Length);
  });
}

// Answers each request with 200 after a delay, on a thread of its own.
class LateServer {
public:
  explicit LateServer(std::chrono::milliseconds Delay)
      : Server(Io, {"127.0.0.1", 0}, http::ServerOptions(),
               [this, Delay](const http::Request &,
                             const std::shared_ptr<http::Responder> &Answer) {
                 auto Timer = std::make_shared<asio::steady_timer>(Io, Delay);
                 Timer->async_wait([Timer, Answer](boost::system::error_code) {
                   Answer->respond(200, {}, "body");
                 });
               }),
        Thread([this] { Io.run(); }) {}
  ~LateServer() {
    Io.stop();
    Thread.join();
  }
  http::Endpoint endpoint() const { return {"127.0.0.1", Server.port()}; }

private:
  asio::io_context Io;
  http::Server Server;
  std::thread Thread;
};

// Accepts connections, but loses the first packet of those that are opened at
// once: they are established after Delay, when the kernel repeats it.
class LateListener {
public:
  static constexpr std::chrono::milliseconds Delay{1000};
  LateListener() : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    Acceptor.listen(PausedCalls);
    dropPacketsAbove(Acceptor.native_handle(), 0);
    Thread = std::thread([this] {
      std::this_thread::sleep_for(Delay / 2);
      deliverPackets(Acceptor.native_handle());
    });
  }
  ~LateListener() { Thread.join(); }
  http::Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

private:
  asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace

TEST_CASE("a call whose answer arrived during a pause succeeds") {
  using std::chrono::milliseconds;
  LateServer Server(milliseconds(250));
  asio::io_context Io;
  http::Client Client(Io);
  int Done = 0;
  int Failed = 0;
  std::vector<std::shared_ptr<http::Call>> Calls;
  for (int I = 0; I < PausedCalls; ++I) {
    http::Request Request;
    Request.Method = "POST";
    Request.Target = "/";
    Calls.push_back(
        Client.fetch(Server.endpoint(), std::move(Request),
                     http::CallOptions().setReadTimeout(milliseconds(300)),
                     [&](const http::Response *Answer, http::CallError) {
                       ++(Answer ? Done : Failed);
                       if (Done + Failed == PausedCalls)
                         Io.stop();
                     }));
  }
  pauseLoop(Io, milliseconds(200), milliseconds(500));
  Io.run_for(milliseconds(5000));
  CHECK(Done == PausedCalls);
  CHECK(Failed == 0);
}

TEST_CASE("a connection that was established during a pause is used") {
  using std::chrono::milliseconds;
  LateListener Listener;
  asio::io_context Io;
  http::Client Client(Io);
  int Connected = 0;
  int Failed = 0;
  std::vector<std::shared_ptr<http::Call>> Calls;
  for (int I = 0; I < PausedCalls; ++I) {
    http::CallHandlers On;
    On.MayWrite = [&] {
      ++Connected;
      return false;
    };
    On.OnError = [&](http::CallError, const std::string &) {
      if (++Failed == PausedCalls)
        Io.stop();
    };
    Calls.push_back(
        Client.start(Listener.endpoint(), http::Request(),
                     http::CallOptions().setConnectTimeout(milliseconds(300)),
                     std::move(On)));
  }
  pauseLoop(Io, milliseconds(100), LateListener::Delay * 2);
  Io.run_for(milliseconds(6000));
  CHECK(Connected == PausedCalls);
}

TEST_CASE("a call fails in time if its peer falls silent") {
  using std::chrono::milliseconds;
  constexpr milliseconds Timeout(200);
  const char *Rows[] = {"", "HTTP/1.1 200 OK\r\nContent-Le",
                        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"};
  for (const std::string Part : Rows) {
    CAPTURE(Part);
    asio::io_context PeerIo;
    Tcp::acceptor Acceptor(PeerIo, {asio::ip::make_address("127.0.0.1"), 0});
    asio::io_context Io;
    http::Client Client(Io);
    std::optional<http::CallError> Error;
    const Time Start = currentTime().Steady;
    const auto Call = Client.fetch(
        {"127.0.0.1", Acceptor.local_endpoint().port()}, http::Request(),
        http::CallOptions().setReadTimeout(Timeout),
        [&](const http::Response *, http::CallError E) {
          Error = E;
          Io.stop();
        });
    Io.run_for(milliseconds(20));
    Tcp::socket Peer = Acceptor.accept();
    asio::write(Peer, asio::buffer(Part));
    Io.run_for(milliseconds(5000));
    CHECK(Error == http::CallError::TimedOut);
    CHECK(currentTime().Steady - Start >= Timeout);
    CHECK(currentTime().Steady - Start <= 4 * Timeout);
  }
}

TEST_CASE("a connection check that succeeded during a pause is accepted") {
  using std::chrono::milliseconds;
  LateListener Listener;
  asio::io_context Io;
  std::map<http::ConnectionCheck, int> Results;
  asio::post(Io, [&] {
    for (int I = 0; I < PausedCalls; ++I)
      http::checkConnection(
          Io, Listener.endpoint(), milliseconds(300),
          [&](http::ConnectionCheck Result) { ++Results[Result]; });
  });
  pauseLoop(Io, milliseconds(100), LateListener::Delay * 2);
  Io.run_for(milliseconds(6000));
  CHECK(Results[http::ConnectionCheck::Accepted] == PausedCalls);
  CHECK(Results[http::ConnectionCheck::Unknown] == 0);
}

TEST_CASE("a connection check of a peer that does not respond ends in time") {
  using std::chrono::milliseconds;
  asio::io_context PeerIo;
  Tcp::acceptor Acceptor(PeerIo, {asio::ip::make_address("127.0.0.1"), 0});
  dropPacketsAbove(Acceptor.native_handle(), 0);
  asio::io_context Io;
  std::optional<http::ConnectionCheck> Result;
  const Time Start = currentTime().Steady;
  http::checkConnection(Io, {"127.0.0.1", Acceptor.local_endpoint().port()},
                        milliseconds(200),
                        [&](http::ConnectionCheck R) { Result = R; });
  Io.run_for(milliseconds(5000));
  CHECK(Result == http::ConnectionCheck::Unknown);
  CHECK(currentTime().Steady - Start <= milliseconds(800));
}
