// The decisions of an entry: which side runs a request, what to do when an
// answer is late or lost, and what the caller is told. A state machine without
// I/O, threads or clocks; several may serve side by side, one per thread.
//
//   EntryMachine M(EntryMachine::Options(), Declarations, "dc-1", Seed);
//   Actions Out;
//   M.onRequest(Now, std::move(Request), Out);
//   M.onEnvelope(Now, "engine-1", Envelope, Out);
//   M.onTimer(Now, Out);
#ifndef GOLDCRESTLINK_ENTRY_ENTRY_MACHINE_H
#define GOLDCRESTLINK_ENTRY_ENTRY_MACHINE_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "config/declarations.h"
#include "entry/actions.h"
#include "routing/candidate_choice.h"
#include "routing/retry_budget.h"
#include "routing/side_view.h"

namespace goldcrestlink::entry {

/// Not thread-safe: all calls on one thread.
class EntryMachine {
public:
  class Options {
  public:
    size_t maxRequests() const { return MaxRequests; }
    uint32_t maxAttempts() const { return MaxAttempts; }
    Duration probeTimeout() const { return ProbeTimeout; }
    Duration keyRetryPause() const { return KeyRetryPause; }
    Duration deadlineGrace() const { return DeadlineGrace; }
    const SideView::Options &sideView() const { return View; }
    bool countOpenAttempts() const { return CountOpenAttempts; }
    bool recoverSilence() const { return RecoverSilence; }
    const ChoiceStrategy &strategy() const { return *Strategy; }
    Options &setMaxRequests(size_t N) {
      MaxRequests = N;
      return *this;
    }
    Options &setMaxAttempts(uint32_t N) {
      MaxAttempts = N;
      return *this;
    }
    Options &setSideView(SideView::Options O) {
      View = O;
      return *this;
    }
    /// Precondition: \p S outlives the machine.
    Options &setStrategy(const ChoiceStrategy &S) {
      Strategy = &S;
      return *this;
    }

  private:
    friend struct EntryMutation;
    size_t MaxRequests = 16384;
    uint32_t MaxAttempts = 4;
    Duration ProbeTimeout = std::chrono::milliseconds(40);
    Duration KeyRetryPause = std::chrono::milliseconds(150);
    // Sides end an attempt this much before the caller's deadline, so that
    // their word on whether it ran arrives in time.
    Duration DeadlineGrace = std::chrono::milliseconds(100);
    SideView::Options View;
    const ChoiceStrategy *Strategy = findChoiceStrategy("adaptive");
    // Always on outside tests.
    bool CountOpenAttempts = true;
    bool RecoverSilence = true;
  };

  /// \p Cell is the cell whose upstreams this entry uses. \p Seed makes ids
  /// unique between incarnations and feeds random choices.
  EntryMachine(Options O, std::shared_ptr<const Declarations> Config,
               std::string Cell, uint64_t Seed);

  // Commands.

  /// New declarations are in force.
  void onConfig(std::shared_ptr<const Declarations> Config);
  /// A caller's request. Every request gets exactly one end.
  void onRequest(const Now &N, CallerRequest R, Actions &Out);
  /// The caller went away: its work is cancelled where that is safe.
  void onCallerGone(const Now &N, const std::string &RequestId, Actions &Out);
  /// A message from the side beside \p Upstream.
  void onEnvelope(const Now &N, const std::string &Upstream,
                  const wire::Envelope &Message, Actions &Out);
  /// An attempt could not be handed to a connection: it has not left.
  void onSendFailed(const Now &N, const std::string &AttemptId, Actions &Out);
  /// The platform's list of instances, as far as it concerns upstreams.
  void onMembership(const std::set<std::string> &Leaving,
                    const std::set<std::string> &Gone);
  /// To be called every few milliseconds.
  void onTimer(const Now &N, Actions &Out);

  // Queries.

  size_t requestsInProgress() const { return Requests.size(); }
  uint64_t generation() const { return Config->generation(); }
  /// Why a request for this adapter would go where, one line per candidate.
  std::string explain(const Now &N, std::string_view Adapter,
                      std::string_view Version) const;
  /// Upstreams that new work may go to now.
  std::vector<std::string> availableUpstreams(const Now &N) const;

private:
  // One try at one side.
  struct Attempt {
    std::string RequestId;
    std::string Upstream;
    uint32_t NextSequence = 0;
    // The side's incarnation when the attempt left; 0 if not known.
    uint64_t Incarnation = 0;
    bool Heard = false;
  };

  struct ActiveRequest {
    CallerRequest Ask;
    RankDecl Rank;
    UpstreamKind Kind = UpstreamKind::Engine;
    std::string Group;
    bool Idempotent = true;
    bool KeyFromCaller = false;
    uint64_t Fingerprint = 0;
    uint64_t SlotHash = 0;
    int64_t ReceivedMs = 0;
    Time Arrived;
    Time Target;
    Time Deadline;
    Time FirstByte{};
    // The open attempt; empty while the request waits for probes or a pause.
    std::string Open;
    uint32_t Attempts = 0;
    std::set<std::string> Tried;
    bool Isolated = false;
    // The stream's head as it came; passed on with the first data, so that an
    // attempt which breaks before that can still be tried elsewhere.
    unsigned HeadStatus = 0;
    std::string HeadType;
    bool HeadDelivered = false;
    // Some attempt may have run, or did.
    bool MaybeRan = false;
    bool Ran = false;
    // The owner's word that the key did not run.
    bool Attested = false;
    Code LastProblem = Code::NoUpstream;
    std::string OwnerHint;
    // When to choose a side again; none if zero.
    Time RetryAt{};
    std::string ProbeRound;
  };

  // Probes of one decision.
  struct ProbeRound {
    std::string RequestId;
    std::vector<std::string> Upstreams;
    std::vector<Candidate> Candidates;
    size_t Answered = 0;
    Time Until;
  };

  // Intake.
  Code classify(ActiveRequest &A) const;
  Code classifyCompletion(ActiveRequest &A, std::string &RankName) const;
  Code classifyRoute(ActiveRequest &A, std::string &RankName) const;

  // Choice of a side.
  void route(const Now &N, const std::string &Id, Actions &Out);
  void routeCompletion(const Now &N, ActiveRequest &A, Actions &Out);
  void routeIsolated(const Now &N, ActiveRequest &A, Actions &Out);
  void routeService(const Now &N, ActiveRequest &A, Actions &Out);
  void routeKeyed(const Now &N, ActiveRequest &A, Actions &Out);
  std::vector<const UpstreamDecl *> candidates(const Now &N,
                                               const ActiveRequest &A) const;
  std::vector<const UpstreamDecl *> usable(const Now &N, const ActiveRequest &A,
                                           std::string_view InCell) const;
  Candidate describe(const UpstreamDecl &U, uint64_t SlotHash) const;
  void startProbes(const Now &N, ActiveRequest &A,
                   const std::vector<const UpstreamDecl *> &Among,
                   Actions &Out);
  void finishProbes(const Now &N, const std::string &RoundId, Actions &Out);
  void send(const Now &N, ActiveRequest &A, const std::string &Upstream,
            std::string_view Reason, Actions &Out);
  void pause(const Now &N, ActiveRequest &A);

  // Answers.
  void onEvent(const Now &N, const std::string &Upstream,
               const wire::AttemptEvent &E, Actions &Out);
  void onProbeReply(const Now &N, const std::string &Upstream,
                    const wire::ProbeReply &R, Actions &Out);
  void onRefused(const Now &N, ActiveRequest &A, const Attempt &T,
                 const wire::AttemptEvent &E, Actions &Out);
  void onFailed(const Now &N, ActiveRequest &A, const wire::AttemptEvent &E,
                Actions &Out);
  void onDone(const Now &N, ActiveRequest &A, const wire::AttemptEvent &E,
              Actions &Out);
  void retryOrFail(const Now &N, ActiveRequest &A, Actions &Out);
  static bool isLost(const Attempt &T, const wire::AttemptEvent &E);
  void deliverHead(ActiveRequest &A, Actions &Out);
  void closeAttempt(const std::string &AttemptId);
  void abandonAttempt(ActiveRequest &A, Actions &Out);

  // Silence.
  void judgeSides(const Now &N, Actions &Out);
  void askAgain(const Now &N, const std::string &Upstream, Actions &Out);
  void moveAway(const Now &N, const std::string &Upstream, Actions &Out);

  // Ends.
  void fail(const Now &N, const std::string &Id, Code Why, Actions &Out);
  void finish(const Now &N, const std::string &Id, Code Why, Outcome Known,
              Actions &Out);
  Outcome outcomeOf(const ActiveRequest &A) const;
  std::string nextId();
  wire::Envelope envelope() const;

  Options Opts;
  std::shared_ptr<const Declarations> Config;
  std::string Cell;
  uint64_t Seed;
  Random Rand;
  uint64_t IdCounter = 0;
  RetryBudget Budget;
  std::unordered_map<std::string, ActiveRequest> Requests;
  std::unordered_map<std::string, Attempt> Attempts;
  // Open attempts by side.
  std::unordered_map<std::string, std::set<std::string>> OpenAt;
  std::unordered_map<std::string, ProbeRound> Rounds;
  std::unordered_map<std::string, SideView> Views;
  // Last known owner of each shard of each service.
  std::unordered_map<std::string, std::string> ShardOwner;
  std::set<std::string> ListedLeaving;
  std::set<std::string> ListedGone;
};

/// Switches off one protection, so that a test can show that it is needed.
/// For tests only.
struct EntryMutation {
  static void forgetOpenAttempts(EntryMachine::Options &O) {
    O.CountOpenAttempts = false;
  }
  static void ignoreSilence(EntryMachine::Options &O) {
    O.RecoverSilence = false;
  }
};

} // namespace goldcrestlink::entry

#endif // GOLDCRESTLINK_ENTRY_ENTRY_MACHINE_H
