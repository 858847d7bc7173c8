// Decides, at one side, for which adapter loads to request a permit, and from
// which broker. If no broker answers, the side falls back to a static share of
// the store's rate.
//
//   LoadPlanner Planner(LoadPlanner::Options().setStaticRate(0.35), Brokers);
//   for (const auto &Request : Planner.plan(Now, NeededLoads))
//     send(Request);
//   Planner.onAnswer(Now, Broker, Adapter, Granted);
#ifndef GOLDCRESTLINK_PLACEMENT_LOAD_PLANNER_H
#define GOLDCRESTLINK_PLACEMENT_LOAD_PLANNER_H

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/load_broker.h"

namespace goldcrestlink {

/// An adapter that waiting requests need and that is neither loaded nor
/// loading.
struct NeededLoad {
  /// Hash of Key.
  uint64_t Adapter = 0;
  /// "adapter@version".
  std::string Key;
  /// The most urgent rank among the requests that wait for the adapter.
  size_t Rank = 0;
  /// Total worth of the requests that wait for the adapter.
  double Priority = 0;
  /// Number of requests that wait for the adapter.
  size_t Waiting = 0;
  /// True if a waiting request should not yield to others any more, since it
  /// has waited for a large part of its target or is of the most urgent rank.
  bool Escalated = false;
};

/// A load request, to be sent to a broker.
struct BrokerRequest {
  std::string Broker;
  NeededLoad Load;
};

/// Not thread-safe.
class LoadPlanner {
public:
  class Options {
  public:
    double staticRate() const { return StaticRate; }
    Duration renewEvery() const { return RenewEvery; }
    Duration answerTimeout() const { return AnswerTimeout; }
    Duration brokerBackoff() const { return BrokerBackoff; }
    Options &setStaticRate(double PerSecond) {
      StaticRate = PerSecond;
      return *this;
    }
    Options &setRenewEvery(Duration D) {
      RenewEvery = D;
      return *this;
    }
    Options &setAnswerTimeout(Duration D) {
      AnswerTimeout = D;
      return *this;
    }
    Options &setBrokerBackoff(Duration D) {
      BrokerBackoff = D;
      return *this;
    }

  private:
    // Loads per second.
    double StaticRate = 0.35;
    Duration RenewEvery = std::chrono::milliseconds(500);
    Duration AnswerTimeout = std::chrono::milliseconds(300);
    Duration BrokerBackoff = std::chrono::seconds(5);
  };

  /// \p Brokers are the sides that may be the broker, in order of preference.
  LoadPlanner(Options O, std::vector<std::string> Brokers);

  /// Compares the loads needed now with the open load requests. Returns the
  /// requests to send: new ones, changed ones and renewals.
  std::vector<BrokerRequest> plan(Time Now, std::span<const NeededLoad> Needed);
  /// A broker answered a load request. Returns true if the adapter may be
  /// loaded now.
  bool onAnswer(Time Now, const std::string &Broker, uint64_t Adapter,
                bool Granted);
  /// Takes one load from the static share. Returns true if it may be started;
  /// always false while a broker answers.
  bool takeFromStaticShare(Time Now);
  /// The broker that load requests are sent to now; empty if none answers.
  std::string broker(Time Now) const;
  const std::vector<std::string> &brokers() const { return Brokers; }

private:
  struct OpenRequest {
    std::string Broker;
    Time Sent;
    double Priority = 0;
    bool Escalated = false;
    bool Answered = false;
  };
  void backOffSilentBrokers(Time Now);

  Options Limits;
  std::vector<std::string> Brokers;
  // End of the backoff of each broker that did not answer.
  std::unordered_map<std::string, Time> BackoffUntil;
  // Load requests without a grant, by adapter.
  std::unordered_map<uint64_t, OpenRequest> OpenRequests;
  TokenBucket StaticShare;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_PLACEMENT_LOAD_PLANNER_H
