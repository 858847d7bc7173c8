// Unit tests of the demand table, the load broker and the load planner, and a
// randomised test of the slot table against an independent count of the pins.
#include <doctest/doctest.h>

#include "base/random.h"
#include "placement/load_broker.h"
#include "placement/load_planner.h"
#include "placement/slot_table.h"

using namespace goldcrestlink;

namespace {
Time at(int64_t Ms) { return Time(Duration(Ms * 1000 + 1)); }
} // namespace

TEST_CASE("a slot in use is never replaced, under random loads and pins") {
  Random R(5);
  SlotTable T(4);
  DemandTable D{DemandTable::Options()};
  std::vector<uint32_t> Pins(4);
  for (int Step = 0; Step < 20000; ++Step) {
    const Time Now = at(Step);
    const uint64_t Adapter = 1 + R.below(12);
    D.record(Now, Adapter);
    const auto Found = T.find(Adapter);
    if (Found && T.ready(Adapter) && R.below(2)) {
      T.pin(*Found);
      ++Pins[*Found];
    } else if (!Found) {
      const size_t Reserve = R.below(3);
      const auto Victim = T.victim(Now, D, Reserve);
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

TEST_CASE("a full demand table drops the entries of least demand") {
  DemandTable D(DemandTable::Options().setMaxEntries(10));
  for (int I = 0; I < 50; ++I)
    D.record(at(I), 7);
  for (uint64_t A = 100; A < 200; ++A)
    D.record(at(60), A);
  CHECK(D.size() <= 10);
  CHECK(D.value(at(60), 7) > 40);
  CHECK(D.value(at(60 + 120000), 7) < 26);
}

TEST_CASE("permits are granted at the configured rate, by highest priority") {
  LoadBroker B(LoadBroker::Options().setRate(10).setBurst(2), {0.5, 0.2});
  for (uint64_t I = 0; I < 8; ++I)
    B.request(at(0), {"side", I, 1, static_cast<double>(I), true, {}, {}});
  B.request(at(0), {"side", 99, 0, 1, true, {}, {}});
  const auto First = B.grant(at(0));
  REQUIRE(First.size() == 2);
  CHECK(First[0].Adapter == 99); // Rank 0 has not received its share yet.
  CHECK(First[1].Adapter == 7);
  CHECK(B.grant(at(50)).empty());
  CHECK(B.grant(at(101)).size() == 1);
  B.release(at(101), "side", 99, false); // Not used: its token is returned.
  CHECK(B.grant(at(101)).size() == 1);
}

TEST_CASE("a load request that is not renewed expires") {
  LoadBroker B(LoadBroker::Options().setRate(1).setBurst(1), {0.5});
  B.request(at(0), {"a", 1, 0, 1, true, {}, {}});
  CHECK(B.grant(at(0)).size() == 1);
  B.request(at(10), {"a", 2, 0, 1, true, {}, {}});
  CHECK(B.grant(at(5000)).empty());
  CHECK(B.waiting() == 0);
}

TEST_CASE("silent brokers are skipped; without any, the static share is used") {
  LoadPlanner P(LoadPlanner::Options().setStaticRate(2), {"first", "second"});
  const std::vector<NeededLoad> Needed = {{1, "a@1", 0, 1, 1, true}};
  auto Requests = P.plan(at(0), Needed);
  REQUIRE(Requests.size() == 1);
  CHECK(Requests[0].Broker == "first");
  CHECK_FALSE(P.takeFromStaticShare(at(0)));
  Requests = P.plan(at(500), Needed);
  REQUIRE(Requests.size() == 1);
  CHECK(Requests[0].Broker == "second");
  CHECK(P.plan(at(1000), Needed).empty());
  CHECK(P.takeFromStaticShare(at(1000)));
  CHECK_FALSE(P.takeFromStaticShare(at(1010)));
  // Requests are sent again after the backoff.
  CHECK(P.plan(at(7000), Needed).size() == 1);
}

TEST_CASE("a permit for an adapter that is not needed any more is not used") {
  LoadPlanner P(LoadPlanner::Options(), {"broker"});
  P.plan(at(0), std::vector<NeededLoad>{{1, "a@1", 0, 1, 1, true}});
  P.plan(at(10), {});
  CHECK_FALSE(P.onAnswer(at(20), "broker", 1, true));
}
