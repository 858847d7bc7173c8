// Tokens accrue with time and are computed when needed, in constant time.
#include "base/token_bucket.h"

#include <algorithm>

namespace goldcrestlink {

double TokenBucket::levelAt(Time Now) const {
  if (Updated == Time{} || Now <= Updated)
    return Level;
  return std::min(Burst, Level + Rate * seconds(Now - Updated));
}

void TokenBucket::refill(Time Now) {
  Level = levelAt(Now);
  Updated = std::max(Updated, Now);
}

bool TokenBucket::take(Time Now) {
  refill(Now);
  if (Level < 1)
    return false;
  Level -= 1;
  return true;
}

void TokenBucket::returnToken() { Level = std::min(Burst, Level + 1); }

void TokenBucket::empty(Time Now) {
  refill(Now);
  Level = 0;
}

void TokenBucket::setRate(Time Now, double NewRate, double NewBurst) {
  refill(Now);
  Rate = NewRate;
  Burst = NewBurst;
  Level = std::min(Level, Burst);
}

Duration TokenBucket::untilNext(Time Now, size_t Ahead) const {
  const double Lacking = static_cast<double>(Ahead) + 1 - levelAt(Now);
  return Lacking <= 0 ? Duration(0) : fromSeconds(Lacking / Rate);
}

} // namespace goldcrestlink
