// Metrics of an entry on the platform: ended calls by rank and outcome, and
// latencies. Records are taken on the traffic thread.
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

namespace goldcrestlink {

/// Not thread-safe.
class ForwardMetrics {
public:
  ForwardMetrics();
  ~ForwardMetrics();
  void record(uint32_t Rank, std::string_view Outcome, Duration FirstByte,
              Duration Total);
  /// Adds to a plain counter.
  void count(std::string_view Name, uint64_t By = 1);
  /// Prometheus text.
  std::string text() const;

private:
  struct Series;
  std::map<std::pair<uint32_t, std::string>, std::unique_ptr<Series>> Calls;
  std::map<std::string, uint64_t, std::less<>> Counters;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_FORWARD_METRICS_H
