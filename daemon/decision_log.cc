// One bounded queue per class between the threads; the rate is a token bucket
// with one second's burst. A drain empties the kept queue first. Routine lines
// beyond the bucket are dropped, so that a drain's work is bounded by the rate;
// kept lines beyond it stay queued for the next drain.
#include "daemon/decision_log.h"

#include <algorithm>
#include <cstdio>

#include <glog/logging.h>

namespace goldcrestlink {

namespace {
// Several seconds of a process at its busiest; at 300 bytes a line, 6 MB.
constexpr int64_t QueueLines = 20000;
// The allowance that is left when the dropped lines are told of.
constexpr double ReportCost = 1;

// Lines of several processes are put in order by this.
std::string stamped(const std::string &Line) {
  const int64_t Ms = unixMillis(presentTime().Wall);
  char Stamp[40];
  std::snprintf(Stamp, sizeof(Stamp), "t=%lld.%03d ",
                static_cast<long long>(Ms / 1000), static_cast<int>(Ms % 1000));
  return Stamp + Line;
}

void writeByGlog(const std::string &Line) { LOG(INFO) << Line; }
} // namespace

DecisionLog::DecisionLog(int64_t LinesPerSecond)
    : DecisionLog(LinesPerSecond, writeByGlog) {}

DecisionLog::DecisionLog(int64_t LinesPerSecond, Sink InOut)
    : Out(std::move(InOut)), Rate(static_cast<double>(LinesPerSecond)),
      Allowance(Rate) {
  for (Queue &Q : Lines)
    Q.set_capacity(QueueLines);
}

void DecisionLog::push(LineClass Class, std::string Line) {
  if (!Lines[index(Class)].try_push(stamped(Line)))
    Dropped[index(Class)].fetch_add(1, std::memory_order_relaxed);
}

void DecisionLog::write(const std::string &Line) {
  Allowance -= 1;
  Out(Line);
}

void DecisionLog::drain(Time N) {
  if (Updated != Time{})
    Allowance = std::min(Rate, Allowance + Rate * seconds(N - Updated));
  Updated = N;
  std::string Line;
  while (Allowance >= 1 && Lines[index(LineClass::Kept)].try_pop(Line))
    write(Line);
  // No more than were there at the start, so that a drain ends.
  for (auto Left = Lines[index(LineClass::Routine)].size();
       Left > 0 && Lines[index(LineClass::Routine)].try_pop(Line); --Left) {
    if (Allowance >= 1 + ReportCost)
      write(Line);
    else
      Dropped[index(LineClass::Routine)].fetch_add(1,
                                                   std::memory_order_relaxed);
  }
  reportDropped();
  // A process that is killed loses what its buffer holds.
  std::fflush(stdout);
}

void DecisionLog::reportDropped() {
  const uint64_t Total = dropped(LineClass::Routine) + dropped(LineClass::Kept);
  if (Total == DroppedReported || Allowance < ReportCost)
    return;
  write(stamped(
      "log dropped_routine=" + std::to_string(dropped(LineClass::Routine)) +
      " dropped_kept=" + std::to_string(dropped(LineClass::Kept))));
  DroppedReported = Total;
}

void DecisionLog::finish(Time N) {
  drain(N);
  std::string Line;
  while (Lines[index(LineClass::Kept)].try_pop(Line))
    Out(Line);
  std::fflush(stdout);
}

} // namespace goldcrestlink
