// Stand-in for a model engine: adapter slots, continuous batching whose step
// time grows with the batch and its distinct adapters, loads through the
// store, and faults. A prompt that holds the word POISON crashes the engine:
// its port closes, all sequences are cut and its slots are lost until it comes
// back. The admin port stays open throughout:
//
//   POST /admin/crash?down_ms=N   crash now
//   POST /admin/mute?on=1         accept calls and answer nothing
//   POST /admin/wrong_model?count=N   name another adapter in N answers
//   GET  /admin/counts            steps, sequences, adapters, violations
//   GET  /admin/runs              one line per run: its "user" field
//
// One timer drives all sequences; a step costs the number of sequences.
#include <charconv>
#include <deque>
#include <list>
#include <set>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "base/random.h"
#include "http/client.h"
#include "http/server.h"

using namespace goldcrestlink;

namespace {

struct Shape {
  std::string Listen = "127.0.0.1:9200";
  std::string Admin = "127.0.0.1:9201";
  std::string Store;
  size_t Slots = 8;
  size_t MaxBatch = 16;
  double StepBaseMs = 20;
  double StepPerSequenceMs = 0.5;
  double StepPerAdapterMs = 2;
  uint64_t LoadFailsOneIn = 200;
  uint64_t CrashDownMs = 3000;
  uint64_t Seed = 1;
};

struct Sequence {
  std::shared_ptr<http::Responder> Answer;
  std::string Id;
  std::string Model;
  std::string Tag;
  size_t Tokens = 0;
  size_t Done = 0;
  size_t Slot = 0;
  bool Stream = false;
  bool Gone = false;
  std::string Text;
};

uint64_t parseNumber(std::string_view Text) {
  uint64_t Out = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Out;
}

class Engine {
public:
  Engine(boost::asio::io_context &InIo, Shape InShape)
      : Io(InIo), S(std::move(InShape)), Slots(S.Slots), Client(Io),
        StepTimer(Io), RestartTimer(Io), Rand(S.Seed),
        Admin(Io, http::Endpoint::parse(S.Admin), http::ServerOptions(),
              [this](http::Request R, std::shared_ptr<http::Responder> A) {
                onAdmin(R, *A);
              }) {
    open();
  }

private:
  void open() {
    Server = std::make_unique<http::Server>(
        Io, http::Endpoint::parse(S.Listen), http::ServerOptions(),
        [this](http::Request R, std::shared_ptr<http::Responder> A) {
          onRequest(std::move(R), std::move(A));
        });
  }

  void onRequest(http::Request R, std::shared_ptr<http::Responder> A) {
    if (Mute) {
      Muted.push_back(std::move(A));
      return;
    }
    const std::string_view Path = R.path();
    if (Path == "/v1/completions" || Path == "/v1/chat/completions")
      return onCompletion(R, std::move(A));
    if (Path == "/v1/load_lora_adapter")
      return onLoad(R, std::move(A));
    if (Path == "/v1/slots") {
      nlohmann::json Out;
      Out["slots"] = Slots;
      return A->whole(200, {{"Content-Type", "application/json"}}, Out.dump());
    }
    A->whole(404, {}, "");
  }

  void onCompletion(const http::Request &R,
                    std::shared_ptr<http::Responder> A) {
    const auto Json = nlohmann::json::parse(R.Body, nullptr, false);
    if (!Json.is_object())
      return A->whole(400, {}, "");
    const std::string Model = Json.value("model", std::string());
    const auto Slot = std::find(Slots.begin(), Slots.end(), Model);
    if (Model.empty() || Slot == Slots.end())
      return A->whole(404, {}, "");
    auto Seq = std::make_shared<Sequence>();
    Seq->Tag = Json.value("user", std::string());
    Runs.push_back(Seq->Tag);
    if (Json.value("prompt", std::string()).find("POISON") != std::string::npos)
      return boost::asio::post(Io, [this] { crash(S.CrashDownMs); });
    Seq->Answer = A;
    Seq->Id = std::string(R.header("X-Request-Id"));
    Seq->Model = Model;
    Seq->Tokens = Json.value("max_tokens", size_t(16));
    Seq->Stream = Json.value("stream", false);
    Seq->Slot = static_cast<size_t>(Slot - Slots.begin());
    A->onGone([Seq] { Seq->Gone = true; });
    if (Seq->Stream)
      A->begin(200, {{"Content-Type", "text/event-stream"}});
    if (S.StepBaseMs <= 0) {
      while (Seq->Done < Seq->Tokens)
        giveToken(*Seq);
      return finish(*Seq);
    }
    Waiting.push_back(Seq);
    fillBatch();
  }

  void fillBatch() {
    while (!Waiting.empty() && Batch.size() < S.MaxBatch) {
      Batch.push_back(Waiting.front());
      Waiting.pop_front();
    }
    if (Batch.empty() || Stepping)
      return;
    Stepping = true;
    std::set<std::string> Adapters;
    for (const auto &Seq : Batch)
      Adapters.insert(Seq->Model);
    ++Steps;
    SequenceSteps += Batch.size();
    AdapterSteps += Adapters.size();
    const double Millis =
        S.StepBaseMs + S.StepPerSequenceMs * static_cast<double>(Batch.size()) +
        S.StepPerAdapterMs * static_cast<double>(Adapters.size());
    StepTimer.expires_after(fromSeconds(Millis / 1000));
    StepTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        step();
    });
  }

  void step() {
    Stepping = false;
    for (auto It = Batch.begin(); It != Batch.end();) {
      Sequence &Seq = **It;
      if (!Seq.Gone)
        giveToken(Seq);
      const bool Ended = Seq.Gone || Seq.Done >= Seq.Tokens;
      if (Ended && !Seq.Gone)
        finish(Seq);
      It = Ended ? Batch.erase(It) : std::next(It);
    }
    fillBatch();
  }

  std::string part(const Sequence &Seq, const std::string &Text) {
    nlohmann::json Out;
    Out["id"] = "cmpl-" + Seq.Id;
    Out["model"] = WrongModels > 0 ? "other@0" : Seq.Model;
    Out["choices"] = {{{"text", Text}}};
    return Out.dump();
  }

  void giveToken(Sequence &Seq) {
    const std::string Token = Seq.Tag + ":" + std::to_string(Seq.Done++) + " ";
    if (Seq.Stream)
      Seq.Answer->data("data: " + part(Seq, Token) + "\n\n");
    else
      Seq.Text += Token;
  }

  void finish(Sequence &Seq) {
    if (Seq.Stream) {
      Seq.Answer->data("data: [DONE]\n\n");
      Seq.Answer->end();
    } else {
      Seq.Answer->whole(200, {{"Content-Type", "application/json"}},
                        part(Seq, Seq.Text));
    }
    if (WrongModels > 0)
      --WrongModels;
  }

  void onLoad(const http::Request &R, std::shared_ptr<http::Responder> A) {
    const auto Json = nlohmann::json::parse(R.Body, nullptr, false);
    const std::string Key = Json.value("lora_name", std::string());
    const size_t Slot = Json.value("slot", size_t(0));
    const auto InUse = [&](const std::shared_ptr<Sequence> &Seq) {
      return Seq->Slot == Slot && !Seq->Gone;
    };
    if (std::any_of(Batch.begin(), Batch.end(), InUse) ||
        std::any_of(Waiting.begin(), Waiting.end(), InUse)) {
      ++Violations;
      return A->whole(409, {}, "");
    }
    if (Slot >= Slots.size())
      return A->whole(400, {}, "");
    Slots[Slot].clear();
    ++Loads;
    const bool Fails =
        S.LoadFailsOneIn > 0 && Rand.below(S.LoadFailsOneIn) == 0;
    const uint64_t Life = Lives;
    const auto Finish = [this, A, Slot, Key, Life](bool Loaded) {
      if (Life != Lives)
        return A->abort();
      if (Loaded)
        Slots[Slot] = Key;
      A->whole(Loaded ? 200 : 500, {}, "");
    };
    if (S.Store.empty())
      return Finish(!Fails);
    http::Request Fetch;
    Fetch.Target = "/fetch?adapter=" + Key;
    Client.fetch(
        http::Endpoint::parse(S.Store), std::move(Fetch),
        http::CallOptions().setFreshConnection(true),
        [Finish, Fails](const http::Response *Answer, http::CallError) {
          Finish(Answer && !Fails);
        });
  }

  void crash(uint64_t DownMs) {
    ++Crashes;
    ++Lives;
    for (auto &Seq : Batch)
      Seq->Answer->abort();
    for (auto &Seq : Waiting)
      Seq->Answer->abort();
    Batch.clear();
    Waiting.clear();
    Muted.clear();
    Stepping = false;
    StepTimer.cancel();
    Slots.assign(S.Slots, std::string());
    Server.reset();
    RestartTimer.expires_after(std::chrono::milliseconds(DownMs));
    RestartTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        open();
    });
  }

  void onAdmin(const http::Request &R, http::Responder &A) {
    const std::string_view Path = R.path();
    if (Path == "/admin/crash")
      crash(parseNumber(R.query("down_ms")));
    if (Path == "/admin/wrong_model")
      WrongModels = parseNumber(R.query("count"));
    if (Path == "/admin/mute") {
      Mute = R.query("on") == "1";
      Muted.clear();
    }
    std::string Out;
    if (Path == "/admin/runs")
      for (const std::string &Tag : Runs)
        Out += Tag + "\n";
    if (Path == "/admin/counts")
      Out = "steps " + std::to_string(Steps) + "\nsequence_steps " +
            std::to_string(SequenceSteps) + "\nadapter_steps " +
            std::to_string(AdapterSteps) + "\nloads " + std::to_string(Loads) +
            "\nviolations " + std::to_string(Violations) + "\ncrashes " +
            std::to_string(Crashes) + "\n";
    A.whole(200, {}, Out);
  }

  boost::asio::io_context &Io;
  Shape S;
  std::vector<std::string> Slots;
  http::Client Client;
  boost::asio::steady_timer StepTimer;
  boost::asio::steady_timer RestartTimer;
  Random Rand;
  std::deque<std::shared_ptr<Sequence>> Waiting;
  std::list<std::shared_ptr<Sequence>> Batch;
  std::vector<std::shared_ptr<http::Responder>> Muted;
  std::vector<std::string> Runs;
  uint64_t Steps = 0;
  uint64_t SequenceSteps = 0;
  uint64_t AdapterSteps = 0;
  uint64_t Loads = 0;
  uint64_t Violations = 0;
  uint64_t Crashes = 0;
  uint64_t WrongModels = 0;
  uint64_t Lives = 0;
  bool Stepping = false;
  bool Mute = false;
  std::unique_ptr<http::Server> Server;
  http::Server Admin;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"stand-in for a model engine"};
  Shape S;
  App.add_option("--listen", S.Listen, "ip:port");
  App.add_option("--admin", S.Admin, "ip:port of the admin calls");
  App.add_option("--store", S.Store,
                 "ip:port of the weight store; none: "
                 "loads are immediate");
  App.add_option("--slots", S.Slots, "adapter slots");
  App.add_option("--max-batch", S.MaxBatch, "sequences at once");
  App.add_option("--step-ms", S.StepBaseMs, "base step time; 0: no steps");
  App.add_option("--load-fails-one-in", S.LoadFailsOneIn, "0: never");
  App.add_option("--crash-down-ms", S.CrashDownMs, "down time of a crash");
  App.add_option("--seed", S.Seed, "seed of the faults");
  CLI11_PARSE(App, Argc, Argv);
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Io.stop(); });
  Engine E(Io, S);
  Io.run();
}
