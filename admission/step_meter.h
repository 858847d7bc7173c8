// Measures how long an engine takes for one step of its batch, and how much
// slower it is at present than it usually is. Answers load on an engine whose
// speed varies: other work on its machine slows it down for some hundred
// milliseconds at a time, and a prompt that is harmless at its usual speed then
// stops all of its streams for too long.
//
// Assumes of an engine that each step adds one token to every running request,
// that the step also processes a piece of a prompt if one is pending, and that
// its reports state the tokens of each running request.
//
//   StepMeter Steps;
//   Steps.onReport(Now, Report);
//   Steps.onPrefill(Now, Took / Expected);
//   if (Steps.slowdown(Now) > 2) ...
#ifndef GOLDCRESTLINK_ADMISSION_STEP_METER_H
#define GOLDCRESTLINK_ADMISSION_STEP_METER_H

#include <array>
#include <cstddef>
#include <unordered_map>

#include "admission/engine_report.h"
#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe. Memory is bounded by the runs of one report.
class StepMeter {
public:
  /// Reports further apart than this are not compared: what happened in between
  /// is not known.
  static constexpr Duration MaxReportGap = std::chrono::milliseconds(120);

  // Commands.

  /// The engine's state at \p Now.
  void onReport(Time Now, const EngineReport &Report);
  /// A prompt has just been processed, or is being processed, in \p Ratio times
  /// the time that the engine usually takes for it.
  void onPrefill(Time Now, double Ratio);
  /// The engine has started anew.
  void clear();

  // Queries.

  /// Usual time of a step that processes no prompt; zero if none has been seen.
  Duration usualStep() const { return Usual; }
  /// Time of a step now relative to the usual one, at least 1. Returns to 1 if
  /// nothing has been seen for a while.
  double slowdown(Time Now) const;
  /// The greatest slowdown of the last while, in which a spell may begin at any
  /// time.
  double worstSlowdown(Time Now) const;
  /// Share of the time in which the engine is slow, from 0 to 1.
  double slowShare() const { return SlowShare; }

private:
  struct Run {
    uint64_t Tokens = 0;
    // Tokens that it gained when it last advanced, and when that was.
    uint64_t Gained = 1;
    Time AdvancedAt{};
  };
  void addSample(double StepMs);
  void setSlowdown(Time Now, double Factor);

  std::unordered_map<uint64_t, Run> Runs;
  // Until when a prompt may have been processed.
  Time PromptsUntil{};
  // The last samples of the time of a step, as a ring.
  std::array<double, 64> Samples{};
  size_t SampleCount = 0;
  Duration Usual{};
  double Slowdown = 1;
  Time SlowdownAt{};
  double Worst = 1;
  Time WorstAt{};
  double SlowShare = 0;
  Time ReportedAt{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_STEP_METER_H
