// Percentiles sort a copy; a run has some thousands of requests.
#include "bench/scenario_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace goldcrestlink::bench {

namespace {

double percentile(std::vector<double> Values, double P) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const double Where = P * static_cast<double>(Values.size() - 1);
  return Values[static_cast<size_t>(std::lround(Where))];
}

double counter(const std::map<std::string, double> &Of,
               const std::string &Name) {
  const auto It = Of.find(Name);
  return It == Of.end() ? 0 : It->second;
}

double reportRank(const ScenarioRecord &Seen, size_t Rank) {
  std::vector<double> Totals;
  std::vector<double> Firsts;
  std::map<std::string, size_t> Ends;
  double Offered = 0;
  double InTime = 0;
  double FloodOffered = 0;
  double FloodInTime = 0;
  for (const auto &R : Seen.Results) {
    if (R->Rank != Rank || R->At < 0)
      continue;
    const bool Good = R->Whole && R->Total <= RankTarget[Rank];
    const bool InFlood = R->At >= 15 && R->At < 45;
    Offered += 1;
    InTime += Good ? 1 : 0;
    FloodOffered += InFlood ? 1 : 0;
    FloodInTime += InFlood && Good ? 1 : 0;
    if (R->Whole) {
      Totals.push_back(R->Total);
      Firsts.push_back(R->FirstByte);
    } else {
      ++Ends[R->Code + "/" + R->Outcome];
    }
  }
  std::printf("%-9s %8.0f %8.0f %6.1f%% %8.2f %8.2f %8.2f %8.2f %5.1f%%/%.0f ",
              RankNames[Rank], Offered, InTime, 100 * InTime / Offered,
              percentile(Totals, 0.5), percentile(Totals, 0.99),
              percentile(Firsts, 0.5), percentile(Firsts, 0.99),
              100 * FloodInTime / std::max(FloodOffered, 1.0), FloodInTime);
  for (const auto &[End, Count] : Ends)
    std::printf(" %s=%zu", End.c_str(), Count);
  std::printf("\n");
  return InTime;
}

} // namespace

void printReport(const ScenarioHead &Head, const ScenarioRecord &Seen) {
  std::printf("scenario %s strategy %s deployment %s seed %llu\n",
              Head.Name.c_str(), Head.Strategy.c_str(), Head.Deployment.c_str(),
              static_cast<unsigned long long>(Head.Seed));
  std::printf("bounds: compute %.1f/s store %.1f/s; offered mix %.1f/s\n",
              Head.ComputeBound, Head.StoreBound, Head.RequestsPerSecond);
  double Goodput = 0;
  std::printf("%-9s %8s %8s %7s %8s %8s %8s %8s %9s  ends\n", "rank", "offered",
              "in_time", "share", "p50", "p99", "first50", "first99",
              "in_flood");
  for (size_t Rank = 0; Rank < Ranks; ++Rank)
    Goodput += reportRank(Seen, Rank);
  const auto Delta = [&](const std::string &Name) {
    return counter(Seen.EngineAfter, Name) - counter(Seen.EngineBefore, Name);
  };
  double Requests = 0;
  for (const auto &R : Seen.Results)
    Requests += R->At >= 0 ? 1 : 0;
  std::printf("goodput %.2f/s (%.2f of the lower bound)\n",
              Goodput / Head.CountedSeconds,
              Goodput / Head.CountedSeconds /
                  std::min(Head.ComputeBound, Head.StoreBound));
  std::printf("loads per 100 requests %.1f; stall seconds per request %.3f; "
              "sequences per step %.2f; adapters per step %.2f; crashes "
              "%.0f\n",
              100 * Delta("loads") / Requests,
              Delta("goldcrestlink_side_stalled_us_total") / 1e6 / Requests,
              Delta("sequence_steps") / Delta("steps"),
              Delta("adapter_steps") / Delta("steps"),
              counter(Seen.EngineAfter, "crashes"));
  std::printf("first requests for an adapter since the start, per 100: %.1f\n",
              100 * Seen.FirstRequests / Requests);
  std::printf("work orders:");
  for (const auto &[End, Count] : Seen.OrderEnds)
    std::printf(" %s=%zu", End.c_str(), Count);
  std::printf(" p50 %.3f p99 %.3f\n", percentile(Seen.OrderTimes, 0.5),
              percentile(Seen.OrderTimes, 0.99));
  std::printf("violations: %zu\n", Seen.Violations.size());
  for (const std::string &V : Seen.Violations)
    std::printf("  %s\n", V.c_str());
}

} // namespace goldcrestlink::bench
