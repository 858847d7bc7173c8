// Stand-in for the weight store: starts to send adapters at a limited rate, and
// sends each more slowly the more fetches are in flight beyond a limit; fetches
// that wait to be sent count as in flight. GET /fetch answers once the adapter
// would be loaded; GET /counts returns the number of adapters fetched and the
// largest number of fetches in flight. Each fetch being sent costs one timer.
#include <algorithm>
#include <deque>
#include <memory>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/token_bucket.h"
#include "http/server.h"

using namespace goldcrestlink;

namespace {

struct StoreConfig {
  double LoadsPerSecond = 7;
  double Burst = 2;
  size_t FullSpeedInFlight = 16;
  double LoadSeconds = 0.25;
};

class Store {
public:
  Store(boost::asio::io_context &InIo, const std::string &Listen,
        StoreConfig InConfig)
      : Io(InIo), Config(InConfig), Bucket(Config.LoadsPerSecond, Config.Burst),
        SendTimer(Io),
        Server(Io, http::Endpoint::parse(Listen), http::ServerOptions(),
               [this](http::Request Request,
                      std::shared_ptr<http::Responder> Responder) {
                 onRequest(Request, std::move(Responder));
               }) {}

private:
  void onRequest(const http::Request &Request,
                 std::shared_ptr<http::Responder> Responder) {
    if (Request.path() == "/counts")
      return Responder->respond(200, {},
                                "fetched " + std::to_string(FetchCount) +
                                    "\nmost_in_flight " +
                                    std::to_string(MostInFlight) + "\n");
    ++InFlight;
    MostInFlight = std::max(MostInFlight, InFlight);
    WaitingFetches.push_back(std::move(Responder));
    sendWaiting();
  }

  void sendWaiting() {
    const Time Now = currentTime().Steady;
    while (!WaitingFetches.empty() && Bucket.take(Now)) {
      send(std::move(WaitingFetches.front()));
      WaitingFetches.pop_front();
    }
    if (WaitingFetches.empty() || TimerSet)
      return;
    TimerSet = true;
    SendTimer.expires_after(Bucket.untilNext(Now) + Duration(1000));
    SendTimer.async_wait([this](boost::system::error_code) {
      TimerSet = false;
      sendWaiting();
    });
  }

  void send(std::shared_ptr<http::Responder> Responder) {
    ++FetchCount;
    const double Slowdown =
        std::max(1.0, static_cast<double>(InFlight) /
                          static_cast<double>(Config.FullSpeedInFlight));
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io);
    Timer->expires_after(fromSeconds(Config.LoadSeconds * Slowdown));
    Timer->async_wait([this, Responder, Timer](boost::system::error_code) {
      --InFlight;
      Responder->respond(200, {}, "");
    });
  }

  boost::asio::io_context &Io;
  StoreConfig Config;
  TokenBucket Bucket;
  boost::asio::steady_timer SendTimer;
  std::deque<std::shared_ptr<http::Responder>> WaitingFetches;
  size_t InFlight = 0;
  size_t MostInFlight = 0;
  uint64_t FetchCount = 0;
  bool TimerSet = false;
  http::Server Server;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"stand-in for the weight store"};
  std::string Listen = "127.0.0.1:9100";
  StoreConfig Config;
  App.add_option("--listen", Listen, "ip:port");
  App.add_option("--rate", Config.LoadsPerSecond, "loads per second");
  App.add_option("--burst", Config.Burst, "loads that may start at once");
  App.add_option("--in-flight", Config.FullSpeedInFlight,
                 "loads in flight beyond which loads slow down");
  App.add_option("--load-seconds", Config.LoadSeconds,
                 "time of one load in seconds");
  CLI11_PARSE(App, Argc, Argv);
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Io.stop(); });
  Store S(Io, Listen, Config);
  Io.run();
}
