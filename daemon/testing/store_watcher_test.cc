// What an entry takes for the age of a version that it reads from the store.
#include <doctest/doctest.h>

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
