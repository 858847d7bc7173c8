// Model of an engine with continuous batching, in simulated time: it processes
// prompts in pieces between the tokens of its streams, slows down at times, and
// preempts requests when its memory is full. Shared by unit tests and by
// experiments that compare policies on the same arrivals.
//
//   EngineModel Engine(EngineModel::Options(), Observer);
//   Engine.submit(Now, {.Id = 1, .PromptTokens = 1000, .OutputTokens = 80});
//   Engine.advance(Now);              // carries out the steps until Now
//   EngineReport Report = Engine.report();
#ifndef GOLDCRESTLINK_TESTING_ENGINE_MODEL_H
#define GOLDCRESTLINK_TESTING_ENGINE_MODEL_H

#include <cstdint>
#include <vector>

#include "admission/engine_report.h"
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

/// Not thread-safe. Memory is bounded by the requests submitted and not ended.
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
  };

  struct Request {
    uint64_t Id = 0;
    uint64_t PromptTokens = 0;
    uint64_t OutputTokens = 1;
    /// 0 is the most urgent.
    uint32_t Rank = 0;
  };

  EngineModel(Options O, EngineModelObserver &InObserver)
      : Opts(O), Observer(InObserver) {}

  /// The request arrives at \p Now, after all earlier calls.
  void submit(Time Now, const Request &R);
  /// Carries out all steps that end until \p Now.
  void advance(Time Now);
  /// The state after the last step.
  EngineReport report() const;
  uint64_t preemptions() const { return Preemptions; }

private:
  struct Run {
    Request R;
    // Prompt tokens that are still to be processed.
    uint64_t Unread = 0;
    uint64_t Generated = 0;
    uint64_t Events = 0;
  };

  double slowFactor(Time At) const;
  void startStep(Time At);
  void finishStep();
  void admitWaiting();
  void preemptIfFull();
  uint64_t memoryUsed() const;

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
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_ENGINE_MODEL_H
