// The operators' command-line tool:
// goldcrestlink check|diff|apply|status|explain|check-settings|fleet|story.
// Exit codes: 0 success; 1 failure or unknown outcome; 2 findings or wrong
// usage; 3 conflict with another operator. Each command reads its files once;
// calls to the platform and to processes have timeouts.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "base/bounded_json.h"
#include "cli/apply.h"
#include "cli/fleet_view.h"
#include "cli/request_timeline.h"
#include "config/settings.h"
#include "http/client.h"

using namespace goldcrestlink;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitFindings = 2;
constexpr int ExitConflict = 3;

struct Arguments {
  std::string Folder;
  std::vector<std::string> Platform = {"127.0.0.1:9000"};
  std::vector<std::string> Processes;
  std::string Model;
  std::vector<std::string> Files;
  std::string Store = "127.0.0.1:9000";
  std::string RequestId;
  uint64_t IfGeneration = 0;
  bool Json = false;
};

std::vector<http::Endpoint> endpoints(const std::vector<std::string> &Texts) {
  std::vector<http::Endpoint> Out;
  for (const std::string &Text : Texts)
    Out.push_back(http::Endpoint::parse(Text));
  return Out;
}

void printLines(const std::vector<std::string> &Lines, bool Json) {
  if (Json) {
    std::printf("%s\n", nlohmann::json(Lines).dump().c_str());
    return;
  }
  for (const std::string &Line : Lines)
    std::printf("%s\n", Line.c_str());
}

int check(const Arguments &Args) {
  FindingList Findings;
  const auto D =
      Declarations::parse(readDeclarationFiles(Args.Folder), 0, Findings);
  if (!Findings.empty())
    throw FindingError(Findings);
  const std::vector<std::string> Ranks = describeRanks(*D);
  if (Args.Json) {
    std::printf("%s\n", nlohmann::json{{"adapters", D->adapters().size()},
                                       {"upstreams", D->upstreams().size()},
                                       {"ranks", Ranks}}
                            .dump()
                            .c_str());
    return 0;
  }
  std::printf("valid: %zu adapters, %zu upstreams, %zu routes\n",
              D->adapters().size(), D->upstreams().size(), D->routes().size());
  printLines(Ranks, false);
  return 0;
}

int diff(const Arguments &Args) {
  BlockingObjectClient Platform(endpoints(Args.Platform));
  const RemoteConfig Remote = readRemoteConfig(Platform);
  printLines(diffDeclarations(Remote.Files, readDeclarationFiles(Args.Folder)),
             Args.Json);
  return 0;
}

int apply(const Arguments &Args) {
  BlockingObjectClient Platform(endpoints(Args.Platform));
  const RemoteConfig Base = readRemoteConfig(Platform);
  if (Args.IfGeneration && Base.Head.Generation != Args.IfGeneration) {
    std::fprintf(stderr,
                 "generation %llu is in force; --if-generation requires %llu\n",
                 static_cast<unsigned long long>(Base.Head.Generation),
                 static_cast<unsigned long long>(Args.IfGeneration));
    return ExitConflict;
  }
  const ApplyResult R =
      applyDeclarations(Platform, readDeclarationFiles(Args.Folder), Base);
  static const char *Names[] = {"applied", "unchanged", "raced", "unknown"};
  const char *Name = Names[static_cast<size_t>(R.Outcome)];
  if (Args.Json)
    std::printf("%s\n", nlohmann::json{{"outcome", Name},
                                       {"generation", R.Generation},
                                       {"changes", R.Changes}}
                            .dump()
                            .c_str());
  else
    std::printf("%s: generation %llu\n", Name,
                static_cast<unsigned long long>(R.Generation));
  if (R.Outcome == ApplyOutcome::Conflict) {
    std::fprintf(
        stderr,
        "another operator applied a configuration first; its changes:\n");
    if (!Args.Json)
      printLines(R.Changes, false);
    return ExitConflict;
  }
  return R.Outcome == ApplyOutcome::Unknown ? ExitFailed : 0;
}

// Prints the status of each declared cell, which one side of the cell keeps in
// the object API. Fails if the status of a cell cannot be read.
int cellStatus(const Arguments &Args) {
  BlockingObjectClient Platform(endpoints(Args.Platform));
  FindingList Findings;
  const auto D =
      Declarations::parse(readRemoteConfig(Platform).Files, 0, Findings);
  std::set<std::string> Cells;
  for (const UpstreamDecl &U : D->upstreams())
    Cells.insert(U.Cell);
  int Exit = 0;
  nlohmann::json All = nlohmann::json::array();
  for (const std::string &Cell : Cells) {
    ObjectValue Value;
    if (Platform.read(objects::cellStatus(Cell), Value) != ObjectStatus::Ok) {
      std::fprintf(stderr, "cannot read the status of cell %s\n", Cell.c_str());
      Exit = ExitFailed;
      continue;
    }
    nlohmann::json Status = parseJson(Value.Body);
    if (!Status.is_object()) {
      std::fprintf(stderr, "the status of cell %s is unreadable\n",
                   Cell.c_str());
      Exit = ExitFailed;
      continue;
    }
    All.push_back(std::move(Status));
  }
  if (Args.Json) {
    std::printf("%s\n", All.dump().c_str());
    return Exit;
  }
  for (const auto &Cell : All)
    for (const auto &P : Cell.value("processes", nlohmann::json::array()))
      std::printf("%s %s\n", Cell.value("cell", "").c_str(), P.dump().c_str());
  return Exit;
}

// Prints the HTTP page \p Target of each process; fails if a process does not
// answer.
int printPages(const Arguments &Args, const std::string &Target) {
  int Exit = 0;
  nlohmann::json All = nlohmann::json::object();
  for (const std::string &Process : Args.Processes) {
    http::Request R;
    R.Target = Target;
    std::string Body;
    try {
      Body = http::fetchBlocking(
                 http::Endpoint::parse(Process), R,
                 http::CallOptions().setReadTimeout(std::chrono::seconds(3)))
                 .Body;
    } catch (const std::runtime_error &E) {
      Body = std::string(E.what()) + "\n";
      Exit = ExitFailed;
    }
    if (Args.Json)
      All[Process] = Body;
    else
      std::printf("%s\n%s", Process.c_str(), Body.c_str());
  }
  if (Args.Json)
    std::printf("%s\n", All.dump().c_str());
  return Exit;
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    throw std::runtime_error("cannot read " + Path);
  return {std::istreambuf_iterator<char>(In), std::istreambuf_iterator<char>()};
}

// Checks all files before it reports the findings of all of them.
int checkSettings(const Arguments &Args) {
  std::string Findings;
  for (const std::string &File : Args.Files)
    try {
      parseSettings(File, readFile(File));
    } catch (const FindingError &E) {
      Findings += E.what();
    }
  if (Findings.empty()) {
    std::printf("valid: %zu files\n", Args.Files.size());
    return 0;
  }
  std::fputs(Findings.c_str(), stderr);
  return ExitFindings;
}

int fleet(const Arguments &Args) {
  constexpr Duration Timeout = std::chrono::seconds(5);
  const Catalog C = readFleet(http::Endpoint::parse(Args.Store), Timeout);
  std::printf("%s\n", (Args.Json ? fleetJson(C) : fleetText(C)).c_str());
  return 0;
}

// Prints the timeline of one request; fails if no log line has its id.
int story(const Arguments &Args) {
  std::vector<LogLine> All;
  for (const std::string &File : Args.Files) {
    const auto Lines = readLogLines(std::filesystem::path(File).stem().string(),
                                    readFile(File));
    All.insert(All.end(), Lines.begin(), Lines.end());
  }
  const std::vector<LogLine> Story = requestTimeline(Args.RequestId, All);
  nlohmann::json Objects = nlohmann::json::array();
  for (const LogLine &L : Story)
    if (Args.Json)
      Objects.push_back(
          {{"t", L.UnixSeconds}, {"process", L.Source}, {"line", L.Text}});
    else
      std::printf("%+8.0f ms  %-12s %s\n",
                  (L.UnixSeconds - Story.front().UnixSeconds) * 1000,
                  L.Source.c_str(), L.Text.c_str());
  if (Args.Json)
    std::printf("%s\n", Objects.dump().c_str());
  if (!Story.empty())
    return 0;
  std::fprintf(stderr, "no log line has request id %s\n",
               Args.RequestId.c_str());
  return ExitFailed;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{
      "goldcrestlink operator's tool. Exit codes: 0 success, 1 failure or "
      "unknown outcome, 2 findings or wrong usage, 3 conflict with "
      "another operator."};
  App.require_subcommand(1);
  Arguments Args;
  App.add_flag("--json", Args.Json, "machine-readable output");
  const auto AddPlatform = [&](CLI::App *Sub) {
    Sub->add_option("--platform", Args.Platform, "ip:port of the object API");
  };
  auto *Check = App.add_subcommand("check", "check a folder of declarations");
  auto *Diff = App.add_subcommand("diff", "compare a folder with the "
                                          "configuration in force");
  auto *Apply = App.add_subcommand(
      "apply", "apply all declarations of a folder atomically");
  for (auto *Sub : {Check, Diff, Apply})
    Sub->add_option("folder", Args.Folder, "folder of .ini files")->required();
  AddPlatform(Diff);
  AddPlatform(Apply);
  Apply->add_option("--if-generation", Args.IfGeneration,
                    "apply only if this generation is in force");
  auto *Status = App.add_subcommand(
      "status", "show the state of all cells, or of the processes given");
  AddPlatform(Status);
  Status->add_option("--process", Args.Processes,
                     "ip:port of a process's HTTP server");
  auto *Explain = App.add_subcommand(
      "explain", "show where an entry would route a request");
  Explain
      ->add_option("--process", Args.Processes,
                   "ip:port of an entry's HTTP server")
      ->required();
  Explain->add_option("model", Args.Model, "adapter@version")->required();
  auto *Settings =
      App.add_subcommand("check-settings", "check settings files of processes");
  Settings->add_option("file", Args.Files)->required();
  auto *Fleet = App.add_subcommand(
      "fleet", "list routes and upstreams from the platform's store");
  Fleet->add_option("--store", Args.Store, "ip:port of the platform's store");
  auto *Story = App.add_subcommand(
      "story", "show the log lines about one request, sorted by time");
  Story->add_option("--request", Args.RequestId, "Request-Id of the request")
      ->required();
  Story->add_option("log", Args.Files, "log files of processes")->required();
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &E) {
    return App.exit(E) == 0 ? 0 : ExitFindings;
  }
  try {
    if (Check->parsed())
      return check(Args);
    if (Diff->parsed())
      return diff(Args);
    if (Apply->parsed())
      return apply(Args);
    if (Status->parsed())
      return Args.Processes.empty() ? cellStatus(Args)
                                    : printPages(Args, "/status");
    if (Settings->parsed())
      return checkSettings(Args);
    if (Fleet->parsed())
      return fleet(Args);
    if (Story->parsed())
      return story(Args);
    return printPages(Args, "/explain?model=" + Args.Model);
  } catch (const FindingError &E) {
    std::fputs(E.what(), stderr);
    return ExitFindings;
  } catch (const std::exception &E) {
    std::fprintf(stderr, "goldcrestlink: %s\n", E.what());
    return ExitFailed;
  }
}
