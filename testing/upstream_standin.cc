// An engine loads an adapter by a timer and sends the events of a stream one by
// one. Timers carry the incarnation that set them, so that nothing of one life
// is done in the next.
#include "testing/upstream_standin.h"

#include <algorithm>

#include "testing/standin_support.h"

namespace goldcrestlink::testing {

using Json = nlohmann::json;

namespace {

constexpr size_t MaxInTransit = 4;
constexpr auto LoadTime = std::chrono::milliseconds(30);
constexpr auto EventPause = std::chrono::milliseconds(10);
constexpr uint64_t DefaultEvents = 5;

// A body "... events=40" asks for a stream of that many events.
uint64_t eventsAskedFor(std::string_view Body) {
  constexpr std::string_view Key = "events=";
  const size_t At = Body.find(Key);
  return At == std::string_view::npos ? DefaultEvents
                                      : numberOf(Body.substr(At + Key.size()));
}

std::string adapterOf(const http::Request &R) {
  const std::string_view Named = R.header("Model");
  return std::string(Named.substr(std::min(Named.size(), Named.find('/') + 1)));
}

} // namespace

UpstreamStandIn::UpstreamStandIn(boost::asio::io_context &InIo, Spec InSpec,
                                 UpstreamsShared &InShared)
    : Io(InIo), S(std::move(InSpec)), Shared(InShared) {}

UpstreamStandIn::~UpstreamStandIn() = default;

void UpstreamStandIn::start(const std::string &Id) {
  S.Id = Id;
  Fault = UpstreamFault::None;
  Server = std::make_unique<http::Server>(
      Io, S.Listen, http::ServerOptions(),
      [this](const http::Request &R, const Answer &A) { onRequest(R, A); });
}

void UpstreamStandIn::crash() {
  Server.reset();
  for (const auto &Weak : Answering)
    if (const Answer A = Weak.lock())
      A->abort();
  Answering.clear();
  Unanswered.clear();
  forget();
}

void UpstreamStandIn::forget() {
  ++Born;
  HasBase = false;
  OrderCount = 0;
  Held.clear();
  Coming.clear();
  InUse.clear();
  Unloading.clear();
}

void UpstreamStandIn::onRequest(const http::Request &R, const Answer &A) {
  std::erase_if(Answering, [](const auto &Weak) { return Weak.expired(); });
  Answering.push_back(A);
  if (R.path() == "/health")
    return A->whole(200, {{"Instance-Id", S.Id}}, "");
  if (R.path() == "/-/report")
    return Fault == UpstreamFault::Silent
               ? Unanswered.push_back(A)
               : A->whole(200, jsonType(), report().dump());
  if (R.header("Expect-Instance") != S.Id) {
    rejected(R);
    return A->whole(421, {{"Instance-Id", S.Id}}, "");
  }
  if (R.path() == "/-/order")
    return onOrder(R, A);
  onCallerRequest(R, A);
}

void UpstreamStandIn::onCallerRequest(const http::Request &R, const Answer &A) {
  S.IsEngine ? onGeneration(R, A) : onPlain(R, A);
}

http::Headers UpstreamStandIn::signedFields(const http::Request &R) const {
  http::Headers Out = {{"Request-Id", std::string(R.header("Request-Id"))}};
  if (Fault != UpstreamFault::Unsigned)
    Out.push_back({"Response-Seal", "seal-" + S.Id});
  return Out;
}

void UpstreamStandIn::onPlain(const http::Request &R, const Answer &A) {
  const std::string Id(R.header("Request-Id"));
  seen(R, "", 0);
  runLater(Io, EventPause, [=, this, Life = Born, Body = R.Body] {
    if (Born != Life)
      return;
    ended(Id, RunEnd::Whole);
    if (Fault == UpstreamFault::Silent)
      return Unanswered.push_back(A);
    if (Fault != UpstreamFault::Torn)
      return A->whole(Fault == UpstreamFault::Failing ? 500 : 200,
                      signedFields(R), "done " + Body);
    A->begin(200, signedFields(R));
    A->data("done ");
    A->abort();
  });
}

void UpstreamStandIn::onGeneration(const http::Request &R, const Answer &A) {
  const std::string Adapter = adapterOf(R);
  const auto It = Held.find(Adapter);
  const std::string_view Wanted = R.header("Expect-Version");
  if (!HasBase || It == Held.end() || Adapter == Unloading ||
      (!Wanted.empty() &&
       numberOf(Wanted) != static_cast<uint64_t>(It->second))) {
    rejected(R);
    return A->whole(421, {}, "");
  }
  const int Version = It->second;
  seen(R, Adapter, Version);
  if (Fault == UpstreamFault::Silent)
    return Unanswered.push_back(A);
  if (Fault == UpstreamFault::Failing) {
    ended(std::string(R.header("Request-Id")), RunEnd::Whole);
    return A->whole(500, signedFields(R), "");
  }
  http::Headers Fields = signedFields(R);
  Fields.push_back({"Content-Type", "text/event-stream"});
  Fields.push_back({"Weight-Versions", std::to_string(Version)});
  auto New = std::make_shared<Stream>();
  New->RequestId = std::string(R.header("Request-Id"));
  New->Adapter = Adapter;
  New->To = A;
  New->Last = eventsAskedFor(R.Body);
  InUse.insert(Adapter);
  A->onGone([this, New, Life = Born] {
    if (Born == Life)
      endStream(*New, RunEnd::CallerGone);
  });
  A->begin(200, Fields);
  streamNext(New, numberOf(R.header("Last-Event-Id")) + 1);
}

void UpstreamStandIn::streamNext(const std::shared_ptr<Stream> &Of,
                                 uint64_t Next) {
  if (Of->Ended)
    return;
  if (Next > Of->Last) {
    endStream(*Of, RunEnd::Whole);
    return Of->To->end();
  }
  if (Fault == UpstreamFault::Torn && Next > Of->Last / 2) {
    endStream(*Of, RunEnd::Crashed);
    return Of->To->abort();
  }
  Of->To->data("id: " + std::to_string(Next) + "\ndata: " + Of->RequestId +
               "\n\n");
  runLater(Io, EventPause, [this, Of, Next, Life = Born] {
    if (Born == Life)
      streamNext(Of, Next + 1);
  });
}

void UpstreamStandIn::endStream(Stream &Of, RunEnd How) {
  if (Of.Ended)
    return;
  Of.Ended = true;
  if (const auto It = InUse.find(Of.Adapter); It != InUse.end())
    InUse.erase(It);
  if (Unloading == Of.Adapter && !InUse.contains(Unloading)) {
    Held.erase(Unloading);
    Unloading.clear();
  }
  ended(Of.RequestId, How);
}

void UpstreamStandIn::onOrder(const http::Request &R, const Answer &A) {
  ++Tally.Orders;
  const Json Order = Json::parse(R.Body, nullptr, false);
  if (Order.is_discarded() || !Order.contains("holder") ||
      !Order.contains("fence_token") || !Order.contains("expect")) {
    violation("order without holder, fencing number or expected count");
    return A->whole(400, {}, "");
  }
  if (!Unloading.empty() || Order["expect"].get<uint64_t>() != OrderCount)
    return A->whole(409, {}, "");
  ++OrderCount;
  const bool Load = Order.value("operation", "") == "model_load";
  const std::string Adapter = Order.value("adapter", "");
  if (Adapter.empty())
    HasBase = Load;
  else
    Load ? load(Adapter) : unload(Adapter);
  A->whole(Load ? 202 : 200, {}, "");
}

void UpstreamStandIn::load(const std::string &Adapter) {
  Coming.insert(Adapter);
  if (Held.size() + Coming.size() > AdapterSlots)
    violation("adapter load beyond the slots: " + Adapter);
  if (Coming.size() > MaxInTransit)
    violation("too many adapters in transit");
  runLater(Io, LoadTime, [this, Adapter, Life = Born] {
    if (Born != Life)
      return;
    Coming.erase(Adapter);
    Held[Adapter] = newest(Adapter);
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

void UpstreamStandIn::rejected(const http::Request &R) {
  ++Tally.Misdirected;
  const std::string_view Id = R.header("Request-Id");
  if (!Shared.Observer || Id.empty())
    return;
  RunSeen Out;
  Out.At = presentTime().Steady;
  Out.Executed = false;
  Out.RequestId = std::string(Id);
  Out.Upstream = S.Id;
  Shared.Observer->onRun(Out);
}

void UpstreamStandIn::seen(const http::Request &R, const std::string &Adapter,
                           int Version) {
  Tally.Ran.emplace_back(R.header("Request-Id"));
  if (!Shared.Observer)
    return;
  RunSeen Out;
  Out.At = presentTime().Steady;
  Out.RequestId = std::string(R.header("Request-Id"));
  Out.Upstream = S.Id;
  Out.Target = R.Target;
  Out.Body = R.Body;
  Out.Adapter = Adapter;
  if (const auto It = Shared.Releases.find(Adapter);
      It != Shared.Releases.end() && Version < It->second.Version)
    Out.Outdated = Out.At - It->second.Since;
  if (leaving())
    Out.Leaving = Out.At - LeavingSince;
  Shared.Observer->onRun(Out);
}

void UpstreamStandIn::ended(const std::string &RequestId, RunEnd How) {
  if (Shared.Observer)
    Shared.Observer->onRunEnd(presentTime().Steady, RequestId, S.Id, How);
}

void UpstreamStandIn::violation(const std::string &What) {
  ++Tally.Violations;
  if (Shared.Observer)
    Shared.Observer->onViolation(S.Id, What);
}

int UpstreamStandIn::newest(const std::string &Adapter) const {
  const auto It = Shared.Releases.find(Adapter);
  return It == Shared.Releases.end() ? 1 : It->second.Version;
}

Json UpstreamStandIn::report() const {
  Json Adapters = Json::array();
  for (const auto &[Name, Version] : Held)
    Adapters.push_back(Name + "@" + std::to_string(Version));
  Json Arriving = Json::array();
  for (const std::string &Name : Coming)
    Arriving.push_back("m/" + Name + "@" + std::to_string(newest(Name)));
  Json Models = Json::array();
  if (HasBase)
    Models.push_back({{"name", "m"}, {"version", 1}, {"adapters", Adapters}});
  return {{"stage", "both"},         {"models", Models},
          {"coming", Arriving},      {"busy", false},
          {"seq", OrderCount},       {"waiting", 0},
          {"running", InUse.size()}, {"kv_used", 0},
          {"kv_total", 100000},      {"born", Born}};
}

} // namespace goldcrestlink::testing
