// Model of an engine with continuous batching, in simulated time: it processes
// prompts in pieces between the tokens of its streams, slows down at times,
// preempts requests when its memory is full, keeps parts of prompts that it has
// processed, and loads adapters from a weight store that all engines share.
// Shared by unit tests and by experiments that compare policies on the same
// arrivals.
//
//   EngineModel Engine(EngineModel::Options(), Observer);
//   Engine.submit(Now, {.Id = 1, .PromptTokens = 1000, .OutputTokens = 80});
//   Engine.advance(Now);              // carries out the steps until Now
//   EngineReport Report = Engine.report();
#ifndef GOLDCRESTLINK_TESTING_ENGINE_MODEL_H
#define GOLDCRESTLINK_TESTING_ENGINE_MODEL_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "admission/engine_report.h"
#include "admission/kept_parts.h"
#include "base/random.h"
#include "base/time.h"

namespace goldcrestlink::testing {

/// Notified of what callers would receive.
class EngineModelObserver {
public:
  virtual ~EngineModelObserver() = default;
  /// The request has produced an event of its stream.
  virtual void onEvent(Time Now, uint64_t Id) = 0;
  virtual void onEnd(Time Now, uint64_t Id) = 0;
};

/// Fetches of adapters by all engines. Beyond FullSpeed at a time each takes
/// longer in proportion.
struct WeightStoreModel {
  size_t FullSpeed = 64;
  size_t InTransit = 0;
  uint64_t Fetches = 0;
};

/// Not thread-safe. Memory is bounded by the requests submitted and not ended,
/// and by the adapters and parts in use.
class EngineModel {
public:
  struct Options {
    Duration Step = std::chrono::microseconds(10500);
    /// Added to a step for each running request.
    Duration StepPerRun = std::chrono::microseconds(7);
    /// Tokens per millisecond.
    double PrefillRate = 19.2;
    /// Prompt tokens that one step processes at most.
    uint64_t ChunkTokens = 4096;
    size_t Slots = 64;
    uint64_t MemoryTokens = 129537;
    uint32_t TokensPerEvent = 2;
    /// In each period of SlowPeriod the engine is slow with this probability,
    /// by the factor SlowFactor.
    double SlowShare = 0.15;
    double SlowFactor = 2.5;
    Duration SlowPeriod = std::chrono::milliseconds(600);
    uint64_t Seed = 1;
    size_t AdapterSlots = 13;
    /// Of an adapter from the store, and of one that the engine held before.
    Duration LoadTime = std::chrono::milliseconds(250);
    Duration ReloadTime = std::chrono::milliseconds(25);
  };

  struct Request {
    uint64_t Id = 0;
    uint64_t PromptTokens = 0;
    uint64_t OutputTokens = 1;
    /// 0 is the most urgent.
    uint32_t Rank = 0;
    /// Empty for the base model.
    std::string Adapter = {};
    std::vector<PromptPart> Parts = {};
  };

  /// \p InStore must outlive the engine; null if no adapter is ordered.
  EngineModel(Options O, EngineModelObserver &InObserver,
              WeightStoreModel *InStore = nullptr)
      : Opts(O), Observer(InObserver), Store(InStore) {}

  /// The request arrives at \p Now, after all earlier calls. Returns false if
  /// the engine does not hold its adapter.
  bool submit(Time Now, const Request &R);
  /// Carries out an order for an adapter of the model "m".
  OrderOutcome order(Time Now, const EngineOrder &O);
  /// Carries out all steps that end until \p Now.
  void advance(Time Now);
  /// The state after the last step.
  EngineReport report() const;
  uint64_t preemptions() const { return Preemptions; }
  /// Orders that would have crashed an engine: more adapters than slots, or an
  /// unload of one in use.
  uint64_t violations() const { return Violations; }

private:
  struct Run {
    Request R;
    // Prompt tokens that are still to be processed.
    uint64_t Unread = 0;
    uint64_t Generated = 0;
    uint64_t Events = 0;
    bool IsRead = false;
  };

  struct KeptPart {
    uint64_t Tokens = 0;
    Time UsedAt{};
  };

  double slowFactor(Time At) const;
  void startStep(Time At);
  void finishStep();
  void admitWaiting(Time At);
  void preemptIfFull();
  uint64_t memoryUsed() const;
  void completeLoads(Time Now);
  bool inUse(const std::string &Adapter) const;
  /// Tokens at the beginning of the prompt that need not be processed.
  uint64_t keptTokens(Time Now, const Request &R);
  void keep(Time Now, const Request &R);

  Options Opts;
  EngineModelObserver &Observer;
  std::vector<Run> Waiting;
  // In the order of admission.
  std::vector<Run> Running;
  bool Stepping = false;
  Time StepEnd{};
  // Prompt tokens that the present step processes.
  uint64_t StepTokens = 0;
  uint64_t Preemptions = 0;
  uint64_t Violations = 0;
  WeightStoreModel *Store;
  uint64_t OrderCount = 0;
  std::set<std::string> Held;
  std::set<std::string> HeldBefore;
  struct Load {
    Time DoneAt{};
    bool IsFetch = false;
  };
  std::map<std::string, Load> Loading;
  std::map<uint64_t, KeptPart> Kept;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_ENGINE_MODEL_H
