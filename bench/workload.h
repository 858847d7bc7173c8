// The scenarios' workload: who asks for which adapter, at which rank, how much
// and when. Everything follows from the seed.
//
//   Workload W(Spec, Seed);
//   while (auto A = W.next(Clock)) schedule(*A);
#ifndef GOLDCRESTLINK_BENCH_WORKLOAD_H
#define GOLDCRESTLINK_BENCH_WORKLOAD_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/random.h"

namespace goldcrestlink::bench {

constexpr size_t Ranks = 3;
constexpr std::array<const char *, Ranks> RankNames = {"urgent", "standard",
                                                       "bulk"};
/// Part of the mix, geometric mean of tokens, and seconds for a whole answer.
constexpr std::array<double, Ranks> RankShare = {0.2, 0.5, 0.3};
constexpr std::array<double, Ranks> RankTokens = {40, 100, 300};
constexpr std::array<double, Ranks> RankTarget = {4, 15, 45};

/// Rank arrivals are multiplied by Factor from From to To, in seconds after
/// the warm-up.
struct Flood {
  size_t Rank = 0;
  double Factor = 1;
  double From = 15;
  double To = 45;
  /// Its requests are uniform over all adapters.
  bool Cold = false;
};

struct WorkloadSpec {
  size_t Adapters = 3000;
  double Exponent = 1.0;
  double RequestsPerSecond = 10;
  std::vector<Flood> Floods;
  /// The order of popularity is reshuffled then; none if negative.
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

/// All arrivals from \p From to \p To, by time.
std::vector<Arrival> makeArrivals(const WorkloadSpec &Spec, uint64_t Seed,
                                  double From, double To);

/// Share of requests that go to the \p Count most popular adapters.
double popularShare(const WorkloadSpec &Spec, size_t Count);

} // namespace goldcrestlink::bench

#endif // GOLDCRESTLINK_BENCH_WORKLOAD_H
