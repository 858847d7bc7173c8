// The real programs against upstreams that stop in the middle of an answer: no
// caller gets a success that looks complete.
#include <doctest/doctest.h>

#include <atomic>
#include <mutex>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "testing/platform_deployment.h"
#include "testing/raw_upstream.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

enum class Framing { Length, Chunks, None };
// What the connection has carried before the answer that stops.
enum class Before { Nothing, WholeAnswer, InterimResponse };
enum class End { Close, Reset };

struct Case {
  Framing How = Framing::Length;
  Before Earlier = Before::Nothing;
  End Last = End::Close;
  bool IsStream = false;
  /// Header fields that the answer lacks.
  bool Signed = true;
  bool Echoed = true;
  bool HasBody = true;
  /// Bytes of the answer that are sent.
  size_t Stop = 0;
};

const std::string EventBody = "id: 1\ndata: x\n\n";

std::string bodyOf(const Case &C) {
  if (!C.HasBody)
    return "";
  return C.IsStream ? EventBody : "done";
}

std::string headOf(const Case &C, const std::string &Id) {
  std::string Out = "HTTP/1.1 200 OK\r\n";
  if (C.Echoed)
    Out += "Request-Id: " + Id + "\r\n";
  if (C.Signed)
    Out += "Response-Seal: seal\r\n";
  Out += C.IsStream ? "Content-Type: text/event-stream\r\n"
                    : "Content-Type: text/plain\r\n";
  if (C.How == Framing::Length)
    Out += "Content-Length: " + std::to_string(bodyOf(C).size()) + "\r\n";
  if (C.How == Framing::Chunks)
    Out += "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n";
  return Out + "\r\n";
}

std::string answerOf(const Case &C, const std::string &Id) {
  const std::string Body = bodyOf(C);
  if (C.How != Framing::Chunks)
    return headOf(C, Id) + Body;
  char Size[20];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Body.size());
  return headOf(C, Id) + (Body.empty() ? "" : Size + Body + "\r\n") +
         "0\r\nX-End: 1\r\n\r\n";
}

// Sends one request and reads until the connection ends. Returns whether the
// answer is a success that the caller takes for whole.
bool getsWholeSuccess(const http::Endpoint &Entry, const std::string &Version,
                      const std::string &Target, const std::string &Id) {
  namespace asio = boost::asio;
  namespace bhttp = boost::beast::http;
  asio::io_context Io;
  asio::ip::tcp::socket Socket(Io);
  boost::system::error_code Error;
  Socket.connect({asio::ip::make_address(Entry.Address), Entry.Port}, Error);
  if (Error)
    return false;
  asio::write(Socket,
              asio::buffer("POST " + Target + " HTTP/" + Version +
                           "\r\nHost: h\r\nRequest-Id: " + Id +
                           "\r\nRequest-Deadline: 5000\r\nModel: m\r\n"
                           "Token-Count: 100,20\r\nConnection: close\r\n"
                           "Content-Length: 1\r\n\r\nb"));
  std::string Bytes;
  asio::read(Socket, asio::dynamic_buffer(Bytes), Error);
  bhttp::response_parser<bhttp::string_body> Parser;
  Parser.eager(true);
  boost::system::error_code Bad;
  Parser.put(asio::buffer(Bytes), Bad);
  if (!Bad && Error == asio::error::eof && !Parser.is_done())
    Parser.put_eof(Bad);
  return !Bad && Parser.is_done() && Parser.get().result_int() / 100 == 2;
}

class Harness {
public:
  Harness() : Faulty("127.0.3.9", [this](RawConnection &C) { serve(C); }) {}

  void add(PlatformDeployment &System) const {
    System.Platform.putUpstream("faulty-plain", "plain", Faulty.endpoint());
    System.Platform.putUpstream("faulty-engine", "engines", Faulty.endpoint());
  }

  void set(const Case &C) {
    const std::lock_guard Lock(Mutex);
    Current = C;
  }

  // Whether the last answer to the request was written whole.
  bool lastWasWhole(const std::string &Id) {
    const std::lock_guard Lock(Mutex);
    return LastWasWhole[Id];
  }

private:
  void note(const std::string &Id, bool IsWhole) {
    const std::lock_guard Lock(Mutex);
    LastWasWhole[Id] = IsWhole;
  }

  void serve(RawConnection &C) {
    bool HasAnswered = false;
    while (C.readRequest()) {
      const std::string Id = C.requestId();
      if (Id.empty())
        return;
      Case Now;
      {
        const std::lock_guard Lock(Mutex);
        Now = Current;
      }
      Case Whole = Now;
      Whole.HasBody = Whole.Signed = Whole.Echoed = true;
      Whole.How = Framing::Length;
      if (Now.Earlier == Before::WholeAnswer && !HasAnswered) {
        HasAnswered = true;
        note(Id, true);
        C.write(answerOf(Whole, Id));
        continue;
      }
      note(Id, Now.Stop >= answerOf(Now, Id).size());
      if (Now.Earlier == Before::InterimResponse)
        C.write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
      C.write(answerOf(Now, Id).substr(0, Now.Stop));
      if (Now.Last == End::Reset)
        C.reset();
      return;
    }
  }

  std::mutex Mutex;
  Case Current;
  std::map<std::string, bool> LastWasWhole;
  RawUpstream Faulty;
};

constexpr const char *Targets[] = {"/once/x", "/read/x", "/stream/x",
                                   "/resume/x"};

bool isStream(std::string_view Target) {
  return Target.starts_with("/stream/") || Target.starts_with("/resume/");
}

} // namespace

TEST_CASE("an answer that stops early never reaches its caller as whole") {
  Harness Upstreams;
  PlatformDeployment System(0, 0);
  Upstreams.add(System);
  int Calls = 100000;
  // Whether the caller took an answer for whole that was not.
  const auto Misled = [&](const char *Version, const char *Target) {
    const std::string Id = "h" + std::to_string(++Calls);
    return getsWholeSuccess(System.Entries[0], Version, Target, Id) &&
           !Upstreams.lastWasWhole(Id);
  };
  for (const char *Target : Targets)
    for (const char *Version : {"1.1", "1.0"})
      for (const Framing How :
           {Framing::Length, Framing::Chunks, Framing::None}) {
        CAPTURE(std::string(Target));
        CAPTURE(std::string(Version));
        CAPTURE(static_cast<int>(How));
        Case C;
        C.How = How;
        C.IsStream = isStream(Target);
        C.Stop = std::string::npos;
        Upstreams.set(C);
        REQUIRE(eventually(
            [&] {
              return getsWholeSuccess(System.Entries[0], Version, Target,
                                      "h" + std::to_string(++Calls));
            },
            MaxWaitSeconds));
        const std::string Id = "h" + std::to_string(Calls);
        // Without length or chunks, any end after the first byte of the body is
        // one.
        const size_t Bytes = How == Framing::None ? headOf(C, Id).size() + 1
                                                  : answerOf(C, Id).size();
        for (const Before Earlier :
             {Before::Nothing, Before::WholeAnswer, Before::InterimResponse})
          for (const End Last : {End::Close, End::Reset}) {
            C.Earlier = Earlier;
            C.Last = Last;
            const size_t Step =
                C.Earlier == Before::Nothing && C.Last == End::Close ? 1 : 11;
            for (C.Stop = 0; C.Stop < Bytes; C.Stop += Step) {
              CAPTURE(C.Stop);
              Upstreams.set(C);
              CHECK_FALSE(Misled(Version, Target));
            }
          }
      }
}

TEST_CASE(
    "a success without signature, id or any byte of a body is no answer") {
  struct Row {
    const char *Name;
    bool Signed;
    bool Echoed;
    bool HasBody;
  };
  Harness Upstreams;
  PlatformDeployment System(0, 0);
  Upstreams.add(System);
  int Calls = 100000;
  const auto Whole = [&](const char *Target) {
    return getsWholeSuccess(System.Entries[0], "1.1", Target,
                            "h" + std::to_string(++Calls));
  };
  for (const char *Target : Targets)
    for (const Row &R :
         {Row{"no signature", false, true, true},
          Row{"no id", true, false, true}, Row{"no body", true, true, false}}) {
      CAPTURE(std::string(Target));
      CAPTURE(R.Name);
      Case C;
      C.IsStream = isStream(Target);
      C.Stop = std::string::npos;
      Upstreams.set(C);
      REQUIRE(eventually([&] { return Whole(Target); }, MaxWaitSeconds));
      C.How = Framing::None;
      C.Signed = R.Signed;
      C.Echoed = R.Echoed;
      C.HasBody = R.HasBody;
      Upstreams.set(C);
      for (int I = 0; I < 3; ++I)
        CHECK_FALSE(Whole(Target));
    }
}
