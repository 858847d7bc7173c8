// What the path itself costs: the same whole completion calls straight to an
// engine stand-in, and through one entry process and the sides, in one run.
//
//   build/overhead --seconds 5
//
// Callers are threads with kept-alive connections that send one call after
// another; latency is taken with few of them, throughput with many.
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/client.h"
#include "testing/fleet.h"

using namespace goldcrestlink;

namespace {

struct Load {
  size_t Threads = 2;
  size_t Connections = 4;
  double Seconds = 5;
};

struct Measured {
  double PerSecond = 0;
  double P50Ms = 0;
  double P99Ms = 0;
  size_t Failed = 0;
};

class CallerThread {
public:
  CallerThread(const std::vector<http::Endpoint> &InTo, size_t InConnections,
               double Seconds)
      : To(InTo), Client(Io), Connections(InConnections),
        Until(presentTime().Steady + fromSeconds(Seconds)) {}

  void run() {
    for (size_t I = 0; I < Connections; ++I)
      next(I);
    Io.run();
  }

  std::vector<double> Millis;
  size_t Failed = 0;

private:
  void next(size_t I) {
    const Time Sent = presentTime().Steady;
    if (Sent >= Until)
      return;
    http::Request R;
    R.Method = "POST";
    R.Target = "/v1/completions";
    R.Fields = {{"Content-Type", "application/json"}};
    R.Body = R"({"model":"a)" + std::to_string(I % 8) +
             R"(@1","prompt":"how are the hoops?","max_tokens":8})";
    Client.fetch(To[I % To.size()], std::move(R), http::CallOptions(),
                 [this, I, Sent](const http::Response *A, http::CallError) {
                   if (A && A->Head.Status == 200)
                     Millis.push_back(1000 *
                                      seconds(presentTime().Steady - Sent));
                   else
                     ++Failed;
                   next(I);
                 });
  }

  std::vector<http::Endpoint> To;
  boost::asio::io_context Io{1};
  http::Client Client;
  size_t Connections;
  Time Until;
};

Measured measure(const std::vector<http::Endpoint> &To, const Load &L) {
  std::vector<std::unique_ptr<CallerThread>> Callers;
  std::vector<std::thread> Threads;
  for (size_t I = 0; I < L.Threads; ++I)
    Callers.push_back(
        std::make_unique<CallerThread>(To, L.Connections, L.Seconds));
  for (auto &C : Callers)
    Threads.emplace_back([&C] { C->run(); });
  for (std::thread &T : Threads)
    T.join();
  Measured Out;
  std::vector<double> All;
  for (const auto &C : Callers) {
    All.insert(All.end(), C->Millis.begin(), C->Millis.end());
    Out.Failed += C->Failed;
  }
  std::sort(All.begin(), All.end());
  if (All.empty())
    return Out;
  Out.PerSecond = static_cast<double>(All.size()) / L.Seconds;
  Out.P50Ms = All[All.size() / 2];
  Out.P99Ms = All[All.size() * 99 / 100];
  return Out;
}

void show(const char *What, const Measured &M) {
  std::printf("%-34s %8.0f/s  p50 %.3f ms  p99 %.3f ms  failed %zu\n", What,
              M.PerSecond, M.P50Ms, M.P99Ms, M.Failed);
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"the cost of the path itself"};
  std::string Programs = "build";
  double Seconds = 5;
  size_t Many = 64;
  testing::FleetShape Shape;
  Shape.Engines = 4;
  Shape.TrafficThreads = 4;
  App.add_option("--programs", Programs, "folder of the built programs");
  App.add_option("--seconds", Seconds, "length of each measurement");
  App.add_option("--engines", Shape.Engines, "engines and sides");
  App.add_option("--threads", Shape.TrafficThreads, "entry's traffic threads");
  App.add_option("--connections", Many, "connections per caller thread");
  CLI11_PARSE(App, Argc, Argv);
  Shape.Services = 1;
  Shape.Entries = 1;
  Shape.Adapters = 8;
  Shape.UseStore = false;
  Shape.StoreRate = 1000;
  Shape.StoreBurst = 8;
  Shape.StepMs = 0;
  Shape.MaxBatch = 256;
  try {
    testing::Fleet F(Shape, Programs, "/tmp/goldcrestlink-overhead");
    F.start();
    const std::vector<http::Endpoint> Entry = {F.Entries[0].Http};
    const Load Few{2, 4, Seconds};
    const Load Full{2, Many, Seconds};
    // Load every adapter where the entry puts it, and in the first engine
    // for the direct calls.
    measure(Entry, {1, 8, 2});
    std::vector<http::Endpoint> Direct;
    for (const auto &E : F.Engines)
      Direct.push_back(E.Http);
    for (const auto &E : F.Engines)
      for (size_t I = 0; I < 8; ++I)
        F.admin(E.Http, "/v1/load_lora_adapter", "POST",
                R"({"lora_name":"a)" + std::to_string(I) + R"(@1","slot":)" +
                    std::to_string(I) + "}");
    const Measured DirectFew = measure(Direct, Few);
    show("direct, 8 connections", DirectFew);
    measure(Entry, {1, 8, 3}); // Sides find their slots changed and settle.
    const Measured PathFew = measure(Entry, Few);
    show("through the path, 8 connections", PathFew);
    std::printf("added p50 %.3f ms, p99 %.3f ms\n",
                PathFew.P50Ms - DirectFew.P50Ms,
                PathFew.P99Ms - DirectFew.P99Ms);
    show("direct, many connections", measure(Direct, Full));
    const double EntryBefore = F.Entries[0].Running->processorSeconds();
    double SidesBefore = 0;
    for (const auto &S : F.EngineSides)
      SidesBefore += S.Running->processorSeconds();
    const Measured PathFull = measure(Entry, Full);
    const double EntryUsed =
        F.Entries[0].Running->processorSeconds() - EntryBefore;
    double SidesUsed = -SidesBefore;
    for (const auto &S : F.EngineSides)
      SidesUsed += S.Running->processorSeconds();
    show("through the path, many connections", PathFull);
    const double Requests = PathFull.PerSecond * Seconds;
    std::printf("entry: %.1f us of processor per request, %.0f requests/s per "
                "core; sides: %.1f us per request\n",
                1e6 * EntryUsed / Requests, Requests / EntryUsed,
                1e6 * SidesUsed / Requests);
    return 0;
  } catch (const std::exception &E) {
    std::fprintf(stderr, "%s\n", E.what());
    return 1;
  }
}
