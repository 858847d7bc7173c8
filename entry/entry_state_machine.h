// State machine of an entry: chooses the side that runs a request, handles late
// and lost replies, and decides what the caller receives. It does no I/O,
// starts no threads and reads no clock; a process may run several, one per
// thread.
//
//   EntryStateMachine Machine(EntryStateMachine::Options(), Config, "dc-1",
//                             Seed);
//   Actions Out;
//   Machine.onRequest(Now, std::move(Request), Out);
//   Machine.onEnvelope(Now, "engine-1", Envelope, Out);
//   Machine.onTimer(Now, Out);
#ifndef GOLDCRESTLINK_ENTRY_ENTRY_STATE_MACHINE_H
#define GOLDCRESTLINK_ENTRY_ENTRY_STATE_MACHINE_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/pause_meter.h"
#include "base/process_delays.h"
#include "base/random.h"
#include "base/stop_schedule.h"
#include "config/declarations.h"
#include "entry/actions.h"
#include "routing/candidate_choice.h"
#include "routing/retry_budget.h"
#include "routing/side_view.h"

namespace goldcrestlink::entry {

/// Not thread-safe: all calls on one thread.
class EntryStateMachine {
public:
  class Options {
  public:
    size_t maxRequests() const { return MaxRequests; }
    uint32_t maxAttempts() const { return MaxAttempts; }
    Duration probeTimeout() const { return ProbeTimeout; }
    Duration retryBackoff() const { return RetryBackoff; }
    Duration deadlineMargin() const { return DeadlineMargin; }
    Duration callBackTime() const { return CallBackTime; }
    const SideView::Options &sideView() const { return View; }
    bool countOpenAttempts() const { return CountOpenAttempts; }
    bool handleSilentSides() const { return HandleSilentSides; }
    const ChoiceStrategy &strategy() const { return *Strategy; }
    Options &setMaxRequests(size_t Limit) {
      MaxRequests = Limit;
      return *this;
    }
    Options &setMaxAttempts(uint32_t Limit) {
      MaxAttempts = Limit;
      return *this;
    }
    Options &setSideView(SideView::Options NewView) {
      View = NewView;
      return *this;
    }
    /// Precondition: \p NewStrategy outlives the state machine.
    Options &setStrategy(const ChoiceStrategy &NewStrategy) {
      Strategy = &NewStrategy;
      return *this;
    }

  private:
    friend struct EntryMutation;
    size_t MaxRequests = 16384;
    uint32_t MaxAttempts = 4;
    Duration ProbeTimeout = std::chrono::milliseconds(40);
    // Backoff before a request is retried after a failure that is expected to
    // end soon.
    Duration RetryBackoff = std::chrono::milliseconds(150);
    // Sides end an attempt this long before the caller's deadline, so that
    // their report on whether it ran reaches the entry in time.
    Duration DeadlineMargin = std::chrono::milliseconds(100);
    // Before all requests have to be answered at a stop, those that wait at a
    // side are called back: the side's answer tells that they have not run.
    Duration CallBackTime = std::chrono::milliseconds(250);
    SideView::Options View;
    const ChoiceStrategy *Strategy = findChoiceStrategy("adaptive");
    // Only EntryMutation switches these off. CountOpenAttempts: the outcome of
    // a request is unknown if an attempt was abandoned or is still open.
    // HandleSilentSides: a side that sends nothing is probed, and requests are
    // sent to another side if it is unreachable.
    bool CountOpenAttempts = true;
    bool HandleSilentSides = true;
  };

  /// \p Cell is the cell whose upstreams this entry prefers. \p Seed makes ids
  /// unique across incarnations and seeds the random choices.
  EntryStateMachine(Options Opts, std::shared_ptr<const Declarations> Config,
                    std::string Cell, uint64_t Seed);

  // Commands.

  /// Replaces the declarations. Precondition: \p Config has no lower generation
  /// than the current one.
  void onConfig(std::shared_ptr<const Declarations> Config);
  /// Accepts or refuses a caller's request. Every request ends exactly once.
  /// Precondition: no request in progress has the same id.
  void onRequest(const CurrentTime &Now, CallerRequest Request, Actions &Out);
  /// The caller disconnected. Ends the request; the open attempt of an
  /// idempotent request is cancelled.
  void onCallerGone(const CurrentTime &Now, const std::string &RequestId,
                    Actions &Out);
  /// Handles a message from the side beside \p Upstream.
  void onEnvelope(const CurrentTime &Now, const std::string &Upstream,
                  const wire::Envelope &Message, Actions &Out);
  /// The attempt could not be passed to a connection and was not sent.
  void onSendFailed(const CurrentTime &Now, const std::string &AttemptId,
                    Actions &Out);
  /// Replaces the sets of upstreams that the platform lists as draining or as
  /// gone.
  void onMembership(const std::set<std::string> &Draining,
                    const std::set<std::string> &Gone);
  /// The process stops: requests that cannot end before it does are refused,
  /// and all whose answer has not begun are answered when the schedule says.
  /// Later calls do nothing.
  void onStop(const StopSchedule &Schedule);
  /// Ends requests at their deadline, performs due retries and checks for
  /// silent sides. To be called every few milliseconds.
  void onTimer(const CurrentTime &Now, Actions &Out);

  // Queries.

  size_t requestsInProgress() const { return Requests.size(); }
  uint64_t generation() const { return Config->generation(); }
  /// Describes the candidates for a request for this adapter version, one per
  /// line.
  std::string explain(const CurrentTime &Now, std::string_view Adapter,
                      std::string_view Version) const;
  /// Upstreams of the entry's cell that new requests may be sent to.
  std::vector<std::string> availableUpstreams(const CurrentTime &Now) const;

private:
  // One attempt to run a request, at one side.
  struct Attempt {
    std::string RequestId;
    std::string Upstream;
    uint32_t NextSequence = 0;
    // The side's incarnation when the attempt was sent; 0 if not known.
    uint64_t Incarnation = 0;
    bool SideResponded = false;
  };

  struct ActiveRequest {
    CallerRequest Request;
    RankDecl Rank;
    UpstreamKind Kind = UpstreamKind::Engine;
    // Base model, or name of the plain service.
    std::string Group;
    bool Idempotent = true;
    bool KeyFromCaller = false;
    uint64_t Fingerprint = 0;
    uint64_t SlotHash = 0;
    // Milliseconds since the Unix epoch.
    int64_t ReceivedMs = 0;
    Time Arrived;
    Time Target;
    Time Deadline;
    Time FirstByte{};
    PauseMeter Pauses;
    // Id of the open attempt; empty while the request waits for probe replies
    // or for the end of a backoff.
    std::string OpenAttempt;
    uint32_t AttemptCount = 0;
    // Upstreams that are not chosen again until this set is cleared.
    std::set<std::string> TriedUpstreams;
    // Suspected of crashing its upstream; sent only where it runs alone.
    bool Isolated = false;
    // Head of the streamed answer. It is delivered with the first data, so that
    // the request can still be retried if the stream breaks before that.
    unsigned HeadStatus = 0;
    std::string HeadContentType;
    bool HeadDelivered = false;
    // Some attempt may have run (MayHaveRun) or did run (Ran).
    bool MayHaveRun = false;
    bool Ran = false;
    // The last refusal stated that the key did not run.
    bool ConfirmedNotRun = false;
    // Code of the last refusal or failure.
    Code LastFailure = Code::NoUpstream;
    std::string OwnerHint;
    // When to choose a side again; zero if no retry is scheduled.
    Time RetryAt{};
    // Empty if no probes are outstanding.
    std::string ProbeRoundId;
  };

  // The probes sent to choose the side of one attempt.
  struct ProbeRound {
    std::string RequestId;
    std::vector<std::string> Upstreams;
    std::vector<Candidate> Candidates;
    size_t ReplyCount = 0;
    Time Deadline;
  };

  // Acceptance. These look the names of the request up in the declarations and
  // return the code of the refusal, or None.
  Code classify(ActiveRequest &Active) const;
  Code classifyCompletion(ActiveRequest &Active, std::string &RankName) const;
  Code classifyRoute(ActiveRequest &Active, std::string &RankName) const;

  // Choice of a side.
  void route(const CurrentTime &Now, const std::string &Id, Actions &Out);
  void routeCompletion(const CurrentTime &Now, ActiveRequest &Active,
                       Actions &Out);
  void routeIsolated(const CurrentTime &Now, ActiveRequest &Active,
                     Actions &Out);
  void routeService(const CurrentTime &Now, ActiveRequest &Active,
                    Actions &Out);
  void routeKeyed(const CurrentTime &Now, ActiveRequest &Active, Actions &Out);
  std::vector<const UpstreamDecl *>
  candidateUpstreams(const CurrentTime &Now, const ActiveRequest &Active) const;
  std::vector<const UpstreamDecl *>
  usableUpstreams(const CurrentTime &Now, const ActiveRequest &Active,
                  std::string_view InCell) const;
  Candidate makeCandidate(const UpstreamDecl &U, uint64_t SlotHash) const;
  void startProbes(const CurrentTime &Now, ActiveRequest &Active,
                   const std::vector<const UpstreamDecl *> &Eligible,
                   Actions &Out);
  void finishProbes(const CurrentTime &Now, const std::string &RoundId,
                    Actions &Out);
  void send(const CurrentTime &Now, ActiveRequest &Active,
            const std::string &Upstream, std::string_view Reason, Actions &Out);
  void backOff(const CurrentTime &Now, ActiveRequest &Active);

  // Replies.
  void onEvent(const CurrentTime &Now, const std::string &Upstream,
               const wire::AttemptEvent &Event, Actions &Out);
  void onProbeReply(const CurrentTime &Now, const std::string &Upstream,
                    const wire::ProbeReply &Reply, Actions &Out);
  void onRefused(const CurrentTime &Now, ActiveRequest &Active,
                 const Attempt &Refused, const wire::AttemptEvent &Event,
                 Actions &Out);
  void onFailed(const CurrentTime &Now, ActiveRequest &Active,
                const wire::AttemptEvent &Event, Actions &Out);
  void onDone(const CurrentTime &Now, ActiveRequest &Active,
              const wire::AttemptEvent &Event, Actions &Out);
  void retryOrFail(const CurrentTime &Now, ActiveRequest &Active, Actions &Out);
  static bool isLost(const Attempt &Sent, const wire::AttemptEvent &Event);
  void deliverHead(ActiveRequest &Active, Actions &Out);
  void closeAttempt(const std::string &AttemptId);
  void abandonAttempt(ActiveRequest &Active, Actions &Out);

  // Silent sides.
  void checkSilentSides(const CurrentTime &Now, Actions &Out);
  void probeAndResume(const CurrentTime &Now, const std::string &Upstream,
                      Actions &Out);
  void failOver(const CurrentTime &Now, const std::string &Upstream,
                Actions &Out);

  // Stop of the process.
  /// Whether requests are no longer placed.
  bool isCallingBack(const CurrentTime &Now) const;
  /// Calls back the requests that have no answer yet, then answers them all.
  void stepStop(const CurrentTime &Now, Actions &Out);

  // Completion.
  void fail(const CurrentTime &Now, const std::string &Id, Code Why,
            Actions &Out);
  void finish(const CurrentTime &Now, const std::string &Id, Code Why,
              Outcome Known, Actions &Out);
  Outcome outcomeOf(const ActiveRequest &Active) const;
  std::string nextId();
  wire::Envelope envelope() const;

  Options Opts;
  std::shared_ptr<const Declarations> Config;
  std::string Cell;
  uint64_t Seed;
  Random Rand;
  uint64_t IdCounter = 0;
  RetryBudget Budget;
  ProcessDelays Delays;
  std::unordered_map<std::string, ActiveRequest> Requests;
  std::unordered_map<std::string, Attempt> Attempts;
  // Ids of open attempts, by upstream.
  std::unordered_map<std::string, std::set<std::string>> OpenAttemptsBySide;
  std::unordered_map<std::string, ProbeRound> ProbeRounds;
  std::unordered_map<std::string, SideView> Views;
  // Last known owner of each shard of each service.
  std::unordered_map<std::string, std::string> ShardOwner;
  std::set<std::string> ListedDraining;
  std::set<std::string> ListedGone;
  std::optional<StopSchedule> Stop;
  bool CalledBack = false;
};

/// Switches off one protection, so that a test can show that it is needed.
/// For tests only.
struct EntryMutation {
  static void ignoreOpenAttempts(EntryStateMachine::Options &O) {
    O.CountOpenAttempts = false;
  }
  static void ignoreSilence(EntryStateMachine::Options &O) {
    O.HandleSilentSides = false;
  }
};

} // namespace goldcrestlink::entry

#endif // GOLDCRESTLINK_ENTRY_ENTRY_STATE_MACHINE_H
