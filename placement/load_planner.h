// Decides, at one side, for which loads to ask permission and of whom. Permits
// come from a broker side; if no broker answers, the side falls back to its
// static share of the store's rate.
//
//   LoadPlanner P(LoadPlanner::Options().setStaticRate(0.35), Brokers);
//   for (const PermitAsk &A : P.plan(Now, Wants)) send(A.Broker, A.What);
//   P.onAnswer(Now, Broker, Adapter, Granted);
#ifndef GOLDCRESTLINK_PLACEMENT_LOAD_PLANNER_H
#define GOLDCRESTLINK_PLACEMENT_LOAD_PLANNER_H

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "placement/load_broker.h"

namespace goldcrestlink {

/// An adapter that waiting requests need.
struct LoadWant {
  uint64_t Adapter = 0;
  std::string Key;
  /// The most urgent rank that waits for it.
  size_t Rank = 0;
  /// Worth of all requests that wait for it.
  double Priority = 0;
  size_t Waiting = 0;
  /// Some request has waited long for its target.
  bool Pressed = false;
};

/// A permit request to send.
struct PermitAsk {
  std::string Broker;
  LoadWant What;
};

/// Not thread-safe.
class LoadPlanner {
public:
  class Options {
  public:
    double staticRate() const { return StaticRate; }
    Duration renewEvery() const { return RenewEvery; }
    Duration answerTimeout() const { return AnswerTimeout; }
    Duration brokerPause() const { return BrokerPause; }
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
    Options &setBrokerPause(Duration D) {
      BrokerPause = D;
      return *this;
    }

  private:
    double StaticRate = 0.35;
    Duration RenewEvery = std::chrono::milliseconds(500);
    Duration AnswerTimeout = std::chrono::milliseconds(300);
    Duration BrokerPause = std::chrono::seconds(5);
  };

  /// \p Brokers are the sides that may be broker, first choice first.
  LoadPlanner(Options O, std::vector<std::string> Brokers);

  /// Compares the present wants with what was asked; returns what to send.
  std::vector<PermitAsk> plan(Time N, std::span<const LoadWant> Wants);
  /// A broker answered. True if the adapter may be loaded now.
  bool onAnswer(Time N, const std::string &Broker, uint64_t Adapter,
                bool Granted);
  /// Takes a load from the static share. True only while no broker answers.
  bool takeStatic(Time N);
  /// The broker that requests go to now; empty if none answers.
  std::string broker(Time N) const;
  const std::vector<std::string> &brokers() const { return Brokers; }

private:
  struct Asked {
    std::string Broker;
    Time Sent;
    double Priority = 0;
    bool Pressed = false;
    bool Answered = false;
  };
  void noteSilence(Time N);

  Options Limits;
  std::vector<std::string> Brokers;
  std::unordered_map<std::string, Time> PausedUntil;
  std::unordered_map<uint64_t, Asked> Open;
  TokenBucket Static;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_PLACEMENT_LOAD_PLANNER_H
