// What an entry knows of each engine's load, and where it would send a request
// for an adapter: the engine at which the first token is expected soonest.
//
//   EngineBoard B(EngineBoard::Options().setDataCentre("dc-1"));
//   B.onLoad(N, "id-1", Load);
//   B.onDemand(N, Model, Adapter);
//   auto Ranked = B.rank(N, Want, Upstreams);     // best first
#ifndef GOLDCRESTLINK_FORWARD_ENGINE_BOARD_H
#define GOLDCRESTLINK_FORWARD_ENGINE_BOARD_H

#include <array>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/side_admission.h"
#include "catalog/types.h"
#include "forward/upstream_health.h"

namespace goldcrestlink::forward {

/// What a request needs of an engine.
struct EngineWant {
  std::string Model;
  std::string Adapter;
  uint64_t Version = 0;
  uint32_t PromptTokens = 0;
  uint32_t Rank = 0;
};

/// One engine as a candidate.
struct EngineCandidate {
  const UpstreamRecord *Upstream = nullptr;
  /// Expected time to the first token.
  Duration Expected{};
  /// Expected plus what is charged for distance, failures and replicas.
  Duration Cost{};
  bool Holds = false;
  /// The side beside it answers.
  bool SideAnswers = true;
  /// One of the engines that should hold the adapter at its present demand.
  bool IsHome = false;
};

/// Not thread-safe. Memory is bounded by the upstreams known and by
/// Options::maxAdapters().
class EngineBoard {
public:
  class Options {
  public:
    const std::string &dataCentre() const { return DataCentre; }
    size_t maxAdapters() const { return MaxAdapters; }
    Duration loadTime() const { return LoadTime; }
    Duration homeLoadTime() const { return HomeLoadTime; }
    Duration distanceCost() const { return DistanceCost; }
    Duration strayCopyCost() const { return StrayCopyCost; }
    Duration runningCost() const { return RunningCost; }
    Duration utilisationCost() const { return UtilisationCost; }
    Duration failureCost() const { return FailureCost; }
    double homeUtilisation() const { return HomeUtilisation; }
    Duration silencePause() const { return SilencePause; }
    Options &setDataCentre(std::string Name) {
      DataCentre = std::move(Name);
      return *this;
    }
    Options &setDistanceCost(Duration D) {
      DistanceCost = D;
      return *this;
    }

  private:
    std::string DataCentre;
    size_t MaxAdapters = 8192;
    // Expected time of a load from the weight store.
    Duration LoadTime = std::chrono::milliseconds(280);
    // Charged for a copy away from the adapter's homes: it takes a slot from
    // others and a load from the store, for a wait that would soon pass.
    Duration StrayCopyCost = std::chrono::milliseconds(500);
    // At a home the adapter was often held recently and comes back faster.
    Duration HomeLoadTime = std::chrono::milliseconds(120);
    // Bytes between data centres are dear; waits below this are alike.
    Duration DistanceCost = std::chrono::milliseconds(15);
    // Each request that an engine runs slows down all others a little.
    Duration RunningCost = std::chrono::milliseconds(3);
    // Charged, by the square of its utilisation, for an engine whose time goes
    // into reading prompts: all streams that it runs slow down.
    Duration UtilisationCost = std::chrono::milliseconds(500);
    // Charged in full for an upstream that fails everything.
    Duration FailureCost = std::chrono::seconds(2);
    // Share of an engine's prompt reading that one adapter may take before it
    // gets a further home.
    double HomeUtilisation = 0.3;
    // A side or engine that did not answer is left alone this long.
    Duration SilencePause = std::chrono::milliseconds(700);
  };

  explicit EngineBoard(Options O) : Opts(std::move(O)) {}

  // Commands.

  void onLoad(Time N, const std::string &Id, const EngineLoad &Load);
  /// A request for the adapter arrived at this entry.
  void onDemand(Time N, const EngineWant &Want);
  /// A request was sent, or is about to be.
  void onSent(Time N, const std::string &Id, const EngineWant &Want);
  void onOutcome(Time N, const std::string &Id, bool Failed);
  /// The side beside the engine did not answer in time, or does again.
  void onSideSilent(Time N, const std::string &Id);
  void onSideAnswered(const std::string &Id);
  /// The engine refused connections or did not take them.
  void onUnreachable(Time N, const std::string &Id);
  /// Another incarnation answers at its address; the id is never used again.
  void onReplaced(const std::string &Id);
  /// Entries that share the demand, this one included.
  void setEntries(size_t Count) { Entries = std::max<size_t>(1, Count); }
  /// Forgets upstreams that are not in \p Known.
  void retain(const std::map<std::string, UpstreamRecord> &Known);

  // Queries.

  /// Engines that may be used now, cheapest first. \p Among are those of the
  /// service that are ready.
  std::vector<EngineCandidate>
  rank(Time N, const EngineWant &Want,
       std::span<const UpstreamRecord *const> Among) const;
  /// Engines that ought to hold the adapter at its present demand.
  size_t homes(Time N, const EngineWant &Want) const;
  size_t entries() const { return Entries; }

private:
  struct View {
    EngineLoad Load;
    bool Known = false;
    // By rank, when the prompts known to stand at the engine will have been
    // read.
    std::array<Time, BacklogRanks> Free{};
    UpstreamHealth Health;
    Time SilentUntil{};
  };
  // At this entry. The quick mean sees a rise within a second; what chance
  // may give does not count.
  struct Demand {
    // Prompt tokens per second over DemandSeconds.
    double TokenRate = 0;
    // Arrivals, and their prompt tokens, over QuickSeconds.
    double QuickCount = 0;
    double QuickTokens = 0;
    Time At{};
  };

  double tokenRate(Time N, const std::string &Name) const;
  double meanPrefillRate() const;

  Options Opts;
  size_t Entries = 4;
  std::unordered_map<std::string, View> Views;
  std::unordered_map<std::string, Demand> Demands;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_ENGINE_BOARD_H
