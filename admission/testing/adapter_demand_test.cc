// Unit tests of AdapterDemand: what counts as demand for further copies of an
// adapter.
#include <doctest/doctest.h>

#include "admission/adapter_demand.h"
#include "base/random.h"

using namespace goldcrestlink;

namespace {
Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }

constexpr double PrefillRate = 20;
} // namespace

TEST_CASE(
    "demand follows a rise within a second, and a few requests are none") {
  struct Row {
    const char *Name;
    int64_t GapMs;
    int64_t UntilMs;
    uint32_t Prompt;
    int64_t AskedAtMs;
    // Percent of the engine's prefill time.
    double AtLeast;
    double AtMost;
  };
  const Row Rows[] = {
      {"one request", 1000, 1, 640, 1, 0, 1},
      {"one large prompt", 1000, 1, 9190, 1, 0, 2},
      {"five at once", 1, 5, 640, 5, 0, 4},
      {"steady, 15 a second", 66, 20000, 640, 20000, 40, 55},
      {"100 a second for 700 ms", 10, 700, 640, 700, 150, 330},
      {"the same, three seconds later", 10, 700, 640, 3700, 0, 40},
      {"the same, a minute later", 10, 700, 640, 60700, 0, 0.1},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    AdapterDemand Demand;
    for (int64_t Ms = 0; Ms < R.UntilMs; Ms += R.GapMs)
      Demand.onRequest(at(Ms), 7, R.Prompt);
    const double Percent =
        Demand.tokensPerSecond(at(R.AskedAtMs), 7) / (PrefillRate * 1000) * 100;
    CHECK(Percent >= R.AtLeast);
    CHECK(Percent <= R.AtMost);
  }
}

TEST_CASE("shares are in steps and in order, and a clear rise is told from "
          "fluctuation") {
  AdapterDemand Demand;
  for (int64_t Ms = 0; Ms < 5000; Ms += 50) {
    Demand.onRequest(at(Ms), 9, 640);
    Demand.onRequest(at(Ms), 3, 1280);
    if (Ms % 1000 == 0)
      Demand.onRequest(at(Ms), 5, 640);
  }
  const std::vector<AdapterShare> Shares = Demand.shares(at(5000), PrefillRate);
  REQUIRE(Shares.size() == 2);
  CHECK(Shares[0].Adapter == 3);
  CHECK(Shares[1].Adapter == 9);
  for (const AdapterShare &S : Shares)
    CHECK(S.Percent % AdapterDemand::StepPercent == 0);
  CHECK(Shares[0].Percent > Shares[1].Percent);

  CHECK_FALSE(risesClearly(Shares, Shares));
  CHECK_FALSE(risesClearly(Shares, {}));
  CHECK(risesClearly({}, {{3, 25}}));
  CHECK_FALSE(risesClearly({}, {{3, 20}}));
  CHECK_FALSE(risesClearly({{3, 20}}, {{3, 40}}));
  CHECK(risesClearly({{1, 50}, {3, 20}}, {{3, 45}}));
}

TEST_CASE("the memory for demand is bounded, and adapters in use keep theirs") {
  AdapterDemand Demand;
  for (uint32_t I = 0; I < 20000; ++I) {
    Demand.onRequest(at(I), 1000000, 1500);
    Demand.onRequest(at(I), I, 640);
  }
  CHECK(Demand.tokensPerSecond(at(20000), 1000000) > 1000);
  CHECK(Demand.tokensPerSecond(at(20000), 2) == 0);
  CHECK(Demand.size() <= AdapterDemand::MaxAdapters);
  // Those that nobody has asked for lately are forgotten.
  Demand.onRequest(at(60000), 1, 640);
  CHECK(Demand.size() == 1);
}

TEST_CASE("a share has an upper bound") {
  AdapterDemand Demand;
  for (int I = 0; I < 5000; ++I)
    Demand.onRequest(at(0), 1, 1500);
  REQUIRE(Demand.shares(at(0), PrefillRate).size() == 1);
  CHECK(Demand.shares(at(0), PrefillRate)[0].Percent ==
        AdapterDemand::MaxPercent);
}
