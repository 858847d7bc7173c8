// One bounded queue per class between the threads. The rate is enforced by a
// token bucket that holds one second's worth of lines. A drain empties the kept
// queue first. When the bucket is empty, routine lines are dropped, so that the
// lines a drain writes are bounded by the rate, and kept lines stay queued for
// the next drain.
#include "daemon/decision_log.h"

#include <algorithm>
#include <cstdio>

#include <glog/logging.h>

namespace goldcrestlink {

namespace {
// Per class. Holds several seconds of a process at peak load; 6 MB at 300 bytes
// a line.
constexpr int64_t QueueLines = 20000;
// Reserved for the line that reports the numbers of dropped lines.
constexpr double DropReportTokens = 1;

// The timestamp allows the logs of several processes to be merged in order.
std::string withTimestamp(const std::string &Line) {
  const int64_t Ms = unixMillis(currentTime().Wall);
  char Timestamp[40];
  std::snprintf(Timestamp, sizeof(Timestamp), "t=%lld.%03d ",
                static_cast<long long>(Ms / 1000), static_cast<int>(Ms % 1000));
  return Timestamp + Line;
}

void writeToGlog(const std::string &Line) { LOG(INFO) << Line; }
} // namespace

DecisionLog::DecisionLog(int64_t LinesPerSecond)
    : DecisionLog(LinesPerSecond, writeToGlog) {}

DecisionLog::DecisionLog(int64_t LinesPerSecond, Sink InSink)
    : Out(std::move(InSink)), Rate(static_cast<double>(LinesPerSecond)),
      Tokens(Rate) {
  for (Queue &Q : Queues)
    Q.set_capacity(QueueLines);
}

void DecisionLog::push(LogClass Class, std::string Line) {
  // Lines hold texts of records and messages, which must not look like lines.
  std::replace_if(
      Line.begin(), Line.end(),
      [](char C) { return static_cast<unsigned char>(C) < ' ' || C == '\x7f'; },
      '?');
  if (!Queues[index(Class)].try_push(withTimestamp(Line)))
    Dropped[index(Class)].fetch_add(1, std::memory_order_relaxed);
}

void DecisionLog::write(const std::string &Line) {
  Tokens -= 1;
  Out(Line);
}

void DecisionLog::drain(Time Now) {
  if (RefilledAt != Time{})
    Tokens = std::min(Rate, Tokens + Rate * seconds(Now - RefilledAt));
  RefilledAt = Now;
  std::string Line;
  while (Tokens >= 1 && Queues[index(LogClass::Kept)].try_pop(Line))
    write(Line);
  // Takes at most the lines queued at this point, so that the drain ends even
  // if other threads keep pushing.
  for (auto Remaining = Queues[index(LogClass::Routine)].size();
       Remaining > 0 && Queues[index(LogClass::Routine)].try_pop(Line);
       --Remaining) {
    if (Tokens >= 1 + DropReportTokens)
      write(Line);
    else
      Dropped[index(LogClass::Routine)].fetch_add(1, std::memory_order_relaxed);
  }
  reportDropped();
  // A killed process would lose the lines in the stdio buffer.
  std::fflush(stdout);
}

void DecisionLog::reportDropped() {
  const uint64_t Total = dropped(LogClass::Routine) + dropped(LogClass::Kept);
  if (Total == DroppedReported || Tokens < DropReportTokens)
    return;
  write(withTimestamp(
      "log dropped_routine=" + std::to_string(dropped(LogClass::Routine)) +
      " dropped_kept=" + std::to_string(dropped(LogClass::Kept))));
  DroppedReported = Total;
}

void DecisionLog::finish(Time Now) {
  drain(Now);
  std::string Line;
  while (Queues[index(LogClass::Kept)].try_pop(Line))
    Out(Line);
  std::fflush(stdout);
}

} // namespace goldcrestlink
