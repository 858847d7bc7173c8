// Decides for an entry which upstream serves a caller's request, when the
// request waits, when it is retried, and what the caller is answered. A state
// machine without I/O, threads or clocks.
//
//   Forwarder F(Forwarder::Options(), Port, Seed);
//   F.onCatalog(Now, Catalog);
//   F.onCall(Now, Id, std::move(Request));    // every call ends exactly once
//   F.onAdmission(Now, UpstreamId, AdmissionId, Reply);
//   F.onHead(Now, Send, Head);  F.onData(...);  F.onDone(...);
//   F.onTimer(Now);
#ifndef GOLDCRESTLINK_FORWARD_FORWARDER_H
#define GOLDCRESTLINK_FORWARD_FORWARDER_H

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/side_admission.h"
#include "base/pause_meter.h"
#include "base/process_delays.h"
#include "base/random.h"
#include "base/running_clock.h"
#include "catalog/catalog.h"
#include "forward/call.h"
#include "forward/config_age.h"
#include "forward/crash_attribution.h"
#include "forward/crash_detector.h"
#include "forward/engine_ranker.h"
#include "forward/entry_headroom.h"
#include "forward/forward_port.h"
#include "forward/key_table.h"
#include "forward/organisation_quotas.h"
#include "forward/output_estimator.h"
#include "forward/plain_queue.h"
#include "forward/process_stop.h"
#include "forward/retry_allowance.h"
#include "forward/service_balancer.h"
#include "forward/start_gate.h"
#include "forward/stream_position.h"
#include "forward/upstream_limits.h"
#include "forward/upstream_pauses.h"
#include "forward/version_knowledge.h"

namespace goldcrestlink::forward {

/// The rank of a call: the priority of its organisation goes before the rank of
/// its route, if it states one. \p Organisation may be null. Thread-safe.
uint32_t combinedRank(const OrganisationSpec *Organisation, uint32_t RouteRank);

/// Not thread-safe: call all methods on one thread.
class Forwarder {
public:
  class Options {
  public:
    const std::string &dataCentre() const { return DataCentre; }
    const RetryAllowance::Options &allowance() const { return Allowance; }
    size_t maxCalls() const { return MaxCalls; }
    size_t maxBuffered() const { return MaxBuffered; }
    size_t maxBufferedByAll() const { return MaxBufferedByAll; }
    size_t maxEventBytes() const { return MaxEventBytes; }
    Duration admissionTimeout() const { return AdmissionTimeout; }
    uint32_t maxAdmissionRequests() const { return MaxAdmissionRequests; }
    Duration moveGain() const { return MoveGain; }
    Duration askAgainDelay() const { return AskAgainDelay; }
    double maxWaitShare() const { return MaxWaitShare; }
    Duration minLoadWait() const { return MinLoadWait; }
    double maxQueueShare() const { return MaxQueueShare; }
    Duration defaultTimeLeft() const { return DefaultTimeLeft; }
    const ConfigAge::Bounds &configAge() const { return AgeBounds; }
    const OrganisationQuotas::Options &quotas() const { return Quotas; }
    /// Identifies this process at the sides that add up demand.
    uint64_t entryToken() const { return EntryToken; }
    Options &setQuotas(OrganisationQuotas::Options O, uint64_t Token) {
      Quotas = O;
      EntryToken = Token;
      return *this;
    }
    Options &setDataCentre(std::string Name) {
      DataCentre = std::move(Name);
      return *this;
    }
    Options &setAllowance(RetryAllowance::Options O) {
      Allowance = O;
      return *this;
    }
    Options &setMaxCalls(size_t Count) {
      MaxCalls = Count;
      return *this;
    }
    Options &setConfigAge(ConfigAge::Bounds B) {
      AgeBounds = B;
      return *this;
    }
    /// Bytes of all large answers that are buffered, and with it of each.
    Options &setMaxBufferedByAll(size_t Bytes) {
      MaxBufferedByAll = Bytes;
      MaxBuffered = std::min(MaxBuffered, Bytes);
      return *this;
    }

  private:
    std::string DataCentre;
    RetryAllowance::Options Allowance;
    size_t MaxCalls = 4096;
    // Bytes. Answers other than streams are buffered until they are complete.
    size_t MaxBuffered = 8 * 1024 * 1024;
    // Bytes of all large answers together; an entry has 260 MB or more.
    size_t MaxBufferedByAll = 64 * 1024 * 1024;
    // Bytes of one event of a stream. Events usually have a few hundred.
    size_t MaxEventBytes = 256 * 1024;
    // A side answers within two network delays; 100 ms also covers a slow
    // instance.
    Duration AdmissionTimeout = std::chrono::milliseconds(100);
    // Admission requests for a call before it is refused; a retry starts the
    // count anew.
    uint32_t MaxAdmissionRequests = 3;
    // A waiting call moves to another engine if its first token is expected
    // sooner by this much there, since what entries know of the load of engines
    // is up to 250 ms old.
    Duration MoveGain = std::chrono::milliseconds(150);
    // A call whose expected wait is over by this much asks its side again,
    // since the reply may have been lost with a connection.
    Duration AskAgainDelay = std::chrono::milliseconds(200);
    // Part of the route's latency objective that a call may wait at one side.
    double MaxWaitShare = 0.9;
    // Lower bound on the maximum wait for an adapter that no engine holds. A
    // load would take as long on any other engine, and a late answer is better
    // than none.
    Duration MinLoadWait = std::chrono::milliseconds(2500);
    // Part of the latency objective that a call to a plain service may be
    // queued in the entry.
    double MaxQueueShare = 0.6;
    // Used for callers that do not state how long they wait.
    Duration DefaultTimeLeft = std::chrono::seconds(60);
    ConfigAge::Bounds AgeBounds;
    OrganisationQuotas::Options Quotas;
    uint64_t EntryToken = 1;
  };

  Forwarder(Options O, ForwardPort &Port, uint64_t Seed);

  // Commands.

  /// Replaces the known state of the deployment.
  void onCatalog(Time Now, std::shared_ptr<const Catalog> NewCatalog);
  /// A caller's request arrived. \p Id must not be in use by another call.
  void onCall(Time Now, uint64_t Id, IncomingCall Request);
  /// The caller disconnected.
  void onCallerGone(Time Now, uint64_t Id);
  void onAdmission(Time Now, const std::string &UpstreamId,
                   uint64_t AdmissionId, const AdmissionReply &Reply);
  /// The side that admitted the request has seen that the engine made no event
  /// of its stream for \p Length.
  void onEnginePause(uint64_t AdmissionId, Duration Length);
  void onLoad(Time Now, const std::string &UpstreamId, const EngineLoad &Load);
  /// The catalog has all changes of the upstreams before \p AsOf.
  void onCurrentCatalog(Time AsOf) { Versions.onCurrent(AsOf); }
  /// The process stood still until \p Now.
  void onStall(Time Now);
  /// The configuration has all changes that the store had made before
  /// \p AskedAt. To be called after onCatalog() with them.
  void onConfigConfirmed(BootTime AskedAt) { Age.onConfirmed(AskedAt); }
  /// BootTime is ahead of the steady clock by \p Ahead, since the machine was
  /// suspended. To be called before each event: a suspension may have ended
  /// just before it.
  void onClockOffset(Duration Ahead) { Suspended = Ahead; }
  /// A side has sent all that it knows of crashes and of upstreams that leave.
  void onSideState(Time Now) {
    Gate.onSideState();
    SideHeardAt = Now;
  }
  /// \p Count is the number of live entries, this one included.
  void onEntries(Time Now, size_t Count);
  void onHead(Time Now, SendId Send, AnswerHead Head);
  void onData(Time Now, SendId Send, std::string Part);
  void onDone(Time Now, SendId Send);
  void onError(Time Now, SendId Send, SendError Error, std::string_view Why);
  /// The result of ForwardPort::probe().
  void onProbe(Time Now, const std::string &UpstreamId, ProbeResult Result);
  /// Another entry has observed a crash. Returns those of its traits that have
  /// recently produced output here, to be passed to the other entries.
  std::vector<TraitOutput> onCrashReport(Time Now, const CrashReport &Report);
  /// Requests with these traits have produced output at another entry.
  void onOutputReport(Time Now, std::span<const TraitOutput> Outputs);
  /// Another process has these verdicts.
  void onVerdicts(Time Now, std::span<const TraitVerdict> Verdicts);
  /// Another process has learnt that these upstreams leave.
  void onLeaving(Time Now, std::span<const UpstreamIncarnation> Upstreams);
  /// A side's answer to ForwardPort::requestOrigin(); empty if it does not know
  /// the origin.
  void onOrigin(Time Now, const OriginQuery &Query,
                const std::optional<StreamOrigin> &Origin);
  /// The reports of organisations' demand that are due, by the address of the
  /// side. To be called every few milliseconds.
  std::map<std::string, QuotaReport>
  quotaReports(Time Now, std::span<const std::string> Sides) {
    return Quotas.reports(Now, Sides);
  }
  /// A side's answer to one of quotaReports().
  void onQuotaTotals(Time Now, std::string_view Side,
                     const QuotaTotals &Totals);
  /// To be called every few milliseconds.
  void onTimer(Time Now);
  /// The process stops. Calls that cannot end before it does are refused from
  /// now on, and all whose answer has not begun are answered when the schedule
  /// says. Later calls do nothing.
  void onStop(Time Now, const StopSchedule &Schedule);
  /// The process exits: ends the calls that are left.
  void onExit(Time Now);

  // Queries.

  size_t callsInProgress() const { return Calls.size(); }
  const CrashAttribution &crashes() const { return Crashes; }
  const OrganisationQuotas &quotas() const { return Quotas; }
  /// The origins of the streams that this entry has forwarded lately.
  const StreamOrigins &origins() const { return Origins; }
  bool hasConfig() const {
    return CurrentCatalog && CurrentCatalog->config() != nullptr;
  }
  /// Whether the request may still be written for \p Send, after the time that
  /// it took to open a connection.
  bool maySend(Time Now, SendId Send) const;
  /// Whether calls are placed, and not rejected because the entry has just
  /// started or its configuration is too old for keys.
  bool isReady(Time Now) const;

private:
  enum class Stage {
    /// Sides were asked for the origin of the stream that the caller takes up.
    OriginRequested,
    /// In the entry's queue for a plain service.
    Queued,
    /// An admission request was sent and not answered yet.
    AdmissionRequested,
    /// The side has replied Wait.
    WaitingAtSide,
    /// Sent to an upstream; nothing from this send was forwarded yet.
    Sent,
    /// Events from this send were forwarded to the caller.
    Streaming
  };

  struct QuotaCharge {
    std::string Organisation;
    double Cost = 0;
  };

  // A call that waits until its organisation's debt is confirmed.
  struct HeldCall {
    uint64_t Id = 0;
    IncomingCall Request;
    QuotaCharge Charge;
    Time Since;
  };

  struct ActiveCall {
    uint64_t Id = 0;
    IncomingCall Request;
    std::vector<RequestTrait> Traits;
    // What the call was charged; zero if its organisation has no limit.
    QuotaCharge Quota;
    Stage CurrentStage = Stage::Queued;
    std::string RouteName;
    // Whose key the call has, in the configuration of its arrival or last send;
    // null if it needs none.
    std::shared_ptr<const OrganisationSpec> Organisation;
    // The route needs no key.
    bool Public = false;
    // The caller's key and its statement of an organisation are not passed on.
    bool RemoveCredentials = false;
    std::string Service;
    Repeatability Repeat = Repeatability::AtMostOnce;
    bool Streaming = false;
    bool IsEngine = false;
    uint32_t Rank = 0;
    uint32_t MaxAttempts = 1;
    Duration Objective{};
    // Longest pause between events that is still on time; zero: not stated.
    Duration MaxPause{};
    Time Arrived;
    Time Deadline;
    // Where admission was requested or the call was sent last.
    UpstreamRecord Upstream;
    // Zero if no admission request is open.
    uint64_t AdmissionId = 0;
    bool UpstreamHoldsAdapter = false;
    // What its engine was chosen by: the expected times until its first token
    // and until its end, and the expected output in tokens.
    Duration ExpectedFirst{};
    Duration ExpectedWhole{};
    // Expected time from its send to its end.
    Duration ExpectedRun{};
    double ExpectedOutput = 0;
    Time AdmissionRequestedAt{};
    // The upstream of the present send is known to run the software version of
    // its record.
    bool VersionIsCertain = false;
    // Time-out of the current stage.
    Time StageUntil{};
    // While a side is to reply: when it was asked, as Running counts, and how
    // long it has.
    Time ReplyAskedAt{};
    Duration ReplyTimeout{};
    uint32_t AdmissionRequests = 0;
    // Shortest time after which a refusing side suggests a retry; zero if none
    // has refused.
    Duration RetryDelay{};
    // A side replied that an engine without the adapter would not be faster.
    bool OnlyHolders = false;
    Duration MaxWait{};
    // Until when the call waits at this side.
    Time WaitUntil{};
    uint32_t Sends = 0;
    // An upstream may have run the request.
    bool MayHaveRun = false;
    uint64_t Version = 0;
    std::set<std::string> TriedUpstreams;
    Time SentAt{};
    // When the upstream last sent a part of its answer to the present send; at
    // first when the call was sent. Not before the end of this process's last
    // stall, since it hears nothing in one.
    Time HeardAt{};
    // The silence of the upstream of the present send counts as a failure.
    bool SilenceNoted = false;
    Time FirstByteAt{};
    AnswerHead Head;
    bool HasHead = false;
    bool HeadForwarded = false;
    // The present send has produced an event of a stream, or a complete answer
    // of another kind.
    bool HasOutput = false;
    // The request may be the cause of crashes; at most one such call is in
    // progress.
    bool Isolated = false;
    StreamPosition Position;
    PauseMeter EventPauses;
    // Set once the stream has an event.
    std::optional<StreamOrigin> Origin;
    uint32_t OriginRound = 0;
    // Sides asked in this round, and those that do not know the origin.
    Time OriginAskedAt{};
    size_t OriginAsked = 0;
    size_t OriginAnswers = 0;
    std::string Buffered;
    // An upstream's own failure, forwarded if no retry succeeds.
    bool HasFailure = false;
    AnswerHead FailureHead;
    std::string FailureBody;
  };

  using CallMap = std::unordered_map<uint64_t, ActiveCall>;

  const std::vector<const UpstreamRecord *> &
  upstreamsOf(const std::string &Service) const;
  /// Whether the configuration has services of engines, and so sides.
  bool hasEngines() const;
  bool isUsable(const std::string &UpstreamId) const;
  bool isUsable(const UpstreamRecord &U) const;
  /// Determines anew which upstreams may get requests, and places calls again
  /// that wait for admission at others.
  void onUsableUpstreams(Time Now);
  /// The upstream of \p Call has said this of itself.
  void noteNotice(Time Now, const ActiveCall &Call,
                  const UpstreamNotice &Notice);
  /// Whether the call's upstream can be used and still runs the software that
  /// the call needs.
  bool canSend(Time Now, const ActiveCall &Call) const;
  /// Picks one of the route's services at random, by weight.
  std::string pickService(const RouteSpec &Route);
  void rejectNewCall(uint64_t Id, const IncomingCall &Request, unsigned Status,
                     Duration RetryAfter, EndReason Why);

  // Keys of organisations (forwarder_keys.cc).
  /// Whether calls are placed, although perhaps none that needs a key.
  bool isPlacing(Time Now) const { return hasConfig() && Gate.isOpen(Now); }
  BootTime bootTimeOf(Time Now) const;
  /// False if the configuration is too old to send requests with a key.
  bool mayUseKeys(Time Now) const;
  /// Finds the organisation of \p Key. Returns why a request with it may not
  /// be sent now; empty if it may.
  std::optional<EndReason>
  checkKey(Time Now, std::string_view Key,
           std::shared_ptr<const OrganisationSpec> &Organisation) const;
  /// Whether a new call has the key that its route needs; rejects it otherwise.
  bool admitKey(Time Now, uint64_t Id, const IncomingCall &Request,
                const RouteSpec &Route,
                std::shared_ptr<const OrganisationSpec> &Out);
  /// Determines the call's organisation anew, before a send. Returns why the
  /// call may not be sent; empty if it may.
  std::optional<EndReason> checkKeyAtSend(Time Now, ActiveCall &Call);
  /// The present send of \p Call was not written, since maySend() was false.
  void onWithheld(Time Now, ActiveCall &Call);
  /// What a decision about a key was based on, without the key.
  std::string describeKey(Time Now, const OrganisationSpec *Organisation) const;

  /// Places a new call on its service.
  void place(Time Now, ActiveCall &Call);

  // Origins of streams (forwarder_origins.cc).
  /// Whether the caller takes up a stream that an earlier attempt began.
  static bool takesUp(const ActiveCall &Call);
  /// Identifies the call's stream over all attempts.
  static uint64_t streamKey(const ActiveCall &Call);
  void findOrigin(Time Now, ActiveCall &Call);
  void askForOrigin(Time Now, ActiveCall &Call, size_t Keepers,
                    Duration Timeout);
  void onOriginTimeout(Time Now, ActiveCall &Call);
  void placeTakeUp(Time Now, ActiveCall &Call, StreamOrigin Origin);
  void failTakeUp(Time Now, ActiveCall &Call, EndReason Why);
  /// Sorts the engines that may run the call; if it goes on with a stream and
  /// none else is left, also those that only a side could tell more of.
  std::vector<EngineCandidate>
  rankEngines(Time Now, const ActiveCall &Call,
              const EngineRequirements &Required) const;
  /// Whether the call may be sent without asking the side beside its upstream.
  bool maySendWithoutSide(Time Now, const ActiveCall &Call) const;
  /// A side lets the call be sent. Places it anew and returns false if that
  /// might go on with its stream at another software version.
  bool checkVersion(Time Now, ActiveCall &Call, const AdmissionReply &Reply);
  /// The call's stream has its first event of this answer.
  void noteOrigin(Time Now, ActiveCall &Call);
  /// Whether \p U may go on with the call's stream, or begin it.
  static bool mayContinue(const ActiveCall &Call, const UpstreamRecord &U);
  /// The usable upstreams of the call's service that may run it, in the present
  /// or after a pause.
  std::vector<const UpstreamRecord *>
  candidatesFor(const ActiveCall &Call) const;
  /// Those of candidatesFor() that take requests now.
  std::vector<const UpstreamRecord *>
  openCandidatesFor(Time Now, const ActiveCall &Call) const;
  /// Time until the first of candidatesFor() takes requests; zero if one does
  /// now or there is none.
  Duration pauseOf(Time Now, const ActiveCall &Call) const;

  // Plain services.
  /// Hash of the name of the caller's organisation; 0 if there is none.
  static uint64_t organisationOf(const ActiveCall &Call);
  PlainQueue &queueOf(const std::string &Service);
  static QueuedCall queuedCall(const ActiveCall &Call);
  /// Refuses a call that is or would be queued for \p Wait.
  void refuseQueued(Time Now, ActiveCall &Call, Duration Wait,
                    std::string_view Why);
  void placeOnService(Time Now, ActiveCall &Call);
  void sendQueued(Time Now, const std::string &Service);
  /// The upstream for \p Call among those whose limits allow a request.
  const UpstreamRecord *choosePlain(Time Now, const ActiveCall &Call) const;
  /// By how much the call would miss its deadline at each upstream that takes
  /// requests, as their answers have lately taken; zero if it need not.
  Duration lateAtAll(Time Now, const ActiveCall &Call) const;
  /// Time until the limits allow a request after \p Ahead others; zero if an
  /// upstream of the service has no limit.
  Duration limitWait(const std::string &Service, size_t Ahead) const;

  // Engines.
  EngineRequirements requirementsOf(const ActiveCall &Call) const;
  static OutputEstimator::Query outputQuery(const ActiveCall &Call);
  /// The call's stream has ended complete: learns its output and its speed.
  void learnOutput(Time Now, const ActiveCall &Call);
  /// Keeps what \p Candidate was chosen by, for the log line of the send.
  static void noteExpected(ActiveCall &Call, const EngineCandidate &Candidate,
                           const EngineRequirements &Required);
  void placeOnEngine(Time Now, ActiveCall &Call);
  /// Requests a load of the adapter on the preferred engines that lack it,
  /// apart from the cheapest engine, where the call itself requests admission.
  void prefetchOnPreferred(Time Now, const EngineRequirements &Required,
                           std::span<const EngineCandidate> Ranked);
  Duration maxWaitOf(Time Now, const ActiveCall &Call,
                     bool HeldSomewhere) const;
  /// Whether the caller has a part of the stream already, from this attempt or
  /// an earlier one.
  static bool continuesStream(const ActiveCall &Call);
  void requestAdmission(Time Now, ActiveCall &Call,
                        const EngineCandidate &Candidate, bool HeldSomewhere);
  /// Sends the call's open admission request to its side, for the first time or
  /// again.
  void sendAdmissionRequest(Time Now, ActiveCall &Call);
  /// The call's side lets it wait for \p Expected. Requests admission at
  /// another engine that holds the adapter, if the first token is expected
  /// clearly sooner there. Returns whether it has.
  bool moveToSooner(Time Now, ActiveCall &Call, Duration Expected);
  /// Ends the call's admission request, if one is open.
  void endAdmission(ActiveCall &Call);

  // Sends and their ends.
  void sendTo(Time Now, ActiveCall &Call, uint64_t Version);
  bool isCurrent(const ActiveCall &Call, SendId Send) const;
  /// The call of \p Send; null if it has ended or \p Send is not its last send.
  ActiveCall *find(SendId Send);
  const ActiveCall *find(SendId Send) const;
  /// Whether the buffered part of the answer is within the limits.
  bool fitsBuffers(const ActiveCall &Call) const;
  /// Whether the answer that has ended was not complete.
  bool isBrokenOff(const ActiveCall &Call) const;
  /// Learns the limit that an answer names or no longer names.
  void noteLimit(Time Now, const ActiveCall &Call);
  void finishSend(Time Now, ActiveCall &Call, CallOutcome Outcome);
  /// What a call that is given up before its end says of its upstream.
  static CallOutcome outcomeWhenGivenUp(const ActiveCall &Call);
  /// Counts a call as failed at its engine that has sent nothing for the
  /// route's objective. Otherwise looks again when that will be the case.
  void checkSilence(Time Now, ActiveCall &Call);
  void onNotRun(Time Now, ActiveCall &Call);
  void onBroken(Time Now, ActiveCall &Call, EndReason Why);
  void onComplete(Time Now, ActiveCall &Call);
  /// Returns whether the call may be retried, and takes the retry from the
  /// service's allowance if so. \p AfterRun: an upstream may have run the
  /// request.
  bool takeRetry(Time Now, ActiveCall &Call, bool AfterRun);
  void placeRetry(Time Now, ActiveCall &Call);

  // Crashes that requests cause (forwarder_crashes.cc).
  /// The present send of \p Call broke; requests a probe if its upstream may
  /// have crashed on the call.
  void noteBroken(Time Now, const ActiveCall &Call);
  /// Looks for upstreams that have crashed in the new catalog.
  void findCrashes(Time Now);
  /// Probes upstreams once more that may have crashed.
  void probeAgain(Time Now);
  /// This entry has observed a crash.
  void onCrash(Time Now, const std::string &UpstreamId, CrashReport Report);
  /// The present send of \p Call has produced output.
  void noteOutput(Time Now, ActiveCall &Call);
  /// This entry has quarantined \p Traits.
  void onNewVerdicts(Time Now, std::span<const uint64_t> Traits);
  /// Ends the calls that have one of \p Traits and no output yet.
  void onQuarantined(Time Now, std::span<const uint64_t> Traits);
  /// Whether a new call with \p Traits may be placed; rejects it otherwise.
  bool admitTraits(Time Now, uint64_t Id, const IncomingCall &Request,
                   std::span<const RequestTrait> Traits);

  // Quotas of organisations (forwarder_quotas.cc).
  /// Charges a new call to its organisation (null: none). Returns whether the
  /// call goes on; if not, it was rejected or is held, and \p Request was
  /// moved.
  bool admitQuota(Time Now, uint64_t Id, IncomingCall &Request,
                  const OrganisationSpec *Organisation, QuotaCharge &Charge);
  void rejectOverQuota(uint64_t Id, const IncomingCall &Request,
                       const QuotaCharge &Charge,
                       const OrganisationQuotas::Decision &D);
  /// Places or rejects the held calls on which a decision was taken.
  void resumeHeldCalls(Time Now);
  void cancelHeldCall(Time Now, uint64_t Id);
  /// Returns the tokens of a call that has not run.
  void returnQuota(Time Now, const QuotaCharge &Charge);

  // Stop of the process (forwarder_stop.cc).
  UnsentCall unsentCall(const ActiveCall &Call) const;
  /// Whether the call can still be sent, after a wait of \p Wait, and end
  /// before the process does. If not, it is refused, and the reference is
  /// invalid. Precondition: it has no send in progress.
  bool keepThroughStop(Time Now, ActiveCall &Call, Duration Wait);
  /// Refuses the calls that wait and can no longer be sent in time, and answers
  /// all that have no answer when that is due.
  void stepStop(Time Now);
  void answerAllUnanswered(Time Now);
  /// Ends the call because the process does, whether it waits or was sent.
  void endForStop(Time Now, ActiveCall &Call);
  /// Logs how many calls are in progress, by stage, and their longest wait.
  void logCallsInProgress(Time Now, std::string_view Event) const;
  static std::string_view stageName(Stage S);
  static bool isSent(const ActiveCall &Call) {
    return Call.CurrentStage == Stage::Sent ||
           Call.CurrentStage == Stage::Streaming;
  }

  // Ends. These erase the call, so the reference is invalid afterwards.
  void forwardAnswer(Time Now, ActiveCall &Call, const AnswerHead &Head,
                     std::string Body);
  void fail(Time Now, ActiveCall &Call, EndReason Why);
  /// No upstream of the service can run the call.
  void failWithoutUpstream(Time Now, ActiveCall &Call);
  void endCall(Time Now, ActiveCall &Call, std::string_view Outcome);
  Duration retryAfter(Time Now, const ActiveCall &Call);
  /// The Retry-After time of a rejection for \p Why.
  Duration retryAfterOf(Time Now, const ActiveCall &Call, EndReason Why);
  /// A random time in proportion to \p Delay.
  Duration spread(Duration Delay);
  void schedule(Time When, uint64_t Id);
  // A side has \p Timeout, of the time in which this process runs, to reply.
  void awaitReply(Time Now, ActiveCall &Call, Duration Timeout);
  // Whether the time-out of a side's reply is put off since this process
  // paused.
  bool mayReplyYet(Time Now, ActiveCall &Call);
  void onDue(Time Now, ActiveCall &Call);
  std::string describe(const ActiveCall &Call) const;
  /// What the call's engine was chosen by, for the send line; empty for plain
  /// calls.
  static std::string describeExpected(const ActiveCall &Call);
  /// What crashes of \p Call are attributed to: its content as the hash that
  /// identifies repeats, and its shared prompt parts.
  std::string describeContent(const ActiveCall &Call) const;
  /// How long the upstream of the last send had been silent, for the end line;
  /// empty for calls that were not sent.
  static std::string describeSilence(Time Now, const ActiveCall &Call);
  /// The longest pause of a stream, for its end line; empty for other calls.
  std::string describePause(Time Now, const ActiveCall &Call) const;

  Options Opts;
  ForwardPort &Port;
  Random Rand;
  std::shared_ptr<const Catalog> CurrentCatalog;
  LeavingUpstreams Leaving;
  UpstreamPauses Pauses;
  // Upstreams that are not draining and do not leave, by service.
  std::map<std::string, std::vector<const UpstreamRecord *>> ReadyUpstreams;
  CallMap Calls;
  std::unordered_map<uint64_t, uint64_t> CallByAdmission;
  // Starts at a random number, so that an id in the logs identifies one
  // admission request of one entry.
  uint64_t NextAdmissionId;
  EngineRanker Engines;
  OutputEstimator Outputs;
  ServiceBalancer Balancer;
  UpstreamLimits Limits;
  StreamOrigins Origins{StreamOrigins::Options()};
  StartGate Gate;
  KeyTable Keys;
  uint64_t KeySeed;
  ConfigAge Age;
  Duration Suspended{};
  VersionKnowledge Versions;
  // When a side has last answered or sent its load.
  Time SideHeardAt{};
  CrashDetector Detector;
  CrashAttribution Crashes;
  // Calls in progress that are isolated, at most one.
  size_t IsolatedCalls = 0;
  Time NextCrashExpiry{};
  ProcessDelays Delays;
  RunningClock Running;
  EntryHeadroom Headroom;
  std::map<std::string, RetryAllowance> Allowances;
  OrganisationQuotas Quotas;
  ProcessStop Stop;
  // By ticket.
  std::map<uint64_t, HeldCall> HeldCalls;
  // Of the held call that is placed at present.
  std::optional<QuotaCharge> ConfirmedCharge;
  // Queued calls, by plain service.
  std::map<std::string, PlainQueue> Queues;
  // Of organisations, by the hash of their names.
  std::unordered_map<uint64_t, double> Weights;
  // Time of the last prefetch request, by a hash of adapter and engine.
  std::unordered_map<uint64_t, Time> LastPrefetch;
  using Due = std::pair<Time, uint64_t>;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> Timers;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_FORWARDER_H
