// Stand-ins of runners that follow the platform's pages: a plain service and a
// model runner with adapters, orders and streams.
#ifndef GOLDCRESTLINK_REVIEW_RUNNERS_H
#define GOLDCRESTLINK_REVIEW_RUNNERS_H

#include "testbed.h"

namespace review {

/// One request that a runner began to work on.
struct Run {
  double At = 0;
  std::string RequestId;
  std::string Adapter;
  int Version = 0;
};

inline Json plainRoute(const std::string &Name, const std::string &Kind,
                       const std::string &Service, int TimeoutMs) {
  return {{"name", Name},
          {"host", "desk.example"},
          {"path_prefix", "/" + Name + "/"},
          {"kind", Kind},
          {"timeout_ms", TimeoutMs},
          {"goal_ms", 1000},
          {"priority", 2},
          {"service", Service},
          {"max_attempts", 2},
          {"sticky", false},
          {"can_resume", false}};
}

inline Json limits() {
  return {{"header_bytes", 16384},
          {"body_bytes", 4194304},
          {"header_ms", 3000},
          {"idle_ms", 15000}};
}

inline Json plainService(const std::string &Name) {
  return {{"name", Name},
          {"health_path", "/health"},
          {"max_conns", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

/// The engine of the smaller deployment, with fewer adapters.
inline Json engineService(const std::string &Name) {
  Json Out = plainService(Name);
  Out["max_conns"] = 620;
  Out["engine"] = {{"slots", 128},
                   {"kv_tokens", 148227},
                   {"stride", 2},
                   {"models", Json::array({{{"name", "m0"},
                                            {"weights_mb", 16100},
                                            {"load_time_s", 0.95},
                                            {"adapters", 40},
                                            {"adapter_mb", 14}}})},
                   {"weights_mb", 17000},
                   {"adapter_slots", 17},
                   {"loads_per_s", 7}};
  return Out;
}

/// Common part: identity, record in the store, and the runs.
class Runner {
public:
  Runner(Testbed &Bed, std::string Id, std::string Service, Address Listen,
         int Slots)
      : Bed(Bed), Id(std::move(Id)), Service(std::move(Service)), Slots(Slots),
        Born(static_cast<int64_t>(::time(nullptr)) * 1000),
        Http(std::move(Listen), [this](const auto &C, Message &Request) {
          return serve(C, Request);
        }) {}
  virtual ~Runner() { Http.stop(); }
  Runner(const Runner &) = delete;
  Runner &operator=(const Runner &) = delete;

  const Address &address() const { return Http.address(); }
  const std::string &id() const { return Id; }
  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Runs;
  }
  void registerAs(const std::string &State) {
    Bed.Platform.put("servers", Id, description(State));
  }
  /// Ends the process of the runner.
  void exit() { Http.stop(); }

protected:
  virtual Json description(const std::string &State) {
    return {{"service", Service}, {"address", address().text()},
            {"zone", "zone-a"},   {"version", "v1"},
            {"slots", Slots},     {"state", State},
            {"cold_left_ms", 0},  {"seq", 0},
            {"born", Born}};
  }
  virtual bool onRequest(const std::shared_ptr<Connection> &C,
                         const Message &Request) = 0;
  virtual bool onOwnCall(const std::shared_ptr<Connection> &C,
                         const Message &) {
    return C->write(responseText(404, {}, ""));
  }
  void noteRun(const Message &Request, const std::string &Adapter,
               int Version) {
    const std::string Number = Request.field("Request-Id");
    Runs.push_back({now(), Number, Adapter, Version});
    Bed.Log.add("run id=" + Number + " at=" + Id +
                (Adapter.empty()
                     ? ""
                     : " adapter=" + Adapter + "@" + std::to_string(Version)));
  }
  Fields seal(const Message &Request) const {
    return {{"Request-Id", Request.field("Request-Id")},
            {"Response-Seal", "seal." + Id}};
  }

  Testbed &Bed;
  std::string Id;
  std::string Service;
  int Slots;
  int64_t Born;
  std::mutex Mutex;
  std::vector<Run> Runs;

private:
  bool serve(const std::shared_ptr<Connection> &C, const Message &Request) {
    const std::string Target = Request.target();
    if (Target == "/health")
      return C->write(responseText(200, {{"Instance-Id", Id}}, ""));
    const std::string Expected = Request.field("Expect-Instance");
    if (!Expected.empty() && Expected != Id)
      return C->write(responseText(421, {{"Instance-Id", Id}}, ""));
    if (Target.compare(0, 3, "/-/") == 0)
      return onOwnCall(C, Request);
    return onRequest(C, Request);
  }

  Server Http;
};

/// A plain service: each run takes a fixed time. A path that ends in
/// "bytes=N" asks for an answer of that size.
class PlainRunner : public Runner {
public:
  PlainRunner(Testbed &Bed, const std::string &Id, const std::string &Service,
              const Address &Listen, double RunTime)
      : Runner(Bed, Id, Service, Listen, 6), RunTime(RunTime) {}
  ~PlainRunner() override { exit(); }

private:
  bool onRequest(const std::shared_ptr<Connection> &C,
                 const Message &Request) override {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      noteRun(Request, "", 0);
    }
    sleepFor(RunTime);
    const std::string Target = Request.target();
    const size_t At = Target.find("bytes=");
    const std::string Body =
        At == std::string::npos
            ? "done " + Request.Body
            : std::string(std::stoul(Target.substr(At + 6)), 'x');
    return C->write(responseText(200, seal(Request), Body));
  }

  double RunTime;
};

/// A model runner with one model that it holds from the start.
class EngineRunner : public Runner {
public:
  static constexpr size_t AdapterSlots = 17;
  static constexpr double LoadTime = 0.25;
  static constexpr double EventInterval = 0.02;

  EngineRunner(Testbed &Bed, const std::string &Id, const std::string &Service,
               const Address &Listen)
      : Runner(Bed, Id, Service, Listen, 128) {}
  ~EngineRunner() override { exit(); }

  /// The newest version of an adapter; the caller writes its record.
  void setNewest(const std::string &Adapter, int Version) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Newest[Adapter] = Version;
  }
  std::map<std::string, int> held() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    finishLoads();
    return Held;
  }
  size_t runsOf(const std::string &Adapter) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return InUse.count(Adapter) ? InUse.at(Adapter) : 0;
  }

protected:
  Json description(const std::string &State) override {
    Json Out = Runner::description(State);
    Out["stage"] = "both";
    Out["models"] = models();
    return Out;
  }

private:
  int newest(const std::string &Adapter) const {
    const auto It = Newest.find(Adapter);
    return It == Newest.end() ? 1 : It->second;
  }
  void finishLoads() {
    for (auto It = Coming.begin(); It != Coming.end();) {
      if (now() < It->second) {
        ++It;
        continue;
      }
      Held[It->first] = newest(It->first);
      It = Coming.erase(It);
    }
  }
  Json models() const {
    Json Names = Json::array();
    for (const auto &[Name, Version] : Held)
      Names.push_back(Name + "@" + std::to_string(Version));
    return Json::array({{{"name", "m0"}, {"version", 1}, {"adapters", Names}}});
  }
  bool onOwnCall(const std::shared_ptr<Connection> &C,
                 const Message &Request) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    finishLoads();
    if (Request.target() == "/-/report") {
      Json Names = Json::array();
      for (const auto &[Name, Until] : Coming)
        Names.push_back("m0/" + Name + "@" + std::to_string(newest(Name)));
      size_t Running = 0;
      for (const auto &[Name, Count] : InUse)
        Running += Count;
      const Json Out = {
          {"stage", "both"}, {"models", models()}, {"busy", false},
          {"seq", Sequence}, {"waiting", 0},       {"running", Running},
          {"kv_used", 0},    {"kv_total", 148227}, {"handles", 0},
          {"coming", Names}, {"born", Born}};
      return C->write(responseText(200, {{"Content-Type", "application/json"}},
                                   Out.dump()));
    }
    if (Request.target() == "/-/order") {
      const int Status = onOrder(Json::parse(Request.Body));
      Bed.Log.add("order at=" + Id + " " + Request.Body + " -> " +
                  std::to_string(Status));
      return C->write(responseText(Status, {}, ""));
    }
    return C->write(responseText(404, {}, ""));
  }
  int onOrder(const Json &Order) {
    if (!Order.contains("holder") || !Order.contains("fence_token"))
      return 400;
    if (!Unloading.empty() ||
        (Order.contains("expect") && Order["expect"] != Sequence))
      return 409;
    const std::string Adapter = Order.value("adapter", "");
    const bool IsLoad = Order.value("operation", "") == "model_load";
    if (Adapter.empty())
      return IsLoad ? 200 : 400;
    if (IsLoad) {
      if (Held.count(Adapter) && Held[Adapter] == newest(Adapter))
        return 200;
      if (Held.size() + Coming.size() + 1 > AdapterSlots)
        Bed.Log.add("over the limit of adapters at=" + Id);
      ++Sequence;
      Coming[Adapter] = now() + LoadTime;
      return 202;
    }
    if (!Held.count(Adapter))
      return 200;
    ++Sequence;
    if (InUse[Adapter] > 0) {
      Unloading = Adapter;
      return 202;
    }
    Held.erase(Adapter);
    return 200;
  }
  bool onRequest(const std::shared_ptr<Connection> &C,
                 const Message &Request) override {
    const std::string Model = Request.field("Model");
    const std::string Adapter = Model.substr(Model.find('/') + 1);
    int Version = 0;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      finishLoads();
      const std::string Expected = Request.field("Expect-Version");
      if (!Held.count(Adapter) ||
          (!Expected.empty() && std::stoi(Expected) != Held[Adapter]))
        return C->write(
            responseText(421,
                         {{"Request-Id", Request.field("Request-Id")},
                          {"Not-Executed", "1"}},
                         ""));
      if (Unloading == Adapter)
        return C->write(
            responseText(503,
                         {{"Request-Id", Request.field("Request-Id")},
                          {"Not-Executed", "1"}},
                         ""));
      Version = Held[Adapter];
      ++InUse[Adapter];
      noteRun(Request, Adapter, Version);
    }
    const bool Kept = stream(C, Request, Version);
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (--InUse[Adapter] == 0 && Unloading == Adapter) {
      Held.erase(Adapter);
      Unloading.clear();
    }
    return Kept;
  }
  bool stream(const std::shared_ptr<Connection> &C, const Message &Request,
              int Version) {
    Fields Head = seal(Request);
    Head.emplace_back("Content-Type", "text/event-stream");
    Head.emplace_back("Weight-Versions", std::to_string(Version));
    Head.emplace_back("Transfer-Encoding", "chunked");
    std::string Text = "HTTP/1.1 200 OK\r\n";
    for (const auto &[Name, Value] : Head)
      Text += Name + ": " + Value + "\r\n";
    if (!C->write(Text + "\r\n"))
      return false;
    const size_t At = Request.Body.find("events=");
    const int Events =
        At == std::string::npos ? 20 : std::stoi(Request.Body.substr(At + 7));
    for (int I = 1; I <= Events; ++I) {
      sleepFor(EventInterval);
      const std::string Event = "id: " + std::to_string(I) + "\ndata: x\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      if (C->closedByPeer() || !C->write(Size + Event + "\r\n"))
        return false;
    }
    return C->write("0\r\n\r\n");
  }

  int64_t Sequence = 0;
  std::map<std::string, int> Newest;
  std::map<std::string, int> Held;
  std::map<std::string, double> Coming;
  std::map<std::string, size_t> InUse;
  std::string Unloading;
};

} // namespace review

#endif // GOLDCRESTLINK_REVIEW_RUNNERS_H
