// Tests of the operators' tool: the timeline of a request from several logs,
// and the view of a deployment as the platform's store holds it.
#include <doctest/doctest.h>

#include "cli/fleet_view.h"
#include "cli/request_timeline.h"
#include "testing/platform_standin.h"
#include "testing/process.h"

using namespace goldcrestlink;

namespace {

// Log lines as processes write them, with and without the prefix of the logger.
const char *EntryLog =
    "I1 1 x.cc:1] t=100.000 start instance=entry-1 role=entry\n"
    "I1 1 x.cc:1] t=100.100 wait id=r1 route=s model=m adapter=a1 upstream=e0 "
    "ask=77 expected_ms=300\n"
    "I1 1 x.cc:1] t=100.150 send id=r2 route=s model=m adapter=a2 upstream=e0\n"
    "not a decision line\n"
    "t=100.900 end id=r1 route=s model=m adapter=a1 outcome=no_room\n";
const char *SideLog =
    "I1 1 x.cc:1] t=100.050 load adapter=m/a1 slots_used=1\n"
    "I1 1 x.cc:1] t=100.120 load adapter=m/a1 slots_used=2\n"
    "I1 1 x.cc:1] t=100.130 load adapter=m/a2 slots_used=3\n"
    "I1 1 x.cc:1] t=100.800 refuse ask=77 adapter=m/a1 reason=late\n"
    "I1 1 x.cc:1] t=100.810 refuse ask=7 adapter=m/a1 reason=late\n"
    "I1 1 x.cc:1] t=bad refuse ask=77\n"
    "I1 1 x.cc:1] t=101.000 evict adapter=m/a1 for=room\n";

std::vector<std::string> timelineEvents(std::string_view Id) {
  std::vector<LogLine> All = readLogLines("entry-1", EntryLog);
  const std::vector<LogLine> Side = readLogLines("side-1", SideLog);
  All.insert(All.begin(), Side.begin(), Side.end());
  std::vector<std::string> Out;
  for (const LogLine &L : requestTimeline(Id, All))
    Out.push_back(L.Source + " " + std::string(L.event()));
  return Out;
}

} // namespace

TEST_CASE("a request's timeline has its own lines, its admission requests and "
          "its adapter's events") {
  CHECK(timelineEvents("r1") ==
        std::vector<std::string>{"entry-1 wait", "side-1 load", "side-1 refuse",
                                 "entry-1 end"});
  CHECK(timelineEvents("r2") == std::vector<std::string>{"entry-1 send"});
  CHECK(timelineEvents("r").empty());
}

TEST_CASE("the deployment view shows what the store holds") {
  testing::PlatformStandIn Platform;
  Platform.putConfig(3, true);
  Platform.addEngine("e0", "127.0.0.1",
                     static_cast<uint16_t>(testing::freePort()));
  Platform.addPlain("p0", "127.0.0.1",
                    static_cast<uint16_t>(testing::freePort()));
  Platform.drain("p0");
  Platform.putGarbage();
  Platform.release("a1", 2);
  const Catalog C = readFleet(Platform.store(), std::chrono::seconds(60));
  const std::string Text = fleetText(C);
  for (const char *Line : {"config_version=3 ", "route=extra ",
                           "upstream=e0 service=engines ", "state=draining"}) {
    CAPTURE(Line);
    CHECK(Text.find(Line) != std::string::npos);
  }
  CHECK(Text.find("unreadable") == std::string::npos);
  CHECK(fleetJson(C).find("\"upstream\":\"e0\"") != std::string::npos);
}

TEST_CASE("reading the deployment fails if the store does not answer") {
  testing::PlatformStandIn Platform;
  Platform.setStoreDown(true);
  CHECK_THROWS_AS(readFleet(Platform.store(), std::chrono::milliseconds(50)),
                  std::runtime_error);
}
