// Hands out permits to load adapters, so that all sides together stay within
// the weight store's limits and the loads worth most go first. Any side can be
// the broker; correctness never depends on it, only the store's queue does.
//
//   LoadBroker B(LoadBroker::Options().setRate(7).setBurst(2), Shares);
//   B.request(Now, {Side, Adapter, Rank, Priority});
//   for (const PermitWish &W : B.grant(Now)) tell(W.Side);
#ifndef GOLDCRESTLINK_PLACEMENT_LOAD_BROKER_H
#define GOLDCRESTLINK_PLACEMENT_LOAD_BROKER_H

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "scheduling/share_tracker.h"

namespace goldcrestlink {

/// Allows events at a rate, with a burst after a pause. Not thread-safe.
class TokenBucket {
public:
  /// \p Rate in events per second.
  TokenBucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Level(Burst) {}
  /// Takes a token; false if there is none.
  bool take(Time N);
  /// Returns a token that was not used.
  void giveBack();
  /// Time until a token is there.
  Duration untilNext(Time N) const;

private:
  void refill(Time N);
  double Rate;
  double Burst;
  double Level;
  Time Updated{};
};

/// A side's wish to load one adapter.
struct PermitWish {
  std::string Side;
  uint64_t Adapter = 0;
  size_t Rank = 0;
  /// Worth of the requests that the load would free.
  double Priority = 0;
  /// Its requests need their rank's share now; others can still wait.
  bool Pressed = true;
  Time Since{};
  Time Renewed{};
};

/// Not thread-safe. Holds at most maxWishes() wishes.
class LoadBroker {
public:
  class Options {
  public:
    double rate() const { return Rate; }
    double burst() const { return Burst; }
    size_t maxInFlight() const { return MaxInFlight; }
    size_t maxWishes() const { return MaxWishes; }
    Duration wishExpiry() const { return WishExpiry; }
    Duration permitExpiry() const { return PermitExpiry; }
    Options &setRate(double PerSecond) {
      Rate = PerSecond;
      return *this;
    }
    Options &setBurst(double N) {
      Burst = N;
      return *this;
    }
    Options &setMaxInFlight(size_t N) {
      MaxInFlight = N;
      return *this;
    }
    Options &setMaxWishes(size_t N) {
      MaxWishes = N;
      return *this;
    }
    Options &setWishExpiry(Duration D) {
      WishExpiry = D;
      return *this;
    }
    Options &setPermitExpiry(Duration D) {
      PermitExpiry = D;
      return *this;
    }

  private:
    double Rate = 7;
    double Burst = 2;
    size_t MaxInFlight = 16;
    size_t MaxWishes = 8192;
    Duration WishExpiry = std::chrono::seconds(2);
    Duration PermitExpiry = std::chrono::seconds(5);
  };

  LoadBroker(Options O, std::vector<double> RankShares);

  /// Adds or renews a wish. A wish that is not renewed expires.
  void request(Time N, const PermitWish &Wish);
  /// Ends a permit, or withdraws a wish. \p Used is false if the permit was
  /// not used, and its token is then given back.
  void release(Time N, const std::string &Side, uint64_t Adapter, bool Used);
  /// Wishes that get their permit now, best first.
  std::vector<PermitWish> grant(Time N);
  /// When grant() should be called again if wishes wait.
  Duration untilNext(Time N) const { return Bucket.untilNext(N); }
  size_t waiting() const { return Wishes.size(); }

private:
  using Key = std::pair<std::string, uint64_t>;
  void expire(Time N);
  static bool goesBefore(const PermitWish &A, const PermitWish &B);

  Options Limits;
  TokenBucket Bucket;
  ShareTracker Shares;
  std::map<Key, PermitWish> Wishes;
  std::map<Key, Time> Permits;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_PLACEMENT_LOAD_BROKER_H
