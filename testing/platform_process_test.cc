// Tests of the real programs against stand-ins for the platform: settings
// files, the store, engines and a plain service over sockets, and signals.
// Tests wait for conditions rather than for fixed times.
#include <doctest/doctest.h>

#include <thread>

#include "testing/platform_deployment.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

using Deployment = PlatformDeployment;

size_t runCount(const Deployment &System, const std::string &Id) {
  return System.Platform.tally(Id).Ran.size();
}

void checkNoViolations(const Deployment &System) {
  for (const char *Id : {"e0", "e1"}) {
    CAPTURE(Id);
    CHECK(System.Platform.tally(Id).Violations == 0);
    CHECK(System.Platform.tally(Id).UnloadsInUse == 0);
  }
}

} // namespace

TEST_CASE("streams, plain calls and unknown routes from caller to upstream") {
  Deployment System;
  REQUIRE(eventually([&] { return System.ready(0) && System.ready(1); },
                     MaxWaitSeconds));
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  const http::Response Stream = System.call(0, "/stream/x", "a1");
  CHECK(Stream.Head.Status == 200);
  CHECK(Stream.Body.find("id: 5\n") != std::string::npos);
  CHECK(std::string(Stream.Head.header("Response-Seal")).substr(0, 5) ==
        "seal-");
  // More adapters than there are slots, through both entries.
  for (int I = 0; I < 30; ++I) {
    const std::string Adapter = "a" + std::to_string(I % 10);
    CHECK(System.call(static_cast<size_t>(I % 2), "/stream/x", Adapter)
              .Head.Status == 200);
  }
  REQUIRE(System.eventuallyServed(1, "/once/x"));
  CHECK(System.call(0, "/once/x", "", "hello").Body == "done hello");
  CHECK(System.call(0, "/none/x").Head.Status == 404);
  CHECK(System.call(0, "/once/x", "", std::string(200000, 'x')).Head.Status ==
        413);
  checkNoViolations(System);
}

TEST_CASE(
    "changes of configuration, drain state and adapter version take effect") {
  Deployment System;
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  REQUIRE(System.eventuallyServed(1, "/stream/x", "a1"));
  CHECK(System.call(0, "/extra/x").Head.Status == 404);
  System.Platform.putConfig(2, true);
  for (const size_t Entry : {0, 1})
    CHECK(System.eventuallyServed(Entry, "/extra/x"));

  // The store does not notify open watches when it drops its log of changes.
  System.Platform.dropHistory();
  System.Platform.putConfig(3, false);
  for (const size_t Entry : {0, 1})
    CHECK(eventually(
        [&] { return System.call(Entry, "/extra/x").Head.Status == 404; },
        MaxWaitSeconds));

  // Sides receive the configuration from entries.
  for (const char *Host : {"127.0.2.1", "127.0.2.2", "127.0.1.1", "127.0.1.2"})
    CHECK(eventually(
        [&] {
          return System.metric(Host, "goldcrestlink_config_version") == "3";
        },
        MaxWaitSeconds));

  System.Platform.release("a1", 2);
  CHECK(eventually(
      [&] {
        return System.call(0, "/stream/x", "a1")
                   .Head.header("Weight-Versions") == "2";
      },
      MaxWaitSeconds));

  System.Platform.drain("e0");
  // An entry has applied the drain once its requests for any adapter go to the
  // other engine.
  for (const size_t Entry : {0, 1})
    CHECK(eventually(
        [&] {
          const size_t Before = runCount(System, "e0");
          bool AllServed = true;
          for (int I = 0; I < 6; ++I)
            AllServed &=
                System.call(Entry, "/stream/x", "b" + std::to_string(I))
                    .Head.Status == 200;
          return AllServed && runCount(System, "e0") == Before;
        },
        MaxWaitSeconds));
  const size_t Before = runCount(System, "e0");
  for (int I = 0; I < 10; ++I)
    CHECK(System
              .call(static_cast<size_t>(I % 2), "/stream/x",
                    "c" + std::to_string(I))
              .Head.Status == 200);
  CHECK(runCount(System, "e0") == Before);
  checkNoViolations(System);
}

TEST_CASE("an entry restarted during a store outage serves requests") {
  Deployment System;
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  REQUIRE(System.eventuallyServed(1, "/stream/x", "a1"));
  System.Platform.setStoreDown(true);
  CHECK(System.call(0, "/stream/x", "a1").Head.Status == 200);
  // An entry that starts during the outage gets its state from the others.
  System.kill("entry1");
  System.startEntry(1);
  CHECK(eventually([&] { return System.ready(1); }, MaxWaitSeconds));
  CHECK(System.eventuallyServed(1, "/once/x"));
  CHECK(System.eventuallyServed(1, "/stream/x", "a1"));
  System.Platform.setStoreDown(false);
  System.Platform.putConfig(2, true);
  CHECK(System.eventuallyServed(1, "/extra/x"));
  checkNoViolations(System);
}

TEST_CASE("requests are served after engine restarts and the loss of a side") {
  Deployment System;
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  for (const char *Id : {"e0", "e1"})
    System.Platform.restartEngine(Id);
  CHECK(System.eventuallyServed(0, "/stream/x", "a1"));
  CHECK(System.eventuallyServed(1, "/stream/x", "a2"));
  System.kill("side0");
  for (int I = 0; I < 6; ++I)
    CHECK(System.eventuallyServed(0, "/stream/x", "d" + std::to_string(I)));
  checkNoViolations(System);
}

TEST_CASE("a graceful shutdown completes the requests in progress") {
  Deployment System;
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  REQUIRE(System.eventuallyServed(0, "/once/x"));
  std::atomic<bool> Sending{true};
  std::atomic<int> Truncated{0};
  std::atomic<int> Complete{0};
  // The caller sends requests until the process has exited. Each is answered in
  // full or not accepted at all.
  std::thread Caller([&] {
    while (Sending) {
      const http::Response R = System.call(0, "/stream/x", "a1");
      if (R.Head.Status == 200)
        ++(R.Body.find("id: 5\n") == std::string::npos ? Truncated : Complete);
    }
  });
  CHECK(eventually([&] { return Complete > 3; }, MaxWaitSeconds));
  CHECK(System.stop("entry0") == 0);
  Sending = false;
  Caller.join();
  CHECK(Truncated == 0);
  CHECK(System.eventuallyServed(1, "/stream/x", "a1"));
}
