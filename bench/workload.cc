// Poisson arrivals per rank; Zipf popularity by inversion of the cumulative
// weights; token counts log-normal with the given geometric mean.
#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace goldcrestlink::bench {

namespace {

// Spread of the token counts. The scenarios' compute bound takes geometric and
// arithmetic mean as equal; with this spread they differ by 5%.
constexpr double TokenSigma = 0.3;
constexpr double TwoPi = 6.283185307179586;

std::vector<double> cumulativeWeights(const WorkloadSpec &Spec) {
  std::vector<double> Out(Spec.Adapters);
  double Sum = 0;
  for (size_t I = 0; I < Out.size(); ++I) {
    Sum += std::pow(static_cast<double>(I + 1), -Spec.Exponent);
    Out[I] = Sum;
  }
  return Out;
}

std::vector<size_t> shuffled(size_t Count, Random &R) {
  std::vector<size_t> Out(Count);
  std::iota(Out.begin(), Out.end(), size_t(0));
  for (size_t I = Count; I > 1; --I)
    std::swap(Out[I - 1], Out[R.below(I)]);
  return Out;
}

double exponential(Random &R, double Rate) {
  return -std::log(1 - R.unit()) / Rate;
}

uint32_t tokenCount(Random &R, double GeometricMean) {
  const double Normal =
      std::sqrt(-2 * std::log(1 - R.unit())) * std::cos(TwoPi * R.unit());
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
  Random R(Seed);
  const auto Weights = cumulativeWeights(Spec);
  const auto Before = shuffled(Spec.Adapters, R);
  const auto After = shuffled(Spec.Adapters, R);
  std::vector<Arrival> Out;
  for (size_t Rank = 0; Rank < Ranks; ++Rank) {
    double MaxFactor = 1;
    for (const Flood &F : Spec.Floods)
      if (F.Rank == Rank)
        MaxFactor = std::max(MaxFactor, F.Factor);
    const double Base = Spec.RequestsPerSecond * RankShare[Rank];
    // Thinning: draw at the highest rate, keep the present rate's part.
    for (double At = From; (At += exponential(R, Base * MaxFactor)) < To;) {
      const Flood *F = floodAt(Spec, Rank, At);
      const double Factor = F ? F->Factor : 1;
      const double Draw = R.unit() * Weights.back();
      const auto Place = static_cast<size_t>(
          std::lower_bound(Weights.begin(), Weights.end(), Draw) -
          Weights.begin());
      const uint32_t Tokens = tokenCount(R, RankTokens[Rank]);
      const size_t Uniform = R.below(Spec.Adapters);
      if (R.unit() >= Factor / MaxFactor)
        continue;
      const bool Shifted = Spec.ShiftAt >= 0 && At >= Spec.ShiftAt;
      const size_t Popular = (Shifted ? After : Before)[Place];
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
