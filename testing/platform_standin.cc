// The store keeps objects by kind and a log of changes; watches that wait are
// answered by the next change of their kind. Engines load an adapter by a timer
// and stream a few events per request.
#include "testing/platform_standin.h"

#include <charconv>
#include <future>
#include <list>
#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "http/server.h"

namespace goldcrestlink::testing {

using Json = nlohmann::json;
using Answer = std::shared_ptr<http::Responder>;

namespace {

constexpr size_t AdapterSlots = 2;
constexpr auto LoadTime = std::chrono::milliseconds(30);
constexpr auto EventPause = std::chrono::milliseconds(10);
constexpr int EventsPerStream = 5;
const http::Headers JsonType = {{"Content-Type", "application/json"}};

uint64_t numberOf(std::string_view Text) {
  uint64_t Out = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Out;
}

Json configSpec(int Version, bool Extra) {
  const auto Route = [](const char *Name, const char *Kind,
                        const char *Service) {
    return Json{{"name", Name},
                {"host", "h"},
                {"path_prefix", std::string("/") + Name + "/"},
                {"kind", Kind},
                {"timeout_ms", 20000},
                {"goal_ms", 5000},
                {"priority", 0},
                {"service", Service},
                {"max_attempts", 2}};
  };
  Json Routes = {Route("once", "non_idempotent", "plain"),
                 Route("read", "idempotent", "plain"),
                 Route("stream", "streaming", "engines")};
  if (Extra)
    Routes.push_back(Route("extra", "idempotent", "plain"));
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
               {"adapter_slots", AdapterSlots},
               {"weights_mb", 200},
               {"models", {Model}}}}}}},
          {"limits",
           {{"header_bytes", 16384},
            {"body_bytes", 100000},
            {"header_ms", 3000},
            {"idle_ms", 15000}}}};
}

struct Upstream {
  std::string Id;
  std::string Service;
  http::Endpoint Address;
  std::unique_ptr<http::Server> Server;
  UpstreamTally Tally;
  bool Draining = false;
  // Engines only.
  bool IsEngine = false;
  bool HasBase = true;
  uint64_t Born = 1;
  uint64_t OrderCount = 0;
  std::map<std::string, int> Held;
  std::set<std::string> Coming;
  std::multiset<std::string> InUse;
};

struct Waiting {
  std::string Kind;
  uint64_t Since;
  Answer To;
};

} // namespace

struct PlatformStandIn::State {
  State()
      : Store(Io, {"127.0.0.1", 0}, http::ServerOptions(),
              [this](http::Request R, Answer A) { onStore(R, A); }),
        Thread([this] {
          auto Guard = boost::asio::make_work_guard(Io);
          Io.run();
        }) {}

  ~State() {
    Io.stop();
    Thread.join();
  }

  // The store.

  void put(const std::string &Kind, const std::string &Name, Json Spec) {
    ++Revision;
    Json Object = {{"metadata",
                    {{"name", Name},
                     {"revision", Revision},
                     {"created_rev", Revision},
                     {"finalizers", Json::array()},
                     {"deleting", false}}},
                   {"spec", std::move(Spec)},
                   {"status", nullptr}};
    Objects[Kind][Name] = Object;
    announce(Kind, Object, false);
  }

  void erase(const std::string &Kind, const std::string &Name) {
    const auto It = Objects[Kind].find(Name);
    if (It == Objects[Kind].end())
      return;
    Json Object = It->second;
    Object["metadata"]["revision"] = ++Revision;
    Objects[Kind].erase(It);
    announce(Kind, Object, true);
  }

  void announce(const std::string &Kind, const Json &Object, bool Gone) {
    Log.push_back(
        {Revision, {Kind, Json{{"object", Object}, {"tombstone", Gone}}}});
    for (auto It = Watches.begin(); It != Watches.end();) {
      if (It->Kind != Kind) {
        ++It;
        continue;
      }
      const Waiting W = *It;
      It = Watches.erase(It);
      answerWatch(W);
    }
  }

  void answerWatch(const Waiting &W) {
    if (W.Since < HistoryFrom)
      return W.To->whole(410, JsonType, "{}");
    Json Events = Json::array();
    for (const auto &[At, Change] : Log)
      if (At > W.Since && Change.first == W.Kind)
        Events.push_back(Change.second);
    W.To->whole(200, JsonType,
                Json{{"events", Events}, {"store_revision", Revision}}.dump());
  }

  void onStore(const http::Request &R, const Answer &A) {
    constexpr std::string_view Prefix = "/-/objects/";
    if (Down || !R.path().starts_with(Prefix))
      return A->whole(Down ? 503 : 404, {}, "");
    const std::string Kind(R.path().substr(Prefix.size()));
    if (R.query("watch").empty()) {
      Json Items = Json::array();
      for (const auto &[Name, Object] : Objects[Kind])
        Items.push_back(Object);
      return A->whole(200, JsonType,
                      Json{{"items", Items},
                           {"truncated", false},
                           {"store_revision", Revision}}
                          .dump());
    }
    const Waiting W{Kind, numberOf(R.query("watch")), A};
    bool News = W.Since < HistoryFrom;
    for (const auto &[At, Change] : Log)
      News |= At > W.Since && Change.first == Kind;
    if (News)
      return answerWatch(W);
    Watches.push_back(W);
    later(std::chrono::milliseconds(numberOf(R.query("wait_ms"))), [this, A] {
      for (auto It = Watches.begin(); It != Watches.end(); ++It)
        if (It->To == A) {
          A->whole(200, JsonType,
                   Json{{"events", Json::array()}, {"store_revision", Revision}}
                       .dump());
          Watches.erase(It);
          return;
        }
    });
  }

  void later(std::chrono::milliseconds D, std::function<void()> Do) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io, D);
    Timer->async_wait([Timer, Do](boost::system::error_code Error) {
      if (!Error)
        Do();
    });
  }

  // Upstreams.

  void add(std::unique_ptr<Upstream> U) {
    Upstream &Added = *U;
    Added.Server = std::make_unique<http::Server>(
        Io, Added.Address, http::ServerOptions(),
        [this, &Added](http::Request R, Answer A) { onUpstream(Added, R, A); });
    Upstreams[Added.Id] = std::move(U);
    registerUpstream(Added);
  }

  void registerUpstream(const Upstream &U) {
    put("servers", U.Id,
        {{"service", U.Service},
         {"address", U.Address.text()},
         {"zone", "z"},
         {"version", "v1"},
         {"slots", 6},
         {"state", U.Draining ? "draining" : "ready"},
         {"cold_left_ms", 0},
         {"seq", U.OrderCount}});
  }

  void onUpstream(Upstream &U, const http::Request &R, const Answer &A) {
    if (R.path() == "/health")
      return A->whole(200, {{"Instance-Id", U.Id}}, "");
    if (R.path() == "/-/report")
      return A->whole(200, JsonType, report(U).dump());
    if (R.header("Expect-Instance") != U.Id) {
      ++U.Tally.Misdirected;
      return A->whole(421, {{"Instance-Id", U.Id}}, "");
    }
    if (R.path() == "/-/order")
      return onOrder(U, R, A);
    U.IsEngine ? onGeneration(U, R, A) : onPlain(U, R, A);
  }

  static http::Headers signedFields(const http::Request &R, const Upstream &U) {
    return {{"Request-Id", std::string(R.header("Request-Id"))},
            {"Response-Seal", "seal-" + U.Id}};
  }

  void onPlain(Upstream &U, const http::Request &R, const Answer &A) {
    U.Tally.Ran.emplace_back(R.header("Request-Id"));
    later(EventPause, [=, Fields = signedFields(R, U), Body = R.Body] {
      A->whole(200, Fields, "done " + Body);
    });
  }

  void onGeneration(Upstream &U, const http::Request &R, const Answer &A) {
    const std::string_view Named = R.header("Model");
    const std::string Name(
        Named.substr(std::min(Named.size(), Named.find('/') + 1)));
    const auto It = U.Held.find(Name);
    if (!U.HasBase || It == U.Held.end() ||
        (!R.header("Expect-Version").empty() &&
         numberOf(R.header("Expect-Version")) !=
             static_cast<uint64_t>(It->second))) {
      ++U.Tally.Misdirected;
      return A->whole(421, {}, "");
    }
    U.Tally.Ran.emplace_back(R.header("Request-Id"));
    U.InUse.insert(Name);
    http::Headers Fields = signedFields(R, U);
    Fields.push_back({"Content-Type", "text/event-stream"});
    Fields.push_back({"Weight-Versions", std::to_string(It->second)});
    A->begin(200, Fields);
    stream(U, Name, A, 1);
  }

  void stream(Upstream &U, const std::string &Name, const Answer &A, int Next) {
    if (Next > EventsPerStream) {
      if (const auto It = U.InUse.find(Name); It != U.InUse.end())
        U.InUse.erase(It);
      return A->end();
    }
    A->data("id: " + std::to_string(Next) + "\ndata: x\n\n");
    later(EventPause,
          [this, &U, Name, A, Next] { stream(U, Name, A, Next + 1); });
  }

  Json report(const Upstream &U) const {
    Json Adapters = Json::array();
    for (const auto &[Name, Version] : U.Held)
      Adapters.push_back(Name + "@" + std::to_string(Version));
    Json Coming = Json::array();
    for (const std::string &Name : U.Coming)
      Coming.push_back("m/" + Name + "@" + std::to_string(newest(Name)));
    Json Models = Json::array();
    if (U.HasBase)
      Models.push_back({{"name", "m"}, {"version", 1}, {"adapters", Adapters}});
    return {{"stage", "both"},           {"models", Models},
            {"coming", Coming},          {"busy", false},
            {"seq", U.OrderCount},       {"waiting", 0},
            {"running", U.InUse.size()}, {"kv_used", 0},
            {"kv_total", 100000},        {"born", U.Born}};
  }

  int newest(const std::string &Name) const {
    const auto It = Newest.find(Name);
    return It == Newest.end() ? 1 : It->second;
  }

  void onOrder(Upstream &U, const http::Request &R, const Answer &A) {
    ++U.Tally.Orders;
    const Json Order = Json::parse(R.Body, nullptr, false);
    if (Order.is_discarded() || !Order.contains("holder") ||
        !Order.contains("fence_token") || !Order.contains("expect")) {
      ++U.Tally.Violations;
      return A->whole(400, {}, "");
    }
    if (Order["expect"].get<uint64_t>() != U.OrderCount)
      return A->whole(409, {}, "");
    const bool Load = Order.value("operation", "") == "model_load";
    const std::string Name = Order.value("adapter", "");
    if (Name.empty()) {
      U.HasBase = Load;
      ++U.OrderCount;
      return A->whole(202, {}, "");
    }
    if (!Load) {
      U.Tally.Violations += U.InUse.contains(Name) ? 1 : 0;
      U.Held.erase(Name);
      ++U.OrderCount;
      return A->whole(200, {}, "");
    }
    U.Coming.insert(Name);
    ++U.OrderCount;
    if (U.Held.size() + U.Coming.size() > AdapterSlots)
      ++U.Tally.Violations;
    later(LoadTime, [this, &U, Name, Born = U.Born] {
      if (U.Born != Born)
        return;
      U.Coming.erase(Name);
      U.Held[Name] = newest(Name);
    });
    A->whole(202, {}, "");
  }

  boost::asio::io_context Io{1};
  uint64_t Revision = 1;
  uint64_t HistoryFrom = 0;
  bool Down = false;
  std::map<std::string, std::map<std::string, Json>> Objects;
  std::vector<std::pair<uint64_t, std::pair<std::string, Json>>> Log;
  std::list<Waiting> Watches;
  std::map<std::string, int> Newest;
  std::map<std::string, std::unique_ptr<Upstream>> Upstreams;
  http::Server Store;
  std::thread Thread;
};

template <class F> auto PlatformStandIn::onThread(F Do) const {
  std::packaged_task<decltype(Do())()> Task(std::move(Do));
  auto Result = Task.get_future();
  boost::asio::post(Shared->Io, [&Task] { Task(); });
  return Result.get();
}

PlatformStandIn::PlatformStandIn() : Shared(std::make_unique<State>()) {}
PlatformStandIn::~PlatformStandIn() = default;

http::Endpoint PlatformStandIn::store() const {
  return {"127.0.0.1", Shared->Store.port()};
}

void PlatformStandIn::putConfig(int Version, bool Extra) {
  onThread([&] { Shared->put("config", "main", configSpec(Version, Extra)); });
}

void PlatformStandIn::addEngine(const std::string &Id,
                                const std::string &Address, uint16_t Port) {
  onThread([&] {
    auto U = std::make_unique<Upstream>();
    U->Id = Id;
    U->Service = "engines";
    U->Address = {Address, Port};
    U->IsEngine = true;
    Shared->add(std::move(U));
  });
}

void PlatformStandIn::addPlain(const std::string &Id,
                               const std::string &Address, uint16_t Port) {
  onThread([&] {
    auto U = std::make_unique<Upstream>();
    U->Id = Id;
    U->Service = "plain";
    U->Address = {Address, Port};
    Shared->add(std::move(U));
  });
}

void PlatformStandIn::drain(const std::string &Id) {
  onThread([&] {
    Upstream &U = *Shared->Upstreams.at(Id);
    U.Draining = true;
    Shared->registerUpstream(U);
  });
}

void PlatformStandIn::remove(const std::string &Id) {
  onThread([&] { Shared->erase("servers", Id); });
}

void PlatformStandIn::restartEngine(const std::string &Id) {
  onThread([&] {
    Upstream &U = *Shared->Upstreams.at(Id);
    ++U.Born;
    U.HasBase = false;
    U.OrderCount = 0;
    U.Held.clear();
    U.Coming.clear();
    U.InUse.clear();
  });
}

void PlatformStandIn::release(const std::string &Name, int Version) {
  onThread([&] {
    Shared->Newest[Name] = Version;
    Shared->put("versions", "m." + Name,
                {{"model", "m"}, {"adapter", Name}, {"version", Version}});
  });
}

void PlatformStandIn::setStoreDown(bool Down) {
  onThread([&] { Shared->Down = Down; });
}

void PlatformStandIn::dropHistory() {
  onThread([&] {
    Shared->HistoryFrom = Shared->Revision + 1;
    Shared->Log.clear();
  });
}

UpstreamTally PlatformStandIn::tally(const std::string &Id) const {
  return onThread([&] { return Shared->Upstreams.at(Id)->Tally; });
}

std::map<std::string, int> PlatformStandIn::held(const std::string &Id) const {
  return onThread([&] { return Shared->Upstreams.at(Id)->Held; });
}

} // namespace goldcrestlink::testing
