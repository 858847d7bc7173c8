// What only processes show: real sockets and signals, the whole path under
// load, restarts, outages and graceful stops. Waits are on conditions.
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <zmq.hpp>

#include "base/random.h"
#include "http/client.h"
#include "testing/fleet.h"
#include "wire/socket.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

constexpr double Patience = 60;

std::string workFolder(const char *Name) {
  return (std::filesystem::temp_directory_path() /
          ("goldcrestlink-" + std::to_string(::getpid()) + "-" + Name))
      .string();
}

http::CallOptions patient() {
  return http::CallOptions()
      .setConnectTimeout(std::chrono::seconds(30))
      .setSilenceTimeout(std::chrono::seconds(60))
      .setFreshConnection(true);
}

http::Response post(const http::Endpoint &To, const std::string &Target,
                    const std::string &Body, http::Headers Fields = {}) {
  http::Request R;
  R.Method = "POST";
  R.Target = Target;
  R.Fields = std::move(Fields);
  R.Body = Body;
  return http::fetchNow(To, std::move(R), patient());
}

std::string completionBody(const std::string &Model, const std::string &Tag,
                           int Tokens, bool Stream) {
  return nlohmann::json{{"model", Model},
                        {"prompt", "p"},
                        {"max_tokens", Tokens},
                        {"stream", Stream},
                        {"user", Tag}}
      .dump();
}

std::string expectedText(const std::string &Tag, int Tokens) {
  std::string Out;
  for (int I = 0; I < Tokens; ++I)
    Out += Tag + ":" + std::to_string(I) + " ";
  return Out;
}

// The text of an answer, whole or streamed; "incomplete" if it is cut.
std::string answerText(const http::Response &R, bool Stream) {
  if (!Stream) {
    const auto Json = nlohmann::json::parse(R.Body, nullptr, false);
    return Json.is_object() && Json.contains("choices")
               ? Json["choices"][0].value("text", "")
               : R.Body;
  }
  std::string Out;
  bool Done = false;
  std::istringstream Lines(R.Body);
  for (std::string Line; std::getline(Lines, Line);) {
    Done |= Line == "data: [DONE]";
    if (Line.rfind("data: {", 0) == 0) {
      const auto Json = nlohmann::json::parse(Line.substr(6));
      if (Json.contains("choices"))
        Out += Json["choices"][0].value("text", "");
    }
  }
  return Done ? Out : "incomplete " + Out;
}

// Callers that send until told to stop, each checking its own answers.
class Callers {
public:
  Callers(Fleet &InF, size_t Count) : F(InF) {
    for (size_t I = 0; I < Count; ++I)
      Threads.emplace_back([this, I] { run(I); });
  }
  ~Callers() { stop(); }

  void stop() {
    Stopping = true;
    for (std::thread &T : Threads)
      if (T.joinable())
        T.join();
  }

  std::vector<std::string> problems() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Problems;
  }
  size_t answered() const { return Answered; }
  /// Entries still in use; callers skip those that were told to stop.
  std::atomic<size_t> EntriesInUse{2};

private:
  void run(size_t Caller) {
    Random R(Caller + 1);
    for (int I = 0; !Stopping; ++I) {
      const std::string Tag =
          "c" + std::to_string(Caller) + "-" + std::to_string(I);
      const bool Stream = R.below(2) == 0;
      const int Tokens = 1 + static_cast<int>(R.below(6));
      const std::string Model = "a" + std::to_string(R.below(6)) + "@" +
                                std::to_string(1 + R.below(2));
      try {
        const auto Answer =
            post(F.Entries[R.below(EntriesInUse)].Http, "/v1/completions",
                 completionBody(Model, Tag, Tokens, Stream));
        if (Answer.Head.Status == 200 &&
            answerText(Answer, Stream) == expectedText(Tag, Tokens))
          ++Answered;
        else
          note(Tag + " got " + std::to_string(Answer.Head.Status) + " " +
               Answer.Body);
      } catch (const std::exception &E) {
        note(Tag + ": " + E.what());
      }
    }
  }

  void note(std::string Problem) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Problems.push_back(std::move(Problem));
  }

  Fleet &F;
  std::atomic<bool> Stopping{false};
  std::atomic<size_t> Answered{0};
  std::mutex Mutex;
  std::vector<std::string> Problems;
  std::vector<std::thread> Threads;
};

FleetShape quickShape() {
  FleetShape S;
  S.Engines = 3;
  S.Services = 2;
  S.UseStore = false;
  S.StoreRate = 1000;
  S.StoreBurst = 8;
  S.StepMs = 2;
  return S;
}

} // namespace

TEST_CASE(
    "every caller gets its own whole answer, across a change and a stop") {
  Fleet F(quickShape(), ".", workFolder("whole"));
  F.start();
  Callers C(F, 12);
  CHECK(eventually([&] { return C.answered() > 200; }, Patience));
  F.Shape.Versions = "1 2 3";
  CHECK(F.apply() == 0);
  CHECK(eventually([&] { return F.generationInForce(2); }, Patience));
  CHECK(post(F.Entries[1].Http, "/v1/completions",
             completionBody("a1@3", "new", 2, false))
            .Head.Status == 200);
  // One side and one entry stop gracefully under load.
  const size_t Before = C.answered();
  F.EngineSides[0].Running->signal(SIGTERM);
  CHECK(F.EngineSides[0].Running->wait() == 0);
  C.EntriesInUse = 1;
  F.Entries[1].Running->signal(SIGTERM);
  CHECK(F.Entries[1].Running->wait() == 0);
  CHECK(eventually([&] { return C.answered() > Before + 100; }, Patience));
  C.stop();
  for (const std::string &P : C.problems())
    FAIL_CHECK(P);
  CHECK(F.stopGracefully());
  CHECK(F.engineCount("violations") == 0);
}

namespace {

http::Headers keyed(const std::string &Key, int64_t IssuedMs) {
  return {{"Idempotency-Key", Key},
          {"Idempotency-Key-Issued-At", std::to_string(IssuedMs)}};
}

std::map<std::string, int> keyRuns(Fleet &F) {
  std::map<std::string, int> Out;
  for (const std::string &Line : F.runs(F.Services)) {
    const size_t Space = Line.rfind(' ');
    Out[Line.substr(0, Space)] += std::atoi(Line.c_str() + Space);
  }
  return Out;
}

struct OwnerFaultRow {
  const char *Name;
  bool ChecksFencing;
  void (*Fault)(Fleet &);
  void (*Heal)(Fleet &);
};

// Faults of the process that owns keys, and of the platform, while callers
// send every key twice through both entries.
const OwnerFaultRow OwnerFaultRows[] = {
    {"owner frozen past its lease, then resumed", false,
     [](Fleet &F) { F.ServiceSides[0].Running->signal(SIGSTOP); },
     [](Fleet &F) { F.ServiceSides[0].Running->signal(SIGCONT); }},
    {"owner killed and replaced", true,
     [](Fleet &F) {
       F.ServiceSides[0].Running->signal(SIGKILL);
       F.ServiceSides[0].Running->wait();
     },
     [](Fleet &F) { F.restart(F.ServiceSides[0]); }},
    {"platform down, owner frozen in it", false,
     [](Fleet &F) {
       F.admin(F.Platform.Http, "/admin/outage?on=1");
       F.ServiceSides[0].Running->signal(SIGSTOP);
     },
     [](Fleet &F) {
       F.ServiceSides[0].Running->signal(SIGCONT);
       F.admin(F.Platform.Http, "/admin/outage?on=0");
     }},
};

} // namespace

TEST_CASE("no order runs twice, and none said not to run has run") {
  for (const OwnerFaultRow &Row : OwnerFaultRows) {
    FleetShape Shape = quickShape();
    Shape.Engines = 1;
    Shape.LeaseMs = 1500;
    Shape.ServicesCheckFencing = Row.ChecksFencing;
    Fleet F(Shape, ".", workFolder("orders"));
    F.start();
    std::set<std::string> Denied;
    std::set<std::string> Done;
    std::mutex Mutex;
    std::atomic<bool> Stopping{false};
    std::atomic<int> Sent{0};
    const auto Send = [&](size_t Thread) {
      for (int I = 0; !Stopping; ++I) {
        const std::string Key =
            "k" + std::to_string(Thread) + "-" + std::to_string(I);
        const int64_t Issued = unixMillis(presentTime().Wall);
        for (size_t Entry = 0; Entry < 2; ++Entry) {
          auto Fields = keyed(Key, Issued);
          Fields.push_back({"X-Deadline-Ms", "1000"});
          try {
            const auto A =
                post(F.Entries[Entry].Http, "/work-orders", Key, Fields);
            const std::lock_guard<std::mutex> Lock(Mutex);
            if (A.Head.Status == 200)
              Done.insert(Key);
            else if (A.Body.find("\"not_run\"") != std::string::npos)
              Denied.insert(Key);
            else
              Denied.erase(Key);
          } catch (const std::exception &) {
            continue;
          }
          ++Sent;
        }
      }
    };
    std::vector<std::thread> Threads;
    for (size_t I = 0; I < 6; ++I)
      Threads.emplace_back(Send, I);
    CHECK(eventually([&] { return Sent > 60; }, Patience));
    Row.Fault(F);
    pauseFor(4000);
    Row.Heal(F);
    const auto DoneSoFar = [&] {
      const std::lock_guard<std::mutex> Lock(Mutex);
      return Done.size();
    };
    const size_t AfterHeal = DoneSoFar();
    CHECK(eventually([&] { return DoneSoFar() > AfterHeal + 40; }, Patience));
    Stopping = true;
    for (std::thread &T : Threads)
      T.join();
    const auto Runs = keyRuns(F);
    for (const auto &Run : Runs)
      if (Run.first != "none")
        CHECK_MESSAGE(Run.second <= 1, std::string(Row.Name)
                                           << " " << Run.first);
    for (const std::string &Key : Denied)
      if (!Done.count(Key))
        CHECK_MESSAGE(!Runs.count(Key), std::string(Row.Name) << " " << Key);
  }
}

TEST_CASE("a silent connection is replaced, and no caller notices") {
  FleetShape Shape = quickShape();
  Shape.Relay = true;
  Fleet F(Shape, ".", workFolder("silent"));
  F.start();
  Callers C(F, 6);
  CHECK(eventually([&] { return C.answered() > 100; }, Patience));
  // All open connections of entry 1, to all sides.
  CHECK(std::stoi(F.admin(F.Relay.Admin, "/admin/silence?source=127.0.0.2")) >
        0);
  const size_t Before = C.answered();
  CHECK(eventually([&] { return C.answered() > Before + 200; }, Patience));
  C.stop();
  for (const std::string &P : C.problems())
    FAIL_CHECK(P);
}

TEST_CASE("a leaving upstream gets nothing new after a few seconds") {
  Fleet F(quickShape(), ".", workFolder("leaving"));
  F.start();
  Callers C(F, 4);
  CHECK(eventually([&] { return C.answered() > 50; }, Patience));
  F.setInstances({"engine-1"});
  const auto RunsAtFirst = [&] {
    return F.admin(F.Engines[0].Admin, "/admin/runs", "GET").size();
  };
  // Nothing new for two seconds, while others are served.
  CHECK(eventually(
      [&] {
        const size_t Runs = RunsAtFirst();
        const size_t Answered = C.answered();
        pauseFor(2000);
        return RunsAtFirst() == Runs && C.answered() > Answered;
      },
      Patience));
  C.stop();
  for (const std::string &P : C.problems())
    FAIL_CHECK(P);
}

TEST_CASE("a start in an outage serves what its peers have") {
  Fleet F(quickShape(), ".", workFolder("outage"));
  F.start();
  F.admin(F.Platform.Http, "/admin/outage?on=1");
  F.Entries[0].Running->signal(SIGKILL);
  F.Entries[0].Running->wait();
  F.restart(F.Entries[0]);
  CHECK(eventually([&] { return F.generationInForce(1); }, Patience));
  CHECK(post(F.Entries[0].Http, "/v1/completions",
             completionBody("a1@1", "t", 3, true))
            .Head.Status == 200);
}

TEST_CASE("a poisonous request takes down at most two engines") {
  FleetShape Shape = quickShape();
  Shape.CrashDownMs = 300;
  Fleet F(Shape, ".", workFolder("poison"));
  F.start();
  for (int I = 0; I < 8; ++I)
    post(F.Entries[static_cast<size_t>(I) % 2].Http, "/v1/completions",
         R"({"model":"a1@1","prompt":"POISON","max_tokens":3})");
  CHECK(F.engineCount("crashes") <= 2);
  CHECK(F.engineCount("crashes") >= 1);
  CHECK(post(F.Entries[0].Http, "/v1/completions",
             completionBody("a1@1", "t", 3, false))
            .Head.Status == 200);
}

TEST_CASE("a lost answer is resolved, and a race is reported") {
  Fleet F(quickShape(), ".", workFolder("apply"));
  F.start();
  F.Shape.Adapters = 51;
  F.admin(F.Platform.Http, "/admin/lose_answers?count=1000000");
  CHECK(F.apply() == 0);
  F.admin(F.Platform.Http, "/admin/lose_answers?count=0");
  CHECK(eventually([&] { return F.generationInForce(2); }, Patience));
  CHECK(F.apply() == 0); // Unchanged.
  CHECK(F.tool({"apply", workFolder("apply") + "/declarations", "--platform",
                F.Platform.Http.text(), "--if-generation", "1"}) == 3);
  CHECK(F.tool({"check", workFolder("apply")}) == 2);
  CHECK(F.tool({"nonsense"}) == 2);
}

TEST_CASE("operators read the status of all processes from the platform") {
  Fleet F(quickShape(), ".", workFolder("status"));
  F.start();
  const std::vector<std::string> Status = {"--json", "status", "--platform",
                                           F.Platform.Http.text()};
  const auto Processes = [&] {
    http::Request R;
    R.Target = "/objects/status/cell-1";
    const auto Json = nlohmann::json::parse(
        http::fetchNow(F.Platform.Http, std::move(R), patient()).Body, nullptr,
        false);
    return Json.is_object() ? Json["processes"].size() : 0;
  };
  // 3 engines, 2 services, 2 entries.
  CHECK(eventually([&] { return Processes() == 7; }, Patience));
  CHECK(F.tool(Status) == 0);
}

TEST_CASE("a process that cannot start says why and exits non-zero") {
  const std::string Work = workFolder("start");
  Fleet F(quickShape(), ".", Work);
  F.start();
  const auto Run = [&](const std::string &Settings) {
    return Process({"./goldcrestlinkd", "--settings", Settings},
                   Work + "/refused.log")
        .wait();
  };
  CHECK(Run(Work + "/" + F.Entries[0].Name + ".ini") == 1); // Port taken.
  CHECK(Run(Work + "/absent.ini") == 2);
  CHECK(Run(Work + "/declarations/base.ini") == 2); // Not settings.
}

namespace {

struct BadHttpRow {
  const char *Name;
  std::string Target;
  std::string Body;
  http::Headers Fields;
  unsigned Status;
};

} // namespace

TEST_CASE("bad input gets a clear error and leaves the process serving") {
  Fleet F(quickShape(), ".", workFolder("bad"));
  F.start();
  const std::string Path = "/v1/completions";
  const BadHttpRow Rows[] = {
      {"malformed JSON", Path, "{", {}, 400},
      {"deep JSON", Path, std::string(500000, '['), {}, 400},
      {"huge body", Path, std::string(3 << 20, 'x'), {}, 413},
      {"huge header", Path, "{}", {{"X-Big", std::string(40000, 'x')}}, 431},
      {"unknown adapter", Path, R"({"model":"zz@1"})", {}, 404},
      {"unknown version", Path, R"({"model":"a1@77"})", {}, 404},
      {"unknown rank", Path, R"({"model":"a1@1"})", {{"X-Rank", "zz"}}, 400},
      {"unknown path", "/nothing", "", {}, 404},
  };
  for (const BadHttpRow &Row : Rows) {
    unsigned Status = Row.Status;
    try {
      Status =
          post(F.Entries[0].Http, Row.Target, Row.Body, Row.Fields).Head.Status;
    } catch (const std::runtime_error &) {
      // Refused while the body was still being sent.
    }
    CHECK_MESSAGE(Status == Row.Status, std::string(Row.Name));
  }
  // Garbage, truncated frames and another wire version at a side's socket.
  zmq::context_t Context;
  zmq::socket_t Socket(Context, zmq::socket_type::dealer);
  Socket.set(zmq::sockopt::linger, 1000);
  Socket.connect("tcp://" + F.EngineSides[0].Wire.text());
  Random R(3);
  wire::Envelope Probe;
  Probe.mutable_probe()->set_probe_id("p");
  const std::string Good = wire::serialiseFrame(Probe);
  Probe.set_wire_version(wire::WireVersion + 1);
  std::vector<std::string> Frames = {"", Good.substr(0, Good.size() / 2),
                                     Probe.SerializeAsString()};
  for (int I = 0; I < 100; ++I) {
    std::string Frame(R.below(200), 'x');
    for (char &C : Frame)
      C = static_cast<char>(R.below(256));
    Frames.push_back(std::move(Frame));
  }
  for (const std::string &Frame : Frames)
    Socket.send(zmq::buffer(Frame), zmq::send_flags::none);
  Socket.send(zmq::buffer(Good), zmq::send_flags::none);
  Socket.set(zmq::sockopt::rcvtimeo, 30000);
  zmq::message_t Answer;
  CHECK(Socket.recv(Answer).has_value()); // The good one is answered.
  CHECK(F.admin(F.EngineSides[0].Http, "/metrics", "GET")
            .find("bad_frames_total") != std::string::npos);
  CHECK(post(F.Entries[0].Http, Path, completionBody("a1@1", "t", 2, false))
            .Head.Status == 200);
  CHECK(F.admin(F.Entries[0].Http, "/metrics", "GET")
            .find("goldcrestlink_requests_total") != std::string::npos);
  CHECK(F.admin(F.EngineSides[0].Http, "/metrics", "GET")
            .find("rank=\"urgent\"") != std::string::npos);
}
