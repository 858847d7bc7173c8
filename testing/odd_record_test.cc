// The real programs with an odd record among those of the upstreams: they go on
// and follow the other records.
#include <doctest/doctest.h>

#include <thread>

#include "testing/platform_deployment.h"
#include "testing/standin_support.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

// The platform's bound on requests to an upstream after the store has
// acknowledged that it leaves.
constexpr auto DrainTime = std::chrono::seconds(2);
constexpr int Calls = 20;

size_t arrivals(PlatformDeployment &System, const std::string &Name) {
  const size_t Before = System.Platform.tally(Name).Arrivals.size();
  for (int I = 0; I < Calls; ++I)
    for (const size_t Entry : {0, 1})
      System.call(Entry, "/read/x");
  return System.Platform.tally(Name).Arrivals.size() - Before;
}

std::string nested(size_t Depth) {
  return R"({"service":"plain","address":"127.0.3.7:9","zone":"z",)"
         R"("state":"ready","slots":6,"x":)" +
         std::string(Depth, '[') + std::string(Depth, ']') + "}";
}

// From the start of all processes until requests are served (recover_s).
constexpr double RecoverSeconds = 12;

void restartAll(PlatformDeployment &System) {
  for (const char *Name : {"entry0", "entry1", "side0", "side1"})
    System.kill(Name);
  for (size_t I = 0; I < System.Engines.size(); ++I)
    System.startSide("side" + std::to_string(I), System.Engines[I]);
  for (const int I : {0, 1})
    System.startEntry(I);
}

// Whether each kind of call is served at each entry in time.
bool allServed(PlatformDeployment &System) {
  return eventually(
      [&] {
        for (const size_t Entry : {0, 1})
          if (System.call(Entry, "/read/x").Head.Status != 200 ||
              System.call(Entry, "/stream/x", "a1").Head.Status != 200)
            return false;
        return true;
      },
      RecoverSeconds);
}

struct OddRow {
  const char *Name;
  std::string Spec;
};

} // namespace

TEST_CASE("an odd record neither ends a process nor hides upstreams that leave "
          "and join") {
  const OddRow Rows[] = {
      {"nested deeply", nested(200000)},
      {"number too large", R"({"service":"plain","slots":1e999})"},
      {"not UTF-8", "\"\xff\xfe\""},
  };
  for (const OddRow &R : Rows) {
    CAPTURE(R.Name);
    PlatformDeployment System(1, 2);
    System.Platform.setStorePageSize(3);
    for (const size_t Entry : {0, 1})
      REQUIRE(System.eventuallyServed(Entry, "/read/x"));

    System.Platform.putGarbage();
    // In the events of a watch, beside upstreams that leave and one that joins.
    System.Platform.putUpstreamText("odd", R.Spec);
    System.Platform.putUpstreamObjectText("odd2", "{\"metadata\":" + R.Spec +
                                                      ",\"spec\":{}}");
    for (const char *Name : {"p", "p1"})
      System.Platform.drain(Name);
    System.Platform.addPlain("p9", "127.0.3.9",
                             static_cast<uint16_t>(freePort()));
    std::this_thread::sleep_for(DrainTime);
    for (const char *Name : {"p", "p1"})
      CHECK(arrivals(System, Name) == 0);
    CHECK(arrivals(System, "p9") > 0);

    // In the lists that processes read when they start.
    for (const int I : {0, 1}) {
      System.kill("entry" + std::to_string(I));
      System.startEntry(I);
    }
    for (const size_t Entry : {0, 1})
      CHECK(System.eventuallyServed(Entry, "/read/x"));
    CHECK(arrivals(System, "p1") == 0);
    CHECK(arrivals(System, "p9") > 0);

    // Under the id of an upstream that was good.
    System.Platform.putUpstreamText("p9", R.Spec);
    std::this_thread::sleep_for(DrainTime);
    CHECK(arrivals(System, "p9") == 0);

    // Taken away again.
    for (const char *Name : {"odd", "odd2"})
      System.Platform.putUpstreamObjectText(Name, "");
    System.Platform.restore("p9");
    std::this_thread::sleep_for(DrainTime);
    CHECK(arrivals(System, "p9") > 0);
    for (const char *Host : {"127.0.2.1", "127.0.2.2"})
      CHECK(System.metric(
                Host, "goldcrestlink_store_objects_unreadable_total") != "0");
    for (const size_t Entry : {0, 1})
      CHECK(System.ready(Entry));
  }
}

// Guards against processes that read no list to its end when they start, at a
// page without a usable name.
TEST_CASE("all processes serve after a restart while objects with odd names "
          "stand among those of the upstreams") {
  for (const size_t PageSize : {1, 3}) {
    CAPTURE(PageSize);
    PlatformDeployment System;
    System.Platform.setStorePageSize(PageSize);
    REQUIRE(allServed(System));
    for (const char *Name : {"a &", "a +", "a #", "a %", "e0 x", "p&", "p+",
                             "p#", "p%", "p/../x", "p\xc3\xa9"})
      System.Platform.putUpstreamObjectText(
          Name,
          R"({"metadata":{"name":")" + std::string(Name) +
              R"(","revision":5},"spec":{"service":"plain","slots":"x"}})");
    restartAll(System);
    CHECK(allServed(System));
    for (const char *Host : {"127.0.2.1", "127.0.2.2"})
      CHECK(System.metric(Host, "goldcrestlink_store_lists_unfinished_total") ==
            "0");
  }
}

// Guards against an upstream that another record at its address hides.
TEST_CASE("a copy of an upstream's record under another name hides none") {
  for (const char *Suffix : {"&x", "+", "#", "%20", " x"}) {
    CAPTURE(Suffix);
    PlatformDeployment System;
    REQUIRE(allServed(System));
    for (const size_t I : {0, 1})
      System.Platform.putUpstream("e" + std::to_string(I) + Suffix, "engines",
                                  System.Engines[I]);
    System.Platform.putUpstream("p" + std::string(Suffix), "plain",
                                System.Platform.address("p"));
    restartAll(System);
    REQUIRE(allServed(System));
    for (int I = 0; I < Calls; ++I)
      for (const size_t Entry : {0, 1}) {
        CHECK(System.call(Entry, "/read/x").Head.Status == 200);
        CHECK(System.call(Entry, "/stream/x", "a" + std::to_string(1 + I % 3))
                  .Head.Status == 200);
      }
  }
}
