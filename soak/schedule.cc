// The fault phase consists of episodes with random start times and durations,
// so that they overlap; each ends within the phase. With a probability of one
// in three an episode is followed by a second one of the same kind on the same
// target.
#include "soak/schedule.h"

#include <algorithm>
#include <array>
#include <sstream>

#include "base/hash.h"
#include "base/random.h"
#include "soak/loopback_proxy.h"
#include "testing/store_standin.h"
#include "testing/upstream_standin.h"

namespace goldcrestlink::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 32> ActionNames = {
    "link_faulty",     "link_healed",     "link_reset",     "link_silenced",
    "pause",           "resume",          "kill",           "terminate",
    "start",           "reload",          "upstream_crash", "upstream_start",
    "upstream_faulty", "upstream_healed", "drain",          "restore",
    "remove",          "leave",           "odd_record",     "store_faulty",
    "store_healed",    "drop_history",    "store_restored", "store_rewritten",
    "garbage",         "deadly",          "limit",          "release",
    "configure",       "burst",           "burst_over",     "fill_engines"};

constexpr int MinEpisodes = 4;
constexpr int MaxEpisodes = 14;
constexpr int MinEpisodeMs = 200;
constexpr int MaxEpisodeMs = 3000;
constexpr int MaxRepeatDelayMs = 700;
constexpr int MinCopyAgeMs = 300;
constexpr int MaxCopyAgeMs = 5000;
// After the return of the store, until the operator and the upstreams have
// written again what was lost.
constexpr int MaxRewriteDelayMs = 1000;
// Requests per second, below the load of an upstream.
constexpr int MinLimit = 3;
constexpr int MaxLimit = 8;
// Separates the random numbers of fillBefore() from those of other steps.
constexpr uint64_t FillPurpose = 0x66696c6c;
// Before a process stops, for the streams to begin and others to wait.
constexpr auto FillLead = milliseconds(300);

class ScheduleGenerator {
public:
  ScheduleGenerator(uint64_t Seed, const SoakShape &Shape)
      : Rand(Seed), AddedRand(~Seed), FillRand(mixHash(Seed, FillPurpose)),
        Shape(Shape) {}

  std::vector<Step> faults() {
    Steps.clear();
    const int Count = between(MinEpisodes, MaxEpisodes);
    for (int I = 0; I < Count; ++I) {
      const Duration Begin = randomTime(FaultPhaseLength * 3 / 4);
      const auto Episode = EpisodeKinds[Rand.below(EpisodeKinds.size())];
      const size_t Target = Rand.next() >> 8;
      (this->*Episode)(Begin, Target);
      if (Rand.below(3) == 0)
        (this->*Episode)(Begin + milliseconds(between(0, MaxRepeatDelayMs)),
                         Target);
    }
    addTo(FaultPhaseLength * 3 / 4, &ScheduleGenerator::leave);
    addTo(FaultPhaseLength * 3 / 4, &ScheduleGenerator::oddRecord);
    return sorted();
  }

  std::vector<Step> planned() {
    Steps.clear();
    const size_t Engine = Rand.below(Shape.Engines);
    // An entry that restarts while the store has only older state is not in
    // touch.
    const bool WithRestore = Rand.below(2) == 0;
    const size_t Process = WithRestore
                               ? Shape.Entries + Rand.below(Shape.Engines)
                               : Rand.below(Shape.processes());
    add(milliseconds(200), Action::Configure, 0, between(0, 1));
    const int ReleaseMs = between(300, 2000);
    add(milliseconds(ReleaseMs), Action::Release, Rand.below(AdapterCount));
    const int ReloadMs = between(300, 2500);
    add(milliseconds(ReloadMs), Action::Reload, Rand.below(Shape.processes()));
    const int DrainMs = between(300, 2500);
    add(milliseconds(DrainMs),
        Rand.below(2) == 0 ? Action::Drain : Action::Remove, Engine);
    // The engine keeps serving for longer after the drain than the platform
    // guarantees.
    add(milliseconds(DrainMs + 4500), Action::UpstreamCrash, Engine);
    add(milliseconds(DrainMs + 5000), Action::UpstreamStart, Engine,
        between(0, 1));
    const int StopMs = between(300, 3000);
    fillBefore(milliseconds(StopMs), Process);
    add(milliseconds(StopMs), Action::Terminate, Process);
    add(milliseconds(StopMs + between(0, 5000)), Action::Start, Process);
    const int ConfigureMs = between(2300, 4000);
    add(milliseconds(ConfigureMs), Action::Configure, 0, between(0, 1));
    if (WithRestore)
      storeRestored(milliseconds(between(2500, 8000)), 0);
    const size_t Limited = Rand.below(Shape.upstreams());
    add(milliseconds(between(0, 500)), Action::Limit, Limited,
        between(MinLimit, MaxLimit));
    add(PlannedPhaseLength, Action::Limit, Limited);
    addTo(milliseconds(2500), &ScheduleGenerator::leaveAndRestart);
    addTo(milliseconds(2500), &ScheduleGenerator::oddRecord);
    return sorted();
  }

private:
  using Episode = void (ScheduleGenerator::*)(Duration Begin, size_t Target);

  int between(int Min, int Max) {
    return Min +
           static_cast<int>(Rand.below(static_cast<uint64_t>(Max - Min) + 1));
  }

  Duration randomTime(Duration Below) {
    return Duration(
        static_cast<int64_t>(Rand.below(static_cast<uint64_t>(Below.count()))));
  }

  Duration randomEnd(Duration Begin) {
    return std::min<Duration>(
        Begin + milliseconds(between(MinEpisodeMs, MaxEpisodeMs)),
        FaultPhaseLength);
  }

  // Adds an episode in half of the phases. Its random numbers are of another
  // sequence, so that the other steps of a seed stay the same.
  void addTo(Duration Below, Episode Added) {
    std::swap(Rand, AddedRand);
    const Duration Begin = randomTime(Below);
    const size_t Target = Rand.next() >> 8;
    if (Rand.below(2) == 0)
      (this->*Added)(Begin, Target);
    std::swap(Rand, AddedRand);
  }

  // In half of the phases, requests wait when \p Process stops. The streams
  // that they wait for go through another entry.
  void fillBefore(Duration Stop, size_t Process) {
    if (Shape.Entries < 2 || FillRand.below(2) == 0)
      return;
    const size_t Entry =
        (Process + 1 + FillRand.below(Shape.Entries - 1)) % Shape.Entries;
    add(std::max<Duration>(Stop - FillLead, Duration(0)), Action::FillEngines,
        Entry);
  }

  void add(Duration At, Action Kind, size_t Target = 0, int Variant = 0) {
    Steps.push_back({At, Kind, Target, Variant});
  }

  std::vector<Step> sorted() {
    std::stable_sort(Steps.begin(), Steps.end(),
                     [](const Step &A, const Step &B) { return A.At < B.At; });
    return Steps;
  }

  void linkFault(Duration Begin, size_t Target) {
    const size_t Link = Target % Shape.links();
    add(Begin, Action::LinkFaulty, Link,
        between(1, static_cast<int>(LinkFault::Silent)));
    add(randomEnd(Begin), Action::LinkHealed, Link);
  }
  void linkReset(Duration Begin, size_t Target) {
    add(Begin, Action::LinkReset, Target % Shape.links());
  }
  void linkSilenced(Duration Begin, size_t Target) {
    add(Begin, Action::LinkSilenced, Target % Shape.links());
  }
  void pause(Duration Begin, size_t Target) {
    add(Begin, Action::Pause, Target % Shape.processes());
    add(randomEnd(Begin), Action::Resume, Target % Shape.processes());
  }
  void kill(Duration Begin, size_t Target) {
    add(Begin, Action::Kill, Target % Shape.processes());
    add(randomEnd(Begin), Action::Start, Target % Shape.processes());
  }
  void terminate(Duration Begin, size_t Target) {
    add(Begin, Action::Terminate, Target % Shape.processes());
    add(randomEnd(Begin), Action::Start, Target % Shape.processes());
  }
  void reload(Duration Begin, size_t Target) {
    add(Begin, Action::Reload, Target % Shape.processes());
  }
  void upstreamCrash(Duration Begin, size_t Target) {
    const size_t Upstream = Target % Shape.upstreams();
    add(Begin, Action::UpstreamCrash, Upstream);
    const Duration Restart = randomEnd(Begin);
    add(Restart, Action::UpstreamStart, Upstream, between(0, 1));
  }
  void upstreamFault(Duration Begin, size_t Target) {
    const size_t Upstream = Target % Shape.upstreams();
    add(Begin, Action::UpstreamFaulty, Upstream,
        between(1, static_cast<int>(testing::UpstreamFault::Truncated)));
    add(randomEnd(Begin), Action::UpstreamHealed, Upstream);
  }
  void drainOrRemove(Duration Begin, size_t Target) {
    const size_t Upstream = Target % Shape.upstreams();
    add(Begin, Rand.below(2) == 0 ? Action::Drain : Action::Remove, Upstream);
    add(randomEnd(Begin), Action::Restore, Upstream);
  }
  void leave(Duration Begin, size_t Target) {
    const size_t Upstream = Target % Shape.upstreams();
    add(Begin, Action::Leave, Upstream);
    add(randomEnd(Begin), Action::UpstreamCrash, Upstream);
    add(FaultPhaseLength, Action::UpstreamStart, Upstream, between(0, 1));
  }
  // Of a plain service, since an engine drains in the same phase. It serves for
  // longer after it has said so than the platform guarantees.
  void leaveAndRestart(Duration Begin, size_t Target) {
    const size_t Upstream = Shape.Engines + Target % Shape.Plains;
    add(Begin, Action::Leave, Upstream);
    add(Begin + milliseconds(4500), Action::UpstreamCrash, Upstream);
    add(Begin + milliseconds(5000), Action::UpstreamStart, Upstream,
        between(0, 1));
  }
  void oddRecord(Duration Begin, size_t Target) {
    const auto Count = static_cast<int>(std::size(OddRecords));
    add(Begin, Action::OddRecord, 0,
        static_cast<int>(Target % std::size(OddRecords)));
    add(randomEnd(Begin), Action::OddRecord, 0, Count);
  }
  void storeFault(Duration Begin, size_t) {
    add(Begin, Action::StoreFaulty, 0,
        between(1, static_cast<int>(testing::StoreFault::Truncated)));
    add(randomEnd(Begin), Action::StoreHealed);
  }
  void dropHistory(Duration Begin, size_t) { add(Begin, Action::DropHistory); }
  void storeRestored(Duration Begin, size_t) {
    add(Begin, Action::StoreRestored, 0, between(MinCopyAgeMs, MaxCopyAgeMs));
    add(Begin + milliseconds(between(0, MaxRewriteDelayMs)),
        Action::StoreRewritten);
  }
  void deadly(Duration Begin, size_t Target) {
    add(Begin, Action::Deadly, Target % DeadlyRequestCount);
  }
  void limit(Duration Begin, size_t Target) {
    const size_t Upstream = Target % Shape.upstreams();
    add(Begin, Action::Limit, Upstream, between(MinLimit, MaxLimit));
    add(randomEnd(Begin), Action::Limit, Upstream);
  }
  void garbage(Duration Begin, size_t) { add(Begin, Action::Garbage); }
  void release(Duration Begin, size_t Target) {
    add(Begin, Action::Release, Target % AdapterCount);
  }
  void configure(Duration Begin, size_t) {
    add(Begin, Action::Configure, 0, between(0, 1));
  }
  void burst(Duration Begin, size_t) {
    add(Begin, Action::Burst);
    add(randomEnd(Begin), Action::BurstOver);
  }

  static constexpr std::array<Episode, 21> EpisodeKinds = {
      &ScheduleGenerator::linkFault,     &ScheduleGenerator::linkFault,
      &ScheduleGenerator::linkReset,     &ScheduleGenerator::linkSilenced,
      &ScheduleGenerator::pause,         &ScheduleGenerator::kill,
      &ScheduleGenerator::terminate,     &ScheduleGenerator::reload,
      &ScheduleGenerator::upstreamCrash, &ScheduleGenerator::upstreamFault,
      &ScheduleGenerator::drainOrRemove, &ScheduleGenerator::storeFault,
      &ScheduleGenerator::dropHistory,   &ScheduleGenerator::garbage,
      &ScheduleGenerator::release,       &ScheduleGenerator::configure,
      &ScheduleGenerator::storeRestored, &ScheduleGenerator::storeRestored,
      &ScheduleGenerator::deadly,        &ScheduleGenerator::limit,
      &ScheduleGenerator::burst};

  Random Rand;
  // For the episodes of addTo().
  Random AddedRand;
  Random FillRand;
  SoakShape Shape;
  std::vector<Step> Steps;
};

void describePhase(std::ostringstream &Out, std::string_view Phase,
                   const std::vector<Step> &Steps) {
  for (const Step &S : Steps)
    Out << Phase << " at_ms=" << S.At.count() / 1000 << " " << nameOf(S.Kind)
        << " target=" << S.Target << " variant=" << S.Variant << "\n";
}

} // namespace

std::string_view nameOf(Action Kind) {
  return ActionNames[static_cast<size_t>(Kind)];
}

Schedule generateSchedule(uint64_t Seed, const SoakShape &Shape,
                          size_t Rounds) {
  ScheduleGenerator Generator(Seed, Shape);
  Schedule Out;
  for (size_t I = 0; I < Rounds; ++I) {
    Round R;
    R.Faults = Generator.faults();
    R.Planned = Generator.planned();
    Out.push_back(std::move(R));
  }
  return Out;
}

std::string describe(const Schedule &Plan) {
  std::ostringstream Out;
  for (const Round &R : Plan) {
    describePhase(Out, "faults", R.Faults);
    describePhase(Out, "planned", R.Planned);
  }
  return Out.str();
}

} // namespace goldcrestlink::soak
