// A token bucket while there is a limit.
#include "base/rate_limit.h"

#include <algorithm>

namespace goldcrestlink {

void RateLimit::setRate(Time Now, double PerSecond) {
  if (PerSecond == Rate)
    return;
  Rate = PerSecond;
  const double Burst = std::max(1.0, PerSecond * seconds(BurstTime));
  if (PerSecond <= 0) {
    Bucket.reset();
  } else if (Bucket) {
    Bucket->setRate(Now, PerSecond, Burst);
  } else {
    Bucket.emplace(PerSecond, Burst);
    Bucket->empty(Now);
  }
}

bool RateLimit::allows(Time Now) const {
  return !Bucket || Bucket->hasToken(Now);
}

void RateLimit::take(Time Now) {
  if (Bucket)
    Bucket->take(Now);
}

Duration RateLimit::wait(Time Now, size_t Ahead) const {
  return Bucket ? Bucket->untilNext(Now, Ahead) : Duration(0);
}

} // namespace goldcrestlink
