// The real programs: an entry gets no processor time for a while, bytes of its
// callers arrive meanwhile, and when it goes on a timer has run out, others
// need the connection's descriptor or memory, or a stop closes idle
// connections. Each caller gets an answer or a refusal. Nothing here depends on
// the speed of the machine.
#include <doctest/doctest.h>

#include <memory>

#include <poll.h>
#include <signal.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "testing/platform_deployment.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr int IdleMs = 3000;
// A server keeps an idle connection for this much longer.
constexpr int IdleMarginMs = IdleMs / 2;
constexpr int SettleMs = 100;
// Of the configuration, `header_ms`.
constexpr int HeaderMs = 3000;
// More than an event loop takes from the kernel at once, 128 in Asio, so that
// timers run before all bytes that have arrived were read.
constexpr size_t Crowd = 400;

/// One connection of a caller.
class Caller {
public:
  explicit Caller(const http::Endpoint &To) : Socket(Io) {
    boost::system::error_code Error;
    Socket.connect({asio::ip::make_address(To.Address), To.Port}, Error);
    REQUIRE_FALSE(Error);
  }

  /// Sends what the entry's kernel takes at once; finish() sends the rest.
  void write(const std::string &Bytes) {
    Unsent += Bytes;
    send(MSG_DONTWAIT);
  }
  void finish() { send(0); }

  /// The status of the next answer; 0 if the connection ends without one.
  unsigned readStatus() {
    std::string Head;
    while (Head.find("\r\n\r\n") == std::string::npos) {
      char Byte;
      pollfd Wait = {Socket.native_handle(), POLLIN, 0};
      if (::poll(&Wait, 1, static_cast<int>(MaxWaitSeconds * 1000)) <= 0 ||
          ::recv(Socket.native_handle(), &Byte, 1, 0) <= 0)
        return 0;
      Head.push_back(Byte);
    }
    constexpr size_t StatusAt = sizeof("HTTP/1.1 ") - 1;
    return static_cast<unsigned>(std::stoul(Head.substr(StatusAt, 3)));
  }

private:
  void send(int Flags) {
    size_t Sent = 0;
    while (Sent < Unsent.size()) {
      const ssize_t N = ::send(Socket.native_handle(), Unsent.data() + Sent,
                               Unsent.size() - Sent, MSG_NOSIGNAL | Flags);
      if (N <= 0)
        break;
      Sent += static_cast<size_t>(N);
    }
    Unsent.erase(0, Sent);
  }

  asio::io_context Io;
  Tcp::socket Socket;
  std::string Unsent;
};

std::string head(size_t I, size_t BodyBytes) {
  return "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: q" +
         std::to_string(I) + "\r\nRequest-Deadline: 60000\r\nContent-Length: " +
         std::to_string(BodyBytes) + "\r\n\r\n";
}

struct Pause {
  const char *Name;
  ProcessLimits Limits = {};
  size_t Callers = Crowd;
  size_t BodyBytes = 10;
  /// Bytes of each request that are sent before the pause.
  size_t Before = 0;
  /// Callers that connect during the pause, with a request of the same size.
  size_t New = 0;
  /// From the last bytes before the pause until it begins.
  int QuietMs = 500;
  /// From the last bytes during the pause until its end.
  int PauseMs = 2000;
  /// SIGTERM is sent this long before the pause; 0: never.
  int StopBeforeMs = 0;
};

constexpr size_t LargeBody = 1024 * 1024;
// The timers run out in the middle of the pause.
constexpr int LongPauseMs = 4000;

const Pause Pauses[] = {
    {.Name = "idle timeout",
     .Limits = {.IdleMs = IdleMs},
     .QuietMs = IdleMs + IdleMarginMs - LongPauseMs / 2,
     .PauseMs = LongPauseMs},
    {.Name = "timeout of a head",
     .Before = 20,
     .QuietMs = HeaderMs - LongPauseMs / 2,
     .PauseMs = LongPauseMs},
    {.Name = "timeout of a body",
     .Limits = {.IdleMs = IdleMs},
     .BodyBytes = 4000,
     .Before = 2000,
     .QuietMs = IdleMs - LongPauseMs / 2,
     .PauseMs = LongPauseMs},
    {.Name = "too many connections",
     .Limits = {.MaxConnections = 256},
     .Callers = 150,
     .New = 50},
    {.Name = "no room for another body",
     .Limits = {.MemoryMb = 64, .BodyBytes = LargeBody},
     .Callers = 14,
     .BodyBytes = LargeBody,
     .Before = 100000,
     .New = 4,
     .QuietMs = 0},
    {.Name = "end of accepting",
     .Limits = {.StopSeconds = 8},
     .StopBeforeMs = 2200},
    {.Name = "end of accepting, new callers",
     .Limits = {.StopSeconds = 8},
     .New = 50,
     .StopBeforeMs = 2200},
};

// Lets the entry pause as \p P describes; returns how many callers got neither
// an answer nor a refusal.
size_t lostCallers(const Pause &P) {
  PlatformDeployment System(0, 1, P.Limits);
  REQUIRE(System.eventuallyServed(0, "/once/x"));
  std::vector<std::unique_ptr<Caller>> Callers;
  const auto Connect = [&] {
    Callers.push_back(std::make_unique<Caller>(System.Entries[0]));
    return Callers.back().get();
  };
  const auto Request = [](size_t I, size_t Bytes) {
    return head(I, Bytes) + std::string(Bytes, 'b');
  };
  for (size_t I = 0; I < P.Callers; ++I)
    Connect()->write(Request(I, P.BodyBytes).substr(0, P.Before));
  pauseFor(P.QuietMs);
  if (P.StopBeforeMs > 0) {
    System.signal("entry0", SIGTERM);
    pauseFor(P.StopBeforeMs);
  }
  System.signal("entry0", SIGSTOP);
  // Until all threads stand still: nothing that arrives is seen before.
  pauseFor(SettleMs);
  for (size_t I = 0; I < P.Callers; ++I)
    Callers[I]->write(Request(I, P.BodyBytes).substr(P.Before));
  for (size_t I = 0; I < P.New; ++I)
    Connect()->write(Request(P.Callers + I, P.BodyBytes));
  pauseFor(P.PauseMs);
  System.signal("entry0", SIGCONT);
  for (const auto &C : Callers)
    C->finish();
  size_t Lost = 0;
  for (const auto &C : Callers)
    Lost += C->readStatus() == 0 ? 1 : 0;
  return Lost;
}

} // namespace

// Guards against requests that arrive while their entry stands still and get a
// closed connection when it goes on.
TEST_CASE("a pause of an entry loses no request that arrives meanwhile") {
  for (const Pause &P : Pauses) {
    CAPTURE(std::string(P.Name));
    CHECK(lostCallers(P) == 0);
  }
}
