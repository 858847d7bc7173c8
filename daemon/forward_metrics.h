// Metrics of an entry whose deployment is declared in the platform's store:
// finished calls by rank and outcome, and their latencies. Used on the traffic
// thread.
//
//   ForwardMetrics M;
//   M.record(Rank, "served", FirstByte, Total);
//   M.text();
#ifndef GOLDCRESTLINK_DAEMON_FORWARD_METRICS_H
#define GOLDCRESTLINK_DAEMON_FORWARD_METRICS_H

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "base/time.h"
#include "forward/organisation_quotas.h"

namespace goldcrestlink {

/// Prometheus text of the decisions on quotas. Thread-safe.
std::string quotaMetrics(const forward::OrganisationQuotas::Counters &Counts);

/// Not thread-safe.
class ForwardMetrics {
public:
  ForwardMetrics();
  ~ForwardMetrics();
  /// Records a finished call. A \p FirstByte of zero is left out of the
  /// first-byte histogram.
  void record(uint32_t Rank, std::string_view Outcome, Duration FirstByte,
              Duration Total);
  /// Records the longest pause of a stream; \p MaxPause of zero is no limit.
  void recordPause(uint32_t Rank, Duration Longest, Duration MaxPause);
  /// Adds \p By to the counter \p Name, which has no labels.
  void count(std::string_view Name, uint64_t By = 1);
  /// Prometheus text.
  std::string text() const;

private:
  struct Series;
  struct Pauses;
  std::map<std::pair<uint32_t, std::string>, std::unique_ptr<Series>> Calls;
  std::map<uint32_t, std::unique_ptr<Pauses>> PausesByRank;
  std::map<std::string, uint64_t, std::less<>> Counters;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_FORWARD_METRICS_H
