// The daemon: goldcrestlinkd --settings FILE. Exit codes: 0 stopped as asked,
// 1 could not start or failed, 2 bad settings or usage.
#include <cstdio>
#include <exception>

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include "base/finding.h"
#include "config/settings.h"
#include "daemon/entry_daemon.h"
#include "daemon/side_daemon.h"

int main(int Argc, char **Argv) {
  CLI::App App{"goldcrestlink daemon: an entry before, or a side beside, the "
               "upstreams. Stops gracefully on SIGTERM."};
  std::string File;
  bool PrintDefaults = false;
  bool CheckOnly = false;
  App.add_option("--settings", File, "settings file (INI)");
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
  if (File.empty()) {
    std::fputs("goldcrestlinkd: --settings FILE is needed\n", stderr);
    return 2;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Argv[0]);
  try {
    const auto Loaded = goldcrestlink::loadSettings(File);
    if (CheckOnly)
      return 0;
    return Loaded.ProcessRole == goldcrestlink::Role::Entry
               ? goldcrestlink::runEntry(Loaded)
               : goldcrestlink::runSide(Loaded);
  } catch (const goldcrestlink::FindingError &E) {
    std::fputs(E.what(), stderr);
    return 2;
  } catch (const std::exception &E) {
    std::fprintf(stderr, "goldcrestlinkd: %s\n", E.what());
    return 1;
  }
}
