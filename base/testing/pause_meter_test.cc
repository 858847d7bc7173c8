// Unit tests of PauseMeter and ProcessDelays.
#include <vector>

#include <doctest/doctest.h>

#include "base/pause_meter.h"
#include "base/process_delays.h"

using namespace goldcrestlink;

namespace {
Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }

Duration ms(int64_t Count) { return std::chrono::milliseconds(Count); }
} // namespace

TEST_CASE("the longest pause is between events, not before the first") {
  struct Row {
    const char *Name;
    /// When events arrived, in ms, and the send that they came from.
    std::vector<std::pair<int64_t, uint32_t>> Events;
    int64_t LengthMs;
    int64_t EndMs;
    bool BetweenSends;
  };
  const Row Rows[] = {
      {"no event", {}, 0, -100000, false},
      {"one event after a long wait", {{5000, 1}}, 0, -100000, false},
      {"the longest of three",
       {{10, 1}, {30, 1}, {330, 1}, {340, 1}},
       300,
       330,
       false},
      {"events that arrive together",
       {{10, 1}, {10, 1}, {12, 1}},
       2,
       12,
       false},
      {"taken up elsewhere",
       {{10, 1}, {20, 1}, {920, 2}, {930, 2}},
       900,
       920,
       true},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PauseMeter Meter;
    for (const auto &[Ms, Send] : R.Events)
      Meter.onEvents(at(Ms), Send, Duration(0));
    CHECK(Meter.longest().Length == ms(R.LengthMs));
    CHECK(Meter.longest().EndedAt == at(R.EndMs));
    CHECK(Meter.longest().BetweenSends == R.BetweenSends);
  }
}

TEST_CASE("a pause came about where most of it was seen") {
  struct Row {
    const char *Name;
    uint32_t SecondSend;
    int64_t IdleMs;
    int64_t UpstreamMs;
    bool Observed;
    PausePlace Place;
  };
  const Row Rows[] = {
      {"nobody has seen it", 1, 0, 0, false, PausePlace::Upstream},
      {"seen beside the engine", 1, 0, 390, true, PausePlace::Engine},
      {"the engine paused for a short part of it", 1, 0, 150, true,
       PausePlace::Network},
      {"the engine did not pause", 1, 0, 0, true, PausePlace::Network},
      {"the process did nothing", 1, 350, 0, true, PausePlace::Process},
      {"the process did nothing for a part of it", 1, 100, 390, true,
       PausePlace::Engine},
      {"taken up elsewhere", 2, 0, 390, true, PausePlace::Resume},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PauseMeter Meter;
    Meter.setObserved(R.Observed);
    Meter.onEvents(at(0), 1, Duration(0));
    Meter.onEvents(at(400), R.SecondSend, ms(R.IdleMs));
    if (R.UpstreamMs > 0)
      Meter.onUpstreamPause(ms(R.UpstreamMs));
    CHECK(Meter.place() == R.Place);
  }
}

TEST_CASE("a delay counts as far as it lies within the pause") {
  struct Row {
    const char *Name;
    /// When the timer ran, in ms.
    std::vector<int64_t> Timer;
    int64_t FromMs;
    int64_t NowMs;
    int64_t DelayMs;
  };
  const Row Rows[] = {
      {"no timer yet", {}, 0, 1000, 0},
      {"on time", {0, 10, 20, 30}, 0, 35, 0},
      {"stands still until now", {0, 10}, 5, 410, 400},
      {"stood still until the timer", {0, 10, 410, 420}, 5, 425, 400},
      {"stood still before the pause too", {0, 10, 410, 420}, 110, 425, 300},
      {"stood still before the pause only", {0, 10, 410, 420}, 415, 425, 0},
      {"short delays", {0, 40, 80, 120}, 0, 125, 0},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    ProcessDelays Delays;
    for (const int64_t Ms : R.Timer)
      Delays.onTimer(at(Ms));
    CHECK(Delays.longestSince(at(R.FromMs), at(R.NowMs)) == ms(R.DelayMs));
  }
}
