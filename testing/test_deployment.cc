// Every process listens on free ports, and has its settings file and log file
// in the work folder. The start waits for conditions rather than for fixed
// times; each wait is bounded by StartSeconds, which leaves room for a busy
// machine.
#include "testing/test_deployment.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "http/client.h"

namespace goldcrestlink::testing {

namespace {

constexpr double StartSeconds = 60;
constexpr const char *Cell = "cell-1";
constexpr const char *Loopback = "127.0.0.1";

http::Endpoint freeEndpoint() {
  return {Loopback, static_cast<uint16_t>(freePort())};
}

std::string fetchBody(const http::Endpoint &To, http::Request R) {
  try {
    return http::fetchBlocking(To, std::move(R), http::CallOptions()).Body;
  } catch (const std::runtime_error &) {
    return {};
  }
}

} // namespace

TestDeployment::TestDeployment(DeploymentOptions InShape,
                               std::string InPrograms, std::string InWork)
    : Shape(std::move(InShape)), Programs(std::move(InPrograms)),
      Work(std::move(InWork)) {
  std::filesystem::remove_all(Work);
  std::filesystem::create_directories(Work + "/declarations");
  plan();
}

ManagedProcess TestDeployment::makeProcess(const std::string &Name) {
  ManagedProcess M;
  M.Name = Name;
  M.Http = freeEndpoint();
  M.Admin = freeEndpoint();
  M.Wire = freeEndpoint();
  return M;
}

void TestDeployment::plan() {
  Platform = makeProcess("platform");
  Platform.Command = {Programs + "/standin_platform", "--listen",
                      Platform.Http.text()};
  Store = makeProcess("store");
  Store.Command = {Programs + "/standin_store",
                   "--listen",
                   Store.Http.text(),
                   "--rate",
                   std::to_string(Shape.StoreRate),
                   "--burst",
                   std::to_string(Shape.StoreBurst),
                   "--in-flight",
                   std::to_string(Shape.StoreInFlight)};
  for (size_t I = 0; I < Shape.Engines; ++I) {
    ManagedProcess M = makeProcess("engine-" + std::to_string(I + 1));
    M.Command = {Programs + "/standin_engine",
                 "--listen",
                 M.Http.text(),
                 "--admin",
                 M.Admin.text(),
                 "--slots",
                 std::to_string(Shape.Slots),
                 "--max-batch",
                 std::to_string(Shape.MaxBatch),
                 "--step-ms",
                 std::to_string(Shape.StepMs),
                 "--load-fails-one-in",
                 std::to_string(Shape.LoadFailsOneIn),
                 "--crash-down-ms",
                 std::to_string(Shape.CrashDownMs),
                 "--seed",
                 std::to_string(Shape.Seed + I)};
    if (Shape.UseStore) {
      M.Command.push_back("--store");
      M.Command.push_back(Store.Http.text());
    }
    Engines.push_back(std::move(M));
  }
  for (size_t I = 0; I < Shape.Services; ++I) {
    ManagedProcess M = makeProcess("ledger-" + std::to_string(I + 1));
    M.Command = {Programs + "/standin_service", "--listen", M.Http.text()};
    if (Shape.ServicesCheckFencing)
      M.Command.push_back("--checks-fencing");
    M.Admin = M.Http;
    Services.push_back(std::move(M));
  }
  planSides(EngineSides, Engines, "side-");
  planSides(ServiceSides, Services, "side-");
  for (size_t I = 0; I < Shape.Entries; ++I) {
    ManagedProcess M = makeProcess("entry-" + std::to_string(I + 1));
    M.Command = {Programs + "/goldcrestlinkd", "--settings",
                 Work + "/" + M.Name + ".ini"};
    Entries.push_back(std::move(M));
  }
  for (size_t I = 0; I < Entries.size(); ++I) {
    std::string Text = settingsText(Entries[I], "entry");
    if (Shape.Relay)
      Text.insert(Text.find("listen ="),
                  "source_address = 127.0.0." + std::to_string(I + 2) + "\n");
    writeFile(Work + "/" + Entries[I].Name + ".ini", Text);
  }
  if (!Shape.Relay)
    return;
  Relay = makeProcess("relay");
  Relay.Command = {Programs + "/standin_relay", "--admin", Relay.Admin.text()};
  for (auto *Sides : {&EngineSides, &ServiceSides})
    for (ManagedProcess &M : *Sides) {
      const http::Endpoint Listen = M.Admin;
      Relay.Command.push_back(M.Wire.text() + "=" + Listen.text());
    }
}

void TestDeployment::planSides(std::vector<ManagedProcess> &Sides,
                               const std::vector<ManagedProcess> &Upstreams,
                               const char *Prefix) {
  for (const ManagedProcess &Upstream : Upstreams) {
    ManagedProcess M = makeProcess(Prefix + Upstream.Name);
    M.Command = {Programs + "/goldcrestlinkd", "--settings",
                 Work + "/" + M.Name + ".ini"};
    // With a relay, the declared address belongs to the relay, and the side
    // listens on a second address.
    const http::Endpoint Listen = Shape.Relay ? M.Admin : M.Wire;
    writeFile(Work + "/" + M.Name + ".ini",
              settingsText(M, "side") + "[side]\nupstream = " + Upstream.Name +
                  "\nlisten = " + Listen.text() + "\n");
    Sides.push_back(std::move(M));
  }
}

std::string TestDeployment::settingsText(const ManagedProcess &Target,
                                         const std::string &Role) const {
  std::string Peers;
  for (const auto *Sides : {&EngineSides, &ServiceSides})
    for (const ManagedProcess &Side : *Sides)
      if (Side.Name != Target.Name)
        Peers += " " + Side.Wire.text();
  std::string Text =
      "[process]\nrole = " + Role + "\ninstance = " + Target.Name +
      "\ndata_center = dc-1\ncell = " + Cell +
      "\nlisten = " + Target.Http.text() +
      "\ntraffic_threads = " + std::to_string(Shape.TrafficThreads) + "\n";
  Text += "[platform]\nendpoints = " + Platform.Http.text() + "\n";
  // The settings parser limits the length of a line; about six addresses fit
  // into one.
  if (!Peers.empty())
    Text += "peers =" + Peers.substr(0, Peers.find(' ', 120)) + "\n";
  if (!Shape.Strategy.empty())
    Text += "[strategy]\n" + Shape.Strategy;
  return Text;
}

void TestDeployment::writeFile(const std::string &Path,
                               const std::string &Text) const {
  std::ofstream(Path, std::ios::binary) << Text;
}

void TestDeployment::writeDeclarations() {
  std::ostringstream Base;
  Base << "[policy]\nlease_ms = " << Shape.LeaseMs
       << "\nclock_skew_ms = " << Shape.ClockSkewMs << "\n[store]\n"
       << "loads_per_second = " << Shape.StoreRate
       << "\nconcurrent = " << Shape.StoreBurst
       << "\nfull_speed_in_flight = " << Shape.StoreInFlight << "\n";
  Base << "[rank urgent]\npriority = 0\ntarget_ms = 4000\ndeadline_ms = 8000\n"
          "share = 0.3\nworth = 8\n"
          "[rank standard]\npriority = 1\ntarget_ms = 15000\n"
          "deadline_ms = 25000\nshare = 0.3\nworth = 2\n"
          "[rank bulk]\npriority = 2\ntarget_ms = 45000\ndeadline_ms = 70000\n"
          "share = 0.2\nworth = 1\n"
          "[application scribe]\nranks = standard urgent bulk\n"
          "[application desk]\nranks = standard urgent\n"
          "[route /work-orders]\nservice = ledger\nidempotent = no\n"
          "rank = standard\n"
          "[route /records]\nservice = ledger\nidempotent = yes\n"
          "rank = standard\n";
  const auto Upstream = [&](const char *Kind, const ManagedProcess &M,
                            const ManagedProcess &Side,
                            const std::string &More) {
    Base << "[" << Kind << " " << M.Name
         << "]\ndata_center = dc-1\ncell = " << Cell
         << "\nside = " << Side.Wire.text() << "\naddress = " << M.Http.text()
         << "\n"
         << More;
  };
  for (size_t I = 0; I < Engines.size(); ++I)
    Upstream("engine", Engines[I], EngineSides[I],
             "model = oak\nslots = " + std::to_string(Shape.Slots) +
                 "\nmax_concurrent = " + std::to_string(Shape.MaxBatch) + "\n");
  for (size_t I = 0; I < Services.size(); ++I)
    Upstream("service", Services[I], ServiceSides[I],
             std::string("service = ledger\nmax_concurrent = 64\n"
                         "checks_fencing = ") +
                 (Shape.ServicesCheckFencing ? "yes\n" : "no\n"));
  writeFile(Work + "/declarations/base.ini", Base.str());
  std::ostringstream Adapters;
  for (size_t I = 0; I < Shape.Adapters; ++I)
    Adapters << "[adapter a" << I
             << "]\nmodel = oak\nversions = " << Shape.Versions << "\n";
  writeFile(Work + "/declarations/adapters.ini", Adapters.str());
}

int TestDeployment::tool(const std::vector<std::string> &Arguments) {
  std::vector<std::string> Command = {Programs + "/goldcrestlink"};
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  return Process(Command, Work + "/tool.log").wait();
}

int TestDeployment::apply() {
  writeDeclarations();
  return tool(
      {"apply", Work + "/declarations", "--platform", Platform.Http.text()});
}

void TestDeployment::launch(ManagedProcess &Target) {
  Target.Child = std::make_unique<Process>(Target.Command,
                                           Work + "/" + Target.Name + ".log");
}

void TestDeployment::restart(ManagedProcess &Target) {
  Target.Child.reset();
  launch(Target);
}

std::string TestDeployment::admin(const http::Endpoint &To,
                                  const std::string &Target,
                                  const std::string &Method,
                                  const std::string &Body) {
  http::Request R;
  R.Method = Method;
  R.Target = Target;
  R.Body = Body;
  return fetchBody(To, std::move(R));
}

void TestDeployment::start() {
  launch(Platform);
  if (Shape.UseStore)
    launch(Store);
  for (auto *Group : {&Engines, &Services})
    for (ManagedProcess &M : *Group)
      launch(M);
  if (Shape.Relay)
    launch(Relay);
  const auto Answers = [&](const http::Endpoint &To, const char *Target) {
    return !admin(To, Target, "GET").empty();
  };
  bool Started = eventually(
      [&] { return Answers(Platform.Http, "/admin/counts"); }, StartSeconds);
  setInstances({});
  Started = Started && apply() == 0;
  for (auto *Group : {&EngineSides, &ServiceSides, &Entries})
    for (ManagedProcess &M : *Group)
      launch(M);
  Started =
      Started && eventually([&] { return allHaveGeneration(1); }, StartSeconds);
  // The route is idempotent, so this does not wait until the shards of
  // idempotency keys have owners.
  const auto Served = [&] {
    http::Request R;
    R.Target = "/records/start";
    return fetchBody(Entries.front().Http, std::move(R)).find("done") !=
           std::string::npos;
  };
  if (!Services.empty())
    Started = Started && eventually(Served, StartSeconds);
  if (!Started)
    throw std::runtime_error(
        "the deployment did not start in time; see the logs in " + Work);
}

bool TestDeployment::allHaveGeneration(uint64_t Generation) {
  const std::string AtEntry = "generation " + std::to_string(Generation) + "\n";
  const std::string AtSide = "} " + std::to_string(Generation) + "\n";
  for (const ManagedProcess &M : Entries)
    if (admin(M.Http, "/status", "GET").rfind(AtEntry, 0) != 0)
      return false;
  for (const auto *Group : {&EngineSides, &ServiceSides})
    for (const ManagedProcess &M : *Group) {
      const std::string Text = admin(M.Http, "/status", "GET");
      const size_t End = Text.find('\n');
      if (End == std::string::npos ||
          Text.substr(0, End + 1).find(AtSide) == std::string::npos)
        return false;
    }
  return true;
}

uint64_t TestDeployment::sumEngineCounter(const std::string &Name) {
  uint64_t Sum = 0;
  for (const ManagedProcess &M : Engines) {
    std::istringstream Lines(admin(M.Admin, "/admin/counts", "GET"));
    std::string Key;
    uint64_t Value = 0;
    while (Lines >> Key >> Value)
      Sum += Key == Name ? Value : 0;
  }
  return Sum;
}

std::vector<std::string>
TestDeployment::runs(const std::vector<ManagedProcess> &Upstreams) {
  std::vector<std::string> Out;
  for (const ManagedProcess &M : Upstreams) {
    std::istringstream Lines(admin(M.Admin, "/admin/runs", "GET"));
    for (std::string Line; std::getline(Lines, Line);)
      Out.push_back(Line);
  }
  return Out;
}

void TestDeployment::setInstances(const std::vector<std::string> &Draining,
                                  const std::vector<std::string> &Gone) {
  const auto Contains = [](const std::vector<std::string> &List,
                           const std::string &Name) {
    return std::find(List.begin(), List.end(), Name) != List.end();
  };
  std::string Json;
  for (const auto *Group : {&Engines, &Services})
    for (const ManagedProcess &M : *Group)
      if (!Contains(Gone, M.Name))
        Json += std::string(Json.empty() ? "" : ",") + "{\"name\":\"" + M.Name +
                "\",\"state\":\"" +
                (Contains(Draining, M.Name) ? "leaving" : "live") + "\"}";
  admin(Platform.Http, "/admin/instances", "PUT", "[" + Json + "]");
}

bool TestDeployment::stopGracefully() {
  bool Clean = true;
  for (auto *Group : {&Entries, &EngineSides, &ServiceSides}) {
    for (ManagedProcess &M : *Group)
      if (M.Child)
        M.Child->signal(SIGTERM);
    for (ManagedProcess &M : *Group)
      Clean &= !M.Child || M.Child->wait() == 0;
  }
  return Clean;
}

} // namespace goldcrestlink::testing
