// The real programs against upstreams that write without end: processes use
// bounded memory and go on serving.
#include <doctest/doctest.h>

#include <atomic>
#include <mutex>

#include <boost/asio/io_context.hpp>

#include "testing/platform_deployment.h"
#include "testing/raw_upstream.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

// Memory of an entry and of a side in the users' deployments, in MB.
constexpr double EntryMemoryMb = 260;
constexpr double SideMemoryMb = 192;

enum class Head { None, Whole, Length, Chunked, Stream };

// An answer that begins with a head and \p Begin, and goes on with \p Repeat.
struct Endless {
  const char *Name;
  Head Before;
  const char *Begin;
  const char *Repeat;
};

const Endless Kinds[] = {
    {"status line", Head::None, "HTTP/1.1 200 ", "x"},
    {"no HTTP", Head::None, "", "x"},
    {"field", Head::None, "HTTP/1.1 200 OK\r\nX: ", "x"},
    {"fields", Head::None, "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
    {"interim responses", Head::None, "", "HTTP/1.1 103 Early\r\n\r\n"},
    {"length", Head::Length, "", "x"},
    {"failure", Head::None, "HTTP/1.1 500 No\r\n\r\n", "x"},
    {"body", Head::Whole, "", "x"},
    {"chunks", Head::Chunked, "", "5\r\nxxxxx\r\n"},
    {"chunk size", Head::Chunked, "", "0"},
    {"chunk extension", Head::Chunked, "5;a=", "x"},
    {"chunk extensions", Head::Chunked, "5", ";a=b"},
    {"trailer field", Head::Chunked, "0\r\nX: ", "x"},
    {"trailer fields", Head::Chunked, "0\r\n", "X: y\r\n"},
    {"after the answer", Head::Chunked, "1\r\nx\r\n0\r\n\r\n", "x"},
    {"event", Head::Stream, "id: 1\ndata: ", "x"},
    {"text for an event", Head::Stream, "", "x"},
    {"comments", Head::Stream, "", ":\n\n"},
};

std::string headOf(Head Kind, const std::string &Id) {
  if (Kind == Head::None)
    return "";
  std::string Out =
      "HTTP/1.1 200 OK\r\nRequest-Id: " + Id + "\r\nResponse-Seal: seal\r\n";
  if (Kind == Head::Length)
    Out += "Content-Length: 999999999999999\r\n";
  if (Kind == Head::Chunked)
    Out += "Transfer-Encoding: chunked\r\n";
  if (Kind == Head::Stream)
    Out += "Content-Type: text/event-stream\r\n";
  return Out + "\r\n";
}

// Writes until the peer closes the connection.
void writeEndless(RawConnection &C, const Endless &Kind) {
  constexpr size_t BlockBytes = 64 * 1024;
  std::string Block;
  while (Block.size() < BlockBytes)
    Block += Kind.Repeat;
  C.write(headOf(Kind.Before, C.requestId()) + Kind.Begin);
  while (C.write(Block)) {
  }
}

// Makes \p Count calls at once and waits until all have ended. Returns the
// number of complete successes.
size_t callAtOnce(const http::Endpoint &To, const std::string &Target,
                  size_t Count) {
  static std::atomic<int> LastId = 0;
  boost::asio::io_context Io;
  http::Client Client(Io);
  size_t Served = 0;
  for (size_t I = 0; I < Count; ++I) {
    http::Request R;
    R.Method = "POST";
    R.Target = Target;
    R.Body = "b";
    R.Fields = {{"Host", "h"},
                {"Request-Id", "n" + std::to_string(++LastId)},
                {"Request-Deadline", "2000"},
                {"Model", "m"},
                {"Token-Count", "100,20"}};
    Client.fetch(To, std::move(R), http::CallOptions(),
                 [&](const http::Response *Answer, http::CallError) {
                   Served += Answer && Answer->Head.Status == 200 ? 1 : 0;
                 });
  }
  Io.run();
  return Served;
}

} // namespace

TEST_CASE("answers without end do not cost an entry its memory") {
  // As many as an engine takes connections.
  constexpr size_t CallsAtOnce = 250;
  std::mutex Mutex;
  const Endless *Now = nullptr;
  std::atomic<int> Answers = 0;
  RawUpstream Faulty("127.0.3.9", [&](RawConnection &C) {
    while (C.readRequest()) {
      if (C.requestId().empty())
        return;
      ++Answers;
      const std::lock_guard Lock(Mutex);
      if (Now)
        break;
      C.write("HTTP/1.1 200 OK\r\nRequest-Id: " + C.requestId() +
              "\r\nResponse-Seal: seal\r\nContent-Length: 1\r\n\r\nx");
    }
    const Endless *Kind = nullptr;
    {
      const std::lock_guard Lock(Mutex);
      Kind = Now;
    }
    if (Kind && !C.requestId().empty())
      writeEndless(C, *Kind);
  });
  for (const char *Target : {"/read/x", "/stream/x"}) {
    CAPTURE(std::string(Target));
    const bool IsEngine = std::string_view(Target) == "/stream/x";
    PlatformDeployment System(0, 1);
    for (const Endless &Kind : Kinds) {
      CAPTURE(std::string(Kind.Name));
      // Under an id of its own, so that earlier failures do not keep calls
      // away.
      const std::string Id = "f" + std::to_string(&Kind - Kinds);
      System.Platform.putUpstream(Id, IsEngine ? "engines" : "plain",
                                  Faulty.endpoint());
      const auto SetKind = [&](const Endless *Next) {
        const std::lock_guard Lock(Mutex);
        Now = Next;
      };
      SetKind(nullptr);
      const int Before = Answers;
      REQUIRE(eventually(
          [&] {
            callAtOnce(System.Entries[0], Target, 2);
            return Answers > Before;
          },
          MaxWaitSeconds));
      SetKind(&Kind);
      const int BeforeEndless = Answers;
      callAtOnce(System.Entries[0], Target, CallsAtOnce);
      CHECK(Answers > BeforeEndless);
      REQUIRE(System.running("entry0"));
      CHECK(System.peakMemoryMb("entry0") < EntryMemoryMb);
      System.Platform.putUpstreamText(Id, "");
      CHECK(System.eventuallyServed(0, "/once/x"));
    }
  }
}

TEST_CASE("answers without end do not cost a side its memory") {
  for (const bool ToOrders : {false, true}) {
    CAPTURE(ToOrders);
    for (const Endless &Kind : Kinds) {
      CAPTURE(std::string(Kind.Name));
      std::atomic<int> Answers = 0;
      RawUpstream Faulty("127.0.1.9", [&](RawConnection &C) {
        while (C.readRequest()) {
          if (ToOrders && C.isHealthCheck()) {
            const std::string Report =
                R"({"stage":"both","models":[],"busy":false,"seq":0,"born":1})";
            C.write("HTTP/1.1 200 OK\r\nInstance-Id: f\r\nContent-Length: " +
                    std::to_string(Report.size()) + "\r\n\r\n" + Report);
            continue;
          }
          ++Answers;
          return writeEndless(C, Kind);
        }
      });
      PlatformDeployment System(0, 1);
      System.Platform.putUpstream("f", "engines", Faulty.endpoint());
      System.startSide("side", Faulty.endpoint());
      // Enough for several answers one after another.
      CHECK(eventually([&] { return Answers >= 3; }, MaxWaitSeconds));
      REQUIRE(System.running("side"));
      CHECK(System.peakMemoryMb("side") < SideMemoryMb);
    }
  }
}
