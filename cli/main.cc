// The command-line tool:
// goldcrestlink check|diff|apply|status|explain|check-settings|fleet|story.
// Exit codes: 0 done; 1 failed or unknown; 2 findings or usage; 3 lost a race.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "cli/apply.h"
#include "cli/fleet_view.h"
#include "cli/request_story.h"
#include "config/settings.h"
#include "http/client.h"

using namespace goldcrestlink;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitFindings = 2;
constexpr int ExitRaced = 3;

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

int check(const Arguments &A) {
  FindingList Findings;
  const auto D =
      Declarations::parse(readDeclarationFiles(A.Folder), 0, Findings);
  if (!Findings.empty())
    throw FindingError(Findings);
  if (A.Json)
    std::printf("%s\n", nlohmann::json{{"adapters", D->adapters().size()},
                                       {"upstreams", D->upstreams().size()}}
                            .dump()
                            .c_str());
  else
    std::printf("valid: %zu adapters, %zu upstreams, %zu routes\n",
                D->adapters().size(), D->upstreams().size(),
                D->routes().size());
  return 0;
}

int diff(const Arguments &A) {
  BlockingObjectClient Platform(endpoints(A.Platform));
  const RemoteConfig Remote = readRemote(Platform);
  printLines(diffSets(Remote.Files, readDeclarationFiles(A.Folder)), A.Json);
  return 0;
}

int apply(const Arguments &A) {
  BlockingObjectClient Platform(endpoints(A.Platform));
  const RemoteConfig Base = readRemote(Platform);
  if (A.IfGeneration && Base.Head.Generation != A.IfGeneration) {
    std::fprintf(stderr, "generation %llu is in force, not %llu\n",
                 static_cast<unsigned long long>(Base.Head.Generation),
                 static_cast<unsigned long long>(A.IfGeneration));
    return ExitRaced;
  }
  const ApplyResult R =
      applySet(Platform, readDeclarationFiles(A.Folder), Base);
  static const char *Names[] = {"applied", "unchanged", "raced", "unknown"};
  const char *Name = Names[static_cast<size_t>(R.Outcome)];
  if (A.Json)
    std::printf("%s\n", nlohmann::json{{"outcome", Name},
                                       {"generation", R.Generation},
                                       {"changes", R.Changes}}
                            .dump()
                            .c_str());
  else
    std::printf("%s: generation %llu\n", Name,
                static_cast<unsigned long long>(R.Generation));
  if (R.Outcome == ApplyOutcome::Raced) {
    std::fprintf(stderr, "another operator applied first; it changed:\n");
    if (!A.Json)
      printLines(R.Changes, false);
    return ExitRaced;
  }
  return R.Outcome == ApplyOutcome::Unknown ? ExitFailed : 0;
}

// Prints the status that each cell's status writer keeps on the platform.
int cellStatus(const Arguments &A) {
  BlockingObjectClient Platform(endpoints(A.Platform));
  FindingList Findings;
  const auto D = Declarations::parse(readRemote(Platform).Files, 0, Findings);
  std::set<std::string> Cells;
  for (const UpstreamDecl &U : D->upstreams())
    Cells.insert(U.Cell);
  int Exit = 0;
  nlohmann::json All = nlohmann::json::array();
  for (const std::string &Cell : Cells) {
    ObjectValue Value;
    if (Platform.read(objects::cellStatus(Cell), Value) != ObjectStatus::Ok) {
      std::fprintf(stderr, "cell %s has no status\n", Cell.c_str());
      Exit = ExitFailed;
      continue;
    }
    All.push_back(nlohmann::json::parse(Value.Body));
  }
  if (A.Json) {
    std::printf("%s\n", All.dump().c_str());
    return Exit;
  }
  for (const auto &Cell : All)
    for (const auto &P : Cell["processes"])
      std::printf("%s %s\n", Cell.value("cell", "").c_str(), P.dump().c_str());
  return Exit;
}

// Prints one page of each process; fails if one does not answer.
int page(const Arguments &A, const std::string &Target) {
  int Exit = 0;
  nlohmann::json All = nlohmann::json::object();
  for (const std::string &Process : A.Processes) {
    http::Request R;
    R.Target = Target;
    std::string Body;
    try {
      Body = http::fetchNow(
                 http::Endpoint::parse(Process), R,
                 http::CallOptions().setSilenceTimeout(std::chrono::seconds(3)))
                 .Body;
    } catch (const std::runtime_error &E) {
      Body = std::string(E.what()) + "\n";
      Exit = ExitFailed;
    }
    if (A.Json)
      All[Process] = Body;
    else
      std::printf("%s\n%s", Process.c_str(), Body.c_str());
  }
  if (A.Json)
    std::printf("%s\n", All.dump().c_str());
  return Exit;
}

std::string fileText(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    throw std::runtime_error("cannot read " + Path);
  return {std::istreambuf_iterator<char>(In), std::istreambuf_iterator<char>()};
}

// Reports the findings of all files together.
int checkSettings(const Arguments &A) {
  std::string Findings;
  for (const std::string &File : A.Files)
    try {
      parseSettings(File, fileText(File));
    } catch (const FindingError &E) {
      Findings += E.what();
    }
  if (Findings.empty()) {
    std::printf("valid: %zu files\n", A.Files.size());
    return 0;
  }
  std::fputs(Findings.c_str(), stderr);
  return ExitFindings;
}

int fleet(const Arguments &A) {
  constexpr Duration Longest = std::chrono::seconds(5);
  const Catalog C = readFleet(http::Endpoint::parse(A.Store), Longest);
  std::printf("%s\n", (A.Json ? fleetJson(C) : fleetText(C)).c_str());
  return 0;
}

// Prints what the logs say of one request; fails if they do not name it.
int story(const Arguments &A) {
  std::vector<LogLine> All;
  for (const std::string &File : A.Files) {
    const auto Lines = readLogLines(std::filesystem::path(File).stem().string(),
                                    fileText(File));
    All.insert(All.end(), Lines.begin(), Lines.end());
  }
  const std::vector<LogLine> Story = requestStory(A.RequestId, All);
  nlohmann::json Objects = nlohmann::json::array();
  for (const LogLine &L : Story)
    if (A.Json)
      Objects.push_back({{"t", L.At}, {"process", L.Source}, {"line", L.Text}});
    else
      std::printf("%+8.0f ms  %-12s %s\n", (L.At - Story.front().At) * 1000,
                  L.Source.c_str(), L.Text.c_str());
  if (A.Json)
    std::printf("%s\n", Objects.dump().c_str());
  if (!Story.empty())
    return 0;
  std::fprintf(stderr, "no line names request %s\n", A.RequestId.c_str());
  return ExitFailed;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"goldcrestlink operator's tool. Exit codes: 0 done, 1 failed, "
               "2 findings or usage, 3 another operator was faster."};
  App.require_subcommand(1);
  Arguments A;
  App.add_flag("--json", A.Json, "machine-readable output");
  const auto AddPlatform = [&](CLI::App *Sub) {
    Sub->add_option("--platform", A.Platform, "ip:port of the object API");
  };
  auto *Check = App.add_subcommand("check", "check a folder of declarations");
  auto *Diff = App.add_subcommand("diff", "compare a folder with what is in "
                                          "force");
  auto *Apply = App.add_subcommand("apply", "apply a folder as a whole");
  for (auto *Sub : {Check, Diff, Apply})
    Sub->add_option("folder", A.Folder, "folder of .ini files")->required();
  AddPlatform(Diff);
  AddPlatform(Apply);
  Apply->add_option("--if-generation", A.IfGeneration,
                    "apply only if this generation is in force");
  auto *Status = App.add_subcommand(
      "status", "state of all cells, or of the processes named");
  AddPlatform(Status);
  Status->add_option("--process", A.Processes, "ip:port of a process's HTTP");
  auto *Explain = App.add_subcommand("explain", "where a request would go");
  Explain->add_option("--process", A.Processes, "ip:port of an entry's HTTP")
      ->required();
  Explain->add_option("model", A.Model, "adapter@version")->required();
  auto *Settings =
      App.add_subcommand("check-settings", "check settings files of processes");
  Settings->add_option("file", A.Files)->required();
  auto *Fleet = App.add_subcommand(
      "fleet", "what the platform's store says of routes and upstreams");
  Fleet->add_option("--store", A.Store, "ip:port of the platform's store");
  auto *Story =
      App.add_subcommand("story", "what logs say of one request, in order");
  Story->add_option("--request", A.RequestId, "its Request-Id")->required();
  Story->add_option("log", A.Files, "log files of processes")->required();
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &E) {
    return App.exit(E) == 0 ? 0 : ExitFindings;
  }
  try {
    if (Check->parsed())
      return check(A);
    if (Diff->parsed())
      return diff(A);
    if (Apply->parsed())
      return apply(A);
    if (Status->parsed())
      return A.Processes.empty() ? cellStatus(A) : page(A, "/status");
    if (Settings->parsed())
      return checkSettings(A);
    if (Fleet->parsed())
      return fleet(A);
    if (Story->parsed())
      return story(A);
    return page(A, "/explain?model=" + A.Model);
  } catch (const FindingError &E) {
    std::fputs(E.what(), stderr);
    return ExitFindings;
  } catch (const std::exception &E) {
    std::fprintf(stderr, "goldcrestlink: %s\n", E.what());
    return ExitFailed;
  }
}
