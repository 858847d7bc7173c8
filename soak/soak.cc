// Fault-injection soak test: runs real processes under random faults and checks
// their guarantees from the outside.
//
//   build/soak --seed 7 --rounds 2
//   build/soak --seed 1 --seeds 50
//
// Each round consists of overlapping faults, a wait until all entries serve
// again, and planned operations without other faults. Exits with 1 if a
// guarantee was violated; the folder with logs and settings is then kept.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <unistd.h>

#include "soak/fleet_under_test.h"

namespace goldcrestlink::soak {

namespace {

// Time that the platform allows an instance to recover after a fault.
constexpr double RecoveryTimeoutSeconds = 12;
// With --untimed, the limits on waits are this long, so that a busy machine
// does not change the result.
constexpr double UntimedRecoveryTimeoutSeconds = 120;
constexpr int UntimedLimitSeconds = 60;
// Time after the last fault until the platform counts an instance as connected.
constexpr int ReconnectWaitMs = 3000;
constexpr int RetryStepDelayMs = 100;

struct Options {
  uint64_t Seed = 1;
  size_t Seeds = 1;
  size_t Rounds = 1;
  SoakShape Shape;
  double Rate = 60;
  bool Untimed = false;
  bool PrintSchedule = false;
  std::string Folder;
  std::string List;
};

class Soak {
public:
  Soak(const Options &Opts, const std::filesystem::path &Folder)
      : Opts(Opts),
        Rounds(generateSchedule(Opts.Seed, Opts.Shape, Opts.Rounds)),
        Oracle(OracleBounds{.Timed = !Opts.Untimed}),
        Fleet(Opts.Shape, Oracle, Folder),
        Traffic(Fleet.entries(), Oracle, Opts.Seed, callersOptions(Opts)) {}

  std::vector<std::string> run() {
    awaitService();
    for (const Round &R : Rounds) {
      runSteps(R.Faults, FaultPhaseLength);
      Fleet.healAll(now(), Traffic);
      awaitService();
      testing::pauseFor(ReconnectWaitMs);
      Oracle.beginUndisturbed(now());
      runSteps(R.Planned, PlannedPhaseLength);
      Oracle.endUndisturbed();
      Fleet.healAll(now(), Traffic);
    }
    Traffic.stop();
    Fleet.checkResources();
    Fleet.stopAll();
    Oracle.finish();
    for (const auto &[Outcome, Count] : Oracle.outcomes())
      std::cout << "outcome " << Outcome << " calls=" << Count << "\n";
    std::cout << "served share while undisturbed: "
              << Oracle.servedShareUndisturbed() << "\n";
    return Oracle.violations();
  }

private:
  static CallersOptions callersOptions(const Options &Opts) {
    CallersOptions Out;
    Out.setRate(Opts.Rate);
    if (Opts.Untimed)
      Out.setGracePeriod(std::chrono::seconds(UntimedLimitSeconds));
    return Out;
  }

  static Time now() { return currentTime().Steady; }

  // A step that is not possible yet is retried after RetryStepDelayMs, behind
  // the steps that are due by then.
  void runSteps(const std::vector<Step> &Steps, Duration Length) {
    const Time Begin = now();
    std::vector<Step> Remaining = Steps;
    while (now() < Begin + Length || !Remaining.empty()) {
      while (!Remaining.empty() && now() >= Begin + Remaining.front().At) {
        Step S = Remaining.front();
        Remaining.erase(Remaining.begin());
        std::cout << "at_ms=" << (now() - Begin).count() / 1000 << " "
                  << nameOf(S.Kind) << " target=" << S.Target
                  << " variant=" << S.Variant << std::endl;
        if (Fleet.apply(now(), S, Traffic))
          continue;
        S.At = now() - Begin + std::chrono::milliseconds(RetryStepDelayMs);
        Remaining.insert(std::upper_bound(Remaining.begin(), Remaining.end(), S,
                                          [](const Step &A, const Step &B) {
                                            return A.At < B.At;
                                          }),
                         S);
      }
      testing::pauseFor(5);
      Fleet.reapEnded();
    }
  }

  // Waits until each entry serves calls of each kind but Extra, whose route may
  // be missing; reports those that do not in time.
  void awaitService() {
    for (size_t I = 0; I < Opts.Shape.Entries; ++I)
      for (const CallKind K :
           {CallKind::Once, CallKind::Read, CallKind::Stream})
        if (!testing::eventually([&] { return Traffic.callAndWait(I, K); },
                                 Opts.Untimed ? UntimedRecoveryTimeoutSeconds
                                              : RecoveryTimeoutSeconds))
          Oracle.report("entry" + std::to_string(I) +
                        " did not serve again in time, kind=" +
                        std::to_string(static_cast<int>(K)));
  }

  const Options &Opts;
  Schedule Rounds;
  GuaranteeOracle Oracle;
  FleetUnderTest Fleet;
  Callers Traffic;
};

bool runSeed(const Options &Opts) {
  const uint64_t Seed = Opts.Seed;
  const std::filesystem::path Folder =
      Opts.Folder.empty()
          ? std::filesystem::temp_directory_path() /
                ("goldcrestlink-soak-" + std::to_string(::getpid()) + "-" +
                 std::to_string(Seed))
          : std::filesystem::path(Opts.Folder) / std::to_string(Seed);
  std::cout << "seed " << Seed << " logs in " << Folder << std::endl;
  const std::vector<std::string> Violations = Soak(Opts, Folder).run();
  std::cout << "seed " << Seed << " violations: " << Violations.size() << "\n";
  if (Violations.empty())
    std::filesystem::remove_all(Folder);
  return Violations.empty();
}

// Reads lines of the form "seed rounds reason"; skips empty lines and those
// that begin with #.
std::vector<Options> listedRuns(const Options &Opts) {
  std::vector<Options> Out;
  std::ifstream In(Opts.List);
  if (!In)
    throw std::runtime_error("cannot read list of seeds " + Opts.List);
  for (std::string Line; std::getline(In, Line);) {
    if (Line.empty() || Line.front() == '#')
      continue;
    Options Listed = Opts;
    std::istringstream Words(Line);
    if (!(Words >> Listed.Seed >> Listed.Rounds))
      throw std::runtime_error(
          Opts.List +
          ": expected a seed and a number of rounds in line: " + Line);
    Out.push_back(Listed);
  }
  return Out;
}

std::vector<Options> selectedRuns(const Options &Opts) {
  if (!Opts.List.empty())
    return listedRuns(Opts);
  std::vector<Options> Out(Opts.Seeds, Opts);
  for (size_t I = 0; I < Out.size(); ++I)
    Out[I].Seed = Opts.Seed + I;
  return Out;
}

int run(const Options &Opts) {
  if (Opts.PrintSchedule) {
    std::cout << describe(generateSchedule(Opts.Seed, Opts.Shape, Opts.Rounds));
    return 0;
  }
  const std::vector<Options> Runs = selectedRuns(Opts);
  std::vector<uint64_t> Failed;
  for (const Options &Run : Runs)
    if (!runSeed(Run))
      Failed.push_back(Run.Seed);
  std::cout << "seeds run: " << Runs.size() << ", failed:";
  for (const uint64_t Seed : Failed)
    std::cout << " " << Seed;
  std::cout << (Failed.empty() ? " none" : "") << std::endl;
  return Failed.empty() ? 0 : 1;
}

} // namespace

} // namespace goldcrestlink::soak

int main(int Count, char **Arguments) {
  goldcrestlink::soak::Options Opts;
  CLI::App App(
      "Fault-injection soak test of the programs in the working directory");
  App.add_option("--seed", Opts.Seed, "first seed");
  App.add_option("--seeds", Opts.Seeds,
                 "number of seeds to run, one after another");
  App.add_option("--rounds", Opts.Rounds, "rounds per seed");
  App.add_option("--entries", Opts.Shape.Entries)->check(CLI::Range(1, 250));
  App.add_option("--engines", Opts.Shape.Engines)->check(CLI::Range(1, 250));
  App.add_option("--plains", Opts.Shape.Plains)->check(CLI::Range(1, 250));
  App.add_option("--rate", Opts.Rate, "calls per second");
  App.add_flag("--untimed", Opts.Untimed, "do not check time bounds");
  App.add_flag("--print-schedule", Opts.PrintSchedule,
               "print the schedule of the seed and exit");
  App.add_option("--list", Opts.List, "file with the seeds and rounds to run");
  App.add_option("--folder", Opts.Folder,
                 "folder for logs; removed for seeds without violations");
  CLI11_PARSE(App, Count, Arguments);
  if (Opts.Untimed)
    Opts.Shape.StopSeconds = goldcrestlink::soak::UntimedLimitSeconds;
  try {
    return goldcrestlink::soak::run(Opts);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 2;
  }
}
