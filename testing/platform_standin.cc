// One thread runs the store and all upstreams. Each public function posts its
// work to that thread and waits for the result.
#include "testing/platform_standin.h"

#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "testing/standin_support.h"

namespace goldcrestlink::testing {

using Json = nlohmann::json;

namespace {

constexpr const char *UnreadableName = "unreadable";
// Of a configuration that is not the operator's; newer than any of these.
constexpr int OtherConfigVersion = 1000000;

Json routeSpec(const char *Name, const char *Kind, const char *Service) {
  return {{"name", Name},
          {"host", "h"},
          {"path_prefix", std::string("/") + Name + "/"},
          {"kind", Kind},
          {"timeout_ms", 20000},
          {"goal_ms", 5000},
          {"priority", 0},
          {"service", Service},
          {"max_attempts", PlatformStandIn::MaxAttempts}};
}

Json configSpec(int Version, bool Extra, size_t BodyBytes, int IdleMs) {
  Json Routes = {routeSpec("once", "non_idempotent", "plain"),
                 routeSpec("read", "idempotent", "plain"),
                 routeSpec("stream", "streaming", "engines")};
  Json Resume = routeSpec("resume", "streaming", "engines");
  Resume["can_resume"] = true;
  Routes.push_back(Resume);
  if (Extra)
    Routes.push_back(routeSpec("extra", "idempotent", "plain"));
  const Json Model = {{"name", "m"},
                      {"weights_mb", 100},
                      {"load_time_s", 0.05},
                      {"adapters", 100},
                      {"adapter_mb", 1}};
  return {{"version", Version},
          {"routes", Routes},
          {"services",
           {{{"name", "plain"}, {"health_path", "/health"}, {"max_conns", 50}},
            {{"name", "engines"},
             {"health_path", "/health"},
             {"max_conns", 50},
             {"engine",
              {{"slots", 8},
               {"kv_tokens", 100000},
               {"adapter_slots", UpstreamStandIn::AdapterSlots},
               {"weights_mb", 200},
               {"models", {Model}}}}}}},
          {"limits",
           {{"header_bytes", 16384},
            {"body_bytes", BodyBytes},
            {"header_ms", 3000},
            {"idle_ms", IdleMs}}}};
}

Json serverRecord(const UpstreamStandIn &U) {
  return {{"service", U.spec().Service},
          {"address", U.spec().Published.text()},
          {"zone", "z"},
          {"version", U.softwareVersion()},
          {"slots", 6},
          {"state", U.draining() ? "draining" : "ready"},
          {"cold_left_ms", 0},
          {"seq", U.orderCount()},
          {"born", U.incarnation()}};
}

} // namespace

struct PlatformStandIn::State {
  State()
      : Store(Io), Thread([this] {
          auto Guard = boost::asio::make_work_guard(Io);
          Io.run();
        }) {
    Common.OnRestarted = [this](const UpstreamStandIn &U) {
      if (!Unlisted.contains(U.spec().Id))
        writeRecord(U);
    };
  }

  ~State() {
    Io.stop();
    Thread.join();
  }

  UpstreamStandIn &at(const std::string &Name) { return *Upstreams.at(Name); }

  void writeRecord(const UpstreamStandIn &U) {
    Store.put("servers", U.spec().Id, serverRecord(U));
  }

  void rewrite() {
    writeConfig();
    for (const auto &[Adapter, Release] : Common.Releases)
      writeRelease(Adapter, Release.Version);
    std::set<std::string> Listed;
    for (const auto &[Name, U] : Upstreams) {
      if (Unlisted.contains(Name))
        continue;
      Listed.insert(U->spec().Id);
      if (U->running())
        writeRecord(*U);
    }
    for (const std::string &Id : Store.names("servers"))
      if (!Listed.contains(Id) && Id != UnreadableName)
        Store.erase("servers", Id);
  }

  void writeConfig() {
    Json Spec = configSpec(ConfigVersion, HasExtraRoute, BodyBytes, IdleMs);
    for (const OrganisationSpec &O : Organisations) {
      Json Organisation = {{"name", O.Name}, {"keys", O.Keys}};
      if (O.Rank)
        Organisation["priority"] = *O.Rank;
      Spec["tenants"].push_back(Organisation);
    }
    if (HasPublicRoute)
      for (Json &Route : Spec["routes"])
        Route["public"] = Route["name"] == "read";
    Store.put("config", "main", Spec);
  }

  void writeRelease(const std::string &Adapter, int Version) {
    Store.put("versions", "m." + Adapter,
              {{"model", "m"}, {"adapter", Adapter}, {"version", Version}});
  }

  int ConfigVersion = 0;
  size_t BodyBytes = 100000;
  int IdleMs = 15000;
  bool HasExtraRoute = false;
  std::vector<OrganisationSpec> Organisations;
  bool HasPublicRoute = false;
  // Upstreams whose records were removed.
  std::set<std::string> Unlisted;
  boost::asio::io_context Io{1};
  StoreStandIn Store;
  UpstreamsShared Common;
  std::map<std::string, std::unique_ptr<UpstreamStandIn>> Upstreams;
  std::thread Thread;
};

template <class F> auto PlatformStandIn::onThread(F Do) const {
  return callOn(Impl->Io, std::move(Do));
}

PlatformStandIn::PlatformStandIn(UpstreamObserver *Observer)
    : Impl(std::make_unique<State>()) {
  onThread([&] { Impl->Common.Observer = Observer; });
}

PlatformStandIn::~PlatformStandIn() = default;

http::Endpoint PlatformStandIn::store() const {
  return {"127.0.0.1", onThread([&] { return Impl->Store.port(); })};
}

void PlatformStandIn::putConfig(int Version, bool Extra) {
  onThread([&] {
    Impl->ConfigVersion = Version;
    Impl->HasExtraRoute = Extra;
    Impl->writeConfig();
  });
}

void PlatformStandIn::setOrganisations(
    std::vector<OrganisationSpec> Organisations, bool PublicRoute) {
  onThread([&] {
    Impl->Organisations = std::move(Organisations);
    Impl->HasPublicRoute = PublicRoute;
  });
}

http::Endpoint PlatformStandIn::secondStore() const {
  return {"127.0.0.1", onThread([&] { return Impl->Store.secondPort(); })};
}

void PlatformStandIn::setSecondStoreRefused(bool Refused) {
  onThread([&] { Impl->Store.setSecondRefused(Refused); });
}

void PlatformStandIn::setBodyLimit(size_t Bytes) {
  onThread([&] { Impl->BodyBytes = Bytes; });
}

void PlatformStandIn::setIdleTime(int Ms) {
  onThread([&] { Impl->IdleMs = Ms; });
}

void PlatformStandIn::addEngine(const std::string &Id,
                                const std::string &Address, uint16_t Port) {
  add({Id, "engines", {Address, Port}, {Address, Port}, true});
}

void PlatformStandIn::addPlain(const std::string &Id,
                               const std::string &Address, uint16_t Port) {
  add({Id, "plain", {Address, Port}, {Address, Port}, false});
}

void PlatformStandIn::add(UpstreamStandIn::Spec Description) {
  onThread([&] {
    const std::string Name = Description.Id;
    auto &U = Impl->Upstreams[Name];
    U = std::make_unique<UpstreamStandIn>(Impl->Io, std::move(Description),
                                          Impl->Common);
    U->start(Name);
    Impl->writeRecord(*U);
  });
}

void PlatformStandIn::putUpstream(const std::string &Id,
                                  const std::string &Service,
                                  const http::Endpoint &Address) {
  onThread([&] {
    const UpstreamStandIn U(Impl->Io, {Id, Service, Address, Address, false},
                            Impl->Common);
    Impl->Store.put("servers", Id, serverRecord(U));
  });
}

http::Endpoint PlatformStandIn::address(const std::string &Name) const {
  return onThread([&] { return Impl->at(Name).spec().Published; });
}

void PlatformStandIn::drain(const std::string &Name) {
  onThread([&] {
    Impl->at(Name).setDraining(currentTime().Steady);
    Impl->writeRecord(Impl->at(Name));
  });
}

void PlatformStandIn::restore(const std::string &Name) {
  onThread([&] {
    Impl->at(Name).setDraining(Time{});
    Impl->Unlisted.erase(Name);
    Impl->writeRecord(Impl->at(Name));
  });
}

void PlatformStandIn::remove(const std::string &Name) {
  onThread([&] {
    Impl->at(Name).setDraining(currentTime().Steady);
    Impl->Unlisted.insert(Name);
    Impl->Store.erase("servers", Impl->at(Name).spec().Id);
  });
}

void PlatformStandIn::putGarbage() {
  onThread([&] {
    Impl->Store.put("servers", UnreadableName,
                    {{"service", 7}, {"address", Json::array()}});
    Impl->Store.put("versions", "unreadable", {{"model", nullptr}});
    Impl->Store.put("config", "unreadable", {{"version", "x"}});
    Impl->Store.put("config", "other",
                    {{"version", OtherConfigVersion},
                     {"routes", Json::array()},
                     {"services", Json::array()}});
  });
}

void PlatformStandIn::putUpstreamText(const std::string &Name,
                                      const std::string &Spec) {
  onThread([&] {
    Spec.empty() ? Impl->Store.erase("servers", Name)
                 : Impl->Store.putSpecText("servers", Name, Spec);
  });
}

void PlatformStandIn::putUpstreamObjectText(const std::string &Name,
                                            const std::string &Object) {
  onThread([&] {
    Object.empty() ? Impl->Store.erase("servers", Name)
                   : Impl->Store.putObjectText("servers", Name, Object);
  });
}

void PlatformStandIn::setStorePageSize(size_t Count) {
  onThread([&] { Impl->Store.setPageSize(Count); });
}

void PlatformStandIn::restartEngine(const std::string &Name) {
  onThread([&] {
    Impl->at(Name).resetState();
    Impl->writeRecord(Impl->at(Name));
  });
}

void PlatformStandIn::crash(const std::string &Name) {
  onThread([&] {
    if (Impl->at(Name).running())
      Impl->at(Name).crash();
  });
}

bool PlatformStandIn::start(const std::string &Name, const std::string &Id) {
  return onThread([&] {
    UpstreamStandIn &U = Impl->at(Name);
    if (U.running())
      return false;
    const std::string PreviousId = U.spec().Id;
    if (!Id.empty() && Id != PreviousId)
      Impl->Store.erase("servers", PreviousId);
    U.start(Id.empty() ? PreviousId : Id);
    U.setDraining(Time{});
    Impl->Unlisted.erase(Name);
    Impl->writeRecord(U);
    return true;
  });
}

void PlatformStandIn::setFault(const std::string &Name, UpstreamFault F) {
  onThread([&] { Impl->at(Name).setFault(F); });
}

void PlatformStandIn::setLimit(const std::string &Name,
                               const std::string &PerSecond) {
  onThread([&] { Impl->at(Name).setLimit(PerSecond); });
}

void PlatformStandIn::setLeaving(const std::string &Name) {
  onThread([&] { Impl->at(Name).setLeaving(); });
}

void PlatformStandIn::setRetryAfter(const std::string &Name,
                                    const std::string &Seconds) {
  onThread([&] { Impl->at(Name).setRetryAfter(Seconds); });
}

void PlatformStandIn::setSoftwareVersion(const std::string &Name,
                                         const std::string &Version) {
  onThread([&] {
    Impl->at(Name).setSoftwareVersion(Version);
    Impl->writeRecord(Impl->at(Name));
  });
}

void PlatformStandIn::setDeadly(const std::string &Part,
                                const std::string &Body, CrashKind How) {
  onThread([&] {
    Impl->Common.DeadlyPart = Part;
    Impl->Common.DeadlyBody = Body;
    Impl->Common.HowDeadlyCrash = How;
  });
}

int PlatformStandIn::crashesByRequests() const {
  return onThread([&] {
    int Sum = 0;
    for (const auto &[Name, U] : Impl->Upstreams)
      Sum += U->tally().Crashes;
    return Sum;
  });
}

void PlatformStandIn::release(const std::string &Adapter, int Version) {
  onThread([&] {
    Impl->Common.Releases[Adapter] = {Version, currentTime().Steady};
    Impl->writeRelease(Adapter, Version);
  });
}

void PlatformStandIn::setStoreFault(StoreFault F) {
  onThread([&] { Impl->Store.setFault(F); });
}

void PlatformStandIn::dropHistory() {
  onThread([&] { Impl->Store.dropHistory(); });
}

void PlatformStandIn::restoreStore(Duration Age, bool Rewrite) {
  onThread([&] {
    Impl->Store.restore(currentTime().Steady, Age);
    if (Rewrite)
      Impl->rewrite();
  });
}

void PlatformStandIn::rewriteStore() {
  onThread([&] { Impl->rewrite(); });
}

uint64_t PlatformStandIn::storeRevision() const {
  return onThread([&] { return Impl->Store.revision(); });
}

UpstreamTally PlatformStandIn::tally(const std::string &Name) const {
  return onThread([&] { return Impl->at(Name).tally(); });
}

std::map<std::string, int>
PlatformStandIn::held(const std::string &Name) const {
  return onThread([&] { return Impl->at(Name).held(); });
}

} // namespace goldcrestlink::testing
