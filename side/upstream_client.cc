// Each run is one HTTP call. The state machine bounds the number of calls by
// the declared concurrency of the upstream.
#include "side/upstream_client.h"

#include <nlohmann/json.hpp>

#include "base/bounded_json.h"

namespace goldcrestlink::side {

namespace {

// Also the time-out for connecting.
constexpr Duration CheckTimeout = std::chrono::seconds(1);
constexpr Duration LoadTimeout = std::chrono::seconds(30);
constexpr Duration CallReadTimeout = std::chrono::seconds(30);

http::CallOptions callOptions(Duration ReadTimeout, bool Fresh) {
  return http::CallOptions()
      .setConnectTimeout(CheckTimeout)
      .setReadTimeout(ReadTimeout)
      .setFreshConnection(Fresh);
}

UpstreamStatus statusFromAnswer(const http::Response *Answer,
                                http::CallError Error) {
  UpstreamStatus Out;
  if (!Answer) {
    Out.Result = Error == http::CallError::TimedOut
                     ? UpstreamStatus::Kind::Silent
                     : UpstreamStatus::Kind::Refused;
    return Out;
  }
  if (Answer->Head.Status != 200) {
    Out.Result = UpstreamStatus::Kind::Silent;
    return Out;
  }
  const nlohmann::json Json = parseJson(Answer->Body);
  if (Json.is_object() && Json.contains("slots") && Json["slots"].is_array())
    for (const auto &Slot : Json["slots"])
      Out.SlotKeys.push_back(Slot.is_string() ? Slot.get<std::string>()
                                              : std::string());
  return Out;
}

} // namespace

UpstreamClient::UpstreamClient(boost::asio::io_context &Io,
                               UpstreamEvents Callbacks)
    : Http(Io), Events(std::move(Callbacks)) {}

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
    Events.Head(Id, Head.Status, Head.header("Content-Type"));
  };
  Handlers.OnData = [this, Id](std::string Part) { Events.Data(Id, Part); };
  Handlers.OnDone = [this, Id] {
    Calls.erase(Id);
    Events.Done(Id);
  };
  Handlers.OnError = [this, Id](http::CallError Error, const std::string &) {
    Calls.erase(Id);
    Events.Error(Id, Error == http::CallError::NotSent    ? RunError::NotSent
                     : Error == http::CallError::TimedOut ? RunError::Silent
                                                          : RunError::Broken);
  };
  Calls[Id] = Http.start(Upstream.Address, std::move(R),
                         callOptions(CallReadTimeout, Run.OwnConnection),
                         std::move(Handlers));
}

void UpstreamClient::cancel(const std::string &AttemptId) {
  const auto It = Calls.find(AttemptId);
  if (It == Calls.end())
    return;
  It->second->cancel();
  Calls.erase(It);
}

void UpstreamClient::load(const LoadAdapter &Request) {
  http::Request R;
  R.Method = "POST";
  R.Target = "/v1/load_lora_adapter";
  R.Fields.push_back({"Content-Type", "application/json"});
  R.Body =
      nlohmann::json{{"lora_name", Request.Key}, {"slot", Request.Slot}}.dump();
  Http.fetch(Upstream.Address, std::move(R), callOptions(LoadTimeout, true),
             [this, Request](const http::Response *Answer, http::CallError) {
               Events.Loaded(Request.Slot, Request.Key,
                             Answer && Answer->Head.Status == 200);
             });
}

void UpstreamClient::check() {
  http::Request R;
  R.Target = Upstream.Kind == UpstreamKind::Engine ? "/v1/slots" : "/healthz";
  Http.fetch(Upstream.Address, std::move(R), callOptions(CheckTimeout, true),
             [this](const http::Response *Answer, http::CallError Error) {
               Events.Checked(statusFromAnswer(Answer, Error));
             });
}

} // namespace goldcrestlink::side
