// Learns how long an engine takes for a token of each of its streams, as a
// constant plus a part for each request that runs beside it.
//
//   DecodeModel Decoding;
//   Decoding.learn(Running, Tokens, Now - FirstTokenAt);
//   Duration Rest = Decoding.time(Running, ExpectedTokens);
#ifndef GOLDCRESTLINK_FORWARD_DECODE_MODEL_H
#define GOLDCRESTLINK_FORWARD_DECODE_MODEL_H

#include <cstdint>

#include "base/time.h"

namespace goldcrestlink::forward {

/// Not thread-safe. Constant size.
class DecodeModel {
public:
  DecodeModel();

  // Commands.

  /// A stream of \p Tokens tokens took \p Took from its first token to its end
  /// at an engine that ran \p Running requests. Streams of less than 2 tokens
  /// are ignored.
  void learn(uint32_t Running, uint64_t Tokens, Duration Took);

  // Queries.

  /// Time to produce \p Tokens at an engine that runs \p Running requests.
  Duration time(uint32_t Running, double Tokens) const;
  /// Time by which one more request delays a token of each other.
  Duration timePerRun() const;

private:
  double BaseMs = 0;
  double PerRunMs = 0;
  double SumW = 0;
  double SumX = 0;
  double SumY = 0;
  double SumXX = 0;
  double SumXY = 0;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_DECODE_MODEL_H
