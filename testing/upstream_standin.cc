// Timers complete adapter loads and send the events of a stream one at a time.
// A timer carries the incarnation that set it and does nothing in a later one,
// so a load or run from before a crash has no effect after it.
#include "testing/upstream_standin.h"

#include <algorithm>

#include "testing/standin_support.h"

namespace goldcrestlink::testing {

using Json = nlohmann::json;

namespace {

constexpr size_t MaxConcurrentLoads = 4;
constexpr auto LoadDuration = std::chrono::milliseconds(30);
constexpr auto EventInterval = std::chrono::milliseconds(10);
constexpr uint64_t DefaultEvents = 5;
// From a crash that a request has caused until the upstream starts again.
constexpr auto RestartDelay = std::chrono::seconds(2);
// From such a crash until the port is closed, for
// CrashKind::AcceptedForAWhile.
constexpr auto PortCloseDelay = std::chrono::milliseconds(60);

// The number of events that a body such as "... events=40" requests.
uint64_t requestedEvents(std::string_view Body) {
  constexpr std::string_view Key = "events=";
  const size_t At = Body.find(Key);
  return At == std::string_view::npos
             ? DefaultEvents
             : parseNumber(Body.substr(At + Key.size()));
}

std::string adapterOf(const http::Request &Request) {
  const std::string_view ModelField = Request.header("Model");
  return std::string(
      ModelField.substr(std::min(ModelField.size(), ModelField.find('/') + 1)));
}

} // namespace

UpstreamStandIn::UpstreamStandIn(boost::asio::io_context &InIo, Spec InSpec,
                                 UpstreamsShared &InShared)
    : Io(InIo), Description(std::move(InSpec)), Shared(InShared) {}

UpstreamStandIn::~UpstreamStandIn() = default;

void UpstreamStandIn::start(const std::string &Id) {
  Description.Id = Id;
  Fault = UpstreamFault::None;
  Leaves = false;
  LeavingSince = Time{};
  Dying = false;
  Server = std::make_unique<http::Server>(
      Io, Description.Listen, http::ServerOptions(),
      [this](const http::Request &Request, const ResponderPtr &Responder) {
        onRequest(Request, Responder);
      });
}

void UpstreamStandIn::crash() {
  Server.reset();
  abortRequests();
  resetState();
}

void UpstreamStandIn::abortRequests() {
  for (const auto &Weak : OpenResponders)
    if (const ResponderPtr Responder = Weak.lock())
      Responder->abort();
  OpenResponders.clear();
  Unanswered.clear();
}

void UpstreamStandIn::resetState() {
  ++Incarnation;
  HasBaseModel = false;
  OrderCount = 0;
  Held.clear();
  Loading.clear();
  InUse.clear();
  Unloading.clear();
}

void UpstreamStandIn::onRequest(const http::Request &Request,
                                const ResponderPtr &Responder) {
  if (Dying)
    return Responder->abort();
  std::erase_if(OpenResponders,
                [](const auto &Weak) { return Weak.expired(); });
  OpenResponders.push_back(Responder);
  if (Request.path() == "/health")
    return Responder->respond(
        200, withNotices({{"Instance-Id", Description.Id}}), "");
  if (Request.path() == "/-/report")
    return Fault == UpstreamFault::Silent
               ? Unanswered.push_back(Responder)
               : Responder->respond(200, withNotices(jsonType()),
                                    report().dump());
  if (Request.header("Expect-Instance") != Description.Id) {
    reportRejection(Request);
    return Responder->respond(
        421, withNotices({{"Instance-Id", Description.Id}}), "");
  }
  if (Request.path() == "/-/order")
    return onOrder(Request, Responder);
  onCallerRequest(Request, Responder);
}

bool UpstreamStandIn::isDeadly(const http::Request &Request) const {
  if (!Shared.DeadlyBody.empty() && Request.Body.starts_with(Shared.DeadlyBody))
    return true;
  const std::string_view Prompt = Request.header("Prompt-Prefix");
  return !Shared.DeadlyPart.empty() &&
         Prompt.substr(0, Prompt.rfind(',') + 1)
                 .find(Shared.DeadlyPart + ":") != std::string_view::npos;
}

void UpstreamStandIn::crashOn(const std::string &RequestId) {
  runLater(Io, EventInterval, [this, RequestId, StartedIn = Incarnation] {
    if (Incarnation != StartedIn)
      return;
    ++Tally.Crashes;
    reportRunEnd(RequestId, RunEnd::Crashed);
    if (Shared.HowDeadlyCrash != CrashKind::AcceptedForAWhile) {
      crash();
      return restartAfterCrash();
    }
    Dying = true;
    abortRequests();
    resetState();
    runLater(Io, PortCloseDelay, [this, DyingIn = Incarnation] {
      if (Incarnation != DyingIn || !running())
        return;
      crash();
      restartAfterCrash();
    });
  });
}

void UpstreamStandIn::restartAfterCrash() {
  const auto Restart = [this] {
    if (running())
      return;
    start(Description.Id);
    if (Shared.OnRestarted)
      Shared.OnRestarted(*this);
  };
  if (Shared.HowDeadlyCrash == CrashKind::BackAtOnce)
    return Restart();
  runLater(Io, RestartDelay, Restart);
}

void UpstreamStandIn::onCallerRequest(const http::Request &Request,
                                      const ResponderPtr &Responder) {
  Tally.Arrivals.push_back(currentTime().Steady);
  if (!RetryAfter.empty()) {
    reportRejection(Request);
    return Responder->respond(
        503,
        withNotices({{"Request-Id", std::string(Request.header("Request-Id"))},
                     {"Not-Executed", "1"},
                     {"Retry-After", RetryAfter}}),
        "");
  }
  Description.IsEngine ? onGeneration(Request, Responder)
                       : onPlain(Request, Responder);
}

http::Headers
UpstreamStandIn::signedFields(const http::Request &Request) const {
  http::Headers Out = {
      {"Request-Id", std::string(Request.header("Request-Id"))}};
  if (Fault != UpstreamFault::Unsigned)
    Out.push_back({"Response-Seal", "seal-" + Description.Id});
  if (!Limit.empty())
    Out.push_back({"Server-Limit", Limit});
  return withNotices(std::move(Out));
}

http::Headers UpstreamStandIn::withNotices(http::Headers Fields) const {
  if (!Leaves)
    return Fields;
  if (LeavingSince == Time{})
    LeavingSince = currentTime().Steady;
  Fields.push_back({"Server-Leaving", "1"});
  return Fields;
}

void UpstreamStandIn::onPlain(const http::Request &Request,
                              const ResponderPtr &Responder) {
  const std::string Id(Request.header("Request-Id"));
  reportRun(Request, "", 0);
  if (isDeadly(Request))
    crashOn(Id);
  runLater(Io, Request.Body.starts_with(SlowBody) ? SlowRun : EventInterval,
           [=, this, StartedIn = Incarnation, Body = Request.Body] {
             if (Incarnation != StartedIn)
               return;
             reportRunEnd(Id, RunEnd::Complete);
             if (Fault == UpstreamFault::Silent)
               return Unanswered.push_back(Responder);
             if (Fault != UpstreamFault::Truncated)
               return Responder->respond(Fault == UpstreamFault::Failing ? 500
                                                                         : 200,
                                         signedFields(Request), "done " + Body);
             Responder->begin(200, signedFields(Request));
             Responder->data("done ");
             Responder->abort();
           });
}

void UpstreamStandIn::onGeneration(const http::Request &Request,
                                   const ResponderPtr &Responder) {
  const std::string Adapter = adapterOf(Request);
  const auto It = Held.find(Adapter);
  const std::string_view ExpectedVersion = Request.header("Expect-Version");
  if (!HasBaseModel || It == Held.end() || Adapter == Unloading ||
      (!ExpectedVersion.empty() &&
       parseNumber(ExpectedVersion) != static_cast<uint64_t>(It->second))) {
    reportRejection(Request);
    return Responder->respond(421, withNotices({}), "");
  }
  const int Version = It->second;
  reportRun(Request, Adapter, Version);
  if (Fault == UpstreamFault::Silent)
    return Unanswered.push_back(Responder);
  if (Fault == UpstreamFault::Failing) {
    reportRunEnd(std::string(Request.header("Request-Id")), RunEnd::Complete);
    return Responder->respond(500, signedFields(Request), "");
  }
  http::Headers Fields = signedFields(Request);
  Fields.push_back({"Content-Type", "text/event-stream"});
  Fields.push_back({"Weight-Versions", std::to_string(Version)});
  auto Opened = std::make_shared<Stream>();
  Opened->RequestId = std::string(Request.header("Request-Id"));
  Opened->Adapter = Adapter;
  Opened->To = Responder;
  Opened->Data = Request.path().starts_with("/resume/")
                     ? "software=" + SoftwareVersion
                     : Opened->RequestId;
  Opened->Last = requestedEvents(Request.Body);
  InUse.insert(Adapter);
  if (isDeadly(Request))
    crashOn(Opened->RequestId);
  Responder->onDisconnect([this, Opened, StartedIn = Incarnation] {
    if (Incarnation == StartedIn)
      endStream(*Opened, RunEnd::CallerGone);
  });
  Responder->begin(200, Fields);
  if (!isDeadly(Request))
    streamNext(Opened, parseNumber(Request.header("Last-Event-Id")) + 1);
}

void UpstreamStandIn::streamNext(const std::shared_ptr<Stream> &Open,
                                 uint64_t Next) {
  if (Open->Ended)
    return;
  if (Next > Open->Last) {
    endStream(*Open, RunEnd::Complete);
    return Open->To->end();
  }
  if (Fault == UpstreamFault::Truncated && Next > Open->Last / 2) {
    endStream(*Open, RunEnd::Crashed);
    return Open->To->abort();
  }
  Open->To->data("id: " + std::to_string(Next) + "\ndata: " + Open->Data +
                 "\n\n");
  runLater(Io, EventInterval, [this, Open, Next, StartedIn = Incarnation] {
    if (Incarnation == StartedIn)
      streamNext(Open, Next + 1);
  });
}

void UpstreamStandIn::endStream(Stream &Open, RunEnd How) {
  if (Open.Ended)
    return;
  Open.Ended = true;
  if (const auto It = InUse.find(Open.Adapter); It != InUse.end())
    InUse.erase(It);
  if (Unloading == Open.Adapter && !InUse.contains(Unloading)) {
    Held.erase(Unloading);
    Unloading.clear();
  }
  reportRunEnd(Open.RequestId, How);
}

void UpstreamStandIn::onOrder(const http::Request &Request,
                              const ResponderPtr &Responder) {
  ++Tally.Orders;
  const Json Order = Json::parse(Request.Body, nullptr, false);
  if (Order.is_discarded() || !Order.contains("holder") ||
      !Order.contains("fence_token") || !Order.contains("expect")) {
    reportViolation("order without holder, fencing number or expected count");
    return Responder->respond(400, withNotices({}), "");
  }
  if (!Unloading.empty() || Order["expect"].get<uint64_t>() != OrderCount)
    return Responder->respond(409, withNotices({}), "");
  ++OrderCount;
  const bool IsLoad = Order.value("operation", "") == "model_load";
  const std::string Adapter = Order.value("adapter", "");
  if (Adapter.empty())
    HasBaseModel = IsLoad;
  else
    IsLoad ? load(Adapter) : unload(Adapter);
  Responder->respond(IsLoad ? 202 : 200, withNotices({}), "");
}

void UpstreamStandIn::load(const std::string &Adapter) {
  Loading.insert(Adapter);
  if (Held.size() + Loading.size() > AdapterSlots)
    reportViolation("adapter load exceeds the adapter slots: " + Adapter);
  if (Loading.size() > MaxConcurrentLoads)
    reportViolation("too many concurrent adapter loads");
  runLater(Io, LoadDuration, [this, Adapter, StartedIn = Incarnation] {
    if (Incarnation != StartedIn)
      return;
    Loading.erase(Adapter);
    Held[Adapter] = newestVersion(Adapter);
  });
}

void UpstreamStandIn::unload(const std::string &Adapter) {
  if (!InUse.contains(Adapter)) {
    Held.erase(Adapter);
    return;
  }
  ++Tally.UnloadsInUse;
  Unloading = Adapter;
}

void UpstreamStandIn::reportRejection(const http::Request &Request) {
  ++Tally.Misdirected;
  const std::string_view Id = Request.header("Request-Id");
  if (!Shared.Observer || Id.empty())
    return;
  RunRecord Out;
  Out.At = currentTime().Steady;
  Out.Executed = false;
  Out.RequestId = std::string(Id);
  Out.Upstream = Description.Id;
  Shared.Observer->onRun(Out);
}

void UpstreamStandIn::reportRun(const http::Request &Request,
                                const std::string &Adapter, int Version) {
  Tally.Ran.emplace_back(Request.header("Request-Id"));
  Tally.Credentials[Tally.Ran.back()] = {
      std::string(Request.header("Tenant")),
      std::string(Request.header("Authorization"))};
  if (!Shared.Observer)
    return;
  RunRecord Out;
  Out.At = currentTime().Steady;
  Out.RequestId = std::string(Request.header("Request-Id"));
  Out.Upstream = Description.Id;
  Out.Target = Request.Target;
  Out.Body = Request.Body;
  Out.Adapter = Adapter;
  if (const auto It = Shared.Releases.find(Adapter);
      It != Shared.Releases.end() && Version < It->second.Version)
    Out.Outdated = Out.At - It->second.Since;
  if (draining())
    Out.Draining = Out.At - DrainingSince;
  if (LeavingSince != Time{})
    Out.Leaving = Out.At - LeavingSince;
  Shared.Observer->onRun(Out);
}

void UpstreamStandIn::reportRunEnd(const std::string &RequestId, RunEnd How) {
  if (Shared.Observer)
    Shared.Observer->onRunEnd(currentTime().Steady, RequestId, Description.Id,
                              How);
}

void UpstreamStandIn::reportViolation(const std::string &What) {
  ++Tally.Violations;
  if (Shared.Observer)
    Shared.Observer->onViolation(Description.Id, What);
}

int UpstreamStandIn::newestVersion(const std::string &Adapter) const {
  const auto It = Shared.Releases.find(Adapter);
  return It == Shared.Releases.end() ? 1 : It->second.Version;
}

Json UpstreamStandIn::report() const {
  Json Adapters = Json::array();
  for (const auto &[Name, Version] : Held)
    Adapters.push_back(Name + "@" + std::to_string(Version));
  Json LoadingNames = Json::array();
  for (const std::string &Name : Loading)
    LoadingNames.push_back("m/" + Name + "@" +
                           std::to_string(newestVersion(Name)));
  Json Models = Json::array();
  if (HasBaseModel)
    Models.push_back({{"name", "m"}, {"version", 1}, {"adapters", Adapters}});
  return {{"stage", "both"},         {"models", Models},
          {"coming", LoadingNames},  {"busy", false},
          {"seq", OrderCount},       {"waiting", 0},
          {"running", InUse.size()}, {"kv_used", 0},
          {"kv_total", 100000},      {"born", Incarnation}};
}

} // namespace goldcrestlink::testing
