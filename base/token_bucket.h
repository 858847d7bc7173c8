// Limits events to an average rate and allows bursts.
//
//   TokenBucket B(7, 2);               // 7 a second, 2 at once
//   if (B.take(Now)) start();
#ifndef GOLDCRESTLINK_BASE_TOKEN_BUCKET_H
#define GOLDCRESTLINK_BASE_TOKEN_BUCKET_H

#include <cstddef>

#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe.
class TokenBucket {
public:
  /// \p Rate in events per second; \p Burst is the capacity in tokens. The
  /// bucket is full.
  TokenBucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Level(Burst) {}
  /// Takes a token; false if there is none.
  bool take(Time Now);
  /// Returns a token that was taken but not used.
  void returnToken();
  /// Removes all tokens.
  void empty(Time Now);
  /// Changes rate and capacity from now on; keeps the tokens that fit.
  void setRate(Time Now, double NewRate, double NewBurst);
  bool hasToken(Time Now) const { return levelAt(Now) >= 1; }
  /// Time until a token is available after \p Ahead others were taken.
  Duration untilNext(Time Now, size_t Ahead = 0) const;

private:
  double levelAt(Time Now) const;
  void refill(Time Now);

  double Rate;
  double Burst;
  // Number of tokens available as of Updated.
  double Level;
  Time Updated{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_TOKEN_BUCKET_H
