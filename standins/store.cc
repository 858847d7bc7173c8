// Stand-in for the weight store: sends adapters at a limited rate, and makes
// all in flight slower beyond a number. GET /fetch answers when the adapter
// would be loaded; GET /counts tells how many were fetched.
#include <algorithm>
#include <deque>
#include <memory>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/server.h"
#include "placement/load_broker.h"

using namespace goldcrestlink;

namespace {

struct Limits {
  double LoadsPerSecond = 7;
  double Burst = 2;
  size_t FullSpeedInFlight = 16;
  double LoadSeconds = 0.25;
};

class Store {
public:
  Store(boost::asio::io_context &InIo, const std::string &Listen, Limits InL)
      : Io(InIo), L(InL), Bucket(L.LoadsPerSecond, L.Burst), SendTimer(Io),
        Server(Io, http::Endpoint::parse(Listen), http::ServerOptions(),
               [this](http::Request R, std::shared_ptr<http::Responder> A) {
                 onRequest(R, std::move(A));
               }) {}

private:
  void onRequest(const http::Request &R, std::shared_ptr<http::Responder> A) {
    if (R.path() == "/counts")
      return A->whole(200, {},
                      "fetched " + std::to_string(Fetched) +
                          "\nmost_in_flight " + std::to_string(MostInFlight) +
                          "\n");
    ++InFlight;
    MostInFlight = std::max(MostInFlight, InFlight);
    Waiting.push_back(std::move(A));
    sendWaiting();
  }

  void sendWaiting() {
    const Time N = presentTime().Steady;
    while (!Waiting.empty() && Bucket.take(N)) {
      deliver(std::move(Waiting.front()));
      Waiting.pop_front();
    }
    if (Waiting.empty() || TimerSet)
      return;
    TimerSet = true;
    SendTimer.expires_after(Bucket.untilNext(N) + Duration(1000));
    SendTimer.async_wait([this](boost::system::error_code) {
      TimerSet = false;
      sendWaiting();
    });
  }

  void deliver(std::shared_ptr<http::Responder> A) {
    ++Fetched;
    const double Slowdown =
        std::max(1.0, static_cast<double>(InFlight) /
                          static_cast<double>(L.FullSpeedInFlight));
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io);
    Timer->expires_after(fromSeconds(L.LoadSeconds * Slowdown));
    Timer->async_wait([this, A, Timer](boost::system::error_code) {
      --InFlight;
      A->whole(200, {}, "");
    });
  }

  boost::asio::io_context &Io;
  Limits L;
  TokenBucket Bucket;
  boost::asio::steady_timer SendTimer;
  std::deque<std::shared_ptr<http::Responder>> Waiting;
  size_t InFlight = 0;
  size_t MostInFlight = 0;
  uint64_t Fetched = 0;
  bool TimerSet = false;
  http::Server Server;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"stand-in for the weight store"};
  std::string Listen = "127.0.0.1:9100";
  Limits L;
  App.add_option("--listen", Listen, "ip:port");
  App.add_option("--rate", L.LoadsPerSecond, "loads per second");
  App.add_option("--burst", L.Burst, "loads at once at full speed");
  App.add_option("--in-flight", L.FullSpeedInFlight,
                 "loads in flight beyond which all slow down");
  App.add_option("--load-seconds", L.LoadSeconds, "time of one load");
  CLI11_PARSE(App, Argc, Argv);
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Io.stop(); });
  Store S(Io, Listen, L);
  Io.run();
}
