// Weighted fair queueing between flows (organisations) at a server that runs
// several requests at once: start-time fair queueing (Goyal, Vin, Cheng:
// "Start-time Fair Queuing") in its form for a server of some depth, SFQ(D).
// Within a rank the request with the lowest virtual start time is served first.
// Ranks alone would let urgent requests of one flow displace the less urgent
// ones of all others, so a flow that has lately received clearly more than its
// weighted share of all ranks together comes after the others, whatever its
// ranks. Flows get what the others leave.
//
//   FairShares Shares(FairShares::Options{});
//   Shares.setWeights({{hash64("acme"), 2.0}});
//   // Waiting is in order of arrival.
//   std::vector<size_t> Order = Shares.order(Now, Waiting);
//   Shares.onServed(Now, Waiting[Order[0]], true);
#ifndef GOLDCRESTLINK_SCHEDULING_FAIR_SHARES_H
#define GOLDCRESTLINK_SCHEDULING_FAIR_SHARES_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace goldcrestlink {

/// A request as far as its place among others is concerned.
struct FairItem {
  /// 0 is the most urgent.
  uint32_t Rank = 0;
  /// Identifies its organisation; 0: none. Requests of flow 0 are served in
  /// order of arrival among themselves.
  uint64_t Flow = 0;
  /// Work that it causes, in any fixed unit; positive.
  double Cost = 1;
  /// It can be served now. Requests that cannot do not delay others of their
  /// flow.
  bool IsReady = true;
};

/// Not thread-safe. Memory is bounded by Options::maxFlows().
class FairShares {
public:
  class Options {
  public:
    size_t maxFlows() const { return MaxFlows; }
    Duration halfLife() const { return HalfLife; }
    double excessShare() const { return ExcessShare; }
    Options &setMaxFlows(size_t Count) {
      MaxFlows = Count;
      return *this;
    }

  private:
    // Flows of one rank whose virtual times are kept. A deployment has tens of
    // organisations.
    size_t MaxFlows = 512;
    // Of the work that a flow's received share is measured by: some tens of
    // requests of an engine.
    Duration HalfLife = std::chrono::seconds(3);
    // Part of the service by which a flow may exceed its weighted share before
    // it comes after the others. In fair_admission_test 0.1 let a flood delay
    // the less urgent requests of others; with 0.03 flows that do not flood
    // came after the others at times.
    double ExcessShare = 0.05;
  };

  explicit FairShares(Options O) : Opts(O) {}

  // Commands.

  /// Replaces the weights; flows that are not listed have weight 1. Weights
  /// that are not positive are ignored.
  void setWeights(std::unordered_map<uint64_t, double> NewWeights);
  /// \p Item is served. \p OthersWait: further requests wait, so that it counts
  /// towards its flow's received share; what a flow takes while nothing else
  /// waits is not held against it.
  void onServed(Time Now, const FairItem &Item, bool OthersWait);

  // Queries.

  double weight(uint64_t Flow) const;
  /// Returns the positions of \p Waiting, which is in order of arrival, in
  /// order of service: flows in excess of their shares last, then by rank,
  /// virtual start time and arrival.
  std::vector<size_t> order(Time Now, std::span<const FairItem> Waiting) const;
  /// The request that gives way when one of \p Waiting, which is in order of
  /// arrival, has to: of the flows in excess if there are any, and there of the
  /// least urgent rank, the newest one of the flow with the most work per
  /// weight. Precondition: \p Waiting is not empty.
  size_t givesWay(Time Now, std::span<const FairItem> Waiting) const;
  /// The share that this flow received, over all ranks, of the recent work that
  /// was served while requests waited; from 0 to 1.
  double receivedShare(Time Now, uint64_t Flow) const;
  /// Its weighted share beside the flows that were served lately or wait.
  double guaranteedShare(Time Now, std::span<const FairItem> Waiting,
                         uint64_t Flow) const;
  /// Whether it received clearly more than its weighted share.
  bool isInExcess(Time Now, std::span<const FairItem> Waiting,
                  uint64_t Flow) const;
  /// How many times longer a flow waits for its own requests than if all
  /// service went to it. 1 for a flow within its share, before which later
  /// requests are hardly served; otherwise, since later requests of all others
  /// are, the inverse of the share that it receives.
  double ownDelayFactor(Time Now, std::span<const FairItem> Waiting,
                        uint64_t Flow) const;
  size_t flows() const { return Flows.size(); }

private:
  struct Flow {
    uint32_t Rank = 0;
    // Virtual time at which the flow's last served request ends.
    double Finish = 0;
  };

  struct Work {
    // Decayed, as of At.
    double Amount = 0;
    Time At{};
  };

  // Ranks, with those of the flows in excess after all others.
  struct Place {
    bool IsInExcess = false;
    uint32_t Rank = 0;
    bool operator==(const Place &) const = default;
    bool operator<(const Place &Other) const {
      return std::tie(IsInExcess, Rank) <
             std::tie(Other.IsInExcess, Other.Rank);
    }
  };

  // Less urgent ranks share the last virtual time.
  static constexpr size_t MaxRanks = 16;

  static size_t row(uint32_t Rank);
  static uint64_t key(uint32_t Rank, uint64_t Flow);
  /// Virtual start time of a request of the flow if it were served next.
  double start(uint32_t Rank, uint64_t Flow) const;
  double amount(Time Now, const Work &W) const;
  void add(Time Now, Work &W, double Cost) const;
  std::vector<Place> places(Time Now, std::span<const FairItem> Waiting) const;
  /// Sum of the weights of the flows that were served lately or wait.
  double activeWeight(Time Now, std::span<const FairItem> Waiting,
                      uint64_t Flow) const;
  bool exceeds(Time Now, uint64_t Flow, double ActiveWeight) const;
  void dropFlows(Time Now);

  Options Opts;
  std::unordered_map<uint64_t, double> Weights;
  // By rank and flow.
  std::unordered_map<uint64_t, Flow> Flows;
  // Virtual times: the start time of the request served last.
  std::array<double, MaxRanks> Virtual{};
  // By flow, and of all.
  std::unordered_map<uint64_t, Work> Served;
  Work AllServed;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_SCHEDULING_FAIR_SHARES_H
