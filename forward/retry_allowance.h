// Bounds second sends to a service over a sliding window, for this entry's
// share of the fleet's allowance, without a coordinator.
//
//   RetryAllowance A(RetryAllowance::Options().setRatio(0.2).setSlack(56));
//   A.onRequest(N);
//   if (A.take(N, EntriesAlive)) sendAgain();
#ifndef GOLDCRESTLINK_FORWARD_RETRY_ALLOWANCE_H
#define GOLDCRESTLINK_FORWARD_RETRY_ALLOWANCE_H

#include <array>
#include <cstdint>

#include "base/time.h"

namespace goldcrestlink::forward {

/// Not thread-safe.
class RetryAllowance {
public:
  class Options {
  public:
    double ratio() const { return Ratio; }
    double slack() const { return Slack; }
    Duration window() const { return Window; }
    /// Retries allowed per request, fleet-wide, by the platform's bounds.
    Options &setRatio(double R) {
      Ratio = R;
      return *this;
    }
    /// Retries allowed per window beyond the ratio, fleet-wide.
    Options &setSlack(double S) {
      Slack = S;
      return *this;
    }
    Options &setWindow(Duration D) {
      Window = D;
      return *this;
    }

  private:
    double Ratio = 0.2;
    double Slack = 50;
    Duration Window = std::chrono::seconds(10);
  };

  explicit RetryAllowance(Options O) : Opts(O) {}

  /// A caller's request on a route to the service has arrived.
  void onRequest(Time N);
  /// Takes one second send; false if this entry's share is used up.
  /// \p Entries is the number of entries that share, at least 1.
  bool take(Time N, size_t Entries);

private:
  static constexpr size_t Buckets = 20;
  struct Bucket {
    uint32_t Requests = 0;
    uint32_t Retries = 0;
  };

  void advance(Time N);

  Options Opts;
  std::array<Bucket, Buckets> Ring{};
  int64_t Head = 0;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_RETRY_ALLOWANCE_H
