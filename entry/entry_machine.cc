// Intake and ends of requests. Choosing a side is in entry_routing.cc,
// following answers and silences in entry_answers.cc.
//
// A request is in Requests from intake to its one end. It has at most one open
// attempt; an attempt that is given up while unanswered leaves a mark, so that
// "not run" is said only when every attempt was denied. Requests are bounded
// by maxRequests, attempts per request by maxAttempts and the retry budget.
#include "entry/entry_machine.h"

#include <algorithm>
#include <cassert>

#include "base/hash.h"

namespace goldcrestlink::entry {

namespace {
constexpr double RetriesPerRequest = 0.2;
constexpr double MaxSavedRetries = 100;
constexpr Duration RefusalRetryAfter = std::chrono::seconds(1);
} // namespace

EntryMachine::EntryMachine(Options O,
                           std::shared_ptr<const Declarations> InForce,
                           std::string InCell, uint64_t FromSeed)
    : Opts(O), Config(std::move(InForce)), Cell(std::move(InCell)),
      Seed(FromSeed), Rand(FromSeed),
      Budget(RetriesPerRequest, MaxSavedRetries) {}

void EntryMachine::onConfig(std::shared_ptr<const Declarations> Newer) {
  assert(Newer->generation() >= Config->generation());
  Config = std::move(Newer);
  std::erase_if(Views, [&](const auto &Item) {
    const auto Open = OpenAt.find(Item.first);
    const bool InUse = Open != OpenAt.end() && !Open->second.empty();
    return !Config->upstream(Item.first) && !InUse;
  });
}

std::string EntryMachine::nextId() {
  char Text[40];
  std::snprintf(Text, sizeof(Text), "%016llx-%llx",
                static_cast<unsigned long long>(Seed),
                static_cast<unsigned long long>(++IdCounter));
  return Text;
}

wire::Envelope EntryMachine::envelope() const {
  wire::Envelope E;
  E.set_generation(Config->generation());
  return E;
}

Code EntryMachine::classifyCompletion(ActiveRequest &A,
                                      std::string &RankName) const {
  const AdapterDecl *Adapter = Config->adapter(A.Ask.Adapter);
  if (!Adapter)
    return Code::UnknownAdapter;
  const auto &Versions = Adapter->Versions;
  if (std::find(Versions.begin(), Versions.end(), A.Ask.Version) ==
      Versions.end())
    return Code::UnknownVersion;
  A.Kind = UpstreamKind::Engine;
  A.Group = Adapter->Model;
  A.SlotHash = hash64(slotKey(A.Ask.Adapter, A.Ask.Version));
  if (RankName.empty() && A.Ask.Application.empty())
    RankName = Config->ranks().front().Name;
  return Code::None;
}

Code EntryMachine::classifyRoute(ActiveRequest &A,
                                 std::string &RankName) const {
  const RouteDecl *Route = Config->route(A.Ask.Path);
  if (!Route)
    return Code::UnknownRoute;
  A.Kind = UpstreamKind::Service;
  A.Group = Route->Service;
  A.Idempotent = Route->Idempotent;
  if (RankName.empty())
    RankName = Route->Rank;
  return Code::None;
}

Code EntryMachine::classify(ActiveRequest &A) const {
  if (Config->ranks().empty())
    return Code::NotConfigured;
  std::string RankName = A.Ask.Rank;
  const bool Completion = !A.Ask.Adapter.empty();
  if (!A.Ask.Application.empty()) {
    const ApplicationDecl *App = Config->application(A.Ask.Application);
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
  const Code Problem =
      Completion ? classifyCompletion(A, RankName) : classifyRoute(A, RankName);
  if (Problem != Code::None)
    return Problem;
  const auto Rank = Config->rankIndex(RankName);
  if (!Rank)
    return Code::UnknownRank;
  A.Rank = Config->ranks()[*Rank];
  return Code::None;
}

void EntryMachine::onRequest(const Now &N, CallerRequest R, Actions &Out) {
  const std::string Id = R.Id;
  assert(!Requests.count(Id));
  Budget.onRequest();
  ActiveRequest A;
  A.Ask = std::move(R);
  A.Arrived = N.Steady;
  A.ReceivedMs = unixMillis(N.Wall);
  A.KeyFromCaller = !A.Ask.Key.empty();
  const Code Problem = classify(A);
  if (Problem == Code::None && Requests.size() >= Opts.maxRequests()) {
    const bool Vouched = A.Idempotent || !A.KeyFromCaller;
    Requests.emplace(Id, std::move(A));
    return finish(N, Id, Code::Overloaded,
                  Vouched ? Outcome::NotRun : Outcome::Unknown, Out);
  }
  if (!A.Idempotent && !A.KeyFromCaller) {
    A.Ask.Key = nextId();
    A.Ask.KeyIssuedMs = A.ReceivedMs;
  }
  const Duration Limit =
      A.Ask.TimeLimit.count() > 0 ? A.Ask.TimeLimit : A.Rank.Deadline;
  A.Deadline = N.Steady + Limit;
  A.Target = N.Steady + std::min(A.Rank.Target, Limit);
  A.Fingerprint =
      hash64(A.Ask.Body, hash64(A.Ask.Method + " " + A.Ask.Path + " " +
                                slotKey(A.Ask.Adapter, A.Ask.Version)));
  Requests.emplace(Id, std::move(A));
  if (Problem != Code::None)
    return finish(N, Id, Problem, Outcome::NotRun, Out);
  route(N, Id, Out);
}

void EntryMachine::onCallerGone(const Now &N, const std::string &RequestId,
                                Actions &Out) {
  const auto It = Requests.find(RequestId);
  if (It == Requests.end())
    return;
  if (It->second.Idempotent)
    abandonAttempt(It->second, Out);
  finish(N, RequestId, Code::Cancelled, outcomeOf(It->second), Out);
}

Outcome EntryMachine::outcomeOf(const ActiveRequest &A) const {
  if (A.Ran)
    return Outcome::Ran;
  if (Opts.countOpenAttempts() && (A.MaybeRan || !A.Open.empty()))
    return Outcome::Unknown;
  // An earlier submission of the caller's key may have run; only the key's
  // owner can rule that out.
  if (!A.Idempotent && A.KeyFromCaller && !A.Attested)
    return Outcome::Unknown;
  return Outcome::NotRun;
}

void EntryMachine::fail(const Now &N, const std::string &Id, Code Why,
                        Actions &Out) {
  finish(N, Id, Why, outcomeOf(Requests.at(Id)), Out);
}

void EntryMachine::finish(const Now &N, const std::string &Id, Code Why,
                          Outcome Known, Actions &Out) {
  const auto It = Requests.find(Id);
  assert(It != Requests.end());
  ActiveRequest &A = It->second;
  if (!A.Open.empty())
    closeAttempt(A.Open);
  if (!A.ProbeRound.empty())
    Rounds.erase(A.ProbeRound);
  if (Why != Code::None && Why != Code::Cancelled)
    Out.emplace_back(
        DeliverError{Id, Why, Known, RefusalRetryAfter, A.HeadDelivered});
  RequestRecord Record;
  Record.Rank = A.Rank.Name;
  Record.Application = A.Ask.Application;
  Record.Why = Why;
  Record.Known = Known;
  Record.Total = N.Steady - A.Arrived;
  Record.FirstByte =
      A.FirstByte == Time{} ? Record.Total : A.FirstByte - A.Arrived;
  Record.WithinTarget = Why == Code::None && N.Steady <= A.Target;
  Record.Attempts = A.Attempts;
  Out.emplace_back(std::move(Record));
  Out.emplace_back(LogDecision{
      Why == Code::None ? LineClass::Routine : LineClass::Kept,
      "end request=" + Id + " rank=" + A.Rank.Name +
          " code=" + std::string(codeName(Why)) +
          " outcome=" + std::string(outcomeName(Known)) +
          " attempts=" + std::to_string(A.Attempts) +
          " took_us=" + std::to_string((N.Steady - A.Arrived).count())});
  Requests.erase(It);
}

void EntryMachine::onMembership(const std::set<std::string> &Leaving,
                                const std::set<std::string> &Gone) {
  ListedLeaving = Leaving;
  ListedGone = Gone;
  for (auto &[Name, View] : Views)
    View.setListed(Leaving.count(Name) > 0, Gone.count(Name) > 0);
}

void EntryMachine::onTimer(const Now &N, Actions &Out) {
  std::vector<std::string> Late;
  std::vector<std::string> Again;
  for (const auto &[Id, A] : Requests) {
    if (A.Deadline <= N.Steady)
      Late.push_back(Id);
    else if (A.RetryAt != Time{} && A.RetryAt <= N.Steady)
      Again.push_back(Id);
  }
  std::vector<std::string> Overdue;
  for (const auto &[Id, Round] : Rounds)
    if (Round.Until <= N.Steady)
      Overdue.push_back(Id);
  for (const std::string &Id : Late) {
    ActiveRequest &A = Requests.at(Id);
    const Outcome Known = outcomeOf(A);
    if (A.Idempotent)
      abandonAttempt(A, Out);
    finish(N, Id, Code::DeadlineExceeded, Known, Out);
  }
  for (const std::string &Id : Overdue)
    finishProbes(N, Id, Out);
  for (const std::string &Id : Again)
    if (Requests.count(Id))
      route(N, Id, Out);
  if (Opts.recoverSilence())
    judgeSides(N, Out);
}

} // namespace goldcrestlink::entry
