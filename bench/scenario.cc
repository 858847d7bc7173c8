// Runs one scenario against a whole fleet of real processes on loopback, with
// the product's strategy or a baseline, and prints what callers got, what the
// engines did, and every broken promise with its request.
//
//   build/scenario --name steady-90 --strategy ours --seed 1
//
// One thread sends and receives everything; the fleet is other processes.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <set>
#include <sstream>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "bench/scenario_report.h"
#include "bench/workload.h"
#include "http/client.h"
#include "testing/fleet.h"

using namespace goldcrestlink;
using namespace goldcrestlink::bench;

namespace {

constexpr double WarmUpSeconds = 20;
constexpr double CountedSeconds = 60;
constexpr double ComputeBound = 49.1;
constexpr size_t ResidentAdapters = 160;
constexpr double OrdersPerSecond = 5;
constexpr uint64_t ResendOneIn = 100;
constexpr double ResendAfterSeconds = 2;
// A request that has no end this long after its deadline hangs.
constexpr double HangGraceSeconds = 5;
constexpr std::array<double, Ranks> RankDeadline = {8, 25, 70};
constexpr size_t PoisonSends = 20;

struct Event {
  double At;
  std::function<void()> Do;
};

struct Setup {
  std::string Name = "steady-50";
  std::string Strategy = "ours";
  std::string Deployment = "totara";
  std::string Programs = "build";
  std::string Work = "/tmp/goldcrestlink-scenario";
  uint64_t Seed = 1;
};

std::string strategyText(const std::string &Strategy) {
  if (Strategy == "ours")
    return {};
  const std::string Baseline =
      "share_ranks = no\nbrokered_loads = no\nevict_by_recency = yes\n";
  return "routing = " + Strategy + "\n" + Baseline;
}

class ScenarioRun {
public:
  explicit ScenarioRun(Setup InSetup)
      : S(std::move(InSetup)), Fleet(shape(), S.Programs, S.Work), Client(Io),
        Rand(S.Seed + 77) {}

  int run() {
    Spec = makeSpec();
    Fleet.start();
    Start = presentTime().Steady + fromSeconds(WarmUpSeconds);
    for (const Arrival &A :
         makeArrivals(Spec, S.Seed, -WarmUpSeconds, CountedSeconds))
      at(A.At, [this, A] { send(A); });
    scheduleOrders();
    scheduleEvents();
    at(0, [this] { Seen.EngineBefore = engineCounts(); });
    at(CountedSeconds, [this] { Seen.EngineAfter = engineCounts(); });
    Io.run();
    report();
    return Seen.Violations.empty() ? 0 : 1;
  }

private:
  testing::FleetShape shape() const {
    testing::FleetShape Shape;
    const bool Totara = S.Deployment == "totara";
    Shape.Engines = 20;
    Shape.Services = 3;
    Shape.Entries = 3;
    Shape.Adapters = 3000;
    Shape.Versions = "1";
    Shape.StoreRate = Totara ? 7 : 5.5;
    Shape.StoreBurst = Totara ? 2 : 3;
    Shape.StoreInFlight = Totara ? 16 : 24;
    Shape.LoadFailsOneIn = 200;
    Shape.CrashDownMs = 10000;
    Shape.Relay = S.Name == "silent";
    Shape.Strategy = strategyText(S.Strategy);
    Shape.Seed = S.Seed;
    return Shape;
  }

  double lowerBound() const {
    const double Share = popularShare(Spec, ResidentAdapters);
    return std::min(ComputeBound, Fleet.Shape.StoreRate / (1 - Share));
  }

  WorkloadSpec makeSpec() {
    Spec.Exponent = S.Name == "skewed" ? 1.2 : 1.0;
    static const std::map<std::string, double> Loads = {
        {"steady-50", 0.5},    {"steady-90", 0.9},  {"flood-bulk", 0.5},
        {"flood-urgent", 0.5}, {"flood-cold", 0.5}, {"over-150", 1.5},
        {"shift", 0.7},        {"skewed", 0.9},     {"poison", 0.5},
        {"silent", 0.5},       {"outage", 0.7},     {"runner-kill", 0.7},
        {"cold-start", 0.7},   {"capacity-100", 1}};
    const auto It = Loads.find(S.Name);
    if (It == Loads.end())
      throw std::runtime_error("no scenario '" + S.Name + "'");
    Spec.RequestsPerSecond = It->second * lowerBound();
    if (S.Name == "flood-bulk")
      Spec.Floods.push_back({2, 10, 15, 45, false});
    if (S.Name == "flood-urgent")
      Spec.Floods.push_back({0, 10, 15, 45, false});
    if (S.Name == "flood-cold")
      Spec.Floods.push_back({2, 3, 15, 45, true});
    if (S.Name == "shift")
      Spec.ShiftAt = 20;
    return Spec;
  }

  void at(double Seconds, std::function<void()> Do) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io);
    Timer->expires_at(Start + fromSeconds(Seconds));
    Timer->async_wait([Timer, Do](boost::system::error_code) { Do(); });
  }

  double clock() const { return seconds(presentTime().Steady - Start); }

  void scheduleEvents() {
    if (S.Name == "outage") {
      at(15,
         [this] { Fleet.admin(Fleet.Platform.Http, "/admin/outage?on=1"); });
      at(45,
         [this] { Fleet.admin(Fleet.Platform.Http, "/admin/outage?on=0"); });
    }
    if (S.Name == "runner-kill")
      at(20, [this] { crashEngine(0); });
    if (S.Name == "cold-start")
      for (size_t I = 0; I < 20; ++I)
        at(20 + 0.25 * static_cast<double>(I), [this, I] { crashEngine(I); });
    if (S.Name == "silent")
      at(20, [this] {
        for (size_t I = 0; I < Fleet.EngineSides.size(); I += 2)
          Fleet.admin(Fleet.Relay.Admin,
                      "/admin/silence?source=127.0.0.2&target=" +
                          Fleet.EngineSides[I].Admin.text());
      });
    if (S.Name == "poison")
      for (size_t I = 0; I < PoisonSends; ++I)
        at(5 + 2 * static_cast<double>(I), [this, I] { sendPoison(I); });
  }

  void crashEngine(size_t I) {
    Fleet.admin(Fleet.Engines[I].Admin, "/admin/crash?down_ms=10000");
  }

  http::Request completion(const std::string &Model, const std::string &Tag,
                           const std::string &Prompt, uint32_t Tokens,
                           size_t Rank) {
    nlohmann::json Body;
    Body["model"] = Model;
    Body["prompt"] = Prompt;
    Body["max_tokens"] = Tokens;
    Body["stream"] = true;
    Body["user"] = Tag;
    http::Request R;
    R.Method = "POST";
    R.Target = "/v1/completions";
    R.Fields = {
        {"Content-Type", "application/json"},
        {"X-Application", Rank == 2 || Rand.below(2) ? "scribe" : "desk"},
        {"X-Rank", RankNames[Rank]}};
    R.Body = Body.dump();
    return R;
  }

  struct Reading {
    std::shared_ptr<Result> To;
    std::string Body;
    std::string Type;
    Time Sent;
  };

  void send(const Arrival &A) {
    const bool First = Requested.insert(A.Adapter).second;
    Seen.FirstRequests += First && A.At >= 0 ? 1 : 0;
    auto R = std::make_shared<Result>();
    R->Rank = A.Rank;
    R->At = A.At;
    R->Tokens = A.Tokens;
    R->Tag = "q" + std::to_string(++Counter);
    const std::string Model = "a" + std::to_string(A.Adapter) + "@1";
    start(R, completion(Model, R->Tag, "report " + R->Tag, A.Tokens, A.Rank),
          Counter % Fleet.Entries.size(), Model);
    Seen.Results.push_back(R);
  }

  void sendPoison(size_t I) {
    auto R = std::make_shared<Result>();
    R->Rank = 1;
    R->At = clock();
    R->Tokens = 5;
    R->Tag = "poison";
    start(R, completion("a1@1", "poison", "POISON", 5, 1),
          I % Fleet.Entries.size(), "a1@1");
  }

  void start(const std::shared_ptr<Result> &R, http::Request Ask, size_t Entry,
             const std::string &Model) {
    auto Read = std::make_shared<Reading>();
    Read->To = R;
    Read->Sent = presentTime().Steady;
    http::CallHandlers On;
    On.OnHead = [Read](const http::ResponseHead &Head) {
      Read->To->Status = Head.Status;
      Read->Type = Head.header("Content-Type");
    };
    On.OnData = [Read](std::string Part) {
      if (Read->To->FirstByte < 0)
        Read->To->FirstByte = seconds(presentTime().Steady - Read->Sent);
      Read->Body += Part;
    };
    On.OnDone = [this, Read, Model] { finish(*Read, true, Model); };
    On.OnError = [this, Read, Model](http::CallError, const std::string &) {
      finish(*Read, false, Model);
    };
    Client.start(Fleet.Entries[Entry].Http, std::move(Ask),
                 http::CallOptions()
                     .setSilenceTimeout(
                         fromSeconds(RankDeadline[R->Rank] + HangGraceSeconds))
                     .setFreshConnection(true),
                 std::move(On));
  }

  // Checks that the answer is whole and this request's own.
  void finish(Reading &Read, bool Ended, const std::string &Model) {
    Result &R = *Read.To;
    R.Ended = true;
    R.Total = seconds(presentTime().Steady - Read.Sent);
    if (R.Total > RankDeadline[R.Rank] + HangGraceSeconds - 1)
      Seen.Violations.push_back("hang " + R.Tag);
    if (R.Status != 200) {
      const auto Json = nlohmann::json::parse(Read.Body, nullptr, false);
      if (Json.is_object() && Json.contains("error")) {
        R.Code = Json["error"].value("code", "");
        R.Outcome = Json["error"].value("outcome", "");
      } else {
        R.Code = "no_answer";
      }
      return;
    }
    uint32_t Tokens = 0;
    bool Done = false;
    bool Foreign = false;
    std::istringstream Lines(Read.Body);
    for (std::string Line; std::getline(Lines, Line);) {
      if (Line.rfind("data: ", 0) != 0)
        continue;
      if (Line == "data: [DONE]") {
        Done = true;
        continue;
      }
      const auto Json = nlohmann::json::parse(Line.substr(6), nullptr, false);
      if (Json.is_object() && Json.contains("error")) {
        R.Code = Json["error"].value("code", "");
        R.Outcome = Json["error"].value("outcome", "");
        continue;
      }
      const std::string Expected = R.Tag + ":" + std::to_string(Tokens++) + " ";
      Foreign |= !Json.is_object() || Json["model"] != Model ||
                 Json["choices"][0]["text"] != Expected;
    }
    if (Foreign)
      Seen.Violations.push_back("foreign answer " + R.Tag);
    if (Ended && Done && Tokens != R.Tokens)
      Seen.Violations.push_back("answer not whole " + R.Tag);
    R.Whole = Ended && Done && Tokens == R.Tokens;
    if (!R.Whole && R.Code.empty())
      R.Code = "cut";
  }

  struct Order {
    std::string Key;
    std::string Issued;
  };

  void scheduleOrders() {
    double At = -WarmUpSeconds;
    while ((At += -std::log(1 - Rand.unit()) / OrdersPerSecond) <
           CountedSeconds) {
      const bool Resend = Rand.below(ResendOneIn) == 0;
      at(At, [this, Resend] { sendOrder(Resend); });
    }
  }

  void sendOrder(bool Resend) {
    auto O = std::make_shared<Order>();
    O->Key = "order-" + std::to_string(++OrderCounter);
    O->Issued = std::to_string(unixMillis(presentTime().Wall));
    postOrder(O, OrderCounter % Fleet.Entries.size(), clock());
    if (Resend)
      at(clock() + ResendAfterSeconds, [this, O] {
        postOrder(O, (OrderCounter + 1) % Fleet.Entries.size(), clock());
      });
  }

  void postOrder(const std::shared_ptr<Order> &O, size_t Entry, double At) {
    http::Request R;
    R.Method = "POST";
    R.Target = "/work-orders";
    R.Fields = {{"Idempotency-Key", O->Key},
                {"Idempotency-Key-Issued-At", O->Issued},
                {"X-Application", "desk"}};
    R.Body = O->Key;
    const Time Sent = presentTime().Steady;
    Client.fetch(
        Fleet.Entries[Entry].Http, std::move(R),
        http::CallOptions().setFreshConnection(true),
        [this, O, At, Sent](const http::Response *A, http::CallError) {
          std::string End = "no_answer";
          if (A && A->Head.Status == 200) {
            End = "ok";
          } else if (A) {
            const auto Json = nlohmann::json::parse(A->Body, nullptr, false);
            if (Json.is_object() && Json.contains("error")) {
              End = Json["error"].value("code", "") + "/" +
                    Json["error"].value("outcome", "");
            }
          }
          if (End == "ok")
            Seen.OrderTimes.push_back(seconds(presentTime().Steady - Sent));
          if (At >= 0)
            ++Seen.OrderEnds[End];
        });
  }

  std::map<std::string, double> engineCounts() {
    std::map<std::string, double> Out;
    for (const char *Name : {"steps", "sequence_steps", "adapter_steps",
                             "loads", "violations", "crashes"})
      Out[Name] = static_cast<double>(Fleet.engineCount(Name));
    for (const testing::Member &Side : Fleet.EngineSides) {
      std::istringstream Lines(Fleet.admin(Side.Http, "/metrics", "GET"));
      for (std::string Line; std::getline(Lines, Line);) {
        const size_t End = Line.find('{');
        const size_t Value = Line.rfind(' ');
        if (End != std::string::npos)
          Out[Line.substr(0, End)] += std::atof(Line.c_str() + Value);
      }
    }
    return Out;
  }

  void checkPromises() {
    std::set<std::string> Ran;
    for (const std::string &Tag : Fleet.runs(Fleet.Engines))
      Ran.insert(Tag);
    for (const auto &R : Seen.Results) {
      if (!R->Ended)
        Seen.Violations.push_back("no end " + R->Tag);
      if (R->Outcome == "not_run" && Ran.count(R->Tag))
        Seen.Violations.push_back("not_run but ran " + R->Tag);
    }
    for (const std::string &Line : Fleet.runs(Fleet.Services)) {
      const size_t Space = Line.rfind(' ');
      const std::string Key = Line.substr(0, Space);
      if (Key.rfind("order-", 0) != 0)
        continue;
      if (std::atoi(Line.c_str() + Space) > 1)
        Seen.Violations.push_back("ran twice " + Key);
    }
    const auto Now = engineCounts();
    if (Now.at("violations") > 0)
      Seen.Violations.push_back("evicted while serving");
  }

  void report() {
    checkPromises();
    ScenarioHead Head;
    Head.Name = S.Name;
    Head.Strategy = S.Strategy;
    Head.Deployment = S.Deployment;
    Head.Seed = S.Seed;
    Head.ComputeBound = ComputeBound;
    Head.StoreBound =
        Fleet.Shape.StoreRate / (1 - popularShare(Spec, ResidentAdapters));
    Head.RequestsPerSecond = Spec.RequestsPerSecond;
    Head.CountedSeconds = CountedSeconds;
    printReport(Head, Seen);
  }

  Setup S;
  WorkloadSpec Spec;
  boost::asio::io_context Io{1};
  testing::Fleet Fleet;
  http::Client Client;
  Random Rand;
  Time Start{};
  ScenarioRecord Seen;
  /// Adapters asked for so far, and first requests that are counted: no
  /// strategy can serve those without a load.
  std::set<size_t> Requested;
  uint64_t Counter = 0;
  uint64_t OrderCounter = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"one scenario against a whole fleet on loopback"};
  Setup S;
  App.add_option("--name", S.Name, "scenario");
  App.add_option("--strategy", S.Strategy,
                 "ours, random, least_loaded or consistent_hash");
  App.add_option("--deployment", S.Deployment, "totara or qureshi");
  App.add_option("--seed", S.Seed, "seed");
  App.add_option("--programs", S.Programs, "folder of the built programs");
  App.add_option("--work", S.Work, "work folder; is emptied");
  CLI11_PARSE(App, Argc, Argv);
  try {
    return ScenarioRun(S).run();
  } catch (const std::exception &E) {
    std::fprintf(stderr, "%s\n", E.what());
    return 2;
  }
}
