// Compares two policies on the same arrivals: prompts paced for the sake of the
// streams that engines run, and granted as they come. Prints what callers of
// each kind got and what it cost, one line per policy, kind and seed.
//
//   build/fleet_experiment --entries 27 --engines 78 --rate 200 --seeds 3
#include <cstdio>

#include <CLI/CLI.hpp>

#include "testing/fleet_model.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

struct Arguments {
  size_t Entries = 4;
  size_t Engines = 12;
  double Rate = 55;
  double LargeRate = 0.5;
  size_t Adapters = 3000;
  double Exponent = 1.2;
  int64_t PauseMs = 300;
  int64_t Seconds = 30;
  uint64_t Seeds = 1;
  bool OursOnly = false;
  double ShiftSeconds = 1e6;
  size_t Slots = 64;
  size_t AdapterSlots = 21;
};

std::vector<RequestKind> kinds(const Arguments &Args) {
  RequestKind Long;
  Long.Name = "long";
  Long.Rank = 2;
  Long.PerSecond = Args.Rate * 0.6;
  Long.PromptMean = 1460;
  Long.SharedTokens = 350;
  Long.OutputMean = 170;
  Long.TimeLeft = std::chrono::seconds(15);
  RequestKind Short;
  Short.Name = "short";
  Short.PerSecond = Args.Rate * 0.4;
  RequestKind Large;
  Large.Name = "large";
  Large.Rank = 1;
  Large.PerSecond = Args.LargeRate;
  Large.PromptMean = 9190;
  Large.PromptSpread = 0.1;
  Large.SharedTokens = 6300;
  Large.OutputMean = 50;
  Large.Objective = std::chrono::milliseconds(2000);
  std::vector<RequestKind> Out = {Long, Short};
  if (Args.LargeRate > 0)
    Out.push_back(Large);
  for (RequestKind &K : Out) {
    K.MaxPause = std::chrono::milliseconds(Args.PauseMs);
    K.Adapters = Args.Adapters;
    K.Exponent = Args.Exponent;
    K.ShiftAt = fromSeconds(Args.ShiftSeconds);
  }
  return Out;
}

int64_t ms(Duration D) { return D.count() / 1000; }

void print(const char *Policy, uint64_t Seed,
           const std::vector<RequestKind> &Kinds, const FleetResult &R) {
  for (size_t K = 0; K < Kinds.size(); ++K) {
    const KindResult &Of = R.Kinds[K];
    std::printf("policy=%s seed=%llu kind=%s asked=%zu served=%.3f "
                "on_time=%.3f pauses_in_time=%.3f refused=%zu failed=%zu "
                "first_p50_ms=%lld first_p99_ms=%lld\n",
                Policy, static_cast<unsigned long long>(Seed),
                Kinds[K].Name.c_str(), Of.Asked, Of.servedShare(),
                Of.onTimeShare(),
                static_cast<double>(Of.PausesInTime) /
                    static_cast<double>(std::max<size_t>(1, Of.Asked)),
                Of.Refused, Of.Failed,
                static_cast<long long>(ms(Of.firstEventQuantile(0.5))),
                static_cast<long long>(ms(Of.firstEventQuantile(0.99))));
  }
  std::printf("policy=%s seed=%llu adapters=%zu fetches=%llu "
              "admission_requests=%llu load_messages=%llu\n",
              Policy, static_cast<unsigned long long>(Seed), R.DistinctAdapters,
              static_cast<unsigned long long>(R.Fetches),
              static_cast<unsigned long long>(R.AdmissionRequests),
              static_cast<unsigned long long>(R.LoadMessages));
}

} // namespace

int main(int Argc, char **Argv) {
  Arguments Args;
  CLI::App App("compares policies on the same arrivals, in simulated time");
  App.add_option("--entries", Args.Entries, "processes that place requests");
  App.add_option("--engines", Args.Engines, "engines, each with a side");
  App.add_option("--rate", Args.Rate, "streams per second");
  App.add_option("--large-rate", Args.LargeRate, "large prompts per second");
  App.add_option("--adapters", Args.Adapters, "adapters of each kind");
  App.add_option("--exponent", Args.Exponent, "of their popularity");
  App.add_option("--pause-ms", Args.PauseMs, "longest pause on time");
  App.add_option("--seconds", Args.Seconds, "length");
  App.add_flag("--ours-only", Args.OursOnly, "without the other policy");
  App.add_option("--shift-s", Args.ShiftSeconds,
                 "when demand moves to other adapters");
  App.add_option("--slots", Args.Slots, "requests an engine runs at once");
  App.add_option("--adapter-slots", Args.AdapterSlots,
                 "adapters an engine holds");
  App.add_option("--seeds", Args.Seeds, "number of seeds, from 1");
  CLI11_PARSE(App, Argc, Argv);
  const std::vector<RequestKind> Kinds = kinds(Args);
  for (uint64_t Seed = 1; Seed <= Args.Seeds; ++Seed)
    for (const bool Paces : {true, false}) {
      if (!Paces && Args.OursOnly)
        continue;
      FleetOptions O;
      O.Entries = Args.Entries;
      O.Engines = Args.Engines;
      O.Engine.TokensPerEvent = 2;
      O.Engine.Slots = Args.Slots;
      O.Engine.AdapterSlots = Args.AdapterSlots;
      O.Length = std::chrono::seconds(Args.Seconds);
      O.PacePrompts = Paces;
      O.Seed = Seed;
      print(Paces ? "paced" : "unpaced", Seed, Kinds,
            FleetModel(O, Kinds).run());
    }
  return 0;
}
