// A deployment in simulated time: the real decisions of entries (Forwarder) and
// sides (SideAdmission) with model engines, a weight store and callers, without
// network, threads or clocks. The same options and seed give the same arrivals,
// so two policies can be compared on them.
//
//   FleetModel Fleet(Options, Kinds);
//   const FleetResult R = Fleet.run();
//   CHECK(R.Kinds[0].onTimeShare() > 0.9);
#ifndef GOLDCRESTLINK_TESTING_FLEET_MODEL_H
#define GOLDCRESTLINK_TESTING_FLEET_MODEL_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "testing/engine_model.h"

namespace goldcrestlink::testing {

/// One kind of requests: streams with log-normal prompts and outputs.
struct RequestKind {
  std::string Name;
  uint32_t Rank = 0;
  double PerSecond = 10;
  double PromptMean = 650;
  double PromptSpread = 0.5;
  /// Tokens of each prompt that the other prompts of its adapter share.
  uint32_t SharedTokens = 0;
  double OutputMean = 70;
  /// Callers' estimates of their output are wrong by this factor; 0: they give
  /// none.
  double HintFactor = 0;
  Duration Objective = std::chrono::milliseconds(1000);
  Duration MaxPause = std::chrono::milliseconds(800);
  Duration TimeLeft = std::chrono::seconds(8);
  /// Adapters in use, the first being asked for most; exponent of their
  /// popularity, 0 for equal shares. None: the base model.
  size_t Adapters = 100;
  double Exponent = 1.2;
  /// From this time on, other adapters are in use.
  Duration ShiftAt = std::chrono::hours(1);
  /// Arrivals in this span only.
  Duration From{};
  Duration To = std::chrono::hours(1);
};

struct FleetOptions {
  size_t Engines = 20;
  size_t Entries = 4;
  size_t DataCentres = 3;
  Duration Length = std::chrono::seconds(20);
  /// Between any two processes.
  Duration MessageDelay = std::chrono::microseconds(1500);
  EngineModel::Options Engine;
  WeightStoreModel Store;
  /// Entries choose the engine with the fewest of their own open requests,
  /// among those that hold the adapter if any does, and know nothing of costs.
  bool LeastOutstanding = false;
  /// Engines with numbers below this have the steps and the prefill rate of
  /// Engine slowed down by SlowEngineFactor.
  size_t SlowEngines = 0;
  double SlowEngineFactor = 2;
  /// False: sides know no longest pause, and grant prompts as they come.
  bool PacePrompts = true;
  uint64_t Seed = 1;
};

/// What the callers of one kind got.
struct KindResult {
  size_t Asked = 0;
  /// Complete, also late.
  size_t Served = 0;
  size_t Refused = 0;
  size_t Failed = 0;
  size_t FirstInTime = 0;
  size_t PausesInTime = 0;
  /// Complete, with first event and pauses in time.
  size_t OnTime = 0;
  /// Times from arrival to the first event, in the order of the arrivals.
  std::vector<Duration> FirstEvents;

  double servedShare() const {
    return static_cast<double>(Served) /
           static_cast<double>(std::max<size_t>(1, Asked));
  }
  double onTimeShare() const {
    return static_cast<double>(OnTime) /
           static_cast<double>(std::max<size_t>(1, Asked));
  }
  /// \p Share from 0 to 1; zero if there was no first event.
  Duration firstEventQuantile(double Share) const;
};

struct FleetResult {
  std::vector<KindResult> Kinds;
  size_t DistinctAdapters = 0;
  uint64_t Fetches = 0;
  uint64_t AdmissionRequests = 0;
  uint64_t LoadMessages = 0;
  /// See EngineModel::violations().
  uint64_t Violations = 0;
};

/// Not thread-safe.
class FleetModel {
public:
  FleetModel(const FleetOptions &Options, std::vector<RequestKind> Kinds);
  ~FleetModel();
  /// Plays Options.Length and waits for all that were asked for. To be called
  /// once.
  FleetResult run();

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_FLEET_MODEL_H
