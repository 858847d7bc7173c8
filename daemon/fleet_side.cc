// The control thread has signals, log and metrics; the traffic thread talks to
// entries and to the engine. What a side knows of the deployment it learns from
// entries, so that the number of sides costs the platform's store nothing, and
// it passes that on to entries that know less. The engine is asked for its
// report when a decision waits for it, and at a slow pace otherwise.
#include "daemon/fleet_side.h"

#include <map>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include "admission/side_admission.h"
#include "base/hash.h"
#include "base/random.h"
#include "catalog/catalog.h"
#include "daemon/admission_codec.h"
#include "daemon/belief_exchange.h"
#include "daemon/process_control.h"
#include "http/client.h"
#include "platform/engine_control.h"
#include "platform/store_records.h"
#include "wire/socket.h"

namespace goldcrestlink {

namespace {

// Steps while something is awaited of the engine or by entries, and otherwise.
constexpr Duration BusyTick = std::chrono::milliseconds(10);
constexpr Duration IdleTick = std::chrono::milliseconds(50);
// The engine is on the same instance.
constexpr Duration ReportTimeout = std::chrono::milliseconds(400);
constexpr Duration OrderAnswerTimeout = std::chrono::milliseconds(400);
// Reports in a row without an answer until the engine counts as unreachable.
constexpr unsigned MaxReportMisses = 2;
// Load messages to entries: at least and at most this far apart, by whether
// the held adapters changed.
constexpr Duration LoadInterval = std::chrono::milliseconds(250);
constexpr Duration HeldInterval = std::chrono::milliseconds(40);
// An entry that has not asked for this long is forgotten.
constexpr Duration EntryMemory = std::chrono::seconds(6);
constexpr Duration StopTime = std::chrono::milliseconds(300);

class FleetSide : SidePort {
public:
  FleetSide(const Settings &Given, const std::string &File)
      : S(Given),
        Control(ControlIo, S, File,
                {[this] { beginStop(); },
                 [this](const Settings &New) { S = New; },
                 [this](std::function<void(std::string)> Done) {
                   boost::asio::post(Io, [this, Done] { Done(metrics()); });
                 }}),
        StopTimer(ControlIo), Engine(Io), Tick(Io),
        Admission(
            SideAdmission::Options().setSpreadSeed(hash64(S.InstanceName)),
            *this),
        Entries(Io, Context,
                S.Fleet.Address + ":" + std::to_string(S.Fleet.LinkPort),
                [this](const std::string &Peer, wire::Envelope &Message) {
                  onEntryMessage(Peer, Message);
                }) {}

  int run() {
    tick();
    std::thread Thread([this] { Io.run(); });
    ControlIo.run();
    boost::asio::post(Io, [this] { Io.stop(); });
    Thread.join();
    Control.log("stop instance=" + S.InstanceName);
    Control.flush();
    return 0;
  }

private:
  static Time now() { return presentTime().Steady; }

  // Control thread.

  void beginStop() {
    // The engine goes on serving; entries send to it directly.
    StopTimer.expires_after(StopTime);
    StopTimer.async_wait(
        [this](boost::system::error_code) { ControlIo.stop(); });
  }

  // Traffic thread: entries.

  void onEntryMessage(const std::string &Peer, wire::Envelope &Message) {
    const Time N = now();
    const bool New = LastHeard.insert_or_assign(Peer, N).second;
    if (Message.has_admission_ask())
      Admission.onAsk(N, decodeAsk(Message.admission_ask(), Peer));
    else if (Message.has_admission_end())
      Admission.onEnd(N, Peer, Message.admission_end().id(),
                      Duration(static_cast<int64_t>(
                          Message.admission_end().first_token_us())));
    else
      onBeliefMessage(N, Peer, Message);
    if (New)
      sendLoad(Peer, Admission.load(N));
    askReport(N);
    hurryTick();
  }

  // Traffic thread: what is known of the deployment.

  void onBeliefMessage(Time N, const std::string &Peer,
                       wire::Envelope &Message) {
    if (Message.has_digest()) {
      const BeliefRevisions Theirs = decodeRevisions(Message.digest());
      const BeliefRevisions &Own = Believed.revisions();
      if (auto E = Exchange.askFor(N, Theirs, Own))
        tell(Peer, *E);
      if (Theirs.lacks(Own)) {
        wire::Envelope E = encodeDigest(Own);
        tell(Peer, E);
      }
    } else if (Message.has_belief_request()) {
      wire::Envelope E = beliefsFor(Message.belief_request(), Believed);
      tell(Peer, E);
    } else if (Message.has_beliefs()) {
      onBeliefs(N, Peer, decodeBeliefs(Message.beliefs()));
    }
  }

  void onBeliefs(Time N, const std::string &From, const BeliefUpdate &U) {
    const BeliefRevisions Before = Believed.revisions();
    Believed.applyBeliefs(N, U);
    for (const WeightRelease &R : U.Releases)
      Admission.onRelease(N, R);
    if (!U.ConfigText.empty())
      onConfigText(N, U.ConfigText);
    if (Believed.revisions() == Before)
      return;
    Control.log("beliefs config=" + std::to_string(Before.Config) + ".." +
                std::to_string(Believed.revisions().Config) +
                " upstreams=" + std::to_string(U.Upstreams.size()) +
                " releases=" + std::to_string(U.Releases.size()));
    // Those that know less ask for it.
    wire::Envelope E = encodeDigest(Believed.revisions());
    for (const auto &[Peer, At] : std::map<std::string, Time>(LastHeard))
      if (Peer != From)
        tell(Peer, E);
  }

  void onConfigText(Time N, const std::string &Text) {
    try {
      auto Config =
          std::make_shared<DeploymentConfig>(platform::decodeConfig(Text));
      if (!Believed.applyConfig(std::move(Config), Text))
        return;
    } catch (const platform::DecodeError &Bad) {
      Control.log("config outcome=unreadable why=\"" + std::string(Bad.what()) +
                  "\"");
      return;
    }
    const ServiceSpec *Spec = Believed.service(S.Fleet.Service);
    if (!Spec)
      return;
    Health = Spec->HealthPath;
    Admission.onConfig(N, Spec->Engine);
  }

  void tell(const std::string &Peer, wire::Envelope &E) {
    // Its next digest brings it up to date if it is still there.
    if (!Entries.send(Peer, E))
      LastHeard.erase(Peer);
  }

  void reply(const AdmissionAsk &To, const AdmissionReply &R) override {
    if (R.What == Verdict::Refuse)
      Control.log(
          LineClass::Routine,
          "refuse ask=" + std::to_string(To.Id) + " adapter=" + To.Model + "/" +
              To.Adapter + " rank=" + std::to_string(To.Rank) +
              " reason=" + std::string(R.Reason) +
              " expected_ms=" + std::to_string(R.Expected.count() / 1000) +
              " patience_ms=" + std::to_string(To.Patience.count() / 1000) +
              " granted=" + std::to_string(Admission.granted()) +
              " granted_tokens=" + std::to_string(Admission.grantedTokens()) +
              " waiting=" + std::to_string(Admission.waiting()) +
              " running=" + std::to_string(Admission.report().Running) +
              " starting=" + std::to_string(Admission.report().Waiting) +
              " memory_used=" + std::to_string(Admission.report().MemoryUsed) +
              " rate=" + std::to_string(Admission.load(now()).PrefillRate));
    wire::Envelope E = encodeReply(To.Id, R);
    if (!Entries.send(To.Peer, E))
      Control.log(LineClass::Routine,
                  "reply outcome=entry_gone ask=" + std::to_string(To.Id));
  }

  void log(LineClass Class, std::string Line) override {
    Control.log(Class, std::move(Line));
  }

  void sendLoad(const std::string &Peer, const EngineLoad &L) {
    wire::Envelope E = encodeLoad(L, InstanceId, LastHeard.size());
    tell(Peer, E);
  }

  void shareLoad(Time N) {
    const EngineLoad L = Admission.load(N);
    const bool Changed =
        L.Held != LastLoad.Held || L.Serving != LastLoad.Serving;
    const bool Idle = L == LastLoad;
    if (N - LoadSentAt < (Changed ? HeldInterval : LoadInterval) || Idle)
      return;
    LoadSentAt = N;
    LastLoad = L;
    std::erase_if(LastHeard, [&](const auto &Item) {
      return N - Item.second > EntryMemory;
    });
    std::vector<std::string> Peers;
    for (const auto &[Peer, At] : LastHeard)
      Peers.push_back(Peer);
    for (const std::string &Peer : Peers)
      sendLoad(Peer, L);
  }

  // Traffic thread: the engine.

  void tick() {
    const Time N = now();
    Admission.onTimer(N);
    askReport(N);
    shareLoad(N);
    armTick();
  }

  bool isBusy() const {
    return Admission.awaitsReport() || Admission.waiting() > 0;
  }

  void armTick() {
    TickIsBusy = isBusy();
    Tick.expires_after(TickIsBusy ? BusyTick : IdleTick);
    Tick.async_wait([this](boost::system::error_code Error) {
      if (!Error)
        tick();
    });
  }

  // Called after events that may begin a busy time.
  void hurryTick() {
    if (!TickIsBusy && isBusy())
      armTick();
  }

  void askReport(Time N) {
    if (ReportOpen || N < Admission.reportDue(N))
      return;
    ReportOpen = true;
    http::CallOptions Options;
    Options.setConnectTimeout(ReportTimeout).setSilenceTimeout(ReportTimeout);
    Engine.fetch(S.Fleet.Engine, platform::reportRequest(), Options,
                 [this](const http::Response *R, http::CallError) {
                   ReportOpen = false;
                   onReport(R);
                 });
  }

  void onReport(const http::Response *R) {
    const Time N = now();
    if (!R || R->Head.Status != 200) {
      if (++Misses >= MaxReportMisses)
        Admission.onEngineSilent(N);
      return;
    }
    Misses = 0;
    try {
      const EngineReport Report = platform::decodeReport(R->Body);
      if (Report.StartedMs != StartedMs || InstanceId.empty()) {
        StartedMs = Report.StartedMs;
        InstanceId.clear();
        askIdentity();
      }
      // Orders name the incarnation, so none is given before it is known.
      if (!InstanceId.empty())
        Admission.onReport(N, Report);
      shareLoad(N);
    } catch (const platform::DecodeError &Bad) {
      Control.log("engine report=unreadable why=\"" + std::string(Bad.what()) +
                  "\"");
    }
  }

  void askIdentity() {
    if (IdentityOpen || Health.empty())
      return;
    IdentityOpen = true;
    http::Request Q;
    Q.Target = Health;
    http::CallOptions Options;
    Options.setConnectTimeout(ReportTimeout).setSilenceTimeout(ReportTimeout);
    Engine.fetch(S.Fleet.Engine, std::move(Q), Options,
                 [this](const http::Response *R, http::CallError) {
                   IdentityOpen = false;
                   if (!R)
                     return;
                   InstanceId = platform::decodeInstanceId(R->Head);
                   Control.log("engine id=" + InstanceId +
                               " started_ms=" + std::to_string(StartedMs));
                 });
  }

  void order(const EngineOrder &O) override {
    http::CallOptions Options;
    Options.setConnectTimeout(OrderAnswerTimeout)
        .setSilenceTimeout(OrderAnswerTimeout);
    ++Orders;
    Engine.fetch(
        S.Fleet.Engine, platform::encodeOrder(O, S.InstanceName, InstanceId),
        Options,
        [this, Number = O.Number](const http::Response *R, http::CallError) {
          Admission.onOrderOutcome(now(), Number,
                                   R ? platform::decodeOrderAnswer(R->Head)
                                     : OrderOutcome::Unknown);
        });
  }

  std::string metrics() const {
    return "goldcrestlink_orders_total " + std::to_string(Orders) +
           "\ngoldcrestlink_adapter_loads_total " +
           std::to_string(Admission.loadsOrdered()) +
           "\ngoldcrestlink_evictions_total " +
           std::to_string(Admission.evictions()) +
           "\ngoldcrestlink_config_version " +
           std::to_string(Believed.revisions().Config) +
           "\ngoldcrestlink_adapters_held " +
           std::to_string(Admission.load(now()).Held.size()) +
           "\ngoldcrestlink_waiting " + std::to_string(Admission.waiting()) +
           "\ngoldcrestlink_granted " + std::to_string(Admission.granted()) +
           "\ngoldcrestlink_entries " + std::to_string(LastHeard.size()) + "\n";
  }

  Settings S;
  boost::asio::io_context ControlIo{1};
  ProcessControl Control;
  boost::asio::steady_timer StopTimer;

  boost::asio::io_context Io{1};
  zmq::context_t Context{1};
  http::Client Engine;
  boost::asio::steady_timer Tick;
  SideAdmission Admission;
  wire::RouterSocket Entries;
  std::map<std::string, Time> LastHeard;
  Catalog Believed;
  BeliefExchange Exchange;
  EngineLoad LastLoad;
  Time LoadSentAt{};
  std::string Health;
  std::string InstanceId;
  uint64_t StartedMs = 0;
  uint64_t Orders = 0;
  unsigned Misses = 0;
  bool TickIsBusy = false;
  bool ReportOpen = false;
  bool IdentityOpen = false;
};

} // namespace

int runFleetSide(const Settings &S, const std::string &File) {
  return FleetSide(S, File).run();
}

} // namespace goldcrestlink
