// An exponentially weighted linear regression of the time per token on the
// number of running requests, as in PrefillModel. It starts from a prior, which
// a few dozen streams outweigh. All operations take constant time.
#include "forward/decode_model.h"

#include <algorithm>

namespace goldcrestlink::forward {

namespace {
// Factor by which each stream reduces the weight of the older ones; the
// effective number is about 200.
constexpr double SampleDecay = 0.995;
// The prior: two points of this weight at no and at PriorRunning requests, with
// the step times that the deployments state: 5 ms and a few microseconds for
// each request.
constexpr double PriorWeight = 5;
constexpr double PriorRunning = 32;
constexpr double PriorBaseMs = 5;
constexpr double PriorPerRunMs = 0.01;
// A token that takes longer was held up by something else.
constexpr double MaxTokenMs = 200;
constexpr double MaxPerRunMs = 2;
} // namespace

DecodeModel::DecodeModel() : BaseMs(PriorBaseMs), PerRunMs(PriorPerRunMs) {
  const double Last = PriorBaseMs + PriorPerRunMs * PriorRunning;
  SumW = 2 * PriorWeight;
  SumX = PriorWeight * PriorRunning;
  SumXX = PriorWeight * PriorRunning * PriorRunning;
  SumY = PriorWeight * (PriorBaseMs + Last);
  SumXY = PriorWeight * PriorRunning * Last;
}

void DecodeModel::learn(uint32_t Running, uint64_t Tokens, Duration Took) {
  if (Tokens < 2)
    return;
  const double X = Running;
  const double Y = std::min(MaxTokenMs, seconds(Took) * 1e3 /
                                            static_cast<double>(Tokens - 1));
  for (double *Sum : {&SumW, &SumX, &SumY, &SumXX, &SumXY})
    *Sum *= SampleDecay;
  SumW += 1;
  SumX += X;
  SumY += Y;
  SumXX += X * X;
  SumXY += X * Y;
  const double SquaredDeviation = SumXX - SumX * SumX / SumW;
  PerRunMs =
      std::clamp((SumXY - SumX * SumY / SumW) / std::max(SquaredDeviation, 1.0),
                 0.0, MaxPerRunMs);
  BaseMs = std::max(0.0, (SumY - PerRunMs * SumX) / SumW);
}

Duration DecodeModel::time(uint32_t Running, double Tokens) const {
  return fromSeconds((BaseMs + PerRunMs * Running) * Tokens / 1e3);
}

Duration DecodeModel::timePerRun() const { return fromSeconds(PerRunMs / 1e3); }

} // namespace goldcrestlink::forward
