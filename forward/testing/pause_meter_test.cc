// Unit tests of PauseMeter.
#include <vector>

#include <doctest/doctest.h>

#include "forward/pause_meter.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;

namespace {
Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }
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
      Meter.onEvents(at(Ms), Send);
    CHECK(Meter.longest().Length == std::chrono::milliseconds(R.LengthMs));
    CHECK(Meter.longest().EndedAt == at(R.EndMs));
    CHECK(Meter.longest().BetweenSends == R.BetweenSends);
  }
}
