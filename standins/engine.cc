// Stand-in for a model engine: adapter slots, continuous batching whose step
// time grows with the batch and its number of distinct adapters, loads from the
// weight store, and faults. A prompt that contains POISON crashes the engine:
// its port closes, all sequences are aborted and its slots are emptied; the
// port opens again after the down time. The admin port stays open throughout:
//
//   POST /admin/crash?down_ms=N   crash now
//   POST /admin/mute?on=1         accept calls without answering them
//   POST /admin/wrong_model?count=N   name a wrong adapter in N answers
//   GET  /admin/counts            steps, sequences and adapters summed over
//                                 steps, loads, violations, crashes
//   GET  /admin/runs              one line per run: its "user" field
//
// One timer drives all sequences, so that the cost of a step is linear in the
// size of the batch.
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

struct EngineConfig {
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
  std::shared_ptr<http::Responder> Responder;
  std::string Id;
  std::string Model;
  std::string Tag;
  size_t Tokens = 0;
  size_t TokensSent = 0;
  size_t Slot = 0;
  bool Stream = false;
  bool CallerDisconnected = false;
  std::string Text;
};

uint64_t parseNumber(std::string_view Text) {
  uint64_t Out = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Out;
}

class Engine {
public:
  Engine(boost::asio::io_context &InIo, EngineConfig InConfig)
      : Io(InIo), Config(std::move(InConfig)), Slots(Config.Slots), Client(Io),
        StepTimer(Io), RestartTimer(Io), Rand(Config.Seed),
        Admin(Io, http::Endpoint::parse(Config.Admin), http::ServerOptions(),
              [this](http::Request Request,
                     std::shared_ptr<http::Responder> Responder) {
                onAdmin(Request, *Responder);
              }) {
    openPort();
  }

private:
  void openPort() {
    Server = std::make_unique<http::Server>(
        Io, http::Endpoint::parse(Config.Listen), http::ServerOptions(),
        [this](http::Request Request,
               std::shared_ptr<http::Responder> Responder) {
          onRequest(std::move(Request), std::move(Responder));
        });
  }

  void onRequest(http::Request Request,
                 std::shared_ptr<http::Responder> Responder) {
    if (Mute) {
      Muted.push_back(std::move(Responder));
      return;
    }
    const std::string_view Path = Request.path();
    if (Path == "/v1/completions" || Path == "/v1/chat/completions")
      return onCompletion(Request, std::move(Responder));
    if (Path == "/v1/load_lora_adapter")
      return onLoad(Request, std::move(Responder));
    if (Path == "/v1/slots") {
      nlohmann::json Out;
      Out["slots"] = Slots;
      return Responder->respond(200, {{"Content-Type", "application/json"}},
                                Out.dump());
    }
    Responder->respond(404, {}, "");
  }

  void onCompletion(const http::Request &Request,
                    std::shared_ptr<http::Responder> Responder) {
    const auto Json = nlohmann::json::parse(Request.Body, nullptr, false);
    if (!Json.is_object())
      return Responder->respond(400, {}, "");
    const std::string Model = Json.value("model", std::string());
    const auto Slot = std::find(Slots.begin(), Slots.end(), Model);
    if (Model.empty() || Slot == Slots.end())
      return Responder->respond(404, {}, "");
    auto Seq = std::make_shared<Sequence>();
    Seq->Tag = Json.value("user", std::string());
    RunTags.push_back(Seq->Tag);
    if (Json.value("prompt", std::string()).find("POISON") != std::string::npos)
      return boost::asio::post(Io, [this] { crash(Config.CrashDownMs); });
    Seq->Responder = Responder;
    Seq->Id = std::string(Request.header("X-Request-Id"));
    Seq->Model = Model;
    Seq->Tokens = Json.value("max_tokens", size_t(16));
    Seq->Stream = Json.value("stream", false);
    Seq->Slot = static_cast<size_t>(Slot - Slots.begin());
    Responder->onDisconnect([Seq] { Seq->CallerDisconnected = true; });
    if (Seq->Stream)
      Responder->begin(200, {{"Content-Type", "text/event-stream"}});
    if (Config.StepBaseMs <= 0) {
      while (Seq->TokensSent < Seq->Tokens)
        emitToken(*Seq);
      return finish(*Seq);
    }
    Waiting.push_back(Seq);
    startStep();
  }

  void startStep() {
    while (!Waiting.empty() && Batch.size() < Config.MaxBatch) {
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
    const double StepMs =
        Config.StepBaseMs +
        Config.StepPerSequenceMs * static_cast<double>(Batch.size()) +
        Config.StepPerAdapterMs * static_cast<double>(Adapters.size());
    StepTimer.expires_after(fromSeconds(StepMs / 1000));
    StepTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        step();
    });
  }

  void step() {
    Stepping = false;
    for (auto It = Batch.begin(); It != Batch.end();) {
      Sequence &Seq = **It;
      if (!Seq.CallerDisconnected)
        emitToken(Seq);
      const bool Ended = Seq.CallerDisconnected || Seq.TokensSent >= Seq.Tokens;
      if (Ended && !Seq.CallerDisconnected)
        finish(Seq);
      It = Ended ? Batch.erase(It) : std::next(It);
    }
    startStep();
  }

  std::string responseJson(const Sequence &Seq, const std::string &Text) {
    nlohmann::json Out;
    Out["id"] = "cmpl-" + Seq.Id;
    Out["model"] = WrongModels > 0 ? "other@0" : Seq.Model;
    Out["choices"] = {{{"text", Text}}};
    return Out.dump();
  }

  void emitToken(Sequence &Seq) {
    const std::string Token =
        Seq.Tag + ":" + std::to_string(Seq.TokensSent++) + " ";
    if (Seq.Stream)
      Seq.Responder->data("data: " + responseJson(Seq, Token) + "\n\n");
    else
      Seq.Text += Token;
  }

  void finish(Sequence &Seq) {
    if (Seq.Stream) {
      Seq.Responder->data("data: [DONE]\n\n");
      Seq.Responder->end();
    } else {
      Seq.Responder->respond(200, {{"Content-Type", "application/json"}},
                             responseJson(Seq, Seq.Text));
    }
    if (WrongModels > 0)
      --WrongModels;
  }

  void onLoad(const http::Request &Request,
              std::shared_ptr<http::Responder> Responder) {
    const auto Json = nlohmann::json::parse(Request.Body, nullptr, false);
    const std::string Adapter = Json.value("lora_name", std::string());
    const size_t Slot = Json.value("slot", size_t(0));
    const auto UsesSlot = [&](const std::shared_ptr<Sequence> &Seq) {
      return Seq->Slot == Slot && !Seq->CallerDisconnected;
    };
    if (std::any_of(Batch.begin(), Batch.end(), UsesSlot) ||
        std::any_of(Waiting.begin(), Waiting.end(), UsesSlot)) {
      ++Violations;
      return Responder->respond(409, {}, "");
    }
    if (Slot >= Slots.size())
      return Responder->respond(400, {}, "");
    Slots[Slot].clear();
    ++Loads;
    const bool Fails =
        Config.LoadFailsOneIn > 0 && Rand.below(Config.LoadFailsOneIn) == 0;
    const uint64_t IncarnationAtStart = Incarnation;
    // A load that a crash interrupted is aborted and leaves the new slots
    // alone.
    const auto FinishLoad = [this, Responder, Slot, Adapter,
                             IncarnationAtStart](bool Loaded) {
      if (IncarnationAtStart != Incarnation)
        return Responder->abort();
      if (Loaded)
        Slots[Slot] = Adapter;
      Responder->respond(Loaded ? 200 : 500, {}, "");
    };
    if (Config.Store.empty())
      return FinishLoad(!Fails);
    http::Request Fetch;
    Fetch.Target = "/fetch?adapter=" + Adapter;
    Client.fetch(
        http::Endpoint::parse(Config.Store), std::move(Fetch),
        http::CallOptions().setFreshConnection(true),
        [FinishLoad, Fails](const http::Response *Answer, http::CallError) {
          FinishLoad(Answer && !Fails);
        });
  }

  void crash(uint64_t DownMs) {
    ++Crashes;
    ++Incarnation;
    for (auto &Seq : Batch)
      Seq->Responder->abort();
    for (auto &Seq : Waiting)
      Seq->Responder->abort();
    Batch.clear();
    Waiting.clear();
    Muted.clear();
    Stepping = false;
    StepTimer.cancel();
    Slots.assign(Config.Slots, std::string());
    Server.reset();
    RestartTimer.expires_after(std::chrono::milliseconds(DownMs));
    RestartTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        openPort();
    });
  }

  void onAdmin(const http::Request &Request, http::Responder &Responder) {
    const std::string_view Path = Request.path();
    if (Path == "/admin/crash")
      crash(parseNumber(Request.query("down_ms")));
    if (Path == "/admin/wrong_model")
      WrongModels = parseNumber(Request.query("count"));
    if (Path == "/admin/mute") {
      Mute = Request.query("on") == "1";
      Muted.clear();
    }
    std::string Out;
    if (Path == "/admin/runs")
      for (const std::string &Tag : RunTags)
        Out += Tag + "\n";
    if (Path == "/admin/counts")
      Out = "steps " + std::to_string(Steps) + "\nsequence_steps " +
            std::to_string(SequenceSteps) + "\nadapter_steps " +
            std::to_string(AdapterSteps) + "\nloads " + std::to_string(Loads) +
            "\nviolations " + std::to_string(Violations) + "\ncrashes " +
            std::to_string(Crashes) + "\n";
    Responder.respond(200, {}, Out);
  }

  boost::asio::io_context &Io;
  EngineConfig Config;
  std::vector<std::string> Slots;
  http::Client Client;
  boost::asio::steady_timer StepTimer;
  boost::asio::steady_timer RestartTimer;
  Random Rand;
  std::deque<std::shared_ptr<Sequence>> Waiting;
  std::list<std::shared_ptr<Sequence>> Batch;
  std::vector<std::shared_ptr<http::Responder>> Muted;
  std::vector<std::string> RunTags;
  uint64_t Steps = 0;
  uint64_t SequenceSteps = 0;
  uint64_t AdapterSteps = 0;
  uint64_t Loads = 0;
  uint64_t Violations = 0;
  uint64_t Crashes = 0;
  uint64_t WrongModels = 0;
  uint64_t Incarnation = 0;
  bool Stepping = false;
  bool Mute = false;
  std::unique_ptr<http::Server> Server;
  http::Server Admin;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"stand-in for a model engine"};
  EngineConfig Config;
  App.add_option("--listen", Config.Listen, "ip:port");
  App.add_option("--admin", Config.Admin, "ip:port for admin calls");
  App.add_option("--store", Config.Store,
                 "ip:port of the weight store; without "
                 "it loads are immediate");
  App.add_option("--slots", Config.Slots, "adapter slots");
  App.add_option("--max-batch", Config.MaxBatch,
                 "maximum number of sequences in a batch");
  App.add_option("--step-ms", Config.StepBaseMs,
                 "base time of a step in milliseconds; 0: answer at once");
  App.add_option("--load-fails-one-in", Config.LoadFailsOneIn,
                 "mean number of loads per failed load; 0: none fail");
  App.add_option("--crash-down-ms", Config.CrashDownMs,
                 "down time after a POISON prompt, in milliseconds");
  App.add_option("--seed", Config.Seed, "seed for load failures");
  CLI11_PARSE(App, Argc, Argv);
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](boost::system::error_code, int) { Io.stop(); });
  Engine E(Io, Config);
  Io.run();
}
