// Stateful fuzzing: the entry and side machines under every kind of fault,
// alone, in pairs and all together, against the oracle in world.cc. Each
// protection is also switched off once, to see that the fuzzer notices.
#include <cstdlib>

#include <doctest/doctest.h>

#include "testing/world.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

struct FaultRow {
  const char *Name;
  unsigned Faults;
  uint64_t Seeds;
};

const FaultRow FaultRows[] = {
    {"none", NoFaults, 3},
    {"delays", Delays, 4},
    {"duplicates", Duplicates, 4},
    {"silent connections", SilentConnections, 6},
    {"engine crashes", EngineCrashes, 6},
    {"side pauses", SidePauses, 6},
    {"side restarts", SideRestarts, 6},
    {"platform outages", PlatformOutages, 4},
    {"lost answers", LostAnswers, 4},
    {"failing loads", FailingLoads, 4},
    {"poison", PoisonRequests, 6},
    {"silent engines", SilentEngines, 6},
    {"pauses and outages", SidePauses | PlatformOutages, 8},
    {"restarts and lost answers", SideRestarts | LostAnswers, 8},
    {"silence and crashes", SilentConnections | EngineCrashes, 8},
    {"delays, duplicates, silence", Delays | Duplicates | SilentConnections, 8},
    {"crossed answers", CrossedAnswers, 6},
    {"lost side messages", LostSideMessages, 6},
    {"lost side messages and crashes",
     LostSideMessages | EngineCrashes | FailingLoads, 6},
    {"all", AllFaults, 30},
};

// More seeds from the environment for longer runs outside CI.
uint64_t seedFactor() {
  const char *Text = std::getenv("GOLDCRESTLINK_FUZZ_FACTOR");
  return Text ? std::strtoull(Text, nullptr, 10) : 1;
}

uint64_t firstSeed() {
  const char *Text = std::getenv("GOLDCRESTLINK_FUZZ_SEED");
  return Text ? std::strtoull(Text, nullptr, 10) : 1;
}

} // namespace

TEST_CASE("every promise holds under faults") {
  for (const FaultRow &Row : FaultRows) {
    size_t Ended = 0;
    size_t Answered = 0;
    size_t Orders = 0;
    for (uint64_t I = 0; I < Row.Seeds * seedFactor(); ++I) {
      WorldOptions O;
      O.Seed = firstSeed() + I;
      O.Faults = Row.Faults;
      World W(O);
      W.run();
      for (const std::string &V : W.violations())
        FAIL_CHECK(std::string(Row.Name) << ": " << V);
      Ended += W.requestsEnded();
      Answered += W.requestsAnswered() + W.ordersAnswered();
      Orders += W.ordersRun();
    }
    MESSAGE(std::string(Row.Name) << ": ended " << Ended << " answered "
                                  << Answered << " orders run " << Orders);
    CHECK(Orders > 0);
    // Nothing fails without a cause.
    if (Row.Faults == NoFaults)
      CHECK(Answered == Ended);
  }
}

TEST_CASE("a poisonous request takes down a bounded number of engines") {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    WorldOptions O;
    O.Seed = Seed;
    O.Faults = PoisonRequests;
    World W(O);
    W.run();
    CHECK(W.poisonCrashes() <= 2);
  }
}

namespace {

// One protection switched off, and the faults that should then show.
struct MutationRow {
  const char *Name;
  unsigned Faults;
  void (*Side)(side::SideMachine::Options &);
  void (*Entry)(entry::EntryMachine::Options &);
  /// Part of the violation that must appear.
  const char *Expected;
};

using side::SideMutation;

const MutationRow MutationRows[] = {
    {"older keys accepted", SideRestarts, SideMutation::dropBarrier, nullptr,
     "ran 2 times"},
    {"slots not pinned", NoFaults, SideMutation::dropPins, nullptr,
     "replaced while it serves"},
    {"answers not checked", CrossedAnswers, SideMutation::dropAnswerCheck,
     nullptr, "got another's answer"},
    {"open attempts forgotten", SilentConnections | SidePauses, nullptr,
     entry::EntryMutation::forgetOpenAttempts, "not to have run but ran"},
};

bool showsViolation(const MutationRow &Row, uint64_t Seed) {
  WorldOptions O;
  O.Seed = Seed;
  O.Faults = Row.Faults;
  if (Row.Side)
    Row.Side(O.Side);
  if (Row.Entry)
    Row.Entry(O.Entry);
  World W(O);
  W.run();
  for (const std::string &V : W.violations())
    if (V.find(Row.Expected) != std::string::npos)
      return true;
  return false;
}

} // namespace

TEST_CASE("without a protection the fuzzer finds the broken promise") {
  constexpr uint64_t MostSeeds = 200;
  for (const MutationRow &Row : MutationRows) {
    uint64_t Seed = 1;
    while (Seed <= MostSeeds && !showsViolation(Row, Seed))
      ++Seed;
    MESSAGE(std::string(Row.Name) << ": found with seed " << Seed);
    CHECK(Seed <= MostSeeds);
  }
}

TEST_CASE("without isolation a poisonous request takes down more engines") {
  WorldOptions O;
  O.Faults = PoisonRequests;
  SideMutation::dropIsolation(O.Side);
  World W(O);
  W.run();
  CHECK(W.poisonCrashes() > 2);
}

TEST_CASE("without recovery from silence, more requests go unanswered") {
  size_t Answered[2] = {};
  for (const bool Protected : {true, false})
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      WorldOptions O;
      O.Seed = Seed;
      O.Faults = SilentConnections;
      if (!Protected)
        entry::EntryMutation::ignoreSilence(O.Entry);
      World W(O);
      W.run();
      CHECK(W.violations().empty());
      Answered[Protected ? 1 : 0] += W.requestsAnswered() + W.ordersAnswered();
    }
  MESSAGE("answered " << Answered[1] << ", without recovery " << Answered[0]);
  CHECK(Answered[1] > Answered[0] + 100);
}
