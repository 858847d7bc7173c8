// Passes decision lines from traffic threads to the control thread, which
// writes them with glog at a bounded rate. Beyond that rate, routine lines are
// dropped and counted, while kept lines are written first and otherwise stay
// queued for a later drain. Traffic threads never wait for the log.
//
//   DecisionLog Log(2000);
//   Log.push(LogClass::Routine, "send id=...");   // any thread
//   Log.drain(Now);                                // control thread, regularly
#ifndef GOLDCRESTLINK_DAEMON_DECISION_LOG_H
#define GOLDCRESTLINK_DAEMON_DECISION_LOG_H

#include <atomic>
#include <functional>
#include <string>

#include <tbb/concurrent_queue.h>

#include "base/log_class.h"
#include "base/time.h"

namespace goldcrestlink {

/// push() is thread-safe; the rest is for one thread.
class DecisionLog {
public:
  using Sink = std::function<void(const std::string &)>;

  /// Writes with glog.
  explicit DecisionLog(int64_t LinesPerSecond);
  /// Writes to \p Out, which must not block.
  DecisionLog(int64_t LinesPerSecond, Sink Out);
  /// Queues a line, prefixed with the current time of day, or counts it as
  /// dropped if the queue of its class is full. Never blocks.
  void push(LogClass Class, std::string Line);
  /// Writes queued lines within the rate, then the numbers of dropped lines if
  /// they have grown since they were last written.
  void drain(Time Now);
  /// Writes all queued kept lines regardless of the rate; for the end of the
  /// process.
  void finish(Time Now);
  uint64_t dropped(LogClass Class) const { return Dropped[index(Class)]; }

private:
  using Queue = tbb::concurrent_bounded_queue<std::string>;
  static size_t index(LogClass Class) { return static_cast<size_t>(Class); }
  void write(const std::string &Line);
  void reportDropped();

  Sink Out;
  Queue Queues[2];
  std::atomic<uint64_t> Dropped[2] = {0, 0};
  uint64_t DroppedReported = 0;
  /// Lines per second.
  double Rate;
  /// Fill level of the token bucket: the number of lines that may be written
  /// now.
  double Tokens;
  Time RefilledAt{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_DECISION_LOG_H
