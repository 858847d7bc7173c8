// Each adapter has its own rendezvous order of the engines. The first usable
// engines in that order are its preferred ones, as many as its demand needs. A
// rarely used adapter thus returns to the engine that can reload it fastest,
// and a heavily used one gets replicas. The expected time to the first token is
// the prefill time of the queued prompts and of the request's own prompt, plus
// a load if the engine does not hold the adapter. One ranking visits each
// engine once and sorts twice.
//
// A load report includes every request whose admission the side has answered
// before, since both come over one connection in order. Requests of this entry
// that are not answered yet are added to what the report says.
#include "forward/engine_ranker.h"

#include <algorithm>
#include <tuple>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {
// Adapters known to have been held until lately, for each engine.
constexpr size_t MaxEvictedKnown = 64;
// A side reports a load that an entry has caused within this time.
constexpr Duration RequestedExpiry = std::chrono::milliseconds(300);
// A side's load report includes a request of this entry after this time: the
// reports of engines are up to 200 ms old.
constexpr Duration SendExpiry = std::chrono::milliseconds(300);
// Sends remembered for each engine; more within SendExpiry are ones that the
// engine could not serve at once either.
constexpr size_t MaxRecentSends = 64;
// Weight of the newest request in the mean expected output.
constexpr double OutputWeight = 0.01;
// Range of the cost of running requests by the expected output: a higher cost
// would be worth a further copy of an adapter, and a wrong hint must not decide
// alone.
constexpr double MinOutputRatio = 0.5;
constexpr double MaxOutputRatio = 1.5;
// Demand that a side has not confirmed for this long has ceased or is not
// known: sides report again whenever their load changes.
constexpr Duration DemandExpiry = std::chrono::seconds(5);
// Time to load an adapter from the engine's own memory.
constexpr Duration ReloadTime = std::chrono::milliseconds(30);

template <class Hashes> bool contains(const Hashes &In, uint32_t Hash) {
  return std::find(In.begin(), In.end(), Hash) != In.end();
}
} // namespace

void EngineRanker::onLoad(Time Now, const std::string &Id,
                          const EngineLoad &Load) {
  EngineState &State = States[Id];
  for (const uint32_t Hash : State.Load.Held)
    if (Load.Serving && !contains(Load.Held, Hash) &&
        !contains(State.Evicted, Hash))
      State.Evicted.push_front(Hash);
  if (State.Evicted.size() > MaxEvictedKnown)
    State.Evicted.resize(MaxEvictedKnown);
  // An engine that starts anew holds nothing of before.
  if (!Load.Serving) {
    State.Evicted.clear();
    State.Kept.clear();
    State.Recent.clear();
  }
  State.Load = Load;
  dropExpired(Now, State);
  State.Known = true;
  State.LoadedAt = Now;
  for (size_t Row = 0; Row < BacklogRanks; ++Row)
    State.BacklogEnd[Row] = Now + Load.Backlog[Row];
  std::erase_if(State.Recent, [](const RecentSend &S) { return S.IsAnswered; });
  for (const RecentSend &S : State.Recent)
    for (size_t Row = backlogRow(S.Rank); Row < BacklogRanks; ++Row)
      State.BacklogEnd[Row] += S.Work;
  State.SideBackoffUntil = Time{};
}

void EngineRanker::onSent(Time Now, const std::string &Id,
                          const EngineRequirements &Required, Duration Interval,
                          uint64_t AdmissionId) {
  EngineState &State = States[Id];
  const uint32_t Hash = adapterHash(Required.Model, Required.Adapter);
  const bool HoldsAdapter =
      Required.Adapter.empty() || contains(State.Load.Held, Hash);
  const Duration PrefillTime(
      static_cast<int64_t>(unreadTokens(Now, State, Required, HoldsAdapter) *
                           1000.0 / State.Load.PrefillRate));
  ++Sent;
  if (Required.OutputTokens > 0)
    MeanOutput += (Required.OutputTokens - MeanOutput) *
                  (MeanOutput > 0 ? OutputWeight : 1);
  State.Kept.onGrant(Now, Required.Parts);
  State.OwnOpen += AdmissionId != 0 ? 1 : 0;
  dropExpired(Now, State);
  if (!Required.Adapter.empty() && !contains(State.Load.Held, Hash) &&
      State.Requested.size() < MaxEvictedKnown)
    State.Requested.push_back({Hash, Now});
  // The engine prefills more urgent prompts first, so they do not wait for this
  // one.
  for (size_t Row = backlogRow(Required.Rank); Row < BacklogRanks; ++Row)
    State.BacklogEnd[Row] =
        std::max(State.BacklogEnd[Row], Now) + PrefillTime + Interval;
  if (State.Recent.size() < MaxRecentSends)
    State.Recent.push_back(
        {Now, AdmissionId, Required.Rank, PrefillTime + Interval, false});
}

void EngineRanker::onEnded(const std::string &Id) {
  const auto It = States.find(Id);
  if (It != States.end() && It->second.OwnOpen > 0)
    --It->second.OwnOpen;
}

void EngineRanker::onStreamed(const std::string &Id, uint64_t Tokens,
                              Duration Took) {
  const auto It = States.find(Id);
  if (It != States.end() && It->second.Known)
    Decoding.learn(It->second.Load.Running, Tokens, Took);
}

void EngineRanker::onOutcome(Time Now, const std::string &Id,
                             CallOutcome Outcome) {
  States[Id].Health.onOutcome(Now, Outcome);
}

void EngineRanker::onSideSilent(Time Now, const std::string &Id) {
  States[Id].SideBackoffUntil = Now + Opts.unresponsiveBackoff();
}

void EngineRanker::onSideAnswered(const std::string &Id, uint64_t AdmissionId) {
  EngineState &State = States[Id];
  State.SideBackoffUntil = Time{};
  for (RecentSend &S : State.Recent)
    S.IsAnswered |= S.AdmissionId != 0 && S.AdmissionId == AdmissionId;
}

void EngineRanker::onUnreachable(Time Now, const std::string &Id) {
  States[Id].Health.onUnreachable(Now, Opts.unresponsiveBackoff());
}

void EngineRanker::onReplaced(const std::string &Id) {
  States[Id].Health.onReplaced();
}

void EngineRanker::retain(const std::map<std::string, UpstreamRecord> &Known) {
  std::erase_if(States,
                [&](const auto &Item) { return !Known.contains(Item.first); });
}

size_t EngineRanker::preferredEngines(
    Time Now, const EngineRequirements &Required,
    std::span<const UpstreamRecord *const> ReadyUpstreams) const {
  if (Required.Adapter.empty())
    return 0;
  const uint32_t Hash = adapterHash(Required.Model, Required.Adapter);
  double Percent = 0;
  for (const UpstreamRecord *U : ReadyUpstreams) {
    const auto It = States.find(U->Id);
    if (It == States.end() || !isUsable(Now, It->second) ||
        Now - It->second.LoadedAt > DemandExpiry)
      continue;
    for (const AdapterShare &S : It->second.Load.Demand)
      Percent += S.Adapter == Hash ? S.Percent : 0;
  }
  return 1 +
         static_cast<size_t>(Percent / 100 / Opts.adapterUtilisationLimit());
}

void EngineRanker::dropExpired(Time Now, EngineState &State) {
  std::erase_if(State.Requested, [&](const auto &Item) {
    return Now - Item.second > RequestedExpiry;
  });
  std::erase_if(State.Recent,
                [&](const RecentSend &S) { return Now - S.At > SendExpiry; });
}

uint32_t EngineRanker::running(Time Now, const EngineState &State) {
  return State.Load.Running +
         static_cast<uint32_t>(std::count_if(
             State.Recent.begin(), State.Recent.end(),
             [&](const RecentSend &S) { return Now - S.At <= SendExpiry; }));
}

uint32_t EngineRanker::unreadTokens(Time Now, const EngineState &State,
                                    const EngineRequirements &Required,
                                    bool HoldsAdapter) const {
  const uint32_t Known = State.Kept.tokens(Now, Required.Parts);
  const auto Assumed = static_cast<uint32_t>(
      HoldsAdapter ? Required.SharedTokens * Opts.assumedShare() : 0);
  return Required.PromptTokens -
         std::min(Required.PromptTokens, std::max(Known, Assumed));
}

bool EngineRanker::isComing(Time Now, const EngineState &State, uint32_t Hash) {
  return contains(State.Load.Incoming, Hash) ||
         std::any_of(State.Requested.begin(), State.Requested.end(),
                     [&](const auto &Item) {
                       return Item.first == Hash &&
                              Now - Item.second <= RequestedExpiry;
                     });
}

bool EngineRanker::isHeld(Time Now, const EngineState &State, uint32_t Hash) {
  return contains(State.Load.Held, Hash) || isComing(Now, State, Hash);
}

Duration EngineRanker::pauseCost(const EngineState &State,
                                 const EngineRequirements &Required,
                                 uint32_t Tokens) const {
  const double LimitMs = seconds(Required.MaxPause) * 1e3 * PlannedPauseShare;
  const double PauseMs = Tokens / State.Load.PrefillRate;
  if (LimitMs <= 0 || PauseMs * State.Load.SlowdownRisk <= LimitMs)
    return Duration(0);
  const double Probability = PauseMs > LimitMs ? 1 : State.Load.SlowShare;
  return Duration(
      static_cast<int64_t>(static_cast<double>(Opts.lateStreamCost().count()) *
                           Probability * State.Load.StreamsOnTime));
}

Duration EngineRanker::costPerRun(const EngineRequirements &Required) const {
  const double Ratio = MeanOutput > 0 && Required.OutputTokens > 0
                           ? std::clamp(Required.OutputTokens / MeanOutput,
                                        MinOutputRatio, MaxOutputRatio)
                           : 1;
  return Duration(static_cast<int64_t>(
      Ratio * static_cast<double>(Opts.runningCost().count())));
}

double EngineRanker::roomBelow(
    Time Now, std::span<const UpstreamRecord *const> Upstreams) const {
  size_t Sum = 0;
  size_t Count = 0;
  for (const UpstreamRecord *U : Upstreams) {
    const auto It = States.find(U->Id);
    if (It == States.end() || !isUsable(Now, It->second))
      continue;
    Sum += It->second.Load.Held.size();
    ++Count;
  }
  // While few adapters are in use, all engines have room.
  return Sum < Count || Count == 0
             ? 0
             : static_cast<double>(Sum) / static_cast<double>(Count) *
                   Opts.emptyShare();
}

std::vector<EngineCandidate> EngineRanker::rank(
    Time Now, const EngineRequirements &Required,
    std::span<const UpstreamRecord *const> ReadyUpstreams) const {
  const uint32_t AdapterHash = adapterHash(Required.Model, Required.Adapter);
  const uint64_t Key = hash64(adapterName(Required.Model, Required.Adapter));
  static const EngineState Unknown;
  struct UsableEngine {
    uint64_t Score;
    const UpstreamRecord *Upstream;
    const EngineState *State;
  };
  std::vector<UsableEngine> Order;
  for (const UpstreamRecord *U : ReadyUpstreams) {
    const auto It = States.find(U->Id);
    const EngineState &State = It == States.end() ? Unknown : It->second;
    if (isUsable(Now, State))
      Order.push_back({mixHash(Key, hash64(U->Id)), U, &State});
  }
  std::sort(Order.begin(), Order.end(),
            [](const UsableEngine &A, const UsableEngine &B) {
              return std::tie(A.Score, A.Upstream) >
                     std::tie(B.Score, B.Upstream);
            });
  const size_t PreferredCount = preferredEngines(Now, Required, ReadyUpstreams);
  std::vector<EngineCandidate> Out;
  size_t Position = 0;
  const bool HeldNow =
      std::any_of(Order.begin(), Order.end(), [&](const UsableEngine &E) {
        return isHeld(Now, *E.State, AdapterHash);
      });
  const bool HeldNowhere =
      !HeldNow &&
      std::none_of(Order.begin(), Order.end(), [&](const UsableEngine &E) {
        return contains(E.State->Evicted, AdapterHash);
      });
  const double RoomBelow = HeldNow ? 0 : roomBelow(Now, ReadyUpstreams);
  for (const UsableEngine &E : Order) {
    const EngineState &State = *E.State;
    EngineCandidate Candidate;
    Candidate.Upstream = E.Upstream;
    // The one copy that low demand needs is where the adapter was loaded, or,
    // if it has been evicted there, at an engine that has come empty.
    const bool HasRoom =
        static_cast<double>(State.Load.Held.size()) < RoomBelow;
    Candidate.IsPreferred = Position < PreferredCount &&
                            (HeldNowhere || PreferredCount > 1 || HasRoom);
    ++Position;
    Candidate.SideAnswers = Now >= State.SideBackoffUntil;
    Candidate.HoldsAdapter =
        Required.Adapter.empty() || contains(State.Load.Held, AdapterHash);
    const bool HeldLately =
        !Candidate.HoldsAdapter && contains(State.Evicted, AdapterHash);
    const bool Coming =
        !Candidate.HoldsAdapter && isComing(Now, State, AdapterHash);
    Candidate.IsHome = HeldNowhere && Position <= Opts.homeEngines();
    if (!Candidate.SideAnswers && !Candidate.HoldsAdapter &&
        !Required.AnyWithoutSide)
      continue;
    const uint32_t Tokens =
        unreadTokens(Now, State, Required, Candidate.HoldsAdapter);
    const uint32_t Running = running(Now, State);
    const Duration Backlog = std::max(
        Duration(0), State.BacklogEnd[backlogRow(Required.Rank)] - Now);
    const auto OwnPrefill = Duration(
        static_cast<int64_t>(Tokens * 1000.0 / State.Load.PrefillRate));
    Candidate.Expected = Backlog + OwnPrefill;
    if (HeldLately)
      Candidate.Expected += ReloadTime;
    else if (Coming)
      Candidate.Expected += Opts.preferredLoadTime();
    else if (!Candidate.HoldsAdapter)
      Candidate.Expected += Candidate.IsPreferred || Candidate.IsHome
                                ? Opts.preferredLoadTime()
                                : Opts.loadTime();
    const Duration Decode = Decoding.time(Running + 1, Required.OutputTokens);
    Candidate.Whole = Candidate.Expected + Decode;
    Candidate.Run = OwnPrefill + Decode;
    // The wait for an engine's limit is no guess: it does not end sooner
    // because other entries avoid the engine meanwhile.
    const double Reported =
        State.Load.RequestLimit > 0 ? 1 : Opts.reportedShare();
    Candidate.Cost =
        Candidate.Expected -
        Duration(static_cast<int64_t>((1 - Reported) *
                                      static_cast<double>(Backlog.count())));
    if (Candidate.HoldsAdapter)
      Candidate.Cost += Duration(
          static_cast<int64_t>(mixHash(mixHash(Opts.seed(), Sent), E.Score) %
                               static_cast<uint64_t>(Opts.tieRange().count())));
    Candidate.Cost +=
        costPerRun(Required) * static_cast<int64_t>(State.Load.Running);
    Candidate.Cost += Opts.ownOpenCost() * static_cast<int64_t>(State.OwnOpen);
    Candidate.Cost += pauseCost(State, Required, Tokens);
    if (!Candidate.HoldsAdapter && !Candidate.IsPreferred && !HeldLately &&
        !Coming && !Candidate.IsHome)
      Candidate.Cost += Opts.extraCopyCost();
    if (E.Upstream->DataCentre != Opts.dataCentre())
      Candidate.Cost += Opts.distanceCost();
    Candidate.Cost += Duration(
        static_cast<int64_t>(State.Health.failureShare(Now) *
                             static_cast<double>(Opts.failureCost().count())));
    Out.push_back(Candidate);
  }
  std::stable_sort(Out.begin(), Out.end(),
                   [](const EngineCandidate &A, const EngineCandidate &B) {
                     return A.Cost < B.Cost;
                   });
  return Out;
}

} // namespace goldcrestlink::forward
