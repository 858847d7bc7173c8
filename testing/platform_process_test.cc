// The real programs against stand-ins of the platform: settings, store, engines
// and plain service over sockets, with signals. Waits are on conditions.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "http/client.h"
#include "testing/platform_standin.h"
#include "testing/process.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

constexpr double Patience = 60;

// Two entries, two engines with a side each, one plain service.
class Deployment {
public:
  Deployment()
      : Folder(std::filesystem::temp_directory_path() /
               ("goldcrestlink-platform-" + std::to_string(::getpid()))),
        LinkPort(freePort()), MetricsPort(freePort()) {
    std::filesystem::create_directories(Folder);
    Platform.putConfig(1);
    for (int I = 0; I < 2; ++I) {
      startEngineAndSide(I);
    }
    Platform.addPlain("p", "127.0.3.1", static_cast<uint16_t>(freePort()));
    for (int I = 0; I < 2; ++I) {
      const std::string Host = "127.0.2." + std::to_string(I + 1);
      Entries.push_back({Host, static_cast<uint16_t>(freePort())});
      Ready.push_back({Host, static_cast<uint16_t>(freePort())});
      startEntry(I);
    }
  }

  ~Deployment() { std::filesystem::remove_all(Folder); }

  void startEntry(int I) {
    const std::string Host = Entries[static_cast<size_t>(I)].Address;
    start("entry" + std::to_string(I),
          "[process]\nrole = entry\ninstance = entry-" + std::to_string(I) +
              "\ndata_center = z\nlisten = " +
              Entries[static_cast<size_t>(I)].text() + "\n" +
              fleetSection(Host) +
              "ready_listen = " + Ready[static_cast<size_t>(I)].text() +
              "\npeers = 127.0.2.1:1 127.0.2.2:1\n[bounds]\nstop_s = 30\n");
  }

  bool ready(size_t I) const {
    try {
      http::Request R;
      R.Target = "/-/readiness";
      return http::fetchNow(Ready[I], std::move(R), http::CallOptions())
                 .Head.Status == 200;
    } catch (const std::runtime_error &) {
      return false;
    }
  }

  http::Response call(size_t Entry, const std::string &Target,
                      const std::string &Adapter = "",
                      const std::string &Body = "b") {
    http::Request R;
    R.Method = "POST";
    R.Target = Target;
    R.Body = Body;
    R.Fields = {{"Host", "h"},
                {"Request-Id", "r" + std::to_string(++LastId)},
                {"Request-Deadline", "20000"}};
    if (!Adapter.empty()) {
      R.Fields.push_back({"Model", "m/" + Adapter});
      R.Fields.push_back({"Token-Count", "100,20"});
    }
    try {
      return http::fetchNow(Entries[Entry], std::move(R),
                            http::CallOptions().setFreshConnection(true));
    } catch (const std::runtime_error &) {
      return {};
    }
  }

  // The value of a metric of the process at \p Host; empty if it has none.
  std::string metric(const std::string &Host, const std::string &Name) const {
    http::Request R;
    R.Target = "/metrics";
    const http::Response Page =
        http::fetchNow({Host, static_cast<uint16_t>(MetricsPort)}, std::move(R),
                       http::CallOptions());
    std::istringstream Lines(Page.Body);
    for (std::string Found, Value; Lines >> Found;)
      if (Found == Name && Lines >> Value)
        return Value;
    return "";
  }

  // Until it is served: entries learn of sides and engines as they come up.
  bool servedSoon(size_t Entry, const std::string &Target,
                  const std::string &Adapter = "") {
    return eventually(
        [&] { return call(Entry, Target, Adapter).Head.Status == 200; },
        Patience);
  }

  int stop(const std::string &Name) {
    Processes.at(Name)->signal(SIGTERM);
    const int Exit = Processes.at(Name)->wait();
    Processes.erase(Name);
    return Exit;
  }

  void kill(const std::string &Name) {
    Processes.at(Name)->signal(SIGKILL);
    Processes.at(Name)->wait();
    Processes.erase(Name);
  }

  PlatformStandIn Platform;
  std::vector<http::Endpoint> Entries;
  std::vector<http::Endpoint> Ready;

private:
  std::string fleetSection(const std::string &Host) const {
    return "[store]\naddress = " + Platform.store().text() +
           "\n[fleet]\naddress = " + Host +
           "\nlink_port = " + std::to_string(LinkPort) +
           "\nmetrics_port = " + std::to_string(MetricsPort) + "\n";
  }

  void startEngineAndSide(int I) {
    const std::string Number = std::to_string(I);
    const std::string Host = "127.0.1." + std::to_string(I + 1);
    const auto Port = static_cast<uint16_t>(freePort());
    Platform.addEngine("e" + Number, Host, Port);
    std::string Text = "[process]\nrole = side\ninstance = side-" + Number;
    Text += "\ndata_center = z\nlisten = " + Host + ":1\n";
    Text += fleetSection(Host);
    Text += "engine = " + Host + ":" + std::to_string(Port);
    Text += "\nservice = engines\n";
    start("side" + Number, Text);
  }

  void start(const std::string &Name, const std::string &Settings) {
    const std::string File = (Folder / (Name + ".ini")).string();
    std::ofstream(File) << Settings;
    Processes[Name] = std::make_unique<Process>(
        std::vector<std::string>{"./goldcrestlinkd", "--settings", File},
        (Folder / (Name + ".log")).string());
  }

  std::filesystem::path Folder;
  int LinkPort;
  int MetricsPort;
  int LastId = 0;
  std::map<std::string, std::unique_ptr<Process>> Processes;
};

size_t runsAt(const Deployment &D, const std::string &Id) {
  return D.Platform.tally(Id).Ran.size();
}

void checkNoViolations(const Deployment &D) {
  for (const char *Id : {"e0", "e1"}) {
    CAPTURE(Id);
    CHECK(D.Platform.tally(Id).Violations == 0);
    CHECK(D.Platform.tally(Id).UnloadsInUse == 0);
  }
}

} // namespace

TEST_CASE("the whole path: streams, plain calls, unknown routes") {
  Deployment D;
  REQUIRE(eventually([&] { return D.ready(0) && D.ready(1); }, Patience));
  REQUIRE(D.servedSoon(0, "/stream/x", "a1"));
  const http::Response Stream = D.call(0, "/stream/x", "a1");
  CHECK(Stream.Head.Status == 200);
  CHECK(Stream.Body.find("id: 5\n") != std::string::npos);
  CHECK(std::string(Stream.Head.header("Response-Seal")).substr(0, 5) ==
        "seal-");
  // More adapters than there are slots, through both entries.
  for (int I = 0; I < 30; ++I) {
    const std::string Adapter = "a" + std::to_string(I % 10);
    CHECK(
        D.call(static_cast<size_t>(I % 2), "/stream/x", Adapter).Head.Status ==
        200);
  }
  REQUIRE(D.servedSoon(1, "/once/x"));
  CHECK(D.call(0, "/once/x", "", "hello").Body == "done hello");
  CHECK(D.call(0, "/none/x").Head.Status == 404);
  CHECK(D.call(0, "/once/x", "", std::string(200000, 'x')).Head.Status == 413);
  checkNoViolations(D);
}

TEST_CASE("configuration, drains and versions are followed") {
  Deployment D;
  REQUIRE(D.servedSoon(0, "/stream/x", "a1"));
  REQUIRE(D.servedSoon(1, "/stream/x", "a1"));
  CHECK(D.call(0, "/extra/x").Head.Status == 404);
  D.Platform.putConfig(2, true);
  for (const size_t Entry : {0, 1})
    CHECK(D.servedSoon(Entry, "/extra/x"));

  // A watch that waits when the history is dropped is not told.
  D.Platform.dropHistory();
  D.Platform.putConfig(3, false);
  for (const size_t Entry : {0, 1})
    CHECK(
        eventually([&] { return D.call(Entry, "/extra/x").Head.Status == 404; },
                   Patience));

  // Sides learn it from entries.
  for (const char *Host : {"127.0.2.1", "127.0.2.2", "127.0.1.1", "127.0.1.2"})
    CHECK(eventually(
        [&] { return D.metric(Host, "goldcrestlink_config_version") == "3"; },
        Patience));

  D.Platform.release("a1", 2);
  CHECK(eventually(
      [&] {
        return D.call(0, "/stream/x", "a1").Head.header("Weight-Versions") ==
               "2";
      },
      Patience));

  D.Platform.drain("e0");
  // Both entries have learned of it once a request of each for any adapter
  // goes to the other engine.
  for (const size_t Entry : {0, 1})
    CHECK(eventually(
        [&] {
          const size_t Before = runsAt(D, "e0");
          bool All = true;
          for (int I = 0; I < 6; ++I)
            All &= D.call(Entry, "/stream/x", "b" + std::to_string(I))
                       .Head.Status == 200;
          return All && runsAt(D, "e0") == Before;
        },
        Patience));
  const size_t Before = runsAt(D, "e0");
  for (int I = 0; I < 10; ++I)
    CHECK(
        D.call(static_cast<size_t>(I % 2), "/stream/x", "c" + std::to_string(I))
            .Head.Status == 200);
  CHECK(runsAt(D, "e0") == Before);
  checkNoViolations(D);
}

TEST_CASE("the store's outage and restarts in it") {
  Deployment D;
  REQUIRE(D.servedSoon(0, "/stream/x", "a1"));
  REQUIRE(D.servedSoon(1, "/stream/x", "a1"));
  D.Platform.setStoreDown(true);
  CHECK(D.call(0, "/stream/x", "a1").Head.Status == 200);
  // An entry that starts meanwhile learns from the others.
  D.kill("entry1");
  D.startEntry(1);
  CHECK(eventually([&] { return D.ready(1); }, Patience));
  CHECK(D.servedSoon(1, "/once/x"));
  CHECK(D.servedSoon(1, "/stream/x", "a1"));
  D.Platform.setStoreDown(false);
  D.Platform.putConfig(2, true);
  CHECK(D.servedSoon(1, "/extra/x"));
  checkNoViolations(D);
}

TEST_CASE("engines that start again, sides that die") {
  Deployment D;
  REQUIRE(D.servedSoon(0, "/stream/x", "a1"));
  for (const char *Id : {"e0", "e1"})
    D.Platform.restartEngine(Id);
  CHECK(D.servedSoon(0, "/stream/x", "a1"));
  CHECK(D.servedSoon(1, "/stream/x", "a2"));
  D.kill("side0");
  for (int I = 0; I < 6; ++I)
    CHECK(D.servedSoon(0, "/stream/x", "d" + std::to_string(I)));
  checkNoViolations(D);
}

TEST_CASE("a planned stop answers what has begun") {
  Deployment D;
  REQUIRE(D.servedSoon(0, "/stream/x", "a1"));
  REQUIRE(D.servedSoon(0, "/once/x"));
  std::atomic<bool> Going{true};
  std::atomic<int> Cut{0};
  std::atomic<int> Whole{0};
  // A caller that goes on until the process is gone: its requests are answered
  // whole or not accepted at all.
  std::thread Caller([&] {
    while (Going) {
      const http::Response R = D.call(0, "/stream/x", "a1");
      if (R.Head.Status == 200)
        ++(R.Body.find("id: 5\n") == std::string::npos ? Cut : Whole);
    }
  });
  CHECK(eventually([&] { return Whole > 3; }, Patience));
  CHECK(D.stop("entry0") == 0);
  Going = false;
  Caller.join();
  CHECK(Cut == 0);
  CHECK(D.servedSoon(1, "/stream/x", "a1"));
}
