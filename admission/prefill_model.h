// How fast an engine reads prompts, learned from its answers, and how much of
// what it was given it still has to read, by rank.
//
//   PrefillModel P;
//   P.add(N, Rank, Tokens);                 // a prompt was sent
//   P.backlog(N, Rank);                     // wait for a new one of that rank
//   P.learn(Tokens, FirstTokenDelay);       // of a prompt that had no wait
#ifndef GOLDCRESTLINK_ADMISSION_PREFILL_MODEL_H
#define GOLDCRESTLINK_ADMISSION_PREFILL_MODEL_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace goldcrestlink {

/// Ranks that are told apart; all less urgent ones share the last.
constexpr size_t BacklogRanks = 3;

/// Waits for a new prompt of each rank.
using Backlogs = std::array<Duration, BacklogRanks>;

/// The row of \p Rank in Backlogs. Thread-safe.
constexpr size_t backlogRow(uint32_t Rank) {
  return Rank < BacklogRanks ? Rank : BacklogRanks - 1;
}

/// Not thread-safe.
class PrefillModel {
public:
  PrefillModel();

  // Commands.

  /// A prompt has been given to the engine.
  void add(Time N, uint32_t Rank, uint64_t Tokens);
  /// The engine has nothing left to read.
  void clear(Time N);
  /// A prompt that found no backlog had its first token after \p Delay.
  void learn(uint64_t Tokens, Duration Delay);

  // Queries.

  /// Time until the engine would begin with a new prompt of \p Rank: it reads
  /// more urgent ones first, and ends the piece it is reading.
  Duration backlog(Time N, uint32_t Rank) const;
  Backlogs backlogs(Time N) const;
  /// Prompt tokens read per millisecond.
  double rate() const { return Rate; }
  /// Share of the engine's time that prompts given to it lately take; above 1
  /// if they come faster than it reads. What remains goes to generation.
  double utilisation(Time N) const;

private:
  std::array<double, BacklogRanks> pendingAt(Time N) const;

  std::array<double, BacklogRanks> Pending{};
  Time UpdatedAt{};
  // Tokens per millisecond given lately, decaying, and as of when.
  double GivenRate = 0;
  Time GivenAt{};
  double Rate;
  // Weighted sums of the regression of delay on tokens.
  double SumW = 0, SumX = 0, SumY = 0, SumXX = 0, SumXY = 0;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_PREFILL_MODEL_H
