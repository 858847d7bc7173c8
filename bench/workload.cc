// Arrivals of each rank are a Poisson process. Adapters follow a Zipf
// distribution, sampled by inversion of the cumulative weights. Token counts
// are log-normal with the given geometric mean. Each arrival costs one binary
// search.
#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace goldcrestlink::bench {

namespace {

// Standard deviation of the logarithm of the token counts. The compute bound of
// the scenarios takes geometric and arithmetic mean as equal; with this value
// they differ by 5%.
constexpr double TokenSigma = 0.3;
constexpr double TwoPi = 6.283185307179586;

std::vector<double> cumulativeWeights(const WorkloadSpec &Spec) {
  std::vector<double> Out(Spec.Adapters);
  double Sum = 0;
  for (size_t I = 0; I < Out.size(); ++I) {
    Sum += std::pow(static_cast<double>(I + 1), -Spec.ZipfExponent);
    Out[I] = Sum;
  }
  return Out;
}

std::vector<size_t> shuffled(size_t Count, Random &Rng) {
  std::vector<size_t> Out(Count);
  std::iota(Out.begin(), Out.end(), size_t(0));
  for (size_t I = Count; I > 1; --I)
    std::swap(Out[I - 1], Out[Rng.below(I)]);
  return Out;
}

double exponential(Random &Rng, double Rate) {
  return -std::log(1 - Rng.unit()) / Rate;
}

uint32_t tokenCount(Random &Rng, double GeometricMean) {
  const double Normal =
      std::sqrt(-2 * std::log(1 - Rng.unit())) * std::cos(TwoPi * Rng.unit());
  const double Tokens = GeometricMean * std::exp(TokenSigma * Normal);
  return static_cast<uint32_t>(std::max(1.0, std::round(Tokens)));
}

const Flood *floodAt(const WorkloadSpec &Spec, size_t Rank, double At) {
  for (const Flood &F : Spec.Floods)
    if (F.Rank == Rank && At >= F.From && At < F.To)
      return &F;
  return nullptr;
}

} // namespace

std::vector<Arrival> makeArrivals(const WorkloadSpec &Spec, uint64_t Seed,
                                  double From, double To) {
  Random Rng(Seed);
  const auto Weights = cumulativeWeights(Spec);
  const auto InitialOrder = shuffled(Spec.Adapters, Rng);
  const auto ShiftedOrder = shuffled(Spec.Adapters, Rng);
  std::vector<Arrival> Out;
  for (size_t Rank = 0; Rank < RankCount; ++Rank) {
    double MaxFactor = 1;
    for (const Flood &F : Spec.Floods)
      if (F.Rank == Rank)
        MaxFactor = std::max(MaxFactor, F.Factor);
    const double BaseRate = Spec.RequestsPerSecond * RankShare[Rank];
    // Thinning: arrivals are drawn at the highest rate of the run and kept with
    // the probability current rate / highest rate.
    for (double At = From;
         (At += exponential(Rng, BaseRate * MaxFactor)) < To;) {
      const Flood *F = floodAt(Spec, Rank, At);
      const double Factor = F ? F->Factor : 1;
      const double Draw = Rng.unit() * Weights.back();
      const auto Index = static_cast<size_t>(
          std::lower_bound(Weights.begin(), Weights.end(), Draw) -
          Weights.begin());
      const uint32_t Tokens = tokenCount(Rng, RankMeanTokens[Rank]);
      const size_t Uniform = Rng.below(Spec.Adapters);
      if (Rng.unit() >= Factor / MaxFactor)
        continue;
      const bool Shifted = Spec.ShiftAt >= 0 && At >= Spec.ShiftAt;
      const size_t Popular = (Shifted ? ShiftedOrder : InitialOrder)[Index];
      const bool Cold = F && F->Cold;
      Out.push_back({At, Rank, Cold ? Uniform : Popular, Tokens});
    }
  }
  std::sort(Out.begin(), Out.end(),
            [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  return Out;
}

double popularShare(const WorkloadSpec &Spec, size_t Count) {
  const auto Weights = cumulativeWeights(Spec);
  return Weights[std::min(Count, Weights.size()) - 1] / Weights.back();
}

} // namespace goldcrestlink::bench
