// The real programs: requests run on an announced version within the bound,
// also at a side that learns of it later than the entries.
#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include "testing/platform_deployment.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

// The platform's bound from the announcement of a version to the last request
// that begins on an older one.
constexpr Duration VersionBound = std::chrono::seconds(5);
// A side takes less than this to switch after the announcement; callers are
// watched for as long behind the bound.
constexpr Duration WatchTime = std::chrono::seconds(2);
constexpr Duration CallPause = std::chrono::milliseconds(20);

Time now() { return currentTime().Steady; }

unsigned versionOf(const http::Response &R) {
  return R.Head.Status == 200
             ? static_cast<unsigned>(std::atoi(
                   std::string(R.Head.header("Weight-Versions")).c_str()))
             : 0;
}

} // namespace

// Guards against a side that counts the time to replace an adapter from when it
// learns of the version instead of from the announcement.
TEST_CASE("a side that learns late of a version grants no request on an older "
          "one after the bound") {
  enum class Late { Stopped, Restarted };
  struct Row {
    const char *Name;
    Late How;
    // From the announcement until the side runs again.
    Duration Delay;
  };
  const Row Rows[] = {
      {"stood still", Late::Stopped, std::chrono::milliseconds(4800)},
      {"started anew", Late::Restarted, std::chrono::milliseconds(4300)},
  };
  // Each is replaced at a time of its own.
  constexpr int Rounds = 3;
  const char *const Adapters[] = {"a1", "a2"};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PlatformDeployment System(1);
    for (const char *Adapter : Adapters)
      for (const size_t Entry : {0, 1})
        REQUIRE(System.eventuallyServed(Entry, "/stream/x", Adapter));
    for (int Version = 2; Version < 2 + Rounds; ++Version) {
      CAPTURE(Version);
      if (R.How == Late::Stopped)
        System.signal("side0", SIGSTOP);
      else
        System.kill("side0");
      for (const char *Adapter : Adapters)
        System.Platform.release(Adapter, Version);
      const Time Announced = now();
      std::this_thread::sleep_until(Announced + R.Delay);
      if (R.How == Late::Stopped)
        System.signal("side0", SIGCONT);
      else
        System.startSide("side0", System.Engines.at(0));
      std::this_thread::sleep_until(Announced + VersionBound);
      int Served = 0;
      int Outdated = 0;
      while (now() < Announced + VersionBound + WatchTime)
        for (const char *Adapter : Adapters)
          for (const size_t Entry : {0, 1}) {
            const unsigned Used =
                versionOf(System.call(Entry, "/stream/x", Adapter));
            Served += Used > 0 ? 1 : 0;
            Outdated += Used > 0 && Used < static_cast<unsigned>(Version);
            std::this_thread::sleep_for(CallPause);
          }
      CHECK(Outdated == 0);
      CHECK(Served > 0);
      for (const char *Adapter : Adapters)
        REQUIRE(System.eventuallyServed(0, "/stream/x", Adapter));
    }
  }
}
