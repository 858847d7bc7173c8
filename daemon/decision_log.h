// Carries decision lines from traffic threads to the control thread, which
// writes them by glog at a bounded rate. A full queue drops lines and counts
// them; traffic never waits for the log.
//
//   DecisionLog Log(2000);
//   Log.push("route request=...");     // any thread
//   Log.drain(Now);                    // control thread, regularly
#ifndef GOLDCRESTLINK_DAEMON_DECISION_LOG_H
#define GOLDCRESTLINK_DAEMON_DECISION_LOG_H

#include <atomic>
#include <string>

#include <tbb/concurrent_queue.h>

#include "base/time.h"

namespace goldcrestlink {

/// push() is thread-safe; drain() is for one thread.
class DecisionLog {
public:
  explicit DecisionLog(int64_t LinesPerSecond);
  /// Queues a line, or counts it as dropped.
  void push(std::string Line);
  /// Writes what is queued, within the rate.
  void drain(Time N);
  uint64_t dropped() const { return Dropped; }

private:
  tbb::concurrent_bounded_queue<std::string> Lines;
  std::atomic<uint64_t> Dropped{0};
  uint64_t DroppedReported = 0;
  double Rate;
  double Allowance;
  Time Updated{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_DECISION_LOG_H
