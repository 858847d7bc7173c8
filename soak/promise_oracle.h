// Judges the promises made to callers from what callers and upstreams saw, as
// it happens: an answer belongs to its request and was run, work that may not
// be repeated runs once, a refusal is true, streams are in order and whole.
// What has a bound in time is judged only while nothing disturbs the system.
//
//   PromiseOracle O(OracleBounds{});
//   O.onSent(Now, {"r1", CallKind::Once, "/once/x", "body"});
//   O.onAnswer(Now, "r1", Answer);
//   for (const std::string &V : O.violations()) ...
#ifndef GOLDCRESTLINK_SOAK_PROMISE_ORACLE_H
#define GOLDCRESTLINK_SOAK_PROMISE_ORACLE_H

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>

#include "testing/platform_standin.h"

namespace goldcrestlink::soak {

/// Once may run once; Read may be repeated; Stream is not resumable; Extra is
/// Read on a route that configurations add and drop.
enum class CallKind { Once, Read, Stream, Extra };

/// How a call ended for its caller.
enum class CallEnd { Whole, Broken, Unanswered, LeftByCaller };

struct SentCall {
  std::string Id;
  CallKind Kind = CallKind::Read;
  size_t Entry = 0;
  std::string Target;
  std::string Body;
};

struct SeenAnswer {
  CallEnd End = CallEnd::Broken;
  /// 0 if no head came.
  unsigned Status = 0;
  std::string RequestId;
  std::string Signature;
  bool HasRetryAfter = false;
  std::string Body;
};

/// From the platform's rules and the settings of the processes under test.
struct OracleBounds {
  /// False where the machine may be too busy for any bound in time.
  bool Timed = true;
  Duration Drain = std::chrono::seconds(2);
  Duration Version = std::chrono::seconds(5);
  Duration Configuration = std::chrono::seconds(2);
  /// After the last byte of a request that is cut without being passed on.
  Duration LossSlack = std::chrono::milliseconds(500);
  /// For a caller's departure to reach the upstream.
  Duration Departure = std::chrono::milliseconds(500);
  size_t MaxAttempts = testing::PlatformStandIn::MaxAttempts;
  double RetryRatio = 0.2;
  double RetrySlack = 20;
  Duration RetryWindow = std::chrono::seconds(10);
  /// Less than this share of calls served, with nothing disturbed, is no
  /// recovery.
  double ServedShare = 0.25;
};

/// Thread-safe.
class PromiseOracle : public testing::UpstreamObserver {
public:
  explicit PromiseOracle(OracleBounds B) : Bounds(B) {}

  void onSent(Time Now, SentCall C);
  void onAnswer(Time Now, const std::string &Id, const SeenAnswer &A);

  void onRun(const testing::RunSeen &R) override;
  void onRunEnd(Time Now, const std::string &RequestId,
                const std::string &Upstream, testing::RunEnd How) override;
  void onViolation(const std::string &Upstream,
                   const std::string &What) override;
  /// What the upstream ran has ended with it.
  void onUpstreamCrash(const std::string &Upstream);
  /// A configuration was acknowledged that has the route of Extra, or not.
  void onConfiguration(Time Now, bool HasExtra);
  /// Calls through a disturbed entry may stay unanswered.
  void onDisturbed(Time Now, size_t Entry);
  /// From \p Now on nothing disturbs the system, until endUndisturbed().
  void beginUndisturbed(Time Now);
  void endUndisturbed();
  /// A finding of the harness itself, such as a process that ended.
  void report(const std::string &What);
  /// Judges what only the whole shows. Precondition: all calls have ended.
  void finish();

  std::vector<std::string> violations() const;
  /// Calls by how they ended and their status, for the report.
  std::map<std::string, size_t> outcomes() const;
  double servedShareUndisturbed() const;

private:
  struct Run {
    std::string Upstream;
    bool Lost = false;
    std::optional<testing::RunEnd> End;
  };
  struct CallRecord {
    SentCall Sent;
    Time SentAt{};
    bool SentUndisturbed = false;
    bool Answered = false;
    bool Arrived = false;
    bool RefusedAsNotRun = false;
    std::optional<Time> LeftAt;
    std::vector<Run> Runs;
  };
  struct Arrival {
    Time At;
    std::string Service;
    bool First;
  };

  void violate(const std::string &Rule, const std::string &Id,
               const std::string &What);
  void judgeAnswer(Time Now, CallRecord &C, const SeenAnswer &A);
  void judgeSuccess(const CallRecord &C, const SeenAnswer &A);
  void judgeOwnAnswer(CallRecord &C, const SeenAnswer &A);
  void judgeUnfinished(Time Now, const CallRecord &C, const SeenAnswer &A);
  void judgeStream(const CallRecord &C, const SeenAnswer &A);
  void judgeRun(const CallRecord &C, const testing::RunSeen &R);
  void judgeAttempts(const CallRecord &C);
  void judgeRetryBudget();
  bool undisturbedSince(Time T) const {
    return UndisturbedSince && *UndisturbedSince <= T;
  }
  /// Whether the configuration was in force everywhere when it was sent.
  bool routeIsCertain(const CallRecord &C) const;

  const OracleBounds Bounds;
  mutable std::mutex Mutex;
  std::unordered_map<std::string, CallRecord> Calls;
  std::map<std::string, size_t> Outcomes;
  std::vector<std::string> Found;
  std::vector<Arrival> Arrivals;
  std::optional<Time> UndisturbedSince;
  std::map<size_t, Time> DisturbedAt;
  Time ConfiguredAt{};
  bool HasExtra = false;
  size_t UndisturbedCalls = 0;
  size_t UndisturbedServed = 0;
};

} // namespace goldcrestlink::soak

#endif // GOLDCRESTLINK_SOAK_PROMISE_ORACLE_H
