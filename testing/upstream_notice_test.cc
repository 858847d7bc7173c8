// The real programs against upstreams that say in their answers, not in their
// records, that they want no requests.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <thread>

#include "testing/platform_deployment.h"
#include "testing/raw_upstream.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

// The platform's bound on requests to an upstream after it has said that it
// leaves.
constexpr auto DrainTime = std::chrono::seconds(2);
constexpr int Calls = 30;
// Several, so that every engine is preferred for one.
constexpr int Adapters = 6;
// The platform's bounds on requests to an upstream after it has answered with
// Retry-After: from when, and how many from each entry.
constexpr Duration PauseGrace = std::chrono::milliseconds(500);
constexpr size_t MaxPausedArrivals = 2;

const char *adapterFor(std::string_view Target) {
  return Target.starts_with("/stream/") ? "a1" : "";
}

// Streams use several adapters in turn.
http::Response callInTurn(PlatformDeployment &System, size_t Entry,
                          const char *Target, int I) {
  return System.call(Entry, Target,
                     *adapterFor(Target) ? "a" + std::to_string(I % Adapters)
                                         : "");
}

// The number of requests that \p Name gets during \p Calls calls through
// \p Entry.
size_t arrivals(PlatformDeployment &System, const std::string &Name,
                size_t Entry, const char *Target) {
  const size_t Before = System.Platform.tally(Name).Arrivals.size();
  for (int I = 0; I < Calls; ++I)
    callInTurn(System, Entry, Target, I);
  return System.Platform.tally(Name).Arrivals.size() - Before;
}

// Requests that reach \p Name later than PauseGrace after \p Since.
size_t lateArrivals(const PlatformDeployment &System, const std::string &Name,
                    Time Since) {
  const std::vector<Time> All = System.Platform.tally(Name).Arrivals;
  return static_cast<size_t>(std::count_if(
      All.begin(), All.end(), [&](Time T) { return T > Since + PauseGrace; }));
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

TEST_CASE("an upstream that answers with Retry-After gets no requests for so "
          "long") {
  struct Row {
    const char *Target;
    std::vector<const char *> Upstreams;
  };
  for (const Row &R : {Row{"/read/x", {"p", "p1"}}, Row{"/once/x", {"p", "p1"}},
                       Row{"/stream/x", {"e0", "e1"}}}) {
    CAPTURE(std::string(R.Target));
    int I = 0;
    PlatformDeployment System(2, 2);
    for (const size_t Entry : {0, 1})
      REQUIRE(System.eventuallyServed(Entry, R.Target, adapterFor(R.Target)));
    System.Platform.setRetryAfter(R.Upstreams[0], "4.5");
    Time Since = currentTime().Steady;
    // Brings the entry its pause, then checks that the other upstream serves.
    CHECK(eventually(
        [&] {
          callInTurn(System, 0, R.Target, ++I);
          return !System.Platform.tally(R.Upstreams[0]).Arrivals.empty() &&
                 System.Platform.tally(R.Upstreams[0]).Arrivals.back() > Since;
        },
        4));
    Since = System.Platform.tally(R.Upstreams[0]).Arrivals.back();
    int Served = 0;
    while (currentTime().Steady < Since + std::chrono::seconds(4))
      Served += callInTurn(System, 0, R.Target, ++I).Head.Status == 200;
    CHECK(Served > 0);
    CHECK(lateArrivals(System, R.Upstreams[0], Since) <= MaxPausedArrivals);

    // All pause: callers are told at once, and are served again later.
    for (const char *Name : R.Upstreams)
      System.Platform.setRetryAfter(Name, "3");
    http::Response Refused;
    CHECK(eventually(
        [&] {
          const Time Begin = currentTime().Steady;
          Refused = callInTurn(System, 1, R.Target, ++I);
          return Refused.Body == "paused\n" &&
                 currentTime().Steady - Begin < std::chrono::seconds(1);
        },
        MaxWaitSeconds));
    CHECK(Refused.Head.Status == 503);
    CHECK(std::stod("0" + std::string(Refused.Head.header("Retry-After"))) > 0);
    for (const char *Name : R.Upstreams)
      System.Platform.setRetryAfter(Name, "");
    CHECK(System.eventuallyServed(1, R.Target, adapterFor(R.Target)));
  }
}

TEST_CASE("an upstream that says it leaves before its record is known gets no "
          "requests") {
  std::atomic<int> Rejected{0};
  std::atomic<int> Reached{0};
  RawUpstream Next("127.0.3.9", [&](RawConnection &C) {
    while (C.readRequest()) {
      if (C.requestId().empty())
        return;
      const bool IsMeant = C.field("Expect-Instance") == "next";
      ++(IsMeant ? Reached : Rejected);
      C.write("HTTP/1.1 421 Misdirected\r\nRequest-Id: " + C.requestId() +
              "\r\nInstance-Id: next\r\nServer-Leaving: 1\r\n"
              "Content-Length: 0\r\n\r\n");
    }
  });
  PlatformDeployment System(1, 1);
  for (const size_t Entry : {0, 1})
    REQUIRE(System.eventuallyServed(Entry, "/read/x"));
  // The address is that of an upstream whose end is not known yet.
  System.Platform.putUpstream("last", "plain", Next.endpoint());
  CHECK(eventually(
      [&] {
        System.call(0, "/read/x");
        return Rejected > 0;
      },
      MaxWaitSeconds));
  std::this_thread::sleep_for(DrainTime);
  System.Platform.putUpstreamText(
      "next", R"({"service":"plain","zone":"z","state":"ready","born":5,)"
              R"("address":")" +
                  Next.endpoint().text() + "\"}");
  std::this_thread::sleep_for(DrainTime);
  for (int I = 0; I < Calls; ++I)
    for (const size_t Entry : {0, 1})
      System.call(Entry, "/read/x");
  CHECK(Reached == 0);
}
