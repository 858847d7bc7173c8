// Percentiles are read from a sorted copy of the values. That is cheap enough,
// because a run has only some thousands of requests.
#include "bench/scenario_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace goldcrestlink::bench {

namespace {

double percentile(std::vector<double> Values, double Quantile) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const double Position = Quantile * static_cast<double>(Values.size() - 1);
  return Values[static_cast<size_t>(std::lround(Position))];
}

double counter(const std::map<std::string, double> &Counters,
               const std::string &Name) {
  const auto It = Counters.find(Name);
  return It == Counters.end() ? 0 : It->second;
}

// Prints the row of one rank. Returns the number of requests that were answered
// within the rank's target.
double reportRank(const ScenarioRecord &Record, size_t Rank) {
  std::vector<double> Totals;
  std::vector<double> FirstBytes;
  std::map<std::string, size_t> ErrorCounts;
  double Offered = 0;
  double InTime = 0;
  double FloodOffered = 0;
  double FloodInTime = 0;
  for (const auto &R : Record.Results) {
    if (R->Rank != Rank || R->SentAt < 0)
      continue;
    const bool WithinTarget =
        R->Complete && R->Total <= RankTargetSeconds[Rank];
    // All floods of the scenarios last from 15 s to 45 s.
    const bool InFlood = R->SentAt >= 15 && R->SentAt < 45;
    Offered += 1;
    InTime += WithinTarget ? 1 : 0;
    FloodOffered += InFlood ? 1 : 0;
    FloodInTime += InFlood && WithinTarget ? 1 : 0;
    if (R->Complete) {
      Totals.push_back(R->Total);
      FirstBytes.push_back(R->FirstByte);
    } else {
      ++ErrorCounts[R->Code + "/" + R->Outcome];
    }
  }
  std::printf("%-9s %8.0f %8.0f %6.1f%% %8.2f %8.2f %8.2f %8.2f %5.1f%%/%.0f ",
              RankNames[Rank], Offered, InTime, 100 * InTime / Offered,
              percentile(Totals, 0.5), percentile(Totals, 0.99),
              percentile(FirstBytes, 0.5), percentile(FirstBytes, 0.99),
              100 * FloodInTime / std::max(FloodOffered, 1.0), FloodInTime);
  for (const auto &[End, Count] : ErrorCounts)
    std::printf(" %s=%zu", End.c_str(), Count);
  std::printf("\n");
  return InTime;
}

} // namespace

void printReport(const ScenarioInfo &Info, const ScenarioRecord &Record) {
  std::printf("scenario %s strategy %s deployment %s seed %llu\n",
              Info.Name.c_str(), Info.Strategy.c_str(), Info.Deployment.c_str(),
              static_cast<unsigned long long>(Info.Seed));
  std::printf("bounds: compute %.1f/s store %.1f/s; offered mix %.1f/s\n",
              Info.ComputeBound, Info.StoreBound, Info.RequestsPerSecond);
  double Goodput = 0;
  std::printf("%-9s %8s %8s %7s %8s %8s %8s %8s %9s  ends\n", "rank", "offered",
              "in_time", "share", "p50", "p99", "first50", "first99",
              "in_flood");
  for (size_t Rank = 0; Rank < RankCount; ++Rank)
    Goodput += reportRank(Record, Rank);
  const auto Delta = [&](const std::string &Name) {
    return counter(Record.EngineCountersAfter, Name) -
           counter(Record.EngineCountersBefore, Name);
  };
  double Requests = 0;
  for (const auto &R : Record.Results)
    Requests += R->SentAt >= 0 ? 1 : 0;
  std::printf("goodput %.2f/s (%.2f of the lower of the two bounds)\n",
              Goodput / Info.MeasuredSeconds,
              Goodput / Info.MeasuredSeconds /
                  std::min(Info.ComputeBound, Info.StoreBound));
  std::printf("loads per 100 requests %.1f; stall seconds per request %.3f; "
              "sequences per step %.2f; adapters per step %.2f; crashes "
              "%.0f\n",
              100 * Delta("loads") / Requests,
              Delta("goldcrestlink_side_stalled_us_total") / 1e6 / Requests,
              Delta("sequence_steps") / Delta("steps"),
              Delta("adapter_steps") / Delta("steps"),
              counter(Record.EngineCountersAfter, "crashes"));
  std::printf("first requests for an adapter since the start, per 100: %.1f\n",
              100 * Record.FirstRequests / Requests);
  std::printf("work orders:");
  for (const auto &[End, Count] : Record.OrderOutcomes)
    std::printf(" %s=%zu", End.c_str(), Count);
  std::printf(" p50 %.3f p99 %.3f\n", percentile(Record.OrderSeconds, 0.5),
              percentile(Record.OrderSeconds, 0.99));
  std::printf("violations: %zu\n", Record.Violations.size());
  for (const std::string &V : Record.Violations)
    std::printf("  %s\n", V.c_str());
}

} // namespace goldcrestlink::bench
