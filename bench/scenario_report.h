// Records one run of a scenario and prints its report: the results of callers
// per rank, the counters of the engines, and every violated guarantee.
//
//   ScenarioRecord Record;
//   Record.Results.push_back(R);
//   printReport(Info, Record);
#ifndef GOLDCRESTLINK_BENCH_SCENARIO_REPORT_H
#define GOLDCRESTLINK_BENCH_SCENARIO_REPORT_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/workload.h"

namespace goldcrestlink::bench {

/// Result of one request. FirstByte and Total are in seconds after sending;
/// negative: not known yet.
struct RequestResult {
  size_t Rank = 0;
  /// Time of sending, in seconds after the warm-up.
  double SentAt = 0;
  double FirstByte = -1;
  double Total = -1;
  unsigned Status = 0;
  std::string Code;
  std::string Outcome;
  /// The answer arrived with all its tokens and its end mark.
  bool Complete = false;
  /// The call has ended, with an answer or an error.
  bool Ended = false;
  /// Sent as the field "user"; identifies the request in its answer and in the
  /// engines' lists of runs.
  std::string Tag;
  /// Number of tokens requested.
  uint32_t Tokens = 0;
};

struct ScenarioRecord {
  std::vector<std::shared_ptr<RequestResult>> Results;
  std::vector<std::string> Violations;
  /// Number of work orders by outcome, and the durations of the successful
  /// ones.
  std::map<std::string, size_t> OrderOutcomes;
  std::vector<double> OrderSeconds;
  /// Sums of the counters of all engines and their sides, at the start and at
  /// the end of the measurement.
  std::map<std::string, double> EngineCountersBefore;
  std::map<std::string, double> EngineCountersAfter;
  /// Number of measured requests that are the first for their adapter since the
  /// start of the run. No strategy can serve these without a load.
  double FirstRequests = 0;
};

/// Parameters of the run, and the upper bounds on the throughput of engines and
/// weight store. Bounds are in requests per second.
struct ScenarioInfo {
  std::string Name;
  std::string Strategy;
  std::string Deployment;
  uint64_t Seed = 0;
  double ComputeBound = 0;
  double StoreBound = 0;
  /// Offered rate without the additional requests of floods.
  double RequestsPerSecond = 0;
  /// Duration of the measurement.
  double MeasuredSeconds = 0;
};

/// Prints to standard output.
void printReport(const ScenarioInfo &Info, const ScenarioRecord &Record);

} // namespace goldcrestlink::bench

#endif // GOLDCRESTLINK_BENCH_SCENARIO_REPORT_H
