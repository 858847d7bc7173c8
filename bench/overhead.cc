// Measures the overhead of entry and sides: the same completion requests are
// sent directly to engine stand-ins and through one entry process and the
// sides, in one run. Answers are not streamed.
//
//   build/overhead --seconds 5
//
// Caller threads send one request after another on each of their persistent
// connections. Latency is measured with few connections, throughput with many.
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/client.h"
#include "testing/test_deployment.h"

using namespace goldcrestlink;

namespace {

struct LoadProfile {
  size_t Threads = 2;
  size_t Connections = 4;
  double Seconds = 5;
};

struct Measurement {
  double PerSecond = 0;
  double P50Ms = 0;
  double P99Ms = 0;
  size_t Failed = 0;
};

class CallerThread {
public:
  CallerThread(const std::vector<http::Endpoint> &InTargets,
               size_t InConnections, double Seconds)
      : Targets(InTargets), Client(Io), Connections(InConnections),
        Until(currentTime().Steady + fromSeconds(Seconds)) {}

  void run() {
    for (size_t I = 0; I < Connections; ++I)
      next(I);
    Io.run();
  }

  std::vector<double> Millis;
  size_t Failed = 0;

private:
  void next(size_t I) {
    const Time Sent = currentTime().Steady;
    if (Sent >= Until)
      return;
    http::Request R;
    R.Method = "POST";
    R.Target = "/v1/completions";
    R.Fields = {{"Content-Type", "application/json"}};
    R.Body = R"({"model":"a)" + std::to_string(I % 8) +
             R"(@1","prompt":"how are the hoops?","max_tokens":8})";
    Client.fetch(Targets[I % Targets.size()], std::move(R), http::CallOptions(),
                 [this, I, Sent](const http::Response *A, http::CallError) {
                   if (A && A->Head.Status == 200)
                     Millis.push_back(1000 *
                                      seconds(currentTime().Steady - Sent));
                   else
                     ++Failed;
                   next(I);
                 });
  }

  std::vector<http::Endpoint> Targets;
  boost::asio::io_context Io{1};
  http::Client Client;
  size_t Connections;
  Time Until;
};

Measurement measure(const std::vector<http::Endpoint> &Targets,
                    const LoadProfile &L) {
  std::vector<std::unique_ptr<CallerThread>> Callers;
  std::vector<std::thread> Threads;
  for (size_t I = 0; I < L.Threads; ++I)
    Callers.push_back(
        std::make_unique<CallerThread>(Targets, L.Connections, L.Seconds));
  for (auto &C : Callers)
    Threads.emplace_back([&C] { C->run(); });
  for (std::thread &T : Threads)
    T.join();
  Measurement Out;
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

void printMeasurement(const char *What, const Measurement &M) {
  std::printf("%-34s %8.0f/s  p50 %.3f ms  p99 %.3f ms  failed %zu\n", What,
              M.PerSecond, M.P50Ms, M.P99Ms, M.Failed);
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"measure the overhead of entry and sides"};
  std::string Programs = "build";
  double Seconds = 5;
  size_t ManyConnections = 64;
  testing::DeploymentOptions Shape;
  Shape.Engines = 4;
  Shape.TrafficThreads = 4;
  App.add_option("--programs", Programs, "folder of the built programs");
  App.add_option("--seconds", Seconds, "length of each measurement");
  App.add_option("--engines", Shape.Engines,
                 "number of engines, each with a side");
  App.add_option("--threads", Shape.TrafficThreads,
                 "traffic threads of the entry");
  App.add_option("--connections", ManyConnections,
                 "connections per caller thread");
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
    testing::TestDeployment Fleet(Shape, Programs,
                                  "/tmp/goldcrestlink-overhead");
    Fleet.start();
    const std::vector<http::Endpoint> Entry = {Fleet.Entries[0].Http};
    const LoadProfile LowLoad{2, 4, Seconds};
    const LoadProfile HighLoad{2, ManyConnections, Seconds};
    // Warm-up: loads every adapter at an engine that the entry chooses. The
    // direct calls need every adapter at every engine, which is loaded below.
    measure(Entry, {1, 8, 2});
    std::vector<http::Endpoint> Direct;
    for (const auto &E : Fleet.Engines)
      Direct.push_back(E.Http);
    for (const auto &E : Fleet.Engines)
      for (size_t I = 0; I < 8; ++I)
        Fleet.admin(E.Http, "/v1/load_lora_adapter", "POST",
                    R"({"lora_name":"a)" + std::to_string(I) +
                        R"(@1","slot":)" + std::to_string(I) + "}");
    const Measurement DirectLatency = measure(Direct, LowLoad);
    printMeasurement("direct, 8 connections", DirectLatency);
    // Lets the sides detect that the slots of their engines have changed,
    // before the next measurement.
    measure(Entry, {1, 8, 3});
    const Measurement PathLatency = measure(Entry, LowLoad);
    printMeasurement("entry and side, 8 connections", PathLatency);
    std::printf("added p50 %.3f ms, p99 %.3f ms\n",
                PathLatency.P50Ms - DirectLatency.P50Ms,
                PathLatency.P99Ms - DirectLatency.P99Ms);
    printMeasurement("direct, many connections", measure(Direct, HighLoad));
    const double EntryBefore = Fleet.Entries[0].Child->processorSeconds();
    double SidesBefore = 0;
    for (const auto &S : Fleet.EngineSides)
      SidesBefore += S.Child->processorSeconds();
    const Measurement PathThroughput = measure(Entry, HighLoad);
    const double EntryUsed =
        Fleet.Entries[0].Child->processorSeconds() - EntryBefore;
    double SidesUsed = -SidesBefore;
    for (const auto &S : Fleet.EngineSides)
      SidesUsed += S.Child->processorSeconds();
    printMeasurement("entry and side, many connections", PathThroughput);
    const double Requests = PathThroughput.PerSecond * Seconds;
    std::printf(
        "entry: %.1f us of processor time per request, %.0f requests/s per "
        "core; sides: %.1f us per request\n",
        1e6 * EntryUsed / Requests, Requests / EntryUsed,
        1e6 * SidesUsed / Requests);
    return 0;
  } catch (const std::exception &E) {
    std::fprintf(stderr, "%s\n", E.what());
    return 1;
  }
}
