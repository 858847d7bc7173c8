// The decisions of a side: the process beside one upstream. It alone admits
// work to its upstream, starts it in order of rank, orders loads and
// evictions, and remembers which keys ran. A state machine without I/O,
// threads or clocks: each command takes the present time and appends what is
// to be done to a list of actions.
//
//   SideMachine M(SideMachine::Options(), Declarations, "engine-1", Seed);
//   Actions Out;
//   M.onEnvelope(Now, Peer, Envelope, Out);
//   for (Action &A : Out) perform(A);
#ifndef GOLDCRESTLINK_SIDE_SIDE_MACHINE_H
#define GOLDCRESTLINK_SIDE_SIDE_MACHINE_H

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/refusal.h"
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

/// Expected wait for a load while the store is not busy, in seconds.
constexpr double UsualLoadWaitSeconds = 0.3;

/// How an upstream call ended without a whole answer.
enum class RunError {
  /// No byte of the call left: it did not run.
  NotSent,
  /// The connection broke.
  Broken,
  /// The connection stayed open but nothing came.
  Silent
};

/// What a check of the upstream on a fresh connection found.
struct UpstreamStatus {
  enum class Kind { Healthy, Refused, Silent } Is = Kind::Healthy;
  /// Keys in the engine's slots by slot number; empty for a free slot.
  std::vector<std::string> SlotKeys;
};

/// What one rank's attempts waited for, cumulative.
struct RankCounters {
  std::string Rank;
  uint64_t Started = 0;
  uint64_t WaitedUs = 0;
  /// Of these, attempts that had to wait for a load, and their whole wait.
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
  /// Sum, over all starts, of the attempts that then ran.
  uint64_t RunningAtStarts = 0;
};

/// Not thread-safe: all calls on one thread.
class SideMachine {
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
    Options &setCheckEvery(Duration D) {
      CheckEvery = D;
      return *this;
    }
    Options &setCheckWhenDown(Duration D) {
      CheckWhenDown = D;
      return *this;
    }
    Options &setStallTimeout(Duration D) {
      StallTimeout = D;
      return *this;
    }
    Options &setMaxWaiting(size_t N) {
      MaxWaiting = N;
      return *this;
    }
    /// Ask a broker for load permits; off: load whenever a slot is free.
    Options &setBrokeredLoads(bool On) {
      BrokeredLoads = On;
      return *this;
    }
    /// Evict the least recently used adapter; off: the one of least demand.
    Options &setEvictByRecency(bool On) {
      EvictByRecency = On;
      return *this;
    }
    /// Rank order and shares; off: first in, first out.
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
    // Always on outside tests, which switch one off to see its test fail.
    bool IsolateSuspects = true;
    bool PinSlots = true;
    bool CheckLease = true;
    bool CheckAnswers = true;
    KeyLedger::Options Ledger;
  };

  /// \p Upstream is the declared upstream that the side stands beside; it may
  /// be declared later. \p Seed makes identities unique between incarnations.
  SideMachine(Options O, std::shared_ptr<const Declarations> Config,
              std::string Upstream, uint64_t Seed);

  // Commands.

  /// New declarations are in force. Precondition: their generation is newer.
  void onConfig(const Now &N, std::shared_ptr<const Declarations> Config,
                Actions &Out);
  /// A message from an entry or another side.
  void onEnvelope(const Now &N, const std::string &Peer,
                  const wire::Envelope &Message, Actions &Out);
  void onRunHead(const Now &N, const std::string &AttemptId, unsigned Status,
                 std::string_view ContentType, Actions &Out);
  void onRunData(const Now &N, const std::string &AttemptId,
                 std::string_view Bytes, Actions &Out);
  void onRunDone(const Now &N, const std::string &AttemptId, Actions &Out);
  void onRunError(const Now &N, const std::string &AttemptId, RunError Error,
                  Actions &Out);
  void onLoadDone(const Now &N, size_t Slot, const std::string &Key,
                  bool Loaded, Actions &Out);
  void onUpstreamCheck(const Now &N, const UpstreamStatus &Status,
                       Actions &Out);
  /// To be called every few milliseconds.
  void onTimer(const Now &N, Actions &Out);
  /// Ownership of shards of the service's keys, as granted by the platform.
  void takeShard(const Now &N, uint32_t Shard, uint64_t FencingNumber);
  void dropShard(uint32_t Shard);
  void extendLease(Time Until) { Ledger.extendLease(Until); }
  void endLease() { Ledger.endLease(); }
  /// Who owns each shard, for hints to entries.
  void setShardOwners(std::unordered_map<uint32_t, std::string> Owners) {
    ShardOwners = std::move(Owners);
  }
  /// Stop taking new work, or take it again; what was taken is finished.
  void setDraining(bool On) { Draining = On; }

  // Queries.

  bool drained() const { return Runs.empty() && Queue->size() == 0; }
  bool draining() const { return Draining; }
  bool upstreamDown() const { return Down; }
  size_t running() const { return Runs.size(); }
  size_t waiting() const { return Queue->size(); }
  const SideCounters &counters() const { return Counters; }
  const SlotTable &slots() const { return *Slots; }
  const KeyLedger &ledger() const { return Ledger; }
  uint64_t generation() const { return Config->generation(); }
  /// The keyed calls that are waiting or running.
  size_t keyedInProgress() const { return KeyHolder.size(); }

private:
  // An attempt that waits or runs.
  struct Work {
    wire::Attempt Ask;
    std::string SlotKey;
    uint64_t SlotHash = 0;
    size_t Rank = 0;
    Time Arrived;
    Time Target;
    Time Deadline;
    Duration Service{};
    // The adapter was not there when the attempt came.
    bool Missed = false;
    // Attempts of the same key that get the same answer.
    std::vector<std::string> Joined;
  };

  // An attempt that the upstream runs.
  struct Run {
    std::optional<size_t> Slot;
    std::optional<AnswerCheck> Check;
    Time Started;
    Time LastProgress;
    Time FirstData{};
    unsigned Status = 0;
    std::string ContentType;
    std::string Body;
    bool HeadSent = false;
    // The connection broke; the outcome waits for a check of the upstream.
    bool Broken = false;
    // The caller has been told the end; the call goes on for its key's sake.
    bool Detached = false;
  };

  using WorkMap = std::unordered_map<std::string, Work>;

  // Intake.
  void onAttempt(const Now &N, const std::string &Peer, const wire::Attempt &A,
                 Actions &Out);
  void onCancel(const Now &N, const wire::Cancel &C, Actions &Out);
  void onResume(const Now &N, const std::string &Peer, const wire::Resume &R,
                Actions &Out);
  void onProbe(const Now &N, const std::string &Peer, const wire::Probe &P,
               Actions &Out);
  void onSuspectNotice(const Now &N, const wire::SuspectNotice &S,
                       Actions &Out);
  void refuseSuspects(const Now &N, Actions &Out);
  Code admissionProblem(const Now &N, const Work &W) const;
  bool claimKey(const Now &N, const wire::Attempt &A, Actions &Out);
  Work makeWork(const Now &N, const wire::Attempt &A, size_t Rank) const;
  WaitingItem waitingItem(const Now &N, const Work &W) const;
  void enqueue(const Now &N, Work W, Actions &Out);
  Duration expectedService(const wire::Attempt &A) const;
  Duration expectedWait(size_t Rank, uint64_t Slot) const;

  // Running.
  void startReady(const Now &N, Actions &Out);
  bool canStart(const WaitingItem &Item) const;
  void startRun(const Now &N, const std::string &Id, Actions &Out);
  void countStart(const Now &N, const Work &W);
  void endRun(const std::string &Id);
  void finishWork(const Now &N, const std::string &Id, wire::AttemptEvent Last,
                  Actions &Out);
  void refuseWork(const Now &N, const std::string &Id, Code Why, Actions &Out);
  void failWork(const Now &N, const std::string &Id, Code Why, Outcome Known,
                bool Suspect, Actions &Out);
  void learnFrom(const Now &N, const Run &R, const Work &W);
  void relaxLoadWaits();
  void expireWaiting(const Now &N, Actions &Out);
  void expireRunning(const Now &N, Actions &Out);

  // The upstream's health.
  void requestCheck(const Now &N, Actions &Out);
  void onCrash(const Now &N, Actions &Out);
  void settleBroken(const Now &N, Actions &Out);
  bool slotsAgree(const UpstreamStatus &Status) const;
  void adoptSlots(const UpstreamStatus &Status);

  // Loads.
  std::vector<LoadWant> loadWants(const Now &N) const;
  void planLoads(const Now &N, Actions &Out);
  bool beginLoad(const Now &N, const LoadWant &Want, Actions &Out);
  size_t slotReserve(size_t Rank) const;
  void onPermitRequest(const Now &N, const std::string &Peer,
                       const wire::LoadPermitRequest &R, Actions &Out);
  void onPermitGrant(const Now &N, const std::string &Peer,
                     const wire::LoadPermitGrant &G, Actions &Out);
  void grantPermits(const Now &N, Actions &Out);
  void releasePermit(const std::string &Broker, uint64_t Adapter, bool Loaded,
                     Actions &Out);

  // Messages.
  wire::Envelope envelope() const;
  void fillState(wire::SideState &S) const;
  void sendEvent(const std::string &Id, wire::AttemptEvent Event, Actions &Out);
  void sendRefusal(const Now &N, const std::string &Peer,
                   const wire::Attempt &A, Code Why, Outcome Known,
                   Actions &Out);
  void tellCell(const wire::Envelope &Message, Actions &Out);
  void log(LineClass Class, std::string Line, Actions &Out) const;

  void adoptSelf();
  void buildQueue();
  void buildLoads();
  void requeue(const Now &N, Actions &Out);
  std::vector<std::string> brokerNames() const;

  Options Opts;
  std::shared_ptr<const Declarations> Config;
  std::string Upstream;
  uint64_t Incarnation;
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
  WorkMap Works;
  std::unordered_map<std::string, Run> Runs;
  // The attempt that holds each claimed key.
  std::unordered_map<std::string, std::string> KeyHolder;
  std::unordered_map<uint32_t, std::string> ShardOwners;
  // Peer identity from which each side last asked for a permit.
  std::unordered_map<std::string, std::string> PermitPeers;
  // Broker that granted the load in progress of each adapter.
  std::unordered_map<uint64_t, std::string> LoadPermits;
  std::unordered_map<uint64_t, Time> LoadStarted;
  size_t IsolatedRunning = 0;
  bool Draining = false;
  bool Down = false;
  bool Checking = false;
  Time NextCheck{};
  Time NextPlan{};
  Time NextExpiry{};
  uint64_t CrashCount = 0;
  // Smoothed estimates.
  double TokenSeconds = 0.03;
  double ServiceSeconds = 0.05;
  std::vector<double> LoadWaitSeconds;
  SideCounters Counters;
};

/// Switches off one protection, so that a test can show that it is needed.
/// For tests only.
struct SideMutation {
  static void dropIsolation(SideMachine::Options &O) {
    O.IsolateSuspects = false;
  }
  static void dropPins(SideMachine::Options &O) { O.PinSlots = false; }
  static void dropLease(SideMachine::Options &O) { O.CheckLease = false; }
  static void dropAnswerCheck(SideMachine::Options &O) {
    O.CheckAnswers = false;
  }
  static void dropBarrier(SideMachine::Options &O) {
    KeyLedgerMutation::acceptOlderKeys(O.Ledger);
  }
};

} // namespace goldcrestlink::side

#endif // GOLDCRESTLINK_SIDE_SIDE_MACHINE_H
