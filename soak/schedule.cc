// The fault phase is a number of episodes that begin at random moments and last
// for random times, so that they overlap; each ends within the phase. One
// episode in three repeats its kind on the same target soon after, as a series.
#include "soak/schedule.h"

#include <algorithm>
#include <array>
#include <sstream>

#include "base/random.h"
#include "soak/loopback_proxy.h"
#include "testing/store_standin.h"
#include "testing/upstream_standin.h"

namespace goldcrestlink::soak {

namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 25> Names = {
    "link_faulty",     "link_healed",     "link_reset",     "link_silenced",
    "pause",           "resume",          "kill",           "terminate",
    "start",           "reload",          "upstream_crash", "upstream_start",
    "upstream_faulty", "upstream_healed", "drain",          "restore",
    "remove",          "store_faulty",    "store_healed",   "drop_history",
    "garbage",         "release",         "configure",      "burst",
    "burst_over"};

constexpr int MinEpisodes = 4;
constexpr int MaxEpisodes = 14;
constexpr int MinLastsMs = 200;
constexpr int MaxLastsMs = 3000;
constexpr int MaxSeriesGapMs = 700;

class Drawing {
public:
  Drawing(uint64_t Seed, const Shape &Of) : Luck(Seed), Of(Of) {}

  std::vector<Step> faults() {
    Steps.clear();
    const int Count = between(MinEpisodes, MaxEpisodes);
    for (int I = 0; I < Count; ++I) {
      const Duration Begin = randomTime(FaultTime * 3 / 4);
      const auto Episode = Episodes[Luck.below(Episodes.size())];
      const size_t Target = Luck.next() >> 8;
      (this->*Episode)(Begin, Target);
      if (Luck.below(3) == 0)
        (this->*Episode)(Begin + milliseconds(between(0, MaxSeriesGapMs)),
                         Target);
    }
    return sorted();
  }

  std::vector<Step> planned() {
    Steps.clear();
    const size_t Engine = Luck.below(Of.Engines);
    const size_t Process = Luck.below(Of.processes());
    add(milliseconds(200), Action::Configure, 0, between(0, 1));
    const int Released = between(300, 2000);
    add(milliseconds(Released), Action::Release, Luck.below(AdapterCount));
    const int Reloaded = between(300, 2500);
    add(milliseconds(Reloaded), Action::Reload, Luck.below(Of.processes()));
    const int Drained = between(300, 2500);
    add(milliseconds(Drained),
        Luck.below(2) == 0 ? Action::Drain : Action::Remove, Engine);
    // It serves on for longer than the platform promises.
    add(milliseconds(Drained + 4500), Action::UpstreamCrash, Engine);
    add(milliseconds(Drained + 5000), Action::UpstreamStart, Engine,
        between(0, 1));
    const int Stopped = between(300, 3000);
    add(milliseconds(Stopped), Action::Terminate, Process);
    add(milliseconds(Stopped + between(0, 5000)), Action::Start, Process);
    const int Configured = between(2300, 4000);
    add(milliseconds(Configured), Action::Configure, 0, between(0, 1));
    return sorted();
  }

private:
  using Episode = void (Drawing::*)(Duration Begin, size_t Target);

  int between(int Least, int Most) {
    return Least + static_cast<int>(
                       Luck.below(static_cast<uint64_t>(Most - Least) + 1));
  }

  Duration randomTime(Duration Below) {
    return Duration(
        static_cast<int64_t>(Luck.below(static_cast<uint64_t>(Below.count()))));
  }

  Duration end(Duration Begin) {
    return std::min<Duration>(
        Begin + milliseconds(between(MinLastsMs, MaxLastsMs)), FaultTime);
  }

  void add(Duration At, Action What, size_t Target = 0, int Variant = 0) {
    Steps.push_back({At, What, Target, Variant});
  }

  std::vector<Step> sorted() {
    std::stable_sort(Steps.begin(), Steps.end(),
                     [](const Step &A, const Step &B) { return A.At < B.At; });
    return Steps;
  }

  void linkFault(Duration Begin, size_t Target) {
    const size_t Link = Target % Of.links();
    add(Begin, Action::LinkFaulty, Link,
        between(1, static_cast<int>(LinkFault::Silent)));
    add(end(Begin), Action::LinkHealed, Link);
  }
  void linkReset(Duration Begin, size_t Target) {
    add(Begin, Action::LinkReset, Target % Of.links());
  }
  void linkSilenced(Duration Begin, size_t Target) {
    add(Begin, Action::LinkSilenced, Target % Of.links());
  }
  void pause(Duration Begin, size_t Target) {
    add(Begin, Action::Pause, Target % Of.processes());
    add(end(Begin), Action::Resume, Target % Of.processes());
  }
  void kill(Duration Begin, size_t Target) {
    add(Begin, Action::Kill, Target % Of.processes());
    add(end(Begin), Action::Start, Target % Of.processes());
  }
  void terminate(Duration Begin, size_t Target) {
    add(Begin, Action::Terminate, Target % Of.processes());
    add(end(Begin), Action::Start, Target % Of.processes());
  }
  void reload(Duration Begin, size_t Target) {
    add(Begin, Action::Reload, Target % Of.processes());
  }
  void upstreamCrash(Duration Begin, size_t Target) {
    const size_t Upstream = Target % Of.upstreams();
    add(Begin, Action::UpstreamCrash, Upstream);
    const Duration Back = end(Begin);
    add(Back, Action::UpstreamStart, Upstream, between(0, 1));
  }
  void upstreamFault(Duration Begin, size_t Target) {
    const size_t Upstream = Target % Of.upstreams();
    add(Begin, Action::UpstreamFaulty, Upstream,
        between(1, static_cast<int>(testing::UpstreamFault::Torn)));
    add(end(Begin), Action::UpstreamHealed, Upstream);
  }
  void leave(Duration Begin, size_t Target) {
    const size_t Upstream = Target % Of.upstreams();
    add(Begin, Luck.below(2) == 0 ? Action::Drain : Action::Remove, Upstream);
    add(end(Begin), Action::Restore, Upstream);
  }
  void storeFault(Duration Begin, size_t) {
    add(Begin, Action::StoreFaulty, 0,
        between(1, static_cast<int>(testing::StoreFault::Torn)));
    add(end(Begin), Action::StoreHealed);
  }
  void historyDropped(Duration Begin, size_t) {
    add(Begin, Action::DropHistory);
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
    add(end(Begin), Action::BurstOver);
  }

  static constexpr std::array<Episode, 17> Episodes = {
      &Drawing::linkFault,      &Drawing::linkFault, &Drawing::linkReset,
      &Drawing::linkSilenced,   &Drawing::pause,     &Drawing::kill,
      &Drawing::terminate,      &Drawing::reload,    &Drawing::upstreamCrash,
      &Drawing::upstreamFault,  &Drawing::leave,     &Drawing::storeFault,
      &Drawing::historyDropped, &Drawing::garbage,   &Drawing::release,
      &Drawing::configure,      &Drawing::burst};

  Random Luck;
  Shape Of;
  std::vector<Step> Steps;
};

void describePhase(std::ostringstream &Out, std::string_view Phase,
                   const std::vector<Step> &Steps) {
  for (const Step &S : Steps)
    Out << Phase << " at_ms=" << S.At.count() / 1000 << " " << nameOf(S.What)
        << " target=" << S.Target << " variant=" << S.Variant << "\n";
}

} // namespace

std::string_view nameOf(Action A) { return Names[static_cast<size_t>(A)]; }

Schedule drawSchedule(uint64_t Seed, const Shape &Of, size_t Rounds) {
  Drawing D(Seed, Of);
  Schedule Out;
  for (size_t I = 0; I < Rounds; ++I) {
    Round R;
    R.Faults = D.faults();
    R.Planned = D.planned();
    Out.push_back(std::move(R));
  }
  return Out;
}

std::string describe(const Schedule &S) {
  std::ostringstream Out;
  for (const Round &R : S) {
    describePhase(Out, "faults", R.Faults);
    describePhase(Out, "planned", R.Planned);
  }
  return Out.str();
}

} // namespace goldcrestlink::soak
