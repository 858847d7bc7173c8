// Metrics of an entry by rank and application: counts, latencies, and request
// ends by cause. Traffic threads queue records; the control thread aggregates
// them.
//
//   RequestMetrics M;
//   M.push(Record);                 // any thread
//   M.collect();  M.text();         // control thread
#ifndef GOLDCRESTLINK_DAEMON_REQUEST_METRICS_H
#define GOLDCRESTLINK_DAEMON_REQUEST_METRICS_H

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include <tbb/concurrent_queue.h>

#include "entry/actions.h"

namespace goldcrestlink {

/// push() is thread-safe; the rest is for one thread.
class RequestMetrics {
public:
  RequestMetrics();
  ~RequestMetrics();
  /// Queues a record, or counts it as dropped if the queue is full. Never
  /// blocks.
  void push(entry::RequestRecord Record);
  /// Aggregates the queued records.
  void collect();
  /// Prometheus text.
  std::string text() const;

private:
  struct Series;
  /// Rank and application.
  using Key = std::pair<std::string, std::string>;
  tbb::concurrent_bounded_queue<entry::RequestRecord> Queue;
  std::atomic<uint64_t> Dropped{0};
  std::map<Key, std::unique_ptr<Series>> AllSeries;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_REQUEST_METRICS_H
