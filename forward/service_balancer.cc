// Two exponentially weighted means of the time per call: a slow one, and a fast
// one that follows a slow spell within an answer or two and returns to the slow
// one with time. A call that is open for longer than the fast mean raises it at
// once. Both include the wait behind the calls of other entries, so these need
// not be known. The weight of an upstream is its delay to the power of
// -WeightExponent: the slower ones get few calls, but some, which notice when
// they recover.
//
// A choice takes one pass over the service's upstreams and their open calls.
// Each upstream may have queueFactor() open calls per slot; all entries get
// equal shares of these, at least one call each, so that a single entry may use
// all of them.
#include "forward/service_balancer.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {
// Weights of the newest answer. An entry of the largest deployment gets two or
// three answers of an upstream in a second, so the fast mean follows the first
// one of a spell.
constexpr double UsualWeight = 0.05;
constexpr double RecentWeight = 0.6;
// Spells of slowness last 600 ms; what was seen longer ago says little.
constexpr double RecentSeconds = 0.6;
// Without answers for this long an upstream counts as unknown.
constexpr Duration KnowledgeExpiry = std::chrono::seconds(10);
// Expected where no upstream of the service has answered.
constexpr Duration UnknownTime = std::chrono::milliseconds(20);
// Shortest time that a call counts as, so that the weights of very fast
// upstreams do not differ by noise.
constexpr Duration MinTime = std::chrono::milliseconds(2);
// Half of the delay gives 256 times the calls; a difference of a tenth, which
// is noise, gives twice as many.
constexpr double WeightExponent = 8;

Duration blend(Duration Old, Duration New, double Weight) {
  return Old + Duration(static_cast<int64_t>(
                   Weight * static_cast<double>((New - Old).count())));
}
} // namespace

Duration ServiceBalancer::UpstreamState::expected(Time Now) const {
  if (Usual == Duration(0) || Now - AnsweredAt > KnowledgeExpiry)
    return Duration(0);
  Duration Out = blend(Usual, Recent,
                       std::exp(-seconds(Now - AnsweredAt) / RecentSeconds));
  // An older open call is an exception: a younger one has been answered.
  for (const Time SentAt : Open)
    if (SentAt > AnsweredSentAt)
      Out = std::max(Out, Now - SentAt);
  return Out;
}

void ServiceBalancer::onSent(Time Now, const std::string &Id) {
  ++Sent;
  States[Id].Open.push_back(Now);
}

void ServiceBalancer::onEnded(Time Now, const std::string &Id,
                              CallOutcome Outcome, Time SentAt) {
  UpstreamState &State = States[Id];
  const auto It = std::find(State.Open.begin(), State.Open.end(), SentAt);
  if (It != State.Open.end())
    State.Open.erase(It);
  State.Health.onOutcome(Now, Outcome);
  if (Outcome != CallOutcome::Answered)
    return;
  const Duration Took = std::max(MinTime, Now - SentAt);
  if (State.expected(Now) == Duration(0)) {
    State.Usual = Took;
    State.Recent = Took;
  } else {
    const double Left =
        std::exp(-seconds(Now - State.AnsweredAt) / RecentSeconds);
    State.Recent =
        blend(blend(State.Usual, State.Recent, Left), Took, RecentWeight);
    State.Usual = blend(State.Usual, Took, UsualWeight);
  }
  State.AnsweredAt = Now;
  State.AnsweredSentAt = std::max(State.AnsweredSentAt, SentAt);
}

void ServiceBalancer::onUnreachable(Time Now, const std::string &Id) {
  States[Id].Health.onUnreachable(Now, Opts.unreachableBackoff());
}

void ServiceBalancer::onReplaced(const std::string &Id) {
  States[Id].Health.onReplaced();
}

void ServiceBalancer::setEntries(size_t Count) {
  Entries = std::max<size_t>(1, Count);
}

void ServiceBalancer::retain(
    const std::map<std::string, UpstreamRecord> &Known) {
  std::erase_if(States, [&](const auto &Item) {
    return !Known.contains(Item.first) && Item.second.Open.empty();
  });
}

Duration ServiceBalancer::expectedTime(Time Now, const std::string &Id) const {
  const auto It = States.find(Id);
  return It == States.end() ? Duration(0) : It->second.expected(Now);
}

const UpstreamRecord *
ServiceBalancer::choose(Time Now,
                        std::span<const UpstreamRecord *const> Upstreams,
                        const std::set<std::string> &Excluded) const {
  static const UpstreamState Unknown;
  struct Candidate {
    const UpstreamRecord *Upstream;
    const UpstreamState *State;
    Duration Expected;
  };
  std::vector<Candidate> Usable;
  Duration Known{};
  for (const UpstreamRecord *U : Upstreams) {
    const auto It = States.find(U->Id);
    const UpstreamState &State = It == States.end() ? Unknown : It->second;
    const double Share = std::max(1.0, U->Slots * Opts.queueFactor() /
                                           static_cast<double>(Entries));
    const Duration Expected = State.expected(Now);
    // An upstream that is not known counts as the fastest of the others.
    if (Expected > Duration(0))
      Known = Known == Duration(0) ? Expected : std::min(Known, Expected);
    if (State.Health.usable(Now) &&
        static_cast<double>(State.Open.size()) < Share &&
        !Excluded.contains(U->Id))
      Usable.push_back({U, &State, Expected});
  }
  std::vector<double> Sums;
  double Sum = 0;
  for (const Candidate &C : Usable) {
    Duration Cost = C.Expected > Duration(0) ? C.Expected
                    : Known > Duration(0)    ? Known
                                             : UnknownTime;
    // Each own open call takes a slot, and stands for those of the others that
    // were sent for the same reasons.
    Cost += Cost * static_cast<int64_t>(C.State->Open.size());
    if (C.Upstream->DataCentre != Opts.dataCentre())
      Cost += Opts.distanceCost();
    Cost += Duration(
        static_cast<int64_t>(C.State->Health.failureShare(Now) *
                             static_cast<double>(Opts.failureCost().count())));
    Sum += std::pow(seconds(std::max(MinTime, Cost)), -WeightExponent);
    Sums.push_back(Sum);
  }
  if (Usable.empty())
    return nullptr;
  const double Drawn =
      static_cast<double>(mixHash(Opts.seed(), Sent) >> 11) * 0x1.0p-53 * Sum;
  const auto Position = std::upper_bound(Sums.begin(), Sums.end(), Drawn);
  return Usable[static_cast<size_t>(std::min<ptrdiff_t>(Position - Sums.begin(),
                                                        std::ssize(Sums) - 1))]
      .Upstream;
}

} // namespace goldcrestlink::forward
