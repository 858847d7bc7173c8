// The daemon: goldcrestlinkd --settings FILE. Exit codes: 0 after a graceful
// shutdown, 1 if it could not start or failed, 2 for invalid settings or usage.
#include <cstdio>
#include <cstdlib>
#include <exception>

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include "base/finding.h"
#include "config/settings.h"
#include "daemon/entry_daemon.h"
#include "daemon/fleet_entry.h"
#include "daemon/fleet_side.h"
#include "daemon/side_daemon.h"

namespace {

int runRole(const goldcrestlink::Settings &ProcessSettings,
            const std::string &File) {
  using goldcrestlink::Role;
  if (ProcessSettings.usesPlatformStore())
    return ProcessSettings.ProcessRole == Role::Entry
               ? goldcrestlink::runFleetEntry(ProcessSettings, File)
               : goldcrestlink::runFleetSide(ProcessSettings, File);
  return ProcessSettings.ProcessRole == Role::Entry
             ? goldcrestlink::runEntry(ProcessSettings)
             : goldcrestlink::runSide(ProcessSettings);
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"goldcrestlink daemon: an entry in front of, or a side "
               "beside, the upstreams. Stops gracefully on SIGTERM."};
  std::string File;
  bool PrintDefaults = false;
  bool CheckOnly = false;
  App.add_option("--settings", File, "settings file (INI)");
  std::string Variable;
  App.add_option("--settings-variable", Variable,
                 "environment variable that holds the settings file's path");
  App.add_flag("--print-defaults", PrintDefaults,
               "print a settings file with all defaults");
  App.add_flag("--check", CheckOnly, "check the settings and exit");
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &E) {
    return App.exit(E) == 0 ? 0 : 2;
  }
  if (PrintDefaults) {
    std::fputs(goldcrestlink::defaultSettingsText().c_str(), stdout);
    return 0;
  }
  if (const char *Path =
          Variable.empty() ? nullptr : std::getenv(Variable.c_str()))
    File = Path;
  if (File.empty()) {
    std::fputs("goldcrestlinkd: --settings FILE is required\n", stderr);
    return 2;
  }
  FLAGS_logtostdout = true;
  google::InitGoogleLogging(Argv[0]);
  try {
    const auto Loaded = goldcrestlink::loadSettings(File);
    if (CheckOnly)
      return 0;
    return runRole(Loaded, File);
  } catch (const goldcrestlink::FindingError &E) {
    std::fputs(E.what(), stderr);
    return 2;
  } catch (const std::exception &E) {
    std::fprintf(stderr, "goldcrestlinkd: %s\n", E.what());
    return 1;
  }
}
