// The adaptive cost is the sum of the expected wait, the slowdown that the
// request causes to others, and the demand for the adapter that a load would
// evict. A choice takes one pass over the candidates.
#include "routing/candidate_choice.h"

#include <array>
#include <cassert>

namespace goldcrestlink {

namespace {

// Cost per attempt that the upstream already has: a larger batch takes longer
// per step.
constexpr double SecondsPerAttempt = 0.03;
// Cost per unit of demand for the adapter that a load would evict.
constexpr double SecondsPerVictimValue = 0.1;
// Cost per position in rendezvous order, so that earlier ones are preferred.
constexpr double SecondsPerPosition = 0.02;
constexpr size_t AdaptiveCandidates = 4;

size_t chooseCheapest(std::span<const Candidate> All, Random &) {
  assert(!All.empty());
  size_t Best = 0;
  for (size_t I = 1; I < All.size(); ++I)
    if (candidateCost(All[I], I) < candidateCost(All[Best], Best))
      Best = I;
  return Best;
}

size_t chooseRandom(std::span<const Candidate> All, Random &Rand) {
  assert(!All.empty());
  return Rand.below(All.size());
}

// Ties are broken at random; otherwise all callers would pick the same side.
size_t chooseLeastLoaded(std::span<const Candidate> All, Random &Rand) {
  assert(!All.empty());
  const size_t Start = Rand.below(All.size());
  size_t Best = Start;
  for (size_t I = 0; I < All.size(); ++I) {
    const size_t Index = (Start + I) % All.size();
    if (All[Index].Load < All[Best].Load)
      Best = Index;
  }
  return Best;
}

size_t chooseFirst(std::span<const Candidate> All, Random &) {
  assert(!All.empty());
  return 0;
}

constexpr std::array<ChoiceStrategy, 4> Strategies = {{
    {"adaptive", AdaptiveCandidates, true, chooseCheapest},
    {"random", 0, false, chooseRandom},
    {"least_loaded", 0, false, chooseLeastLoaded},
    {"consistent_hash", 1, false, chooseFirst},
}};

} // namespace

double candidateCost(const Candidate &C, size_t Position) {
  double Cost = seconds(C.ExpectedWait) +
                SecondsPerAttempt * static_cast<double>(C.Load) +
                SecondsPerPosition * static_cast<double>(Position);
  if (!C.Resident && !C.Loading)
    Cost += SecondsPerVictimValue * C.VictimValue;
  return Cost;
}

const ChoiceStrategy *findChoiceStrategy(std::string_view Name) {
  for (const ChoiceStrategy &S : Strategies)
    if (S.Name == Name)
      return &S;
  return nullptr;
}

} // namespace goldcrestlink
