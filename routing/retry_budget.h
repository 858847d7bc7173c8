// Limits retries to a fraction of the requests, so that failures do not
// multiply the load.
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
  /// Each request adds \p PerRequest retries to the budget, which holds at most
  /// \p Max and starts full.
  RetryBudget(double PerRequest, double Max)
      : PerRequest(PerRequest), Max(Max), Available(Max) {}
  void onRequest() { Available = std::min(Max, Available + PerRequest); }
  /// Takes one retry; returns false if none is left.
  bool take() {
    if (Available < 1)
      return false;
    Available -= 1;
    return true;
  }

private:
  double PerRequest;
  double Max;
  double Available;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ROUTING_RETRY_BUDGET_H
