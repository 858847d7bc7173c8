// Each adapter has its own rendezvous order of the engines; its first few are
// its homes, as many as its demand needs. A cold adapter thus returns to the
// one engine that still has it close at hand, and a hot one gets replicas. The
// cost of an engine is the wait for its prompts, plus a load if it does not
// hold the adapter. One ranking looks at each engine once.
#include "forward/engine_board.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {
// Time constant over which demand is averaged.
constexpr double DemandSeconds = 5.0;
// A rise is seen over this time, from this many arrivals at all entries on;
// fewer may be chance.
constexpr double QuickSeconds = 0.7;
constexpr double ChanceArrivals = 18;
// One large prompt is no sign of lasting demand.
constexpr uint32_t MaxDemandTokens = 1500;
constexpr double DefaultPrefillRate = 20;

double decay(Duration Age, double TimeConstant) {
  return std::exp(-seconds(Age) / TimeConstant);
}
} // namespace

void EngineBoard::onLoad(Time N, const std::string &Id,
                         const EngineLoad &Load) {
  View &V = Views[Id];
  V.Load = Load;
  V.Known = true;
  for (size_t Row = 0; Row < BacklogRanks; ++Row)
    V.Free[Row] = N + Load.Backlog[Row];
  V.SilentUntil = Time{};
}

void EngineBoard::onDemand(Time N, const EngineWant &Want) {
  if (Want.Adapter.empty())
    return;
  if (Demands.size() >= Opts.maxAdapters())
    std::erase_if(Demands, [&](const auto &Item) {
      return N - Item.second.At > std::chrono::seconds(10);
    });
  if (Demands.size() >= Opts.maxAdapters())
    return;
  Demand &D = Demands[adapterName(Want.Model, Want.Adapter)];
  const double Tokens = std::min(Want.PromptTokens, MaxDemandTokens);
  const double QuickLeft = decay(N - D.At, QuickSeconds);
  D.TokenRate =
      D.TokenRate * decay(N - D.At, DemandSeconds) + Tokens / DemandSeconds;
  D.QuickCount = D.QuickCount * QuickLeft + 1;
  D.QuickTokens = D.QuickTokens * QuickLeft + Tokens;
  D.At = N;
}

double EngineBoard::tokenRate(Time N, const std::string &Name) const {
  const auto It = Demands.find(Name);
  if (It == Demands.end())
    return 0;
  const Demand &D = It->second;
  const double QuickLeft = decay(N - D.At, QuickSeconds);
  const double Count = D.QuickCount * QuickLeft * static_cast<double>(Entries);
  const double Quick = D.QuickTokens * QuickLeft / QuickSeconds *
                       std::max(0.0, 1 - ChanceArrivals / std::max(Count, 1.0));
  return std::max(D.TokenRate * decay(N - D.At, DemandSeconds), Quick);
}

void EngineBoard::onSent(Time N, const std::string &Id,
                         const EngineWant &Want) {
  View &V = Views[Id];
  const Duration Reading(
      static_cast<int64_t>(Want.PromptTokens * 1000.0 / V.Load.PrefillRate));
  // More urgent prompts are read first, so they do not wait for this one.
  for (size_t Row = backlogRow(Want.Rank); Row < BacklogRanks; ++Row)
    V.Free[Row] = std::max(V.Free[Row], N) + Reading;
}

void EngineBoard::onOutcome(Time N, const std::string &Id, bool Failed) {
  Views[Id].Health.onOutcome(N, Failed);
}

void EngineBoard::onSideSilent(Time N, const std::string &Id) {
  Views[Id].SilentUntil = N + Opts.silencePause();
}

void EngineBoard::onSideAnswered(const std::string &Id) {
  Views[Id].SilentUntil = Time{};
}

void EngineBoard::onUnreachable(Time N, const std::string &Id) {
  Views[Id].Health.onUnreachable(N, Opts.silencePause());
}

void EngineBoard::onReplaced(const std::string &Id) {
  Views[Id].Health.onReplaced();
}

void EngineBoard::retain(const std::map<std::string, UpstreamRecord> &Known) {
  std::erase_if(Views,
                [&](const auto &Item) { return !Known.contains(Item.first); });
}

double EngineBoard::meanPrefillRate() const {
  double Sum = 0;
  size_t Count = 0;
  for (const auto &[Id, V] : Views)
    if (V.Known) {
      Sum += V.Load.PrefillRate;
      ++Count;
    }
  return Count == 0 ? DefaultPrefillRate : Sum / static_cast<double>(Count);
}

size_t EngineBoard::homes(Time N, const EngineWant &Want) const {
  if (Want.Adapter.empty())
    return 0;
  const double Busy = tokenRate(N, adapterName(Want.Model, Want.Adapter)) *
                      static_cast<double>(Entries) /
                      (meanPrefillRate() * 1000.0);
  return 1 + static_cast<size_t>(Busy / Opts.homeUtilisation());
}

std::vector<EngineCandidate>
EngineBoard::rank(Time N, const EngineWant &Want,
                  std::span<const UpstreamRecord *const> Among) const {
  const uint32_t Wanted = adapterHash(Want.Model, Want.Adapter);
  const uint64_t Key = hash64(adapterName(Want.Model, Want.Adapter));
  std::vector<std::pair<uint64_t, const UpstreamRecord *>> Order;
  for (const UpstreamRecord *U : Among)
    Order.emplace_back(mixHash(Key, hash64(U->Id)), U);
  std::sort(Order.begin(), Order.end(), std::greater<>());
  const size_t Homes = homes(N, Want);
  std::vector<EngineCandidate> Out;
  static const View Unknown;
  size_t Position = 0;
  for (const auto &[Score, U] : Order) {
    const auto It = Views.find(U->Id);
    const View &V = It == Views.end() ? Unknown : It->second;
    if (!V.Health.usable(N) || (V.Known && !V.Load.Serving))
      continue;
    EngineCandidate C;
    C.Upstream = U;
    C.IsHome = Position < Homes;
    ++Position;
    C.SideAnswers = N >= V.SilentUntil;
    C.Holds = Want.Adapter.empty() ||
              std::find(V.Load.Held.begin(), V.Load.Held.end(), Wanted) !=
                  V.Load.Held.end();
    if (!C.SideAnswers && !C.Holds)
      continue;
    C.Expected = std::max(Duration(0), V.Free[backlogRow(Want.Rank)] - N) +
                 Duration(static_cast<int64_t>(Want.PromptTokens * 1000.0 /
                                               V.Load.PrefillRate));
    if (!C.Holds)
      C.Expected += C.IsHome ? Opts.homeLoadTime() : Opts.loadTime();
    C.Cost = C.Expected;
    C.Cost += Duration(static_cast<int64_t>(
        V.Load.Utilisation * V.Load.Utilisation *
        static_cast<double>(Opts.utilisationCost().count())));
    C.Cost += Opts.runningCost() * static_cast<int64_t>(V.Load.Running);
    if (!C.Holds && !C.IsHome)
      C.Cost += Opts.strayCopyCost();
    if (U->DataCentre != Opts.dataCentre())
      C.Cost += Opts.distanceCost();
    C.Cost += Duration(
        static_cast<int64_t>(V.Health.failureShare(N) *
                             static_cast<double>(Opts.failureCost().count())));
    Out.push_back(C);
  }
  std::stable_sort(Out.begin(), Out.end(),
                   [](const EngineCandidate &A, const EngineCandidate &B) {
                     return A.Cost < B.Cost;
                   });
  return Out;
}

} // namespace goldcrestlink::forward
