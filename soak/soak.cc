// The fault soak: real processes under drawn faults, judged from outside.
//
//   build/soak --seed 7 --rounds 2
//   build/soak --seed 1 --seeds 50
//
// Each round has overlapping faults, a wait until all entries serve again, and
// planned work with nothing else going on. Exits with 1 if a promise was
// broken; then the folder with logs and settings stays.
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

// The platform's own time for machines to be back after a fault.
constexpr double RecoverSeconds = 12;
// Where bounds in time are not judged, what has to come is awaited this long,
// so that a busy machine does not change the verdict.
constexpr double UntimedPatience = 120;
constexpr int UntimedSeconds = 60;
// After the last fault, until the platform counts a machine as in touch.
constexpr int ContactMs = 3000;
constexpr int RetryStepMs = 100;

struct Options {
  uint64_t Seed = 1;
  size_t Seeds = 1;
  size_t Rounds = 1;
  Shape Of;
  double Rate = 60;
  bool Untimed = false;
  bool PrintSchedule = false;
  std::string Folder;
  std::string List;
};

class Soak {
public:
  Soak(const Options &O, const std::filesystem::path &Folder)
      : O(O), Plan(drawSchedule(O.Seed, O.Of, O.Rounds)),
        Judge(OracleBounds{.Timed = !O.Untimed}), Fleet(O.Of, Judge, Folder),
        Load(Fleet.entries(), Judge, O.Seed, callersOptions(O)) {}

  std::vector<std::string> run() {
    awaitServed();
    for (const Round &R : Plan) {
      play(R.Faults, FaultTime);
      Fleet.healAll(now(), Load);
      awaitServed();
      testing::pauseFor(ContactMs);
      Judge.beginUndisturbed(now());
      play(R.Planned, PlannedTime);
      Judge.endUndisturbed();
      Fleet.healAll(now(), Load);
    }
    Load.stop();
    Fleet.checkResources();
    Fleet.stopAll();
    Judge.finish();
    for (const auto &[Outcome, Count] : Judge.outcomes())
      std::cout << "outcome " << Outcome << " calls=" << Count << "\n";
    std::cout << "served share while undisturbed: "
              << Judge.servedShareUndisturbed() << "\n";
    return Judge.violations();
  }

private:
  static CallersOptions callersOptions(const Options &O) {
    CallersOptions Out;
    Out.setRate(O.Rate);
    if (O.Untimed)
      Out.setPatience(std::chrono::seconds(UntimedSeconds));
    return Out;
  }

  static Time now() { return presentTime().Steady; }

  // A step that cannot be carried out yet is tried again, behind those due.
  void play(const std::vector<Step> &Steps, Duration Length) {
    const Time Begin = now();
    std::vector<Step> Left = Steps;
    while (now() < Begin + Length || !Left.empty()) {
      while (!Left.empty() && now() >= Begin + Left.front().At) {
        Step S = Left.front();
        Left.erase(Left.begin());
        std::cout << "at_ms=" << (now() - Begin).count() / 1000 << " "
                  << nameOf(S.What) << " target=" << S.Target
                  << " variant=" << S.Variant << std::endl;
        if (Fleet.apply(now(), S, Load))
          continue;
        S.At = now() - Begin + std::chrono::milliseconds(RetryStepMs);
        Left.insert(std::upper_bound(Left.begin(), Left.end(), S,
                                     [](const Step &A, const Step &B) {
                                       return A.At < B.At;
                                     }),
                    S);
      }
      testing::pauseFor(5);
      Fleet.reapEnded();
    }
  }

  // Until each entry serves each kind.
  void awaitServed() {
    for (size_t I = 0; I < O.Of.Entries; ++I)
      for (const CallKind K :
           {CallKind::Once, CallKind::Read, CallKind::Stream})
        if (!testing::eventually([&] { return Load.isServed(I, K); },
                                 O.Untimed ? UntimedPatience : RecoverSeconds))
          Judge.report("entry" + std::to_string(I) +
                       " has not come back for kind=" +
                       std::to_string(static_cast<int>(K)));
  }

  const Options &O;
  Schedule Plan;
  PromiseOracle Judge;
  FleetUnderTest Fleet;
  Callers Load;
};

bool runSeed(const Options &O) {
  const uint64_t Seed = O.Seed;
  const std::filesystem::path Folder =
      O.Folder.empty()
          ? std::filesystem::temp_directory_path() /
                ("goldcrestlink-soak-" + std::to_string(::getpid()) + "-" +
                 std::to_string(Seed))
          : std::filesystem::path(O.Folder) / std::to_string(Seed);
  std::cout << "seed " << Seed << " logs in " << Folder << std::endl;
  const std::vector<std::string> Found = Soak(O, Folder).run();
  std::cout << "seed " << Seed << " violations: " << Found.size() << "\n";
  if (Found.empty())
    std::filesystem::remove_all(Folder);
  return Found.empty();
}

// Lines "seed rounds cause"; others begin with #.
std::vector<Options> listedRuns(const Options &O) {
  std::vector<Options> Out;
  std::ifstream In(O.List);
  if (!In)
    throw std::runtime_error("cannot read " + O.List);
  for (std::string Line; std::getline(In, Line);) {
    if (Line.empty() || Line.front() == '#')
      continue;
    Options Listed = O;
    std::istringstream Words(Line);
    if (!(Words >> Listed.Seed >> Listed.Rounds))
      throw std::runtime_error(O.List + ": no seed and rounds in: " + Line);
    Out.push_back(Listed);
  }
  return Out;
}

std::vector<Options> chosenRuns(const Options &O) {
  if (!O.List.empty())
    return listedRuns(O);
  std::vector<Options> Out(O.Seeds, O);
  for (size_t I = 0; I < Out.size(); ++I)
    Out[I].Seed = O.Seed + I;
  return Out;
}

int run(const Options &O) {
  if (O.PrintSchedule) {
    std::cout << describe(drawSchedule(O.Seed, O.Of, O.Rounds));
    return 0;
  }
  const std::vector<Options> Runs = chosenRuns(O);
  std::vector<uint64_t> Failed;
  for (const Options &One : Runs)
    if (!runSeed(One))
      Failed.push_back(One.Seed);
  std::cout << "seeds run: " << Runs.size() << ", failed:";
  for (const uint64_t Seed : Failed)
    std::cout << " " << Seed;
  std::cout << (Failed.empty() ? " none" : "") << std::endl;
  return Failed.empty() ? 0 : 1;
}

} // namespace

} // namespace goldcrestlink::soak

int main(int Count, char **Arguments) {
  goldcrestlink::soak::Options O;
  CLI::App App("Fault soak of the programs in the present folder");
  App.add_option("--seed", O.Seed, "first seed");
  App.add_option("--seeds", O.Seeds, "how many seeds, one after another");
  App.add_option("--rounds", O.Rounds, "rounds in each");
  App.add_option("--entries", O.Of.Entries)->check(CLI::Range(1, 250));
  App.add_option("--engines", O.Of.Engines)->check(CLI::Range(1, 250));
  App.add_option("--plains", O.Of.Plains)->check(CLI::Range(1, 250));
  App.add_option("--rate", O.Rate, "calls per second");
  App.add_flag("--untimed", O.Untimed, "judge no bounds in time");
  App.add_flag("--print-schedule", O.PrintSchedule,
               "only print what the seed does");
  App.add_option("--list", O.List, "file of seeds and rounds to run");
  App.add_option("--folder", O.Folder, "for logs; removed where all is well");
  CLI11_PARSE(App, Count, Arguments);
  if (O.Untimed)
    O.Of.StopSeconds = goldcrestlink::soak::UntimedSeconds;
  try {
    return goldcrestlink::soak::run(O);
  } catch (const std::exception &Bad) {
    std::cerr << Bad.what() << "\n";
    return 2;
  }
}
