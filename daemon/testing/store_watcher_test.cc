// What an entry takes for the age of a version that it reads from the store.
#include <doctest/doctest.h>

#include <memory>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "daemon/store_watcher.h"
#include "testing/platform_standin.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

constexpr auto DrainTime = std::chrono::seconds(2);
// A watch that was sent before the store became unreachable has ended by then.
constexpr auto MaxWatchTime = std::chrono::seconds(5);
constexpr auto MaxWait = std::chrono::seconds(20);

// A watcher of the stand-in's store on the thread of the test.
struct Watched {
  explicit Watched(PlatformStandIn &Platform)
      : Watcher(
            Io, Platform.store(), DrainTime, 1, [] {},
            [](const std::string &) {}) {}

  template <class Condition> bool runUntil(Condition Holds) {
    const Time End = currentTime().Steady + MaxWait;
    while (!Holds() && currentTime().Steady < End)
      Io.run_for(std::chrono::milliseconds(5));
    return Holds();
  }
  void runFor(Duration Length) { Io.run_for(Length); }
  std::vector<AnnouncedVersion> versions() const {
    return Watcher.catalog().announced(currentTime().Steady, "m", "a1");
  }

  boost::asio::io_context Io;
  StoreWatcher Watcher;
};

} // namespace

// Guards against an entry that notices late that the store is back, and keeps
// upstreams for a grace period from then.
TEST_CASE("an upstream that is removed after the return of the store gets no "
          "requests after the drain time") {
  struct Row {
    const char *Name;
    StoreFault Fault;
    Duration Outage;
  };
  using std::chrono::milliseconds;
  const Row Rows[] = {
      {"down", StoreFault::Unavailable, milliseconds(4500)},
      {"silent for as long as a watch", StoreFault::Silent, milliseconds(1000)},
      {"silent for several watches", StoreFault::Silent, milliseconds(4500)},
  };
  // From the end of a disruption of the store until bounds hold again.
  constexpr auto StableAfter = std::chrono::milliseconds(3100);
  // An entry that notices the return later may still keep an upstream that is
  // removed then at the end of the drain time.
  const Duration MaxNotice =
      StableAfter + DrainTime - Catalog::Options().absenceGrace();
  // Each is in another moment of its watch when the store becomes silent.
  constexpr uint64_t Watchers = 24;
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PlatformStandIn Platform;
    Platform.putConfig(1);
    Platform.putUpstream("p", "plain", {"127.0.0.1", 9});
    boost::asio::io_context Io;
    std::vector<std::unique_ptr<StoreWatcher>> All;
    // Those that know of the upstreams' changes since the store's return.
    std::set<uint64_t> Heard;
    for (uint64_t Seed = 1; Seed <= Watchers; ++Seed) {
      All.push_back(std::make_unique<StoreWatcher>(
          Io, Platform.store(), DrainTime, Seed, [] {},
          [](const std::string &) {}));
      All.back()->onCurrent([&, Seed](Time) { Heard.insert(Seed); });
      All.back()->start();
      Io.run_for(milliseconds(47));
    }
    Platform.setStoreFault(R.Fault);
    Io.run_for(R.Outage);
    Platform.setStoreFault(StoreFault::None);
    Heard.clear();
    Io.run_for(MaxNotice);
    CHECK(Heard.size() == Watchers);
    Io.run_for(StableAfter - MaxNotice);
    Platform.putUpstreamText("p", "");
    Io.run_for(DrainTime);
    for (const auto &Watcher : All)
      CHECK(Watcher->catalog().upstreams().empty());
  }
}

// Guards against a version that counts as new because the process has just
// started, or could not reach the store when it was announced.
TEST_CASE("a version counts as just announced only if the store was watched "
          "when it was announced") {
  enum class When { BeforeStart, Watched, StoreDown, StoreSilent };
  struct Row {
    const char *Name;
    When Announced;
    bool IsNew;
  };
  const Row Rows[] = {
      {"before the start", When::BeforeStart, false},
      {"while the store was watched", When::Watched, true},
      {"while the store was down", When::StoreDown, false},
      {"while the store was silent", When::StoreSilent, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PlatformStandIn Platform;
    Platform.putConfig(1);
    Platform.release("a1", 2);
    Watched Process(Platform);
    Process.Watcher.start();
    REQUIRE(Process.runUntil([&] { return !Process.versions().empty(); }));
    if (R.Announced != When::BeforeStart) {
      Process.runFor(std::chrono::milliseconds(300));
      if (R.Announced != When::Watched)
        Platform.setStoreFault(R.Announced == When::StoreDown
                                   ? StoreFault::Unavailable
                                   : StoreFault::Silent);
      if (R.Announced != When::Watched)
        Process.runFor(MaxWatchTime);
      Platform.release("a1", 3);
      Process.runFor(std::chrono::milliseconds(300));
      Platform.setStoreFault(StoreFault::None);
      REQUIRE(Process.runUntil(
          [&] { return Process.versions().back().Version == 3; }));
    }
    const Duration Age = Process.versions().back().Age;
    CHECK((Age < std::chrono::seconds(2)) == R.IsNew);
    CHECK((Age >= WeightRelease::LongAgo) == !R.IsNew);
    // It is new again for the next one.
    Process.runFor(std::chrono::milliseconds(300));
    Platform.release("a1", 4);
    REQUIRE(Process.runUntil(
        [&] { return Process.versions().back().Version == 4; }));
    CHECK(Process.versions().back().Age < std::chrono::seconds(2));
  }
}
