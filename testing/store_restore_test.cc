// The real programs against a store that comes back from an older copy: changes
// that were in force stay so, and later ones with lower revisions take effect.
#include <doctest/doctest.h>

#include <thread>

#include "testing/platform_deployment.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

// The platform's bounds for a draining upstream and for a configuration.
constexpr auto DrainBound = std::chrono::milliseconds(2000);
constexpr auto ConfigBound = std::chrono::milliseconds(2000);
// The copy is from before all changes of a test but the first ones.
constexpr auto CopyAge = std::chrono::milliseconds(1500);

struct Restored : PlatformDeployment {
  Restored() : PlatformDeployment(2, 2) {
    for (const size_t Entry : {0, 1}) {
      REQUIRE(eventuallyServed(Entry, "/read/x"));
      REQUIRE(eventuallyServed(Entry, "/stream/x", "a1"));
    }
    std::this_thread::sleep_for(2 * CopyAge);
  }

  // Changes that raise the revisions that entries know above those that the
  // store gives out after its return.
  void raiseRevisions() {
    for (int Version = 2; Version < 20; ++Version)
      Platform.release("a9", Version);
    for (const char *Name : {"p", "p1", "e0", "e1"}) {
      Platform.drain(Name);
      Platform.restore(Name);
    }
    std::this_thread::sleep_for(CopyAge / 2);
  }

  // Whether the upstream gets requests later than the bound after now.
  bool getsRequests(const std::string &Name, const std::string &Target,
                    const std::string &Adapter = "") {
    std::this_thread::sleep_for(DrainBound);
    const size_t Before = Platform.tally(Name).Arrivals.size();
    for (int I = 0; I < 24; ++I)
      call(static_cast<size_t>(I % 2), Target, Adapter);
    return Platform.tally(Name).Arrivals.size() > Before;
  }
};

} // namespace

TEST_CASE("an upstream that drains after the store was restored gets no "
          "requests") {
  for (const bool ByRemoval : {false, true}) {
    CAPTURE(ByRemoval);
    Restored System;
    System.raiseRevisions();
    System.Platform.restoreStore(CopyAge);
    // After the grace period for records that the store does not have.
    std::this_thread::sleep_for(std::chrono::seconds(4));
    CHECK(System.getsRequests("p", "/read/x"));
    if (ByRemoval)
      System.Platform.remove("p");
    else
      System.Platform.drain("p");
    CHECK_FALSE(System.getsRequests("p", "/read/x"));
    for (const size_t Entry : {0, 1})
      CHECK(System.call(Entry, "/read/x").Head.Status == 200);
  }
}

TEST_CASE("a change below the revision of an old watch is not missed") {
  Restored System;
  System.raiseRevisions();
  const uint64_t Watched = System.Platform.storeRevision();
  // The store refuses the entries until it has given out as many revisions as
  // before.
  System.Platform.setStoreDown(true);
  System.Platform.restoreStore(CopyAge);
  System.Platform.drain("p");
  for (int Version = 20; System.Platform.storeRevision() <= Watched; ++Version)
    System.Platform.release("a9", Version);
  System.Platform.setStoreDown(false);
  CHECK_FALSE(System.getsRequests("p", "/read/x"));
}

TEST_CASE("what was in force before the store was restored stays in force") {
  Restored System;
  System.raiseRevisions();
  System.Platform.putConfig(2, true);
  System.Platform.drain("p");
  System.Platform.release("a1", 2);
  std::this_thread::sleep_for(CopyAge / 2);
  for (const size_t Entry : {0, 1})
    CHECK(System.call(Entry, "/extra/x").Head.Status == 200);
  // The store has neither the route nor the report of the upstream, and nobody
  // writes them again for a while.
  System.Platform.restoreStore(2 * CopyAge, false);
  const Time Until = currentTime().Steady + std::chrono::seconds(2);
  const size_t Arrivals = System.Platform.tally("p").Arrivals.size();
  while (currentTime().Steady < Until)
    for (const size_t Entry : {0, 1}) {
      REQUIRE(System.call(Entry, "/extra/x").Head.Status == 200);
      REQUIRE(System.call(Entry, "/stream/x", "a1").Head.Status == 200);
    }
  CHECK(System.Platform.tally("p").Arrivals.size() == Arrivals);
  System.Platform.rewriteStore();
  CHECK_FALSE(System.getsRequests("p", "/read/x"));
}

TEST_CASE("an upstream that the copy lacks stays in use until it has "
          "registered again") {
  Restored System;
  System.raiseRevisions();
  // The copy does not have the only upstream that is not removed.
  System.Platform.addPlain("p2", "127.0.3.9",
                           static_cast<uint16_t>(freePort()));
  System.Platform.remove("p");
  System.Platform.remove("p1");
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  REQUIRE(System.call(0, "/read/x").Head.Status == 200);
  System.Platform.restoreStore(CopyAge, false);
  const Time Until = currentTime().Steady + std::chrono::milliseconds(1500);
  while (currentTime().Steady < Until)
    for (const size_t Entry : {0, 1})
      CHECK(System.call(Entry, "/read/x").Head.Status == 200);
}

TEST_CASE("a change after several restores is in force in time") {
  Restored System;
  for (int Version = 2; Version < 5; ++Version) {
    System.raiseRevisions();
    System.Platform.restoreStore(CopyAge / 2);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    System.Platform.putConfig(Version, Version % 2 == 0);
    std::this_thread::sleep_for(ConfigBound);
    for (const size_t Entry : {0, 1})
      CHECK(System.call(Entry, "/extra/x").Head.Status ==
            (Version % 2 == 0 ? 200 : 404));
  }
}
