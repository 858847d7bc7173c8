// Models the delay to the first token as a constant plus tokens / rate. The
// rate is the reciprocal of the slope of an exponentially weighted linear
// regression, so that the constant part (tens of milliseconds) is not mistaken
// for a low prefill rate. The regression starts from a prior, which a few dozen
// samples outweigh. Pending tokens are processed at the estimated rate, the
// most urgent rank first. All operations take constant time.
#include "admission/prefill_model.h"

#include <algorithm>
#include <cmath>

namespace goldcrestlink {

namespace {
constexpr double InitialTokensPerMs = 20;
// Time constant of the exponential average of the utilisation.
constexpr double UtilisationSeconds = 2;
constexpr double MinTokensPerMs = 4;
constexpr double MaxTokensPerMs = 400;
// Factor by which each new sample reduces the weight of the older ones; the
// effective sample size is about 100.
constexpr double SampleDecay = 0.99;
// The prior consists of two points of this weight, one at zero tokens and one
// at PriorTokens.
constexpr double PriorWeight = 5;
constexpr double PriorTokens = 8000;
// An engine processes a long prompt in chunks of up to this many tokens,
// according to the deployments' data sheets; more urgent prompts wait for the
// chunk in progress.
constexpr double ChunkTokens = 4096;
} // namespace

PrefillModel::PrefillModel() : Rate(InitialTokensPerMs) {
  SumW = 2 * PriorWeight;
  SumX = PriorWeight * PriorTokens;
  SumXX = PriorWeight * PriorTokens * PriorTokens;
  SumY = PriorWeight * PriorTokens / InitialTokensPerMs;
  SumXY = PriorWeight * PriorTokens * PriorTokens / InitialTokensPerMs;
}

std::array<double, BacklogRanks> PrefillModel::pendingAt(Time Now) const {
  std::array<double, BacklogRanks> Remaining = Pending;
  double Capacity = std::max(0.0, seconds(Now - UpdatedAt) * 1e3 * Rate);
  for (double &Tokens : Remaining) {
    const double Done = std::min(Tokens, Capacity);
    Tokens -= Done;
    Capacity -= Done;
  }
  return Remaining;
}

void PrefillModel::add(Time Now, uint32_t Rank, uint64_t Tokens) {
  Pending = pendingAt(Now);
  UpdatedAt = Now;
  Pending[backlogRow(Rank)] += static_cast<double>(Tokens);
  SentRate = utilisation(Now) * Rate +
             static_cast<double>(Tokens) / (UtilisationSeconds * 1e3);
  SentRateAt = Now;
}

double PrefillModel::utilisation(Time Now) const {
  return SentRate * std::exp(-seconds(Now - SentRateAt) / UtilisationSeconds) /
         Rate;
}

void PrefillModel::clear(Time Now) {
  Pending = {};
  UpdatedAt = Now;
}

Duration PrefillModel::backlog(Time Now, uint32_t Rank) const {
  return backlogs(Now)[backlogRow(Rank)];
}

Backlogs PrefillModel::backlogs(Time Now) const {
  const std::array<double, BacklogRanks> Remaining = pendingAt(Now);
  double Total = 0;
  for (const double Tokens : Remaining)
    Total += Tokens;
  Backlogs Out;
  double SameOrMoreUrgent = 0;
  for (size_t Row = 0; Row < BacklogRanks; ++Row) {
    SameOrMoreUrgent += Remaining[Row];
    const double Tokens =
        SameOrMoreUrgent + std::min(Total - SameOrMoreUrgent, ChunkTokens);
    Out[Row] = Duration(static_cast<int64_t>(Tokens / Rate * 1e3));
  }
  return Out;
}

void PrefillModel::learn(uint64_t Tokens, Duration Delay) {
  const auto X = static_cast<double>(Tokens);
  const double Y = seconds(Delay) * 1e3;
  for (double *Sum : {&SumW, &SumX, &SumY, &SumXX, &SumXY})
    *Sum *= SampleDecay;
  SumW += 1;
  SumX += X;
  SumY += Y;
  SumXX += X * X;
  SumXY += X * Y;
  const double SquaredDeviation = SumXX - SumX * SumX / SumW;
  const double Slope =
      (SumXY - SumX * SumY / SumW) / std::max(SquaredDeviation, 1.0);
  Rate = Slope > 0 ? std::clamp(1 / Slope, MinTokensPerMs, MaxTokensPerMs)
                   : MaxTokensPerMs;
}

} // namespace goldcrestlink
