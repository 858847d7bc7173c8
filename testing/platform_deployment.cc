// Each process gets a settings file and a log file in a temporary folder.
// Engine I and its side listen on 127.0.1.(I+1), entry I on 127.0.2.(I+1).
#include "testing/platform_deployment.h"

#include <fstream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <signal.h>
#include <unistd.h>

#include "testing/standin_support.h"

namespace goldcrestlink::testing {

namespace {
constexpr int EntryCount = 2;
} // namespace

PlatformDeployment::PlatformDeployment(
    int EngineCount, int PlainCount, ProcessLimits InLimits,
    std::vector<OrganisationSpec> Organisations, std::string InEntryBounds)
    : Limits(InLimits),
      Folder(std::filesystem::temp_directory_path() /
             ("goldcrestlink-platform-" + std::to_string(::getpid()))),
      LinkPort(freePort()), MetricsPort(freePort()),
      EntryBounds(std::move(InEntryBounds)) {
  std::filesystem::create_directories(Folder);
  Platform.setBodyLimit(Limits.BodyBytes);
  Platform.setIdleTime(Limits.IdleMs);
  if (!Organisations.empty())
    Platform.setOrganisations(std::move(Organisations));
  Platform.putConfig(1);
  for (int I = 0; I < EngineCount; ++I)
    startEngineAndSide(I);
  for (int I = 0; I < PlainCount; ++I)
    Platform.addPlain(I == 0 ? "p" : "p" + std::to_string(I),
                      "127.0.3." + std::to_string(I + 1),
                      static_cast<uint16_t>(freePort()));
  for (int I = 0; I < EntryCount; ++I) {
    const std::string Host = "127.0.2." + std::to_string(I + 1);
    Entries.push_back({Host, static_cast<uint16_t>(freePort())});
    Ready.push_back({Host, static_cast<uint16_t>(freePort())});
    startEntry(I);
  }
}

PlatformDeployment::~PlatformDeployment() {
  std::filesystem::remove_all(Folder);
}

void PlatformDeployment::startEntry(int I) {
  const std::string Host = Entries[static_cast<size_t>(I)].Address;
  start("entry" + std::to_string(I),
        "[process]\nrole = entry\ninstance = entry-" + std::to_string(I) +
            "\ndata_center = z\nlisten = " +
            Entries[static_cast<size_t>(I)].text() + "\n" +
            fleetSection(Host,
                         I == 1 ? Platform.secondStore() : Platform.store()) +
            "ready_listen = " + Ready[static_cast<size_t>(I)].text() +
            "\npeers = 127.0.2.1:1 127.0.2.2:1\n[bounds]\nstop_s = " +
            std::to_string(Limits.StopSeconds) + "\n" + EntryBounds +
            limitsSection());
}

bool PlatformDeployment::ready(size_t I) const {
  try {
    http::Request R;
    R.Target = "/-/readiness";
    return http::fetchBlocking(Ready[I], std::move(R), http::CallOptions())
               .Head.Status == 200;
  } catch (const std::runtime_error &) {
    return false;
  }
}

http::Response PlatformDeployment::call(size_t Entry, const std::string &Target,
                                        const std::string &Adapter,
                                        const std::string &Body,
                                        const std::string &Prompt) {
  const std::string Id = "r" + std::to_string(++LastId);
  http::Request R;
  R.Method = "POST";
  R.Target = Target;
  R.Body = Body;
  R.Fields = {{"Host", "h"}, {"Request-Id", Id}, {"Request-Deadline", "20000"}};
  if (!Adapter.empty()) {
    R.Fields.push_back({"Model", "m/" + Adapter});
    R.Fields.push_back({"Token-Count", "100,20"});
  }
  if (!Authorization.empty())
    R.Fields.push_back({"Authorization", Authorization});
  if (!Prompt.empty())
    R.Fields.push_back({"Prompt-Prefix", Prompt});
  try {
    return http::fetchBlocking(Entries[Entry], std::move(R),
                               http::CallOptions().setFreshConnection(true));
  } catch (const std::runtime_error &) {
    return {};
  }
}

std::string PlatformDeployment::lastId() const {
  return "r" + std::to_string(LastId);
}

uint64_t StreamResult::lastEvent() const {
  const size_t End = Body.rfind("\n\n");
  const size_t At = End == std::string::npos ? End : Body.rfind("id: ", End);
  return At == std::string::npos
             ? 0
             : parseNumber(std::string_view(Body).substr(At + 4));
}

std::set<std::string> StreamResult::versions() const {
  constexpr std::string_view Key = "software=";
  std::set<std::string> Out;
  for (size_t At = Body.find(Key); At != std::string::npos;
       At = Body.find(Key, At + 1)) {
    const size_t Begin = At + Key.size();
    Out.insert(Body.substr(Begin, Body.find('\n', Begin) - Begin));
  }
  return Out;
}

StreamResult PlatformDeployment::stream(
    size_t Entry, const StreamRequest &Wanted, size_t Events,
    const std::function<void(const StreamResult &)> &OnEvents) {
  StreamResult Out;
  Out.RequestId = "r" + std::to_string(++LastId);
  http::Request R;
  R.Method = "POST";
  R.Target = "/resume/x";
  R.Body = "events=" + std::to_string(Wanted.Events);
  R.Fields = {{"Host", "h"},
              {"Request-Id", Out.RequestId},
              {"Request-Deadline", "20000"},
              {"Model", Wanted.Adapter.empty() ? "m" : "m/" + Wanted.Adapter},
              {"Token-Count", "100,20"}};
  if (!Authorization.empty())
    R.Fields.push_back({"Authorization", Authorization});
  if (!Wanted.Resumes.empty())
    R.Fields.push_back({"Resumes", Wanted.Resumes});
  if (Wanted.AfterEvent > 0)
    R.Fields.push_back({"Last-Event-Id", std::to_string(Wanted.AfterEvent)});
  boost::asio::io_context Io;
  http::Client Client(Io);
  bool Called = false;
  http::CallHandlers On;
  On.OnHead = [&](const http::ResponseHead &Head) {
    Out.Status = Head.Status;
    Out.HasRetryAfter = !Head.header("Retry-After").empty();
  };
  On.OnData = [&](std::string Part) {
    Out.Body += Part;
    if (Called || !OnEvents || Out.lastEvent() < Wanted.AfterEvent + Events)
      return;
    Called = true;
    OnEvents(Out);
  };
  On.OnDone = [&] { Out.Complete = true; };
  const Time Begin = currentTime().Steady;
  const auto Call =
      Client.start(Entries[Entry], std::move(R),
                   http::CallOptions().setFreshConnection(true), std::move(On));
  Io.run();
  Out.Took = currentTime().Steady - Begin;
  return Out;
}

std::string PlatformDeployment::metric(const std::string &Host,
                                       const std::string &Name) const {
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

bool PlatformDeployment::eventuallyServed(size_t Entry,
                                          const std::string &Target,
                                          const std::string &Adapter) {
  return eventually(
      [&] {
        checkRunning();
        return call(Entry, Target, Adapter).Head.Status == 200;
      },
      MaxWaitSeconds);
}

void PlatformDeployment::checkRunning() {
  for (const auto &[Name, P] : Processes)
    if (!P->running())
      throw std::runtime_error(Name + " has ended; its log:\n" + log(Name));
}

int PlatformDeployment::stop(const std::string &Name) {
  Processes.at(Name)->signal(SIGTERM);
  const int Exit = Processes.at(Name)->wait();
  Processes.erase(Name);
  return Exit;
}

void PlatformDeployment::signal(const std::string &Name, int Number) const {
  Processes.at(Name)->signal(Number);
}

void PlatformDeployment::kill(const std::string &Name) {
  Processes.at(Name)->signal(SIGKILL);
  Processes.at(Name)->wait();
  Processes.erase(Name);
}

std::string PlatformDeployment::log(const std::string &Name) const {
  std::ifstream File(Folder / (Name + ".log"));
  return {std::istreambuf_iterator<char>(File), {}};
}

std::string
PlatformDeployment::fleetSection(const std::string &Host,
                                 const http::Endpoint &Store) const {
  return "[store]\naddress = " + Store.text() + "\n[fleet]\naddress = " + Host +
         "\nlink_port = " + std::to_string(LinkPort) +
         "\nmetrics_port = " + std::to_string(MetricsPort) + "\n";
}

std::string PlatformDeployment::limitsSection() const {
  std::string Out = "[limits]\n";
  if (Limits.MemoryMb > 0)
    Out += "memory_mb = " + std::to_string(Limits.MemoryMb) + "\n";
  if (Limits.MaxConnections > 0)
    Out += "max_connections = " + std::to_string(Limits.MaxConnections) + "\n";
  return Out;
}

http::Endpoint PlatformDeployment::metricsOf(const std::string &Host) const {
  return {Host, static_cast<uint16_t>(MetricsPort)};
}

void PlatformDeployment::startEngineAndSide(int I) {
  const std::string Number = std::to_string(I);
  const std::string Host = "127.0.1." + std::to_string(I + 1);
  const auto Port = static_cast<uint16_t>(freePort());
  Platform.addEngine("e" + Number, Host, Port);
  Engines.push_back({Host, Port});
  startSide("side" + Number, Engines.back());
}

void PlatformDeployment::startSide(const std::string &Name,
                                   const http::Endpoint &Engine) {
  std::string Text = "[process]\nrole = side\ninstance = " + Name;
  Text += "\ndata_center = z\nlisten = " + Engine.Address + ":1\n";
  Text += fleetSection(Engine.Address, Platform.store());
  Text += "engine = " + Engine.text();
  Text += "\nservice = engines\n" + limitsSection();
  start(Name, Text);
}

bool PlatformDeployment::running(const std::string &Name) const {
  return Processes.at(Name)->running();
}

double PlatformDeployment::peakMemoryMb(const std::string &Name) const {
  return Processes.at(Name)->peakMemoryMb();
}

double PlatformDeployment::memoryMb(const std::string &Name) const {
  return Processes.at(Name)->memoryMb();
}

size_t PlatformDeployment::openFiles(const std::string &Name) const {
  return Processes.at(Name)->openFiles();
}

void PlatformDeployment::start(const std::string &Name,
                               const std::string &Settings) {
  const std::string File = (Folder / (Name + ".ini")).string();
  std::ofstream(File) << Settings;
  Processes[Name] = std::make_unique<Process>(
      std::vector<std::string>{"./goldcrestlinkd", "--settings", File},
      (Folder / (Name + ".log")).string());
}

} // namespace goldcrestlink::testing
