// Tests that need separate processes: real sockets and signals, requests from
// caller to upstream under load, restarts, outages and graceful shutdowns.
// Tests wait for conditions rather than for fixed times, except where a fault
// must last for some time.
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
#include "testing/test_deployment.h"
#include "wire/socket.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

constexpr double MaxWaitSeconds = 60;

std::string workFolder(const char *Name) {
  return (std::filesystem::temp_directory_path() /
          ("goldcrestlink-" + std::to_string(::getpid()) + "-" + Name))
      .string();
}

http::CallOptions longTimeouts() {
  return http::CallOptions()
      .setConnectTimeout(std::chrono::seconds(30))
      .setReadTimeout(std::chrono::seconds(60))
      .setFreshConnection(true);
}

http::Response post(const http::Endpoint &To, const std::string &Target,
                    const std::string &Body, http::Headers Fields = {}) {
  http::Request R;
  R.Method = "POST";
  R.Target = Target;
  R.Fields = std::move(Fields);
  R.Body = Body;
  return http::fetchBlocking(To, std::move(R), longTimeouts());
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

// The text of an answer, streamed or not. The text of a stream without its end
// marker is prefixed with "incomplete".
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

// Callers that send requests until stop(), and check their answers.
class Callers {
public:
  Callers(TestDeployment &InDeployment, size_t Count)
      : Deployment(InDeployment) {
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
  /// Callers send to the first EntriesInUse entries only.
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
            post(Deployment.Entries[R.below(EntriesInUse)].Http,
                 "/v1/completions", completionBody(Model, Tag, Tokens, Stream));
        if (Answer.Head.Status == 200 &&
            answerText(Answer, Stream) == expectedText(Tag, Tokens))
          ++Answered;
        else
          recordProblem(Tag + " got " + std::to_string(Answer.Head.Status) +
                        " " + Answer.Body);
      } catch (const std::exception &E) {
        recordProblem(Tag + ": " + E.what());
      }
    }
  }

  void recordProblem(std::string Problem) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Problems.push_back(std::move(Problem));
  }

  TestDeployment &Deployment;
  std::atomic<bool> Stopping{false};
  std::atomic<size_t> Answered{0};
  std::mutex Mutex;
  std::vector<std::string> Problems;
  std::vector<std::thread> Threads;
};

DeploymentOptions quickShape() {
  DeploymentOptions S;
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
    "callers get their own complete answers across an update and shutdowns") {
  TestDeployment Deployment(quickShape(), ".", workFolder("whole"));
  Deployment.start();
  Callers Traffic(Deployment, 12);
  CHECK(eventually([&] { return Traffic.answered() > 200; }, MaxWaitSeconds));
  Deployment.Shape.Versions = "1 2 3";
  CHECK(Deployment.apply() == 0);
  CHECK(eventually([&] { return Deployment.allHaveGeneration(2); },
                   MaxWaitSeconds));
  CHECK(post(Deployment.Entries[1].Http, "/v1/completions",
             completionBody("a1@3", "new", 2, false))
            .Head.Status == 200);
  // One side and one entry shut down gracefully under load.
  const size_t Before = Traffic.answered();
  Deployment.EngineSides[0].Child->signal(SIGTERM);
  CHECK(Deployment.EngineSides[0].Child->wait() == 0);
  Traffic.EntriesInUse = 1;
  Deployment.Entries[1].Child->signal(SIGTERM);
  CHECK(Deployment.Entries[1].Child->wait() == 0);
  CHECK(eventually([&] { return Traffic.answered() > Before + 100; },
                   MaxWaitSeconds));
  Traffic.stop();
  for (const std::string &P : Traffic.problems())
    FAIL_CHECK(P);
  CHECK(Deployment.stopGracefully());
  CHECK(Deployment.sumEngineCounter("violations") == 0);
}

namespace {

http::Headers keyHeaders(const std::string &Key, int64_t IssuedMs) {
  return {{"Idempotency-Key", Key},
          {"Idempotency-Key-Issued-At", std::to_string(IssuedMs)}};
}

std::map<std::string, int> keyRuns(TestDeployment &Deployment) {
  std::map<std::string, int> Out;
  for (const std::string &Line : Deployment.runs(Deployment.Services)) {
    const size_t Space = Line.rfind(' ');
    Out[Line.substr(0, Space)] += std::atoi(Line.c_str() + Space);
  }
  return Out;
}

struct OwnerFaultRow {
  const char *Name;
  bool ChecksFencing;
  void (*Fault)(TestDeployment &);
  void (*Heal)(TestDeployment &);
};

// Faults of a side that owns shards of keys, and of the platform, while callers
// send every key twice, once through each entry.
const OwnerFaultRow OwnerFaultRows[] = {
    {"owner frozen past its lease, then resumed", false,
     [](TestDeployment &Deployment) {
       Deployment.ServiceSides[0].Child->signal(SIGSTOP);
     },
     [](TestDeployment &Deployment) {
       Deployment.ServiceSides[0].Child->signal(SIGCONT);
     }},
    {"owner killed and replaced", true,
     [](TestDeployment &Deployment) {
       Deployment.ServiceSides[0].Child->signal(SIGKILL);
       Deployment.ServiceSides[0].Child->wait();
     },
     [](TestDeployment &Deployment) {
       Deployment.restart(Deployment.ServiceSides[0]);
     }},
    {"owner frozen during a platform outage", false,
     [](TestDeployment &Deployment) {
       Deployment.admin(Deployment.Platform.Http, "/admin/outage?on=1");
       Deployment.ServiceSides[0].Child->signal(SIGSTOP);
     },
     [](TestDeployment &Deployment) {
       Deployment.ServiceSides[0].Child->signal(SIGCONT);
       Deployment.admin(Deployment.Platform.Http, "/admin/outage?on=0");
     }},
};

} // namespace

TEST_CASE("no order runs twice, and no order reported as not run has run") {
  for (const OwnerFaultRow &Row : OwnerFaultRows) {
    DeploymentOptions Shape = quickShape();
    Shape.Engines = 1;
    Shape.LeaseMs = 1500;
    Shape.ServicesCheckFencing = Row.ChecksFencing;
    TestDeployment Deployment(Shape, ".", workFolder("orders"));
    Deployment.start();
    std::set<std::string> NotRun;
    std::set<std::string> Done;
    std::mutex Mutex;
    std::atomic<bool> Stopping{false};
    std::atomic<int> Sent{0};
    const auto Send = [&](size_t Thread) {
      for (int I = 0; !Stopping; ++I) {
        const std::string Key =
            "k" + std::to_string(Thread) + "-" + std::to_string(I);
        const int64_t Issued = unixMillis(currentTime().Wall);
        for (size_t Entry = 0; Entry < 2; ++Entry) {
          auto Fields = keyHeaders(Key, Issued);
          Fields.push_back({"X-Deadline-Ms", "1000"});
          try {
            const auto A = post(Deployment.Entries[Entry].Http, "/work-orders",
                                Key, Fields);
            const std::lock_guard<std::mutex> Lock(Mutex);
            if (A.Head.Status == 200)
              Done.insert(Key);
            else if (A.Body.find("\"not_run\"") != std::string::npos)
              NotRun.insert(Key);
            else
              NotRun.erase(Key);
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
    CHECK(eventually([&] { return Sent > 60; }, MaxWaitSeconds));
    Row.Fault(Deployment);
    pauseFor(4000);
    Row.Heal(Deployment);
    const auto DoneCount = [&] {
      const std::lock_guard<std::mutex> Lock(Mutex);
      return Done.size();
    };
    const size_t AfterHeal = DoneCount();
    CHECK(eventually([&] { return DoneCount() > AfterHeal + 40; },
                     MaxWaitSeconds));
    Stopping = true;
    for (std::thread &T : Threads)
      T.join();
    const auto Runs = keyRuns(Deployment);
    for (const auto &Run : Runs)
      if (Run.first != "none")
        CHECK_MESSAGE(Run.second <= 1, std::string(Row.Name)
                                           << " " << Run.first);
    for (const std::string &Key : NotRun)
      if (!Done.count(Key))
        CHECK_MESSAGE(!Runs.count(Key), std::string(Row.Name) << " " << Key);
  }
}

TEST_CASE("silent connections are replaced without a failed request") {
  DeploymentOptions Shape = quickShape();
  Shape.Relay = true;
  TestDeployment Deployment(Shape, ".", workFolder("silent"));
  Deployment.start();
  Callers Traffic(Deployment, 6);
  CHECK(eventually([&] { return Traffic.answered() > 100; }, MaxWaitSeconds));
  // Silences all open connections of the first entry, to all sides.
  CHECK(std::stoi(Deployment.admin(Deployment.Relay.Admin,
                                   "/admin/silence?source=127.0.0.2")) > 0);
  const size_t Before = Traffic.answered();
  CHECK(eventually([&] { return Traffic.answered() > Before + 200; },
                   MaxWaitSeconds));
  Traffic.stop();
  for (const std::string &P : Traffic.problems())
    FAIL_CHECK(P);
}

TEST_CASE("a draining upstream gets no new requests after a few seconds") {
  TestDeployment Deployment(quickShape(), ".", workFolder("leaving"));
  Deployment.start();
  Callers Traffic(Deployment, 4);
  CHECK(eventually([&] { return Traffic.answered() > 50; }, MaxWaitSeconds));
  Deployment.setInstances({"engine-1"});
  const auto RunsAtFirst = [&] {
    return Deployment.admin(Deployment.Engines[0].Admin, "/admin/runs", "GET")
        .size();
  };
  // No new run for two seconds, while the other engines serve requests.
  CHECK(eventually(
      [&] {
        const size_t Runs = RunsAtFirst();
        const size_t Answered = Traffic.answered();
        pauseFor(2000);
        return RunsAtFirst() == Runs && Traffic.answered() > Answered;
      },
      MaxWaitSeconds));
  Traffic.stop();
  for (const std::string &P : Traffic.problems())
    FAIL_CHECK(P);
}

TEST_CASE("an entry restarted in an outage gets its state from its peers") {
  TestDeployment Deployment(quickShape(), ".", workFolder("outage"));
  Deployment.start();
  Deployment.admin(Deployment.Platform.Http, "/admin/outage?on=1");
  Deployment.Entries[0].Child->signal(SIGKILL);
  Deployment.Entries[0].Child->wait();
  Deployment.restart(Deployment.Entries[0]);
  CHECK(eventually([&] { return Deployment.allHaveGeneration(1); },
                   MaxWaitSeconds));
  CHECK(post(Deployment.Entries[0].Http, "/v1/completions",
             completionBody("a1@1", "t", 3, true))
            .Head.Status == 200);
}

TEST_CASE("a poison request crashes at most two engines") {
  DeploymentOptions Shape = quickShape();
  Shape.CrashDownMs = 300;
  TestDeployment Deployment(Shape, ".", workFolder("poison"));
  Deployment.start();
  for (int I = 0; I < 8; ++I)
    post(Deployment.Entries[static_cast<size_t>(I) % 2].Http, "/v1/completions",
         R"({"model":"a1@1","prompt":"POISON","max_tokens":3})");
  CHECK(Deployment.sumEngineCounter("crashes") <= 2);
  CHECK(Deployment.sumEngineCounter("crashes") >= 1);
  CHECK(post(Deployment.Entries[0].Http, "/v1/completions",
             completionBody("a1@1", "t", 3, false))
            .Head.Status == 200);
}

TEST_CASE("apply resolves lost responses and reports a generation conflict") {
  TestDeployment Deployment(quickShape(), ".", workFolder("apply"));
  Deployment.start();
  Deployment.Shape.Adapters = 51;
  Deployment.admin(Deployment.Platform.Http,
                   "/admin/lose_answers?count=1000000");
  CHECK(Deployment.apply() == 0);
  Deployment.admin(Deployment.Platform.Http, "/admin/lose_answers?count=0");
  CHECK(eventually([&] { return Deployment.allHaveGeneration(2); },
                   MaxWaitSeconds));
  CHECK(Deployment.apply() == 0); // Unchanged.
  CHECK(Deployment.tool({"apply", workFolder("apply") + "/declarations",
                         "--platform", Deployment.Platform.Http.text(),
                         "--if-generation", "1"}) == 3);
  CHECK(Deployment.tool({"check", workFolder("apply")}) == 2);
  CHECK(Deployment.tool({"nonsense"}) == 2);
}

TEST_CASE("operators read the status of all processes from the platform") {
  TestDeployment Deployment(quickShape(), ".", workFolder("status"));
  Deployment.start();
  const std::vector<std::string> Status = {"--json", "status", "--platform",
                                           Deployment.Platform.Http.text()};
  const auto Processes = [&] {
    http::Request R;
    R.Target = "/objects/status/cell-1";
    const auto Json =
        nlohmann::json::parse(http::fetchBlocking(Deployment.Platform.Http,
                                                  std::move(R), longTimeouts())
                                  .Body,
                              nullptr, false);
    return Json.is_object() ? Json["processes"].size() : 0;
  };
  // 3 engines, 2 services, 2 entries.
  CHECK(eventually([&] { return Processes() == 7; }, MaxWaitSeconds));
  CHECK(Deployment.tool(Status) == 0);
}

TEST_CASE("a process that cannot start exits with a non-zero code") {
  const std::string Work = workFolder("start");
  TestDeployment Deployment(quickShape(), ".", Work);
  Deployment.start();
  const auto Run = [&](const std::string &Settings) {
    return Process({"./goldcrestlinkd", "--settings", Settings},
                   Work + "/refused.log")
        .wait();
  };
  CHECK(Run(Work + "/" + Deployment.Entries[0].Name + ".ini") ==
        1); // Port taken.
  CHECK(Run(Work + "/absent.ini") == 2);
  CHECK(Run(Work + "/declarations/base.ini") == 2); // Not a settings file.
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

TEST_CASE("invalid input is rejected and the process continues to serve") {
  TestDeployment Deployment(quickShape(), ".", workFolder("bad"));
  Deployment.start();
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
          post(Deployment.Entries[0].Http, Row.Target, Row.Body, Row.Fields)
              .Head.Status;
    } catch (const std::runtime_error &) {
      // The entry closed the connection while the body was being sent.
    }
    CHECK_MESSAGE(Status == Row.Status, std::string(Row.Name));
  }
  // Invalid frames at a side's socket: random bytes, a truncated frame and
  // another wire version.
  zmq::context_t Context;
  zmq::socket_t Socket(Context, zmq::socket_type::dealer);
  Socket.set(zmq::sockopt::linger, 1000);
  Socket.connect("tcp://" + Deployment.EngineSides[0].Wire.text());
  Random R(3);
  wire::Envelope Probe;
  Probe.mutable_probe()->set_probe_id("p");
  const std::string ValidFrame = wire::serialiseFrame(Probe);
  Probe.set_wire_version(wire::WireVersion + 1);
  std::vector<std::string> Frames = {
      "", ValidFrame.substr(0, ValidFrame.size() / 2),
      Probe.SerializeAsString()};
  for (int I = 0; I < 100; ++I) {
    std::string Frame(R.below(200), 'x');
    for (char &C : Frame)
      C = static_cast<char>(R.below(256));
    Frames.push_back(std::move(Frame));
  }
  for (const std::string &Frame : Frames)
    Socket.send(zmq::buffer(Frame), zmq::send_flags::none);
  Socket.send(zmq::buffer(ValidFrame), zmq::send_flags::none);
  Socket.set(zmq::sockopt::rcvtimeo, 30000);
  zmq::message_t Answer;
  CHECK(Socket.recv(Answer).has_value()); // Only the valid frame is answered.
  CHECK(Deployment.admin(Deployment.EngineSides[0].Http, "/metrics", "GET")
            .find("bad_frames_total") != std::string::npos);
  CHECK(post(Deployment.Entries[0].Http, Path,
             completionBody("a1@1", "t", 2, false))
            .Head.Status == 200);
  CHECK(Deployment.admin(Deployment.Entries[0].Http, "/metrics", "GET")
            .find("goldcrestlink_requests_total") != std::string::npos);
  CHECK(Deployment.admin(Deployment.EngineSides[0].Http, "/metrics", "GET")
            .find("rank=\"urgent\"") != std::string::npos);
}
