// Runs one scenario against a deployment of real processes on loopback, with
// the strategy under test or a baseline, and prints the results of callers, the
// counters of the engines, and every violated guarantee with its request.
//
//   build/scenario --name steady-90 --strategy ours --seed 1
//
// All requests are scheduled up front as timers; one thread sends them and
// reads all answers. The deployment runs in other processes.
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
#include "testing/test_deployment.h"

using namespace goldcrestlink;
using namespace goldcrestlink::bench;

namespace {

constexpr double WarmUpSeconds = 20;
constexpr double MeasuredSeconds = 60;
// Requests per second that the engines together can compute.
constexpr double ComputeBoundPerSecond = 49.1;
// Adapters that fit into the slots of all engines.
constexpr size_t ResidentAdapters = 160;
constexpr double OrdersPerSecond = 5;
// One work order in this many is sent a second time with the same key.
constexpr uint64_t ResendOneIn = 100;
constexpr double ResendAfterSeconds = 2;
// The client's silence timeout is the rank's deadline plus this. A request that
// takes about as long counts as hanging.
constexpr double HangGraceSeconds = 5;
// As declared by testing::TestDeployment.
constexpr std::array<double, RankCount> RankDeadlineSeconds = {8, 25, 70};
constexpr size_t PoisonSends = 20;

struct Event {
  double At;
  std::function<void()> Do;
};

struct RunOptions {
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
  explicit ScenarioRun(RunOptions InOptions)
      : Opts(std::move(InOptions)),
        Deployment(shape(), Opts.Programs, Opts.Work), Client(Io),
        Rand(Opts.Seed + 77) {}

  int run() {
    Spec = makeSpec();
    Deployment.start();
    Start = currentTime().Steady + fromSeconds(WarmUpSeconds);
    for (const Arrival &A :
         makeArrivals(Spec, Opts.Seed, -WarmUpSeconds, MeasuredSeconds))
      scheduleAt(A.At, [this, A] { send(A); });
    scheduleOrders();
    scheduleEvents();
    scheduleAt(0, [this] { Record.EngineCountersBefore = engineCounters(); });
    scheduleAt(MeasuredSeconds,
               [this] { Record.EngineCountersAfter = engineCounters(); });
    Io.run();
    report();
    return Record.Violations.empty() ? 0 : 1;
  }

private:
  testing::DeploymentOptions shape() const {
    testing::DeploymentOptions Shape;
    const bool Totara = Opts.Deployment == "totara";
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
    Shape.Relay = Opts.Name == "silent";
    Shape.Strategy = strategyText(Opts.Strategy);
    Shape.Seed = Opts.Seed;
    return Shape;
  }

  // The lower of the bounds of engines and weight store, in requests per
  // second.
  double throughputBound() const {
    const double Share = popularShare(Spec, ResidentAdapters);
    return std::min(ComputeBoundPerSecond,
                    Deployment.Shape.StoreRate / (1 - Share));
  }

  WorkloadSpec makeSpec() {
    Spec.ZipfExponent = Opts.Name == "skewed" ? 1.2 : 1.0;
    static const std::map<std::string, double> RelativeLoads = {
        {"steady-50", 0.5},    {"steady-90", 0.9},  {"flood-bulk", 0.5},
        {"flood-urgent", 0.5}, {"flood-cold", 0.5}, {"over-150", 1.5},
        {"shift", 0.7},        {"skewed", 0.9},     {"poison", 0.5},
        {"silent", 0.5},       {"outage", 0.7},     {"runner-kill", 0.7},
        {"cold-start", 0.7},   {"capacity-100", 1}};
    const auto It = RelativeLoads.find(Opts.Name);
    if (It == RelativeLoads.end())
      throw std::runtime_error("no scenario '" + Opts.Name + "'");
    Spec.RequestsPerSecond = It->second * throughputBound();
    if (Opts.Name == "flood-bulk")
      Spec.Floods.push_back({2, 10, 15, 45, false});
    if (Opts.Name == "flood-urgent")
      Spec.Floods.push_back({0, 10, 15, 45, false});
    if (Opts.Name == "flood-cold")
      Spec.Floods.push_back({2, 3, 15, 45, true});
    if (Opts.Name == "shift")
      Spec.ShiftAt = 20;
    return Spec;
  }

  void scheduleAt(double Seconds, std::function<void()> Do) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(Io);
    Timer->expires_at(Start + fromSeconds(Seconds));
    Timer->async_wait([Timer, Do](boost::system::error_code) { Do(); });
  }

  double elapsedSeconds() const {
    return seconds(currentTime().Steady - Start);
  }

  void scheduleEvents() {
    if (Opts.Name == "outage") {
      scheduleAt(15, [this] {
        Deployment.admin(Deployment.Platform.Http, "/admin/outage?on=1");
      });
      scheduleAt(45, [this] {
        Deployment.admin(Deployment.Platform.Http, "/admin/outage?on=0");
      });
    }
    if (Opts.Name == "runner-kill")
      scheduleAt(20, [this] { crashEngine(0); });
    if (Opts.Name == "cold-start")
      for (size_t I = 0; I < 20; ++I)
        scheduleAt(20 + 0.25 * static_cast<double>(I),
                   [this, I] { crashEngine(I); });
    if (Opts.Name == "silent")
      scheduleAt(20, [this] {
        for (size_t I = 0; I < Deployment.EngineSides.size(); I += 2)
          Deployment.admin(Deployment.Relay.Admin,
                           "/admin/silence?source=127.0.0.2&target=" +
                               Deployment.EngineSides[I].Admin.text());
      });
    if (Opts.Name == "poison")
      for (size_t I = 0; I < PoisonSends; ++I)
        scheduleAt(5 + 2 * static_cast<double>(I),
                   [this, I] { sendPoison(I); });
  }

  void crashEngine(size_t I) {
    Deployment.admin(Deployment.Engines[I].Admin, "/admin/crash?down_ms=10000");
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

  // The answer to one request, as received so far.
  struct PendingAnswer {
    std::shared_ptr<RequestResult> Result;
    std::string Body;
    std::string Type;
    Time Sent;
  };

  void send(const Arrival &A) {
    const bool First = Requested.insert(A.Adapter).second;
    Record.FirstRequests += First && A.At >= 0 ? 1 : 0;
    auto R = std::make_shared<RequestResult>();
    R->Rank = A.Rank;
    R->SentAt = A.At;
    R->Tokens = A.Tokens;
    R->Tag = "q" + std::to_string(++Counter);
    const std::string Model = "a" + std::to_string(A.Adapter) + "@1";
    start(R, completion(Model, R->Tag, "report " + R->Tag, A.Tokens, A.Rank),
          Counter % Deployment.Entries.size(), Model);
    Record.Results.push_back(R);
  }

  void sendPoison(size_t I) {
    auto R = std::make_shared<RequestResult>();
    R->Rank = 1;
    R->SentAt = elapsedSeconds();
    R->Tokens = 5;
    R->Tag = "poison";
    start(R, completion("a1@1", "poison", "POISON", 5, 1),
          I % Deployment.Entries.size(), "a1@1");
  }

  void start(const std::shared_ptr<RequestResult> &R, http::Request Request,
             size_t Entry, const std::string &Model) {
    auto Answer = std::make_shared<PendingAnswer>();
    Answer->Result = R;
    Answer->Sent = currentTime().Steady;
    http::CallHandlers On;
    On.OnHead = [Answer](const http::ResponseHead &Head) {
      Answer->Result->Status = Head.Status;
      Answer->Type = Head.header("Content-Type");
    };
    On.OnData = [Answer](std::string Part) {
      if (Answer->Result->FirstByte < 0)
        Answer->Result->FirstByte =
            seconds(currentTime().Steady - Answer->Sent);
      Answer->Body += Part;
    };
    On.OnDone = [this, Answer, Model] { finish(*Answer, true, Model); };
    On.OnError = [this, Answer, Model](http::CallError, const std::string &) {
      finish(*Answer, false, Model);
    };
    Client.start(Deployment.Entries[Entry].Http, std::move(Request),
                 http::CallOptions()
                     .setReadTimeout(fromSeconds(RankDeadlineSeconds[R->Rank] +
                                                 HangGraceSeconds))
                     .setFreshConnection(true),
                 std::move(On));
  }

  // Records the result, and checks that the answer is complete and belongs to
  // this request. Received: the call ended without an error.
  void finish(PendingAnswer &Answer, bool Received, const std::string &Model) {
    RequestResult &R = *Answer.Result;
    R.Ended = true;
    R.Total = seconds(currentTime().Steady - Answer.Sent);
    // One second below the client's timeout, so that a call which the client
    // gave up counts as hanging.
    if (R.Total > RankDeadlineSeconds[R.Rank] + HangGraceSeconds - 1)
      Record.Violations.push_back("hang " + R.Tag);
    if (R.Status != 200) {
      const auto Json = nlohmann::json::parse(Answer.Body, nullptr, false);
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
    bool WrongAnswer = false;
    std::istringstream Lines(Answer.Body);
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
      WrongAnswer |= !Json.is_object() || Json["model"] != Model ||
                     Json["choices"][0]["text"] != Expected;
    }
    if (WrongAnswer)
      Record.Violations.push_back("answer of another request " + R.Tag);
    if (Received && Done && Tokens != R.Tokens)
      Record.Violations.push_back("incomplete answer " + R.Tag);
    R.Complete = Received && Done && Tokens == R.Tokens;
    if (!R.Complete && R.Code.empty())
      R.Code = "cut";
  }

  struct Order {
    std::string Key;
    std::string Issued;
  };

  void scheduleOrders() {
    double At = -WarmUpSeconds;
    while ((At += -std::log(1 - Rand.unit()) / OrdersPerSecond) <
           MeasuredSeconds) {
      const bool Resend = Rand.below(ResendOneIn) == 0;
      scheduleAt(At, [this, Resend] { sendOrder(Resend); });
    }
  }

  void sendOrder(bool Resend) {
    auto O = std::make_shared<Order>();
    O->Key = "order-" + std::to_string(++OrderCounter);
    O->Issued = std::to_string(unixMillis(currentTime().Wall));
    postOrder(O, OrderCounter % Deployment.Entries.size(), elapsedSeconds());
    if (Resend)
      scheduleAt(elapsedSeconds() + ResendAfterSeconds, [this, O] {
        postOrder(O, (OrderCounter + 1) % Deployment.Entries.size(),
                  elapsedSeconds());
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
    const Time Sent = currentTime().Steady;
    Client.fetch(
        Deployment.Entries[Entry].Http, std::move(R),
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
            Record.OrderSeconds.push_back(seconds(currentTime().Steady - Sent));
          if (At >= 0)
            ++Record.OrderOutcomes[End];
        });
  }

  std::map<std::string, double> engineCounters() {
    std::map<std::string, double> Out;
    for (const char *Name : {"steps", "sequence_steps", "adapter_steps",
                             "loads", "violations", "crashes"})
      Out[Name] = static_cast<double>(Deployment.sumEngineCounter(Name));
    for (const testing::ManagedProcess &Side : Deployment.EngineSides) {
      std::istringstream Lines(Deployment.admin(Side.Http, "/metrics", "GET"));
      for (std::string Line; std::getline(Lines, Line);) {
        const size_t End = Line.find('{');
        const size_t Value = Line.rfind(' ');
        if (End != std::string::npos)
          Out[Line.substr(0, End)] += std::atof(Line.c_str() + Value);
      }
    }
    return Out;
  }

  void checkGuarantees() {
    std::set<std::string> Ran;
    for (const std::string &Tag : Deployment.runs(Deployment.Engines))
      Ran.insert(Tag);
    for (const auto &R : Record.Results) {
      if (!R->Ended)
        Record.Violations.push_back("no end " + R->Tag);
      if (R->Outcome == "not_run" && Ran.count(R->Tag))
        Record.Violations.push_back("not_run but ran " + R->Tag);
    }
    for (const std::string &Line : Deployment.runs(Deployment.Services)) {
      const size_t Space = Line.rfind(' ');
      const std::string Key = Line.substr(0, Space);
      if (Key.rfind("order-", 0) != 0)
        continue;
      if (std::atoi(Line.c_str() + Space) > 1)
        Record.Violations.push_back("ran twice " + Key);
    }
    const auto Now = engineCounters();
    if (Now.at("violations") > 0)
      Record.Violations.push_back("evicted while serving");
  }

  void report() {
    checkGuarantees();
    ScenarioInfo Info;
    Info.Name = Opts.Name;
    Info.Strategy = Opts.Strategy;
    Info.Deployment = Opts.Deployment;
    Info.Seed = Opts.Seed;
    Info.ComputeBound = ComputeBoundPerSecond;
    Info.StoreBound =
        Deployment.Shape.StoreRate / (1 - popularShare(Spec, ResidentAdapters));
    Info.RequestsPerSecond = Spec.RequestsPerSecond;
    Info.MeasuredSeconds = MeasuredSeconds;
    printReport(Info, Record);
  }

  RunOptions Opts;
  WorkloadSpec Spec;
  boost::asio::io_context Io{1};
  testing::TestDeployment Deployment;
  http::Client Client;
  Random Rand;
  Time Start{};
  ScenarioRecord Record;
  // Adapters requested so far.
  std::set<size_t> Requested;
  uint64_t Counter = 0;
  uint64_t OrderCounter = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"run one scenario against a deployment on loopback"};
  RunOptions Opts;
  App.add_option("--name", Opts.Name, "scenario");
  App.add_option("--strategy", Opts.Strategy,
                 "ours, random, least_loaded or consistent_hash");
  App.add_option("--deployment", Opts.Deployment, "totara or qureshi");
  App.add_option("--seed", Opts.Seed, "seed");
  App.add_option("--programs", Opts.Programs, "folder of the built programs");
  App.add_option("--work", Opts.Work,
                 "folder for settings and logs; existing content is deleted");
  CLI11_PARSE(App, Argc, Argv);
  try {
    return ScenarioRun(Opts).run();
  } catch (const std::exception &E) {
    std::fprintf(stderr, "%s\n", E.what());
    return 2;
  }
}
