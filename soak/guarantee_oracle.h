// Test oracle that checks the guarantees given to callers, from the events that
// callers and upstreams report while the soak runs: each answer belongs to its
// request and was produced by an upstream, a request that must not be repeated
// runs at most once, a request that was refused as not run has not run, and
// streams are in order and complete. Time bounds are checked only while no
// fault is injected.
//
//   GuaranteeOracle Oracle(OracleBounds{});
//   Oracle.onSent(Now, {"r1", CallKind::Once, 0, "/once/x", "body"});
//   Oracle.onAnswer(Now, "r1", Answer);
//   Oracle.finish();
//   for (const std::string &Violation : Oracle.violations()) ...
#ifndef GOLDCRESTLINK_SOAK_GUARANTEE_ORACLE_H
#define GOLDCRESTLINK_SOAK_GUARANTEE_ORACLE_H

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

#include "testing/platform_standin.h"

namespace goldcrestlink::soak {

/// Once may run at most once; Read may be repeated; Stream cannot be resumed;
/// Extra is Read on a route that only some configurations contain.
enum class CallKind { Once, Read, Stream, Extra };

/// How a call ended for its caller: with a complete answer, with a connection
/// that broke, without an answer in time, or because the caller disconnected.
enum class CallEnd { Complete, Broken, Unanswered, CallerDisconnected };

struct SentCall {
  std::string Id;
  CallKind Kind = CallKind::Read;
  /// Index of the entry that the call was sent to.
  size_t Entry = 0;
  std::string Target;
  std::string Body;
  /// Upstreams crash on it. Repeats have the same body.
  bool Deadly = false;
};

struct ObservedAnswer {
  CallEnd End = CallEnd::Broken;
  /// 0 if no response head arrived.
  unsigned Status = 0;
  std::string RequestId;
  /// Set by the upstream; empty if the entry itself answered.
  std::string Signature;
  bool HasRetryAfter = false;
  std::string Body;
};

/// Taken from the platform's rules and the settings of the processes under
/// test.
struct OracleBounds {
  /// False disables all time bounds, for machines that may be too busy to meet
  /// them.
  bool Timed = true;
  /// How long requests may still reach an upstream after it starts to drain, is
  /// removed, or has said in an answer that it leaves.
  Duration Drain = std::chrono::seconds(2);
  /// How long after a release a superseded adapter version may still run.
  Duration Version = std::chrono::seconds(5);
  /// How long a new configuration may take to apply at all entries.
  Duration Configuration = std::chrono::seconds(2);
  /// How long after a request is sent its connection may still be closed
  /// without the request having been forwarded.
  Duration LossSlack = std::chrono::milliseconds(500);
  /// How long after a caller disconnects its request may still reach an
  /// upstream.
  Duration Disconnect = std::chrono::milliseconds(500);
  /// How long after the third crash of a repeated request, and after an
  /// upstream names a limit, entries may still act as before.
  Duration Contact = std::chrono::seconds(3);
  /// Runs of one deadly request after that.
  size_t LateDeadlyRuns = 3;
  /// Requests at an upstream within LimitWindow: LimitFactor times the limit
  /// that it names, and LimitSlack more.
  double LimitFactor = 1.5;
  double LimitSlack = 5;
  Duration LimitWindow = std::chrono::seconds(4);
  size_t MaxAttempts = testing::PlatformStandIn::MaxAttempts;
  /// Per service, within any RetryWindow: repeats may be at most RetryRatio
  /// times the first attempts, plus RetrySlack.
  double RetryRatio = 0.2;
  double RetrySlack = 20;
  Duration RetryWindow = std::chrono::seconds(10);
  /// If a smaller share of the calls sent during undisturbed phases is served,
  /// the system has not recovered.
  double MinServedShare = 0.25;
};

/// Thread-safe.
class GuaranteeOracle : public testing::UpstreamObserver {
public:
  explicit GuaranteeOracle(OracleBounds InBounds) : Bounds(InBounds) {}

  void onSent(Time Now, SentCall Call);
  void onAnswer(Time Now, const std::string &Id, const ObservedAnswer &Answer);

  void onRun(const testing::RunRecord &Observed) override;
  void onRunEnd(Time Now, const std::string &RequestId,
                const std::string &Upstream, testing::RunEnd End) override;
  void onViolation(const std::string &Upstream,
                   const std::string &Details) override;
  /// Marks the runs in progress at \p Upstream as lost.
  void onUpstreamCrash(const std::string &Upstream);
  /// The upstream names this limit from now on, in requests per second; 0:
  /// none.
  void onLimit(Time Now, const std::string &Upstream, int PerSecond);
  /// The platform accepted a configuration; \p Extra tells whether it contains
  /// the route of CallKind::Extra.
  void onConfiguration(Time Now, bool Extra);
  /// A fault that affects \p Entry began or ended. Calls sent through it before
  /// \p Now may stay unanswered.
  void onDisturbed(Time Now, size_t Entry);
  /// No fault is injected from \p Now until endUndisturbed().
  void beginUndisturbed(Time Now);
  void endUndisturbed();
  /// Adds a violation that the harness found, such as a process that ended.
  void report(const std::string &Details);
  /// Runs the checks that need all events: that each call ended, the retry
  /// budget and the share of calls served. Precondition: no call is in
  /// progress.
  void finish();

  std::vector<std::string> violations() const;
  /// Number of calls by how they ended and their status, for the report.
  std::map<std::string, size_t> outcomes() const;
  double servedShareUndisturbed() const;

private:
  struct Run {
    std::string Upstream;
    /// The upstream crashed before the run ended.
    bool Lost = false;
    std::optional<testing::RunEnd> End;
  };
  struct CallRecord {
    SentCall Sent;
    Time SentAt{};
    bool SentUndisturbed = false;
    bool Answered = false;
    /// Whether the request has reached an upstream.
    bool Arrived = false;
    bool RefusedAsNotRun = false;
    std::optional<Time> DisconnectedAt;
    std::vector<Run> Runs;
  };
  /// A request that reached an upstream, whether it ran or was rejected.
  struct Arrival {
    Time At;
    std::string Upstream;
    std::string Service;
    /// False if the request had reached an upstream before.
    bool IsFirst;
  };

  struct DeadlyRequest {
    size_t Crashes = 0;
    Time ThirdCrashAt{};
    size_t LateRuns = 0;
  };
  /// A limit that was named while no fault was injected.
  struct NamedLimit {
    std::string Upstream;
    int PerSecond = 0;
    Time From{};
    Time To{};
  };

  void addViolation(const std::string &Rule, const std::string &Id,
                    const std::string &Details);
  void checkAnswer(Time Now, CallRecord &Record, const ObservedAnswer &Answer);
  void checkSuccess(const CallRecord &Record, const ObservedAnswer &Answer);
  void checkEntryAnswer(CallRecord &Record, const ObservedAnswer &Answer);
  void checkUnfinished(Time Now, const CallRecord &Record,
                       const ObservedAnswer &Answer);
  void checkStream(const CallRecord &Record, const ObservedAnswer &Answer);
  void checkRun(const CallRecord &Record, const testing::RunRecord &Observed);
  void checkAttempts(const CallRecord &Record);
  void checkRetryBudget();
  void checkDeadlyRun(const CallRecord &Record,
                      const testing::RunRecord &Observed);
  void checkLimits();
  void markLost(const std::string &Upstream);
  bool undisturbedSince(Time From) const {
    return UndisturbedSince && *UndisturbedSince <= From;
  }
  /// Whether the current configuration must have been applied at all entries
  /// before the call was sent.
  bool routeIsSettled(const CallRecord &Record) const;

  const OracleBounds Bounds;
  mutable std::mutex Mutex;
  std::unordered_map<std::string, CallRecord> Calls;
  std::map<std::string, size_t> Outcomes;
  std::vector<std::string> Violations;
  std::vector<Arrival> Arrivals;
  /// By body.
  std::map<std::string, DeadlyRequest> DeadlyRequests;
  std::map<std::string, NamedLimit> OpenLimits;
  std::vector<NamedLimit> EndedLimits;
  std::optional<Time> UndisturbedSince;
  /// By entry: when a fault that affects it last began or ended.
  std::map<size_t, Time> DisturbedAt;
  /// When the route of CallKind::Extra was last added or removed.
  Time ConfiguredAt{};
  bool HasExtraRoute = false;
  size_t UndisturbedCalls = 0;
  size_t UndisturbedServed = 0;
};

} // namespace goldcrestlink::soak

#endif // GOLDCRESTLINK_SOAK_GUARANTEE_ORACLE_H
