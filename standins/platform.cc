// Stand-in for the platform: versioned objects with conditional writes and
// watches, and the list of instances. Admin calls inject faults:
//
//   POST /admin/outage?on=1           abort every call without an answer
//   POST /admin/lose_answers?count=N  apply the next N writes but abort their
//                                     calls without an answer
//   PUT  /admin/instances             replace the list of instances (JSON)
//   GET  /admin/counts                number of calls by kind since the start
//
// Open watches are kept in one list, which each write walks through, and end at
// the latest by their timers; each costs constant memory.
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
  std::shared_ptr<http::Responder> Responder;
  std::unique_ptr<boost::asio::steady_timer> Timer;
};

class Platform {
public:
  Platform(boost::asio::io_context &InIo, const std::string &Listen)
      : Io(InIo),
        Server(Io, http::Endpoint::parse(Listen),
               http::ServerOptions().setMaxBodyBytes(2 * MaxValueBytes),
               [this](http::Request Request,
                      std::shared_ptr<http::Responder> Responder) {
                 onRequest(std::move(Request), std::move(Responder));
               }) {}
  uint16_t port() const { return Server.port(); }

private:
  void onRequest(http::Request Request,
                 std::shared_ptr<http::Responder> Responder) {
    const std::string_view Path = Request.path();
    if (Path.rfind("/admin/", 0) == 0)
      return onAdmin(Request, *Responder);
    if (Outage)
      return Responder->abort();
    if (Path.rfind("/objects/", 0) == 0 && Request.Method == "GET")
      return onRead(std::string(Path.substr(9)), *Responder);
    if (Path.rfind("/objects/", 0) == 0 && Request.Method == "PUT")
      return onPut(std::string(Path.substr(9)), Request, *Responder);
    if (Path.rfind("/watch/", 0) == 0)
      return onWatch(std::string(Path.substr(7)), Request,
                     std::move(Responder));
    if (Path == "/instances") {
      ++ListCalls;
      return Responder->respond(200, {{"Content-Type", "application/json"}},
                                Instances);
    }
    Responder->respond(404, {}, "");
  }

  static http::Headers versionHeader(uint64_t Version) {
    return {{"Object-Version", std::to_string(Version)}};
  }

  void onRead(const std::string &Name, http::Responder &Responder) {
    ++ReadCalls;
    const auto It = Objects.find(Name);
    if (It == Objects.end())
      return Responder.respond(404, {}, "");
    Responder.respond(200, versionHeader(It->second.Version), It->second.Body);
  }

  void onPut(const std::string &Name, http::Request &Request,
             http::Responder &Responder) {
    ++WriteCalls;
    if (Request.Body.size() > MaxValueBytes)
      return Responder.respond(413, {}, "");
    const uint64_t Expected = parseNumber(Request.header("If-Version"));
    Object &O = Objects[Name];
    if (O.Version != Expected)
      return Responder.respond(409, versionHeader(O.Version), "");
    O.Version = ++LastVersion;
    O.Body = std::move(Request.Body);
    answerWatches(Name, O);
    if (AnswersToLose > 0) {
      --AnswersToLose;
      return Responder.abort();
    }
    Responder.respond(200, versionHeader(O.Version), "");
  }

  void onWatch(const std::string &Name, const http::Request &Request,
               std::shared_ptr<http::Responder> Responder) {
    ++WatchCalls;
    const uint64_t Version = parseNumber(Request.query("version"));
    const auto It = Objects.find(Name);
    if (It != Objects.end() && It->second.Version > Version)
      return Responder->respond(200, versionHeader(It->second.Version),
                                It->second.Body);
    auto Timer = std::make_unique<boost::asio::steady_timer>(Io);
    Timer->expires_after(
        std::chrono::milliseconds(parseNumber(Request.query("wait_ms"))));
    OpenWatches.push_back({Name, Version, Responder, std::move(Timer)});
    const auto Added = std::prev(OpenWatches.end());
    Responder->onDisconnect(
        [this, Weak = std::weak_ptr<http::Responder>(Responder)] {
          OpenWatches.remove_if(
              [&](const Watch &W) { return W.Responder == Weak.lock(); });
        });
    Added->Timer->async_wait(
        [this, Responder](boost::system::error_code Error) {
          if (Error)
            return;
          OpenWatches.remove_if(
              [&](const Watch &W) { return W.Responder == Responder; });
          Responder->respond(204, {}, "");
        });
  }

  void answerWatches(const std::string &Name, const Object &O) {
    for (auto It = OpenWatches.begin(); It != OpenWatches.end();) {
      if (It->Name != Name || It->Version >= O.Version) {
        ++It;
        continue;
      }
      It->Responder->respond(200, versionHeader(O.Version), O.Body);
      It = OpenWatches.erase(It);
    }
  }

  void onAdmin(http::Request &Request, http::Responder &Responder) {
    const std::string_view Path = Request.path();
    if (Path == "/admin/outage") {
      Outage = Request.query("on") == "1";
      for (Watch &W : OpenWatches)
        if (Outage)
          W.Responder->abort();
    } else if (Path == "/admin/lose_answers") {
      AnswersToLose = parseNumber(Request.query("count"));
    } else if (Path == "/admin/instances") {
      Instances = std::move(Request.Body);
    } else if (Path == "/admin/counts") {
      return Responder.respond(200, {},
                               "reads " + std::to_string(ReadCalls) +
                                   "\nwrites " + std::to_string(WriteCalls) +
                                   "\nwatches " + std::to_string(WatchCalls) +
                                   "\nlists " + std::to_string(ListCalls) +
                                   "\nopen_watches " +
                                   std::to_string(OpenWatches.size()) + "\n");
    } else {
      return Responder.respond(404, {}, "");
    }
    Responder.respond(200, {}, "");
  }

  boost::asio::io_context &Io;
  std::map<std::string, Object> Objects;
  std::list<Watch> OpenWatches;
  std::string Instances = "[]";
  uint64_t LastVersion = 0;
  uint64_t AnswersToLose = 0;
  uint64_t ReadCalls = 0;
  uint64_t WriteCalls = 0;
  uint64_t WatchCalls = 0;
  uint64_t ListCalls = 0;
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
