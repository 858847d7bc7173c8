// The delay to a first token is taken as a constant plus tokens by rate; the
// rate is the slope of an exponentially weighted linear regression, so that the
// constant part (tens of milliseconds) does not pass for slow reading. It
// begins with a prior that a few dozen answers outweigh. Pending tokens drain
// at that rate, the most urgent first. All operations take constant time.
#include "admission/prefill_model.h"

#include <algorithm>
#include <cmath>

namespace goldcrestlink {

namespace {
constexpr double InitialRate = 20;
// Time constant over which utilisation is averaged.
constexpr double UtilisationSeconds = 2;
constexpr double MinRate = 4;
constexpr double MaxRate = 400;
// Each answer outweighs the older ones by this much; about 100 count.
constexpr double Forgetting = 0.99;
// Weight and place (tokens) of the prior's two points.
constexpr double PriorWeight = 5;
constexpr double PriorTokens = 8000;
// An engine reads a long prompt in pieces of up to this many tokens, by the
// deployments' sheets; more urgent prompts wait for the piece in hand.
constexpr double PieceTokens = 4096;
} // namespace

PrefillModel::PrefillModel() : Rate(InitialRate) {
  SumW = 2 * PriorWeight;
  SumX = PriorWeight * PriorTokens;
  SumXX = PriorWeight * PriorTokens * PriorTokens;
  SumY = PriorWeight * PriorTokens / InitialRate;
  SumXY = PriorWeight * PriorTokens * PriorTokens / InitialRate;
}

std::array<double, BacklogRanks> PrefillModel::pendingAt(Time N) const {
  std::array<double, BacklogRanks> Left = Pending;
  double Read = std::max(0.0, seconds(N - UpdatedAt) * 1e3 * Rate);
  for (double &Tokens : Left) {
    const double Done = std::min(Tokens, Read);
    Tokens -= Done;
    Read -= Done;
  }
  return Left;
}

void PrefillModel::add(Time N, uint32_t Rank, uint64_t Tokens) {
  Pending = pendingAt(N);
  UpdatedAt = N;
  Pending[backlogRow(Rank)] += static_cast<double>(Tokens);
  GivenRate = utilisation(N) * Rate +
              static_cast<double>(Tokens) / (UtilisationSeconds * 1e3);
  GivenAt = N;
}

double PrefillModel::utilisation(Time N) const {
  return GivenRate * std::exp(-seconds(N - GivenAt) / UtilisationSeconds) /
         Rate;
}

void PrefillModel::clear(Time N) {
  Pending = {};
  UpdatedAt = N;
}

Duration PrefillModel::backlog(Time N, uint32_t Rank) const {
  return backlogs(N)[backlogRow(Rank)];
}

Backlogs PrefillModel::backlogs(Time N) const {
  const std::array<double, BacklogRanks> Left = pendingAt(N);
  double All = 0;
  for (const double Tokens : Left)
    All += Tokens;
  Backlogs Out;
  double UpTo = 0;
  for (size_t Row = 0; Row < BacklogRanks; ++Row) {
    UpTo += Left[Row];
    const double Tokens = UpTo + std::min(All - UpTo, PieceTokens);
    Out[Row] = Duration(static_cast<int64_t>(Tokens / Rate * 1e3));
  }
  return Out;
}

void PrefillModel::learn(uint64_t Tokens, Duration Delay) {
  const auto X = static_cast<double>(Tokens);
  const double Y = seconds(Delay) * 1e3;
  for (double *Sum : {&SumW, &SumX, &SumY, &SumXX, &SumXY})
    *Sum *= Forgetting;
  SumW += 1;
  SumX += X;
  SumY += Y;
  SumXX += X * X;
  SumXY += X * Y;
  const double Spread = SumXX - SumX * SumX / SumW;
  const double Slope = (SumXY - SumX * SumY / SumW) / std::max(Spread, 1.0);
  Rate = Slope > 0 ? std::clamp(1 / Slope, MinRate, MaxRate) : MaxRate;
}

} // namespace goldcrestlink
