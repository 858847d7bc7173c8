// The real programs against crowds of clients and upstreams whose bytes stay
// unread in the kernel. The platform counts these toward the memory of a
// process, so its resident memory and the bytes unread in its sockets together
// stay below the memory of its settings. Nothing here depends on the speed of
// the machine.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "testing/platform_deployment.h"
#include "testing/raw_upstream.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

// Smaller than in the users' deployments, so that few clients show the fault.
constexpr int MemoryMb = 64;
constexpr int Descriptors = 1400;
constexpr size_t BodyLimit = 1024 * 1024;
constexpr double BytesPerMb = 1e6;
// The default receive buffer of the kernel takes about this much unread.
constexpr size_t DefaultUnreadBytes = 64 * 1000;
// So many default receive buffers take the whole memory.
constexpr size_t Crowd = MemoryMb * 1000 * 1000 / DefaultUnreadBytes;
// A client that the process does not stop gives up after sending this much.
constexpr size_t MaxSentBytes = 2 * BodyLimit;
constexpr size_t BlockBytes = 64 * 1024;
// A process that has taken nothing from any client for so long has paused
// reading.
constexpr int PausedMs = 1500;
constexpr int SampleMs = 20;
constexpr int MaxAnswerMs = 30000;
// Calls at once, within the connections that an entry opens to one upstream.
constexpr size_t Calls = 64;

ProcessLimits smallLimits() { return {MemoryMb, Descriptors, BodyLimit}; }

std::string chunk(const std::string &Bytes) {
  char Size[20];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

std::string repeat(const std::string &Part, size_t Times) {
  std::string Out;
  Out.reserve(Part.size() * Times);
  for (size_t I = 0; I < Times; ++I)
    Out += Part;
  return Out;
}

std::string head(const std::string &Framing, const std::string &Target) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: h\r\nRequest-Id: bad\r\n"
         "Request-Deadline: 20000\r\n" +
         Framing + "\r\n";
}

constexpr const char *Chunked = "Transfer-Encoding: chunked\r\n";

// What a client sends: a beginning, then repeated blocks of about \p Total
// bytes. It stays connected afterwards and reads nothing.
struct Sent {
  std::string Begin;
  std::string Block;
  size_t Total = 0;
};

struct Behaviour {
  const char *Name;
  Sent (*Make)();
};

const Behaviour Behaviours[] = {
    {"large_chunks",
     [] {
       return Sent{head(Chunked, "/once/x"),
                   chunk(std::string(BlockBytes, 'b')), BodyLimit - BlockBytes};
     }},
    {"chunks_of_one_byte",
     [] {
       const std::string Block = repeat(chunk("b"), BlockBytes / 8);
       return Sent{head(Chunked, "/once/x"), Block, BodyLimit - BlockBytes};
     }},
    {"small_requests",
     [] {
       return Sent{"",
                   repeat(head("Content-Length: 1\r\n", "/once/x") + "b",
                          BlockBytes / 128),
                   MaxSentBytes};
     }},
    {"announced_over_limit",
     [] {
       return Sent{head("Content-Length: 1000000000\r\n", "/once/x"),
                   std::string(BlockBytes, 'b'), MaxSentBytes};
     }},
    {"chunked_over_limit",
     [] {
       return Sent{head(Chunked, "/once/x"),
                   chunk(std::string(BlockBytes, 'b')), MaxSentBytes};
     }},
    {"endless_trailers",
     [] {
       return Sent{head(Chunked, "/once/x") + chunk("b") + "0\r\n",
                   repeat("X-Trailer: y\r\n", BlockBytes / 14), MaxSentBytes};
     }},
};

// Clients on one thread, all connected until the object is destroyed.
class ClientCrowd {
public:
  ClientCrowd(const http::Endpoint &To, size_t Count) {
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(To.Port);
    inet_pton(AF_INET, To.Address.c_str(), &Address.sin_addr);
    for (size_t I = 0; I < Count; ++I) {
      const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      REQUIRE(Socket >= 0);
      ::fcntl(Socket, F_SETFL, O_NONBLOCK);
      // May not be complete yet.
      (void)::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                      sizeof(Address));
      Sockets.push_back(Socket);
    }
  }
  ClientCrowd(const ClientCrowd &) = delete;
  ClientCrowd &operator=(const ClientCrowd &) = delete;
  ~ClientCrowd() {
    for (const int Socket : Sockets)
      ::close(Socket);
  }

  // Sends \p What on each connection until all is sent, or the process has
  // taken nothing from any of them for PausedMs.
  void send(const Sent &What) {
    std::string Text = What.Begin;
    while (Text.size() < What.Begin.size() + What.Total)
      Text += What.Block;
    std::vector<size_t> Done(Sockets.size(), 0);
    std::vector<pollfd> Waits;
    for (const int Socket : Sockets)
      Waits.push_back({Socket, POLLOUT, 0});
    while (::poll(Waits.data(), Waits.size(), PausedMs) > 0)
      for (size_t I = 0; I < Waits.size(); ++I)
        if (Waits[I].revents != 0 && !sendSome(Sockets[I], Text, Done[I]))
          Waits[I].fd = -1;
  }

  // What the first connection receives until it ends.
  std::string firstAnswer() const {
    std::string Out;
    std::string Part(BlockBytes, ' ');
    pollfd Wait = {Sockets.front(), POLLIN, 0};
    while (::poll(&Wait, 1, MaxAnswerMs) > 0) {
      const ssize_t N = ::recv(Sockets.front(), Part.data(), Part.size(), 0);
      if (N <= 0)
        break;
      Out.append(Part, 0, static_cast<size_t>(N));
    }
    return Out;
  }

private:
  // False if all is sent or the connection is closed.
  static bool sendSome(int Socket, const std::string &Text, size_t &Done) {
    const ssize_t N =
        ::send(Socket, Text.data() + Done,
               std::min(BlockBytes, Text.size() - Done), MSG_NOSIGNAL);
    if (N < 0)
      return errno == EAGAIN;
    Done += static_cast<size_t>(N);
    return Done < Text.size();
  }

  std::vector<int> Sockets;
};

// As in /proc/net/tcp.
std::string hexText(const http::Endpoint &Of) {
  in_addr Address = {};
  inet_pton(AF_INET, Of.Address.c_str(), &Address);
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%08X:%04X", Address.s_addr, Of.Port);
  return Text;
}

// Bytes unread in the sockets that have \p Local as their own address, or
// \p Remote as their peer's.
size_t unreadBytes(const std::string &Local, const std::string &Remote) {
  constexpr const char *ListenState = "0A";
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  size_t Bytes = 0;
  std::getline(Table, Line);
  while (std::getline(Table, Line)) {
    std::istringstream Fields(Line);
    std::string Slot, Own, Peer, State, Queues;
    Fields >> Slot >> Own >> Peer >> State >> Queues;
    const size_t Colon = Queues.find(':');
    if ((Own == Local || Peer == Remote) && State != ListenState &&
        Colon != std::string::npos)
      Bytes += std::stoul(Queues.substr(Colon + 1), nullptr, 16);
  }
  return Bytes;
}

// The most that a process held at one time, in MB of 1,000,000 bytes.
class MemorySampler {
public:
  MemorySampler(const PlatformDeployment &System, std::string Name,
                const http::Endpoint &Local, const http::Endpoint &Remote)
      : Thread([this, &System, Name = std::move(Name), Own = hexText(Local),
                Peer = hexText(Remote)] {
          while (!Stopping) {
            const double Unread =
                static_cast<double>(unreadBytes(Own, Peer)) / BytesPerMb;
            const double Resident =
                System.memoryMb(Name) * 1024 * 1024 / BytesPerMb;
            MostUnread = std::max(MostUnread, Unread);
            MostResident = std::max(MostResident, Resident);
            Most = std::max(Most, Unread + Resident);
            pauseFor(SampleMs);
          }
        }) {}
  ~MemorySampler() { finish(); }

  void finish() {
    Stopping = true;
    if (Thread.joinable())
      Thread.join();
  }

  // Written by the thread until finish().
  double Most = 0;
  double MostUnread = 0;
  double MostResident = 0;

private:
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

void checkBounds(const PlatformDeployment &System, const std::string &Name,
                 MemorySampler &Memory) {
  pauseFor(PausedMs);
  Memory.finish();
  MESSAGE("resident " << Memory.MostResident << " MB, unread "
                      << Memory.MostUnread << " MB, together " << Memory.Most
                      << " MB at most");
  REQUIRE(System.running(Name));
  CHECK(System.openFiles(Name) < Descriptors);
  CHECK(Memory.Most < MemoryMb);
}

enum class Listener { Entry, Ready, EntryMetrics, SideMetrics };

void checkCrowd(const char *Kind, Listener At) {
  for (const Behaviour &B : Behaviours) {
    if (std::string_view(B.Name) != Kind)
      continue;
    CAPTURE(std::string(Kind));
    PlatformDeployment System(1, 1, smallLimits());
    REQUIRE(System.eventuallyServed(0, "/once/x"));
    const bool IsSide = At == Listener::SideMetrics;
    const std::string Name = IsSide ? "side0" : "entry0";
    http::Endpoint To = System.Entries[0];
    if (At == Listener::Ready)
      To = System.Ready[0];
    if (At == Listener::EntryMetrics)
      To = System.metricsOf(System.Entries[0].Address);
    if (IsSide)
      To = System.metricsOf(System.Engines[0].Address);
    MemorySampler Memory(System, Name, To, http::Endpoint());
    {
      ClientCrowd Clients(To, Crowd);
      Clients.send(B.Make());
      checkBounds(System, Name, Memory);
    }
    if (At == Listener::Ready)
      CHECK(eventually([&] { return System.ready(0); }, MaxWaitSeconds));
    CHECK(System.eventuallyServed(0, "/once/x"));
    if (IsSide)
      CHECK(System.eventuallyServed(0, "/stream/x", "a1"));
  }
}

void checkAllCrowds(Listener At) {
  for (const Behaviour &B : Behaviours)
    checkCrowd(B.Name, At);
}

// Calls at once to an upstream that answers with \p Begin and then \p Block
// until it is stopped, to callers that do not read.
void checkUpstream(const std::string &Begin, const std::string &Block) {
  std::atomic<bool> IsSound{true};
  RawUpstream Upstream("127.0.3.9", [&](RawConnection &C) {
    while (C.readRequest()) {
      const std::string Head =
          "HTTP/1.1 200 OK\r\nRequest-Id: " + C.requestId() +
          "\r\nResponse-Seal: seal\r\n";
      if (IsSound) {
        C.write(Head + "Content-Length: 1\r\n\r\na");
        continue;
      }
      C.write(std::string(Head).append(Chunked).append("\r\n").append(Begin));
      for (size_t Bytes = 0; Bytes < MaxSentBytes && C.write(Block);
           Bytes += Block.size()) {
      }
      return;
    }
  });
  PlatformDeployment System(0, 1, smallLimits());
  System.Platform.putUpstream("u", "plain", Upstream.endpoint());
  REQUIRE(System.eventuallyServed(0, "/read/x"));
  IsSound = false;
  MemorySampler Memory(System, "entry0", System.Entries[0],
                       Upstream.endpoint());
  {
    ClientCrowd Clients(System.Entries[0], Calls);
    Clients.send({head("Content-Length: 1\r\n", "/read/x") + "b", "", 0});
    checkBounds(System, "entry0", Memory);
  }
  IsSound = true;
  CHECK(System.eventuallyServed(0, "/once/x"));
}

} // namespace

TEST_CASE("entry_large_chunks") { checkCrowd("large_chunks", Listener::Entry); }

TEST_CASE("entry_chunks_of_one_byte") {
  checkCrowd("chunks_of_one_byte", Listener::Entry);
}

TEST_CASE("entry_small_requests") {
  checkCrowd("small_requests", Listener::Entry);
}

TEST_CASE("entry_announced_over_limit") {
  checkCrowd("announced_over_limit", Listener::Entry);
}

TEST_CASE("entry_chunked_over_limit") {
  checkCrowd("chunked_over_limit", Listener::Entry);
}

TEST_CASE("entry_endless_trailers") {
  checkCrowd("endless_trailers", Listener::Entry);
}

TEST_CASE("ready_all_crowds") { checkAllCrowds(Listener::Ready); }

TEST_CASE("entry_metrics_all_crowds") {
  checkAllCrowds(Listener::EntryMetrics);
}

TEST_CASE("side_metrics_all_crowds") { checkAllCrowds(Listener::SideMetrics); }

TEST_CASE("upstream_chunks_of_one_byte") {
  checkUpstream("", repeat(chunk("b"), BlockBytes / 8));
}

TEST_CASE("upstream_endless_trailers") {
  checkUpstream(chunk("b") + "0\r\n", repeat("X-Trailer: y\r\n", 4096));
}

// Receive buffers and their reservations leave room for a body at the limit.
TEST_CASE("calm_body_at_limit") {
  constexpr int SmallestEntryMb = 112;
  constexpr int EntryDescriptors = 4100;
  constexpr size_t LargestBody = 4 * 1024 * 1024;
  RawUpstream Upstream("127.0.3.9", [](RawConnection &C) {
    while (C.readRequest())
      C.write("HTTP/1.1 200 OK\r\nRequest-Id: " + C.requestId() +
              "\r\nResponse-Seal: seal\r\nContent-Length: 1\r\n\r\na");
  });
  PlatformDeployment System(0, 0,
                            {SmallestEntryMb, EntryDescriptors, LargestBody});
  System.Platform.putUpstream("u", "plain", Upstream.endpoint());
  REQUIRE(System.eventuallyServed(0, "/read/x"));
  const std::string Body(LargestBody, 'b');
  CHECK(System.call(0, "/read/x", "", Body).Head.Status == 200);
  ClientCrowd Caller(System.Entries[0], 1);
  Caller.send({head(std::string(Chunked) + "Connection: close\r\n", "/read/x") +
                   chunk(Body) + "0\r\n\r\n",
               "", 0});
  CHECK(Caller.firstAnswer().starts_with("HTTP/1.1 200"));
}
