// Stand-ins for the platform's upstreams: engines, which hold adapters, serve
// reports, execute orders and stream events, and plain services. A test can
// make them crash, restart, stop answering or answer faultily.
//
//   UpstreamStandIn Engine(Io, Spec, Shared);
//   Engine.start("e0");
//   Engine.crash();   // closes its connections; its runs are lost
#ifndef GOLDCRESTLINK_TESTING_UPSTREAM_STANDIN_H
#define GOLDCRESTLINK_TESTING_UPSTREAM_STANDIN_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "http/server.h"

namespace goldcrestlink::testing {

/// What one upstream has received and executed.
struct UpstreamTally {
  /// Ids of the requests that it executed, in order.
  std::vector<std::string> Ran;
  /// Rejected requests: they named another instance, or an adapter or version
  /// that the upstream does not hold or is about to unload.
  int Misdirected = 0;
  /// Orders that exceed the adapter slots or the concurrent loads, or that lack
  /// a field which the platform requires.
  int Violations = 0;
  /// Orders to unload an adapter in use. They take effect when its runs end.
  int UnloadsInUse = 0;
  int Orders = 0;
  /// The fields Tenant and Authorization of these requests, by id; empty if
  /// there was none.
  std::map<std::string, std::pair<std::string, std::string>> Credentials;
  /// When callers' requests arrived, executed or rejected.
  std::vector<Time> Arrivals;
  /// Crashes caused by a request.
  int Crashes = 0;
};

/// A caller's request as it reaches an upstream.
struct RunRecord {
  Time At{};
  /// False if the upstream rejects it without running it.
  bool Executed = true;
  std::string RequestId;
  std::string Upstream;
  std::string Target;
  std::string Body;
  /// For an engine: the adapter, and how long ago a newer version than the one
  /// used was announced; zero if there is none.
  std::string Adapter;
  Duration Outdated{};
  /// How long the store has shown the upstream as draining, or not at all; zero
  /// if it shows the upstream as ready.
  Duration Draining{};
  /// How long ago the upstream has first said in an answer that it leaves; zero
  /// if it has not.
  Duration Leaving{};
};

/// How a run ended: answered in full, its caller disconnected, or cut off.
enum class RunEnd { Complete, CallerGone, Crashed };

/// Notified of what upstreams do, on the thread of the stand-ins.
class UpstreamObserver {
public:
  virtual ~UpstreamObserver() = default;
  /// A caller's request has reached an upstream, executed or rejected.
  virtual void onRun(const RunRecord &) = 0;
  virtual void onRunEnd(Time Now, const std::string &RequestId,
                        const std::string &Upstream, RunEnd) = 0;
  /// An upstream received an order that no correct side sends.
  virtual void onViolation(const std::string &Upstream,
                           const std::string &What) = 0;
};

/// How an upstream answers requests of callers: correctly, never, with 500,
/// without the signature that marks an executed request, or with a part of the
/// answer after which the connection is closed.
enum class UpstreamFault { None, Silent, Failing, Unsigned, Truncated };

/// What a connection to an upstream meets that a request has crashed: the port
/// refuses it at once, it is accepted for a while longer and then closed, or
/// the upstream is back already.
enum class CrashKind { Refused, AcceptedForAWhile, BackAtOnce };

class UpstreamStandIn;

/// State that all upstreams of a deployment share. Not thread-safe.
struct UpstreamsShared {
  /// The newest version of an adapter, and when it was announced.
  struct Release {
    int Version = 1;
    Time Since{};
  };
  std::map<std::string, Release> Releases;
  /// An upstream crashes when it begins to answer a request with this part in
  /// its prompt, not counting the last part, or with a body that begins with
  /// this. Empty: none.
  std::string DeadlyPart;
  std::string DeadlyBody;
  CrashKind HowDeadlyCrash = CrashKind::Refused;
  /// Called when an upstream has started again after such a crash.
  std::function<void(const UpstreamStandIn &)> OnRestarted;
  UpstreamObserver *Observer = nullptr;
};

/// Not thread-safe: to be used on the thread that runs its io_context.
class UpstreamStandIn {
public:
  /// Number of adapters that an engine can hold, including those it is loading.
  static constexpr size_t AdapterSlots = 2;
  /// A plain service takes SlowRun for a request whose body begins so.
  static constexpr std::string_view SlowBody = "slow";
  static constexpr auto SlowRun = std::chrono::milliseconds(200);

  struct Spec {
    std::string Id;
    std::string Service;
    http::Endpoint Listen;
    /// The address in the store.
    http::Endpoint Published;
    bool IsEngine = false;
  };

  UpstreamStandIn(boost::asio::io_context &Io, Spec Description,
                  UpstreamsShared &Shared);
  ~UpstreamStandIn();

  /// Starts or restarts the upstream under \p Id, without a fault.
  /// Precondition: the upstream is not running.
  void start(const std::string &Id);
  /// Closes all connections, drops all runs and resets the state.
  void crash();
  /// Resets an engine to holding no model or adapter, as a restart of its
  /// process would; its connections stay open.
  void resetState();
  bool running() const { return Server != nullptr; }
  void setFault(UpstreamFault F) { Fault = F; }
  /// The limit that answers name, in requests per second; empty: none.
  void setLimit(std::string PerSecond) { Limit = std::move(PerSecond); }
  /// The version of its software, as in its record and in the events of
  /// streams that may be resumed.
  void setSoftwareVersion(std::string Version) {
    SoftwareVersion = std::move(Version);
  }
  const std::string &softwareVersion() const { return SoftwareVersion; }
  /// Every answer says that the upstream leaves, until it is started again. Its
  /// record does not change.
  void setLeaving() { Leaves = true; }
  /// The upstream turns callers' requests away with this Retry-After, a number
  /// of seconds; empty: it serves them.
  void setRetryAfter(std::string Seconds) { RetryAfter = std::move(Seconds); }
  /// Sets when the store began to show the upstream as draining or removed;
  /// Time{} if it shows the upstream as ready.
  void setDraining(Time Since) { DrainingSince = Since; }
  bool draining() const { return DrainingSince != Time{}; }

  const Spec &spec() const { return Description; }
  const UpstreamTally &tally() const { return Tally; }
  const std::map<std::string, int> &held() const { return Held; }
  uint64_t orderCount() const { return OrderCount; }
  /// Stands for the time of the start; "born" in reports and records.
  uint64_t incarnation() const { return Incarnation; }

private:
  using ResponderPtr = std::shared_ptr<http::Responder>;
  /// An answer in progress, sent event by event.
  struct Stream {
    std::string RequestId;
    std::string Adapter;
    ResponderPtr To;
    /// Content of each event.
    std::string Data;
    /// The number of the last event.
    uint64_t Last = 0;
    bool Ended = false;
  };

  void onRequest(const http::Request &Request, const ResponderPtr &Responder);
  bool isDeadly(const http::Request &Request) const;
  /// Crashes when the answer to a request begins, and starts again later.
  void crashOn(const std::string &RequestId);
  void restartAfterCrash();
  /// Cuts off all requests in progress.
  void abortRequests();
  void onCallerRequest(const http::Request &Request,
                       const ResponderPtr &Responder);
  void onPlain(const http::Request &Request, const ResponderPtr &Responder);
  void onGeneration(const http::Request &Request,
                    const ResponderPtr &Responder);
  void onOrder(const http::Request &Request, const ResponderPtr &Responder);
  void load(const std::string &Adapter);
  void unload(const std::string &Adapter);
  void streamNext(const std::shared_ptr<Stream> &Open, uint64_t Next);
  void endStream(Stream &Open, RunEnd How);
  void reportRejection(const http::Request &Request);
  void reportRun(const http::Request &Request, const std::string &Adapter,
                 int Version);
  void reportRunEnd(const std::string &RequestId, RunEnd How);
  void reportViolation(const std::string &What);
  int newestVersion(const std::string &Adapter) const;
  /// Adds what the upstream says of itself in every answer.
  http::Headers withNotices(http::Headers Fields) const;
  http::Headers signedFields(const http::Request &Request) const;
  nlohmann::json report() const;

  boost::asio::io_context &Io;
  Spec Description;
  UpstreamsShared &Shared;
  std::unique_ptr<http::Server> Server;
  std::vector<std::weak_ptr<http::Responder>> OpenResponders;
  /// Held open for UpstreamFault::Silent: destroying a responder closes its
  /// connection.
  std::vector<ResponderPtr> Unanswered;
  UpstreamTally Tally;
  UpstreamFault Fault = UpstreamFault::None;
  std::string Limit;
  std::string RetryAfter;
  std::string SoftwareVersion = "v1";
  Time DrainingSince{};
  bool Leaves = false;
  /// When the first answer said so.
  mutable Time LeavingSince{};
  /// The upstream has crashed and its port is still open.
  bool Dying = false;
  bool HasBaseModel = true;
  /// Incremented by each reset of the state; "born" in reports.
  uint64_t Incarnation = 1;
  uint64_t OrderCount = 0;
  /// Loaded adapters and their versions.
  std::map<std::string, int> Held;
  /// Adapters that are being loaded.
  std::set<std::string> Loading;
  /// The adapter of each stream in progress.
  std::multiset<std::string> InUse;
  /// The adapter to unload once its runs have ended; until then orders are
  /// refused. Empty if there is none.
  std::string Unloading;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_UPSTREAM_STANDIN_H
