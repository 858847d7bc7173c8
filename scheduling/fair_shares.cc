// A request's start time is fixed only when the ones of its flow before it have
// been served, so that requests which leave the queue unserved cost their flow
// nothing. Until then its start time is the flow's, advanced by the work ahead
// of it in the flow. Virtual time is the start time of the request served last;
// a flow that has been idle starts there, so it builds up no claim. An order
// takes n log n time; the flows are visited once when there are too many.
#include "scheduling/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <unordered_set>

#include "base/hash.h"

namespace goldcrestlink {

namespace {
// A flow that received less than this part of the recent work, and has nothing
// waiting, does not count towards the shares of others.
constexpr double MinActiveShare = 0.002;
// Shares of less work than this, in units of cost, are from long ago.
constexpr double MinWork = 0.5;
} // namespace

size_t FairShares::row(uint32_t Rank) {
  return std::min<size_t>(Rank, MaxRanks - 1);
}

uint64_t FairShares::key(uint32_t Rank, uint64_t Flow) {
  return mixHash(row(Rank), Flow);
}

void FairShares::setWeights(std::unordered_map<uint64_t, double> NewWeights) {
  std::erase_if(NewWeights, [](const auto &Item) {
    return !(Item.second > 0) || !std::isfinite(Item.second);
  });
  Weights = std::move(NewWeights);
}

double FairShares::weight(uint64_t Flow) const {
  const auto It = Weights.find(Flow);
  return It == Weights.end() ? 1 : It->second;
}

double FairShares::start(uint32_t Rank, uint64_t Flow) const {
  const double Now = Virtual[row(Rank)];
  const auto It = Flows.find(key(Rank, Flow));
  return It == Flows.end() ? Now : std::max(Now, It->second.Finish);
}

double FairShares::amount(Time Now, const Work &W) const {
  return W.Amount * std::exp2(-seconds(Now - W.At) / seconds(Opts.halfLife()));
}

void FairShares::add(Time Now, Work &W, double Cost) const {
  W.Amount = amount(Now, W) + Cost;
  W.At = Now;
}

void FairShares::onServed(Time Now, const FairItem &Item, bool OthersWait) {
  const double Start = start(Item.Rank, Item.Flow);
  Virtual[row(Item.Rank)] = Start;
  if (Flows.size() >= Opts.maxFlows() || Served.size() >= Opts.maxFlows())
    dropFlows(Now);
  Flow &F = Flows[key(Item.Rank, Item.Flow)];
  F.Rank = Item.Rank;
  F.Finish = Start + Item.Cost / weight(Item.Flow);
  if (!OthersWait)
    return;
  add(Now, Served[Item.Flow], Item.Cost);
  add(Now, AllServed, Item.Cost);
}

// A flow whose finish time has passed starts at the virtual time whether it is
// known or not. If that is not enough, the half that is least ahead is dropped;
// likewise the flows that received least.
void FairShares::dropFlows(Time Now) {
  const auto DropHalf = [](auto &Map, const auto &Value) {
    std::vector<double> Values;
    Values.reserve(Map.size());
    for (const auto &[Key, Item] : Map)
      Values.push_back(Value(Item));
    const auto Middle =
        Values.begin() + static_cast<ptrdiff_t>(Values.size() / 2);
    std::nth_element(Values.begin(), Middle, Values.end());
    std::erase_if(Map,
                  [&](const auto &I) { return Value(I.second) <= *Middle; });
  };
  const auto Lead = [&](const Flow &F) {
    return F.Finish - Virtual[row(F.Rank)];
  };
  std::erase_if(Flows, [&](const auto &I) { return Lead(I.second) <= 0; });
  if (Flows.size() >= Opts.maxFlows())
    DropHalf(Flows, Lead);
  if (Served.size() >= Opts.maxFlows())
    DropHalf(Served, [&](const Work &W) { return amount(Now, W); });
}

double FairShares::receivedShare(Time Now, uint64_t Flow) const {
  const auto It = Served.find(Flow);
  const double All = amount(Now, AllServed);
  return It == Served.end() || All < MinWork
             ? 0
             : std::min(1.0, amount(Now, It->second) / All);
}

double FairShares::activeWeight(Time Now, std::span<const FairItem> Waiting,
                                uint64_t Flow) const {
  std::unordered_set<uint64_t> Active = {Flow};
  for (const FairItem &W : Waiting)
    Active.insert(W.Flow);
  const double Least = amount(Now, AllServed) * MinActiveShare;
  for (const auto &[Other, W] : Served)
    if (amount(Now, W) > Least)
      Active.insert(Other);
  double Sum = 0;
  for (const uint64_t Other : Active)
    Sum += weight(Other);
  return Sum;
}

double FairShares::guaranteedShare(Time Now, std::span<const FairItem> Waiting,
                                   uint64_t Flow) const {
  return weight(Flow) / activeWeight(Now, Waiting, Flow);
}

bool FairShares::isInExcess(Time Now, std::span<const FairItem> Waiting,
                            uint64_t Flow) const {
  return exceeds(Now, Flow, activeWeight(Now, Waiting, Flow));
}

bool FairShares::exceeds(Time Now, uint64_t Flow, double ActiveWeight) const {
  return receivedShare(Now, Flow) >
         weight(Flow) / ActiveWeight + Opts.excessShare();
}

double FairShares::ownDelayFactor(Time Now, std::span<const FairItem> Waiting,
                                  uint64_t Flow) const {
  return isInExcess(Now, Waiting, Flow) ? 1 / receivedShare(Now, Flow) : 1;
}

std::vector<FairShares::Place>
FairShares::places(Time Now, std::span<const FairItem> Waiting) const {
  std::vector<Place> Out;
  if (Waiting.empty())
    return Out;
  Out.reserve(Waiting.size());
  const double Sum = activeWeight(Now, Waiting, Waiting.front().Flow);
  std::unordered_map<uint64_t, bool> InExcess;
  for (const FairItem &W : Waiting) {
    const auto [It, IsNew] = InExcess.emplace(W.Flow, false);
    if (IsNew)
      It->second = exceeds(Now, W.Flow, Sum);
    Out.push_back({It->second, W.Rank});
  }
  return Out;
}

std::vector<size_t> FairShares::order(Time Now,
                                      std::span<const FairItem> Waiting) const {
  const std::vector<Place> Places = places(Now, Waiting);
  std::vector<double> Starts(Waiting.size());
  // Work waiting ahead, by rank, flow and readiness.
  std::unordered_map<uint64_t, double> Ahead;
  for (size_t I = 0; I < Waiting.size(); ++I) {
    const FairItem &W = Waiting[I];
    double &Work = Ahead[mixHash(key(W.Rank, W.Flow), W.IsReady ? 1 : 0)];
    Starts[I] = start(W.Rank, W.Flow) + Work / weight(W.Flow);
    Work += W.Cost;
  }
  std::vector<size_t> Out(Waiting.size());
  std::iota(Out.begin(), Out.end(), 0);
  std::stable_sort(Out.begin(), Out.end(), [&](size_t A, size_t B) {
    if (Places[A] != Places[B])
      return Places[A] < Places[B];
    return Starts[A] < Starts[B];
  });
  return Out;
}

size_t FairShares::givesWay(Time Now, std::span<const FairItem> Waiting) const {
  const std::vector<Place> Places = places(Now, Waiting);
  const Place Last = *std::max_element(Places.begin(), Places.end());
  std::unordered_map<uint64_t, double> Work;
  for (size_t I = 0; I < Waiting.size(); ++I)
    if (Places[I] == Last)
      Work[Waiting[I].Flow] += Waiting[I].Cost / weight(Waiting[I].Flow);
  size_t Out = Waiting.size();
  for (size_t I = 0; I < Waiting.size(); ++I)
    if (Places[I] == Last && (Out == Waiting.size() ||
                              Work[Waiting[I].Flow] >= Work[Waiting[Out].Flow]))
      Out = I;
  return Out;
}

} // namespace goldcrestlink
