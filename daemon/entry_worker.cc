// The I/O layer of the entry state machine: performs its actions and passes it
// messages, failures and timer ticks. Attempts that cannot be sent are passed
// back only after all actions of an event have been performed, so the state
// machine is never re-entered. Streams are bounded by the HTTP server's limit
// on unsent data, requests by the state machine's limit.
#include "daemon/entry_worker.h"

#include <optional>
#include <unordered_map>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include "daemon/side_connection_pool.h"
#include "entry/entry_state_machine.h"
#include "entry/request_parser.h"
#include "http/server.h"

namespace goldcrestlink {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(5);
// SO_RCVBUF of each connection.
constexpr size_t ReceiveBytes = 64 * 1024;
constexpr const char *JsonType = "application/json";

http::ServerOptions serverOptions(const Settings &ProcessSettings,
                                  std::shared_ptr<http::CloseLog> Closes) {
  return http::ServerOptions()
      .setMaxHeaderBytes(static_cast<size_t>(ProcessSettings.MaxHeaderBytes))
      .setMaxBodyBytes(static_cast<size_t>(ProcessSettings.MaxBodyBytes))
      .setMaxConnections(static_cast<size_t>(ProcessSettings.MaxConnections))
      .setReceiveBytes(ReceiveBytes)
      .setReusePort(ProcessSettings.TrafficThreads > 1)
      .setCloseLog(std::move(Closes));
}

entry::EntryStateMachine::Options
machineOptions(const Settings &ProcessSettings) {
  return entry::EntryStateMachine::Options()
      .setMaxRequests(
          static_cast<size_t>(ProcessSettings.MaxRequestsInProgress))
      .setStrategy(*findChoiceStrategy(ProcessSettings.Routing));
}

} // namespace

struct EntryWorker::State {
  State(const Settings &InSettings, size_t Index, uint64_t InSeed,
        zmq::context_t &InContext, EntrySinks InSinks)
      : ProcessSettings(InSettings), Seed(InSeed), Context(InContext),
        Sinks(std::move(InSinks)), TickTimer(Io), WorkGuard(Io.get_executor()),
        RandomSource(InSeed ^ Index),
        Sides(Io, Context, ProcessSettings.SourceAddress,
              [this](const std::string &Upstream, wire::Envelope &Message) {
                onMessage(Upstream, Message);
              }),
        Listener(Io, ProcessSettings.Listen,
                 serverOptions(ProcessSettings, Sinks.Closes),
                 [this](http::Request Request,
                        std::shared_ptr<http::Responder> Answer) {
                   onHttp(std::move(Request), std::move(Answer));
                 }) {}

  void onHttp(http::Request Request, std::shared_ptr<http::Responder> Answer);
  void onStatusRequest(const http::Request &Request, http::Responder &Answer);
  void onMetricsRequest(std::shared_ptr<http::Responder> Answer);
  void refuse(http::Responder &Answer, Code Why, const std::string &Id,
              std::string_view Detail);
  void perform(entry::Actions &Out);
  void perform(entry::SendToSide &Action);
  void perform(entry::ResetConnection &Action);
  void perform(entry::DeliverHead &Action);
  void perform(entry::DeliverData &Action);
  void perform(entry::DeliverEnd &Action);
  void perform(entry::DeliverFullAnswer &Action);
  void perform(entry::DeliverError &Action);
  void perform(entry::LogDecision &Action) {
    Sinks.Log(Action.Class, std::move(Action.Line));
  }
  void perform(entry::RequestRecord &Action) {
    Sinks.Record(std::move(Action));
  }
  void onMessage(const std::string &Upstream, wire::Envelope &Message);
  void onConfig(std::shared_ptr<const Declarations> Config);
  void tick();
  std::shared_ptr<http::Responder> takeResponder(const std::string &Id);

  Settings ProcessSettings;
  uint64_t Seed;
  zmq::context_t &Context;
  EntrySinks Sinks;
  boost::asio::io_context Io{1};
  boost::asio::steady_timer TickTimer;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      WorkGuard;
  Random RandomSource;
  std::unique_ptr<entry::EntryStateMachine> Machine;
  SideConnectionPool Sides;
  std::unordered_map<std::string, std::shared_ptr<http::Responder>> Responders;
  std::vector<std::string> FailedAttemptIds;
  uint64_t RequestCounter = 0;
  // Set once the process stops.
  std::optional<StopSchedule> Stop;
  std::atomic<size_t> InProgress{0};
  // While stopping: requests that are being received, and answers that are not
  // yet with their callers.
  std::atomic<size_t> Undelivered{0};
  // No tick has counted since the control thread asked for the end of
  // accepting.
  std::atomic<bool> IsCountOld{false};
  // The listener has stopped accepting.
  bool AcceptsNoMore = false;
  http::Server Listener;
};

void EntryWorker::State::onStatusRequest(const http::Request &Request,
                                         http::Responder &Answer) {
  if (Request.path() == "/healthz")
    return Answer.respond(200, {{"Content-Type", "text/plain"}}, "ok\n");
  if (Request.path() == "/readyz") {
    const bool Ready = Machine && !Stop;
    return Answer.respond(Ready ? 200 : 503, {{"Content-Type", "text/plain"}},
                          Ready ? "ready\n" : "not ready\n");
  }
  if (Request.path() == "/explain" && Machine) {
    const std::string_view Model = Request.query("model");
    const size_t At = std::min(Model.find('@'), Model.size());
    return Answer.respond(
        200, {{"Content-Type", "text/plain"}},
        Machine->explain(currentTime(), Model.substr(0, At),
                         Model.substr(std::min(At + 1, Model.size()))));
  }
  std::string Text = "generation " +
                     std::to_string(Machine ? Machine->generation() : 0) +
                     "\nin_progress " + std::to_string(InProgress) + "\n";
  if (Machine)
    for (const std::string &Name : Machine->availableUpstreams(currentTime()))
      Text += "available " + Name + "\n";
  Answer.respond(200, {{"Content-Type", "text/plain"}}, Text);
}

void EntryWorker::State::onMetricsRequest(
    std::shared_ptr<http::Responder> Answer) {
  Sinks.Metrics([this, Answer](std::string Text) {
    boost::asio::post(Io, [Answer, Text = std::move(Text)] {
      Answer->respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                      Text);
    });
  });
}

void EntryWorker::State::refuse(http::Responder &Answer, Code Why,
                                const std::string &Id,
                                std::string_view Detail) {
  Answer.respond(httpStatus(Why), {{"Content-Type", JsonType}},
                 entry::errorBody(Why, Outcome::NotRun, Id, Detail));
}

void EntryWorker::State::onHttp(http::Request Request,
                                std::shared_ptr<http::Responder> Answer) {
  const std::string_view Path = Request.path();
  if (Path == "/healthz" || Path == "/readyz" || Path == "/status" ||
      Path == "/explain")
    return onStatusRequest(Request, *Answer);
  if (Path == "/metrics")
    return onMetricsRequest(std::move(Answer));
  char Id[40];
  std::snprintf(Id, sizeof(Id), "r%016llx-%llx",
                static_cast<unsigned long long>(Seed),
                static_cast<unsigned long long>(++RequestCounter));
  if (!Machine)
    return refuse(*Answer, Code::NotConfigured, Id, "no configuration yet");
  auto Parsed = entry::parseCallerRequest(std::move(Request), Id);
  if (!Parsed.Problem.empty())
    return refuse(*Answer, Code::BadRequest, Id, Parsed.Problem);
  Responders.emplace(Id, Answer);
  Answer->onDisconnect([this, Id = std::string(Id)] {
    if (!Responders.erase(Id))
      return;
    entry::Actions Out;
    Machine->onCallerGone(currentTime(), Id, Out);
    perform(Out);
  });
  entry::Actions Out;
  Machine->onRequest(currentTime(), std::move(Parsed.Request), Out);
  perform(Out);
}

void EntryWorker::State::perform(entry::Actions &Out) {
  for (entry::Action &Action : Out)
    std::visit([this](auto &One) { perform(One); }, Action);
  while (!FailedAttemptIds.empty()) {
    const std::vector<std::string> FailedIds = std::move(FailedAttemptIds);
    FailedAttemptIds.clear();
    for (const std::string &Id : FailedIds) {
      entry::Actions FurtherActions;
      Machine->onSendFailed(currentTime(), Id, FurtherActions);
      for (entry::Action &Action : FurtherActions)
        std::visit([this](auto &One) { perform(One); }, Action);
    }
  }
  InProgress = Machine->requestsInProgress();
}

void EntryWorker::State::perform(entry::SendToSide &Action) {
  SideConnection *Side = Sides.find(Action.Upstream);
  if (!Action.Message.has_attempt()) {
    if (Side)
      Side->sendOrQueue(Action.Message);
    return;
  }
  if (!Side || !Side->trySend(Action.Message))
    FailedAttemptIds.push_back(Action.Message.attempt().attempt_id());
}

void EntryWorker::State::perform(entry::ResetConnection &Action) {
  if (SideConnection *Side = Sides.find(Action.Upstream))
    Side->reset();
}

std::shared_ptr<http::Responder>
EntryWorker::State::takeResponder(const std::string &Id) {
  const auto It = Responders.find(Id);
  if (It == Responders.end())
    return nullptr;
  auto Out = std::move(It->second);
  Responders.erase(It);
  return Out;
}

void EntryWorker::State::perform(entry::DeliverHead &Action) {
  const auto It = Responders.find(Action.RequestId);
  if (It != Responders.end())
    It->second->begin(Action.Status, {{"Content-Type", Action.ContentType},
                                      {"X-Request-Id", Action.RequestId}});
}

void EntryWorker::State::perform(entry::DeliverData &Action) {
  const auto It = Responders.find(Action.RequestId);
  if (It != Responders.end())
    It->second->data(std::move(Action.Bytes));
}

void EntryWorker::State::perform(entry::DeliverEnd &Action) {
  if (auto Answer = takeResponder(Action.RequestId))
    Answer->end();
}

void EntryWorker::State::perform(entry::DeliverFullAnswer &Action) {
  if (auto Answer = takeResponder(Action.RequestId))
    Answer->respond(Action.Status,
                    {{"Content-Type", Action.ContentType},
                     {"X-Request-Id", Action.RequestId}},
                    std::move(Action.Body));
}

void EntryWorker::State::perform(entry::DeliverError &Action) {
  auto Answer = takeResponder(Action.RequestId);
  if (!Answer)
    return;
  const std::string Body =
      entry::errorBody(Action.Why, Action.Known, Action.RequestId, {});
  if (Action.InStream) {
    Answer->data("data: " + Body + "\n\n");
    return Answer->abort();
  }
  const auto RetrySeconds =
      std::max<int64_t>(1, Action.RetryAfter.count() / 1000000);
  Answer->respond(httpStatus(Action.Why),
                  {{"Content-Type", JsonType},
                   {"X-Request-Id", Action.RequestId},
                   {"Retry-After", std::to_string(RetrySeconds)}},
                  Body);
}

void EntryWorker::State::onMessage(const std::string &Upstream,
                                   wire::Envelope &Message) {
  const bool ForControl =
      Message.has_config_reply() || Message.has_membership() ||
      (Machine && Message.generation() > Machine->generation());
  if (ForControl)
    Sinks.Control(Upstream, Message);
  if (!Machine)
    return;
  entry::Actions Out;
  Machine->onEnvelope(currentTime(), Upstream, Message, Out);
  perform(Out);
}

void EntryWorker::State::onConfig(std::shared_ptr<const Declarations> Config) {
  if (Machine)
    Machine->onConfig(Config);
  else
    Machine = std::make_unique<entry::EntryStateMachine>(
        machineOptions(ProcessSettings), Config, ProcessSettings.Cell, Seed);
  Sides.onConfig(Config);
  // Connections are opened ahead of the first request.
  for (const UpstreamDecl &U : Config->upstreams())
    if (U.Cell == ProcessSettings.Cell)
      Sides.find(U.Name);
}

void EntryWorker::State::tick() {
  Sides.flush();
  if (Machine) {
    entry::Actions Out;
    if (Stop)
      Machine->onStop(*Stop);
    Machine->onTimer(currentTime(), Out);
    perform(Out);
  }
  if (Stop && currentTime().Steady >= Stop->AnswerBy)
    Listener.refuseIncomplete();
  Undelivered = Stop ? Listener.undelivered() : 0;
  if (AcceptsNoMore)
    IsCountOld = false;
  TickTimer.expires_after(TickInterval);
  TickTimer.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      tick();
  });
}

EntryWorker::EntryWorker(const Settings &ProcessSettings, size_t Index,
                         uint64_t Seed, zmq::context_t &Context,
                         EntrySinks Sinks)
    : Impl(std::make_unique<State>(ProcessSettings, Index, Seed, Context,
                                   std::move(Sinks))) {}

EntryWorker::~EntryWorker() = default;

void EntryWorker::run() {
  Impl->tick();
  Impl->Io.run();
}

void EntryWorker::stop() { Impl->Io.stop(); }

void EntryWorker::publish(std::shared_ptr<const Declarations> Config) {
  boost::asio::post(Impl->Io, [this, Config] { Impl->onConfig(Config); });
}

void EntryWorker::setMembership(std::set<std::string> Draining,
                                std::set<std::string> Gone) {
  boost::asio::post(Impl->Io, [this, Draining, Gone] {
    if (Impl->Machine)
      Impl->Machine->onMembership(Draining, Gone);
  });
}

void EntryWorker::send(std::string Peer, wire::Envelope Message) {
  boost::asio::post(Impl->Io, [this, Peer, Message]() mutable {
    if (SideConnection *Side = Impl->Sides.find(Peer))
      Side->sendOrQueue(Message);
  });
}

void EntryWorker::sendToAny(wire::Envelope Message) {
  boost::asio::post(Impl->Io, [this, Message]() mutable {
    if (SideConnection *Side = Impl->Sides.any(Impl->RandomSource))
      Side->sendOrQueue(Message);
  });
}

void EntryWorker::announceStop(const StopSchedule &Schedule) {
  boost::asio::post(Impl->Io, [this, Schedule] {
    Impl->Stop = Schedule;
    Impl->Listener.announceClose();
  });
}

void EntryWorker::stopAccepting() {
  Impl->IsCountOld = true;
  boost::asio::post(Impl->Io, [this] {
    Impl->Listener.stopAccepting();
    Impl->AcceptsNoMore = true;
  });
}

size_t EntryWorker::requestsInProgress() const {
  return std::max<size_t>(
      {Impl->InProgress, Impl->Undelivered, Impl->IsCountOld ? 1u : 0u});
}

} // namespace goldcrestlink
