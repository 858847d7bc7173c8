// Estimates an engine's prefill rate (prompt tokens processed per unit of time)
// from the delay of first tokens, and the prefill work that the engine still
// has pending, by rank.
//
//   PrefillModel Prefill;
//   Prefill.add(Now, Rank, Tokens);           // a prompt was sent
//   Duration Wait = Prefill.backlog(Now, Rank);
//   Prefill.learn(Tokens, FirstTokenDelay);   // of a prompt that did not wait
#ifndef GOLDCRESTLINK_ADMISSION_PREFILL_MODEL_H
#define GOLDCRESTLINK_ADMISSION_PREFILL_MODEL_H

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace goldcrestlink {

/// Number of ranks with a backlog of their own, as many as an engine has
/// priorities; all less urgent ranks share the last one. Calls of organisations
/// use all of them, others usually the first three.
constexpr size_t BacklogRanks = 10;

/// Expected wait of a new prompt, per rank.
using Backlogs = std::array<Duration, BacklogRanks>;

/// The index of \p Rank in Backlogs. Thread-safe.
constexpr size_t backlogRow(uint32_t Rank) {
  return Rank < BacklogRanks ? Rank : BacklogRanks - 1;
}

/// Not thread-safe.
class PrefillModel {
public:
  PrefillModel();

  // Commands.

  /// A prompt of \p Tokens tokens was sent to the engine.
  void add(Time Now, uint32_t Rank, uint64_t Tokens);
  /// The engine has no prefill work left.
  void clear(Time Now);
  /// A prompt that was sent while there was no backlog had its first token
  /// after \p Delay.
  void learn(uint64_t Tokens, Duration Delay);

  // Queries.

  /// Time until the engine would start on a new prompt of \p Rank. The engine
  /// processes more urgent prompts, and prompts of the same rank that it
  /// already has, first, and finishes the chunk in progress.
  Duration backlog(Time Now, uint32_t Rank) const;
  Backlogs backlogs(Time Now) const;
  /// Prefill rate in tokens per millisecond.
  double rate() const { return Rate; }
  /// Share of the engine's time that the prompts sent recently take. Above 1 if
  /// they arrive faster than the engine processes them. The rest of the time is
  /// left for generation.
  double utilisation(Time Now) const;

private:
  std::array<double, BacklogRanks> pendingAt(Time Now) const;

  // Pending prompt tokens per rank, as of UpdatedAt.
  std::array<double, BacklogRanks> Pending{};
  Time UpdatedAt{};
  // Exponentially decayed rate of the tokens sent, in tokens per millisecond,
  // as of SentRateAt.
  double SentRate = 0;
  Time SentRateAt{};
  // Estimated prefill rate in tokens per millisecond.
  double Rate;
  // Weighted sums of the linear regression of delay (ms) on tokens.
  double SumW = 0, SumX = 0, SumY = 0, SumXX = 0, SumXY = 0;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_PREFILL_MODEL_H
