// Strategies that choose the side for a request among candidates. The adaptive
// one is the product's; the others are baselines to measure it against.
//
//   const ChoiceStrategy &S = choiceStrategy("adaptive");
//   size_t I = S.Choose(Candidates, Random);
#ifndef GOLDCRESTLINK_ROUTING_CANDIDATE_CHOICE_H
#define GOLDCRESTLINK_ROUTING_CANDIDATE_CHOICE_H

#include <span>
#include <string_view>

#include "base/random.h"
#include "base/time.h"

namespace goldcrestlink {

/// What is known of one candidate, in the key's rendezvous order.
struct Candidate {
  bool Resident = false;
  bool Loading = false;
  /// Attempts running and waiting, own ones under way included.
  size_t Load = 0;
  /// Sequences that it runs at once.
  size_t Width = 1;
  /// From a probe; zero without one.
  Duration Wait{};
  double VictimValue = 0;
  bool Probed = false;
};

/// A way to choose. Plain data; thread-safe.
struct ChoiceStrategy {
  std::string_view Name;
  /// Candidates to consider, in rendezvous order; 0 for the whole group.
  size_t CandidateCount;
  /// Whether candidates are probed when none is known to hold the adapter.
  bool Probes;
  /// Returns the position of the choice. Precondition: not empty.
  size_t (*Choose)(std::span<const Candidate>, Random &);
};

/// The strategy of that name, or null.
const ChoiceStrategy *findChoiceStrategy(std::string_view Name);

/// Expected cost of a candidate in seconds, as the adaptive strategy sees it.
double candidateCost(const Candidate &C, size_t Position);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ROUTING_CANDIDATE_CHOICE_H
