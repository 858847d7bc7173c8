// Generates the workload of a scenario: adapter, rank, number of tokens and
// time of every request. The same specification and seed give the same
// workload.
//
//   for (const Arrival &A : makeArrivals(Spec, Seed, -20, 60))
//     schedule(A);
#ifndef GOLDCRESTLINK_BENCH_WORKLOAD_H
#define GOLDCRESTLINK_BENCH_WORKLOAD_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"

namespace goldcrestlink::bench {

constexpr size_t RankCount = 3;
constexpr std::array<const char *, RankCount> RankNames = {"urgent", "standard",
                                                           "bulk"};
/// Per rank: share of the requests, geometric mean of the output tokens, and
/// target for the time to a complete answer.
constexpr std::array<double, RankCount> RankShare = {0.2, 0.5, 0.3};
constexpr std::array<double, RankCount> RankMeanTokens = {40, 100, 300};
constexpr std::array<double, RankCount> RankTargetSeconds = {4, 15, 45};

/// Multiplies the arrival rate of one rank by Factor between From and To, in
/// seconds after the warm-up.
struct Flood {
  size_t Rank = 0;
  double Factor = 1;
  double From = 15;
  double To = 45;
  /// The rank's requests in that time choose adapters uniformly, so that most
  /// of them need a load.
  bool Cold = false;
};

struct WorkloadSpec {
  size_t Adapters = 3000;
  /// Exponent of the Zipf distribution of adapter popularity.
  double ZipfExponent = 1.0;
  double RequestsPerSecond = 10;
  std::vector<Flood> Floods;
  /// When the order of popularity is reshuffled, in seconds after the warm-up;
  /// negative: never.
  double ShiftAt = -1;
};

/// One request to send.
struct Arrival {
  /// Seconds after the end of the warm-up; negative during it.
  double At = 0;
  size_t Rank = 0;
  size_t Adapter = 0;
  uint32_t Tokens = 1;
};

/// All arrivals from \p From to \p To, sorted by time; both in seconds after
/// the warm-up. Thread-safe.
std::vector<Arrival> makeArrivals(const WorkloadSpec &Spec, uint64_t Seed,
                                  double From, double To);

/// Share of requests that go to the \p Count most popular adapters.
/// Precondition: Count > 0.
double popularShare(const WorkloadSpec &Spec, size_t Count);

} // namespace goldcrestlink::bench

#endif // GOLDCRESTLINK_BENCH_WORKLOAD_H
