// Each rank has a list ordered by target time. A ShareTracker picks the rank.
// Within a rank, the application that received the least service relative to
// its share goes first, then the attempt with the earliest target. A pick scans
// at most all waiting attempts, whose number is bounded by maxWaiting().
#include "scheduling/rank_queue.h"

#include <algorithm>
#include <cassert>

namespace goldcrestlink {

namespace {
// Once an application of a rank has received more service than this, the
// service of all applications of the rank is halved, so that an idle
// application does not build up an unbounded claim.
constexpr double MaxAppServedSeconds = 600;
} // namespace

RankQueue::RankQueue(Options O, std::vector<double> RankShares,
                     std::unordered_map<std::string, double> AppShares)
    : Opts(O), RankTracker(RankShares, O.shareHalfLife()),
      AppShares(std::move(AppShares)), Ranks(RankShares.size()),
      RankWork(RankShares.size()), ServedSeconds(RankShares.size()) {}

bool RankQueue::push(WaitingAttempt Item) {
  assert(Item.Rank < Ranks.size());
  assert(!Index.count(Item.AttemptId));
  if (Index.size() >= Opts.maxWaiting())
    return false;
  Items &List = Ranks[Item.Rank];
  auto Where = List.end();
  while (Where != List.begin() && std::prev(Where)->Target > Item.Target)
    --Where;
  RankWork[Item.Rank] += Item.ServiceTime;
  const size_t Rank = Item.Rank;
  const auto It = List.insert(Where, std::move(Item));
  Index.emplace(It->AttemptId, Position{Rank, It});
  return true;
}

WaitingAttempt RankQueue::take(Items::iterator It) {
  WaitingAttempt Out = std::move(*It);
  RankWork[Out.Rank] -= Out.ServiceTime;
  Index.erase(Out.AttemptId);
  Ranks[Out.Rank].erase(It);
  return Out;
}

bool RankQueue::remove(const std::string &AttemptId) {
  const auto Found = Index.find(AttemptId);
  if (Found == Index.end())
    return false;
  take(Found->second.Item);
  return true;
}

double RankQueue::servicePerShare(size_t Rank,
                                  const std::string &Application) const {
  const auto Served = ServedSeconds[Rank].find(Application);
  const auto Share = AppShares.find(Application);
  const double Weight = Share == AppShares.end() ? 1 : Share->second;
  return Served == ServedSeconds[Rank].end() ? 0 : Served->second / Weight;
}

RankQueue::Items::iterator
RankQueue::nextOf(size_t Rank,
                  const std::function<bool(const WaitingAttempt &)> &CanStart) {
  Items &List = Ranks[Rank];
  auto Best = List.end();
  double BestService = 0;
  for (auto It = List.begin(); It != List.end(); ++It) {
    const double Service = servicePerShare(Rank, It->Application);
    if ((Best == List.end() || Service < BestService) && CanStart(*It)) {
      Best = It;
      BestService = Service;
    }
  }
  return Best;
}

std::optional<WaitingAttempt> RankQueue::pickNext(
    Time Now, const std::function<bool(const WaitingAttempt &)> &CanStart) {
  std::vector<Items::iterator> Best(Ranks.size());
  std::vector<bool> Eligible(Ranks.size());
  for (size_t I = 0; I < Ranks.size(); ++I) {
    Best[I] = nextOf(I, CanStart);
    Eligible[I] = Best[I] != Ranks[I].end();
  }
  const auto Rank = RankTracker.pick(Eligible, Eligible);
  if (!Rank)
    return std::nullopt;
  WaitingAttempt Out = take(Best[*Rank]);
  const double Work = seconds(Out.ServiceTime);
  RankTracker.charge(Now, *Rank, Work);
  auto &Served = ServedSeconds[*Rank];
  Served[Out.Application] += Work;
  if (Served[Out.Application] > MaxAppServedSeconds)
    for (auto &[Name, Value] : Served)
      Value /= 2;
  return Out;
}

bool RankQueue::isTooLate(Time Now, const WaitingAttempt &Item) const {
  if (Item.Target <= Now)
    return true;
  // An attempt that takes too long for its target even without any wait is not
  // refused for that alone.
  const Duration Tolerable =
      fromSeconds(TolerableWaitShare * seconds(Item.Target - Item.Arrived));
  return Now - Item.Arrived > Tolerable && Now + Item.ServiceTime > Item.Target;
}

std::vector<WaitingAttempt> RankQueue::takeTooLate(Time Now) {
  std::vector<WaitingAttempt> Out;
  for (Items &List : Ranks)
    for (auto It = List.begin(); It != List.end();) {
      const auto Next = std::next(It);
      if (isTooLate(Now, *It))
        Out.push_back(take(It));
      It = Next;
    }
  return Out;
}

const std::list<WaitingAttempt> &RankQueue::waiting(size_t Rank) const {
  assert(Rank < Ranks.size());
  return Ranks[Rank];
}

Duration RankQueue::workAhead(size_t Rank) const {
  Duration Sum{};
  for (size_t I = 0; I <= Rank && I < Ranks.size(); ++I)
    Sum += RankWork[I];
  return Sum;
}

} // namespace goldcrestlink
