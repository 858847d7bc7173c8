// Tests which time counts as run, and when a question counts as unanswered.
#include <doctest/doctest.h>

#include "base/running_clock.h"

using namespace goldcrestlink;

namespace {
Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }
} // namespace

TEST_CASE("pauses do not count as running time") {
  struct Row {
    int StepMs;
    int CountedMs;
  };
  const Row Rows[] = {{0, 0},   {5, 5},    {10, 10},   {20, 20},
                      {21, 20}, {300, 20}, {3000, 20}, {60000, 20}};
  for (const Row &R : Rows) {
    CAPTURE(R.StepMs);
    RunningClock Clock;
    Clock.onTimer(at(0));
    Clock.onTimer(at(10));
    const Time Before = Clock.at(at(10));
    const Duration Counted = std::chrono::milliseconds(R.CountedMs);
    CHECK(Clock.at(at(10 + R.StepMs)) - Before == Counted);
    Clock.onTimer(at(10 + R.StepMs));
    CHECK(Clock.at(at(10 + R.StepMs)) - Before == Counted);
  }
}

TEST_CASE("a time-out ends after what has arrived was handled") {
  struct Row {
    // A pause begins so long after the question.
    int AskedMs;
    int PauseMs;
    // The running time left at its end, for a time-out of 100 ms.
    int LeftMs;
  };
  const Row Rows[] = {{10, 10, 80},   {10, 20, 70},   {10, 21, 70},
                      {10, 300, 70},  {70, 300, 40},  {90, 300, 40},
                      {90, 3000, 40}, {170, 300, 10}, {180, 300, 0}};
  for (const Row &R : Rows) {
    CAPTURE(R.AskedMs);
    CAPTURE(R.PauseMs);
    RunningClock Clock;
    for (int Ms = 0; Ms <= R.AskedMs; Ms += 10)
      Clock.onTimer(at(Ms));
    const Time Asked = Clock.at(at(0));
    const Time Resumed = at(R.AskedMs + R.PauseMs);
    Clock.onTimer(Resumed);
    CHECK(Clock.timeLeft(Resumed, Asked, std::chrono::milliseconds(100)) ==
          Duration(std::chrono::milliseconds(R.LeftMs)));
  }
}
