// Tokens accrue with time and are computed when needed, in constant time.
#include "base/rate_limit.h"

#include <algorithm>

namespace goldcrestlink {

double RateLimit::tokensAt(Time Now) const {
  const double Capacity = std::max(1.0, Rate * seconds(BurstTime));
  return std::min(Capacity, Tokens + Rate * seconds(Now - UpdatedAt));
}

void RateLimit::setRate(Time Now, double PerSecond) {
  if (PerSecond == Rate)
    return;
  Tokens = isLimited() ? tokensAt(Now) : 0;
  UpdatedAt = Now;
  Rate = PerSecond;
}

bool RateLimit::allows(Time Now) const {
  return !isLimited() || tokensAt(Now) >= 1;
}

void RateLimit::take(Time Now) {
  if (!isLimited())
    return;
  Tokens = tokensAt(Now) - 1;
  UpdatedAt = Now;
}

Duration RateLimit::wait(Time Now, size_t Ahead) const {
  if (!isLimited())
    return Duration(0);
  const double Lacking = static_cast<double>(Ahead) + 1 - tokensAt(Now);
  return fromSeconds(std::max(0.0, Lacking / Rate));
}

} // namespace goldcrestlink
