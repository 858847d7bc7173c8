// Wants are few: one per adapter that waits at this side. A request is sent
// when a want is new, when its priority changed, and to renew it. A broker
// that leaves a request unanswered is passed over for a while.
#include "placement/load_planner.h"

#include <algorithm>

namespace goldcrestlink {

LoadPlanner::LoadPlanner(Options O, std::vector<std::string> Brokers)
    : Limits(O), Brokers(std::move(Brokers)), Static(O.staticRate(), 1) {}

std::string LoadPlanner::broker(Time N) const {
  for (const std::string &B : Brokers) {
    const auto It = PausedUntil.find(B);
    if (It == PausedUntil.end() || It->second <= N)
      return B;
  }
  return {};
}

void LoadPlanner::noteSilence(Time N) {
  for (auto &[Adapter, A] : Open)
    if (!A.Answered && N - A.Sent > Limits.answerTimeout())
      PausedUntil[A.Broker] = N + Limits.brokerPause();
  std::erase_if(Open, [&](const auto &Item) {
    const auto It = PausedUntil.find(Item.second.Broker);
    return It != PausedUntil.end() && It->second > N;
  });
}

std::vector<PermitAsk> LoadPlanner::plan(Time N,
                                         std::span<const LoadWant> Wants) {
  noteSilence(N);
  std::erase_if(Open, [&](const auto &Item) {
    return std::none_of(Wants.begin(), Wants.end(), [&](const LoadWant &W) {
      return W.Adapter == Item.first;
    });
  });
  std::vector<PermitAsk> Out;
  const std::string To = broker(N);
  if (To.empty())
    return Out;
  for (const LoadWant &W : Wants) {
    const auto It = Open.find(W.Adapter);
    const bool Fresh = It != Open.end() && It->second.Priority == W.Priority &&
                       It->second.Pressed == W.Pressed &&
                       N - It->second.Sent < Limits.renewEvery();
    const bool Pending = It != Open.end() && !It->second.Answered;
    if (Fresh || Pending)
      continue;
    Open[W.Adapter] = {To, N, W.Priority, W.Pressed, false};
    Out.push_back({To, W});
  }
  return Out;
}

bool LoadPlanner::onAnswer(Time, const std::string &Broker, uint64_t Adapter,
                           bool Granted) {
  PausedUntil.erase(Broker);
  const auto It = Open.find(Adapter);
  if (It == Open.end())
    return false;
  It->second.Answered = true;
  if (Granted)
    Open.erase(It);
  return Granted;
}

bool LoadPlanner::takeStatic(Time N) {
  return broker(N).empty() && Static.take(N);
}

} // namespace goldcrestlink
