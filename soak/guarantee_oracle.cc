// Each call has a record with the runs that upstreams reported for it. Every
// event from a caller or upstream is checked against this record as it arrives.
// Records are kept for the entire soak, so that a run that starts long after
// its answer is checked as well; memory grows with the number of calls.
#include "soak/guarantee_oracle.h"

#include <algorithm>
#include <iostream>

namespace goldcrestlink::soak {

using testing::RunEnd;
using testing::RunRecord;

namespace {

constexpr size_t MaxPrinted = 200;

bool guaranteesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

// The complete body of the stream that answers \p Call.
std::string expectedEvents(const SentCall &Call) {
  const size_t At = Call.Body.find("events=");
  const unsigned long Count = std::stoul(Call.Body.substr(At + 7));
  std::string Out;
  for (unsigned long I = 1; I <= Count; ++I)
    Out += "id: " + std::to_string(I) + "\ndata: " + Call.Id + "\n\n";
  return Out;
}

std::string describeAnswer(const ObservedAnswer &Answer) {
  return "status=" + std::to_string(Answer.Status) +
         " signature=" + Answer.Signature + " request=" + Answer.RequestId +
         " bytes=" + std::to_string(Answer.Body.size());
}

constexpr std::string_view EndNames[] = {"whole", "broken", "unanswered",
                                         "left"};

std::string_view serviceOf(CallKind Kind) {
  return Kind == CallKind::Stream ? "engines" : "plain";
}

} // namespace

void GuaranteeOracle::addViolation(const std::string &Rule,
                                   const std::string &Id,
                                   const std::string &Details) {
  Violations.push_back(Rule + " request=" + Id + " " + Details);
  if (Violations.size() <= MaxPrinted)
    std::cout << "VIOLATION " << Violations.back() << std::endl;
}

void GuaranteeOracle::onSent(Time Now, SentCall Call) {
  const std::lock_guard Lock(Mutex);
  CallRecord &Record = Calls[Call.Id];
  Record.Sent = std::move(Call);
  Record.SentAt = Now;
  Record.SentUndisturbed = UndisturbedSince.has_value();
}

void GuaranteeOracle::onAnswer(Time Now, const std::string &Id,
                               const ObservedAnswer &Answer) {
  const std::lock_guard Lock(Mutex);
  CallRecord &Record = Calls.at(Id);
  Record.Answered = true;
  ++Outcomes[std::string(EndNames[static_cast<size_t>(Answer.End)]) + " " +
             std::to_string(Answer.Status)];
  if (Answer.End == CallEnd::CallerDisconnected)
    Record.DisconnectedAt = Now;
  else if (Record.SentUndisturbed && !Record.Sent.Deadly) {
    ++UndisturbedCalls;
    UndisturbedServed +=
        Answer.End == CallEnd::Complete && Answer.Status == 200 ? 1 : 0;
  }
  checkAnswer(Now, Record, Answer);
}

void GuaranteeOracle::checkAnswer(Time Now, CallRecord &Record,
                                  const ObservedAnswer &Answer) {
  if (Answer.Status != 0 && !Answer.RequestId.empty() &&
      Answer.RequestId != Record.Sent.Id)
    addViolation("MIXED", Record.Sent.Id,
                 "answer belongs to another request: " +
                     describeAnswer(Answer));
  if (Answer.End == CallEnd::Complete && Answer.Status == 200)
    return checkSuccess(Record, Answer);
  if (Record.Sent.Kind == CallKind::Stream && Answer.Status == 200)
    checkStream(Record, Answer);
  if (Answer.End == CallEnd::Complete && Answer.Signature.empty())
    checkEntryAnswer(Record, Answer);
  if (Answer.End == CallEnd::Broken || Answer.End == CallEnd::Unanswered)
    checkUnfinished(Now, Record, Answer);
}

void GuaranteeOracle::checkSuccess(const CallRecord &Record,
                                   const ObservedAnswer &Answer) {
  const bool Ran =
      std::any_of(Record.Runs.begin(), Record.Runs.end(), [&](const Run &R) {
        return Answer.Signature == "seal-" + R.Upstream;
      });
  if (!Ran)
    addViolation("MIXED", Record.Sent.Id,
                 "success without the signature of an upstream that ran it: " +
                     describeAnswer(Answer));
  if (Record.Sent.Kind == CallKind::Stream) {
    if (Answer.Body != expectedEvents(Record.Sent))
      addViolation("ORDER", Record.Sent.Id,
                   "complete stream differs from the expected events: " +
                       describeAnswer(Answer));
  } else if (Answer.Body != "done " + Record.Sent.Body) {
    addViolation("MIXED", Record.Sent.Id,
                 "unexpected body: " + describeAnswer(Answer));
  }
  if (Record.Sent.Kind == CallKind::Extra && !HasExtraRoute &&
      routeIsSettled(Record))
    addViolation("CONFIG", Record.Sent.Id, "served on a removed route");
}

void GuaranteeOracle::checkStream(const CallRecord &Record,
                                  const ObservedAnswer &Answer) {
  if (!expectedEvents(Record.Sent).starts_with(Answer.Body))
    addViolation("ORDER", Record.Sent.Id,
                 "events are missing, repeated or out of order: " +
                     describeAnswer(Answer));
}

void GuaranteeOracle::checkEntryAnswer(CallRecord &Record,
                                       const ObservedAnswer &Answer) {
  if (guaranteesNotRun(Answer.Status)) {
    Record.RefusedAsNotRun = true;
    if (!Record.Sent.Deadly && Answer.Body == "quarantined\n")
      addViolation("BUDGET", Record.Sent.Id, "a sound request is quarantined");
    if (Record.Sent.Kind == CallKind::Once && !Record.Runs.empty())
      addViolation("REFUSED", Record.Sent.Id,
                   "refused as not run, but it has run: " +
                       describeAnswer(Answer));
    if ((Answer.Status == 429 || Answer.Status == 503) && !Answer.HasRetryAfter)
      addViolation("REFUSED", Record.Sent.Id,
                   "refusal without Retry-After: " + describeAnswer(Answer));
    return;
  }
  if (Answer.Status < 300 || Answer.Status >= 500)
    return;
  if (Record.Sent.Kind != CallKind::Extra)
    addViolation("DENIED", Record.Sent.Id, describeAnswer(Answer));
  else if (HasExtraRoute && routeIsSettled(Record))
    addViolation("CONFIG", Record.Sent.Id,
                 "denied on a route that the configuration contains");
}

void GuaranteeOracle::checkUnfinished(Time Now, const CallRecord &Record,
                                      const ObservedAnswer &Answer) {
  if (Answer.End == CallEnd::Unanswered) {
    const auto It = DisturbedAt.find(Record.Sent.Entry);
    if (It == DisturbedAt.end() || It->second < Record.SentAt)
      addViolation("ANSWER", Record.Sent.Id,
                   "no answer in time, entry=" +
                       std::to_string(Record.Sent.Entry));
    return;
  }
  if (!undisturbedSince(Record.SentAt))
    return;
  const bool UpstreamCrashed =
      std::any_of(Record.Runs.begin(), Record.Runs.end(), [](const Run &R) {
        return R.Lost || R.End == RunEnd::Crashed;
      });
  const bool LateWithoutRun = Bounds.Timed && Record.Runs.empty() &&
                              Now - Record.SentAt > Bounds.LossSlack;
  if ((!Record.Runs.empty() && !UpstreamCrashed) || LateWithoutRun)
    addViolation(
        "LOST", Record.Sent.Id,
        "connection closed, runs=" + std::to_string(Record.Runs.size()) +
            " entry=" + std::to_string(Record.Sent.Entry) + " after_ms=" +
            std::to_string((Now - Record.SentAt).count() / 1000) + " " +
            describeAnswer(Answer));
}

bool GuaranteeOracle::routeIsSettled(const CallRecord &Record) const {
  return Bounds.Timed &&
         undisturbedSince(Record.SentAt - Bounds.Configuration) &&
         ConfiguredAt + Bounds.Configuration < Record.SentAt;
}

void GuaranteeOracle::onRun(const RunRecord &Observed) {
  const std::lock_guard Lock(Mutex);
  const auto It = Calls.find(Observed.RequestId);
  if (It == Calls.end())
    return addViolation("UNASKED", Observed.RequestId,
                        "no caller has sent this request");
  CallRecord &Record = It->second;
  Arrivals.push_back({Observed.At, Observed.Upstream,
                      std::string(serviceOf(Record.Sent.Kind)),
                      !Record.Arrived});
  Record.Arrived = true;
  if (!Observed.Executed)
    return;
  checkRun(Record, Observed);
  if (Record.Sent.Deadly)
    checkDeadlyRun(Record, Observed);
  Record.Runs.push_back({Observed.Upstream, false, std::nullopt});
  checkAttempts(Record);
}

void GuaranteeOracle::checkRun(const CallRecord &Record,
                               const RunRecord &Observed) {
  if (Observed.Body != Record.Sent.Body ||
      Observed.Target != Record.Sent.Target)
    addViolation("UNASKED", Record.Sent.Id,
                 "runs with a changed target or body");
  if (Record.RefusedAsNotRun && Record.Sent.Kind == CallKind::Once)
    addViolation("REFUSED", Record.Sent.Id,
                 "runs after it was refused as not run");
  if (!Bounds.Timed)
    return;
  if (Observed.Draining > Bounds.Drain &&
      undisturbedSince(Observed.At - Bounds.Drain))
    addViolation("DRAIN", Record.Sent.Id,
                 "at " + Observed.Upstream + ", draining or removed for ms=" +
                     std::to_string(Observed.Draining.count() / 1000));
  if (Observed.Leaving > Bounds.Drain &&
      undisturbedSince(Observed.At - Observed.Leaving))
    addViolation("DRAIN", Record.Sent.Id,
                 "at " + Observed.Upstream +
                     ", which has said that it leaves for ms=" +
                     std::to_string(Observed.Leaving.count() / 1000));
  if (Observed.Outdated > Bounds.Version &&
      undisturbedSince(Observed.At - Bounds.Version))
    addViolation("VERSION", Record.Sent.Id,
                 "at " + Observed.Upstream + " on " + Observed.Adapter +
                     ", outdated for ms=" +
                     std::to_string(Observed.Outdated.count() / 1000));
  if (Record.DisconnectedAt &&
      Observed.At - *Record.DisconnectedAt > Bounds.Disconnect &&
      undisturbedSince(*Record.DisconnectedAt))
    addViolation("GONE", Record.Sent.Id, "runs after its caller disconnected");
}

void GuaranteeOracle::checkAttempts(const CallRecord &Record) {
  if (Record.Sent.Kind == CallKind::Once && Record.Runs.size() > 1)
    addViolation("TWICE", Record.Sent.Id,
                 "runs=" + std::to_string(Record.Runs.size()));
  const auto NotLost =
      static_cast<size_t>(std::count_if(Record.Runs.begin(), Record.Runs.end(),
                                        [](const Run &R) { return !R.Lost; }));
  if (NotLost > Bounds.MaxAttempts)
    addViolation("BUDGET", Record.Sent.Id, "runs=" + std::to_string(NotLost));
}

void GuaranteeOracle::onRunEnd(Time Now, const std::string &RequestId,
                               const std::string &Upstream, RunEnd End) {
  const std::lock_guard Lock(Mutex);
  const auto It = Calls.find(RequestId);
  if (It == Calls.end())
    return;
  const CallRecord &Record = It->second;
  for (Run &R : It->second.Runs)
    if (R.Upstream == Upstream && !R.End)
      R.End = End;
  if (Record.Sent.Deadly && End == RunEnd::Crashed) {
    DeadlyRequest &Deadly = DeadlyRequests[Record.Sent.Body];
    if (++Deadly.Crashes == 3)
      Deadly.ThirdCrashAt = Now;
    for (Run &R : It->second.Runs)
      R.Lost |= R.Upstream == Upstream;
    markLost(Upstream);
  }
  // Longer than the bound on disconnects, shorter than the streams whose
  // callers disconnect.
  constexpr Duration MaxRunAfterDisconnect = std::chrono::milliseconds(1500);
  if (Bounds.Timed && End == RunEnd::Complete && Record.DisconnectedAt &&
      Now - *Record.DisconnectedAt > MaxRunAfterDisconnect &&
      undisturbedSince(Record.SentAt))
    addViolation(
        "GONE", RequestId,
        "the upstream completed the run long after the caller disconnected");
}

void GuaranteeOracle::onViolation(const std::string &Upstream,
                                  const std::string &Details) {
  const std::lock_guard Lock(Mutex);
  addViolation("LIMIT", "", "upstream=" + Upstream + " " + Details);
}

void GuaranteeOracle::onUpstreamCrash(const std::string &Upstream) {
  const std::lock_guard Lock(Mutex);
  markLost(Upstream);
}

void GuaranteeOracle::markLost(const std::string &Upstream) {
  for (auto &[Id, Record] : Calls)
    for (Run &R : Record.Runs)
      if (R.Upstream == Upstream && !R.End)
        R.Lost = true;
}

void GuaranteeOracle::checkDeadlyRun(const CallRecord &Record,
                                     const RunRecord &Observed) {
  DeadlyRequest &Deadly = DeadlyRequests[Record.Sent.Body];
  if (!Bounds.Timed || Deadly.Crashes < 3 || !undisturbedSince(Observed.At) ||
      Observed.At - Deadly.ThirdCrashAt <= Bounds.Contact)
    return;
  if (++Deadly.LateRuns > Bounds.LateDeadlyRuns)
    addViolation("BUDGET", Record.Sent.Id,
                 "deadly request \"" + Record.Sent.Body + "\" runs at " +
                     Observed.Upstream +
                     ", crashes=" + std::to_string(Deadly.Crashes));
}

void GuaranteeOracle::onLimit(Time Now, const std::string &Upstream,
                              int PerSecond) {
  const std::lock_guard Lock(Mutex);
  if (const auto It = OpenLimits.find(Upstream); It != OpenLimits.end()) {
    It->second.To = Now;
    if (undisturbedSince(It->second.From))
      EndedLimits.push_back(It->second);
    OpenLimits.erase(It);
  }
  if (PerSecond > 0 && undisturbedSince(Now))
    OpenLimits[Upstream] = {Upstream, PerSecond, Now, Now};
}

void GuaranteeOracle::checkLimits() {
  for (const NamedLimit &L : EndedLimits) {
    std::vector<Time> Times;
    for (const Arrival &A : Arrivals)
      if (A.Upstream == L.Upstream && A.At > L.From + Bounds.Contact &&
          A.At < L.To)
        Times.push_back(A.At);
    const auto Allowed = static_cast<size_t>(Bounds.LimitFactor * L.PerSecond *
                                                 seconds(Bounds.LimitWindow) +
                                             Bounds.LimitSlack);
    for (size_t I = Allowed; Bounds.Timed && I < Times.size(); ++I)
      if (Times[I] - Times[I - Allowed] < Bounds.LimitWindow) {
        addViolation("LIMIT", "",
                     "upstream=" + L.Upstream + " got more than " +
                         std::to_string(Allowed) + " requests, per_second=" +
                         std::to_string(L.PerSecond));
        break;
      }
  }
}

void GuaranteeOracle::onConfiguration(Time Now, bool Extra) {
  const std::lock_guard Lock(Mutex);
  if (Extra == HasExtraRoute)
    return;
  HasExtraRoute = Extra;
  ConfiguredAt = Now;
}

void GuaranteeOracle::onDisturbed(Time Now, size_t Entry) {
  const std::lock_guard Lock(Mutex);
  DisturbedAt[Entry] = Now;
}

void GuaranteeOracle::beginUndisturbed(Time Now) {
  const std::lock_guard Lock(Mutex);
  UndisturbedSince = Now;
}

void GuaranteeOracle::endUndisturbed() {
  const std::lock_guard Lock(Mutex);
  UndisturbedSince.reset();
}

void GuaranteeOracle::report(const std::string &Details) {
  const std::lock_guard Lock(Mutex);
  addViolation("PROCESS", "", Details);
}

void GuaranteeOracle::checkRetryBudget() {
  std::stable_sort(
      Arrivals.begin(), Arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  for (const std::string_view Service : {"engines", "plain"}) {
    std::vector<Time> First;
    std::vector<Time> Repeated;
    for (const Arrival &A : Arrivals)
      if (A.Service == Service)
        (A.IsFirst ? First : Repeated).push_back(A.At);
    const auto Within = [](const std::vector<Time> &All, Time From, Time To) {
      return std::lower_bound(All.begin(), All.end(), To) -
             std::lower_bound(All.begin(), All.end(), From);
    };
    // Checks the window that begins at each repeat. Its repeats are compared
    // with the first arrivals in the window after, before or around Begin,
    // whichever has most.
    for (const Time Begin : Repeated) {
      const Time End = Begin + Bounds.RetryWindow;
      const auto Repeats = static_cast<double>(Within(Repeated, Begin, End));
      const auto Requests = static_cast<double>(
          std::max({Within(First, Begin, End),
                    Within(First, Begin - Bounds.RetryWindow, Begin),
                    Within(First, Begin - Bounds.RetryWindow / 2,
                           Begin + Bounds.RetryWindow / 2)}));
      if (Repeats <= Bounds.RetryRatio * Requests + Bounds.RetrySlack)
        continue;
      addViolation("BUDGET", "",
                   "service=" + std::string(Service) +
                       " repeats=" + std::to_string(Repeats) +
                       " requests=" + std::to_string(Requests));
      break;
    }
  }
}

void GuaranteeOracle::finish() {
  const std::lock_guard Lock(Mutex);
  for (const auto &[Id, Record] : Calls)
    if (!Record.Answered)
      addViolation("ANSWER", Id, "the call never ended");
  checkRetryBudget();
  checkLimits();
  if (UndisturbedCalls > 0 &&
      static_cast<double>(UndisturbedServed) <
          Bounds.MinServedShare * static_cast<double>(UndisturbedCalls))
    addViolation("RECOVER", "",
                 "served=" + std::to_string(UndisturbedServed) +
                     " calls=" + std::to_string(UndisturbedCalls));
}

std::vector<std::string> GuaranteeOracle::violations() const {
  const std::lock_guard Lock(Mutex);
  return Violations;
}

std::map<std::string, size_t> GuaranteeOracle::outcomes() const {
  const std::lock_guard Lock(Mutex);
  return Outcomes;
}

double GuaranteeOracle::servedShareUndisturbed() const {
  const std::lock_guard Lock(Mutex);
  return UndisturbedCalls == 0 ? 0
                               : static_cast<double>(UndisturbedServed) /
                                     static_cast<double>(UndisturbedCalls);
}

} // namespace goldcrestlink::soak
