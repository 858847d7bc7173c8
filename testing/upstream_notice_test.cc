// The real programs against upstreams that say in their answers, not in their
// records, that they want no requests.
#include <doctest/doctest.h>

#include <thread>

#include "testing/platform_deployment.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

// The platform's bound on requests to an upstream after it has said that it
// leaves.
constexpr auto DrainTime = std::chrono::seconds(2);
constexpr int Calls = 30;
// Several, so that every engine is preferred for one.
constexpr int Adapters = 6;

const char *adapterFor(std::string_view Target) {
  return Target.starts_with("/stream/") ? "a1" : "";
}

// The number of requests that \p Name gets during \p Calls calls through
// \p Entry.
size_t arrivals(PlatformDeployment &System, const std::string &Name,
                size_t Entry, const char *Target) {
  const size_t Before = System.Platform.tally(Name).Arrivals.size();
  for (int I = 0; I < Calls; ++I)
    System.call(Entry, Target,
                *adapterFor(Target) ? "a" + std::to_string(I % Adapters) : "");
  return System.Platform.tally(Name).Arrivals.size() - Before;
}

} // namespace

TEST_CASE("an upstream that says it leaves gets no requests though its record "
          "is ready") {
  struct Row {
    const char *Target;
    const char *Leaving;
  };
  for (const Row &R : {Row{"/read/x", "p"}, Row{"/stream/x", "e0"}}) {
    CAPTURE(R.Target);
    PlatformDeployment System(2, 2);
    for (const size_t Entry : {0, 1})
      REQUIRE(System.eventuallyServed(Entry, R.Target, adapterFor(R.Target)));
    System.Platform.setLeaving(R.Leaving);
    // Some of these calls reach the upstream and bring the notice.
    CHECK(eventually(
        [&] { return arrivals(System, R.Leaving, 0, R.Target) == 0; },
        MaxWaitSeconds));
    std::this_thread::sleep_for(DrainTime);
    CHECK(arrivals(System, R.Leaving, 0, R.Target) == 0);
    // The other entry has been told, if it has not heard it itself.
    CHECK(arrivals(System, R.Leaving, 1, R.Target) == 0);
    // A record that says "ready" once more does not undo it, nor does a store
    // that comes back from an older copy.
    System.Platform.restore(R.Leaving);
    System.Platform.restoreStore(std::chrono::seconds(1));
    System.kill("entry1");
    System.startEntry(1);
    CHECK(System.eventuallyServed(1, R.Target, adapterFor(R.Target)));
    std::this_thread::sleep_for(DrainTime);
    for (const size_t Entry : {0, 1}) {
      CAPTURE(Entry);
      CHECK(arrivals(System, R.Leaving, Entry, R.Target) == 0);
      CHECK(System.eventuallyServed(Entry, R.Target, adapterFor(R.Target)));
    }
    // Another incarnation is used.
    System.Platform.crash(R.Leaving);
    System.Platform.start(R.Leaving, std::string(R.Leaving) + "-2");
    CHECK(
        eventually([&] { return arrivals(System, R.Leaving, 1, R.Target) > 0; },
                   MaxWaitSeconds));
  }
}
