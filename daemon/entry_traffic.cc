// One thread runs everything here, so the Forwarder needs no locks. Links to
// sides are opened on first use at the address of the engine that they stand
// beside, since side and engine share an instance.
#include "daemon/entry_traffic.h"

#include <atomic>
#include <map>
#include <set>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "daemon/admission_codec.h"
#include "daemon/belief_exchange.h"
#include "daemon/forward_metrics.h"
#include "daemon/side_link.h"
#include "forward/forwarder.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/call_headers.h"

namespace goldcrestlink {

namespace {
constexpr Duration TickInterval = std::chrono::milliseconds(10);
// A link on which an ask was not answered is opened anew, at most this often.
constexpr Duration LinkResetPause = std::chrono::milliseconds(500);
// Bounds the wait for a connection to an upstream; one network delay is a few
// milliseconds, and a dark instance answers nothing.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
// Without an announced time, kept connections to upstreams are used this long.
constexpr Duration KeptConnectionAge = std::chrono::milliseconds(1500);
// The entries that share a fleet's load are those a side has heard of; until
// one says so, this many are assumed.
constexpr size_t AssumedEntries = 4;
// Silence of an upstream ends a call only with the call's own deadline.
constexpr Duration SilenceTimeout = std::chrono::minutes(10);

// Digests go to every side in this interval, and at once after a change.
constexpr Duration DigestInterval = std::chrono::seconds(1);
struct OpenCall {
  std::shared_ptr<http::Responder> Answer;
};

struct OpenSend {
  uint32_t Number = 0;
  std::shared_ptr<http::Call> Call;
};

} // namespace

struct EntryTraffic::State : forward::ForwardPort {
  State(const Settings &Given, uint64_t Seed, TrafficSinks InSinks)
      : S(Given), Sinks(std::move(InSinks)),
        Callers(Io, S.Listen, serverOptions(CallerLimits()),
                [this](http::Request R, std::shared_ptr<http::Responder> A) {
                  onCaller(std::move(R), std::move(A));
                }),
        Readiness(Io, S.Fleet.ReadyListen, http::ServerOptions(),
                  [this](http::Request R, std::shared_ptr<http::Responder> A) {
                    onReadiness(R, *A);
                  }),
        Upstreams(Io), Tick(Io),
        Peers(Io, Context,
              S.Fleet.Address + ":" + std::to_string(S.Fleet.LinkPort),
              [this](const std::string &Peer, wire::Envelope &Message) {
                onPeerMessage(Peer, Message);
              }),
        Decisions(forward::Forwarder::Options()
                      .setDataCentre(S.DataCenter)
                      .setAllowance(forward::RetryAllowance::Options()
                                        .setRatio(S.Fleet.RetryRatio)
                                        .setSlack(S.Fleet.RetrySlack)
                                        .setWindow(S.Fleet.RetryWindow)),
                  *this, Seed) {
    Decisions.onEntries(AssumedEntries);
    tick();
  }

  http::ServerOptions serverOptions(const CallerLimits &L) const {
    return http::ServerOptions()
        .setMaxHeaderBytes(L.HeaderBytes)
        .setMaxBodyBytes(L.BodyBytes)
        .setHeaderTimeout(L.HeaderTime)
        .setIdleTimeout(L.IdleTime)
        .setMaxConnections(static_cast<size_t>(S.MaxConnections));
  }

  static Time now() { return presentTime().Steady; }

  // Callers.

  void onCaller(http::Request R, std::shared_ptr<http::Responder> A) {
    const uint64_t Id = ++LastCall;
    A->onGone([this, Id] {
      if (Open.erase(Id) > 0) {
        Decisions.onCallerGone(now(), Id);
        InProgress = Open.size();
      }
    });
    Open[Id] = {std::move(A)};
    InProgress = Open.size();
    Decisions.onCall(now(), Id, platform::decodeCall(std::move(R)));
  }

  void onReadiness(const http::Request &R, http::Responder &A) const {
    if (!platform::isReadinessQuestion(R))
      return A.whole(404, {}, "");
    A.whole(!Stopping && Decisions.hasConfig() ? 200 : 503, {}, "");
  }

  // ForwardPort.

  void ask(const UpstreamRecord &Of, const AdmissionAsk &A) override {
    Link &L = linkTo(Of);
    wire::Envelope E = encodeAsk(A);
    L.Socket->sendSoon(E);
  }

  void endAsk(const UpstreamRecord &Of, uint64_t AskId,
              Duration FirstToken) override {
    wire::Envelope E = encodeEnd(AskId, FirstToken);
    linkTo(Of).Socket->sendSoon(E);
  }

  void send(forward::SendId Id, const forward::CallerCall &C,
            const forward::SendTerms &T) override {
    http::CallOptions Options;
    Options.setConnectTimeout(ConnectTimeout)
        .setSilenceTimeout(SilenceTimeout)
        .setMaxIdleAge(KeptConnectionAge)
        .setRepeatReads(false);
    http::CallHandlers On;
    On.OnHead = [this, Id,
                 RequestId = C.RequestId](const http::ResponseHead &Head) {
      Decisions.onHead(now(), Id, platform::decodeAnswer(Head, RequestId));
    };
    On.OnData = [this, Id](std::string Part) {
      Decisions.onData(now(), Id, std::move(Part));
    };
    On.OnDone = [this, Id] {
      closeSend(Id);
      Decisions.onDone(now(), Id);
    };
    On.OnError = [this, Id](http::CallError E, const std::string &Why) {
      closeSend(Id);
      Decisions.onError(now(), Id,
                        E == http::CallError::NotSent
                            ? forward::SendError::NotSent
                            : forward::SendError::Broken,
                        Why);
    };
    Metrics.count("sends_total");
    Sends[Id.Call] = {Id.Number,
                      Upstreams.start(T.To.Address, platform::encodeCall(C, T),
                                      Options, std::move(On))};
  }

  void cancelSend(forward::SendId Id) override {
    const auto It = Sends.find(Id.Call);
    if (It == Sends.end() || It->second.Number != Id.Number)
      return;
    It->second.Call->cancel();
    Sends.erase(It);
  }

  void closeSend(forward::SendId Id) {
    const auto It = Sends.find(Id.Call);
    if (It != Sends.end() && It->second.Number == Id.Number)
      Sends.erase(It);
  }

  std::shared_ptr<http::Responder> answerOf(uint64_t Call, bool Ends) {
    const auto It = Open.find(Call);
    if (It == Open.end())
      return nullptr;
    auto Answer = It->second.Answer;
    if (Ends) {
      Open.erase(It);
      InProgress = Open.size();
    }
    return Answer;
  }

  void answerWhole(uint64_t Call, unsigned Status, const http::Headers &Fields,
                   std::string Body) override {
    if (auto A = answerOf(Call, true))
      A->whole(Status, Fields, std::move(Body));
  }
  void answerBegin(uint64_t Call, unsigned Status,
                   const http::Headers &Fields) override {
    if (auto A = answerOf(Call, false))
      A->begin(Status, Fields);
  }
  void answerData(uint64_t Call, std::string Part) override {
    if (auto A = answerOf(Call, false))
      A->data(std::move(Part));
  }
  void answerEnd(uint64_t Call) override {
    if (auto A = answerOf(Call, true))
      A->end();
  }
  void answerAbort(uint64_t Call) override {
    if (auto A = answerOf(Call, true))
      A->abort();
  }
  void answerOwn(uint64_t Call, unsigned Status, std::string_view RequestId,
                 Duration RetryAfter, forward::EndReason Why) override {
    if (auto A = answerOf(Call, true))
      A->whole(Status, platform::ownAnswerFields(RequestId, RetryAfter),
               std::string(forward::wordOf(Why)) + "\n");
  }

  void log(LineClass Class, std::string Line) override {
    Sinks.Log(Class, std::move(Line));
  }

  void record(uint32_t Rank, std::string_view Outcome, Duration FirstByte,
              Duration Total) override {
    Metrics.record(Rank, Outcome, FirstByte, Total);
  }

  // Sides.

  struct Link {
    std::string UpstreamId;
    std::unique_ptr<SideLink> Socket;
    Time ResetAt{};
  };

  Link &linkTo(const UpstreamRecord &U) {
    const std::string Address =
        U.Address.Address + ":" + std::to_string(S.Fleet.LinkPort);
    Link &L = Links[Address];
    if (!L.Socket)
      L.Socket = std::make_unique<SideLink>(
          Io, Context, Address, "", [this, Address](wire::Envelope &Message) {
            onSideMessage(Address, Message);
          });
    L.UpstreamId = U.Id;
    return L;
  }

  // A peer that has nothing to go by asks for all; others are sides.
  void onPeerMessage(const std::string &Peer, wire::Envelope &Message) {
    if (!Message.has_belief_request() || !Known)
      return;
    wire::Envelope E = beliefsFor(Message.belief_request(), *Known);
    if (!Peers.send(Peer, E))
      Sinks.Log(LineClass::Routine, "beliefs outcome=peer_gone");
  }

  bool onBeliefMessage(SideLink &From, wire::Envelope &Message) {
    if (Message.has_digest()) {
      if (auto E = Exchange.askFor(now(), decodeRevisions(Message.digest()),
                                   ownRevisions()))
        From.sendSoon(*E);
      return true;
    }
    if (Message.has_belief_request()) {
      if (!Known)
        return true;
      wire::Envelope E = beliefsFor(Message.belief_request(), *Known);
      From.sendSoon(E);
      return true;
    }
    if (Message.has_beliefs()) {
      Sinks.Beliefs(decodeBeliefs(Message.beliefs()));
      return true;
    }
    return false;
  }

  BeliefRevisions ownRevisions() const {
    return Known ? Known->revisions() : BeliefRevisions();
  }

  void sendDigests() {
    const wire::Envelope Digest = encodeDigest(ownRevisions());
    for (auto &[Address, L] : Links) {
      wire::Envelope E = Digest;
      L.Socket->sendSoon(E);
    }
  }

  // Until a configuration is known, other entries are asked as well as the
  // store, which may not answer.
  void askPeers() {
    for (const http::Endpoint &Peer : S.Fleet.Peers) {
      if (Peer.Address == S.Fleet.Address)
        continue;
      const std::string Address =
          Peer.Address + ":" + std::to_string(S.Fleet.LinkPort);
      auto &Link = PeerLinks[Address];
      if (!Link)
        Link = std::make_unique<SideLink>(
            Io, Context, Address, "", [this, Address](wire::Envelope &Message) {
              onBeliefMessage(*PeerLinks[Address], Message);
            });
      wire::Envelope E = encodeBeliefRequest(BeliefRevisions());
      Link->sendSoon(E);
      Link->flush();
    }
  }

  void exchangeBeliefs(Time N) {
    if (N < NextDigest)
      return;
    NextDigest = N + DigestInterval;
    sendDigests();
    if (!Decisions.hasConfig())
      askPeers();
    else
      PeerLinks.clear();
  }

  void onSideMessage(const std::string &Address, wire::Envelope &Message) {
    Link &From = Links[Address];
    const std::string Id = From.UpstreamId;
    const Time N = now();
    if (onBeliefMessage(*From.Socket, Message))
      return;
    if (Message.has_admission_reply()) {
      const wire::AdmissionReply &R = Message.admission_reply();
      return Decisions.onAdmission(N, Id, R.id(), decodeReply(R));
    }
    if (Message.has_engine_load()) {
      const std::string &Named = Message.engine_load().upstream();
      Decisions.onLoad(N, Named.empty() ? Id : Named,
                       decodeLoad(Message.engine_load()));
      onEntries(Message.engine_load().entries());
    }
  }

  void onEntries(size_t Count) {
    if (Count == 0 || Count == Entries)
      return;
    Entries = Count;
    Decisions.onEntries(Count);
    Sinks.Entries(Count);
  }

  void sideSilent(const UpstreamRecord &U) override {
    Link &L = linkTo(U);
    const Time N = now();
    if (N - L.ResetAt < LinkResetPause)
      return;
    L.ResetAt = N;
    L.Socket->reset();
  }

  void tick() {
    const Time N = now();
    Decisions.onTimer(N);
    exchangeBeliefs(N);
    for (auto &[Address, L] : Links)
      L.Socket->flush();
    Tick.expires_after(TickInterval);
    Tick.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        tick();
    });
  }

  void publish(std::shared_ptr<const Catalog> C) {
    if (const DeploymentConfig *Config = C->config())
      Callers.setOptions(serverOptions(Config->Limits));
    Known = C;
    std::set<std::string> Addresses;
    for (const auto &[Id, U] : C->upstreams()) {
      const ServiceSpec *Spec = C->service(U.Service);
      if (!Spec || !Spec->IsEngine)
        continue;
      linkTo(U);
      Addresses.insert(U.Address.Address + ":" +
                       std::to_string(S.Fleet.LinkPort));
    }
    std::erase_if(Links, [&](const auto &Item) {
      return !Addresses.contains(Item.first);
    });
    Decisions.onCatalog(now(), std::move(C));
    sendDigests();
  }

  Settings S;
  TrafficSinks Sinks;
  boost::asio::io_context Io{1};
  zmq::context_t Context{1};
  http::Server Callers;
  http::Server Readiness;
  http::Client Upstreams;
  boost::asio::steady_timer Tick;
  ForwardMetrics Metrics;
  wire::RouterSocket Peers;
  std::shared_ptr<const Catalog> Known;
  std::unordered_map<std::string, Link> Links;
  std::map<std::string, std::unique_ptr<SideLink>> PeerLinks;
  size_t Entries = AssumedEntries;
  Time NextDigest{};
  BeliefExchange Exchange;
  std::unordered_map<uint64_t, OpenCall> Open;
  std::unordered_map<uint64_t, OpenSend> Sends;
  std::atomic<size_t> InProgress{0};
  uint64_t LastCall = 0;
  bool Stopping = false;
  forward::Forwarder Decisions;
};

EntryTraffic::EntryTraffic(const Settings &S, uint64_t Seed, TrafficSinks Sinks)
    : Shared(std::make_unique<State>(S, Seed, std::move(Sinks))) {}

EntryTraffic::~EntryTraffic() = default;

void EntryTraffic::run() { Shared->Io.run(); }

void EntryTraffic::publish(std::shared_ptr<const Catalog> C) {
  boost::asio::post(Shared->Io, [this, C] { Shared->publish(C); });
}

void EntryTraffic::announceStop() {
  boost::asio::post(Shared->Io, [this] {
    Shared->Stopping = true;
    Shared->Callers.announceClose();
  });
}

void EntryTraffic::stopAccepting() {
  boost::asio::post(Shared->Io, [this] { Shared->Callers.stopAccepting(); });
}

void EntryTraffic::stop() {
  boost::asio::post(Shared->Io, [this] { Shared->Io.stop(); });
}

size_t EntryTraffic::callsInProgress() const { return Shared->InProgress; }

void EntryTraffic::metrics(std::function<void(std::string)> Done) {
  boost::asio::post(Shared->Io, [this, Done] { Done(Shared->Metrics.text()); });
}

} // namespace goldcrestlink
