// The control thread handles signals, log and metrics; the traffic thread
// exchanges messages with entries and calls the engine. A side receives the
// catalog state from entries, so that the load on the platform's store does not
// grow with the number of sides, and sends it to entries whose state is older.
// The engine's report is requested when a decision depends on it, and less
// often otherwise.
#include "daemon/fleet_side.h"

#include <algorithm>
#include <map>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "admission/organisation_weights.h"
#include "admission/quota_ledger.h"
#include "admission/side_admission.h"
#include "base/hash.h"
#include "base/random.h"
#include "catalog/catalog.h"
#include "daemon/admission_codec.h"
#include "daemon/catalog_exchange.h"
#include "daemon/crash_relay.h"
#include "daemon/guarded_loop.h"
#include "daemon/leaving_codec.h"
#include "daemon/origin_codec.h"
#include "daemon/process_control.h"
#include "daemon/quota_codec.h"
#include "http/client.h"
#include "platform/call_headers.h"
#include "platform/engine_control.h"
#include "platform/store_records.h"
#include "wire/socket.h"

namespace goldcrestlink {

namespace {

// Timer intervals while a report is due from the engine or requests are
// waiting, and otherwise.
constexpr Duration BusyTick = std::chrono::milliseconds(10);
constexpr Duration IdleTick = std::chrono::milliseconds(50);
// Short, since the engine is on the same instance.
constexpr Duration ReportTimeout = std::chrono::milliseconds(400);
// Shorter than the time after which SideAdmission repeats an order, so that no
// answer to an earlier order arrives after that.
constexpr Duration OrderTimeout = std::chrono::milliseconds(140);
// Consecutive failed report requests after which the engine counts as
// unreachable.
constexpr unsigned MaxMissedReports = 2;
// Minimum time between load messages to entries: the shorter one applies when
// the held adapters or the serving state have changed. Unchanged load is not
// sent.
constexpr Duration MinLoadInterval = std::chrono::milliseconds(250);
constexpr Duration MinChangedLoadInterval = std::chrono::milliseconds(40);
// An entry from which no message has been received for this long is removed.
constexpr Duration EntryExpiry = std::chrono::seconds(6);
// From the signal until the process stops.
constexpr Duration StopDelay = std::chrono::milliseconds(300);

class FleetSide : SidePort {
public:
  FleetSide(const Settings &InSettings, const std::string &File)
      : ProcessSettings(InSettings),
        Control(ControlIo, ProcessSettings, File,
                {[this] { beginStop(); },
                 [this](const Settings &NewSettings) {
                   ProcessSettings = NewSettings;
                 },
                 [this](std::function<void(std::string)> Done) {
                   boost::asio::post(Io, [this, Done] { Done(metrics()); });
                 }},
                std::make_shared<MemoryBudget>(
                    MemoryBudget::limitFor(ProcessSettings.Fleet.MemoryMb))),
        StopTimer(ControlIo), Engine(Io), TickTimer(Io),
        Admission(SideAdmission::Options()
                      .setSpreadSeed(hash64(ProcessSettings.InstanceName))
                      .setHoldOutput(ProcessSettings.Fleet.HoldOutput),
                  *this),
        EntrySocket(Io, Context,
                    ProcessSettings.Fleet.Address + ":" +
                        std::to_string(ProcessSettings.Fleet.LinkPort),
                    [this](const std::string &Peer, wire::Envelope &Message) {
                      onEntryMessage(Peer, Message);
                    }) {}

  int run() {
    tick();
    std::thread Thread([this] {
      runGuarded(Io, [this](const std::string &Why) {
        // The tick may have ended before it set its timer.
        armTick();
        Control.log("exception thread=traffic what=\"" + Why + "\"");
      });
    });
    runGuarded(ControlIo, [this](const std::string &Why) {
      Control.log("exception thread=control what=\"" + Why + "\"");
    });
    boost::asio::post(Io, [this] { Io.stop(); });
    Thread.join();
    Control.log("stop instance=" + ProcessSettings.InstanceName);
    Control.flush();
    return 0;
  }

private:
  static Time now() { return currentTime().Steady; }

  // Control thread.

  void beginStop() {
    if (Stopping)
      return;
    Stopping = true;
    // The engine keeps serving: entries send requests to it directly.
    boost::asio::post(Io, [this] { Admission.onStop(now()); });
    StopTimer.expires_after(StopDelay);
    StopTimer.async_wait(
        [this](boost::system::error_code) { ControlIo.stop(); });
  }

  // Traffic thread: entries.

  void onEntryMessage(const std::string &Peer, wire::Envelope &Message) {
    const Time Now = now();
    if (LastSeen.insert_or_assign(Peer, Now).second)
      welcome(Now, Peer);
    if (Message.has_admission_ask())
      onAdmissionRequest(Now,
                         decodeAdmissionRequest(
                             Message.admission_ask(),
                             entryOf(Peer, Message.admission_ask().entry())));
    else if (Message.has_upstream_leaving())
      onLeaving(Now, Peer, decodeLeaving(Message.upstream_leaving()));
    else if (Message.has_admission_end())
      Admission.onEnd(Now, entryOf(Peer, Message.admission_end().entry()),
                      Message.admission_end().id(),
                      Duration(static_cast<int64_t>(
                          Message.admission_end().first_token_us())));
    else if (Message.has_quota_use())
      onQuotaUse(Now, Peer, Message.quota_use());
    else if (Message.has_upstream_limit())
      onLimit(Now, Message.upstream_limit());
    else if (!onOriginMessage(Now, Peer, Message) &&
             !onCrashMessage(Now, Peer, Message))
      onCatalogMessage(Now, Peer, Message);
    requestReport(Now);
    rearmTickIfBusy();
  }

  // The name under which requests of an entry are kept. An entry that states
  // its token keeps it when it connects anew, and gets replies on its last
  // connection.
  std::string entryOf(const std::string &Peer, uint64_t Token) {
    if (Token == 0)
      return Peer;
    std::string Name = "entry-" + std::to_string(Token);
    LastPeer[Name] = Peer;
    return Name;
  }

  const std::string &peerOf(const std::string &Entry) const {
    const auto It = LastPeer.find(Entry);
    return It == LastPeer.end() ? Entry : It->second;
  }

  bool engineLeaves() const {
    return !InstanceId.empty() && Leaving.contains({InstanceId, StartedMs});
  }

  void onAdmissionRequest(Time Now, AdmissionRequest Request) {
    if (!engineLeaves())
      return Admission.onAdmissionRequest(Now, std::move(Request));
    if (Request.Prefetch)
      return;
    AdmissionReply Refusal;
    Refusal.Decision = Verdict::Refuse;
    Refusal.Reason = "leaving";
    reply(Request, Refusal);
  }

  // Traffic thread: upstreams that leave.

  void onLeaving(Time Now, const std::string &From,
                 std::vector<forward::UpstreamIncarnation> Upstreams) {
    std::erase_if(Upstreams, [&](const forward::UpstreamIncarnation &U) {
      return !Leaving.add(Now, U);
    });
    if (!InstanceId.empty())
      Leaving.onRecord({InstanceId, StartedMs});
    for (const forward::UpstreamIncarnation &U : Upstreams)
      Control.log("upstream_leaving upstream=" + U.Id +
                  " started_ms=" + std::to_string(U.StartedMs));
    if (!Upstreams.empty())
      sendToOthers(From, encodeLeaving(Upstreams));
  }

  // Sends an entry that may have just started what the other entries know. The
  // load comes last, and so shows that the rest has arrived.
  void welcome(Time Now, const std::string &Peer) {
    for (wire::Envelope &E : Relay.state(Now))
      send(Peer, E);
    if (const auto All = Leaving.all(); !All.empty()) {
      wire::Envelope E = encodeLeaving(All);
      send(Peer, E);
    }
    sendLoad(Peer, Admission.load(Now));
  }

  // The engine has answered a request of this process.
  void onEngineAnswer(Time Now, const http::ResponseHead &Head) {
    const forward::UpstreamNotice Notice = platform::decodeNotice(Head);
    if (Notice.Leaving && !InstanceId.empty())
      onLeaving(Now, "", {{InstanceId, StartedMs}});
    if (Notice.Pause > Duration(0)) {
      EnginePausedUntil = std::max(EnginePausedUntil, Now + Notice.Pause);
      Control.log("engine state=paused ms=" +
                  std::to_string(Notice.Pause.count() / 1000));
    }
  }

  void onLimit(Time Now, const wire::UpstreamLimit &Message) {
    // A limit ends with the incarnation that named it.
    if (Message.upstream() == InstanceId)
      Admission.onRequestLimit(Now, decodeLimit(Message));
  }

  void onQuotaUse(Time Now, const std::string &Peer,
                  const wire::QuotaUse &Message) {
    wire::Envelope E =
        encodeQuotaTotals(Quotas.onReport(Now, decodeQuotaReport(Message)));
    send(Peer, E);
  }

  // Traffic thread: origins of streams.

  bool onOriginMessage(Time Now, const std::string &From,
                       const wire::Envelope &Message) {
    if (Message.has_stream_origin()) {
      Origins.record(Now, Message.stream_origin().attempt(),
                     decodeOrigin(Message.stream_origin()));
      return true;
    }
    if (!Message.has_stream_origin_query())
      return false;
    const wire::StreamOriginQuery &Query = Message.stream_origin_query();
    wire::Envelope E =
        encodeOriginReply(Query, Origins.find(Now, Query.attempt()));
    send(From, E);
    return true;
  }

  // Traffic thread: crash reports and quarantine verdicts.

  bool onCrashMessage(Time Now, const std::string &From,
                      wire::Envelope &Message) {
    std::optional<wire::Envelope> ToOthers = Relay.onMessage(Now, Message);
    if (ToOthers)
      sendToOthers(From, *ToOthers);
    return CrashRelay::handles(Message);
  }

  void sendToOthers(const std::string &From, const wire::Envelope &Message) {
    for (const auto &[Peer, At] : std::map<std::string, Time>(LastSeen)) {
      if (Peer == From)
        continue;
      wire::Envelope E = Message;
      send(Peer, E);
    }
  }

  // Traffic thread: catalog state.

  void onCatalogMessage(Time Now, const std::string &Peer,
                        wire::Envelope &Message) {
    if (Message.has_digest()) {
      const CatalogRevisions Theirs = decodeRevisions(Message.digest());
      const CatalogRevisions &Own = KnownCatalog.revisions();
      if (Own.Config < Theirs.Config) {
        LastOfferer = Peer;
        LastOffer = Theirs;
      }
      requestFrom(Now, Peer, Theirs);
      if (Theirs.lacks(Own)) {
        wire::Envelope E = encodeDigest(Own, Relay.digest());
        send(Peer, E);
      }
      if (auto E = Relay.onDigest(Now, Message.digest()))
        send(Peer, *E);
    } else if (Message.has_belief_request()) {
      wire::Envelope E =
          catalogUpdateFor(Now, Message.belief_request(), KnownCatalog);
      send(Peer, E);
    } else if (Message.has_beliefs()) {
      onCatalogUpdate(Now, Peer, decodeCatalogUpdate(Message.beliefs()));
    }
  }

  void requestFrom(Time Now, const std::string &Peer,
                   const CatalogRevisions &Theirs) {
    if (auto E = Exchange.requestMissing(Now, Theirs, KnownCatalog.revisions()))
      send(Peer, *E);
  }

  void onCatalogUpdate(Time Now, const std::string &From,
                       const CatalogUpdate &Update) {
    const CatalogRevisions Before = KnownCatalog.revisions();
    KnownCatalog.applyUpdate(Now, Update);
    for (const WeightRelease &R : Update.Releases)
      Admission.onRelease(Now, R);
    if (!Update.ConfigText.empty())
      onConfigText(Now, Update.ConfigText);
    if (KnownCatalog.revisions() == Before)
      return;
    Control.log("beliefs config=" + std::to_string(Before.Config) + ".." +
                std::to_string(KnownCatalog.revisions().Config) +
                " upstreams=" + std::to_string(Update.Upstreams.size()) +
                " releases=" + std::to_string(Update.Releases.size()));
    // Entries whose state is older request the update.
    sendToOthers(From, encodeDigest(KnownCatalog.revisions(), Relay.digest()));
  }

  void onConfigText(Time Now, const std::string &Text) {
    if (KnownCatalog.isKnownConfig(Text))
      return;
    try {
      auto Config =
          std::make_shared<DeploymentConfig>(platform::decodeConfig(Text));
      if (!KnownCatalog.applyConfig(std::move(Config), Text))
        return;
    } catch (const platform::DecodeError &Error) {
      Control.log("config outcome=unreadable why=\"" +
                  std::string(Error.what()) + "\"");
      return;
    }
    const ServiceSpec *Spec =
        KnownCatalog.service(ProcessSettings.Fleet.Service);
    if (!Spec)
      return;
    HealthPath = Spec->HealthPath;
    Admission.setWeights(
        organisationWeights(KnownCatalog.config()->Organisations));
    Admission.onConfig(Now, Spec->Engine);
  }

  void send(const std::string &Peer, wire::Envelope &E) {
    // If the entry is still running, its next digest starts a new exchange.
    if (!EntrySocket.send(Peer, E))
      LastSeen.erase(Peer);
  }

  void reply(const AdmissionRequest &Request,
             const AdmissionReply &Reply) override {
    if (Reply.Decision == Verdict::Refuse)
      Control.log(
          LogClass::Routine,
          "refuse ask=" + std::to_string(Request.Id) +
              " adapter=" + Request.Model + "/" + Request.Adapter +
              " rank=" + std::to_string(Request.Rank) +
              " reason=" + std::string(Reply.Reason) +
              " expected_ms=" + std::to_string(Reply.Expected.count() / 1000) +
              " patience_ms=" + std::to_string(Request.MaxWait.count() / 1000) +
              " granted=" + std::to_string(Admission.granted()) +
              " organisation=" + std::to_string(Request.Organisation) +
              " granted_tokens=" + std::to_string(Admission.grantedTokens()) +
              " committed_tokens=" +
              std::to_string(Admission.committedTokens()) +
              " waiting=" + std::to_string(Admission.waiting()) +
              " running=" + std::to_string(Admission.report().Running) +
              " starting=" + std::to_string(Admission.report().Waiting) +
              " memory_used=" + std::to_string(Admission.report().MemoryUsed) +
              " rate=" + std::to_string(Admission.load(now()).PrefillRate));
    AdmissionReply WithStart = Reply;
    WithStart.EngineStartedMs = StartedMs;
    wire::Envelope E = encodeReply(Request.Id, WithStart);
    if (!EntrySocket.send(peerOf(Request.Peer), E))
      Control.log(LogClass::Routine,
                  "reply outcome=entry_gone ask=" + std::to_string(Request.Id));
  }

  void log(LogClass Class, std::string Line) override {
    Control.log(Class, std::move(Line));
  }

  void reportPause(const std::string &Entry, uint64_t Id,
                   Duration Length) override {
    wire::Envelope E = encodePause(Id, Length);
    if (!EntrySocket.send(peerOf(Entry), E))
      Control.log(LogClass::Routine,
                  "pause outcome=entry_gone ask=" + std::to_string(Id));
  }

  void sendLoad(const std::string &Peer, const EngineLoad &Load) {
    wire::Envelope E = encodeLoad(Load, InstanceId, LastSeen.size());
    send(Peer, E);
  }

  void sendLoadIfChanged(Time Now) {
    const EngineLoad Load = Admission.load(Now);
    const bool Changed = Load.Held != LastLoad.Held ||
                         Load.Incoming != LastLoad.Incoming ||
                         Load.Serving != LastLoad.Serving ||
                         risesClearly(LastLoad.Demand, Load.Demand);
    const bool Unchanged = Load == LastLoad;
    if (Now - LoadSentAt <
            (Changed ? MinChangedLoadInterval : MinLoadInterval) ||
        Unchanged)
      return;
    LoadSentAt = Now;
    LastLoad = Load;
    std::erase_if(LastSeen, [&](const auto &Item) {
      return Now - Item.second > EntryExpiry;
    });
    std::erase_if(LastPeer, [&](const auto &Item) {
      return !LastSeen.contains(Item.second);
    });
    std::vector<std::string> Peers;
    for (const auto &[Peer, At] : LastSeen)
      Peers.push_back(Peer);
    for (const std::string &Peer : Peers)
      sendLoad(Peer, Load);
  }

  // Traffic thread: the engine.

  void tick() {
    const Time Now = now();
    Admission.onTimer(Now);
    Relay.onTimer(Now);
    Leaving.expire(Now);
    KnownCatalog.onTimer(Now);
    if (Exchange.onTimer(Now, KnownCatalog.revisions()))
      requestFrom(Now, LastOfferer, LastOffer);
    requestReport(Now);
    sendLoadIfChanged(Now);
    armTick();
  }

  bool isBusy() const {
    return Admission.awaitsReport() || Admission.waiting() > 0;
  }

  void armTick() {
    TickIsBusy = isBusy();
    const Duration ToReport = Admission.reportDue(now()) - now();
    TickTimer.expires_after(
        TickIsBusy ? BusyTick : std::clamp(ToReport, BusyTick, IdleTick));
    TickTimer.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        tick();
    });
  }

  // Switches to the short interval at once. Called after events that may
  // require it.
  void rearmTickIfBusy() {
    if (!TickIsBusy && isBusy())
      armTick();
  }

  void requestReport(Time Now) {
    if (ReportPending || Now < EnginePausedUntil ||
        Now < Admission.reportDue(Now))
      return;
    ReportPending = true;
    http::CallOptions Options;
    Options.setConnectTimeout(ReportTimeout).setReadTimeout(ReportTimeout);
    Engine.fetch(ProcessSettings.Fleet.Engine, platform::reportRequest(),
                 Options, [this](const http::Response *R, http::CallError) {
                   ReportPending = false;
                   onReport(R);
                   if (R)
                     onEngineAnswer(now(), R->Head);
                 });
  }

  void onReport(const http::Response *R) {
    const Time Now = now();
    if (R && platform::decodeNotice(R->Head).Pause > Duration(0))
      return;
    if (!R || R->Head.Status != 200) {
      if (++MissedReports >= MaxMissedReports)
        Admission.onEngineUnreachable(Now);
      return;
    }
    MissedReports = 0;
    try {
      const EngineReport Report = platform::decodeReport(R->Body);
      noteUnreadableRuns(Report.UnreadableRuns);
      if (Report.StartedMs != StartedMs || InstanceId.empty()) {
        StartedMs = Report.StartedMs;
        InstanceId.clear();
        Admission.onRequestLimit(Now, 0);
        requestIdentity();
      }
      // Orders name the engine's incarnation, so none is given before it is
      // known.
      if (!InstanceId.empty())
        Admission.onReport(Now, Report);
      sendLoadIfChanged(Now);
    } catch (const platform::DecodeError &Error) {
      Control.log("engine report=unreadable why=\"" +
                  std::string(Error.what()) + "\"");
    }
  }

  // Logged when such runs appear, since the reports come a hundred times a
  // second.
  void noteUnreadableRuns(uint32_t Count) {
    if (Count > 0 && !HasUnreadableRuns)
      Control.log("engine runs=unreadable count=" + std::to_string(Count));
    HasUnreadableRuns = Count > 0;
    UnreadableRuns += Count;
  }

  void requestIdentity() {
    if (IdentityPending || HealthPath.empty() || now() < EnginePausedUntil)
      return;
    IdentityPending = true;
    http::Request HealthRequest;
    HealthRequest.Target = HealthPath;
    http::CallOptions Options;
    Options.setConnectTimeout(ReportTimeout).setReadTimeout(ReportTimeout);
    Engine.fetch(ProcessSettings.Fleet.Engine, std::move(HealthRequest),
                 Options, [this](const http::Response *R, http::CallError) {
                   IdentityPending = false;
                   if (!R)
                     return;
                   InstanceId = platform::decodeInstanceId(R->Head);
                   Leaving.onRecord({InstanceId, StartedMs});
                   onEngineAnswer(now(), R->Head);
                   Control.log("engine id=" + InstanceId +
                               " started_ms=" + std::to_string(StartedMs));
                 });
  }

  void order(const EngineOrder &Order) override {
    if (now() < EnginePausedUntil)
      return boost::asio::post(Io, [this, Number = Order.Number] {
        Admission.onOrderOutcome(now(), Number, OrderOutcome::Refused);
      });
    http::CallOptions Options;
    Options.setConnectTimeout(OrderTimeout).setReadTimeout(OrderTimeout);
    ++OrderCount;
    Engine.fetch(
        ProcessSettings.Fleet.Engine,
        platform::encodeOrder(Order, ProcessSettings.InstanceName, InstanceId),
        Options,
        [this, Number = Order.Number](const http::Response *R,
                                      http::CallError) {
          if (R)
            onEngineAnswer(now(), R->Head);
          Admission.onOrderOutcome(now(), Number,
                                   R ? platform::decodeOrderAnswer(R->Head)
                                     : OrderOutcome::Unknown);
        });
  }

  std::string metrics() const {
    return "goldcrestlink_orders_total " + std::to_string(OrderCount) +
           "\ngoldcrestlink_adapter_loads_total " +
           std::to_string(Admission.loadsOrdered()) +
           "\ngoldcrestlink_evictions_total " +
           std::to_string(Admission.evictions()) +
           "\ngoldcrestlink_config_version " +
           std::to_string(KnownCatalog.revisions().Config) +
           "\ngoldcrestlink_adapters_held " +
           std::to_string(Admission.load(now()).Held.size()) +
           "\ngoldcrestlink_waiting " + std::to_string(Admission.waiting()) +
           "\ngoldcrestlink_granted " + std::to_string(Admission.granted()) +
           "\ngoldcrestlink_prompts_held_total " +
           std::to_string(Admission.promptsHeld()) +
           "\ngoldcrestlink_requests_shed_total " +
           std::to_string(Admission.requestsShed()) +
           "\ngoldcrestlink_memory_committed_tokens " +
           std::to_string(Admission.committedTokens()) +
           "\ngoldcrestlink_memory_unasked_tokens " +
           std::to_string(Admission.unaskedTokens()) +
           "\ngoldcrestlink_unreadable_runs_total " +
           std::to_string(UnreadableRuns) + "\ngoldcrestlink_entries " +
           std::to_string(LastSeen.size()) + "\ngoldcrestlink_verdicts " +
           std::to_string(Relay.verdicts()) + "\ngoldcrestlink_quota_entries " +
           std::to_string(Quotas.entries()) +
           "\ngoldcrestlink_stream_origins " + std::to_string(Origins.size()) +
           "\n";
  }

  Settings ProcessSettings;
  boost::asio::io_context ControlIo{1};
  ProcessControl Control;
  boost::asio::steady_timer StopTimer;
  bool Stopping = false;

  boost::asio::io_context Io{1};
  zmq::context_t Context{1};
  http::Client Engine;
  boost::asio::steady_timer TickTimer;
  SideAdmission Admission;
  wire::RouterSocket EntrySocket;
  std::map<std::string, Time> LastSeen;
  // The last connection of each entry that has asked for admission.
  std::map<std::string, std::string> LastPeer;
  Catalog KnownCatalog;
  CatalogExchange Exchange{freshSeed()};
  // The entry that last announced a newer configuration, and its state.
  std::string LastOfferer;
  CatalogRevisions LastOffer;
  CrashRelay Relay;
  forward::LeavingUpstreams Leaving;
  forward::StreamOrigins Origins{forward::StreamOrigins::Options()};
  QuotaLedger Quotas;
  EngineLoad LastLoad;
  Time LoadSentAt{};
  std::string HealthPath;
  std::string InstanceId;
  uint64_t StartedMs = 0;
  uint64_t OrderCount = 0;
  uint64_t UnreadableRuns = 0;
  bool HasUnreadableRuns = false;
  unsigned MissedReports = 0;
  // The engine wants no requests of this process until then.
  Time EnginePausedUntil{};
  bool TickIsBusy = false;
  bool ReportPending = false;
  bool IdentityPending = false;
};

} // namespace

int runFleetSide(const Settings &ProcessSettings, const std::string &File) {
  boundHeap();
  return FleetSide(ProcessSettings, File).run();
}

} // namespace goldcrestlink
