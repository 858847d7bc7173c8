// What a scenario's run has seen, and the page that it prints: per rank what
// callers got, what the engines did, and every broken promise.
//
//   ScenarioRecord Seen;
//   Seen.Results.push_back(R);
//   printReport(Head, Seen);
#ifndef GOLDCRESTLINK_BENCH_SCENARIO_REPORT_H
#define GOLDCRESTLINK_BENCH_SCENARIO_REPORT_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/workload.h"

namespace goldcrestlink::bench {

/// What became of one request. Times are in seconds; negative: not yet.
struct Result {
  size_t Rank = 0;
  double At = 0;
  double FirstByte = -1;
  double Total = -1;
  unsigned Status = 0;
  std::string Code;
  std::string Outcome;
  bool Whole = false;
  bool Ended = false;
  std::string Tag;
  uint32_t Tokens = 0;
};

struct ScenarioRecord {
  std::vector<std::shared_ptr<Result>> Results;
  std::vector<std::string> Violations;
  /// Work orders by how they ended, and the times of those that were done.
  std::map<std::string, size_t> OrderEnds;
  std::vector<double> OrderTimes;
  /// Counters of all engines together, before and after the counted time.
  std::map<std::string, double> EngineBefore;
  std::map<std::string, double> EngineAfter;
  /// Counted requests that are the first for their adapter since the start.
  double FirstRequests = 0;
};

/// What the run was, and the bounds that its figures stand beside, in requests
/// per second.
struct ScenarioHead {
  std::string Name;
  std::string Strategy;
  std::string Deployment;
  uint64_t Seed = 0;
  double ComputeBound = 0;
  double StoreBound = 0;
  double RequestsPerSecond = 0;
  double CountedSeconds = 0;
};

/// Prints to standard output.
void printReport(const ScenarioHead &Head, const ScenarioRecord &Seen);

} // namespace goldcrestlink::bench

#endif // GOLDCRESTLINK_BENCH_SCENARIO_REPORT_H
