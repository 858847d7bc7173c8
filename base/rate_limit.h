// A token bucket for a rate that can change or be absent.
//
//   RateLimit L;
//   L.setRate(Now, 7.5);                 // requests a second; 0: no limit
//   if (L.allows(Now)) { L.take(Now); send(); }
#ifndef GOLDCRESTLINK_BASE_RATE_LIMIT_H
#define GOLDCRESTLINK_BASE_RATE_LIMIT_H

#include <cstddef>

#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe. A bucket holds at most one request, or what arrives in
/// BurstTime, so that a limit is kept over any longer time.
class RateLimit {
public:
  static constexpr Duration BurstTime = std::chrono::milliseconds(250);

  /// Sets the requests allowed per second; 0 for no limit. A new limit begins
  /// with an empty bucket.
  void setRate(Time Now, double PerSecond);
  bool isLimited() const { return Rate > 0; }
  double rate() const { return Rate; }
  bool allows(Time Now) const;
  /// Takes one request from the bucket, below zero if it is empty.
  void take(Time Now);
  /// Time until a request is allowed after \p Ahead others.
  Duration wait(Time Now, size_t Ahead) const;

private:
  double tokensAt(Time Now) const;

  double Rate = 0;
  double Tokens = 0;
  Time UpdatedAt{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_RATE_LIMIT_H
