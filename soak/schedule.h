// What a soak does and when, drawn from a seed: rounds of overlapping faults
// and, after each has healed, planned work that nothing disturbs. The same seed
// and shape give the same schedule.
//
//   Schedule S = drawSchedule(7, Shape(), 2);
//   std::cout << describe(S);
#ifndef GOLDCRESTLINK_SOAK_SCHEDULE_H
#define GOLDCRESTLINK_SOAK_SCHEDULE_H

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace goldcrestlink::soak {

/// How many of each there are.
struct Shape {
  size_t Entries = 3;
  size_t Engines = 4;
  size_t Plains = 2;
  /// How long an entry may take to stop; the deployments' sheets say 8.
  int StopSeconds = 8;

  /// Processes under test: entries first, then a side per engine.
  size_t processes() const { return Entries + Engines; }
  /// Links: to each entry from callers, then from other entries; from each
  /// entry to the store; to each engine, then to each side; to each plain
  /// service.
  size_t links() const { return 3 * Entries + 2 * Engines + Plains; }
  /// Engines first, then plain services.
  size_t upstreams() const { return Engines + Plains; }
};

/// Adapters "a0" and so on that callers ask for and releases are drawn from.
constexpr size_t AdapterCount = 12;

/// Target counts processes, links, upstreams or adapters, by the action.
enum class Action {
  // Links; Variant of LinkFaulty is a LinkFault.
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
  // Upstreams; Variant of UpstreamFaulty is an UpstreamFault, that of
  // UpstreamStart is 1 for another id at the same address.
  UpstreamCrash,
  UpstreamStart,
  UpstreamFaulty,
  UpstreamHealed,
  Drain,
  Restore,
  Remove,
  // The store; Variant of StoreFaulty is a StoreFault.
  StoreFaulty,
  StoreHealed,
  DropHistory,
  Garbage,
  // Changes and load.
  Release,
  Configure,
  Burst,
  BurstOver,
};

std::string_view nameOf(Action A);

struct Step {
  /// Since the phase began.
  Duration At{};
  Action What = Action::Garbage;
  size_t Target = 0;
  int Variant = 0;
};

/// Steps in the order of their time.
struct Round {
  std::vector<Step> Faults;
  std::vector<Step> Planned;
};

using Schedule = std::vector<Round>;

/// How long faults go on, and planned work with what follows from it.
constexpr Duration FaultTime = std::chrono::seconds(6);
constexpr Duration PlannedTime = std::chrono::seconds(10);

Schedule drawSchedule(uint64_t Seed, const Shape &Of, size_t Rounds);

/// One line a step: phase, milliseconds, action, target, variant.
std::string describe(const Schedule &S);

} // namespace goldcrestlink::soak

#endif // GOLDCRESTLINK_SOAK_SCHEDULE_H
