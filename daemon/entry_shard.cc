// The shell around EntryMachine: performs its actions and feeds it messages,
// failures and ticks. Actions that fail at once are fed back only after all
// actions of a command are performed, so the machine is never re-entered.
// Streams are bounded by the HTTP server's unsent limit; requests by the
// machine's.
#include "daemon/entry_shard.h"

#include <unordered_map>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include "daemon/side_links.h"
#include "entry/entry_machine.h"
#include "entry/request_parser.h"
#include "http/server.h"

namespace goldcrestlink {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(5);
constexpr const char *JsonType = "application/json";

http::ServerOptions serverOptions(const Settings &S) {
  return http::ServerOptions()
      .setMaxHeaderBytes(static_cast<size_t>(S.MaxHeaderBytes))
      .setMaxBodyBytes(static_cast<size_t>(S.MaxBodyBytes))
      .setMaxConnections(static_cast<size_t>(S.MaxConnections))
      .setSharePort(S.TrafficThreads > 1);
}

entry::EntryMachine::Options machineOptions(const Settings &S) {
  return entry::EntryMachine::Options()
      .setMaxRequests(static_cast<size_t>(S.MaxRequestsInProgress))
      .setStrategy(*findChoiceStrategy(S.Routing));
}

} // namespace

struct EntryShard::State {
  State(const Settings &InSettings, size_t Index, uint64_t FromSeed,
        zmq::context_t &InContext, EntrySinks InSinks)
      : S(InSettings), Seed(FromSeed), Context(InContext),
        Sinks(std::move(InSinks)), Ticker(Io), Guard(Io.get_executor()),
        Rand(FromSeed ^ Index),
        Links(Io, Context, S.SourceAddress,
              [this](const std::string &Upstream, wire::Envelope &Message) {
                onMessage(Upstream, Message);
              }),
        Listener(Io, S.Listen, serverOptions(S),
                 [this](http::Request R, std::shared_ptr<http::Responder> A) {
                   onHttp(std::move(R), std::move(A));
                 }) {}

  void onHttp(http::Request R, std::shared_ptr<http::Responder> Answer);
  void onStatusCall(const http::Request &R, http::Responder &Answer);
  void onMetricsCall(std::shared_ptr<http::Responder> Answer);
  void refuse(http::Responder &Answer, Code Why, const std::string &Id,
              std::string_view Detail);
  void perform(entry::Actions &Out);
  void perform(entry::SendSide &A);
  void perform(entry::ResetConnection &A);
  void perform(entry::DeliverHead &A);
  void perform(entry::DeliverData &A);
  void perform(entry::DeliverEnd &A);
  void perform(entry::DeliverWhole &A);
  void perform(entry::DeliverError &A);
  void perform(entry::LogDecision &A) { Sinks.Log(A.Class, std::move(A.Line)); }
  void perform(entry::RequestRecord &A) { Sinks.Record(std::move(A)); }
  void onMessage(const std::string &Upstream, wire::Envelope &Message);
  void onConfig(std::shared_ptr<const Declarations> Config);
  void tick();
  std::shared_ptr<http::Responder> takeResponder(const std::string &Id);

  Settings S;
  uint64_t Seed;
  zmq::context_t &Context;
  EntrySinks Sinks;
  boost::asio::io_context Io{1};
  boost::asio::steady_timer Ticker;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard;
  Random Rand;
  std::unique_ptr<entry::EntryMachine> Machine;
  SideLinks Links;
  std::unordered_map<std::string, std::shared_ptr<http::Responder>> Responders;
  std::vector<std::string> FailedAttempts;
  uint64_t RequestCounter = 0;
  bool Stopping = false;
  std::atomic<size_t> InProgress{0};
  http::Server Listener;
};

void EntryShard::State::onStatusCall(const http::Request &R,
                                     http::Responder &Answer) {
  if (R.path() == "/healthz")
    return Answer.whole(200, {{"Content-Type", "text/plain"}}, "ok\n");
  if (R.path() == "/readyz") {
    const bool Ready = Machine && !Stopping;
    return Answer.whole(Ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                        Ready ? "ready\n" : "not ready\n");
  }
  if (R.path() == "/explain" && Machine) {
    const std::string_view Model = R.query("model");
    const size_t At = std::min(Model.find('@'), Model.size());
    return Answer.whole(
        200, {{"Content-Type", "text/plain"}},
        Machine->explain(presentTime(), Model.substr(0, At),
                         Model.substr(std::min(At + 1, Model.size()))));
  }
  std::string Text = "generation " +
                     std::to_string(Machine ? Machine->generation() : 0) +
                     "\nin_progress " + std::to_string(InProgress) + "\n";
  if (Machine)
    for (const std::string &Name : Machine->availableUpstreams(presentTime()))
      Text += "available " + Name + "\n";
  Answer.whole(200, {{"Content-Type", "text/plain"}}, Text);
}

void EntryShard::State::onMetricsCall(std::shared_ptr<http::Responder> Answer) {
  Sinks.Metrics([this, Answer](std::string Text) {
    boost::asio::post(Io, [Answer, Text = std::move(Text)] {
      Answer->whole(200, {{"Content-Type", "text/plain; version=0.0.4"}}, Text);
    });
  });
}

void EntryShard::State::refuse(http::Responder &Answer, Code Why,
                               const std::string &Id, std::string_view Detail) {
  Answer.whole(httpStatus(Why), {{"Content-Type", JsonType}},
               entry::errorBody(Why, Outcome::NotRun, Id, Detail));
}

void EntryShard::State::onHttp(http::Request R,
                               std::shared_ptr<http::Responder> Answer) {
  const std::string_view Path = R.path();
  if (Path == "/healthz" || Path == "/readyz" || Path == "/status" ||
      Path == "/explain")
    return onStatusCall(R, *Answer);
  if (Path == "/metrics")
    return onMetricsCall(std::move(Answer));
  char Id[40];
  std::snprintf(Id, sizeof(Id), "r%016llx-%llx",
                static_cast<unsigned long long>(Seed),
                static_cast<unsigned long long>(++RequestCounter));
  if (!Machine)
    return refuse(*Answer, Code::NotConfigured, Id, "no configuration yet");
  auto Parsed = entry::parseCallerRequest(std::move(R), Id);
  if (!Parsed.Problem.empty())
    return refuse(*Answer, Code::BadRequest, Id, Parsed.Problem);
  Responders.emplace(Id, Answer);
  Answer->onGone([this, Id = std::string(Id)] {
    if (!Responders.erase(Id))
      return;
    entry::Actions Out;
    Machine->onCallerGone(presentTime(), Id, Out);
    perform(Out);
  });
  entry::Actions Out;
  Machine->onRequest(presentTime(), std::move(Parsed.Request), Out);
  perform(Out);
}

void EntryShard::State::perform(entry::Actions &Out) {
  for (entry::Action &A : Out)
    std::visit([this](auto &One) { perform(One); }, A);
  while (!FailedAttempts.empty()) {
    const std::vector<std::string> Failed = std::move(FailedAttempts);
    FailedAttempts.clear();
    for (const std::string &Id : Failed) {
      entry::Actions More;
      Machine->onSendFailed(presentTime(), Id, More);
      for (entry::Action &A : More)
        std::visit([this](auto &One) { perform(One); }, A);
    }
  }
  InProgress = Machine->requestsInProgress();
}

void EntryShard::State::perform(entry::SendSide &A) {
  SideLink *L = Links.find(A.Upstream);
  if (!A.Message.has_attempt()) {
    if (L)
      L->sendSoon(A.Message);
    return;
  }
  if (!L || !L->sendNow(A.Message))
    FailedAttempts.push_back(A.Message.attempt().attempt_id());
}

void EntryShard::State::perform(entry::ResetConnection &A) {
  if (SideLink *L = Links.find(A.Upstream))
    L->reset();
}

std::shared_ptr<http::Responder>
EntryShard::State::takeResponder(const std::string &Id) {
  const auto It = Responders.find(Id);
  if (It == Responders.end())
    return nullptr;
  auto Out = std::move(It->second);
  Responders.erase(It);
  return Out;
}

void EntryShard::State::perform(entry::DeliverHead &A) {
  const auto It = Responders.find(A.RequestId);
  if (It != Responders.end())
    It->second->begin(A.Status, {{"Content-Type", A.ContentType},
                                 {"X-Request-Id", A.RequestId}});
}

void EntryShard::State::perform(entry::DeliverData &A) {
  const auto It = Responders.find(A.RequestId);
  if (It != Responders.end())
    It->second->data(std::move(A.Bytes));
}

void EntryShard::State::perform(entry::DeliverEnd &A) {
  if (auto R = takeResponder(A.RequestId))
    R->end();
}

void EntryShard::State::perform(entry::DeliverWhole &A) {
  if (auto R = takeResponder(A.RequestId))
    R->whole(A.Status,
             {{"Content-Type", A.ContentType}, {"X-Request-Id", A.RequestId}},
             std::move(A.Body));
}

void EntryShard::State::perform(entry::DeliverError &A) {
  auto R = takeResponder(A.RequestId);
  if (!R)
    return;
  const std::string Body = entry::errorBody(A.Why, A.Known, A.RequestId, {});
  if (A.InStream) {
    R->data("data: " + Body + "\n\n");
    return R->abort();
  }
  const auto RetrySeconds =
      std::max<int64_t>(1, A.RetryAfter.count() / 1000000);
  R->whole(httpStatus(A.Why),
           {{"Content-Type", JsonType},
            {"X-Request-Id", A.RequestId},
            {"Retry-After", std::to_string(RetrySeconds)}},
           Body);
}

void EntryShard::State::onMessage(const std::string &Upstream,
                                  wire::Envelope &Message) {
  const bool ForControl =
      Message.has_config_reply() || Message.has_membership() ||
      (Machine && Message.generation() > Machine->generation());
  if (ForControl)
    Sinks.Control(Upstream, Message);
  if (!Machine)
    return;
  entry::Actions Out;
  Machine->onEnvelope(presentTime(), Upstream, Message, Out);
  perform(Out);
}

void EntryShard::State::onConfig(std::shared_ptr<const Declarations> Config) {
  if (Machine)
    Machine->onConfig(Config);
  else
    Machine = std::make_unique<entry::EntryMachine>(machineOptions(S), Config,
                                                    S.Cell, Seed);
  Links.onConfig(Config);
  // Connections are opened ahead of the first request.
  for (const UpstreamDecl &U : Config->upstreams())
    if (U.Cell == S.Cell)
      Links.find(U.Name);
}

void EntryShard::State::tick() {
  Links.flush();
  if (Machine) {
    entry::Actions Out;
    Machine->onTimer(presentTime(), Out);
    perform(Out);
  }
  Ticker.expires_after(Tick);
  Ticker.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      tick();
  });
}

EntryShard::EntryShard(const Settings &S, size_t Index, uint64_t Seed,
                       zmq::context_t &Context, EntrySinks Sinks)
    : Shell(
          std::make_unique<State>(S, Index, Seed, Context, std::move(Sinks))) {}

EntryShard::~EntryShard() = default;

void EntryShard::run() {
  Shell->tick();
  Shell->Io.run();
}

void EntryShard::stop() { Shell->Io.stop(); }

void EntryShard::publish(std::shared_ptr<const Declarations> Config) {
  boost::asio::post(Shell->Io, [this, Config] { Shell->onConfig(Config); });
}

void EntryShard::setMembership(std::set<std::string> Leaving,
                               std::set<std::string> Gone) {
  boost::asio::post(Shell->Io, [this, Leaving, Gone] {
    if (Shell->Machine)
      Shell->Machine->onMembership(Leaving, Gone);
  });
}

void EntryShard::tell(std::string Peer, wire::Envelope Message) {
  boost::asio::post(Shell->Io, [this, Peer, Message]() mutable {
    if (SideLink *L = Shell->Links.find(Peer))
      L->sendSoon(Message);
  });
}

void EntryShard::tellAny(wire::Envelope Message) {
  boost::asio::post(Shell->Io, [this, Message]() mutable {
    if (SideLink *L = Shell->Links.any(Shell->Rand))
      L->sendSoon(Message);
  });
}

void EntryShard::announceStop() {
  boost::asio::post(Shell->Io, [this] {
    Shell->Stopping = true;
    Shell->Listener.announceClose();
  });
}

void EntryShard::stopAccepting() {
  boost::asio::post(Shell->Io, [this] { Shell->Listener.stopAccepting(); });
}

size_t EntryShard::requestsInProgress() const { return Shell->InProgress; }

} // namespace goldcrestlink
