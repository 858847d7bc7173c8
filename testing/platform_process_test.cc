// Tests of the real programs against stand-ins for the platform: settings
// files, the store, engines and a plain service over sockets, and signals.
// Tests wait for conditions rather than for fixed times.
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

constexpr double MaxWaitSeconds = 60;

// Two entries, two engines with one side each, and one plain service.
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
      return http::fetchBlocking(Ready[I], std::move(R), http::CallOptions())
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
      return http::fetchBlocking(Entries[Entry], std::move(R),
                                 http::CallOptions().setFreshConnection(true));
    } catch (const std::runtime_error &) {
      return {};
    }
  }

  // The value of a metric of the process at \p Host; empty if it is not
  // exported.
  std::string metric(const std::string &Host, const std::string &Name) const {
    http::Request R;
    R.Target = "/metrics";
    const http::Response Page =
        http::fetchBlocking({Host, static_cast<uint16_t>(MetricsPort)},
                            std::move(R), http::CallOptions());
    std::istringstream Lines(Page.Body);
    for (std::string Found, Value; Lines >> Found;)
      if (Found == Name && Lines >> Value)
        return Value;
    return "";
  }

  // Repeats a request until it is served: entries discover sides and engines
  // while these start.
  bool eventuallyServed(size_t Entry, const std::string &Target,
                        const std::string &Adapter = "") {
    return eventually(
        [&] { return call(Entry, Target, Adapter).Head.Status == 200; },
        MaxWaitSeconds);
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

size_t runCount(const Deployment &System, const std::string &Id) {
  return System.Platform.tally(Id).Ran.size();
}

void checkNoViolations(const Deployment &System) {
  for (const char *Id : {"e0", "e1"}) {
    CAPTURE(Id);
    CHECK(System.Platform.tally(Id).Violations == 0);
    CHECK(System.Platform.tally(Id).UnloadsInUse == 0);
  }
}

} // namespace

TEST_CASE("streams, plain calls and unknown routes from caller to upstream") {
  Deployment System;
  REQUIRE(eventually([&] { return System.ready(0) && System.ready(1); },
                     MaxWaitSeconds));
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  const http::Response Stream = System.call(0, "/stream/x", "a1");
  CHECK(Stream.Head.Status == 200);
  CHECK(Stream.Body.find("id: 5\n") != std::string::npos);
  CHECK(std::string(Stream.Head.header("Response-Seal")).substr(0, 5) ==
        "seal-");
  // More adapters than there are slots, through both entries.
  for (int I = 0; I < 30; ++I) {
    const std::string Adapter = "a" + std::to_string(I % 10);
    CHECK(System.call(static_cast<size_t>(I % 2), "/stream/x", Adapter)
              .Head.Status == 200);
  }
  REQUIRE(System.eventuallyServed(1, "/once/x"));
  CHECK(System.call(0, "/once/x", "", "hello").Body == "done hello");
  CHECK(System.call(0, "/none/x").Head.Status == 404);
  CHECK(System.call(0, "/once/x", "", std::string(200000, 'x')).Head.Status ==
        413);
  checkNoViolations(System);
}

TEST_CASE(
    "changes of configuration, drain state and adapter version take effect") {
  Deployment System;
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  REQUIRE(System.eventuallyServed(1, "/stream/x", "a1"));
  CHECK(System.call(0, "/extra/x").Head.Status == 404);
  System.Platform.putConfig(2, true);
  for (const size_t Entry : {0, 1})
    CHECK(System.eventuallyServed(Entry, "/extra/x"));

  // The store does not notify open watches when it drops its log of changes.
  System.Platform.dropHistory();
  System.Platform.putConfig(3, false);
  for (const size_t Entry : {0, 1})
    CHECK(eventually(
        [&] { return System.call(Entry, "/extra/x").Head.Status == 404; },
        MaxWaitSeconds));

  // Sides receive the configuration from entries.
  for (const char *Host : {"127.0.2.1", "127.0.2.2", "127.0.1.1", "127.0.1.2"})
    CHECK(eventually(
        [&] {
          return System.metric(Host, "goldcrestlink_config_version") == "3";
        },
        MaxWaitSeconds));

  System.Platform.release("a1", 2);
  CHECK(eventually(
      [&] {
        return System.call(0, "/stream/x", "a1")
                   .Head.header("Weight-Versions") == "2";
      },
      MaxWaitSeconds));

  System.Platform.drain("e0");
  // An entry has applied the drain once its requests for any adapter go to the
  // other engine.
  for (const size_t Entry : {0, 1})
    CHECK(eventually(
        [&] {
          const size_t Before = runCount(System, "e0");
          bool AllServed = true;
          for (int I = 0; I < 6; ++I)
            AllServed &=
                System.call(Entry, "/stream/x", "b" + std::to_string(I))
                    .Head.Status == 200;
          return AllServed && runCount(System, "e0") == Before;
        },
        MaxWaitSeconds));
  const size_t Before = runCount(System, "e0");
  for (int I = 0; I < 10; ++I)
    CHECK(System
              .call(static_cast<size_t>(I % 2), "/stream/x",
                    "c" + std::to_string(I))
              .Head.Status == 200);
  CHECK(runCount(System, "e0") == Before);
  checkNoViolations(System);
}

TEST_CASE("an entry restarted during a store outage serves requests") {
  Deployment System;
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  REQUIRE(System.eventuallyServed(1, "/stream/x", "a1"));
  System.Platform.setStoreDown(true);
  CHECK(System.call(0, "/stream/x", "a1").Head.Status == 200);
  // An entry that starts during the outage gets its state from the others.
  System.kill("entry1");
  System.startEntry(1);
  CHECK(eventually([&] { return System.ready(1); }, MaxWaitSeconds));
  CHECK(System.eventuallyServed(1, "/once/x"));
  CHECK(System.eventuallyServed(1, "/stream/x", "a1"));
  System.Platform.setStoreDown(false);
  System.Platform.putConfig(2, true);
  CHECK(System.eventuallyServed(1, "/extra/x"));
  checkNoViolations(System);
}

TEST_CASE("requests are served after engine restarts and the loss of a side") {
  Deployment System;
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  for (const char *Id : {"e0", "e1"})
    System.Platform.restartEngine(Id);
  CHECK(System.eventuallyServed(0, "/stream/x", "a1"));
  CHECK(System.eventuallyServed(1, "/stream/x", "a2"));
  System.kill("side0");
  for (int I = 0; I < 6; ++I)
    CHECK(System.eventuallyServed(0, "/stream/x", "d" + std::to_string(I)));
  checkNoViolations(System);
}

TEST_CASE("a graceful shutdown completes the requests in progress") {
  Deployment System;
  REQUIRE(System.eventuallyServed(0, "/stream/x", "a1"));
  REQUIRE(System.eventuallyServed(0, "/once/x"));
  std::atomic<bool> Sending{true};
  std::atomic<int> Truncated{0};
  std::atomic<int> Complete{0};
  // The caller sends requests until the process has exited. Each is answered in
  // full or not accepted at all.
  std::thread Caller([&] {
    while (Sending) {
      const http::Response R = System.call(0, "/stream/x", "a1");
      if (R.Head.Status == 200)
        ++(R.Body.find("id: 5\n") == std::string::npos ? Truncated : Complete);
    }
  });
  CHECK(eventually([&] { return Complete > 3; }, MaxWaitSeconds));
  CHECK(System.stop("entry0") == 0);
  Sending = false;
  Caller.join();
  CHECK(Truncated == 0);
  CHECK(System.eventuallyServed(1, "/stream/x", "a1"));
}
