// Stand-in for a plain service: answers each call after a fixed time and counts
// the runs of each idempotency key. With --checks-fencing it rejects, with 412,
// a call whose fencing number is lower than the highest received in the same
// scope. GET /admin/runs lists the keys with their counts. Each key costs one
// map entry.
#include <charconv>
#include <map>
#include <memory>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/server.h"

using namespace goldcrestlink;

namespace {

class Service {
public:
  Service(boost::asio::io_context &InIo, const std::string &Listen,
          int64_t InCallMs, bool InChecksFencing)
      : Io(InIo), CallMs(InCallMs), ChecksFencing(InChecksFencing),
        Server(Io, http::Endpoint::parse(Listen), http::ServerOptions(),
               [this](http::Request Request,
                      std::shared_ptr<http::Responder> Responder) {
                 onRequest(Request, std::move(Responder));
               }) {}

private:
  bool isStale(const http::Request &Request) {
    const std::string_view Text = Request.header("Fencing-Number");
    uint64_t Number = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Number);
    uint64_t &HighestSeen =
        HighestByScope[std::string(Request.header("Fencing-Scope"))];
    if (Number < HighestSeen)
      return true;
    HighestSeen = Number;
    return false;
  }

  void onRequest(const http::Request &Request,
                 std::shared_ptr<http::Responder> Responder) {
    if (Request.path() == "/healthz")
      return Responder->respond(200, {}, "ok");
    if (Request.path() == "/admin/runs") {
      std::string List;
      for (const auto &[Key, Count] : Runs)
        List += Key + " " + std::to_string(Count) + "\n";
      return Responder->respond(200, {}, List);
    }
    if (ChecksFencing && !Request.header("Idempotency-Key").empty() &&
        isStale(Request))
      return Responder->respond(412, {}, "stale fencing number");
    const std::string Key(Request.header("Idempotency-Key"));
    ++Runs[Key.empty() ? "none" : Key];
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io);
    Timer->expires_after(std::chrono::milliseconds(CallMs));
    Timer->async_wait([Responder, Timer,
                       Body = Request.Body](boost::system::error_code) {
      Responder->respond(200, {{"Content-Type", "text/plain"}}, "done " + Body);
    });
  }

  boost::asio::io_context &Io;
  int64_t CallMs;
  bool ChecksFencing;
  std::map<std::string, uint64_t> Runs;
  std::map<std::string, uint64_t> HighestByScope;
  http::Server Server;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"stand-in for a plain service"};
  std::string Listen = "127.0.0.1:9300";
  int64_t CallMs = 50;
  bool ChecksFencing = false;
  App.add_option("--listen", Listen, "ip:port");
  App.add_option("--millis", CallMs, "time per call in milliseconds");
  App.add_flag("--checks-fencing", ChecksFencing,
               "reject stale fencing numbers");
  CLI11_PARSE(App, Argc, Argv);
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Io.stop(); });
  Service S(Io, Listen, CallMs, ChecksFencing);
  Io.run();
}
