// Every run that gains tokens between two reports tells how long its last steps
// took, and one that should have gained some by now how long they take at
// least. Steps during which a prompt was pending are left out, since they take
// longer for another reason. The runs are averaged, because events hold several
// tokens and end at different steps. The usual time is a low quantile of the
// last samples, so that slow spells do not raise it, while an engine that stays
// slow becomes usual after some seconds. A report costs time linear in its
// runs.
#include "admission/step_meter.h"

#include <algorithm>
#include <cmath>

namespace goldcrestlink {

namespace {
// After this time without a sample the engine is taken to run as usual; slow
// spells last some hundred milliseconds.
constexpr Duration SampleExpiry = std::chrono::milliseconds(600);
// Rank of the usual time among the sorted samples.
constexpr double UsualQuantile = 0.3;
// Below this factor the difference is that between batch sizes, or between the
// times of reports.
constexpr double MinSlowdown = 1.45;
constexpr double MaxSlowdown = 10;
// Time constant with which the worst slowdown is forgotten.
constexpr double WorstSeconds = 30;
// Time constant of the share of slow time, and the time that one sample stands
// for at most.
constexpr double SlowShareSeconds = 30;
constexpr double MaxShareStep = 0.1;
} // namespace

void StepMeter::clear() { *this = StepMeter(); }

void StepMeter::onReport(Time Now, const EngineReport &Report) {
  if (Now - ReportedAt > MaxReportGap)
    Runs.clear();
  ReportedAt = Now;
  if (Report.Running + Report.Waiting > Report.Runs.size())
    PromptsUntil = Now;
  double Sum = 0;
  size_t Count = 0;
  std::unordered_map<uint64_t, Run> Present;
  for (const EngineRun &R : Report.Runs) {
    const auto It = Runs.find(R.Request);
    if (It == Runs.end()) {
      Present[R.Request] = {R.Tokens, 1, Now};
      continue;
    }
    Run &Known = Present[R.Request] = It->second;
    const Duration Took = Now - Known.AdvancedAt;
    const bool Clean = Known.AdvancedAt > PromptsUntil;
    const uint64_t Gained = R.Tokens - std::min(R.Tokens, Known.Tokens);
    const double StepMs = seconds(Took) * 1e3 /
                          static_cast<double>(std::max<uint64_t>(
                              1, Gained ? Gained : Known.Gained));
    if (Gained > 0)
      Known = {R.Tokens, Gained, Now};
    if (!Clean || (Gained == 0 && fromSeconds(StepMs / 1e3) <= Usual))
      continue;
    Sum += StepMs;
    ++Count;
  }
  Runs = std::move(Present);
  if (Count == 0)
    return;
  const double StepMs = Sum / static_cast<double>(Count);
  addSample(StepMs);
  setSlowdown(Now, StepMs / std::max(0.1, seconds(Usual) * 1e3));
}

void StepMeter::onPrefill(Time Now, double Ratio) { setSlowdown(Now, Ratio); }

void StepMeter::setSlowdown(Time Now, double Factor) {
  // Half of the weight is on the last sample, so that one report that came late
  // does not decide alone.
  const double Before = Now - SlowdownAt > SampleExpiry ? 1 : Slowdown;
  Slowdown = (Before + std::clamp(Factor, 1.0, MaxSlowdown)) / 2;
  const double Age = std::min(seconds(Now - SlowdownAt), MaxShareStep);
  const double Kept = std::exp(-Age / SlowShareSeconds);
  SlowShare = SlowShare * Kept + (Slowdown >= MinSlowdown ? 1 - Kept : 0);
  SlowdownAt = Now;
  if (slowdown(Now) >= worstSlowdown(Now)) {
    Worst = slowdown(Now);
    WorstAt = Now;
  }
}

void StepMeter::addSample(double StepMs) {
  Samples[SampleCount++ % Samples.size()] = StepMs;
  auto Sorted = Samples;
  const size_t Count = std::min(SampleCount, Samples.size());
  const auto Rank =
      static_cast<ptrdiff_t>(static_cast<double>(Count - 1) * UsualQuantile);
  std::nth_element(Sorted.begin(), Sorted.begin() + Rank,
                   Sorted.begin() + static_cast<ptrdiff_t>(Count));
  Usual = fromSeconds(Sorted[static_cast<size_t>(Rank)] / 1e3);
}

double StepMeter::worstSlowdown(Time Now) const {
  return 1 + (Worst - 1) * std::exp(-seconds(Now - WorstAt) / WorstSeconds);
}

double StepMeter::slowdown(Time Now) const {
  if (Now - SlowdownAt > SampleExpiry || Slowdown < MinSlowdown)
    return 1;
  return Slowdown;
}

} // namespace goldcrestlink
