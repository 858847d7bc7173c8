// A side's decisions for its engine, one case at a time, and a random run
// against a model engine that watches the limits.
#include <doctest/doctest.h>

#include <deque>

#include "admission/side_admission.h"
#include "base/random.h"

using namespace goldcrestlink;

namespace {

Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }

constexpr uint32_t Slots = 3;

EngineSpec engineSpec() {
  EngineSpec S;
  S.BatchSlots = 4;
  S.MemoryTokens = 10000;
  S.AdapterSlots = Slots;
  S.WeightsMb = 1000;
  ModelSpec M;
  M.Name = "m";
  M.LoadTime = std::chrono::milliseconds(900);
  S.Models = {M};
  return S;
}

EngineReport report(std::vector<HeldAdapter> Held, uint64_t Count = 0,
                    uint64_t Started = 1) {
  EngineReport R;
  R.Models = {{"m", 1, std::move(Held)}};
  R.OrderCount = Count;
  R.StartedMs = Started;
  return R;
}

AdmissionAsk ask(uint64_t Id, const std::string &Adapter, uint32_t Rank = 0) {
  AdmissionAsk A;
  A.Peer = "entry";
  A.Id = Id;
  A.Model = "m";
  A.Adapter = Adapter;
  A.Rank = Rank;
  A.PromptTokens = 100;
  A.OutputTokens = 50;
  A.Patience = std::chrono::milliseconds(900);
  A.TimeLeft = std::chrono::seconds(10);
  return A;
}

struct Recorder : SidePort {
  void reply(const AdmissionAsk &To, const AdmissionReply &R) override {
    Replies[To.Id] = R.What;
    Versions[To.Id] = R.Version;
    Reasons[To.Id] = std::string(R.Reason);
  }
  void order(const EngineOrder &O) override { Orders.push_back(O); }
  void log(LineClass, std::string) override {}

  std::map<uint64_t, Verdict> Replies;
  std::map<uint64_t, uint64_t> Versions;
  std::map<uint64_t, std::string> Reasons;
  std::vector<EngineOrder> Orders;
};

struct Side {
  explicit Side(std::vector<HeldAdapter> Held)
      : Machine(SideAdmission::Options(), Port) {
    Machine.onConfig(at(0), engineSpec());
    Machine.onReport(at(0), report(std::move(Held)));
  }
  const EngineOrder &lastOrder() { return Port.Orders.back(); }

  Recorder Port;
  SideAdmission Machine;
};

} // namespace

TEST_CASE("what is held goes at once, what is not is loaded first") {
  Side S({{"a", 1}});
  S.Machine.onAsk(at(1), ask(1, "a"));
  CHECK(S.Port.Replies[1] == Verdict::Go);
  CHECK(S.Port.Versions[1] == 1);
  S.Machine.onAsk(at(2), ask(2, "b"));
  CHECK(S.Port.Replies[2] == Verdict::Wait);
  REQUIRE(S.Port.Orders.size() == 1);
  CHECK(S.lastOrder().Adapter == "b");
  S.Machine.onOrderOutcome(at(3), S.lastOrder().Number, OrderOutcome::Accepted);
  S.Machine.onReport(at(300), report({{"a", 1}, {"b", 1}}, 1));
  CHECK(S.Port.Replies[2] == Verdict::Go);
}

TEST_CASE("an adapter in use is never evicted") {
  Side S({{"a", 1}, {"b", 1}, {"c", 1}});
  for (uint64_t Id = 1; const char *Name : {"a", "b", "c"})
    S.Machine.onAsk(at(static_cast<int64_t>(Id)), ask(Id, Name)), ++Id;
  S.Machine.onAsk(at(5), ask(9, "d"));
  CHECK(S.Port.Orders.empty());
  S.Machine.onEnd(at(6), "entry", 2, Duration(0));
  REQUIRE(S.Port.Orders.size() == 1);
  CHECK(S.lastOrder().Kind == OrderKind::Unload);
  CHECK(S.lastOrder().Adapter == "b");
  S.Machine.onOrderOutcome(at(7), S.lastOrder().Number, OrderOutcome::Holds);
  REQUIRE(S.Port.Orders.size() == 2);
  CHECK(S.lastOrder().Kind == OrderKind::Load);
  CHECK(S.lastOrder().Adapter == "d");
  CHECK(S.lastOrder().ExpectedCount == 1);
}

TEST_CASE("an unanswered order keeps its place until the count has moved") {
  Side S({});
  S.Machine.onAsk(at(1), ask(1, "a"));
  S.Machine.onAsk(at(1), ask(2, "b"));
  REQUIRE(S.Port.Orders.size() == 1);
  S.Machine.onOrderOutcome(at(2), S.lastOrder().Number, OrderOutcome::Unknown);
  S.Machine.onTimer(at(100));
  CHECK(S.Port.Orders.size() == 1);
  // The same order with the same count: only one of the two can be accepted.
  S.Machine.onTimer(at(600));
  REQUIRE(S.Port.Orders.size() == 2);
  CHECK(S.Port.Orders[1].Adapter == S.Port.Orders[0].Adapter);
  CHECK(S.Port.Orders[1].ExpectedCount == S.Port.Orders[0].ExpectedCount);
  // The first one was carried out late after all.
  EngineReport R = report({}, 1);
  R.Incoming = {{"m", {"a", 1}}};
  S.Machine.onReport(at(650), R);
  REQUIRE(S.Port.Orders.size() == 3);
  CHECK(S.lastOrder().Adapter == "b");
  CHECK(S.lastOrder().ExpectedCount == 1);
}

TEST_CASE("a report that an order has overtaken is passed over") {
  Side S({});
  S.Machine.onAsk(at(1), ask(1, "a"));
  S.Machine.onOrderOutcome(at(2), S.lastOrder().Number, OrderOutcome::Accepted);
  S.Machine.onReport(at(3), report({}, 0));
  S.Machine.onAsk(at(4), ask(2, "b"));
  REQUIRE(S.Port.Orders.size() == 2);
  CHECK(S.lastOrder().Adapter == "b");
  CHECK(S.lastOrder().ExpectedCount == 1);
}

TEST_CASE("an engine that starts again gets its base model at once") {
  Side S({{"a", 1}});
  S.Machine.onAsk(at(1), ask(1, "a"));
  EngineReport Empty;
  Empty.StartedMs = 2;
  S.Machine.onReport(at(100), Empty);
  REQUIRE(S.Port.Orders.size() == 1);
  CHECK(S.lastOrder().Adapter.empty());
  CHECK(S.lastOrder().Model == "m");
  CHECK(S.Machine.granted() == 0);
  CHECK_FALSE(S.Machine.load(at(101)).Serving);
  // It keeps failing: no second load within the pause.
  S.Machine.onOrderOutcome(at(101), S.lastOrder().Number,
                           OrderOutcome::Refused);
  S.Machine.onReport(at(120), Empty);
  S.Machine.onTimer(at(1000));
  CHECK(S.Port.Orders.size() == 1);
  S.Machine.onTimer(at(2200));
  CHECK(S.Port.Orders.size() == 2);
}

TEST_CASE("an announced version is served within three seconds") {
  Side S({{"a", 1}});
  S.Machine.onAsk(at(0), ask(1, "a"));
  S.Machine.onRelease(at(10), {"m", "a", 2});
  // The running request is not disturbed: no order while it lasts.
  S.Machine.onTimer(at(1900));
  CHECK(S.Port.Orders.empty());
  S.Machine.onAsk(at(1900), ask(2, "a"));
  CHECK(S.Port.Replies[2] == Verdict::Refuse);
  CHECK(S.Port.Reasons[2] == "replacing");
  CHECK(S.Machine.load(at(1900)).Held.empty());
  S.Machine.onEnd(at(2000), "entry", 1, Duration(0));
  REQUIRE(S.Port.Orders.size() == 1);
  CHECK(S.lastOrder().Kind == OrderKind::Unload);
  S.Machine.onOrderOutcome(at(2001), S.lastOrder().Number, OrderOutcome::Holds);
  S.Machine.onAsk(at(2002), ask(3, "a"));
  CHECK(S.lastOrder().Kind == OrderKind::Load);
  S.Machine.onOrderOutcome(at(2003), S.lastOrder().Number,
                           OrderOutcome::Accepted);
  S.Machine.onReport(at(2300), report({{"a", 2}}, 2));
  CHECK(S.Port.Replies[3] == Verdict::Go);
  CHECK(S.Port.Versions[3] == 2);
}

TEST_CASE("urgent work goes first when room comes up") {
  Side S({{"a", 1}});
  for (uint64_t Id = 1; Id <= 4; ++Id)
    S.Machine.onAsk(at(0), ask(Id, "a"));
  S.Machine.onAsk(at(1), ask(5, "a", 2));
  S.Machine.onAsk(at(2), ask(6, "a", 0));
  CHECK(S.Port.Replies[5] == Verdict::Wait);
  CHECK(S.Port.Replies[6] == Verdict::Wait);
  S.Machine.onEnd(at(3), "entry", 1, Duration(0));
  CHECK(S.Port.Replies[6] == Verdict::Go);
  CHECK(S.Port.Replies[5] == Verdict::Wait);
}

TEST_CASE("what cannot be served in time is refused at once") {
  Side S({{"a", 1}});
  AdmissionAsk A = ask(1, "b");
  A.Patience = std::chrono::milliseconds(100);
  S.Machine.onAsk(at(0), A);
  CHECK(S.Port.Replies[1] == Verdict::Refuse);
  S.Machine.onEngineSilent(at(1));
  S.Machine.onAsk(at(2), ask(2, "a"));
  CHECK(S.Port.Replies[2] == Verdict::Refuse);
}

namespace {

// An engine that carries out orders as the platform says, some without an
// answer and some seconds later, and fails the test when a limit is broken.
class ModelEngine {
public:
  explicit ModelEngine(uint64_t Seed) : Rand(Seed) {}

  struct Late {
    EngineOrder Order;
    int64_t Due;
  };

  OrderOutcome onOrder(const EngineOrder &O, int64_t Ms) {
    if (Rand.below(4) == 0) {
      // Not answered; carried out at once, later or never.
      const int64_t Delay = static_cast<int64_t>(Rand.below(3) * 1500);
      Delayed.push_back({O, Ms + Delay});
      return OrderOutcome::Unknown;
    }
    return carryOut(O, Ms);
  }

  void advance(int64_t Ms) {
    for (auto It = Delayed.begin(); It != Delayed.end();) {
      if (It->Due > Ms) {
        ++It;
        continue;
      }
      carryOut(It->Order, Ms);
      It = Delayed.erase(It);
    }
    for (auto It = Coming.begin(); It != Coming.end();) {
      if (It->second > Ms) {
        ++It;
        continue;
      }
      Held.insert(It->first);
      It = Coming.erase(It);
    }
  }

  EngineReport reportNow() const {
    std::vector<HeldAdapter> List;
    for (const std::string &Name : Held)
      List.push_back({Name, 1});
    EngineReport R = report(List, Count);
    for (const auto &[Name, Due] : Coming)
      R.Incoming.push_back({"m", {Name, 1}});
    R.Running = static_cast<uint32_t>(InUse.size());
    return R;
  }

  std::multiset<std::string> InUse;
  std::set<std::string> Held;

private:
  OrderOutcome carryOut(const EngineOrder &O, int64_t Ms) {
    if (O.ExpectedCount != Count)
      return OrderOutcome::Conflict;
    if (O.Kind == OrderKind::Unload) {
      CHECK_MESSAGE(!InUse.contains(O.Adapter), "an adapter in use evicted");
      Held.erase(O.Adapter);
      ++Count;
      return OrderOutcome::Holds;
    }
    if (Held.contains(O.Adapter) || Coming.contains(O.Adapter))
      return OrderOutcome::Holds;
    Coming[O.Adapter] = Ms + 250;
    ++Count;
    CHECK_MESSAGE(Held.size() + Coming.size() <= Slots, "too many adapters");
    CHECK_MESSAGE(Coming.size() <= 4, "too many in transit");
    return OrderOutcome::Accepted;
  }

  Random Rand;
  uint64_t Count = 0;
  std::map<std::string, int64_t> Coming;
  std::vector<Late> Delayed;
};

} // namespace

TEST_CASE("no limit breaks, and everything asked ends, under lost and late "
          "orders") {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    Recorder Port;
    SideAdmission Machine(SideAdmission::Options(), Port);
    ModelEngine Engine(Seed);
    Random Rand(Seed * 7919);
    Machine.onConfig(at(0), engineSpec());
    Machine.onReport(at(0), Engine.reportNow());
    std::map<uint64_t, std::string> Granted;
    std::map<uint64_t, std::string> Asked;
    size_t Done = 0;
    uint64_t NextId = 1;
    size_t OrdersSeen = 0;
    for (int64_t Ms = 10; Ms < 30000; Ms += 10) {
      Engine.advance(Ms);
      if (Ms < 20000 && Rand.below(4) == 0) {
        const std::string Name = "a" + std::to_string(Rand.below(8));
        Asked[NextId] = Name;
        Machine.onAsk(at(Ms), ask(NextId, Name));
        ++NextId;
      }
      for (auto It = Asked.begin(); It != Asked.end();) {
        const Verdict V = Port.Replies[It->first];
        if (V == Verdict::Wait) {
          ++It;
          continue;
        }
        if (V == Verdict::Go) {
          CHECK_MESSAGE(Engine.Held.contains(It->second),
                        "sent to an engine that does not hold its adapter");
          Engine.InUse.insert(It->second);
          Granted[It->first] = It->second;
        }
        It = Asked.erase(It);
      }
      for (auto It = Granted.begin(); It != Granted.end();) {
        if (Rand.below(30) != 0) {
          ++It;
          continue;
        }
        Engine.InUse.erase(Engine.InUse.find(It->second));
        Machine.onEnd(at(Ms), "entry", It->first, Duration(0));
        It = Granted.erase(It);
        ++Done;
      }
      while (OrdersSeen < Port.Orders.size()) {
        const EngineOrder O = Port.Orders[OrdersSeen++];
        Machine.onOrderOutcome(at(Ms), O.Number, Engine.onOrder(O, Ms));
      }
      if (at(Ms) >= Machine.reportDue(at(Ms)))
        Machine.onReport(at(Ms), Engine.reportNow());
      Machine.onTimer(at(Ms));
    }
    CHECK(Asked.empty());
    CHECK(Machine.waiting() == 0);
    CHECK(Done > 50);
  }
}
