// Everything here runs on one thread, so the Forwarder needs no locks. The side
// of each engine in the catalog is connected to at the engine's address, since
// the two share an instance. When a new catalog no longer lists an engine, the
// connection to its side is closed.
#include "daemon/entry_traffic.h"

#include <atomic>
#include <map>
#include <set>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "base/descriptor_budget.h"
#include "base/random.h"
#include "daemon/admission_codec.h"
#include "daemon/catalog_exchange.h"
#include "daemon/crash_codec.h"
#include "daemon/crash_probe.h"
#include "daemon/forward_metrics.h"
#include "daemon/guarded_loop.h"
#include "daemon/leaving_codec.h"
#include "daemon/origin_codec.h"
#include "daemon/quota_codec.h"
#include "daemon/side_connection.h"
#include "daemon/stall_watch.h"
#include "forward/forwarder.h"
#include "forward/origin_keepers.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/call_headers.h"

namespace goldcrestlink {

namespace {
constexpr Duration TickInterval = std::chrono::milliseconds(10);
// A connection on which an admission request was not answered is reopened, at
// most this often.
constexpr Duration MinResetInterval = std::chrono::milliseconds(500);
// For connecting to an upstream. The network delay is a few milliseconds, and
// an instance that is down does not answer at all.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
// Connections to upstreams that were idle for longer are not reused, unless the
// upstream announced a time of its own.
constexpr Duration MaxIdleConnectionAge = std::chrono::milliseconds(1500);
// Number of entries that are assumed to share the load until a side reports how
// many it has received messages from.
constexpr size_t InitialEntryCount = 4;
// Sides to which a crash report or verdict is sent; each passes it to the other
// entries. One of them may be down or cut off.
constexpr size_t CrashRelays = 3;
// Sides that keep the origin of a stream. Two of them may be lost at once.
constexpr size_t OriginKeepers = 3;
// Long enough that a call to a silent upstream is ended by its own deadline.
constexpr Duration ReadTimeout = std::chrono::minutes(10);

// Answers that are buffered until they are complete: at most this, and this
// part of the memory budget, beside what the budget counts.
constexpr size_t MaxBufferedAnswers = 64 * 1024 * 1024;
constexpr size_t BufferedAnswersPart = 3;

// Digests are sent to every side at this interval, and at once after a change.
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
  State(const Settings &InSettings, uint64_t Seed,
        std::shared_ptr<MemoryBudget> InMemory, TrafficSinks InSinks)
      : ProcessSettings(InSettings), Memory(std::move(InMemory)),
        Sinks(std::move(InSinks)),
        CallerCloses(std::make_shared<http::CloseLog>("callers", Sinks.Log)),
        ReadinessCloses(
            std::make_shared<http::CloseLog>("readiness", Sinks.Log)),
        CallerServer(Io, ProcessSettings.Listen, serverOptions(CallerLimits()),
                     [this](http::Request Request,
                            std::shared_ptr<http::Responder> Answer) {
                       onCaller(std::move(Request), std::move(Answer));
                     }),
        ReadinessServer(Io, ProcessSettings.Fleet.ReadyListen,
                        http::ServerOptions()
                            .setMaxBodyBytes(ControlBodyBytes)
                            .setMaxConnections(ControlConnections)
                            .setReceiveBytes(ControlReceiveBytes)
                            .setMemory(Memory)
                            .setCloseLog(ReadinessCloses),
                        [this](http::Request Request,
                               std::shared_ptr<http::Responder> Answer) {
                          onReadiness(Request, *Answer);
                        }),
        UpstreamClient(Io), TickTimer(Io),
        PeerSocket(Io, Context,
                   ProcessSettings.Fleet.Address + ":" +
                       std::to_string(ProcessSettings.Fleet.LinkPort),
                   [this](const std::string &Peer, wire::Envelope &Message) {
                     onPeerMessage(Peer, Message);
                   }),
        Forwarder(
            forward::Forwarder::Options()
                .setDataCentre(ProcessSettings.DataCenter)
                .setMaxBufferedByAll(std::min(
                    MaxBufferedAnswers, Memory->limit() / BufferedAnswersPart))
                .setAllowance(forward::RetryAllowance::Options()
                                  .setRatio(ProcessSettings.Fleet.RetryRatio)
                                  .setSlack(ProcessSettings.Fleet.RetrySlack)
                                  .setWindow(ProcessSettings.Fleet.RetryWindow))
                .setConfigAge({ProcessSettings.Fleet.RevokeStrict,
                               ProcessSettings.Fleet.RevokeTime,
                               ProcessSettings.Fleet.ConfigApplyTime})
                .setQuotas(forward::OrganisationQuotas::Options()
                               .setWindow(ProcessSettings.Fleet.QuotaWindow)
                               .setExcess(ProcessSettings.Fleet.QuotaExcess)
                               .setSlack(ProcessSettings.Fleet.QuotaSlack),
                           EntryToken),
            *this, Seed),
        Rand(Seed) {
    Forwarder.onEntries(now(), InitialEntryCount);
    tick();
  }

  http::ServerOptions serverOptions(const CallerLimits &Limits) const {
    return http::ServerOptions()
        .setMaxHeaderBytes(Limits.HeaderBytes)
        .setMaxBodyBytes(Limits.BodyBytes)
        .setHeaderTimeout(Limits.HeaderTime)
        .setIdleTimeout(Limits.IdleTime)
        .setBodyPause(Limits.IdleTime)
        .setMemory(Memory)
        .setMaxConnections(callerDescriptors(ProcessSettings.MaxConnections))
        .setReceiveBytes(Memory->receiveBytesFor(
            callerDescriptors(ProcessSettings.MaxConnections)))
        .setCloseLog(CallerCloses);
  }

  // The time of an event for the Forwarder. Tells it first how long the machine
  // has been suspended, so that each event is handled with the true age of the
  // configuration. The clock that counts suspensions is read last: a suspension
  // in between makes the age too great, never too small.
  Time now() {
    const Time Steady = currentTime().Steady;
    Forwarder.onClockOffset(bootTime().time_since_epoch() -
                            Steady.time_since_epoch());
    return Steady;
  }

  // Callers.

  void onCaller(http::Request Request,
                std::shared_ptr<http::Responder> Answer) {
    const uint64_t Id = ++LastCallId;
    Answer->onDisconnect([this, Id] {
      if (OpenCalls.erase(Id) > 0) {
        Forwarder.onCallerGone(now(), Id);
        CallCount = OpenCalls.size();
      }
    });
    OpenCalls[Id] = {std::move(Answer)};
    CallCount = OpenCalls.size();
    Forwarder.onCall(now(), Id, platform::decodeCall(std::move(Request)));
  }

  void onReadiness(const http::Request &Request, http::Responder &Answer) {
    if (!platform::isReadinessCheck(Request))
      return Answer.respond(404, {}, "");
    Answer.respond(!Stopping && Forwarder.isReady(now()) ? 200 : 503, {}, "");
  }

  // ForwardPort.

  void requestAdmission(const UpstreamRecord &Upstream,
                        const AdmissionRequest &Request) override {
    Side &EngineSide = sideOf(Upstream);
    wire::Envelope E = encodeAdmissionRequest(Request, EntryToken);
    EngineSide.Connection->sendOrQueue(E);
  }

  void endAdmission(const UpstreamRecord &Upstream, uint64_t RequestId,
                    Duration FirstToken) override {
    wire::Envelope E = encodeEnd(RequestId, FirstToken, EntryToken);
    sideOf(Upstream).Connection->sendOrQueue(E);
  }

  void send(forward::SendId Id, const forward::IncomingCall &Call,
            const forward::SendOptions &SendOpts) override {
    http::CallOptions Options;
    Options.setConnectTimeout(ConnectTimeout)
        .setReadTimeout(ReadTimeout)
        .setMaxIdleAge(MaxIdleConnectionAge)
        .setRetryGets(false);
    http::CallHandlers On;
    const auto IsWithheld = std::make_shared<bool>(false);
    On.MayWrite = [this, Id, IsWithheld] {
      *IsWithheld = !Forwarder.maySend(now(), Id);
      return !*IsWithheld;
    };
    On.OnHead = [this, Id,
                 RequestId = Call.RequestId](const http::ResponseHead &Head) {
      forward::AnswerHead Answer = platform::decodeAnswer(Head, RequestId);
      // A faulty upstream may write a refusal once more, where the answer to
      // the next request on the connection is expected.
      if (Answer.NotRun)
        closeWhenDone(Id);
      Forwarder.onHead(now(), Id, std::move(Answer));
    };
    On.OnData = [this, Id](std::string Part) {
      Forwarder.onData(now(), Id, std::move(Part));
    };
    On.OnDone = [this, Id] {
      eraseSend(Id);
      Forwarder.onDone(now(), Id);
    };
    On.OnError = [this, Id, IsWithheld](http::CallError Error,
                                        const std::string &Why) {
      eraseSend(Id);
      Forwarder.onError(now(), Id,
                        *IsWithheld ? forward::SendError::Withheld
                        : Error == http::CallError::NotSent
                            ? forward::SendError::NotSent
                            : forward::SendError::Broken,
                        Why);
    };
    Metrics.count("sends_total");
    OpenSends[Id.Call] = {
        Id.Number, UpstreamClient.start(SendOpts.To.Address,
                                        platform::encodeCall(Call, SendOpts),
                                        Options, std::move(On))};
  }

  void cancelSend(forward::SendId Id) override {
    const auto It = OpenSends.find(Id.Call);
    if (It == OpenSends.end() || It->second.Number != Id.Number)
      return;
    It->second.Call->cancel();
    OpenSends.erase(It);
  }

  void closeWhenDone(forward::SendId Id) {
    const auto It = OpenSends.find(Id.Call);
    if (It != OpenSends.end() && It->second.Number == Id.Number)
      It->second.Call->closeWhenDone();
  }

  void eraseSend(forward::SendId Id) {
    const auto It = OpenSends.find(Id.Call);
    if (It != OpenSends.end() && It->second.Number == Id.Number)
      OpenSends.erase(It);
  }

  std::shared_ptr<http::Responder> responderOf(uint64_t Call, bool IsLast) {
    const auto It = OpenCalls.find(Call);
    if (It == OpenCalls.end())
      return nullptr;
    auto Answer = It->second.Answer;
    if (IsLast) {
      OpenCalls.erase(It);
      CallCount = OpenCalls.size();
    }
    return Answer;
  }

  void answerInFull(uint64_t Call, unsigned Status, const http::Headers &Fields,
                    std::string Body) override {
    if (auto Answer = responderOf(Call, true))
      Answer->respond(Status, Fields, std::move(Body));
  }
  void answerBegin(uint64_t Call, unsigned Status,
                   const http::Headers &Fields) override {
    if (auto Answer = responderOf(Call, false))
      Answer->begin(Status, Fields);
  }
  void answerData(uint64_t Call, std::string Part) override {
    if (auto Answer = responderOf(Call, false))
      Answer->data(std::move(Part));
  }
  void answerEnd(uint64_t Call) override {
    if (auto Answer = responderOf(Call, true))
      Answer->end();
  }
  void answerAbort(uint64_t Call) override {
    if (auto Answer = responderOf(Call, true))
      Answer->abort();
  }
  void answerWithError(uint64_t Call, unsigned Status,
                       std::string_view RequestId, Duration RetryAfter,
                       forward::EndReason Why) override {
    if (auto Answer = responderOf(Call, true))
      Answer->respond(Status,
                      platform::errorResponseFields(RequestId, RetryAfter),
                      std::string(forward::endReasonName(Why)) + "\n");
  }

  void shareLimit(const UpstreamRecord &Upstream, double PerSecond) override {
    wire::Envelope E = encodeLimit(Upstream.Id, PerSecond);
    sideOf(Upstream).Connection->sendOrQueue(E);
  }

  void shareLeaving(const forward::UpstreamIncarnation &Leaving) override {
    Metrics.count("upstreams_leaving_total");
    sendToRelays(encodeLeaving(std::span(&Leaving, 1)));
  }

  void recordOrigin(uint64_t Attempt,
                    const forward::StreamOrigin &Origin) override {
    Metrics.count("stream_origins_total");
    for (const std::string &Address :
         forward::originKeepers(Attempt, SideAddresses, OriginKeepers)) {
      wire::Envelope E = encodeOrigin(Attempt, Origin);
      Sides[Address].Connection->sendOrQueue(E);
    }
  }

  size_t requestOrigin(const forward::OriginQuery &Query,
                       size_t Keepers) override {
    Metrics.count("origin_queries_total");
    const std::vector<std::string> Asked =
        forward::originKeepers(Query.Attempt, SideAddresses, Keepers);
    for (const std::string &Address : Asked) {
      wire::Envelope E = encodeOriginQuery(Query);
      Sides[Address].Connection->sendOrQueue(E);
    }
    return Asked.size();
  }

  // Hands the origins that this entry knows to sides that now keep them.
  void setSides(std::vector<std::string> Addresses) {
    if (Addresses == SideAddresses)
      return;
    Forwarder.origins().forEach(
        now(), [&](uint64_t Attempt, const forward::StreamOrigin &Origin) {
          for (const std::string &Address : forward::addedKeepers(
                   Attempt, SideAddresses, Addresses, OriginKeepers)) {
            wire::Envelope E = encodeOrigin(Attempt, Origin);
            Sides[Address].Connection->sendOrQueue(E);
          }
        });
    SideAddresses = std::move(Addresses);
  }

  void probe(const UpstreamRecord &Upstream) override {
    Metrics.count("crash_probes_total");
    probeForCrash(Io, Upstream.Address, ConnectTimeout,
                  [this, Id = Upstream.Id](forward::ProbeResult Result) {
                    Forwarder.onProbe(now(), Id, Result);
                  });
  }

  void shareCrash(const forward::CrashReport &Report) override {
    Metrics.count("crash_reports_total");
    sendToRelays(encodeCrashReport(Report));
  }

  void shareOutput(std::span<const forward::TraitOutput> Outputs) override {
    sendToRelays(encodeOutput(Outputs));
  }

  void shareVerdicts(std::span<const forward::TraitVerdict> Verdicts) override {
    Metrics.count("quarantines_total");
    sendToRelays(encodeVerdicts(Verdicts, Forwarder.crashes().digest()));
  }

  void sendToRelays(const wire::Envelope &Message) {
    std::vector<SideConnection *> Relays;
    for (auto &[Address, Side] : Sides)
      Relays.push_back(Side.Connection.get());
    for (size_t I = 0; I < std::min(CrashRelays, Relays.size()); ++I) {
      std::swap(Relays[I], Relays[I + Rand.below(Relays.size() - I)]);
      wire::Envelope E = Message;
      Relays[I]->sendOrQueue(E);
    }
  }

  void log(LogClass Class, std::string Line) override {
    Sinks.Log(Class, std::move(Line));
  }

  void record(uint32_t Rank, std::string_view Outcome, Duration FirstByte,
              Duration Total) override {
    Metrics.record(Rank, Outcome, FirstByte, Total);
  }
  void recordPause(uint32_t Rank, Duration Longest,
                   Duration MaxPause) override {
    Metrics.recordPause(Rank, Longest, MaxPause);
  }

  // Sides.

  struct Side {
    std::string UpstreamId;
    std::unique_ptr<SideConnection> Connection;
    Time ResetAt{};
  };

  // The side beside \p U; connects to it on first use.
  Side &sideOf(const UpstreamRecord &U) {
    const std::string Address = U.Address.Address + ":" +
                                std::to_string(ProcessSettings.Fleet.LinkPort);
    Side &Found = Sides[Address];
    if (!Found.Connection)
      Found.Connection = std::make_unique<SideConnection>(
          Io, Context, Address, "", [this, Address](wire::Envelope &Message) {
            onSideMessage(Address, Message);
          });
    Found.UpstreamId = U.Id;
    return Found;
  }

  // Answers the requests of other entries that know no configuration yet. All
  // other catalog messages are exchanged with sides.
  void onPeerMessage(const std::string &Peer, wire::Envelope &Message) {
    if (!Message.has_belief_request() || !KnownCatalog)
      return;
    wire::Envelope E =
        catalogUpdateFor(now(), Message.belief_request(), *KnownCatalog);
    if (!PeerSocket.send(Peer, E))
      Sinks.Log(LogClass::Routine, "beliefs outcome=peer_gone");
  }

  bool onCatalogMessage(SideConnection &From, wire::Envelope &Message) {
    if (Message.has_digest()) {
      if (auto E = Exchange.requestMissing(
              now(), decodeRevisions(Message.digest()), ownRevisions()))
        From.sendOrQueue(*E);
      return true;
    }
    if (Message.has_belief_request()) {
      if (!KnownCatalog)
        return true;
      wire::Envelope E =
          catalogUpdateFor(now(), Message.belief_request(), *KnownCatalog);
      From.sendOrQueue(E);
      return true;
    }
    if (Message.has_beliefs()) {
      Sinks.CatalogUpdates(decodeCatalogUpdate(Message.beliefs()));
      return true;
    }
    return false;
  }

  bool onCrashMessage(SideConnection &From, wire::Envelope &Message) {
    const Time Now = now();
    if (Message.has_crash_report()) {
      const std::vector<forward::TraitOutput> Cleared = Forwarder.onCrashReport(
          Now, decodeCrashReport(Message.crash_report()));
      if (!Cleared.empty()) {
        wire::Envelope E = encodeOutput(Cleared);
        From.sendOrQueue(E);
      }
      return true;
    }
    if (Message.has_trait_output()) {
      Forwarder.onOutputReport(Now, decodeOutput(Message.trait_output()));
      return true;
    }
    if (Message.has_trait_verdicts()) {
      Forwarder.onVerdicts(Now, decodeVerdicts(Message.trait_verdicts()));
      const forward::CrashAttribution &Own = Forwarder.crashes();
      if (Message.trait_verdicts().digest() != Own.digest()) {
        wire::Envelope E = encodeVerdicts(Own.verdicts(Now), Own.digest());
        From.sendOrQueue(E);
      }
      return true;
    }
    return false;
  }

  CatalogRevisions ownRevisions() const {
    return KnownCatalog ? KnownCatalog->revisions() : CatalogRevisions();
  }

  void sendDigests() {
    const wire::Envelope Digest =
        encodeDigest(ownRevisions(), Forwarder.crashes().digest());
    for (auto &[Address, Side] : Sides) {
      wire::Envelope E = Digest;
      Side.Connection->sendOrQueue(E);
    }
  }

  // Requests the catalog state from other entries until a configuration is
  // known, since the store may not answer. Only one of those that have a
  // configuration is asked for it.
  void requestFromPeers() {
    for (const http::Endpoint &Peer : ProcessSettings.Fleet.Peers) {
      if (Peer.Address == ProcessSettings.Fleet.Address)
        continue;
      const std::string Address =
          Peer.Address + ":" + std::to_string(ProcessSettings.Fleet.LinkPort);
      auto &Connection = PeerConnections[Address];
      if (!Connection)
        Connection = std::make_unique<SideConnection>(
            Io, Context, Address, "", [this, Address](wire::Envelope &Message) {
              onPeerAnswer(*PeerConnections[Address], Message);
            });
      wire::Envelope E = CatalogExchange::requestRest(ownRevisions());
      Connection->sendOrQueue(E);
      Connection->flush();
    }
  }

  void onPeerAnswer(SideConnection &From, wire::Envelope &Message) {
    if (Message.has_beliefs()) {
      const CatalogRevisions Theirs =
          decodeRevisions(Message.beliefs().as_of());
      const CatalogRevisions Own = ownRevisions();
      if (Own.Config < Theirs.Config)
        if (auto E = Exchange.requestMissing(now(), Theirs, Own))
          From.sendOrQueue(*E);
    }
    onCatalogMessage(From, Message);
  }

  void exchangeCatalog(Time Now) {
    // Sides that have newer state answer a digest with their own.
    const bool IsConfigWanted = Exchange.onTimer(Now, ownRevisions());
    if (Now < NextDigest && !IsConfigWanted)
      return;
    NextDigest = Now + DigestInterval;
    sendDigests();
    if (!Forwarder.hasConfig())
      requestFromPeers();
    else
      PeerConnections.clear();
  }

  void onSideMessage(const std::string &Address, wire::Envelope &Message) {
    checkStall();
    Side &From = Sides[Address];
    const std::string Id = From.UpstreamId;
    const Time Now = now();
    if (onCatalogMessage(*From.Connection, Message) ||
        onCrashMessage(*From.Connection, Message))
      return;
    if (Message.has_admission_reply()) {
      const wire::AdmissionReply &Reply = Message.admission_reply();
      return Forwarder.onAdmission(Now, Id, Reply.id(), decodeReply(Reply));
    }
    if (Message.has_stream_pause())
      return Forwarder.onEnginePause(
          Message.stream_pause().id(),
          Duration(static_cast<int64_t>(Message.stream_pause().pause_us())));
    if (Message.has_quota_share())
      return Forwarder.onQuotaTotals(Now, Address,
                                     decodeQuotaTotals(Message.quota_share()));
    if (Message.has_upstream_leaving())
      return Forwarder.onLeaving(Now,
                                 decodeLeaving(Message.upstream_leaving()));
    if (Message.has_stream_origin_reply()) {
      const wire::StreamOriginReply &Reply = Message.stream_origin_reply();
      return Forwarder.onOrigin(
          Now, decodeOriginQuery(Reply.query()),
          Reply.has_origin() ? std::optional(decodeOrigin(Reply.origin()))
                             : std::nullopt);
    }
    if (Message.has_engine_load()) {
      const std::string &Named = Message.engine_load().upstream();
      Forwarder.onLoad(Now, Named.empty() ? Id : Named,
                       decodeLoad(Message.engine_load()));
      // A side sends its load after everything else that it knows.
      Forwarder.onSideState(Now);
      onEntries(Message.engine_load().entries());
    }
  }

  void onEntries(size_t Count) {
    if (Count == 0 || Count == EntryCount)
      return;
    EntryCount = Count;
    Forwarder.onEntries(now(), Count);
    Sinks.EntryCount(Count);
  }

  void onSideTimeout(const UpstreamRecord &U) override {
    Side &Silent = sideOf(U);
    const Time Now = now();
    if (Now - Silent.ResetAt < MinResetInterval)
      return;
    Silent.ResetAt = Now;
    Silent.Connection->reset();
  }

  // To be called before anything that has waited for this process is used.
  void checkStall() {
    if (!Stalls.check())
      return;
    Sinks.Log(LogClass::Kept, "stall outcome=detected");
    Forwarder.onStall(now());
  }

  void tick() {
    // First, so that an exception below does not end the ticks.
    TickTimer.expires_after(TickInterval);
    TickTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        tick();
    });
    checkStall();
    const Time Now = now();
    Forwarder.onTimer(Now);
    if (Stopping)
      stepStop(Now);
    exchangeCatalog(Now);
    for (const auto &[Address, Report] :
         Forwarder.quotaReports(Now, SideAddresses)) {
      wire::Envelope E = encodeQuotaReport(Report);
      Sides[Address].Connection->sendOrQueue(E);
    }
    for (auto &[Address, Side] : Sides)
      Side.Connection->flush();
  }

  void stepStop(Time Now) {
    if (Now >= Schedule.AnswerBy)
      CallerServer.refuseIncomplete();
    UndeliveredCount = CallerServer.undelivered();
    if (AcceptsNoMore)
      IsCountOld = false;
  }

  void onException(const std::string &Why) {
    Metrics.count("exceptions_total");
    Sinks.Log(LogClass::Kept, "exception thread=traffic what=\"" + Why + "\"");
  }

  std::string memoryMetrics() const {
    const std::pair<const char *, uint64_t> Values[] = {
        {"memory_budget_bytes", Memory->limit()},
        {"memory_connections_bytes", Memory->used(MemoryKind::Connections)},
        {"memory_bodies_bytes", Memory->used(MemoryKind::Bodies)},
        {"memory_answers_bytes", Memory->used(MemoryKind::Answers)},
        {"memory_refusals_total", Memory->refusals()},
        {"connections_refused_total", CallerServer.refusedConnections()}};
    std::string Out;
    for (const auto &[Name, Value] : Values)
      Out += std::string("goldcrestlink_") + Name + " " +
             std::to_string(Value) + "\n";
    return Out + CallerCloses->metrics() + ReadinessCloses->metrics();
  }

  void publish(std::shared_ptr<const Catalog> NewCatalog) {
    if (const DeploymentConfig *Config = NewCatalog->config())
      CallerServer.setOptions(serverOptions(Config->Limits));
    KnownCatalog = NewCatalog;
    std::set<std::string> Addresses;
    for (const auto &[Id, U] : NewCatalog->upstreams()) {
      const ServiceSpec *Spec = NewCatalog->service(U.Service);
      if (!Spec || !Spec->IsEngine)
        continue;
      sideOf(U);
      Addresses.insert(U.Address.Address + ":" +
                       std::to_string(ProcessSettings.Fleet.LinkPort));
    }
    std::erase_if(Sides, [&](const auto &Item) {
      return !Addresses.contains(Item.first);
    });
    setSides({Addresses.begin(), Addresses.end()});
    Forwarder.onCatalog(now(), std::move(NewCatalog));
    sendDigests();
  }

  Settings ProcessSettings;
  std::shared_ptr<MemoryBudget> Memory;
  TrafficSinks Sinks;
  std::shared_ptr<http::CloseLog> CallerCloses;
  std::shared_ptr<http::CloseLog> ReadinessCloses;
  boost::asio::io_context Io{1};
  zmq::context_t Context{1};
  http::Server CallerServer;
  http::Server ReadinessServer;
  http::Client UpstreamClient;
  boost::asio::steady_timer TickTimer;
  ForwardMetrics Metrics;
  wire::RouterSocket PeerSocket;
  std::shared_ptr<const Catalog> KnownCatalog;
  std::unordered_map<std::string, Side> Sides;
  // Of the sides of all engines in the catalog, in ascending order.
  std::vector<std::string> SideAddresses;
  std::map<std::string, std::unique_ptr<SideConnection>> PeerConnections;
  size_t EntryCount = InitialEntryCount;
  Time NextDigest{};
  CatalogExchange Exchange{freshSeed()};
  std::unordered_map<uint64_t, OpenCall> OpenCalls;
  std::unordered_map<uint64_t, OpenSend> OpenSends;
  std::atomic<size_t> CallCount{0};
  // While stopping: requests that are being received, and answers that are
  // complete, but not yet with their callers.
  std::atomic<size_t> UndeliveredCount{0};
  // No tick has counted since the control thread asked for the end of
  // accepting: this thread may be busy, and requests that arrived meanwhile be
  // unread.
  std::atomic<bool> IsCountOld{false};
  // The callers' server has stopped accepting.
  bool AcceptsNoMore = false;
  uint64_t LastCallId = 0;
  bool Stopping = false;
  // Of the stop, while Stopping.
  StopSchedule Schedule;
  StallWatch Stalls;
  // By which sides know this process again after a connection was reset.
  const uint64_t EntryToken = freshSeed();
  forward::Forwarder Forwarder;
  Random Rand;
};

EntryTraffic::EntryTraffic(const Settings &ProcessSettings, uint64_t Seed,
                           std::shared_ptr<MemoryBudget> Memory,
                           TrafficSinks Sinks)
    : Impl(std::make_unique<State>(ProcessSettings, Seed, std::move(Memory),
                                   std::move(Sinks))) {}

EntryTraffic::~EntryTraffic() = default;

void EntryTraffic::run() {
  runGuarded(Impl->Io,
             [this](const std::string &Why) { Impl->onException(Why); });
}

void EntryTraffic::publish(std::shared_ptr<const Catalog> NewCatalog) {
  boost::asio::post(Impl->Io,
                    [this, NewCatalog] { Impl->publish(NewCatalog); });
}

void EntryTraffic::confirmUpstreams(Time AsOf) {
  boost::asio::post(Impl->Io,
                    [this, AsOf] { Impl->Forwarder.onCurrentCatalog(AsOf); });
}

void EntryTraffic::confirmConfig(BootTime AskedAt) {
  boost::asio::post(Impl->Io, [this, AskedAt] {
    Impl->Metrics.count("config_confirmations_total");
    Impl->Forwarder.onConfigConfirmed(AskedAt);
  });
}

void EntryTraffic::announceStop(const StopSchedule &Schedule) {
  boost::asio::post(Impl->Io, [this, Schedule] {
    Impl->Stopping = true;
    Impl->Schedule = Schedule;
    Impl->CallerServer.announceClose();
    Impl->Forwarder.onStop(Impl->now(), Schedule);
  });
}

void EntryTraffic::stopAccepting() {
  Impl->IsCountOld = true;
  boost::asio::post(Impl->Io, [this] {
    Impl->CallerServer.stopAccepting();
    Impl->AcceptsNoMore = true;
  });
}

void EntryTraffic::stop() {
  boost::asio::post(Impl->Io, [this] {
    Impl->Forwarder.onExit(Impl->now());
    Impl->Io.stop();
  });
}

size_t EntryTraffic::callsInProgress() const {
  return std::max<size_t>(
      {Impl->CallCount, Impl->UndeliveredCount, Impl->IsCountOld ? 1u : 0u});
}

void EntryTraffic::metrics(std::function<void(std::string)> Done) {
  boost::asio::post(Impl->Io, [this, Done] {
    const forward::CrashAttribution &Crashes = Impl->Forwarder.crashes();
    Done(Impl->Metrics.text() + Impl->memoryMetrics() +
         quotaMetrics(Impl->Forwarder.quotas().counters()) +
         "goldcrestlink_verdicts " + std::to_string(Crashes.verdictCount()) +
         "\ngoldcrestlink_suspect_traits " +
         std::to_string(Crashes.suspects()) + "\n");
  });
}

} // namespace goldcrestlink
