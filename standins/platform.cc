// Stand-in for the platform: versioned objects with conditional updates and
// watches, and the list of instances. Faults are switched by admin calls:
//
//   POST /admin/outage?on=1           drop every call without an answer
//   POST /admin/lose_answers?count=N  let the next N writes take effect and
//                                     drop their answers
//   PUT  /admin/instances             the list's JSON text
//   GET  /admin/counts                calls by kind since the start
//
// Watches are kept in a list per object and answered by timers, so each costs
// constant memory.
#include <charconv>
#include <list>
#include <map>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/server.h"

using namespace goldcrestlink;

namespace {

constexpr size_t MaxValueBytes = 1024 * 1024;

uint64_t parseNumber(std::string_view Text) {
  uint64_t Out = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Out;
}

struct Object {
  uint64_t Version = 0;
  std::string Body;
};

struct Watch {
  std::string Name;
  uint64_t Version;
  std::shared_ptr<http::Responder> Answer;
  std::unique_ptr<boost::asio::steady_timer> Timer;
};

class Platform {
public:
  Platform(boost::asio::io_context &InIo, const std::string &Listen)
      : Io(InIo),
        Server(Io, http::Endpoint::parse(Listen),
               http::ServerOptions().setMaxBodyBytes(2 * MaxValueBytes),
               [this](http::Request R, std::shared_ptr<http::Responder> A) {
                 onRequest(std::move(R), std::move(A));
               }) {}
  uint16_t port() const { return Server.port(); }

private:
  void onRequest(http::Request R, std::shared_ptr<http::Responder> A) {
    const std::string_view Path = R.path();
    if (Path.rfind("/admin/", 0) == 0)
      return onAdmin(R, *A);
    if (Outage)
      return A->abort();
    if (Path.rfind("/objects/", 0) == 0 && R.Method == "GET")
      return onRead(std::string(Path.substr(9)), *A);
    if (Path.rfind("/objects/", 0) == 0 && R.Method == "PUT")
      return onPut(std::string(Path.substr(9)), R, *A);
    if (Path.rfind("/watch/", 0) == 0)
      return onWatch(std::string(Path.substr(7)), R, std::move(A));
    if (Path == "/instances") {
      ++Lists;
      return A->whole(200, {{"Content-Type", "application/json"}}, Instances);
    }
    A->whole(404, {}, "");
  }

  static http::Headers versionHeader(uint64_t Version) {
    return {{"Object-Version", std::to_string(Version)}};
  }

  void onRead(const std::string &Name, http::Responder &A) {
    ++Reads;
    const auto It = Objects.find(Name);
    if (It == Objects.end())
      return A.whole(404, {}, "");
    A.whole(200, versionHeader(It->second.Version), It->second.Body);
  }

  void onPut(const std::string &Name, http::Request &R, http::Responder &A) {
    ++Writes;
    if (R.Body.size() > MaxValueBytes)
      return A.whole(413, {}, "");
    const uint64_t Expected = parseNumber(R.header("If-Version"));
    Object &O = Objects[Name];
    if (O.Version != Expected)
      return A.whole(409, versionHeader(O.Version), "");
    O.Version = ++LastVersion;
    O.Body = std::move(R.Body);
    notify(Name, O);
    if (AnswersToLose > 0) {
      --AnswersToLose;
      return A.abort();
    }
    A.whole(200, versionHeader(O.Version), "");
  }

  void onWatch(const std::string &Name, const http::Request &R,
               std::shared_ptr<http::Responder> A) {
    ++Watches;
    const uint64_t Version = parseNumber(R.query("version"));
    const auto It = Objects.find(Name);
    if (It != Objects.end() && It->second.Version > Version)
      return A->whole(200, versionHeader(It->second.Version), It->second.Body);
    auto Timer = std::make_unique<boost::asio::steady_timer>(Io);
    Timer->expires_after(
        std::chrono::milliseconds(parseNumber(R.query("wait_ms"))));
    Open.push_back({Name, Version, A, std::move(Timer)});
    const auto Where = std::prev(Open.end());
    A->onGone([this, Weak = std::weak_ptr<http::Responder>(A)] {
      Open.remove_if([&](const Watch &W) { return W.Answer == Weak.lock(); });
    });
    Where->Timer->async_wait([this, A](boost::system::error_code Error) {
      if (Error)
        return;
      Open.remove_if([&](const Watch &W) { return W.Answer == A; });
      A->whole(204, {}, "");
    });
  }

  void notify(const std::string &Name, const Object &O) {
    for (auto It = Open.begin(); It != Open.end();) {
      if (It->Name != Name || It->Version >= O.Version) {
        ++It;
        continue;
      }
      It->Answer->whole(200, versionHeader(O.Version), O.Body);
      It = Open.erase(It);
    }
  }

  void onAdmin(http::Request &R, http::Responder &A) {
    const std::string_view Path = R.path();
    if (Path == "/admin/outage") {
      Outage = R.query("on") == "1";
      for (Watch &W : Open)
        if (Outage)
          W.Answer->abort();
    } else if (Path == "/admin/lose_answers") {
      AnswersToLose = parseNumber(R.query("count"));
    } else if (Path == "/admin/instances") {
      Instances = std::move(R.Body);
    } else if (Path == "/admin/counts") {
      return A.whole(200, {},
                     "reads " + std::to_string(Reads) + "\nwrites " +
                         std::to_string(Writes) + "\nwatches " +
                         std::to_string(Watches) + "\nlists " +
                         std::to_string(Lists) + "\nopen_watches " +
                         std::to_string(Open.size()) + "\n");
    } else {
      return A.whole(404, {}, "");
    }
    A.whole(200, {}, "");
  }

  boost::asio::io_context &Io;
  std::map<std::string, Object> Objects;
  std::list<Watch> Open;
  std::string Instances = "[]";
  uint64_t LastVersion = 0;
  uint64_t AnswersToLose = 0;
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t Watches = 0;
  uint64_t Lists = 0;
  bool Outage = false;
  http::Server Server;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"stand-in for the platform's object API"};
  std::string Listen = "127.0.0.1:9000";
  App.add_option("--listen", Listen, "ip:port");
  CLI11_PARSE(App, Argc, Argv);
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Io.stop(); });
  Platform P(Io, Listen);
  Io.run();
}
