// Grants permits to load adapters, so that all sides together stay within the
// weight store's limits and the most valuable loads are started first. Any side
// can be the broker. Correctness does not depend on the broker; only the length
// of the store's queue does.
//
//   LoadBroker Broker(LoadBroker::Options().setRate(7).setBurst(2), Shares);
//   Broker.request(Now, {Side, Adapter, Rank, Priority});
//   for (const auto &Granted : Broker.grant(Now))
//     notify(Granted.Side, Granted.Adapter);
#ifndef GOLDCRESTLINK_PLACEMENT_LOAD_BROKER_H
#define GOLDCRESTLINK_PLACEMENT_LOAD_BROKER_H

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "base/token_bucket.h"
#include "scheduling/share_tracker.h"

namespace goldcrestlink {

/// A load request: a side asks for a permit to load one adapter.
struct PermitRequest {
  std::string Side;
  /// Hash of the adapter version.
  uint64_t Adapter = 0;
  size_t Rank = 0;
  /// Total worth of the requests that wait for the load.
  double Priority = 0;
  /// True if the waiting requests need their rank's share of the loads now;
  /// false if they can still wait.
  bool Escalated = true;
  /// When the broker received the request first, and last. Set by the broker.
  Time Since{};
  Time Renewed{};
};

/// Not thread-safe. Holds at most maxWaiting() load requests that wait for a
/// permit.
class LoadBroker {
public:
  class Options {
  public:
    double rate() const { return Rate; }
    double burst() const { return Burst; }
    size_t maxInFlight() const { return MaxInFlight; }
    size_t maxWaiting() const { return MaxWaiting; }
    Duration requestExpiry() const { return RequestExpiry; }
    Duration permitExpiry() const { return PermitExpiry; }
    Options &setRate(double PerSecond) {
      Rate = PerSecond;
      return *this;
    }
    Options &setBurst(double Permits) {
      Burst = Permits;
      return *this;
    }
    Options &setMaxInFlight(size_t Permits) {
      MaxInFlight = Permits;
      return *this;
    }
    Options &setMaxWaiting(size_t Requests) {
      MaxWaiting = Requests;
      return *this;
    }
    Options &setRequestExpiry(Duration D) {
      RequestExpiry = D;
      return *this;
    }
    Options &setPermitExpiry(Duration D) {
      PermitExpiry = D;
      return *this;
    }

  private:
    // Permits per second.
    double Rate = 7;
    double Burst = 2;
    // Maximum number of permits in use at the same time.
    size_t MaxInFlight = 16;
    size_t MaxWaiting = 8192;
    Duration RequestExpiry = std::chrono::seconds(2);
    Duration PermitExpiry = std::chrono::seconds(5);
  };

  /// \p RankShares are the declared shares of the loads, most urgent rank
  /// first.
  LoadBroker(Options O, std::vector<double> RankShares);

  /// Adds or renews a load request. A request that is not renewed expires. A
  /// new request is ignored if maxWaiting() requests are waiting already.
  void request(Time Now, const PermitRequest &Request);
  /// Ends a permit, or withdraws a load request. If \p Used is false, the
  /// permit was not used, and its token is returned to the bucket.
  void release(Time Now, const std::string &Side, uint64_t Adapter, bool Used);
  /// Grants as many permits as the limits allow. Returns the requests that were
  /// granted, in the order of the grants.
  std::vector<PermitRequest> grant(Time Now);
  /// Time until grant() should be called again if requests are waiting.
  Duration untilNext(Time Now) const { return Bucket.untilNext(Now); }
  size_t waiting() const { return Waiting.size(); }

private:
  // Side and adapter.
  using Key = std::pair<std::string, uint64_t>;
  void expire(Time Now);
  static bool goesBefore(const PermitRequest &A, const PermitRequest &B);

  Options Limits;
  TokenBucket Bucket;
  ShareTracker Shares;
  std::map<Key, PermitRequest> Waiting;
  // Permits in use, with the time of their grant.
  std::map<Key, Time> Permits;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_PLACEMENT_LOAD_BROKER_H
