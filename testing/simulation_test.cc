// Stateful fuzzing of the entry and side state machines: every kind of fault
// alone, selected combinations, and all together, checked by the oracle of the
// simulation. Each protection is also disabled once, to verify that the
// simulation detects the resulting violation.
#include <cstdlib>

#include <doctest/doctest.h>

#include "testing/simulation.h"

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
    {"silent connections and crashes", SilentConnections | EngineCrashes, 8},
    {"delays, duplicates, silent connections",
     Delays | Duplicates | SilentConnections, 8},
    {"swapped answers", SwappedAnswers, 6},
    {"lost side messages", LostSideMessages, 6},
    {"lost side messages and crashes",
     LostSideMessages | EngineCrashes | FailingLoads, 6},
    {"all", AllFaults, 30},
};

// Multiplies the number of seeds, for longer runs outside CI.
uint64_t seedFactor() {
  const char *Text = std::getenv("GOLDCRESTLINK_FUZZ_FACTOR");
  return Text ? std::strtoull(Text, nullptr, 10) : 1;
}

uint64_t firstSeed() {
  const char *Text = std::getenv("GOLDCRESTLINK_FUZZ_SEED");
  return Text ? std::strtoull(Text, nullptr, 10) : 1;
}

} // namespace

TEST_CASE("all guarantees hold under faults") {
  for (const FaultRow &Row : FaultRows) {
    size_t Ended = 0;
    size_t Answered = 0;
    size_t Orders = 0;
    for (uint64_t I = 0; I < Row.Seeds * seedFactor(); ++I) {
      SimulationOptions Options;
      Options.Seed = firstSeed() + I;
      Options.Faults = Row.Faults;
      Simulation Sim(Options);
      Sim.run();
      for (const std::string &Violation : Sim.violations())
        FAIL_CHECK(std::string(Row.Name) << ": " << Violation);
      Ended += Sim.requestsEnded();
      Answered += Sim.requestsAnswered() + Sim.ordersAnswered();
      Orders += Sim.ordersRun();
    }
    MESSAGE(std::string(Row.Name) << ": ended " << Ended << " answered "
                                  << Answered << " orders run " << Orders);
    CHECK(Orders > 0);
    // Without faults every request is answered.
    if (Row.Faults == NoFaults)
      CHECK(Answered == Ended);
  }
}

TEST_CASE("a poison request crashes a bounded number of engines") {
  for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
    SimulationOptions Options;
    Options.Seed = Seed;
    Options.Faults = PoisonRequests;
    Simulation Sim(Options);
    Sim.run();
    CHECK(Sim.poisonCrashes() <= 2);
  }
}

namespace {

// One disabled protection, and faults under which a violation must then occur.
struct MutationRow {
  const char *Name;
  unsigned Faults;
  void (*Side)(side::SideStateMachine::Options &);
  void (*Entry)(entry::EntryStateMachine::Options &);
  /// Part of the text of the violation that must be reported.
  const char *Expected;
};

using side::SideMutation;

const MutationRow MutationRows[] = {
    {"older keys accepted", SideRestarts, SideMutation::disableOwnershipBarrier,
     nullptr, "ran 2 times"},
    {"slots not pinned", NoFaults, SideMutation::disableSlotPinning, nullptr,
     "replaced while in use"},
    {"answers not checked", SwappedAnswers, SideMutation::disableAnswerCheck,
     nullptr, "received another request's answer"},
    {"open attempts ignored", SilentConnections | SidePauses, nullptr,
     entry::EntryMutation::ignoreOpenAttempts, "reported as not run but ran"},
};

bool reportsViolation(const MutationRow &Row, uint64_t Seed) {
  SimulationOptions Options;
  Options.Seed = Seed;
  Options.Faults = Row.Faults;
  if (Row.Side)
    Row.Side(Options.Side);
  if (Row.Entry)
    Row.Entry(Options.Entry);
  Simulation Sim(Options);
  Sim.run();
  for (const std::string &Violation : Sim.violations())
    if (Violation.find(Row.Expected) != std::string::npos)
      return true;
  return false;
}

} // namespace

TEST_CASE("with a protection disabled the simulation reports a violation") {
  constexpr uint64_t MaxSeeds = 200;
  for (const MutationRow &Row : MutationRows) {
    uint64_t Seed = 1;
    while (Seed <= MaxSeeds && !reportsViolation(Row, Seed))
      ++Seed;
    MESSAGE(std::string(Row.Name) << ": found with seed " << Seed);
    CHECK(Seed <= MaxSeeds);
  }
}

TEST_CASE("without isolation a poison request crashes more engines") {
  SimulationOptions Options;
  Options.Faults = PoisonRequests;
  SideMutation::disableIsolation(Options.Side);
  Simulation Sim(Options);
  Sim.run();
  CHECK(Sim.poisonCrashes() > 2);
}

TEST_CASE(
    "without recovery of silent connections fewer requests are answered") {
  size_t Answered[2] = {};
  for (const bool Protected : {true, false})
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      SimulationOptions Options;
      Options.Seed = Seed;
      Options.Faults = SilentConnections;
      if (!Protected)
        entry::EntryMutation::ignoreSilence(Options.Entry);
      Simulation Sim(Options);
      Sim.run();
      CHECK(Sim.violations().empty());
      Answered[Protected ? 1 : 0] +=
          Sim.requestsAnswered() + Sim.ordersAnswered();
    }
  MESSAGE("answered " << Answered[1] << ", without recovery " << Answered[0]);
  CHECK(Answered[1] > Answered[0] + 100);
}
