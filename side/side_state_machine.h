// The state machine of a side, the process that controls one upstream. Only the
// side admits attempts to its upstream, starts them in rank order, loads and
// evicts adapters, and records which idempotency keys ran. The state machine
// does no I/O, starts no threads and reads no clock: each command takes the
// present time and appends the resulting actions to a list.
//
//   SideStateMachine Machine(SideStateMachine::Options(), Config, "engine-1",
//                            Incarnation);
//   Actions Out;
//   Machine.onEnvelope(Now, Peer, Message, Out);
//   for (Action &A : Out)
//     std::visit(PerformAction, A);
#ifndef GOLDCRESTLINK_SIDE_SIDE_STATE_MACHINE_H
#define GOLDCRESTLINK_SIDE_SIDE_STATE_MACHINE_H

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/pause_meter.h"
#include "base/process_delays.h"
#include "base/refusal.h"
#include "base/running_clock.h"
#include "base/time.h"
#include "config/declarations.h"
#include "delivery/answer_check.h"
#include "delivery/key_ledger.h"
#include "delivery/suspect_table.h"
#include "placement/demand.h"
#include "placement/load_planner.h"
#include "placement/slot_table.h"
#include "scheduling/rank_queue.h"
#include "side/actions.h"
#include "side/attempt_log.h"

namespace goldcrestlink::side {

/// Expected wait for a load, in seconds, while the weight store is not busy.
constexpr double BaselineLoadWaitSeconds = 0.3;

/// Why an upstream call ended without a complete answer.
enum class RunError {
  /// No byte of the call was sent, so it did not run.
  NotSent,
  /// The connection broke.
  Broken,
  /// The connection stayed open but no data arrived before the time-out.
  Silent
};

/// Result of a health check of the upstream on a new connection. Refused: the
/// connection was not established or broke. Silent: there was no answer in
/// time, or one with another status than 200.
struct UpstreamStatus {
  enum class Kind { Healthy, Refused, Silent } Result = Kind::Healthy;
  /// Per slot of the engine, the "adapter@version" in it; empty if free.
  std::vector<std::string> SlotKeys;
};

/// Starts and waits of one rank's attempts, cumulative since the start.
struct RankCounters {
  std::string Rank;
  uint64_t Started = 0;
  uint64_t WaitedUs = 0;
  /// The started attempts whose adapter was not loaded when they arrived, and
  /// their total wait.
  uint64_t Stalled = 0;
  uint64_t StalledUs = 0;
};

/// Counters for metrics, cumulative since the start.
struct SideCounters {
  std::vector<RankCounters> Ranks;
  uint64_t Admitted = 0;
  uint64_t Refused = 0;
  uint64_t Finished = 0;
  uint64_t Failed = 0;
  uint64_t Loads = 0;
  uint64_t LoadFailures = 0;
  uint64_t Crashes = 0;
  /// Sum over all starts of the number of running attempts, the started one
  /// included. Divided by the starts it gives the mean concurrency.
  uint64_t RunningAtStarts = 0;
};

/// Not thread-safe: all calls on one thread.
class SideStateMachine {
public:
  class Options {
  public:
    Duration checkEvery() const { return CheckEvery; }
    Duration checkWhenDown() const { return CheckWhenDown; }
    Duration stallTimeout() const { return StallTimeout; }
    size_t maxWaiting() const { return MaxWaiting; }
    bool brokeredLoads() const { return BrokeredLoads; }
    bool isolateSuspects() const { return IsolateSuspects; }
    bool pinSlots() const { return PinSlots; }
    bool checkLease() const { return CheckLease; }
    bool checkAnswers() const { return CheckAnswers; }
    const KeyLedger::Options &ledger() const { return Ledger; }
    bool shareRanks() const { return ShareRanks; }
    bool evictByRecency() const { return EvictByRecency; }
    /// Interval between health checks while the upstream is up.
    Options &setCheckEvery(Duration Value) {
      CheckEvery = Value;
      return *this;
    }
    /// Interval between health checks while the upstream is down.
    Options &setCheckWhenDown(Duration Value) {
      CheckWhenDown = Value;
      return *this;
    }
    /// Longest time without data in a streamed run before the call is cancelled
    /// and the upstream is checked.
    Options &setStallTimeout(Duration Value) {
      StallTimeout = Value;
      return *this;
    }
    Options &setMaxWaiting(size_t Value) {
      MaxWaiting = Value;
      return *this;
    }
    /// If on, loads need a permit from a broker; if off, an adapter is loaded
    /// as soon as there is an empty or replaceable slot.
    Options &setBrokeredLoads(bool On) {
      BrokeredLoads = On;
      return *this;
    }
    /// If on, evicts the least recently used adapter; if off, the adapter with
    /// the least demand.
    Options &setEvictByRecency(bool On) {
      EvictByRecency = On;
      return *this;
    }
    /// If on, attempts are started by rank and share; if off, the attempts of
    /// an application are started in order of arrival.
    Options &setShareRanks(bool On) {
      ShareRanks = On;
      return *this;
    }

  private:
    friend struct SideMutation;
    Duration CheckEvery = std::chrono::seconds(1);
    Duration CheckWhenDown = std::chrono::milliseconds(200);
    Duration StallTimeout = std::chrono::seconds(3);
    size_t MaxWaiting = 1024;
    bool BrokeredLoads = true;
    bool ShareRanks = true;
    bool EvictByRecency = false;
    // Protections. Only tests switch one off, to show that they fail without
    // it.
    bool IsolateSuspects = true;
    bool PinSlots = true;
    bool CheckLease = true;
    bool CheckAnswers = true;
    KeyLedger::Options Ledger;
  };

  /// \p Upstream is the name of the upstream that the side controls; it may be
  /// declared later. \p Incarnation distinguishes this process from earlier
  /// ones of the side, so that crash ids are unique.
  SideStateMachine(Options O, std::shared_ptr<const Declarations> Config,
                   std::string Upstream, uint64_t Incarnation);

  // Commands.

  /// Applies new declarations. Precondition: their generation is not older than
  /// generation().
  void onConfig(const CurrentTime &Now,
                std::shared_ptr<const Declarations> Config, Actions &Out);
  /// Handles a message from an entry or another side.
  void onEnvelope(const CurrentTime &Now, const std::string &Peer,
                  const wire::Envelope &Message, Actions &Out);

  // Progress of a call requested by StartRun. Ignored if the call has ended,
  // for example after CancelRun.
  void onRunHead(const CurrentTime &Now, const std::string &AttemptId,
                 unsigned Status, std::string_view ContentType, Actions &Out);
  void onRunData(const CurrentTime &Now, const std::string &AttemptId,
                 std::string_view Bytes, Actions &Out);
  void onRunDone(const CurrentTime &Now, const std::string &AttemptId,
                 Actions &Out);
  void onRunError(const CurrentTime &Now, const std::string &AttemptId,
                  RunError Error, Actions &Out);

  /// The load of \p Key into \p Slot ended; \p Loaded is false if it failed.
  void onLoadDone(const CurrentTime &Now, size_t Slot, const std::string &Key,
                  bool Loaded, Actions &Out);
  /// Reports the result of CheckUpstream.
  void onUpstreamCheck(const CurrentTime &Now, const UpstreamStatus &Status,
                       Actions &Out);
  /// To be called every few milliseconds.
  void onTimer(const CurrentTime &Now, Actions &Out);

  // Changes of the shard lease; see the functions of the same names of
  // KeyLedger.
  void takeShard(const CurrentTime &Now, uint32_t Shard,
                 uint64_t FencingNumber);
  void dropShard(uint32_t Shard);
  void extendLease(Time Until) { Ledger.extendLease(Until); }
  void endLease() { Ledger.endLease(); }

  /// Sets the owner of each shard. Refusals with Code::NotOwner name the owner,
  /// so that the entry can send the call there.
  void setShardOwners(std::unordered_map<uint32_t, std::string> Owners) {
    ShardOwners = std::move(Owners);
  }
  /// While draining, new attempts are refused; admitted attempts are finished.
  void setDraining(bool On) { Draining = On; }
  /// Refuses all attempts that wait, since the process ends: their entries can
  /// place them elsewhere.
  void refuseWaiting(const CurrentTime &Now, Actions &Out);

  // Queries.

  /// True if no attempt waits or runs.
  bool drained() const { return Runs.empty() && Queue->size() == 0; }
  bool draining() const { return Draining; }
  bool upstreamDown() const { return Down; }
  size_t running() const { return Runs.size(); }
  size_t waiting() const { return Queue->size(); }
  const SideCounters &counters() const { return Counters; }
  const SlotTable &slots() const { return *Slots; }
  const KeyLedger &ledger() const { return Ledger; }
  uint64_t generation() const { return Config->generation(); }
  /// Number of calls with an idempotency key that wait or run.
  size_t keyedInProgress() const { return AttemptByKey.size(); }

private:
  // An attempt that waits or runs. Target and Deadline are on the steady clock;
  // Service is the expected run time.
  struct ActiveAttempt {
    wire::Attempt Request;
    std::string SlotKey;
    uint64_t SlotHash = 0;
    size_t Rank = 0;
    Time Arrived;
    Time Target;
    Time Deadline;
    Duration Service{};
    // The adapter was not loaded when the attempt arrived.
    bool NeededLoad = false;
    // Ids of later attempts with the same key, which get the same answer.
    std::vector<std::string> Joined;
  };

  // The upstream call of an attempt.
  struct Run {
    std::optional<size_t> Slot;
    std::optional<AnswerCheck> Check;
    Time Started;
    // As Running counts.
    Time LastProgress;
    Time FirstData{};
    PauseMeter Pauses;
    unsigned Status = 0;
    std::string ContentType;
    std::string Body;
    bool HeadSent = false;
    // The connection broke, or the call was cancelled because its stream
    // stalled. The check of the upstream decides the outcome.
    bool Broken = false;
    // The caller has been answered; the call continues because its key needs
    // the result.
    bool Detached = false;
  };

  using ActiveAttemptMap = std::unordered_map<std::string, ActiveAttempt>;

  // Admission.
  void onAttempt(const CurrentTime &Now, const std::string &Peer,
                 const wire::Attempt &Request, Actions &Out);
  void onCancel(const CurrentTime &Now, const wire::Cancel &Cancel,
                Actions &Out);
  void onResume(const CurrentTime &Now, const std::string &Peer,
                const wire::Resume &Resume, Actions &Out);
  void onProbe(const CurrentTime &Now, const std::string &Peer,
               const wire::Probe &Probe, Actions &Out);
  void onSuspectNotice(const CurrentTime &Now,
                       const wire::SuspectNotice &Notice, Actions &Out);
  void refuseSuspects(const CurrentTime &Now, Actions &Out);
  Code admissionProblem(const CurrentTime &Now,
                        const ActiveAttempt &Attempt) const;
  bool claimKey(const CurrentTime &Now, const wire::Attempt &Request,
                Actions &Out);
  ActiveAttempt makeActiveAttempt(const CurrentTime &Now,
                                  const wire::Attempt &Request,
                                  size_t Rank) const;
  WaitingAttempt waitingItem(const CurrentTime &Now,
                             const ActiveAttempt &Attempt) const;
  void enqueue(const CurrentTime &Now, ActiveAttempt Attempt, Actions &Out);
  Duration expectedService(const wire::Attempt &Request) const;
  Duration expectedWait(size_t Rank, uint64_t SlotHash) const;

  // Runs.
  void startReady(const CurrentTime &Now, Actions &Out);
  bool canStart(const WaitingAttempt &Item) const;
  void startRun(const CurrentTime &Now, const std::string &Id, Actions &Out);
  void countStart(const CurrentTime &Now, const ActiveAttempt &Attempt);
  void endRun(const std::string &Id);
  void finishAttempt(const CurrentTime &Now, const std::string &Id,
                     wire::AttemptEvent Last, Actions &Out);
  void refuseAttempt(const CurrentTime &Now, const std::string &Id, Code Reason,
                     Actions &Out);
  void failAttempt(const CurrentTime &Now, const std::string &Id, Code Reason,
                   Outcome KnownOutcome, bool Suspect, Actions &Out);
  /// States the longest pause of the attempt's stream in its last event, and
  /// logs one that the caller's rank does not allow.
  void notePauses(const ActiveAttempt &Attempt, const PauseMeter &Pauses,
                  wire::AttemptEvent &Last, Actions &Out);
  void updateServiceEstimate(const CurrentTime &Now, const Run &Ended,
                             const ActiveAttempt &Attempt);
  void decayLoadWaits();
  void expireWaiting(const CurrentTime &Now, Actions &Out);
  void expireRunning(const CurrentTime &Now, Actions &Out);

  // Health of the upstream.
  void requestCheck(const CurrentTime &Now, Actions &Out);
  void onCrash(const CurrentTime &Now, Actions &Out);
  void failBrokenRuns(const CurrentTime &Now, Actions &Out);
  bool slotsMatch(const UpstreamStatus &Status) const;
  void importEngineSlots(const UpstreamStatus &Status);

  // Loads.
  std::vector<NeededLoad> neededLoads(const CurrentTime &Now) const;
  void planLoads(const CurrentTime &Now, Actions &Out);
  bool beginLoad(const CurrentTime &Now, const NeededLoad &Load, Actions &Out);
  size_t slotReserve(size_t Rank) const;
  void onPermitRequest(const CurrentTime &Now, const std::string &Peer,
                       const wire::LoadPermitRequest &Request, Actions &Out);
  void onPermitGrant(const CurrentTime &Now, const std::string &Peer,
                     const wire::LoadPermitGrant &Grant, Actions &Out);
  void grantPermits(const CurrentTime &Now, Actions &Out);
  void releasePermit(const std::string &Broker, uint64_t Adapter, bool Loaded,
                     Actions &Out);

  // Messages.
  wire::Envelope envelope() const;
  void fillState(wire::SideState &State) const;
  void sendEvent(const std::string &Id, wire::AttemptEvent Event, Actions &Out);
  void sendRefusal(const CurrentTime &Now, const std::string &Peer,
                   const wire::Attempt &Request, Code Reason,
                   Outcome KnownOutcome, Actions &Out);
  void broadcastToCell(const wire::Envelope &Message, Actions &Out);
  void log(LogClass Class, std::string Line, Actions &Out) const;

  void applyOwnDeclaration();
  void buildQueue();
  void buildLoads();
  void requeue(const CurrentTime &Now, Actions &Out);
  std::vector<std::string> brokerNames() const;

  Options Opts;
  std::shared_ptr<const Declarations> Config;
  std::string Upstream;
  uint64_t Incarnation;
  // Last known declaration of the upstream; Declared tells whether the present
  // configuration has it.
  UpstreamDecl Self;
  bool Declared = false;
  std::optional<RankQueue> Queue;
  std::optional<SlotTable> Slots;
  std::optional<LoadPlanner> Planner;
  std::optional<LoadBroker> Broker;
  DemandTable Demand;
  KeyLedger Ledger;
  SuspectTable Suspects;
  AttemptLog Log;
  ActiveAttemptMap ActiveAttempts;
  std::unordered_map<std::string, Run> Runs;
  // For each claimed key, the id of the attempt that runs under it.
  std::unordered_map<std::string, std::string> AttemptByKey;
  std::unordered_map<uint32_t, std::string> ShardOwners;
  // For each side, the peer identity with which it sent its last load request.
  std::unordered_map<std::string, std::string> PermitPeers;
  // For each adapter that is being loaded with a permit, the broker that
  // granted it.
  std::unordered_map<uint64_t, std::string> LoadPermits;
  std::unordered_map<uint64_t, Time> LoadStarted;
  // Number of running attempts that must run alone.
  size_t IsolatedRunning = 0;
  bool Draining = false;
  bool Down = false;
  bool CheckPending = false;
  Time NextCheck{};
  Time NextPlan{};
  Time NextExpiry{};
  uint64_t CrashCount = 0;
  // Exponentially smoothed estimates: time per output token of an engine, time
  // per call of a service, and wait for a load per rank.
  double TokenSeconds = 0.03;
  double ServiceSeconds = 0.05;
  std::vector<double> LoadWaitSeconds;
  SideCounters Counters;
  ProcessDelays Delays;
  RunningClock Running;
};

/// Switches off one protection, so that a test can show that it is needed.
/// For tests only.
struct SideMutation {
  static void disableIsolation(SideStateMachine::Options &O) {
    O.IsolateSuspects = false;
  }
  static void disableSlotPinning(SideStateMachine::Options &O) {
    O.PinSlots = false;
  }
  static void disableLeaseCheck(SideStateMachine::Options &O) {
    O.CheckLease = false;
  }
  static void disableAnswerCheck(SideStateMachine::Options &O) {
    O.CheckAnswers = false;
  }
  static void disableOwnershipBarrier(SideStateMachine::Options &O) {
    KeyLedgerMutation::acceptOlderKeys(O.Ledger);
  }
};

} // namespace goldcrestlink::side

#endif // GOLDCRESTLINK_SIDE_SIDE_STATE_MACHINE_H
