// A grant scans the waiting wishes once per permit; wishes are bounded and
// permits come at the store's rate, a few per second. The rank is picked by
// its declared share of the loads; within it the wish that frees most worth
// goes first, then the one that has waited longest.
#include "placement/load_broker.h"

#include <algorithm>

namespace goldcrestlink {

void TokenBucket::refill(Time N) {
  if (Updated == Time{})
    Updated = N;
  if (N <= Updated)
    return;
  Level = std::min(Burst, Level + Rate * seconds(N - Updated));
  Updated = N;
}

bool TokenBucket::take(Time N) {
  refill(N);
  if (Level < 1)
    return false;
  Level -= 1;
  return true;
}

void TokenBucket::giveBack() { Level = std::min(Burst, Level + 1); }

Duration TokenBucket::untilNext(Time N) const {
  const double Now = std::min(Burst, Level + Rate * seconds(N - Updated));
  return Now >= 1 ? Duration(0) : fromSeconds((1 - Now) / Rate);
}

LoadBroker::LoadBroker(Options O, std::vector<double> RankShares)
    : Limits(O), Bucket(O.rate(), O.burst()),
      Shares(std::move(RankShares), std::chrono::seconds(10)) {}

void LoadBroker::request(Time N, const PermitWish &Wish) {
  const Key K{Wish.Side, Wish.Adapter};
  const auto It = Wishes.find(K);
  if (It == Wishes.end() && Wishes.size() >= Limits.maxWishes())
    return;
  PermitWish &Kept = Wishes[K];
  const Time Since = It == Wishes.end() ? N : Kept.Since;
  Kept = Wish;
  Kept.Rank = std::min(Kept.Rank, Shares.classes() - 1);
  Kept.Since = Since;
  Kept.Renewed = N;
}

void LoadBroker::release(Time, const std::string &Side, uint64_t Adapter,
                         bool Used) {
  const Key K{Side, Adapter};
  Wishes.erase(K);
  if (Permits.erase(K) && !Used)
    Bucket.giveBack();
}

void LoadBroker::expire(Time N) {
  std::erase_if(Wishes, [&](const auto &W) {
    return N - W.second.Renewed > Limits.wishExpiry();
  });
  std::erase_if(Permits, [&](const auto &P) {
    return N - P.second > Limits.permitExpiry();
  });
}

// More worth freed by one load first, then pressed wishes, then the older.
bool LoadBroker::goesBefore(const PermitWish &A, const PermitWish &B) {
  if (A.Priority != B.Priority)
    return A.Priority > B.Priority;
  if (A.Pressed != B.Pressed)
    return A.Pressed;
  return A.Since < B.Since;
}

std::vector<PermitWish> LoadBroker::grant(Time N) {
  expire(N);
  std::vector<PermitWish> Out;
  while (!Wishes.empty() && Permits.size() < Limits.maxInFlight()) {
    std::vector<std::map<Key, PermitWish>::iterator> Best(Shares.classes(),
                                                          Wishes.end());
    std::vector<bool> Eligible(Shares.classes());
    std::vector<bool> Pressed(Shares.classes());
    for (auto It = Wishes.begin(); It != Wishes.end(); ++It) {
      auto &B = Best[It->second.Rank];
      if (B == Wishes.end() || goesBefore(It->second, B->second))
        B = It;
      Eligible[It->second.Rank] = true;
      if (It->second.Pressed)
        Pressed[It->second.Rank] = true;
    }
    const auto Rank = Shares.pick(Eligible, Pressed);
    if (!Rank || !Bucket.take(N))
      break;
    Shares.charge(N, *Rank, 1);
    Permits[Best[*Rank]->first] = N;
    Out.push_back(Best[*Rank]->second);
    Wishes.erase(Best[*Rank]);
  }
  return Out;
}

} // namespace goldcrestlink
