// Generates the schedule of a soak from a seed: rounds that each consist of a
// phase of overlapping faults and, once these have ended, a phase of planned
// operations without other faults. The same seed and shape give the same
// schedule.
//
//   Schedule Plan = generateSchedule(7, SoakShape(), 2);
//   std::cout << describe(Plan);
#ifndef GOLDCRESTLINK_SOAK_SCHEDULE_H
#define GOLDCRESTLINK_SOAK_SCHEDULE_H

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace goldcrestlink::soak {

/// Size and settings of the deployment under test.
struct SoakShape {
  size_t Entries = 3;
  size_t Engines = 4;
  size_t Plains = 2;
  /// How long an entry may take to stop; 8 is the value in the deployments'
  /// data sheets.
  int StopSeconds = 8;

  /// Number of processes under test: the entries first, then a side per engine.
  size_t processes() const { return Entries + Engines; }
  /// Number of links, in this order: from callers to each entry; from other
  /// entries to each entry; from each entry to the store; to each engine; to
  /// each side; to each plain service.
  size_t links() const { return 3 * Entries + 2 * Engines + Plains; }
  /// Number of upstreams: the engines first, then plain services.
  size_t upstreams() const { return Engines + Plains; }
};

/// Adapters are named "a0" to "a11"; calls and releases choose among them.
constexpr size_t AdapterCount = 12;

/// Step::Target is the number of a process, link, upstream or adapter,
/// depending on the action.
enum class Action {
  // Links; the Variant of LinkFaulty is a LinkFault.
  LinkFaulty,
  LinkHealed,
  LinkReset,
  LinkSilenced,
  // Processes.
  Pause,
  Resume,
  Kill,
  Terminate,
  Start,
  Reload,
  // Upstreams; the Variant of UpstreamFaulty is an UpstreamFault, and that of
  // UpstreamStart is 1 to start under a new id at the same address.
  UpstreamCrash,
  UpstreamStart,
  UpstreamFaulty,
  UpstreamHealed,
  Drain,
  Restore,
  Remove,
  // The upstream says in its answers that it leaves, until it starts again.
  Leave,
  // A record that cannot be read, among those of the upstreams; the Variant is
  // an index of OddRecords, or beyond it to remove the record.
  OddRecord,
  // The store; the Variant of StoreFaulty is a StoreFault, and that of
  // StoreRestored the age of the copy in milliseconds.
  StoreFaulty,
  StoreHealed,
  DropHistory,
  StoreRestored,
  StoreRewritten,
  Garbage,
  // Requests that crash upstreams, for the rest of the round, and limits that
  // an upstream names; the Variant of Limit is in requests per second, 0: none.
  Deadly,
  Limit,
  // Releases, configurations and load; the Variant of Configure is 1 for a
  // configuration with the route of CallKind::Extra.
  Release,
  Configure,
  Burst,
  BurstOver,
  // Long streams through this entry take up the places of all engines, so that
  // requests wait while a process stops.
  FillEngines,
};

/// Requests that may crash upstreams in one round, one after another each.
constexpr size_t DeadlyRequestCount = 6;

/// What Action::OddRecord writes: the brackets of one are repeated.
constexpr std::string_view OddRecords[] = {
    "[", R"({"service":"plain","slots":1e999})", "\"\xff\xfe\"",
    R"({"service":"plain","address":"127.0.0.1:0","zone":"z","state":"ready"})"};

/// The name of \p Kind in schedules and logs.
std::string_view nameOf(Action Kind);

struct Step {
  /// Time since the phase began.
  Duration At{};
  Action Kind = Action::Garbage;
  size_t Target = 0;
  int Variant = 0;
};

/// The steps of each phase, ordered by time.
struct Round {
  std::vector<Step> Faults;
  std::vector<Step> Planned;
};

using Schedule = std::vector<Round>;

/// Lengths of the phases; the planned phase includes the time in which planned
/// operations take effect.
constexpr Duration FaultPhaseLength = std::chrono::seconds(6);
constexpr Duration PlannedPhaseLength = std::chrono::seconds(10);

Schedule generateSchedule(uint64_t Seed, const SoakShape &Shape, size_t Rounds);

/// One line per step: phase, milliseconds, action, target, variant.
std::string describe(const Schedule &Plan);

} // namespace goldcrestlink::soak

#endif // GOLDCRESTLINK_SOAK_SCHEDULE_H
