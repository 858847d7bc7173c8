// One HTTP call per run. The number of calls is bounded by the machine, which
// runs no more than the upstream's declared concurrency.
#include "side/upstream_client.h"

#include <nlohmann/json.hpp>

namespace goldcrestlink::side {

namespace {

constexpr Duration CheckTimeout = std::chrono::seconds(1);
constexpr Duration LoadTimeout = std::chrono::seconds(30);
constexpr Duration RunSilence = std::chrono::seconds(30);

http::CallOptions timed(Duration Silence, bool Fresh) {
  return http::CallOptions()
      .setConnectTimeout(CheckTimeout)
      .setSilenceTimeout(Silence)
      .setFreshConnection(Fresh);
}

UpstreamStatus statusFrom(const http::Response *Answer, http::CallError Error) {
  UpstreamStatus Out;
  if (!Answer) {
    Out.Is = Error == http::CallError::Silent ? UpstreamStatus::Kind::Silent
                                              : UpstreamStatus::Kind::Refused;
    return Out;
  }
  if (Answer->Head.Status != 200) {
    Out.Is = UpstreamStatus::Kind::Silent;
    return Out;
  }
  const auto Json = nlohmann::json::parse(Answer->Body, nullptr, false);
  if (Json.is_object() && Json.contains("slots") && Json["slots"].is_array())
    for (const auto &Slot : Json["slots"])
      Out.SlotKeys.push_back(Slot.is_string() ? Slot.get<std::string>()
                                              : std::string());
  return Out;
}

} // namespace

UpstreamClient::UpstreamClient(boost::asio::io_context &Io,
                               UpstreamEvents Events)
    : Http(Io), On(std::move(Events)) {}

void UpstreamClient::setUpstream(const UpstreamDecl &Decl) { Upstream = Decl; }

void UpstreamClient::start(const StartRun &Run) {
  http::Request R;
  R.Method = Run.Method;
  R.Target = Run.Path;
  R.Body = Run.Body;
  if (!Run.ContentType.empty())
    R.Fields.push_back({"Content-Type", Run.ContentType});
  R.Fields.push_back({"X-Request-Id", Run.AttemptId});
  if (!Run.IdempotencyKey.empty())
    R.Fields.push_back({"Idempotency-Key", Run.IdempotencyKey});
  if (Run.FencingNumber) {
    R.Fields.push_back({"Fencing-Number", std::to_string(Run.FencingNumber)});
    R.Fields.push_back({"Fencing-Scope", std::to_string(Run.FencingScope)});
  }
  const std::string Id = Run.AttemptId;
  http::CallHandlers Handlers;
  Handlers.OnHead = [this, Id](const http::ResponseHead &Head) {
    On.Head(Id, Head.Status, Head.header("Content-Type"));
  };
  Handlers.OnData = [this, Id](std::string Part) { On.Data(Id, Part); };
  Handlers.OnDone = [this, Id] {
    Calls.erase(Id);
    On.Done(Id);
  };
  Handlers.OnError = [this, Id](http::CallError Error, const std::string &) {
    Calls.erase(Id);
    On.Error(Id, Error == http::CallError::NotSent  ? RunError::NotSent
                 : Error == http::CallError::Silent ? RunError::Silent
                                                    : RunError::Broken);
  };
  Calls[Id] =
      Http.start(Upstream.Address, std::move(R),
                 timed(RunSilence, Run.OwnConnection), std::move(Handlers));
}

void UpstreamClient::cancel(const std::string &AttemptId) {
  const auto It = Calls.find(AttemptId);
  if (It == Calls.end())
    return;
  It->second->cancel();
  Calls.erase(It);
}

void UpstreamClient::load(const LoadAdapter &Order) {
  http::Request R;
  R.Method = "POST";
  R.Target = "/v1/load_lora_adapter";
  R.Fields.push_back({"Content-Type", "application/json"});
  R.Body =
      nlohmann::json{{"lora_name", Order.Key}, {"slot", Order.Slot}}.dump();
  Http.fetch(Upstream.Address, std::move(R), timed(LoadTimeout, true),
             [this, Order](const http::Response *Answer, http::CallError) {
               On.Loaded(Order.Slot, Order.Key,
                         Answer && Answer->Head.Status == 200);
             });
}

void UpstreamClient::check() {
  http::Request R;
  R.Target = Upstream.Kind == UpstreamKind::Engine ? "/v1/slots" : "/healthz";
  Http.fetch(Upstream.Address, std::move(R), timed(CheckTimeout, true),
             [this](const http::Response *Answer, http::CallError Error) {
               On.Checked(statusFrom(Answer, Error));
             });
}

} // namespace goldcrestlink::side
