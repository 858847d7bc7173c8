// Limits an entry's retries to one service within a sliding window. Each entry
// keeps to its share of the fleet-wide limit, so no coordinator is needed.
//
//   RetryAllowance A(RetryAllowance::Options().setRatio(0.2).setSlack(56));
//   A.onRequest(Now);
//   if (A.take(Now, EntriesAlive)) retry();
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
    /// Retries per request that the platform allows the whole fleet.
    Options &setRatio(double NewRatio) {
      Ratio = NewRatio;
      return *this;
    }
    /// Retries per window that the whole fleet may make beyond the ratio.
    Options &setSlack(double NewSlack) {
      Slack = NewSlack;
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

  /// Counts a caller's request on a route to the service.
  void onRequest(Time Now);
  /// Takes one retry; returns false if this entry's share is used up.
  /// \p Entries is the number of entries that share the limit, at least 1.
  bool take(Time Now, size_t Entries);

private:
  static constexpr size_t Buckets = 20;
  struct Bucket {
    uint32_t Requests = 0;
    uint32_t Retries = 0;
  };

  /// Clears the buckets whose time has passed out of the window.
  void advance(Time Now);

  Options Opts;
  std::array<Bucket, Buckets> Ring{};
  // Number of the newest bucket, counted from the clock's epoch.
  int64_t Head = 0;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_RETRY_ALLOWANCE_H
