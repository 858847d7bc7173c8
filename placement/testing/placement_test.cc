// Slots against a simple oracle, demand, permits and their fallback.
#include <doctest/doctest.h>

#include "base/random.h"
#include "placement/load_broker.h"
#include "placement/load_planner.h"
#include "placement/slot_table.h"

using namespace goldcrestlink;

namespace {
Time at(int64_t Ms) { return Time(Duration(Ms * 1000 + 1)); }
} // namespace

TEST_CASE("random loads and pins never replace a slot in use") {
  Random R(5);
  SlotTable T(4);
  DemandTable D{DemandTable::Options()};
  std::vector<uint32_t> Pins(4);
  for (int Step = 0; Step < 20000; ++Step) {
    const Time N = at(Step);
    const uint64_t Adapter = 1 + R.below(12);
    D.record(N, Adapter);
    const auto Found = T.find(Adapter);
    if (Found && T.ready(Adapter) && R.below(2)) {
      T.pin(*Found);
      ++Pins[*Found];
    } else if (!Found) {
      const size_t Reserve = R.below(3);
      const auto Victim = T.victim(N, D, Reserve);
      size_t Replaceable = 0;
      for (size_t I = 0; I < 4; ++I)
        Replaceable += Pins[I] == 0 && T.slots()[I].State != SlotState::Loading;
      CHECK(Victim.has_value() == (Replaceable > Reserve));
      if (Victim) {
        CHECK(Pins[*Victim] == 0);
        T.beginLoad(*Victim, "a", Adapter);
        T.finishLoad(*Victim, R.below(10) > 0);
      }
    }
    const size_t I = R.below(4);
    if (Pins[I] > 0) {
      T.unpin(I);
      --Pins[I];
    }
  }
}

TEST_CASE("the victim is the adapter of least demand, or the least recent") {
  for (const bool Recency : {false, true}) {
    DemandTable D(DemandTable::Options().setRecency(Recency));
    SlotTable T(2);
    for (int I = 0; I < 5; ++I)
      D.record(at(I), 1);
    D.record(at(10), 2);
    T.beginLoad(0, "hot", 1);
    T.finishLoad(0, true);
    T.beginLoad(1, "cold", 2);
    T.finishLoad(1, true);
    CHECK(*T.victim(at(20), D, 0) == (Recency ? 0 : 1));
  }
}

TEST_CASE("a demand table stays within its bound and forgets the least") {
  DemandTable D(DemandTable::Options().setMaxEntries(10));
  for (int I = 0; I < 50; ++I)
    D.record(at(I), 7);
  for (uint64_t A = 100; A < 200; ++A)
    D.record(at(60), A);
  CHECK(D.size() <= 10);
  CHECK(D.value(at(60), 7) > 40);
  CHECK(D.value(at(60 + 120000), 7) < 26);
}

TEST_CASE("permits keep to the rate, and go to the worthiest wish first") {
  LoadBroker B(LoadBroker::Options().setRate(10).setBurst(2), {0.5, 0.2});
  for (uint64_t I = 0; I < 8; ++I)
    B.request(at(0), {"side", I, 1, static_cast<double>(I), true, {}, {}});
  B.request(at(0), {"side", 99, 0, 1, true, {}, {}});
  const auto First = B.grant(at(0));
  REQUIRE(First.size() == 2);
  CHECK(First[0].Adapter == 99); // Rank 0 has none of its share yet.
  CHECK(First[1].Adapter == 7);
  CHECK(B.grant(at(50)).empty());
  CHECK(B.grant(at(101)).size() == 1);
  B.release(at(101), "side", 99, false); // Not used: its token comes back.
  CHECK(B.grant(at(101)).size() == 1);
}

TEST_CASE("a wish that is not renewed expires") {
  LoadBroker B(LoadBroker::Options().setRate(1).setBurst(1), {0.5});
  B.request(at(0), {"a", 1, 0, 1, true, {}, {}});
  CHECK(B.grant(at(0)).size() == 1);
  B.request(at(10), {"a", 2, 0, 1, true, {}, {}});
  CHECK(B.grant(at(5000)).empty());
  CHECK(B.waiting() == 0);
}

TEST_CASE("a silent broker is passed over, then the static share serves") {
  LoadPlanner P(LoadPlanner::Options().setStaticRate(2), {"first", "second"});
  const std::vector<LoadWant> Wants = {{1, "a@1", 0, 1, 1, true}};
  auto Asks = P.plan(at(0), Wants);
  REQUIRE(Asks.size() == 1);
  CHECK(Asks[0].Broker == "first");
  CHECK_FALSE(P.takeStatic(at(0)));
  Asks = P.plan(at(500), Wants);
  REQUIRE(Asks.size() == 1);
  CHECK(Asks[0].Broker == "second");
  CHECK(P.plan(at(1000), Wants).empty());
  CHECK(P.takeStatic(at(1000)));
  CHECK_FALSE(P.takeStatic(at(1010)));
  // Both are asked again after a pause.
  CHECK(P.plan(at(7000), Wants).size() == 1);
}

TEST_CASE("a permit for what nobody wants any more is not used") {
  LoadPlanner P(LoadPlanner::Options(), {"broker"});
  P.plan(at(0), std::vector<LoadWant>{{1, "a@1", 0, 1, 1, true}});
  P.plan(at(10), {});
  CHECK_FALSE(P.onAnswer(at(20), "broker", 1, true));
}
