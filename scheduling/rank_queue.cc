// One list per rank, ordered by target time. The rank is picked by shares;
// within a rank the application with the least service per share goes first,
// then the earliest target. A pick scans at most the waiting items, whose
// number is bounded by maxWaiting.
#include "scheduling/rank_queue.h"

#include <algorithm>
#include <cassert>

namespace goldcrestlink {

namespace {
// Served work of all applications of a rank is halved beyond this many
// seconds, so that an idle application cannot save up an unbounded claim.
constexpr double MaxAppServedSeconds = 600;
} // namespace

RankQueue::RankQueue(Options O, std::vector<double> RankShares,
                     std::unordered_map<std::string, double> AppShares)
    : Limits(O), RankShare(RankShares, O.shareHalfLife()),
      AppShares(std::move(AppShares)), Ranks(RankShares.size()),
      RankWork(RankShares.size()), AppServed(RankShares.size()) {}

bool RankQueue::push(WaitingItem Item) {
  assert(Item.Rank < Ranks.size());
  assert(!Index.count(Item.AttemptId));
  if (Index.size() >= Limits.maxWaiting())
    return false;
  Items &List = Ranks[Item.Rank];
  auto Where = List.end();
  while (Where != List.begin() && std::prev(Where)->Target > Item.Target)
    --Where;
  RankWork[Item.Rank] += Item.Service;
  const size_t Rank = Item.Rank;
  const auto It = List.insert(Where, std::move(Item));
  Index.emplace(It->AttemptId, Position{Rank, It});
  return true;
}

WaitingItem RankQueue::take(Items::iterator It) {
  WaitingItem Out = std::move(*It);
  RankWork[Out.Rank] -= Out.Service;
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

double RankQueue::appDebt(size_t Rank, const std::string &Application) const {
  const auto Served = AppServed[Rank].find(Application);
  const auto Share = AppShares.find(Application);
  const double Weight = Share == AppShares.end() ? 1 : Share->second;
  return Served == AppServed[Rank].end() ? 0 : Served->second / Weight;
}

RankQueue::Items::iterator
RankQueue::bestOf(size_t Rank,
                  const std::function<bool(const WaitingItem &)> &CanStart) {
  Items &List = Ranks[Rank];
  auto Best = List.end();
  double BestDebt = 0;
  for (auto It = List.begin(); It != List.end(); ++It) {
    const double Debt = appDebt(Rank, It->Application);
    if ((Best == List.end() || Debt < BestDebt) && CanStart(*It)) {
      Best = It;
      BestDebt = Debt;
    }
  }
  return Best;
}

std::optional<WaitingItem>
RankQueue::pickNext(Time N,
                    const std::function<bool(const WaitingItem &)> &CanStart) {
  std::vector<Items::iterator> Best(Ranks.size());
  std::vector<bool> Eligible(Ranks.size());
  for (size_t I = 0; I < Ranks.size(); ++I) {
    Best[I] = bestOf(I, CanStart);
    Eligible[I] = Best[I] != Ranks[I].end();
  }
  const auto Rank = RankShare.pick(Eligible, Eligible);
  if (!Rank)
    return std::nullopt;
  WaitingItem Out = take(Best[*Rank]);
  const double Work = seconds(Out.Service);
  RankShare.charge(N, *Rank, Work);
  auto &Served = AppServed[*Rank];
  Served[Out.Application] += Work;
  if (Served[Out.Application] > MaxAppServedSeconds)
    for (auto &[Name, Value] : Served)
      Value /= 2;
  return Out;
}

bool RankQueue::hopeless(Time N, const WaitingItem &Item) const {
  if (Item.Target <= N)
    return true;
  // What is too long for its target in any case is not refused for that.
  const Duration Tolerable =
      fromSeconds(TolerableWaitShare * seconds(Item.Target - Item.Arrived));
  return N - Item.Arrived > Tolerable && N + Item.Service > Item.Target;
}

std::vector<WaitingItem> RankQueue::takeHopeless(Time N) {
  std::vector<WaitingItem> Out;
  for (Items &List : Ranks)
    for (auto It = List.begin(); It != List.end();) {
      const auto Next = std::next(It);
      if (hopeless(N, *It))
        Out.push_back(take(It));
      It = Next;
    }
  return Out;
}

const std::list<WaitingItem> &RankQueue::waiting(size_t Rank) const {
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
