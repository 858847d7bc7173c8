// Tracks the load, held adapters and health of each engine as this entry knows
// them, and ranks the engines for a request. The cheapest engine is the one
// where the first token is expected soonest, with costs added for load,
// distance, failures and extra copies of an adapter.
//
//   EngineRanker R(EngineRanker::Options().setDataCentre("dc-1"));
//   R.onLoad(Now, "id-1", Load);
//   auto Ranked = R.rank(Now, Required, Upstreams);     // cheapest first
#ifndef GOLDCRESTLINK_FORWARD_ENGINE_RANKER_H
#define GOLDCRESTLINK_FORWARD_ENGINE_RANKER_H

#include <array>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/kept_parts.h"
#include "admission/side_admission.h"
#include "catalog/types.h"
#include "forward/decode_model.h"
#include "forward/upstream_health.h"

namespace goldcrestlink::forward {

/// What a request requires of an engine.
struct EngineRequirements {
  std::string Model;
  /// Empty for the base model itself.
  std::string Adapter;
  /// Released version of the adapter; 0 if none is known.
  uint64_t Version = 0;
  uint32_t PromptTokens = 0;
  uint32_t Rank = 0;
  /// Prompt tokens that other requests share, and that engines which hold the
  /// adapter mostly keep.
  uint32_t SharedTokens = 0;
  /// Longest pause of its route, taken for that of the streams beside it too;
  /// zero if none is stated.
  Duration MaxPause{};
  /// Engines whose sides do not answer are candidates also if they are not
  /// known to hold the adapter.
  bool AnyWithoutSide = false;
  /// Expected output.
  double OutputTokens = 0;
  /// The shared parts, in prompt order.
  std::vector<PromptPart> Parts = {};
};

/// An engine as a candidate for one request.
struct EngineCandidate {
  const UpstreamRecord *Upstream = nullptr;
  /// Expected time to the first token.
  Duration Expected{};
  /// Expected time to the end of the answer.
  Duration Whole{};
  /// Expected time from its send to the end of the answer.
  Duration Run{};
  /// Expected plus the costs of distance, failures, load and extra copies.
  Duration Cost{};
  /// The engine holds the adapter; always true for the base model itself.
  bool HoldsAdapter = false;
  /// False during the backoff after the side beside the engine did not answer.
  bool SideAnswers = true;
  /// The engine is one of those that should hold the adapter, given its present
  /// demand.
  bool IsPreferred = false;
  /// No engine holds the adapter, or did lately, and it may be loaded here as
  /// well as on the preferred engine.
  bool IsHome = false;
};

/// Not thread-safe. Memory is bounded by the upstreams known.
class EngineRanker {
public:
  class Options {
  public:
    const std::string &dataCentre() const { return DataCentre; }
    Duration loadTime() const { return LoadTime; }
    Duration preferredLoadTime() const { return PreferredLoadTime; }
    Duration distanceCost() const { return DistanceCost; }
    Duration extraCopyCost() const { return ExtraCopyCost; }
    Duration runningCost() const { return RunningCost; }
    Duration ownOpenCost() const { return OwnOpenCost; }
    Duration tieRange() const { return TieRange; }
    double reportedShare() const { return ReportedShare; }
    double assumedShare() const { return AssumedShare; }
    uint64_t seed() const { return Seed; }
    Duration failureCost() const { return FailureCost; }
    Duration lateStreamCost() const { return LateStreamCost; }
    size_t homeEngines() const { return HomeEngines; }
    double emptyShare() const { return EmptyShare; }
    double adapterUtilisationLimit() const { return AdapterUtilisationLimit; }
    Duration unresponsiveBackoff() const { return UnresponsiveBackoff; }
    Options &setDataCentre(std::string Name) {
      DataCentre = std::move(Name);
      return *this;
    }
    /// Has to differ between entries, so that they do not all choose the same
    /// of several equal engines.
    Options &setSeed(uint64_t Value) {
      Seed = Value;
      return *this;
    }
    Options &setDistanceCost(Duration D) {
      DistanceCost = D;
      return *this;
    }

  private:
    std::string DataCentre;
    // Expected time to load an adapter from the weight store.
    Duration LoadTime = std::chrono::milliseconds(280);
    // Cost of loading the adapter on an engine that is not a preferred one: the
    // copy takes a slot from other adapters and a load from the weight store,
    // to avoid a wait that would soon be over.
    Duration ExtraCopyCost = std::chrono::milliseconds(500);
    // Expected time to load an adapter on a preferred engine, which often held
    // it recently and then loads it faster.
    Duration PreferredLoadTime = std::chrono::milliseconds(120);
    // Cost of an engine in another data centre. Traffic between data centres is
    // expensive and only worth it to avoid a longer wait than this.
    Duration DistanceCost = std::chrono::milliseconds(15);
    // Cost per running request, for a request of mean expected output: each
    // slows down all others a little.
    Duration RunningCost = std::chrono::milliseconds(1);
    // Cost per open request of this entry. Load reports are up to 250 ms old
    // and the same for all entries, so that all would choose the same engine
    // until the next one; an entry's own count is exact and spreads its
    // requests.
    Duration OwnOpenCost = std::chrono::milliseconds(60);
    // Part of a reported backlog that counts as cost, unless the engine limits
    // its requests. All entries get the same report at once, and would all
    // avoid or choose the same engine if it counted in full.
    double ReportedShare = 0.5;
    // Costs of engines that hold the adapter and differ by less than this are
    // taken for equal. 4 ms cost streams on time in the model of a deployment.
    Duration TieRange = std::chrono::microseconds(500);
    // Part of a prompt's shared tokens that an engine which holds the adapter
    // has read, if this entry has not sent them there itself.
    double AssumedShare = 0.95;
    uint64_t Seed = 0;
    // Cost of an engine whose recent calls all failed. Scales with the share of
    // failed calls.
    Duration FailureCost = std::chrono::seconds(2);
    // Cost of a running stream that the prompt would make late.
    Duration LateStreamCost = std::chrono::milliseconds(40);
    // Engines among which an adapter that no engine holds may be loaded, so
    // that the prompt goes where it hurts least.
    size_t HomeEngines = 3;
    // An engine that holds less than this share of the mean number of adapters
    // has come empty; it gets adapters of low demand that others have evicted.
    double EmptyShare = 0.5;
    // Share of one engine's prefill time that an adapter may use before it gets
    // a further preferred engine.
    double AdapterUtilisationLimit = 0.12;
    // Backoff after a side did not answer, and first backoff after an engine
    // did not accept a connection.
    Duration UnresponsiveBackoff = std::chrono::milliseconds(700);
  };

  explicit EngineRanker(Options O) : Opts(std::move(O)) {}

  // Commands.

  /// A load report of the engine arrived.
  void onLoad(Time Now, const std::string &Id, const EngineLoad &Load);
  /// An admission request was sent to the engine's side, or the request itself
  /// to the engine (\p AdmissionId zero). Adds the prompt, and
  /// \p Interval if the engine limits its requests, to the engine's known
  /// backlog until the next load report that includes it.
  void onSent(Time Now, const std::string &Id,
              const EngineRequirements &Required, Duration Interval,
              uint64_t AdmissionId = 0);
  /// A request that was sent with an admission id has ended, or its side has
  /// refused it.
  void onEnded(const std::string &Id);
  /// A stream of \p Tokens tokens has ended complete, \p Took after its first
  /// event.
  void onStreamed(const std::string &Id, uint64_t Tokens, Duration Took);
  /// A call that was sent to the engine has ended, or counts as failed because
  /// the engine has been silent for too long.
  void onOutcome(Time Now, const std::string &Id, CallOutcome Outcome);
  /// The side beside the engine did not answer in time.
  void onSideSilent(Time Now, const std::string &Id);
  /// The side beside the engine answered the admission request \p AdmissionId.
  void onSideAnswered(const std::string &Id, uint64_t AdmissionId);
  /// The engine refused a connection or did not accept it in time.
  void onUnreachable(Time Now, const std::string &Id);
  /// Another incarnation answers at the engine's address; the id is never used
  /// again.
  void onReplaced(const std::string &Id);
  /// Sets the number of entries, this one included.
  void setEntries(size_t Count) { Entries = std::max<size_t>(1, Count); }
  /// Removes upstreams that are not in \p Known.
  void retain(const std::map<std::string, UpstreamRecord> &Known);

  // Queries.

  /// Returns the engines among \p ReadyUpstreams that may be used now, cheapest
  /// first. \p ReadyUpstreams are the upstreams of the service that are not
  /// draining.
  std::vector<EngineCandidate>
  rank(Time Now, const EngineRequirements &Required,
       std::span<const UpstreamRecord *const> ReadyUpstreams) const;
  /// Number of engines that should hold the adapter, given its present demand
  /// at all engines. \p ReadyUpstreams: see rank().
  size_t
  preferredEngines(Time Now, const EngineRequirements &Required,
                   std::span<const UpstreamRecord *const> ReadyUpstreams) const;
  size_t entries() const { return Entries; }

private:
  // A request of this entry that the engine's last load report may lack.
  struct RecentSend {
    Time At{};
    // Zero if the side does not know the request.
    uint64_t AdmissionId = 0;
    uint32_t Rank = 0;
    // Time of its prefill, and of the engine's limit of requests.
    Duration Work{};
    // The side has answered, so its next load report includes the request.
    bool IsAnswered = false;
  };

  struct EngineState {
    EngineLoad Load;
    // Requests of this entry that were sent there and have not ended.
    uint32_t OwnOpen = 0;
    std::vector<RecentSend> Recent;
    // Parts of prompts that this entry has sent there.
    KeptParts Kept;
    // A load report has arrived, the last one at LoadedAt.
    bool Known = false;
    Time LoadedAt{};
    // By backlog rank: when the engine is expected to finish the prefill of all
    // prompts known to be queued there at this rank or a more urgent one.
    std::array<Time, BacklogRanks> BacklogEnd{};
    UpstreamHealth Health;
    Time SideBackoffUntil{};
    // Adapters that the engine held until lately, the last one first. It loads
    // them from its own memory.
    std::deque<uint32_t> Evicted;
    // Adapters that this entry has requested there and that the engine does not
    // report yet, with the time of the request.
    std::vector<std::pair<uint32_t, Time>> Requested;
  };

  static bool isUsable(Time Now, const EngineState &State) {
    return State.Health.usable(Now) && (!State.Known || State.Load.Serving);
  }
  /// Forgets the requested loads and the sends that the engine's side should
  /// have reported by now.
  static void dropExpired(Time Now, EngineState &State);
  /// The engine loads the adapter, or will, for a request of this entry.
  static bool isComing(Time Now, const EngineState &State, uint32_t Hash);
  /// Requests that the engine runs, with those of this entry that its last load
  /// report may lack.
  static uint32_t running(Time Now, const EngineState &State);
  /// Prompt tokens that the engine would have to read.
  uint32_t unreadTokens(Time Now, const EngineState &State,
                        const EngineRequirements &Required,
                        bool HoldsAdapter) const;
  /// Cost of what the prompt would do to the streams that the engine runs.
  Duration pauseCost(const EngineState &State,
                     const EngineRequirements &Required, uint32_t Tokens) const;
  /// Cost of each running request: the longer the output, the longer both
  /// delay one another.
  Duration costPerRun(const EngineRequirements &Required) const;
  /// The engine holds the adapter or isComing().
  static bool isHeld(Time Now, const EngineState &State, uint32_t Hash);
  /// Engines that hold fewer adapters than this have come empty, compared with
  /// the usable ones among \p Upstreams.
  double roomBelow(Time Now,
                   std::span<const UpstreamRecord *const> Upstreams) const;

  Options Opts;
  size_t Entries = 4;
  DecodeModel Decoding;
  // Mean expected output of the requests sent; 0 before the first.
  double MeanOutput = 0;
  // Requests sent; varies the choice among equal engines.
  uint64_t Sent = 0;
  std::unordered_map<std::string, EngineState> States;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_ENGINE_RANKER_H
