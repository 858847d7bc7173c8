// There are few needed loads: one per adapter that requests wait for at this
// side, so each plan() is a scan over them. A load request is sent when a
// load is newly needed, when its priority or escalation has changed, and to
// renew it, but not while the previous request is unanswered. A broker that
// leaves a request unanswered is skipped for the backoff period.
#include "placement/load_planner.h"

#include <algorithm>

namespace goldcrestlink {

LoadPlanner::LoadPlanner(Options O, std::vector<std::string> Brokers)
    : Limits(O), Brokers(std::move(Brokers)), StaticShare(O.staticRate(), 1) {}

std::string LoadPlanner::broker(Time Now) const {
  for (const std::string &B : Brokers) {
    const auto It = BackoffUntil.find(B);
    if (It == BackoffUntil.end() || It->second <= Now)
      return B;
  }
  return {};
}

void LoadPlanner::backOffSilentBrokers(Time Now) {
  for (auto &[Adapter, R] : OpenRequests)
    if (!R.Answered && Now - R.Sent > Limits.answerTimeout())
      BackoffUntil[R.Broker] = Now + Limits.brokerBackoff();
  std::erase_if(OpenRequests, [&](const auto &Item) {
    const auto It = BackoffUntil.find(Item.second.Broker);
    return It != BackoffUntil.end() && It->second > Now;
  });
}

std::vector<BrokerRequest>
LoadPlanner::plan(Time Now, std::span<const NeededLoad> Needed) {
  backOffSilentBrokers(Now);
  std::erase_if(OpenRequests, [&](const auto &Item) {
    return std::none_of(Needed.begin(), Needed.end(), [&](const NeededLoad &L) {
      return L.Adapter == Item.first;
    });
  });
  std::vector<BrokerRequest> Out;
  const std::string Target = broker(Now);
  if (Target.empty())
    return Out;
  for (const NeededLoad &L : Needed) {
    const auto It = OpenRequests.find(L.Adapter);
    const bool UpToDate = It != OpenRequests.end() &&
                          It->second.Priority == L.Priority &&
                          It->second.Escalated == L.Escalated &&
                          Now - It->second.Sent < Limits.renewEvery();
    const bool Pending = It != OpenRequests.end() && !It->second.Answered;
    if (UpToDate || Pending)
      continue;
    OpenRequests[L.Adapter] = {Target, Now, L.Priority, L.Escalated, false};
    Out.push_back({Target, L});
  }
  return Out;
}

bool LoadPlanner::onAnswer(Time, const std::string &Broker, uint64_t Adapter,
                           bool Granted) {
  BackoffUntil.erase(Broker);
  const auto It = OpenRequests.find(Adapter);
  if (It == OpenRequests.end())
    return false;
  It->second.Answered = true;
  if (Granted)
    OpenRequests.erase(It);
  return Granted;
}

bool LoadPlanner::takeFromStaticShare(Time Now) {
  return broker(Now).empty() && StaticShare.take(Now);
}

} // namespace goldcrestlink
