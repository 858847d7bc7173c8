// A limit of requests per second that can change or be absent.
//
//   RateLimit L;
//   L.setRate(Now, 7.5);                 // requests a second; 0: no limit
//   if (L.allows(Now)) { L.take(Now); send(); }
#ifndef GOLDCRESTLINK_BASE_RATE_LIMIT_H
#define GOLDCRESTLINK_BASE_RATE_LIMIT_H

#include <cstddef>
#include <optional>

#include "base/token_bucket.h"

namespace goldcrestlink {

/// Not thread-safe. A bucket holds at most one request, or what arrives in
/// BurstTime, so that a limit is kept over any longer time.
class RateLimit {
public:
  static constexpr Duration BurstTime = std::chrono::milliseconds(250);

  /// Sets the requests allowed per second; 0 for no limit. A new limit begins
  /// with an empty bucket.
  void setRate(Time Now, double PerSecond);
  bool isLimited() const { return Bucket.has_value(); }
  double rate() const { return Rate; }
  bool allows(Time Now) const;
  /// Counts one request. Precondition: allows().
  void take(Time Now);
  /// Time until a request is allowed after \p Ahead others.
  Duration wait(Time Now, size_t Ahead) const;

private:
  double Rate = 0;
  std::optional<TokenBucket> Bucket;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_RATE_LIMIT_H
