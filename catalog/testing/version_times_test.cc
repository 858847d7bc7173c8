// Each version counts from its own time, in whatever order they become known.
#include <doctest/doctest.h>

#include "catalog/version_times.h"

using namespace goldcrestlink;

namespace {

Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }

struct Version {
  uint64_t Number;
  int64_t FromMs;
};

} // namespace

TEST_CASE("each version counts from its own time, whatever is added after it") {
  struct Row {
    const char *Name;
    std::vector<Version> Added;
    // The version that counts at 0, 1,000 and 2,000 ms, and the newest.
    std::vector<uint64_t> Expected;
  };
  const Row Rows[] = {
      {"none", {}, {0, 0, 0, 0}},
      {"one", {{2, 1000}}, {0, 2, 2, 2}},
      {"two, in their order", {{2, 500}, {3, 1500}}, {0, 2, 3, 3}},
      {"two, the newer one first", {{3, 1500}, {2, 500}}, {0, 2, 3, 3}},
      {"the newer one counts sooner", {{2, 1500}, {3, 500}}, {0, 3, 3, 3}},
      {"the newer one is known to count sooner",
       {{3, 500}, {2, 1500}},
       {0, 3, 3, 3}},
      {"both at once", {{2, 500}, {3, 500}}, {0, 3, 3, 3}},
      {"sooner than thought", {{2, 1500}, {2, 500}}, {0, 2, 2, 2}},
      {"later than thought", {{2, 500}, {2, 1500}}, {0, 2, 2, 2}},
      {"sooner than thought, and than an older one",
       {{2, 500}, {3, 1500}, {3, 400}},
       {0, 3, 3, 3}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    VersionTimes Times;
    for (const Version &V : R.Added)
      Times.add(at(0), V.Number, at(V.FromMs));
    CHECK(Times.at(at(0)) == R.Expected[0]);
    CHECK(Times.at(at(1000)) == R.Expected[1]);
    CHECK(Times.at(at(2000)) == R.Expected[2]);
    CHECK(Times.newest() == R.Expected[3]);
  }
}

TEST_CASE("versions that come without end take a bounded amount of memory and "
          "none counts later than alone") {
  struct Row {
    const char *Name;
    int64_t IntervalMs;
  };
  for (const Row &R : {Row{"slowly", 5000}, Row{"quickly", 10}}) {
    CAPTURE(R.Name);
    VersionTimes Times;
    for (uint64_t V = 1; V <= 100; ++V) {
      const int64_t Announced = static_cast<int64_t>(V) * R.IntervalMs;
      Times.add(at(Announced), V, at(Announced + 1000));
      CHECK(Times.steps().size() <= VersionTimes::MaxSteps);
      CHECK(Times.newest() == V);
      for (const VersionTimes::Step &S : Times.steps())
        CHECK(S.From <=
              at(static_cast<int64_t>(S.Version) * R.IntervalMs + 1000));
    }
    CHECK(Times.at(at(100 * R.IntervalMs + 1000)) == 100);
    CHECK(Times.at(at(100 * R.IntervalMs + 999)) < 100);
  }
}
