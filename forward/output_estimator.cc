// Outputs are about log-normal, so means and variances are taken of logarithms.
// An adapter's mean is drawn towards that of its kind while it has few samples.
// Learned value and hint, corrected by the mean error of the kind's hints, are
// combined with the reciprocals of their variances as weights: a hint that has
// mostly been far off counts little. Every operation takes constant time.
#include "forward/output_estimator.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {
// Rows for kinds; a deployment has a handful of routes.
constexpr size_t KindRows = 64;
// Rows for adapters by kind, 24 bytes each: 96 KB, little also for an entry of
// 112 MB. Popularity is skewed, so the frequent adapters have rows.
constexpr size_t AdapterRows = 4096;
// Weight of the newest sample once a row has 1 / MinWeight of them.
constexpr double MinWeight = 0.02;
// A count stops here, so that a row whose key is no longer seen yields soon.
constexpr uint32_t MaxCount = 64;
// Samples of an adapter that count as much as its kind.
constexpr double KindSamples = 8;
// Variance of the logarithm of an output of which nothing is known but half of
// its maximum, of a hint before any was checked (the platform's hints are right
// at the median and often a factor of two off), and the number of samples that
// this prior counts for.
constexpr double PriorVariance = 1.0;
constexpr double PriorHintVariance = 0.5;
constexpr double PriorSamples = 4;
// An error of a hint beyond this factor counts as this factor: one absurd hint
// must not make all later ones useless.
const double MaxLogError = std::log(16.0);
// Keeps the weight of a source finite.
constexpr double MinVariance = 0.01;

double blend(double Value, double Weight, double Prior, double PriorWeight) {
  return (Value * Weight + Prior * PriorWeight) / (Weight + PriorWeight);
}
} // namespace

OutputEstimator::OutputEstimator()
    : Kinds(KindRows), Adapters(AdapterRows), Hints(KindRows) {}

void OutputEstimator::Row::add(double Value) {
  Count = std::min(Count + 1, MaxCount);
  const double Weight = std::max(MinWeight, 1.0 / Count);
  const double Difference = Value - Mean;
  Mean = static_cast<float>(Mean + Weight * Difference);
  Variance = static_cast<float>((1 - Weight) *
                                (Variance + Weight * Difference * Difference));
}

const OutputEstimator::Row *OutputEstimator::find(const std::vector<Row> &Table,
                                                  uint64_t Key) {
  const Row &R = Table[Key % Table.size()];
  return R.Count > 0 && R.Key == Key ? &R : nullptr;
}

void OutputEstimator::learn(std::vector<Row> &Table, uint64_t Key,
                            double Value) {
  Row &R = Table[Key % Table.size()];
  if (R.Key != Key && R.Count > 0 && --R.Count > 0)
    return;
  if (R.Key != Key)
    R = {Key, 0, 0, 0};
  R.add(Value);
}

void OutputEstimator::onComplete(const Query &Q, uint64_t Tokens) {
  if (Tokens == 0)
    return;
  const double Log = std::log(static_cast<double>(Tokens));
  learn(Kinds, Q.Kind, Log);
  if (Q.Adapter != 0)
    learn(Adapters, mixHash(Q.Kind, Q.Adapter), Log);
  if (Q.Hint > 0)
    learn(Hints, Q.Kind,
          std::clamp(Log - std::log(static_cast<double>(Q.Hint)), -MaxLogError,
                     MaxLogError));
}

OutputEstimate OutputEstimator::expected(const Query &Q) const {
  const Row *Kind = find(Kinds, Q.Kind);
  if (!Kind && Q.Hint == 0)
    return {Q.MaxTokens / 2.0, std::sqrt(PriorVariance)};
  double Mean = 0;
  double Variance = 0;
  if (Kind) {
    const double KindWeight = Kind->Count;
    Mean = Kind->Mean;
    Variance = blend(Kind->Variance, KindWeight, PriorVariance, PriorSamples);
    if (const Row *A = find(Adapters, mixHash(Q.Kind, Q.Adapter));
        A && Q.Adapter != 0) {
      Mean = blend(A->Mean, A->Count, Mean, KindSamples);
      Variance = blend(A->Variance, A->Count, Variance, KindSamples);
    }
  }
  if (Q.Hint > 0) {
    const Row *Errors = find(Hints, Q.Kind);
    const double Samples = Errors ? Errors->Count : 0;
    const double Error =
        Errors ? blend(Errors->Mean, Samples, 0, PriorSamples) : 0;
    const double HintVariance = Errors ? blend(Errors->Variance, Samples,
                                               PriorHintVariance, PriorSamples)
                                       : PriorHintVariance;
    const double Hint = std::log(static_cast<double>(Q.Hint)) + Error;
    const double HintWeight = 1 / std::max(MinVariance, HintVariance);
    const double Weight = Kind ? 1 / std::max(MinVariance, Variance) : 0;
    Mean = blend(Hint, HintWeight, Mean, Weight);
    Variance = 1 / (HintWeight + Weight);
  }
  double Tokens = std::max(1.0, std::exp(Mean + Variance / 2));
  if (Q.MaxTokens > 0)
    Tokens = std::min(Tokens, static_cast<double>(Q.MaxTokens));
  return {Tokens, std::sqrt(Variance)};
}

} // namespace goldcrestlink::forward
