// Stand-ins of the platform's upstreams: engines that hold adapters, give
// reports, take orders and stream events, and plain services. They crash, start
// again, fall silent and answer nonsense when told to.
//
//   UpstreamStandIn E(Io, Spec, Shared);
//   E.start();
//   E.crash();   // its connections close; what it ran is lost
#ifndef GOLDCRESTLINK_TESTING_UPSTREAM_STANDIN_H
#define GOLDCRESTLINK_TESTING_UPSTREAM_STANDIN_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "http/server.h"

namespace goldcrestlink::testing {

/// What one upstream has seen.
struct UpstreamTally {
  /// Request ids that it ran, in order.
  std::vector<std::string> Ran;
  /// Requests that named another instance, or an adapter it does not hold.
  int Misdirected = 0;
  /// Orders over its adapter slots, or without what the platform demands of
  /// them.
  int Violations = 0;
  /// Orders to unload an adapter in use, which wait for its runs.
  int UnloadsInUse = 0;
  int Orders = 0;
};

/// A request of a caller at the moment at which it reaches an upstream.
struct RunSeen {
  Time At{};
  /// False if the upstream rejects it without running it.
  bool Executed = true;
  std::string RequestId;
  std::string Upstream;
  std::string Target;
  std::string Body;
  /// Of an engine: the adapter, and how long a newer version has been out.
  std::string Adapter;
  Duration Outdated{};
  /// How long the upstream has been entered as draining or removed.
  Duration Leaving{};
};

enum class RunEnd { Whole, CallerGone, Crashed };

/// Hears what upstreams do, on the stand-ins' thread.
class UpstreamObserver {
public:
  virtual ~UpstreamObserver() = default;
  virtual void onRun(const RunSeen &) = 0;
  virtual void onRunEnd(Time Now, const std::string &RequestId,
                        const std::string &Upstream, RunEnd) = 0;
  /// An order or request that no correct side or entry sends.
  virtual void onViolation(const std::string &Upstream,
                           const std::string &What) = 0;
};

/// How requests of callers are answered: as they should be, never, with 500,
/// without the signature of an answer that was run, or in part.
enum class UpstreamFault { None, Silent, Failing, Unsigned, Torn };

/// What all upstreams of a deployment share. Not thread-safe.
struct UpstreamsShared {
  /// The newest version of each adapter and since when it is announced.
  struct Release {
    int Version = 1;
    Time Since{};
  };
  std::map<std::string, Release> Releases;
  UpstreamObserver *Observer = nullptr;
};

/// Not thread-safe: all on the thread of its io_context.
class UpstreamStandIn {
public:
  /// Adapters that an engine holds and loads at once.
  static constexpr size_t AdapterSlots = 2;

  struct Spec {
    std::string Id;
    std::string Service;
    http::Endpoint Listen;
    /// Where the store says that it is.
    http::Endpoint Published;
    bool IsEngine = false;
  };

  UpstreamStandIn(boost::asio::io_context &Io, Spec S, UpstreamsShared &Shared);
  ~UpstreamStandIn();

  /// Starts it, or starts it again under \p Id, knowing nothing of before.
  /// Precondition: it does not run.
  void start(const std::string &Id);
  /// All its connections close at once.
  void crash();
  /// An engine forgets what it holds; its connections stay.
  void forget();
  bool running() const { return Server != nullptr; }
  void setFault(UpstreamFault F) { Fault = F; }
  /// Since when its entry says that it leaves; Time{} if it does not.
  void setLeaving(Time Since) { LeavingSince = Since; }
  bool leaving() const { return LeavingSince != Time{}; }

  const Spec &spec() const { return S; }
  const UpstreamTally &tally() const { return Tally; }
  const std::map<std::string, int> &held() const { return Held; }
  uint64_t orderCount() const { return OrderCount; }

private:
  using Answer = std::shared_ptr<http::Responder>;
  struct Stream {
    std::string RequestId;
    std::string Adapter;
    Answer To;
    uint64_t Last = 0;
    bool Ended = false;
  };

  void onRequest(const http::Request &R, const Answer &A);
  void onCallerRequest(const http::Request &R, const Answer &A);
  void onPlain(const http::Request &R, const Answer &A);
  void onGeneration(const http::Request &R, const Answer &A);
  void onOrder(const http::Request &R, const Answer &A);
  void load(const std::string &Adapter);
  void unload(const std::string &Adapter);
  void streamNext(const std::shared_ptr<Stream> &S, uint64_t Next);
  void endStream(Stream &S, RunEnd How);
  void rejected(const http::Request &R);
  void seen(const http::Request &R, const std::string &Adapter, int Version);
  void ended(const std::string &RequestId, RunEnd How);
  void violation(const std::string &What);
  int newest(const std::string &Adapter) const;
  http::Headers signedFields(const http::Request &R) const;
  nlohmann::json report() const;

  boost::asio::io_context &Io;
  Spec S;
  UpstreamsShared &Shared;
  std::unique_ptr<http::Server> Server;
  std::vector<std::weak_ptr<http::Responder>> Answering;
  /// Kept, since an answer that is dropped closes its connection.
  std::vector<Answer> Unanswered;
  UpstreamTally Tally;
  UpstreamFault Fault = UpstreamFault::None;
  Time LeavingSince{};
  bool HasBase = true;
  uint64_t Born = 1;
  uint64_t OrderCount = 0;
  std::map<std::string, int> Held;
  std::set<std::string> Coming;
  std::multiset<std::string> InUse;
  /// To be dropped once its runs have ended; meanwhile orders are refused.
  std::string Unloading;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_UPSTREAM_STANDIN_H
