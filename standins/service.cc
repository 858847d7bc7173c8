// Stand-in for a plain service: takes a while per call and counts the runs of
// each idempotency key. With --checks-fencing it refuses a fencing number that
// is lower than one seen before in the same scope. GET /admin/runs lists key
// and count.
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
          int64_t InMillis, bool InChecks)
      : Io(InIo), Millis(InMillis), ChecksFencing(InChecks),
        Server(Io, http::Endpoint::parse(Listen), http::ServerOptions(),
               [this](http::Request R, std::shared_ptr<http::Responder> A) {
                 onRequest(R, std::move(A));
               }) {}

private:
  bool stale(const http::Request &R) {
    const std::string_view Text = R.header("Fencing-Number");
    uint64_t Number = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Number);
    uint64_t &Highest = HighestFencing[std::string(R.header("Fencing-Scope"))];
    if (Number < Highest)
      return true;
    Highest = Number;
    return false;
  }

  void onRequest(const http::Request &R, std::shared_ptr<http::Responder> A) {
    if (R.path() == "/healthz")
      return A->whole(200, {}, "ok");
    if (R.path() == "/admin/runs") {
      std::string Out;
      for (const auto &[Key, Count] : Runs)
        Out += Key + " " + std::to_string(Count) + "\n";
      return A->whole(200, {}, Out);
    }
    if (ChecksFencing && !R.header("Idempotency-Key").empty() && stale(R))
      return A->whole(412, {}, "stale fencing number");
    const std::string Key(R.header("Idempotency-Key"));
    ++Runs[Key.empty() ? "none" : Key];
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io);
    Timer->expires_after(std::chrono::milliseconds(Millis));
    Timer->async_wait([A, Timer, Body = R.Body](boost::system::error_code) {
      A->whole(200, {{"Content-Type", "text/plain"}}, "done " + Body);
    });
  }

  boost::asio::io_context &Io;
  int64_t Millis;
  bool ChecksFencing;
  std::map<std::string, uint64_t> Runs;
  std::map<std::string, uint64_t> HighestFencing;
  http::Server Server;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"stand-in for a plain service"};
  std::string Listen = "127.0.0.1:9300";
  int64_t Millis = 50;
  bool Checks = false;
  App.add_option("--listen", Listen, "ip:port");
  App.add_option("--millis", Millis, "time per call");
  App.add_flag("--checks-fencing", Checks, "refuse old fencing numbers");
  CLI11_PARSE(App, Argc, Argv);
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Io.stop(); });
  Service S(Io, Listen, Millis, Checks);
  Io.run();
}
