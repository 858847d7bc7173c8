// Carries decision lines from traffic threads to the control thread, which
// writes them by glog at a bounded rate. Under load routine lines are dropped
// and counted; lines that are to be kept go first, and wait for their turn if
// there are too many even of them. Traffic never waits for the log.
//
//   DecisionLog Log(2000);
//   Log.push(LineClass::Routine, "send id=...");   // any thread
//   Log.drain(Now);                                // control thread, regularly
#ifndef GOLDCRESTLINK_DAEMON_DECISION_LOG_H
#define GOLDCRESTLINK_DAEMON_DECISION_LOG_H

#include <atomic>
#include <functional>
#include <string>

#include <tbb/concurrent_queue.h>

#include "base/line_class.h"
#include "base/time.h"

namespace goldcrestlink {

/// push() is thread-safe; the rest is for one thread.
class DecisionLog {
public:
  using Sink = std::function<void(const std::string &)>;

  /// Writes by glog.
  explicit DecisionLog(int64_t LinesPerSecond);
  /// Writes to \p Out, which must not block.
  DecisionLog(int64_t LinesPerSecond, Sink Out);
  /// Queues a line under the present time of day, or counts it as dropped.
  /// Never blocks.
  void push(LineClass Class, std::string Line);
  /// Writes what is queued, within the rate, and how many lines were dropped
  /// since it last said so.
  void drain(Time N);
  /// Writes all kept lines that are queued, whatever the rate; for the end of
  /// the process.
  void finish(Time N);
  uint64_t dropped(LineClass Class) const { return Dropped[index(Class)]; }

private:
  using Queue = tbb::concurrent_bounded_queue<std::string>;
  static size_t index(LineClass Class) { return static_cast<size_t>(Class); }
  void write(const std::string &Line);
  void reportDropped();

  Sink Out;
  Queue Lines[2];
  std::atomic<uint64_t> Dropped[2] = {0, 0};
  uint64_t DroppedReported = 0;
  double Rate;
  double Allowance;
  Time Updated{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_DECISION_LOG_H
