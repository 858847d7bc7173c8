// The adaptive cost adds the expected wait, what the request would slow down
// others, and what the evicted adapter is worth. One pass over the candidates.
#include "routing/candidate_choice.h"

#include <array>
#include <cassert>

namespace goldcrestlink {

namespace {

// Seconds of cost for each attempt already there: a larger batch steps slower.
constexpr double LoadCost = 0.03;
// Seconds of cost per unit of demand of the adapter that a load would evict.
constexpr double EvictionCost = 0.1;
// Seconds by which an earlier rendezvous position is preferred.
constexpr double PositionCost = 0.02;
constexpr size_t AdaptiveCandidates = 4;

size_t chooseCheapest(std::span<const Candidate> All, Random &) {
  assert(!All.empty());
  size_t Best = 0;
  for (size_t I = 1; I < All.size(); ++I)
    if (candidateCost(All[I], I) < candidateCost(All[Best], Best))
      Best = I;
  return Best;
}

size_t chooseRandom(std::span<const Candidate> All, Random &R) {
  assert(!All.empty());
  return R.below(All.size());
}

// Ties are broken at random, or all callers would pick the same side.
size_t chooseLeastLoaded(std::span<const Candidate> All, Random &R) {
  assert(!All.empty());
  const size_t Start = R.below(All.size());
  size_t Best = Start;
  for (size_t I = 0; I < All.size(); ++I) {
    const size_t At = (Start + I) % All.size();
    if (All[At].Load < All[Best].Load)
      Best = At;
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
  double Cost = seconds(C.Wait) + LoadCost * static_cast<double>(C.Load) +
                PositionCost * static_cast<double>(Position);
  if (!C.Resident && !C.Loading)
    Cost += EvictionCost * C.VictimValue;
  return Cost;
}

const ChoiceStrategy *findChoiceStrategy(std::string_view Name) {
  for (const ChoiceStrategy &S : Strategies)
    if (S.Name == Name)
      return &S;
  return nullptr;
}

} // namespace goldcrestlink
