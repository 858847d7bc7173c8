// Acceptance and completion of requests. The choice of a side is in
// entry_routing.cc; replies and silent sides are handled in entry_answers.cc.
//
// A request is in Requests from its arrival until it ends, which it does
// exactly once. It has at most one open attempt. An attempt that is abandoned
// before its side answered sets MayHaveRun, so that "not run" is reported to
// the caller only when every attempt is known not to have run. Requests are
// bounded by maxRequests. The attempts of a request are bounded by maxAttempts
// and the retry budget if it is idempotent, else by MaxKeyedAttempts.
#include "entry/entry_state_machine.h"

#include <algorithm>
#include <cassert>

#include "base/hash.h"

namespace goldcrestlink::entry {

namespace {
constexpr double RetriesPerRequest = 0.2;
constexpr double MaxSavedRetries = 100;
constexpr Duration RefusalRetryAfter = std::chrono::seconds(1);

// The longest pause of a stream and where it came about, for its end line;
// empty for other requests.
std::string describePause(const PauseMeter &Pauses) {
  const Duration Length = Pauses.longest().Length;
  return Length == Duration(0)
             ? std::string()
             : " pause_ms=" + std::to_string(Length.count() / 1000) +
                   " pause_in=" + std::string(pausePlaceName(Pauses.place()));
}
} // namespace

EntryStateMachine::EntryStateMachine(Options Opts,
                                     std::shared_ptr<const Declarations> Config,
                                     std::string Cell, uint64_t Seed)
    : Opts(Opts), Config(std::move(Config)), Cell(std::move(Cell)), Seed(Seed),
      Rand(Seed), Budget(RetriesPerRequest, MaxSavedRetries) {}

void EntryStateMachine::onConfig(
    std::shared_ptr<const Declarations> NewConfig) {
  assert(NewConfig->generation() >= Config->generation());
  Config = std::move(NewConfig);
  std::erase_if(Views, [&](const auto &Item) {
    const auto Open = OpenAttemptsBySide.find(Item.first);
    const bool InUse =
        Open != OpenAttemptsBySide.end() && !Open->second.empty();
    return !Config->upstream(Item.first) && !InUse;
  });
}

std::string EntryStateMachine::nextId() {
  char Text[40];
  std::snprintf(Text, sizeof(Text), "%016llx-%llx",
                static_cast<unsigned long long>(Seed),
                static_cast<unsigned long long>(++IdCounter));
  return Text;
}

wire::Envelope EntryStateMachine::envelope() const {
  wire::Envelope E;
  E.set_generation(Config->generation());
  return E;
}

Code EntryStateMachine::classifyCompletion(ActiveRequest &Active,
                                           std::string &RankName) const {
  const AdapterDecl *Adapter = Config->adapter(Active.Request.Adapter);
  if (!Adapter)
    return Code::UnknownAdapter;
  const auto &Versions = Adapter->Versions;
  if (std::find(Versions.begin(), Versions.end(), Active.Request.Version) ==
      Versions.end())
    return Code::UnknownVersion;
  Active.Kind = UpstreamKind::Engine;
  Active.Group = Adapter->Model;
  Active.SlotHash =
      hash64(slotKey(Active.Request.Adapter, Active.Request.Version));
  if (RankName.empty() && Active.Request.Application.empty())
    RankName = Config->ranks().front().Name;
  return Code::None;
}

Code EntryStateMachine::classifyRoute(ActiveRequest &Active,
                                      std::string &RankName) const {
  const RouteDecl *Route = Config->route(Active.Request.Path);
  if (!Route)
    return Code::UnknownRoute;
  Active.Kind = UpstreamKind::Service;
  Active.Group = Route->Service;
  Active.Idempotent = Route->Idempotent;
  if (RankName.empty())
    RankName = Route->Rank;
  return Code::None;
}

Code EntryStateMachine::classify(ActiveRequest &Active) const {
  if (Config->ranks().empty())
    return Code::NotConfigured;
  std::string RankName = Active.Request.Rank;
  const bool Completion = !Active.Request.Adapter.empty();
  if (!Active.Request.Application.empty()) {
    const ApplicationDecl *App =
        Config->application(Active.Request.Application);
    if (!App)
      return Code::UnknownApplication;
    if (RankName.empty() && Completion)
      RankName = App->DefaultRank;
    const bool Allowed =
        RankName.empty() || std::find(App->Ranks.begin(), App->Ranks.end(),
                                      RankName) != App->Ranks.end();
    if (!Allowed)
      return Code::UnknownRank;
  }
  const Code Problem = Completion ? classifyCompletion(Active, RankName)
                                  : classifyRoute(Active, RankName);
  if (Problem != Code::None)
    return Problem;
  const auto Rank = Config->rankIndex(RankName);
  if (!Rank)
    return Code::UnknownRank;
  Active.Rank = Config->ranks()[*Rank];
  return Code::None;
}

void EntryStateMachine::onRequest(const CurrentTime &Now, CallerRequest Request,
                                  Actions &Out) {
  const std::string Id = Request.Id;
  assert(!Requests.count(Id));
  Budget.onRequest();
  ActiveRequest Active;
  Active.Request = std::move(Request);
  Active.Arrived = Now.Steady;
  Active.ReceivedMs = unixMillis(Now.Wall);
  Active.KeyFromCaller = !Active.Request.Key.empty();
  const Code Problem = classify(Active);
  if (Problem == Code::None && Requests.size() >= Opts.maxRequests()) {
    const bool KnownNotRun = Active.Idempotent || !Active.KeyFromCaller;
    Requests.emplace(Id, std::move(Active));
    return finish(Now, Id, Code::Overloaded,
                  KnownNotRun ? Outcome::NotRun : Outcome::Unknown, Out);
  }
  if (!Active.Idempotent && !Active.KeyFromCaller) {
    Active.Request.Key = nextId();
    Active.Request.KeyIssuedMs = Active.ReceivedMs;
  }
  const Duration Limit = Active.Request.TimeLimit.count() > 0
                             ? Active.Request.TimeLimit
                             : Active.Rank.Deadline;
  Active.Deadline = Now.Steady + Limit;
  Active.Target = Now.Steady + std::min(Active.Rank.Target, Limit);
  Active.Fingerprint =
      hash64(Active.Request.Body,
             hash64(Active.Request.Method + " " + Active.Request.Path + " " +
                    slotKey(Active.Request.Adapter, Active.Request.Version)));
  Requests.emplace(Id, std::move(Active));
  if (Problem != Code::None)
    return finish(Now, Id, Problem, Outcome::NotRun, Out);
  route(Now, Id, Out);
}

void EntryStateMachine::onCallerGone(const CurrentTime &Now,
                                     const std::string &RequestId,
                                     Actions &Out) {
  const auto It = Requests.find(RequestId);
  if (It == Requests.end())
    return;
  if (It->second.Idempotent)
    abandonAttempt(It->second, Out);
  finish(Now, RequestId, Code::Cancelled, outcomeOf(It->second), Out);
}

Outcome EntryStateMachine::outcomeOf(const ActiveRequest &Active) const {
  if (Active.Ran)
    return Outcome::Ran;
  if (Opts.countOpenAttempts() &&
      (Active.MayHaveRun || !Active.OpenAttempt.empty()))
    return Outcome::Unknown;
  // A request that the caller sent earlier with the same key may have run; only
  // the owner of the key can rule that out.
  if (!Active.Idempotent && Active.KeyFromCaller && !Active.ConfirmedNotRun)
    return Outcome::Unknown;
  return Outcome::NotRun;
}

void EntryStateMachine::fail(const CurrentTime &Now, const std::string &Id,
                             Code Why, Actions &Out) {
  finish(Now, Id, Why, outcomeOf(Requests.at(Id)), Out);
}

void EntryStateMachine::finish(const CurrentTime &Now, const std::string &Id,
                               Code Why, Outcome Known, Actions &Out) {
  const auto It = Requests.find(Id);
  assert(It != Requests.end());
  ActiveRequest &Active = It->second;
  if (!Active.OpenAttempt.empty())
    closeAttempt(Active.OpenAttempt);
  if (!Active.ProbeRoundId.empty())
    ProbeRounds.erase(Active.ProbeRoundId);
  if (Why != Code::None && Why != Code::Cancelled)
    Out.emplace_back(
        DeliverError{Id, Why, Known, RefusalRetryAfter, Active.HeadDelivered});
  RequestRecord Record;
  Record.Rank = Active.Rank.Name;
  Record.Application = Active.Request.Application;
  Record.Why = Why;
  Record.Known = Known;
  Record.Total = Now.Steady - Active.Arrived;
  Record.FirstByte = Active.FirstByte == Time{}
                         ? Record.Total
                         : Active.FirstByte - Active.Arrived;
  Record.LongestPause = Active.Pauses.longest().Length;
  Record.MaxPause = Active.Rank.MaxPause;
  Record.WithinTarget = Why == Code::None && Now.Steady <= Active.Target;
  Record.Attempts = Active.AttemptCount;
  Out.emplace_back(std::move(Record));
  Out.emplace_back(LogDecision{
      Why == Code::None ? LogClass::Routine : LogClass::Kept,
      "end request=" + Id + " rank=" + Active.Rank.Name +
          " code=" + std::string(codeName(Why)) +
          " outcome=" + std::string(outcomeName(Known)) +
          " attempts=" + std::to_string(Active.AttemptCount) +
          " took_us=" + std::to_string((Now.Steady - Active.Arrived).count()) +
          describePause(Active.Pauses)});
  Requests.erase(It);
}

void EntryStateMachine::onMembership(const std::set<std::string> &Draining,
                                     const std::set<std::string> &Gone) {
  ListedDraining = Draining;
  ListedGone = Gone;
  for (auto &[Name, View] : Views)
    View.setListed(Draining.count(Name) > 0, Gone.count(Name) > 0);
}

void EntryStateMachine::onTimer(const CurrentTime &Now, Actions &Out) {
  Delays.onTimer(Now.Steady);
  std::vector<std::string> Expired;
  std::vector<std::string> RetryDue;
  for (const auto &[Id, Active] : Requests) {
    if (Active.Deadline <= Now.Steady)
      Expired.push_back(Id);
    else if (Active.RetryAt != Time{} && Active.RetryAt <= Now.Steady)
      RetryDue.push_back(Id);
  }
  std::vector<std::string> ExpiredRounds;
  for (const auto &[Id, Round] : ProbeRounds)
    if (Round.Deadline <= Now.Steady)
      ExpiredRounds.push_back(Id);
  for (const std::string &Id : Expired) {
    ActiveRequest &Active = Requests.at(Id);
    const Outcome Known = outcomeOf(Active);
    if (Active.Idempotent)
      abandonAttempt(Active, Out);
    finish(Now, Id, Code::DeadlineExceeded, Known, Out);
  }
  for (const std::string &Id : ExpiredRounds)
    finishProbes(Now, Id, Out);
  for (const std::string &Id : RetryDue)
    if (Requests.count(Id))
      route(Now, Id, Out);
  if (Opts.handleSilentSides())
    checkSilentSides(Now, Out);
  stepStop(Now, Out);
}

void EntryStateMachine::onStop(const StopSchedule &Schedule) {
  if (!Stop)
    Stop = Schedule;
}

bool EntryStateMachine::isCallingBack(const CurrentTime &Now) const {
  return Stop && Now.Steady >= Stop->AnswerBy - Opts.callBackTime();
}

// An attempt that is called back stays open, so that the side's answer to the
// cancellation ends the request with what it knows. A keyed attempt runs on for
// its key, and its outcome stays unknown.
void EntryStateMachine::stepStop(const CurrentTime &Now, Actions &Out) {
  if (!isCallingBack(Now))
    return;
  const bool AnswerAll = Now.Steady >= Stop->AnswerBy;
  std::vector<std::string> ToEnd;
  for (const auto &[Id, Active] : Requests) {
    if (Active.HeadDelivered)
      continue;
    if (AnswerAll || Active.OpenAttempt.empty())
      ToEnd.push_back(Id);
    else if (!CalledBack && Active.Idempotent) {
      SendToSide Send{Attempts.at(Active.OpenAttempt).Upstream, envelope()};
      Send.Message.mutable_cancel()->set_attempt_id(Active.OpenAttempt);
      Out.emplace_back(std::move(Send));
    }
  }
  CalledBack = true;
  for (const std::string &Id : ToEnd)
    fail(Now, Id, Code::Draining, Out);
}

} // namespace goldcrestlink::entry
