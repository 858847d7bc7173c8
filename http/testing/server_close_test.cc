// How a server gives up connections, step by step: a pause of the process is an
// io_context that does not run.
#include <doctest/doctest.h>

#include <memory>
#include <thread>
#include <vector>

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "base/memory_budget.h"
#include "http/server.h"

using namespace goldcrestlink;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// A client that neither waits for what it sends nor for what it reads.
class Caller {
public:
  explicit Caller(uint16_t Port) : Socket(Io) {
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port});
  }
  /// The number of bytes that were sent.
  size_t write(std::string_view Text) {
    const ssize_t N = ::send(Socket.native_handle(), Text.data(), Text.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT);
    return N < 0 ? 0 : static_cast<size_t>(N);
  }
  /// All that has arrived.
  std::string read() {
    std::string Out;
    char Bytes[65536];
    for (;;) {
      const ssize_t N =
          ::recv(Socket.native_handle(), Bytes, sizeof(Bytes), MSG_DONTWAIT);
      if (N <= 0)
        return Out;
      Out.append(Bytes, static_cast<size_t>(N));
    }
  }
  void reset() {
    Socket.set_option(asio::socket_base::linger(true, 0));
    Socket.close();
  }
  void setReceiveBuffer(int Bytes) {
    Socket.set_option(asio::socket_base::receive_buffer_size(Bytes));
  }

private:
  asio::io_context Io;
  Tcp::socket Socket;
};

void runFor(asio::io_context &Io, std::chrono::milliseconds Time) {
  Io.run_for(Time);
  Io.restart();
}

void pauseFor(std::chrono::milliseconds Time) {
  std::this_thread::sleep_for(Time);
}

/// The lines of a CloseLog; kept ones begin with "kept".
struct Lines {
  std::vector<std::string> All;
  std::shared_ptr<http::CloseLog> Log = std::make_shared<http::CloseLog>(
      "callers", [this](LogClass Class, const std::string &Line) {
        All.push_back((Class == LogClass::Kept ? "kept " : "routine ") + Line);
      });
};

constexpr const char *Get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char *GetBig = "GET /big HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against a body that is emptied for others and then read on.
TEST_CASE(
    "a body that has yielded while its time ran out is not handed on in part") {
  for (int K = 0; K < 12; ++K) {
    asio::io_context Io;
    std::vector<std::pair<std::string, size_t>> Sizes;
    Lines L;
    auto Budget = std::make_shared<MemoryBudget>(480000);
    http::Server Server(
        Io, {"127.0.0.1", 0},
        http::ServerOptions()
            .setMemory(Budget)
            .setBodyPause(1100ms)
            .setCloseLog(L.Log),
        [&](http::Request Q, std::shared_ptr<http::Responder> R) {
          Sizes.push_back({Q.Target, Q.Body.size()});
          R->respond(200, {}, "done");
        });
    Caller A(Server.port()), B(Server.port());
    runFor(Io, 20ms);
    A.write("POST /A HTTP/1.1\r\nHost: h\r\nContent-Length: 160000\r\n\r\n" +
            std::string(100000, 'a'));
    B.write("POST /B HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            "40000\r\n" +
            std::string(131072, 'b'));
    runFor(Io, 100ms);
    pauseFor(1150ms);
    B.write(std::string(64, 'b'));
    pauseFor(20ms);
    for (int I = 0; I < 200; ++I) {
      if (I == K)
        A.write(std::string(60000, 'a'));
      Io.poll_one();
      Io.restart();
    }
    runFor(Io, 50ms);
    for (const auto &S : Sizes)
      CHECK(S.second == 160000);
  }
}

// Guards against a close of the listener that resets its queue.
TEST_CASE("a stop answers what waits in the listener's queue") {
  for (const bool Sent : {true, false}) {
    asio::io_context Io;
    int Served = 0;
    Lines L;
    http::Server Server(Io, {"127.0.0.1", 0},
                        http::ServerOptions().setCloseLog(L.Log),
                        [&](http::Request, std::shared_ptr<http::Responder> R) {
                          ++Served;
                          R->respond(200, {}, "done");
                        });
    runFor(Io, 20ms);
    std::vector<std::unique_ptr<Caller>> Cs;
    for (int I = 0; I < 5; ++I) {
      Cs.push_back(std::make_unique<Caller>(Server.port()));
      if (Sent)
        Cs.back()->write(Get);
    }
    pauseFor(20ms);
    Server.announceClose();
    asio::post(Io, [&] { Server.stopAccepting(); });
    runFor(Io, 200ms);
    int Lost = 0;
    for (auto &C : Cs) {
      const std::string A = C->read();
      Lost += A.substr(0, 4) == "HTTP" ? 0 : 1;
    }
    if (Sent)
      CHECK(Lost == 0);
  }
}

// Guards against an answer that is cut before its first byte.
TEST_CASE("an answer whose head needs room gets an answer") {
  for (const size_t Body : {200, 1000, 1024}) {
    for (const bool Stream : {false, true}) {
      asio::io_context Io;
      Lines L;
      // Exactly one connection.
      auto Budget = std::make_shared<MemoryBudget>(8 * 1024);
      http::Server Server(
          Io, {"127.0.0.1", 0},
          http::ServerOptions().setMemory(Budget).setCloseLog(L.Log),
          [&](http::Request, std::shared_ptr<http::Responder> R) {
            if (!Stream)
              return R->respond(429, {{"Content-Type", "application/json"}},
                                std::string(Body, 'x'));
            R->begin(200, {{"X-Long", std::string(Body, 'h')}});
            R->data("first");
            R->end();
          });
      Caller A(Server.port());
      A.write(Get);
      runFor(Io, 100ms);
      const std::string Out = A.read();
      CAPTURE(Body);
      CAPTURE(Stream);
      CHECK(Out.substr(0, 9) == "HTTP/1.1 ");
    }
  }
}

// Guards against a reader that holds its room for ever.
TEST_CASE("a reader that takes nothing yields whatever it has sent") {
  for (const std::string More : {"", "G"}) {
    CAPTURE(More);
    asio::io_context Io;
    Lines L;
    auto Budget = std::make_shared<MemoryBudget>(12000000);
    http::Server Server(
        Io, {"127.0.0.1", 0},
        http::ServerOptions()
            .setMemory(Budget)
            .setMaxUnsentBytes(25000000)
            .setCloseLog(L.Log),
        [&](http::Request Q, std::shared_ptr<http::Responder> R) {
          R->respond(200, {},
                     Q.Target == "/big" ? std::string(8000000, 'x') : "ok");
        });
    Caller A(Server.port());
    A.write(GetBig);
    runFor(Io, 100ms);
    A.write(More);
    runFor(Io, 2500ms);
    Caller B(Server.port());
    B.write(GetBig);
    runFor(Io, 200ms);
    const std::string Out = B.read();
    CHECK(Out.substr(0, 12) == "HTTP/1.1 200");
  }
}

// Guards against a refusal that a reset overtakes.
TEST_CASE("a refused client gets time to take its answer") {
  struct Row {
    const char *Name;
    bool Timeout;
  };
  for (const Row &R : {Row{"memory at once", false}, Row{"408", true}}) {
    CAPTURE(std::string(R.Name));
    asio::io_context Io;
    Lines L;
    http::Server Server(Io, {"127.0.0.1", 0},
                        http::ServerOptions()
                            .setBodyPause(300ms)
                            .setMaxBodyBytes(R.Timeout ? 10000000 : 1000)
                            .setCloseLog(L.Log),
                        [&](http::Request, std::shared_ptr<http::Responder> A) {
                          A->respond(200, {}, "ok");
                        });
    Caller A(Server.port());
    A.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\nab");
    runFor(Io, 420ms); // refused by now
    // The rest is on its way: the client has not seen the refusal.
    A.write(std::string(200000, 'b'));
    runFor(Io, 50ms);
    A.write(std::string(1000, 'b'));
    runFor(Io, 50ms);
    const size_t Third = A.write(std::string(1000, 'b'));
    const std::string Out = A.read();
    CHECK(Third == 1000);
  }
}

// Guards against closes that leave no trace.
TEST_CASE("a request that its handler drops is logged") {
  for (const bool Throws : {false, true}) {
    asio::io_context Io;
    Lines L;
    http::Server Server(Io, {"127.0.0.1", 0},
                        http::ServerOptions().setCloseLog(L.Log),
                        [&](http::Request, std::shared_ptr<http::Responder>) {
                          if (Throws)
                            throw std::runtime_error("x");
                        });
    Caller A(Server.port());
    A.write(Get);
    for (int I = 0; I < 3; ++I)
      try {
        runFor(Io, 50ms);
      } catch (const std::exception &) {
        Io.restart();
      }
    const std::string Out = A.read();
    CHECK(L.All.size() == 1);
  }
}

// Guards against a line for a request that was answered.
TEST_CASE("a complete answer of HTTP/1.0 is not logged as lost") {
  asio::io_context Io;
  Lines L;
  std::shared_ptr<http::Responder> Running;
  http::Server Server(Io, {"127.0.0.1", 0},
                      http::ServerOptions().setCloseLog(L.Log),
                      [&](http::Request, std::shared_ptr<http::Responder> R) {
                        R->begin(200, {});
                        R->data("first");
                        Running = std::move(R);
                      });
  Caller A(Server.port());
  A.write("GET /a HTTP/1.0\r\n\r\n");
  runFor(Io, 50ms);
  Running->end();
  Running.reset();
  runFor(Io, 50ms);
  for (const auto &Line : L.All)
    CHECK_FALSE(Line.starts_with("kept"));
}

// Guards against a close that crosses the first request.
TEST_CASE("a connection that was just accepted does not yield") {
  asio::io_context Io;
  Lines L;
  http::Server Server(
      Io, {"127.0.0.1", 0},
      http::ServerOptions().setCloseLog(L.Log).setMaxConnections(1),
      [&](http::Request, std::shared_ptr<http::Responder> R) {
        R->respond(200, {}, "ok");
      });
  Caller A(Server.port());
  runFor(Io, 5ms);
  Caller B(Server.port());
  runFor(Io, 5ms);
  // Sent 5 ms after its connection was accepted.
  A.write(Get);
  runFor(Io, 50ms);
  const std::string Out = A.read();
  CHECK(Out.substr(0, 8) == "HTTP/1.1");
}

// Guards against all readers being cut for one body.
TEST_CASE("one stalled reader yields for one body") {
  asio::io_context Io;
  Lines L;
  auto Budget = std::make_shared<MemoryBudget>(40000000);
  int Served = 0;
  http::Server Server(
      Io, {"127.0.0.1", 0},
      http::ServerOptions()
          .setMemory(Budget)
          .setMaxBodyBytes(20000000)
          .setMaxUnsentBytes(25000000)
          .setCloseLog(L.Log),
      [&](http::Request Q, std::shared_ptr<http::Responder> R) {
        ++Served;
        R->respond(200, {},
                   Q.Target == "/big" ? std::string(8000000, 'x') : "ok");
      });
  std::vector<std::unique_ptr<Caller>> Cs;
  for (int I = 0; I < 4; ++I) {
    Cs.push_back(std::make_unique<Caller>(Server.port()));
    Cs.back()->write(GetBig);
  }
  runFor(Io, 1500ms);
  Caller B(Server.port());
  B.write("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\nab");
  runFor(Io, 200ms);
  const std::string Out = B.read();
  CHECK(L.All.size() == 1);
  CHECK(Out.empty());
}

// Guards against a stop that waits for a client that has gone.
TEST_CASE("a client that has reset its connection does not hold a stop") {
  asio::io_context Io;
  Lines L;
  http::Server Server(
      Io, {"127.0.0.1", 0},
      http::ServerOptions().setMaxUnsentBytes(25000000).setCloseLog(L.Log),
      [&](http::Request, std::shared_ptr<http::Responder> R) {
        R->respond(200, {}, std::string(1000000, 'x'));
      });
  auto A = std::make_unique<Caller>(Server.port());
  A->setReceiveBuffer(4096);
  A->write(Get);
  Io.run_for(1ms);
  Io.restart();
  Server.announceClose();
  runFor(Io, 100ms);
  Server.stopAccepting();
  runFor(Io, 100ms);
  A->reset();
  runFor(Io, 500ms);
  CHECK(Server.undelivered() == 0);
}
