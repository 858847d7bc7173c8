// Admission control for one engine: decides which requests may be sent to it
// now, which wait for an adapter, and which adapters are loaded and evicted.
// The side is the only process that sends load and unload orders to the engine.
// A state machine without I/O or clocks.
//
//   SideAdmission Admission(SideAdmission::Options(), Port);
//   Admission.onReport(Now, Report);
//   Admission.onEnd(Now, Peer, Id, FirstToken);   // the request has ended
//   Admission.onTimer(Now);
//
// Admission requests are answered through SidePort::reply(), at once or later.
#ifndef GOLDCRESTLINK_ADMISSION_SIDE_ADMISSION_H
#define GOLDCRESTLINK_ADMISSION_SIDE_ADMISSION_H

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/adapter_demand.h"
#include "admission/engine_report.h"
#include "admission/kept_parts.h"
#include "admission/load_window.h"
#include "admission/memory_ledger.h"
#include "admission/pause_model.h"
#include "admission/prefill_model.h"
#include "admission/prompt_pacing.h"
#include "base/log_class.h"
#include "base/rate_limit.h"
#include "catalog/types.h"
#include "catalog/version_times.h"
#include "scheduling/fair_shares.h"

namespace goldcrestlink {

/// An entry's question whether it may send a request to the engine.
struct AdmissionRequest {
  /// Identifies the entry's connection; opaque.
  std::string Peer;
  /// Unique per entry.
  uint64_t Id = 0;
  std::string Model;
  /// Empty for the base model itself.
  std::string Adapter;
  /// The newest announced version that the entry knows of, and others that
  /// were announced lately, by version; empty if none was announced.
  std::vector<AnnouncedVersion> Announced;
  uint32_t Rank = 0;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  /// Maximum wait: the longest expected wait that the entry accepts.
  Duration MaxWait{};
  /// Time left until the request's latency objective for the first token; may
  /// be negative.
  Duration ObjectiveLeft{};
  /// Time left until the request's deadline.
  Duration TimeLeft{};
  /// Hash of the caller's request id, as in EngineRun; 0 if not known.
  uint64_t Request = 0;
  /// Parts of its prompt that other requests may share, in prompt order.
  std::vector<PromptPart> Parts;
  /// Longest pause between events of its stream that is still on time; zero if
  /// its route states none.
  Duration MaxPause{};
  /// Hash of the name of the caller's organisation; 0 if there is none.
  uint64_t Organisation = 0;
  /// Only loads the adapter; no request follows, and no reply is sent.
  bool Prefetch = false;
};

enum class Verdict { Go, Wait, Refuse };

/// The answer to an admission request. Wait is followed by Go or Refuse later.
struct AdmissionReply {
  Verdict Decision = Verdict::Refuse;
  /// The adapter version that the engine holds and that the request has to
  /// expect; 0 for the base model, or if the engine reports no version.
  uint64_t Version = 0;
  /// Go, Wait: expected time to the first token without the prefill of the
  /// request's own prompt. Refuse: delay before the entry should retry.
  Duration Expected{};
  /// Refuse: true if another engine may serve the request sooner. False if the
  /// request needs a load of its adapter from the store, which would take as
  /// long on another engine.
  bool TryElsewhere = true;
  /// Go: Unix time of the start of the engine's incarnation in milliseconds, as
  /// the process beside it has learnt from the engine; 0 if not known.
  uint64_t EngineStartedMs = 0;
  /// Go: long pauses of the request's stream will be reported.
  bool ObservesPauses = false;
  /// Reason in one word, for the log.
  std::string_view Reason;
};

/// The load of one engine, as reported to entries.
struct EngineLoad {
  /// False while the engine is unreachable or holds no base model.
  bool Serving = false;
  /// Expected wait of a new prompt, by its rank.
  Backlogs Backlog{};
  /// Prefill rate in tokens per millisecond.
  double PrefillRate = 20;
  /// Share of the engine's time spent on prefill.
  double Utilisation = 0;
  /// Number of granted requests that have not ended.
  uint32_t Running = 0;
  /// Running streams with a longest pause, on time so far.
  uint32_t StreamsOnTime = 0;
  /// How much slower the engine may become, as it has been lately; at least 1.
  double SlowdownRisk = 1;
  /// Share of the time in which the engine is slow, from 0 to 1.
  double SlowShare = 0;
  /// Requests per second that the engine takes; 0: no limit.
  double RequestLimit = 0;
  /// Adapters that are ready for requests, by adapterHash().
  std::vector<uint32_t> Held;
  /// Adapters that are being loaded.
  std::vector<uint32_t> Incoming;
  /// Demand for adapters at this engine, held or not.
  std::vector<AdapterShare> Demand;

  bool operator==(const EngineLoad &) const = default;
};

/// Returns "model/adapter"; an empty \p Adapter stands for the base model.
/// Thread-safe.
std::string adapterName(std::string_view Model, std::string_view Adapter);

/// 32-bit hash that identifies an adapter in load messages. Thread-safe.
uint32_t adapterHash(std::string_view Model, std::string_view Adapter);

/// The I/O layer of a SideAdmission.
class SidePort {
public:
  virtual ~SidePort() = default;
  virtual void reply(const AdmissionRequest &To,
                     const AdmissionReply &Reply) = 0;
  virtual void order(const EngineOrder &Order) = 0;
  /// The engine made no event for \p Length of the stream of a granted request,
  /// which \p Peer and \p Id identify.
  virtual void reportPause(const std::string &Peer, uint64_t Id,
                           Duration Length) = 0;
  virtual void log(LogClass Class, std::string Line) = 0;
};

/// Not thread-safe.
class SideAdmission {
public:
  class Options {
  public:
    size_t maxWaiting() const { return MaxWaiting; }
    const LoadWindow::Options &loads() const { return Loads; }
    Duration orderTimeout() const { return OrderTimeout; }
    Duration baseLoadInterval() const { return BaseLoadInterval; }
    double memoryShare() const { return MemoryShare; }
    Duration releaseSpread() const { return ReleaseSpread; }
    Duration replaceTime() const { return ReplaceTime; }
    uint64_t spreadSeed() const { return SpreadSeed; }
    bool holdOutput() const { return HoldOutput; }
    /// Whether the engine crashes when its memory does not suffice, so that
    /// room has to be held for the largest output of each request.
    Options &setHoldOutput(bool Hold) {
      HoldOutput = Hold;
      return *this;
    }
    Options &setMaxWaiting(size_t Count) {
      MaxWaiting = Count;
      return *this;
    }
    /// Has to differ between sides, so that they do not replace an adapter at
    /// the same time.
    Options &setSpreadSeed(uint64_t Seed) {
      SpreadSeed = Seed;
      return *this;
    }

  private:
    size_t MaxWaiting = 512;
    LoadWindow::Options Loads;
    // Time without an answer after which the same order is sent again, with the
    // same count, so that the engine carries out only one of the two. An order
    // that got no answer may be carried out up to 12 s later. Engines answer
    // within milliseconds; a process that has used up its processor quota
    // stands still for up to 100 ms.
    Duration OrderTimeout = std::chrono::milliseconds(150);
    // Minimum time between two loads of the base model, so that an engine that
    // crashes repeatedly does not use up the load capacity of all sides.
    Duration BaseLoadInterval = std::chrono::seconds(2);
    // Maximum share of the engine's memory that granted requests are expected
    // to need; above it the engine would preempt running requests.
    double MemoryShare = 0.92;
    // Each side switches to an announced version at a time of its own within
    // this period, so that the other sides still serve the adapter. The
    // platform allows 5 s for the switch, and requests that run on the old
    // version may take more than a second.
    Duration ReleaseSpread = std::chrono::milliseconds(1800);
    // Expected time until the requests on an old version have ended and the new
    // version is loaded.
    Duration ReplaceTime = std::chrono::milliseconds(1200);
    uint64_t SpreadSeed = 0;
    bool HoldOutput = false;
  };

  SideAdmission(Options O, SidePort &Port)
      : Opts(O), Port(Port), Loads(O.loads()) {}

  // Commands.

  /// Sets the specification of the engine's service.
  void onConfig(const Time &Now, const EngineSpec &Engine);
  /// Sets the weights of organisations by the hash of their names; others have
  /// weight 1.
  void setWeights(std::unordered_map<uint64_t, double> Weights) {
    Shares.setWeights(std::move(Weights));
  }
  /// A version of an adapter was announced. Told again with a greater age, it
  /// may be required sooner.
  void onRelease(const Time &Now, const WeightRelease &Release);
  /// An entry asks for admission. Answered through SidePort::reply(), at once
  /// or later, unless it is a prefetch.
  /// A request that has the same Peer and Id as one that is granted or waits is
  /// that one, asked again: it is answered again and changes nothing.
  void onAdmissionRequest(const Time &Now, AdmissionRequest Request);
  /// A granted or waiting request has ended. \p FirstToken is the time from
  /// when the request was sent to its first token, or zero if it had none.
  void onEnd(const Time &Now, const std::string &Peer, uint64_t Id,
             Duration FirstToken);
  /// The engine has answered with its state.
  void onReport(const Time &Now, const EngineReport &NewReport);
  /// The engine names another limit for requests of all entries, in requests
  /// per second, or none (0).
  void onRequestLimit(const Time &Now, double PerSecond);
  /// The engine did not answer a request for its state.
  void onEngineUnreachable(const Time &Now);
  /// \p Outcome is the result of the order \p Number, Unknown if it got no
  /// answer.
  void onOrderOutcome(const Time &Now, uint64_t Number, OrderOutcome Outcome);
  /// This process stops: refuses all that wait, so that their entries ask
  /// elsewhere at once, and from now on what would have to wait. The engine
  /// goes on with what was granted.
  void onStop(const Time &Now);
  /// Expires requests and grants, and sends the orders that are due.
  void onTimer(const Time &Now);

  // Queries.

  EngineLoad load(const Time &Now) const;
  /// True while the next report can change a decision: an order is open or
  /// being carried out.
  bool awaitsReport() const;
  /// Time at which the next report should be requested.
  Time reportDue(const Time &Now) const;
  size_t waiting() const { return Queue.size(); }
  size_t granted() const { return Grants.size(); }
  /// The engine's last report, updated by the outcome of later orders.
  const EngineReport &report() const { return Report; }
  /// Tokens of memory that granted requests are expected to need.
  uint64_t grantedTokens() const { return TokensGranted; }
  uint64_t loadsOrdered() const { return LoadsOrdered; }
  uint64_t evictions() const { return Evictions; }
  /// Requests that waited for the sake of running streams.
  uint64_t promptsHeld() const { return PromptsHeld; }
  /// Waiting requests that gave way to those of other organisations.
  uint64_t requestsShed() const { return RequestsShed; }
  /// Tokens that the engine's requests may need, and those of them that belong
  /// to requests which this side has not granted.
  uint64_t committedTokens() const { return Memory.committed(); }
  uint64_t unaskedTokens() const { return Memory.unasked(); }

private:
  // Peer and id of an admission request.
  using RequestKey = std::pair<std::string, uint64_t>;

  struct Grant {
    std::string Adapter; // "model/adapter", empty for the base model.
    uint64_t Request = 0;
    // Expected memory need in tokens.
    uint64_t Tokens = 0;
    uint32_t PromptTokens = 0;
    // The whole prompt and the largest output.
    uint32_t WholePrompt = 0;
    uint32_t LargestOutput = 0;
    // The version that the request was told.
    uint64_t Version = 0;
    // True if there was no prefill backlog at the grant, so that the delay of
    // the first token depends on the engine's prefill rate alone.
    bool FoundIdle = false;
    Time GrantedAt;
    Time ExpiresAt;
  };

  struct WaitingRequest {
    AdmissionRequest Request;
    Time Since;
    Time Until;
    // Latest start of the adapter load for the first token to meet its
    // objective.
    Time LoadBy;
    // In order of arrival.
    uint64_t Number = 0;
  };

  // A request that is expected to be served before another one, and how often
  // its time counts for that one's wait.
  struct AheadRequest {
    const WaitingRequest *Waiting = nullptr;
    double Count = 1;
  };

  struct AdapterState {
    uint64_t Version = 0;
    // True while the adapter is being loaded and no version of it is held.
    bool Incoming = false;
    // When the engine accepted the load order.
    Time OrderedAt{};
    Time LastUsed{};
    // Number of granted requests that use the adapter.
    uint32_t Pins = 0;
  };

  const HeldModel *baseModel(std::string_view Model) const;
  uint64_t requiredVersion(const Time &Now, const std::string &Name) const;
  const AdapterState *heldAdapter(const std::string &Name) const;
  bool ready(const Time &Now, const AdmissionRequest &Request) const;
  bool isOutdated(const Time &Now, const std::string &Name) const;
  /// Whether another request of \p Tokens fits into slots and memory.
  bool batchHasRoom(uint64_t Tokens) const;
  /// Expected time until it does, after the ready requests ahead of \p For, or
  /// after all that wait if that is null.
  Duration batchWait(const Time &Now, uint64_t Tokens,
                     const AdmissionRequest *For = nullptr) const;
  /// Memory in tokens that the request is counted with.
  uint64_t memoryNeed(const AdmissionRequest &Request) const;

  // Shares of organisations (side_fairness.cc).
  FairItem fairItem(const Time &Now, const AdmissionRequest &Request) const;
  bool hasOrganisations() const;
  std::vector<const WaitingRequest *> byArrival() const;
  /// Puts the queue into the order of service.
  void sortQueue(const Time &Now);
  /// The waiting requests that will be served before \p For, which may wait
  /// itself. Without organisations, or if \p For is null, all that wait.
  std::vector<AheadRequest> waitingAhead(const Time &Now,
                                         const AdmissionRequest *For) const;
  size_t countAhead(const Time &Now, const AdmissionRequest *For) const;
  /// If the queue is full, refuses a request of the organisation with the most
  /// queued work. Returns false if \p New itself has to be refused.
  bool makeRoom(const Time &Now, const AdmissionRequest &New);
  /// Refuses a waiting request that gives way to other organisations.
  void shed(const Time &Now, std::list<WaitingRequest>::iterator Where,
            std::string_view Reason);
  /// Refuses the requests that cannot be granted in time any more since others
  /// are served before them.
  void refuseOvertaken(const Time &Now);

  bool hasCapacity(const Time &Now, const AdmissionRequest &Request) const;
  /// Prompt tokens that the engine would have to process.
  uint32_t unreadTokens(const Time &Now, const AdmissionRequest &Request) const;
  /// What granting the request now, \p Since its arrival here, would mean.
  PromptDecision promptDecision(const Time &Now,
                                const AdmissionRequest &Request,
                                const Time &Since) const;
  /// Expected time until the running streams allow its prompt, after those of
  /// the ready requests that wait ahead of it.
  Duration pacingWait(const Time &Now, uint32_t Rank, uint64_t Tokens,
                      const AdmissionRequest *For = nullptr) const;
  void grant(const Time &Now, const AdmissionRequest &Request);
  /// Answers a request that is granted or waits already. Returns false if it
  /// is to be treated as a new one.
  bool answerAgain(const Time &Now, const AdmissionRequest &Request);
  void refuse(const AdmissionRequest &Request, Duration RetryAfter,
              bool TryElsewhere, std::string_view Reason);
  /// Why a request whose adapter is held cannot be granted.
  std::string_view fullReason(const Time &Now,
                              const AdmissionRequest &Request) const;
  Duration expectedWait(const Time &Now, const AdmissionRequest &Request) const;
  void serveQueue(const Time &Now);
  void expire(const Time &Now);
  /// Removes the prefetches that have expired or whose adapters are loaded.
  void dropEndedPrefetches(const Time &Now);
  void placeOrder(const Time &Now);
  bool orderBaseModel(const Time &Now);
  bool orderAdapter(const Time &Now, const std::string &Model,
                    const std::string &Adapter);
  bool evictLeastRecentlyUsed(const Time &Now, const std::string &For);
  void evict(const Time &Now, const std::string &Name, std::string_view Reason);
  bool unloadOutdated(const Time &Now);
  void sendOrder(const Time &Now, OrderKind Kind, const std::string &Model,
                 const std::string &Adapter);
  /// The engine has accepted \p Order; its next reports are to show it.
  void countOrder(const Time &Now, const EngineOrder &Order);
  uint32_t slotsUsed() const;
  uint32_t incoming() const;
  bool neededByQueue(const std::string &Name) const;
  std::vector<const AdmissionRequest *> loadCandidates(const Time &Now) const;
  size_t loadsAhead(const Time &Now, const AdmissionRequest &For) const;

  Options Opts;
  SidePort &Port;
  EngineSpec Spec;
  bool HasSpec = false;
  // The times from which no request is granted on an older version.
  std::map<std::string, VersionTimes> RequiredVersions;
  EngineReport Report;
  bool Reachable = false;
  bool Stopping = false;
  Time ReportedAt{};
  // When an answer to an order last raised the count of orders in Report.
  Time CountedAt{};
  std::map<std::string, AdapterState> Adapters;
  std::map<RequestKey, Grant> Grants;
  // Waiting requests by rank, then by the virtual time of their organisation,
  // then by arrival.
  std::list<WaitingRequest> Queue;
  uint64_t NextNumber = 1;
  FairShares Shares{FairShares::Options()};
  MemoryLedger Memory;
  std::list<WaitingRequest> Prefetches;
  // The order whose outcome, or whose effect on the engine, is not known yet.
  std::optional<EngineOrder> OpenOrder;
  Time OrderSentAt{};
  // True if the open order was answered, but the engine's state after it will
  // be known only from the next report.
  bool OrderAnswered = false;
  uint64_t NextOrderNumber = 1;
  Time NextBaseLoadAt{};
  Time NoOrderBefore{};
  PrefillModel Prefill;
  PauseModel Pauses;
  KeptParts Kept;
  AdapterDemand Demand;
  RateLimit RequestRate;
  // From the grant to the end of a request; zero until one has ended.
  Duration MeanRunTime{};
  LoadWindow Loads;
  uint64_t TokensGranted = 0;
  uint64_t LoadsOrdered = 0;
  uint64_t Evictions = 0;
  uint64_t PromptsHeld = 0;
  uint64_t RequestsShed = 0;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_SIDE_ADMISSION_H
