// The decisions of an entry about callers' requests: which upstream serves a
// request, when it waits, when it is sent again, and what the caller is told. A
// state machine without I/O, threads or clocks.
//
//   Forwarder F(Forwarder::Options(), Port, Seed);
//   F.onCatalog(N, Catalog);
//   F.onCall(N, Id, std::move(Call));    // every call gets exactly one end
//   F.onAdmission(N, UpstreamId, AskId, Reply);
//   F.onHead(N, Id, Send, Head);  F.onData(...);  F.onDone(...);
//   F.onTimer(N);
#ifndef GOLDCRESTLINK_FORWARD_FORWARDER_H
#define GOLDCRESTLINK_FORWARD_FORWARDER_H

#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/side_admission.h"
#include "base/line_class.h"
#include "base/random.h"
#include "catalog/catalog.h"
#include "forward/call.h"
#include "forward/engine_board.h"
#include "forward/event_splitter.h"
#include "forward/retry_allowance.h"
#include "forward/service_balancer.h"

namespace goldcrestlink::forward {

/// Why a call ended without an upstream's answer.
enum class EndReason {
  NoConfig,
  NoRoute,
  BadRequest,
  NoUpstream,
  Overloaded,
  NotAccepted,
  Broken,
  TimedOut,
  BadAnswer,
  TooMany
};

/// The word used for \p R in logs and metrics. Thread-safe.
std::string_view wordOf(EndReason R);

/// The outcome of a call that got a success, in logs and metrics.
constexpr std::string_view ServedOutcome = "served";

/// Names one send of one call.
struct SendId {
  uint64_t Call = 0;
  uint32_t Number = 0;
};

/// What a Forwarder asks its shell to do. Answers of a call that its caller
/// has left are dropped by the shell.
class ForwardPort {
public:
  virtual ~ForwardPort() = default;
  /// Asks the side beside \p Of.
  virtual void ask(const UpstreamRecord &Of, const AdmissionAsk &A) = 0;
  /// Tells the side that an asked or granted request has ended.
  virtual void endAsk(const UpstreamRecord &Of, uint64_t AskId,
                      Duration FirstToken) = 0;
  /// The side has not answered in time: its link may have gone silent.
  virtual void sideSilent(const UpstreamRecord &Of) = 0;
  virtual void send(SendId S, const CallerCall &C, const SendTerms &T) = 0;
  /// Closes the connection that carries the send, if it is still open.
  virtual void cancelSend(SendId S) = 0;
  virtual void answerWhole(uint64_t Call, unsigned Status,
                           const http::Headers &Fields, std::string Body) = 0;
  virtual void answerBegin(uint64_t Call, unsigned Status,
                           const http::Headers &Fields) = 0;
  virtual void answerData(uint64_t Call, std::string Part) = 0;
  virtual void answerEnd(uint64_t Call) = 0;
  /// Cuts the caller's connection, so that it sees the answer as incomplete.
  virtual void answerAbort(uint64_t Call) = 0;
  /// An answer of the system's own. \p RetryAfter zero: none.
  virtual void answerOwn(uint64_t Call, unsigned Status,
                         std::string_view RequestId, Duration RetryAfter,
                         EndReason Why) = 0;
  virtual void log(LineClass Class, std::string Line) = 0;
  /// One ended call, for metrics. \p FirstByte is zero if there was none.
  virtual void record(uint32_t Rank, std::string_view Outcome,
                      Duration FirstByte, Duration Total) = 0;
};

/// Not thread-safe: all calls on one thread.
class Forwarder {
public:
  class Options {
  public:
    const std::string &dataCentre() const { return DataCentre; }
    const RetryAllowance::Options &allowance() const { return Allowance; }
    size_t maxCalls() const { return MaxCalls; }
    size_t maxBuffered() const { return MaxBuffered; }
    Duration askTimeout() const { return AskTimeout; }
    uint32_t maxAsks() const { return MaxAsks; }
    double patienceShare() const { return PatienceShare; }
    Duration loadPatience() const { return LoadPatience; }
    double queueShare() const { return QueueShare; }
    Duration defaultTimeLeft() const { return DefaultTimeLeft; }
    Options &setDataCentre(std::string Name) {
      DataCentre = std::move(Name);
      return *this;
    }
    Options &setAllowance(RetryAllowance::Options O) {
      Allowance = O;
      return *this;
    }
    Options &setMaxCalls(size_t N) {
      MaxCalls = N;
      return *this;
    }

  private:
    std::string DataCentre;
    RetryAllowance::Options Allowance;
    size_t MaxCalls = 4096;
    // Answers that are not streams are held until they are whole.
    size_t MaxBuffered = 8 * 1024 * 1024;
    // A side answers within two network delays; a tenth of a second covers a
    // slowed machine.
    Duration AskTimeout = std::chrono::milliseconds(100);
    // Sides asked for one request before it is refused.
    uint32_t MaxAsks = 3;
    // Share of the route's objective that a request may wait at one side.
    double PatienceShare = 0.9;
    // How long a request may wait for an adapter that no engine holds: it would
    // take as long elsewhere, and a late answer is better than none.
    Duration LoadPatience = std::chrono::milliseconds(2500);
    // Share of the objective that a call to a plain service may wait here.
    double QueueShare = 0.6;
    // For callers that do not say how long they wait.
    Duration DefaultTimeLeft = std::chrono::seconds(60);
  };

  Forwarder(Options O, ForwardPort &Port, uint64_t Seed);

  // Commands.

  /// Takes over what is believed of the deployment.
  void onCatalog(Time N, std::shared_ptr<const Catalog> C);
  void onCall(Time N, uint64_t Id, CallerCall Call);
  void onCallerGone(Time N, uint64_t Id);
  void onAdmission(Time N, const std::string &UpstreamId, uint64_t AskId,
                   const AdmissionReply &R);
  void onLoad(Time N, const std::string &UpstreamId, const EngineLoad &L);
  /// Entries alive, this one included.
  void onEntries(size_t Count);
  void onHead(Time N, SendId S, AnswerHead Head);
  void onData(Time N, SendId S, std::string Part);
  void onDone(Time N, SendId S);
  void onError(Time N, SendId S, SendError E, std::string_view Why);
  /// To be called every few milliseconds.
  void onTimer(Time N);

  // Queries.

  size_t callsInProgress() const { return Calls.size(); }
  bool hasConfig() const { return Known && Known->config() != nullptr; }

private:
  enum class Stage { Queued, Asking, Waiting, Sent, Streaming };

  struct ActiveCall {
    uint64_t Id = 0;
    CallerCall Call;
    Stage At = Stage::Queued;
    std::string RouteName;
    std::string Service;
    Repeatability Repeat = Repeatability::AtMostOnce;
    bool Streaming = false;
    bool IsEngine = false;
    uint32_t Rank = 0;
    uint32_t MaxAttempts = 1;
    Duration Objective{};
    Time Arrived;
    Time Deadline;
    // Asked or sent to.
    UpstreamRecord Upstream;
    uint64_t AskId = 0;
    bool UpstreamHolds = false;
    Time StageUntil{};
    uint32_t Asks = 0;
    Duration ComeBack{};
    // A side said that no other engine would be quicker.
    bool OnlyHolders = false;
    Duration Patience{};
    uint32_t Sends = 0;
    // Some send may have run the request.
    bool MayHaveRun = false;
    uint64_t Version = 0;
    std::set<std::string> Tried;
    Time SentAt{};
    Time FirstByteAt{};
    AnswerHead Head;
    bool HeadSeen = false;
    bool HeadPassedOn = false;
    EventSplitter Events;
    std::string Buffered;
    // An upstream's own failure, passed on if no further send succeeds.
    bool HasFailure = false;
    AnswerHead FailureHead;
    std::string FailureBody;
  };

  using CallMap = std::unordered_map<uint64_t, ActiveCall>;

  const std::vector<const UpstreamRecord *> &
  upstreamsOf(const std::string &Service) const;
  bool isUsable(const std::string &UpstreamId) const;
  std::string pickService(const RouteSpec &R);
  void refuseOutright(uint64_t Id, const CallerCall &C, unsigned Status,
                      Duration RetryAfter, EndReason Why);

  // Plain services.
  void placePlain(Time N, ActiveCall &A);
  void serveQueue(Time N, const std::string &Service);

  // Engines.
  EngineWant wantOf(const ActiveCall &A) const;
  void placeEngine(Time N, ActiveCall &A);
  void prefetchHomes(Time N, const EngineWant &Want,
                     std::span<const EngineCandidate> Ranked);
  Duration patienceOf(Time N, const ActiveCall &A, bool HeldSomewhere) const;
  void askSide(Time N, ActiveCall &A, const EngineCandidate &C,
               bool HeldSomewhere);
  void leaveSide(ActiveCall &A);

  // Sends and their ends.
  void sendTo(Time N, ActiveCall &A, uint64_t Version);
  bool isCurrent(const ActiveCall &A, SendId S) const;
  ActiveCall *find(SendId S);
  void settleSend(Time N, ActiveCall &A, bool Failed);
  void onNotRun(Time N, ActiveCall &A);
  void onBroken(Time N, ActiveCall &A, EndReason Why);
  void onWhole(Time N, ActiveCall &A);
  bool maySendAgain(Time N, ActiveCall &A, bool AfterRun);
  void placeAgain(Time N, ActiveCall &A);

  // Ends. The call is gone afterwards.
  void passOnWhole(Time N, ActiveCall &A, const AnswerHead &H,
                   std::string Body);
  void fail(Time N, ActiveCall &A, EndReason Why);
  void erase(Time N, ActiveCall &A, std::string_view Outcome);
  Duration retryAfter(Time N, const ActiveCall &A);
  void schedule(Time When, uint64_t Id);
  void onDue(Time N, ActiveCall &A);
  std::string describe(const ActiveCall &A) const;

  Options Opts;
  ForwardPort &Port;
  Random Rand;
  std::shared_ptr<const Catalog> Known;
  std::map<std::string, std::vector<const UpstreamRecord *>> Ready;
  CallMap Calls;
  std::unordered_map<uint64_t, uint64_t> CallOfAsk;
  // From a random start, so that a number in the logs names one ask of one
  // entry.
  uint64_t NextAsk;
  EngineBoard Board;
  ServiceBalancer Balancer;
  std::map<std::string, RetryAllowance> Allowances;
  std::map<std::string, std::deque<uint64_t>> Queues;
  // When a home was last told to load an adapter, by both names.
  std::unordered_map<uint64_t, Time> Prefetched;
  using Due = std::pair<Time, uint64_t>;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> Timers;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_FORWARDER_H
