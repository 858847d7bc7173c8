// The real programs against stand-in upstreams that name a limit of requests:
// all entries together keep to it, and use the upstream in full once it names
// none.
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "testing/platform_deployment.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

constexpr const char *Limit = "4.5";
constexpr double LimitPerSecond = 4.5;
// The platform's bound: in each window one and a half times the limit and five
// requests, from this long after the limit was first named.
constexpr auto ContactTime = std::chrono::seconds(3);
constexpr auto Window = std::chrono::seconds(4);
constexpr double MaxInWindow = 1.5 * 4 * LimitPerSecond + 5;

// The most requests that arrived in one window after \p From.
size_t mostInWindow(const std::vector<Time> &Arrivals, Time From) {
  size_t Most = 0;
  for (size_t First = 0; First < Arrivals.size(); ++First) {
    size_t Count = 0;
    for (size_t I = First;
         I < Arrivals.size() && Arrivals[I] < Arrivals[First] + Window; ++I)
      ++Count;
    if (Arrivals[First] >= From)
      Most = std::max(Most, Count);
  }
  return Most;
}

struct Row {
  const char *Target;
  const char *Adapter;
  std::vector<std::string> Upstreams;
};

} // namespace

TEST_CASE("upstreams do not get more requests than the limit that they name") {
  for (const Row &R : {Row{"/stream/x", "a1", {"e0", "e1"}},
                       Row{"/once/x", "", {"p", "p1"}}}) {
    CAPTURE(std::string(R.Target));
    PlatformDeployment System(2, 2);
    for (const size_t Entry : {0, 1})
      REQUIRE(System.eventuallyServed(Entry, R.Target, R.Adapter));
    for (const std::string &Id : R.Upstreams)
      System.Platform.setLimit(Id, Limit);
    const Time Named = currentTime().Steady;
    std::atomic<bool> Sending{true};
    std::atomic<int> Served{0};
    std::vector<std::thread> Callers;
    for (size_t I = 0; I < 6; ++I)
      Callers.emplace_back([&, I] {
        while (Sending) {
          const int Status = static_cast<int>(
              System.call(I % 2, R.Target, R.Adapter).Head.Status);
          Served += Status == 200;
          if (Status != 200)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
      });
    std::this_thread::sleep_for(ContactTime + 2 * Window);
    for (const std::string &Id : R.Upstreams) {
      CAPTURE(Id);
      CHECK(mostInWindow(System.Platform.tally(Id).Arrivals,
                         Named + ContactTime) <= MaxInWindow);
      // Served up to the limit, not only kept below it.
      CHECK(mostInWindow(System.Platform.tally(Id).Arrivals,
                         Named + ContactTime) >= 2 * LimitPerSecond);
    }
    for (const std::string &Id : R.Upstreams)
      System.Platform.setLimit(Id, "");
    const int Before = Served;
    CHECK(eventually([&] { return Served > Before + 200; }, MaxWaitSeconds));
    Sending = false;
    for (std::thread &T : Callers)
      T.join();
  }
}
