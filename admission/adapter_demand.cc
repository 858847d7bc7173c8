// Two exponential means: a slow one, and a fast one that is discounted for as
// many requests as random fluctuation brings. The list of shares costs a visit
// of each adapter asked for lately, as does one request a second, which forgets
// the others; other requests cost constant time.
#include "admission/adapter_demand.h"

#include <algorithm>
#include <cmath>

namespace goldcrestlink {

namespace {
constexpr double MeanSeconds = 5.0;
constexpr double RiseSeconds = 0.7;
// Requests within RiseSeconds that may be random fluctuation; only more than
// these count as a rise.
constexpr double NoiseRequests = 6;
// Prompt tokens counted per request at most: a single large prompt does not
// show lasting demand.
constexpr uint32_t MaxTokens = 1500;
// An adapter that was not asked for during this time is forgotten; two means
// have passed.
constexpr Duration IdleTime = std::chrono::seconds(10);
constexpr Duration PruneInterval = std::chrono::seconds(1);
// A rise of more than this is worth a report ahead of its time.
constexpr uint32_t ClearRisePercent = 25;

double decay(Duration Age, double TimeConstant) {
  return std::exp(-seconds(Age) / TimeConstant);
}
} // namespace

void AdapterDemand::onRequest(Time Now, uint32_t Adapter,
                              uint32_t PromptTokens) {
  if (Now - PrunedAt >= PruneInterval) {
    PrunedAt = Now;
    std::erase_if(Adapters, [&](const auto &Item) {
      return Now - Item.second.UpdatedAt > IdleTime;
    });
  }
  if (Adapters.size() >= MaxAdapters && !Adapters.contains(Adapter))
    return;
  Entry &E = Adapters[Adapter];
  const double Tokens = std::min(PromptTokens, MaxTokens);
  const Duration Age = Now - E.UpdatedAt;
  E.Rate = E.Rate * decay(Age, MeanSeconds) + Tokens / MeanSeconds;
  E.RecentCount = E.RecentCount * decay(Age, RiseSeconds) + 1;
  E.RecentTokens = E.RecentTokens * decay(Age, RiseSeconds) + Tokens;
  E.UpdatedAt = Now;
}

double AdapterDemand::rateOf(Time Now, const Entry &E) {
  const Duration Age = Now - E.UpdatedAt;
  const double Recent = decay(Age, RiseSeconds);
  const double Count = std::max(1.0, E.RecentCount * Recent);
  const double Rise = E.RecentTokens * Recent / RiseSeconds *
                      std::max(0.0, 1 - NoiseRequests / Count);
  return std::max(E.Rate * decay(Age, MeanSeconds), Rise);
}

double AdapterDemand::tokensPerSecond(Time Now, uint32_t Adapter) const {
  const auto It = Adapters.find(Adapter);
  return It == Adapters.end() ? 0 : rateOf(Now, It->second);
}

std::vector<AdapterShare> AdapterDemand::shares(Time Now,
                                                double PrefillRate) const {
  std::vector<AdapterShare> Out;
  for (const auto &[Adapter, E] : Adapters) {
    const double Percent = rateOf(Now, E) / (PrefillRate * 1000) * 100;
    const auto Steps = static_cast<uint32_t>(
        std::min<double>(Percent, MaxPercent) / StepPercent);
    if (Steps > 0)
      Out.push_back({Adapter, Steps * StepPercent});
  }
  std::sort(Out.begin(), Out.end(),
            [](const AdapterShare &A, const AdapterShare &B) {
              return A.Adapter < B.Adapter;
            });
  return Out;
}

bool risesClearly(const std::vector<AdapterShare> &Before,
                  const std::vector<AdapterShare> &Now) {
  auto Old = Before.begin();
  for (const AdapterShare &S : Now) {
    while (Old != Before.end() && Old->Adapter < S.Adapter)
      ++Old;
    const bool IsKnown = Old != Before.end() && Old->Adapter == S.Adapter;
    if (S.Percent >= ClearRisePercent + (IsKnown ? Old->Percent : 0))
      return true;
  }
  return false;
}

} // namespace goldcrestlink
