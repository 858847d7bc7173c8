// What a configuration costs that arrives again, from the store or from peers.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "daemon/store_watcher.h"
#include "testing/allocation_counter.h"

using namespace goldcrestlink;
using goldcrestlink::testing::allocationCount;

namespace {

constexpr int RouteCount = 4000;
// The text and a few strings. A decoded route takes several allocations.
constexpr uint64_t MaxAllocations = 100;

std::string configText(uint64_t Version, int Routes = RouteCount) {
  std::string Out = "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
  for (int I = 0; I < Routes; ++I)
    Out += std::string(I > 0 ? "," : "") +
           R"({"name":"a route that is long enough to be allocated )" +
           std::to_string(I) + R"(","host":"host-)" + std::to_string(I) +
           R"(.example","path_prefix":"/v1/","kind":"idempotent",)"
           R"("service":"plain","timeout_ms":3000,"goal_ms":500})";
  return Out + R"(],"services":[{"name":"plain"}]})";
}

// A watcher that receives updates of other processes only.
struct Receiver {
  void receive(const std::string &Text, uint64_t Claimed) {
    CatalogUpdate Update;
    Update.ConfigText = Text;
    Update.AsOf.Config = Claimed;
    Watcher.onCatalogUpdate(Update);
  }
  uint64_t version() const { return Watcher.catalog().revisions().Config; }

  boost::asio::io_context Io;
  int Unreadable = 0;
  StoreWatcher Watcher{Io,
                       {"127.0.0.1", 9},
                       std::chrono::seconds(2),
                       1,
                       [] {},
                       [this](const std::string &Line) {
                         if (Line.find("outcome=unreadable") !=
                             std::string::npos)
                           ++Unreadable;
                       }};
};

} // namespace

// Guards against a large configuration that is decoded once for each process
// that sends it.
TEST_CASE("a configuration that is known is not decoded again") {
  const std::string Text = configText(7);
  Receiver Process;
  const uint64_t Start = allocationCount();
  Process.receive(Text, 7);
  CHECK(allocationCount() - Start > RouteCount);
  REQUIRE(Process.version() == 7);
  const uint64_t Before = allocationCount();
  Process.receive(Text, 7);
  const uint64_t Again = allocationCount() - Before;
  CHECK(Again < MaxAllocations);
  CHECK(Process.version() == 7);
}

TEST_CASE("a configuration counts by its text, whatever version the sender "
          "claims") {
  struct Row {
    const char *Name;
    std::string Text;
    uint64_t Claimed;
    uint64_t Expected;
    int Unreadable;
  };
  const Row Rows[] = {
      {"newer, claimed as known", configText(8, 2), 7, 8, 0},
      {"newer, claimed as none", configText(8, 2), 0, 8, 0},
      {"newer, claimed as far newer", configText(8, 2), 1000000, 8, 0},
      {"older, claimed as newer", configText(6, 2), 9, 7, 0},
      {"the same version in other words, claimed as newer", configText(7, 3), 9,
       7, 0},
      {"none, claimed as newer", "", 9, 7, 0},
      {"unreadable, claimed as newer", "{\"version\":9", 9, 7, 1},
      {"unreadable, claimed as known", "{\"version\":7", 7, 7, 1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Receiver Process;
    Process.receive(configText(7, 2), 7);
    REQUIRE(Process.version() == 7);
    Process.receive(R.Text, R.Claimed);
    CHECK(Process.version() == R.Expected);
    CHECK(Process.Unreadable == R.Unreadable);
    // A wrong claim leaves nothing behind.
    Process.receive(configText(10, 2), 10);
    CHECK(Process.version() == 10);
  }
}
