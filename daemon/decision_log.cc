// A bounded concurrent queue between the threads; the rate is a token bucket
// with one second's burst.
#include "daemon/decision_log.h"

#include <algorithm>
#include <cstdio>

#include <glog/logging.h>

namespace goldcrestlink {

namespace {
constexpr int64_t QueueLines = 20000;
} // namespace

DecisionLog::DecisionLog(int64_t LinesPerSecond)
    : Rate(static_cast<double>(LinesPerSecond)), Allowance(Rate) {
  Lines.set_capacity(QueueLines);
}

void DecisionLog::push(std::string Line) {
  if (!Lines.try_push(std::move(Line)))
    Dropped.fetch_add(1, std::memory_order_relaxed);
}

void DecisionLog::drain(Time N) {
  if (Updated != Time{})
    Allowance = std::min(Rate, Allowance + Rate * seconds(N - Updated));
  Updated = N;
  std::string Line;
  while (Lines.try_pop(Line)) {
    if (Allowance < 1) {
      Dropped.fetch_add(1, std::memory_order_relaxed);
      continue;
    }
    Allowance -= 1;
    LOG(INFO) << Line;
  }
  // A process that is killed loses what its buffer holds.
  std::fflush(stdout);
  const uint64_t Total = Dropped;
  if (Total != DroppedReported && Allowance >= 1) {
    LOG(WARNING) << "dropped decision lines total=" << Total;
    DroppedReported = Total;
  }
}

} // namespace goldcrestlink
