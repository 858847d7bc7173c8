// Bounds retries to a fraction of requests, so that failures cannot multiply
// the load.
//
//   RetryBudget B(0.2, 50);
//   B.onRequest();
//   if (B.take()) retry();
#ifndef GOLDCRESTLINK_ROUTING_RETRY_BUDGET_H
#define GOLDCRESTLINK_ROUTING_RETRY_BUDGET_H

#include <algorithm>

namespace goldcrestlink {

/// Not thread-safe.
class RetryBudget {
public:
  /// Each request earns \p PerRequest retries, saved up to \p Max.
  RetryBudget(double PerRequest, double Max)
      : PerRequest(PerRequest), Max(Max), Saved(Max) {}
  void onRequest() { Saved = std::min(Max, Saved + PerRequest); }
  /// Takes one retry; false if none is left.
  bool take() {
    if (Saved < 1)
      return false;
    Saved -= 1;
    return true;
  }

private:
  double PerRequest;
  double Max;
  double Saved;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ROUTING_RETRY_BUDGET_H
