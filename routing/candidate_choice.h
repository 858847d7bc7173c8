// Strategies that choose the side for a request among candidates. "adaptive" is
// the default; the others are baselines for comparison.
//
//   const ChoiceStrategy *S = findChoiceStrategy("adaptive");
//   size_t I = S->Choose(Candidates, Random);
#ifndef GOLDCRESTLINK_ROUTING_CANDIDATE_CHOICE_H
#define GOLDCRESTLINK_ROUTING_CANDIDATE_CHOICE_H

#include <span>
#include <string_view>

#include "base/random.h"
#include "base/time.h"

namespace goldcrestlink {

/// Known state of one upstream that could serve a request.
struct Candidate {
  /// The adapter is resident on the upstream.
  bool Resident = false;
  /// The adapter is being loaded on the upstream.
  bool Loading = false;
  /// Attempts running and waiting: the number that the side reported last, or
  /// that of this entry's own open attempts if that is larger.
  size_t Load = 0;
  /// Maximum number of sequences that the upstream runs at once.
  size_t MaxSequences = 1;
  /// Expected wait as reported by a probe; zero if not probed.
  Duration ExpectedWait{};
  /// Demand for the adapter that a load would evict.
  double VictimValue = 0;
  /// A probe of this candidate was answered.
  bool Probed = false;
};

/// A named strategy. Plain data; thread-safe.
struct ChoiceStrategy {
  std::string_view Name;
  /// Number of candidates to consider, in rendezvous order; 0 for all.
  size_t CandidateCount;
  /// Whether candidates are probed when none is known to hold the adapter.
  bool Probes;
  /// Returns the index of the chosen candidate. Precondition: the candidates
  /// are in the key's rendezvous order, and there is at least one.
  size_t (*Choose)(std::span<const Candidate>, Random &);
};

/// Returns the strategy called \p Name, or null.
const ChoiceStrategy *findChoiceStrategy(std::string_view Name);

/// Expected cost in seconds by which the adaptive strategy compares candidates.
/// \p Position is the candidate's index in rendezvous order.
double candidateCost(const Candidate &C, size_t Position);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ROUTING_CANDIDATE_CHOICE_H
