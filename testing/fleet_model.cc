// Advances in steps of one millisecond. Messages wait in a queue by their time
// of arrival. Sides send their loads as daemon/fleet_side.cc does.
#include "testing/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>

#include "base/hash.h"
#include "forward/forwarder.h"

namespace goldcrestlink::testing {

namespace {

constexpr Duration Step = std::chrono::milliseconds(1);
constexpr Duration TickInterval = std::chrono::milliseconds(10);
constexpr Duration LoadInterval = std::chrono::milliseconds(250);
constexpr Duration ChangedLoadInterval = std::chrono::milliseconds(40);
// Callers wait no longer than this after the last arrival.
constexpr Duration Settling = std::chrono::seconds(20);
constexpr const char *Model = "m";

Time start() { return Time(std::chrono::seconds(100)); }

} // namespace

Duration KindResult::firstEventQuantile(double Share) const {
  if (FirstEvents.empty())
    return Duration(0);
  std::vector<Duration> Sorted = FirstEvents;
  std::sort(Sorted.begin(), Sorted.end());
  return Sorted[static_cast<size_t>(Share *
                                    static_cast<double>(Sorted.size() - 1))];
}

struct FleetModel::State {
  struct Caller {
    size_t Kind = 0;
    Time Arrived{};
    Time FirstAt{};
    Time LastAt{};
    Duration LongestPause{};
  };

  /// A side and its engine.
  struct EngineNode : SidePort, EngineModelObserver {
    EngineNode(State &InFleet, size_t InIndex)
        : Fleet(InFleet), Index(InIndex),
          Engine(optionsOf(InFleet, InIndex), *this, &InFleet.Store),
          Admission(SideAdmission::Options().setSpreadSeed(InIndex), *this) {}

    static EngineModel::Options optionsOf(const State &Fleet, size_t Index) {
      EngineModel::Options O = Fleet.Opts.Engine;
      O.Seed = mixHash(Fleet.Opts.Seed, Index);
      if (Index < Fleet.Opts.SlowEngines) {
        O.Step = fromSeconds(seconds(O.Step) * Fleet.Opts.SlowEngineFactor);
        O.PrefillRate /= Fleet.Opts.SlowEngineFactor;
      }
      return O;
    }

    void step(Time Now) {
      Engine.advance(Now);
      if (Now >= Admission.reportDue(Now))
        Admission.onReport(Now, Engine.report());
      if (Now >= NextTick) {
        NextTick = Now + TickInterval;
        Admission.onTimer(Now);
      }
      sendLoad(Now);
    }

    void sendLoad(Time Now) {
      if (Now - LoadSentAt < ChangedLoadInterval)
        return;
      EngineLoad Load = Admission.load(Now);
      const bool Changed = Load.Held != LastLoad.Held ||
                           Load.Incoming != LastLoad.Incoming ||
                           Load.Serving != LastLoad.Serving ||
                           risesClearly(LastLoad.Demand, Load.Demand);
      if (Load == LastLoad || (!Changed && Now - LoadSentAt < LoadInterval))
        return;
      LoadSentAt = Now;
      LastLoad = Load;
      for (size_t I = 0; I < Fleet.Entries.size(); ++I) {
        ++Fleet.Result.LoadMessages;
        Fleet.later(Now, [this, I, Load](Time Arrives) {
          Fleet.Entries[I]->onLoad(Arrives, Index, Load);
          Fleet.Entries[I]->Machine.onSideState(Arrives);
        });
      }
    }

    void reply(const AdmissionRequest &To, const AdmissionReply &R) override {
      const size_t Entry = std::stoul(To.Peer);
      Fleet.later(Fleet.Now, [this, Entry, Id = To.Id, R](Time Arrives) {
        if (R.Decision == Verdict::Refuse)
          Fleet.Entries[Entry]->Open.erase(Id);
        Fleet.Entries[Entry]->Machine.onAdmission(Arrives, Fleet.idOf(Index),
                                                  Id, R);
      });
    }
    void order(const EngineOrder &O) override {
      Fleet.later(Fleet.Now, [this, O](Time Arrives) {
        const OrderOutcome Outcome = O.Adapter.empty()
                                         ? OrderOutcome::Completed
                                         : Engine.order(Arrives, O);
        Admission.onOrderOutcome(Arrives, O.Number, Outcome);
      });
    }
    void reportPause(const std::string &Peer, uint64_t Id,
                     Duration Length) override {
      const size_t Entry = std::stoul(Peer);
      Fleet.later(Fleet.Now, [this, Entry, Id, Length](Time) {
        Fleet.Entries[Entry]->Machine.onEnginePause(Id, Length);
      });
    }
    void log(LogClass, std::string) override {}

    void onEvent(Time At, uint64_t Id) override {
      Fleet.onEngineEvent(At, Id, false);
    }
    void onEnd(Time At, uint64_t Id) override {
      Fleet.onEngineEvent(At, Id, true);
    }

    State &Fleet;
    size_t Index;
    EngineModel Engine;
    SideAdmission Admission;
    EngineLoad LastLoad;
    Time LoadSentAt{};
    Time NextTick{};
  };

  struct EntryNode : forward::ForwardPort {
    EntryNode(State &InFleet, size_t InIndex)
        : Fleet(InFleet), Index(InIndex),
          Machine(forward::Forwarder::Options().setDataCentre(
                      InFleet.dataCentreOf(InIndex)),
                  *this, mixHash(InFleet.Opts.Seed, InIndex + 1000)) {}

    void onLoad(Time Now, size_t Engine, const EngineLoad &Load) {
      Loads[Engine] = Load;
      Machine.onLoad(Now, idOf(Engine),
                     Fleet.Opts.LeastOutstanding ? withoutCosts(Engine) : Load);
    }
    /// Least outstanding requests: counts those of this entry, as a balancer
    /// does that knows nothing of the others.
    void countOpen(Time Now) {
      for (const auto &[Engine, Load] : Loads)
        Machine.onLoad(Now, idOf(Engine), withoutCosts(Engine));
    }
    /// What the entry needs to choose by its open requests and the adapters
    /// that engines hold.
    EngineLoad withoutCosts(size_t Engine) const {
      // Prompts of any size take no time.
      constexpr double AnyRate = 1e9;
      const EngineLoad &Load = Loads.at(Engine);
      EngineLoad Out;
      Out.Serving = Load.Serving;
      Out.Held = Load.Held;
      Out.Incoming = Load.Incoming;
      Out.PrefillRate = AnyRate;
      for (const auto &[Id, At] : Open)
        Out.Running += At == Engine ? 1 : 0;
      return Out;
    }

    void requestAdmission(const UpstreamRecord &Engine,
                          const AdmissionRequest &Request) override {
      ++Fleet.Result.AdmissionRequests;
      if (!Request.Prefetch)
        Open[Request.Id] = Engine.Slots;
      AdmissionRequest R = Request;
      R.Peer = std::to_string(Index);
      if (!Fleet.Opts.PacePrompts)
        R.MaxPause = Duration(0);
      Fleet.later(Fleet.Now, [this, R, To = Engine.Slots](Time Arrives) {
        Fleet.Engines[To]->Admission.onAdmissionRequest(Arrives, R);
      });
    }
    void endAdmission(const UpstreamRecord &Engine, uint64_t AdmissionId,
                      Duration FirstToken) override {
      Open.erase(AdmissionId);
      Fleet.later(Fleet.Now, [this, AdmissionId, FirstToken,
                              To = Engine.Slots](Time Arrives) {
        Fleet.Engines[To]->Admission.onEnd(Arrives, std::to_string(Index),
                                           AdmissionId, FirstToken);
      });
    }
    void send(forward::SendId Send, const forward::IncomingCall &Call,
              const forward::SendOptions &SendOpts) override {
      EngineModel::Request R = Fleet.Requests.at(Send.Call);
      // The engine knows the request by the hash that the side reports.
      R.Id = hash64(Call.RequestId);
      Fleet.Sends[R.Id] = {this, Send, 0};
      Fleet.later(Fleet.Now, [this, R, To = SendOpts.To.Slots](Time Arrives) {
        if (Fleet.Engines[To]->Engine.submit(Arrives, R))
          return;
        Fleet.later(Arrives, [this, Id = R.Id](Time At) {
          const auto It = Fleet.Sends.find(Id);
          if (It == Fleet.Sends.end())
            return;
          const forward::SendId S = It->second.Id;
          Fleet.Sends.erase(It);
          forward::AnswerHead Head;
          Head.Status = 421;
          Head.NotRun = true;
          Machine.onHead(At, S, Head);
          Machine.onDone(At, S);
        });
      });
    }
    // The engine goes on; model engines do not cancel.
    void cancelSend(forward::SendId Send) override {
      std::erase_if(Fleet.Sends, [&](const auto &Item) {
        return Item.second.Entry == this && Item.second.Id.Call == Send.Call;
      });
    }
    void answerInFull(uint64_t Call, unsigned, const http::Headers &,
                      std::string) override {
      Fleet.onCallerEnd(Call, false);
    }
    void answerBegin(uint64_t, unsigned, const http::Headers &) override {}
    void answerData(uint64_t Call, std::string) override {
      Fleet.onCallerEvent(Call);
    }
    void answerEnd(uint64_t Call) override { Fleet.onCallerEnd(Call, true); }
    void answerAbort(uint64_t Call) override { Fleet.onCallerEnd(Call, false); }
    void answerWithError(uint64_t Call, unsigned Status, std::string_view,
                         Duration, forward::EndReason) override {
      KindResult &K = Fleet.Result.Kinds[Fleet.Callers.at(Call).Kind];
      ++(Status == 503 ? K.Refused : K.Failed);
      Fleet.Callers.erase(Call);
    }
    void onSideTimeout(const UpstreamRecord &) override {}
    void shareLimit(const UpstreamRecord &, double) override {}
    void probe(const UpstreamRecord &) override {}
    void shareLeaving(const forward::UpstreamIncarnation &) override {}
    void recordOrigin(uint64_t, const forward::StreamOrigin &) override {}
    size_t requestOrigin(const forward::OriginQuery &, size_t) override {
      return 0;
    }
    void shareCrash(const forward::CrashReport &) override {}
    void shareOutput(std::span<const forward::TraitOutput>) override {}
    void shareVerdicts(std::span<const forward::TraitVerdict>) override {}
    void log(LogClass, std::string) override {}
    void record(uint32_t, std::string_view, Duration, Duration) override {}
    void recordPause(uint32_t, Duration, Duration) override {}

    State &Fleet;
    size_t Index;
    forward::Forwarder Machine;
    // Engines of the open admission requests.
    std::map<uint64_t, size_t> Open;
    // The last load reports, by engine.
    std::map<size_t, EngineLoad> Loads;
  };

  struct Sent {
    EntryNode *Entry = nullptr;
    forward::SendId Id;
    uint64_t Events = 0;
  };

  State(const FleetOptions &O, std::vector<RequestKind> InKinds)
      : Opts(O), Kinds(std::move(InKinds)), Store(O.Store), Rand(O.Seed) {
    Result.Kinds.resize(Kinds.size());
    for (size_t I = 0; I < Opts.Engines; ++I)
      Engines.push_back(std::make_unique<EngineNode>(*this, I));
    for (size_t I = 0; I < Opts.Entries; ++I)
      Entries.push_back(std::make_unique<EntryNode>(*this, I));
    for (const RequestKind &K : Kinds)
      Popularity.push_back(cumulativePopularity(K));
    const std::shared_ptr<const Catalog> Known = catalog();
    for (const auto &E : Engines)
      E->Admission.onConfig(start(), Known->service("engines")->Engine);
    for (const auto &E : Entries) {
      E->Machine.onCatalog(start(), Known);
      E->Machine.onEntries(start(), Opts.Entries);
      E->Machine.onSideState(start());
      E->Machine.onCurrentCatalog(start());
    }
  }

  std::string dataCentreOf(size_t Index) const {
    return "dc-" + std::to_string(Index % Opts.DataCentres);
  }
  static std::string idOf(size_t Engine) {
    return "engine-" + std::to_string(Engine);
  }

  std::shared_ptr<const Catalog> catalog() const {
    auto Config = std::make_shared<DeploymentConfig>();
    Config->Version = 1;
    for (const RequestKind &K : Kinds) {
      RouteSpec R;
      R.Name = K.Name;
      R.Host = "h";
      R.PathPrefix = "/" + K.Name + "/";
      R.Streaming = true;
      R.Objective = K.Objective;
      R.MaxPause = K.MaxPause;
      R.Timeout = K.TimeLeft;
      R.Rank = K.Rank;
      R.MaxAttempts = 2;
      R.Targets = {{"engines", 1}};
      Config->Routes.push_back(R);
    }
    ServiceSpec S;
    S.Name = "engines";
    S.IsEngine = true;
    S.Engine.BatchSlots = static_cast<uint32_t>(Opts.Engine.Slots);
    S.Engine.MemoryTokens = Opts.Engine.MemoryTokens;
    S.Engine.AdapterSlots = static_cast<uint32_t>(Opts.Engine.AdapterSlots);
    S.Engine.TokensPerEvent = Opts.Engine.TokensPerEvent;
    S.Engine.Models = {{Model, 1000, 10, std::chrono::milliseconds(900)}};
    Config->Services = {S};
    auto Out = std::make_shared<Catalog>();
    Out->applyConfig(Config, "");
    for (size_t I = 0; I < Opts.Engines; ++I) {
      UpstreamRecord U;
      U.Id = idOf(I);
      U.Service = "engines";
      U.DataCentre = dataCentreOf(I);
      U.Address = {"10.0.0.1", static_cast<uint16_t>(I + 1)};
      // Identifies the engine for the port.
      U.Slots = static_cast<uint32_t>(I);
      U.SoftwareVersion = "v1";
      Out->applyUpstream(start(), {1, I + 1}, U.Id, &U);
    }
    return Out;
  }

  static std::vector<double> cumulativePopularity(const RequestKind &K) {
    std::vector<double> Out;
    double Sum = 0;
    for (size_t I = 1; I <= K.Adapters; ++I)
      Out.push_back(Sum += std::pow(static_cast<double>(I), -K.Exponent));
    return Out;
  }

  void later(Time From, std::function<void(Time)> Do) {
    Messages.emplace(From + Opts.MessageDelay, std::move(Do));
  }

  double exponential(double Mean) { return -std::log(1 - Rand.unit()) * Mean; }

  // Log-normal, with a normal number from the sum of twelve uniform ones.
  uint64_t draw(double Mean, double Spread) {
    double Normal = -6;
    for (int I = 0; I < 12; ++I)
      Normal += Rand.unit();
    return std::max<uint64_t>(
        1, static_cast<uint64_t>(
               Mean * std::exp(Spread * Normal - Spread * Spread / 2)));
  }

  std::string drawAdapter(size_t Kind) {
    const std::vector<double> &Sums = Popularity[Kind];
    if (Sums.empty())
      return "";
    const auto It =
        std::upper_bound(Sums.begin(), Sums.end(), Rand.unit() * Sums.back());
    const bool Shifted = Now - start() >= Kinds[Kind].ShiftAt;
    return Kinds[Kind].Name + (Shifted ? "-b" : "-a") +
           std::to_string(It - Sums.begin());
  }

  void arrive(size_t Kind) {
    const RequestKind &K = Kinds[Kind];
    const uint64_t Id = ++LastCall;
    EngineModel::Request &R = Requests[Id];
    R.Adapter = drawAdapter(Kind);
    R.PromptTokens =
        K.SharedTokens + draw(K.PromptMean - K.SharedTokens, K.PromptSpread);
    R.OutputTokens = draw(K.OutputMean, 0.5);
    R.Rank = K.Rank;
    if (!R.Adapter.empty())
      Distinct.insert(R.Adapter);
    forward::IncomingCall Call;
    Call.RequestId = "r" + std::to_string(Id);
    Call.Method = "POST";
    Call.Host = "h";
    Call.Target = "/" + K.Name + "/x";
    Call.TimeLeft = K.TimeLeft;
    Call.Inference = {Model, R.Adapter, static_cast<uint32_t>(R.PromptTokens),
                      static_cast<uint32_t>(2 * R.OutputTokens)};
    Call.Inference.LengthHint = static_cast<uint32_t>(
        static_cast<double>(R.OutputTokens) * K.HintFactor);
    if (K.SharedTokens > 0) {
      const uint64_t Part = hash64(K.Name);
      Call.Inference.SharedParts = {Part};
      Call.Inference.SharedTokens = {K.SharedTokens};
      R.Parts = {{mixHash(hash64(R.Adapter), Part), K.SharedTokens}};
    }
    Callers[Id] = {Kind, Now, {}, {}, {}};
    ++Result.Kinds[Kind].Asked;
    Entries[Rand.below(Entries.size())]->Machine.onCall(Now, Id,
                                                        std::move(Call));
  }

  // The engine has made an event, or has ended the stream.
  void onEngineEvent(Time At, uint64_t Request, bool IsEnd) {
    later(At, [this, Request, IsEnd](Time Arrives) {
      const auto It = Sends.find(Request);
      if (It == Sends.end())
        return;
      const Sent S = {It->second.Entry, It->second.Id, ++It->second.Events};
      if (IsEnd) {
        Sends.erase(It);
        return S.Entry->Machine.onDone(Arrives, S.Id);
      }
      if (S.Events == 1) {
        forward::AnswerHead Head;
        Head.Status = 200;
        Head.Signed = true;
        Head.EventStream = true;
        S.Entry->Machine.onHead(Arrives, S.Id, Head);
      }
      S.Entry->Machine.onData(Arrives, S.Id,
                              "id: " + std::to_string(S.Events) + "\n\n");
    });
  }

  void onCallerEvent(uint64_t Call) {
    const auto It = Callers.find(Call);
    if (It == Callers.end())
      return;
    Caller &C = It->second;
    if (C.FirstAt == Time{})
      C.FirstAt = Now;
    else
      C.LongestPause = std::max(C.LongestPause, Now - C.LastAt);
    C.LastAt = Now;
  }

  void onCallerEnd(uint64_t Call, bool IsServed) {
    const auto It = Callers.find(Call);
    if (It == Callers.end())
      return;
    const Caller &C = It->second;
    const RequestKind &K = Kinds[C.Kind];
    KindResult &R = Result.Kinds[C.Kind];
    const bool FirstInTime =
        C.FirstAt != Time{} && C.FirstAt - C.Arrived <= K.Objective;
    const bool PausesInTime = C.LongestPause <= K.MaxPause;
    if (C.FirstAt != Time{})
      R.FirstEvents.push_back(C.FirstAt - C.Arrived);
    ++(IsServed ? R.Served : R.Failed);
    R.FirstInTime += FirstInTime ? 1 : 0;
    R.PausesInTime += PausesInTime ? 1 : 0;
    R.OnTime += IsServed && FirstInTime && PausesInTime ? 1 : 0;
    Callers.erase(It);
  }

  FleetResult run() {
    std::vector<double> NextArrival;
    for (const RequestKind &K : Kinds)
      NextArrival.push_back(seconds(K.From) + exponential(1 / K.PerSecond));
    Time NextTick = start();
    for (Now = start(); Now < start() + Opts.Length + Settling; Now += Step) {
      while (!Messages.empty() && Messages.begin()->first <= Now) {
        const std::function<void(Time)> Do =
            std::move(Messages.begin()->second);
        Messages.erase(Messages.begin());
        Do(Now);
      }
      const double Elapsed = seconds(Now - start());
      if (Opts.LeastOutstanding)
        for (const auto &E : Entries)
          E->countOpen(Now);
      for (size_t K = 0; K < Kinds.size(); ++K)
        for (; NextArrival[K] <= Elapsed &&
               NextArrival[K] <
                   std::min(seconds(Opts.Length), seconds(Kinds[K].To));
             NextArrival[K] += exponential(1 / Kinds[K].PerSecond))
          arrive(K);
      for (const auto &E : Engines)
        E->step(Now);
      if (Now >= NextTick) {
        NextTick = Now + TickInterval;
        for (const auto &E : Entries) {
          E->Machine.onCurrentCatalog(Now);
          E->Machine.onTimer(Now);
        }
      }
      if (Now > start() + Opts.Length && Callers.empty())
        break;
    }
    Result.DistinctAdapters = Distinct.size();
    Result.Fetches = Store.Fetches;
    for (const auto &E : Engines)
      Result.Violations += E->Engine.violations();
    return Result;
  }

  FleetOptions Opts;
  std::vector<RequestKind> Kinds;
  WeightStoreModel Store;
  Random Rand;
  Time Now = start();
  std::vector<std::unique_ptr<EngineNode>> Engines;
  std::vector<std::unique_ptr<EntryNode>> Entries;
  std::multimap<Time, std::function<void(Time)>> Messages;
  std::vector<std::vector<double>> Popularity;
  uint64_t LastCall = 0;
  std::map<uint64_t, EngineModel::Request> Requests;
  std::map<uint64_t, Caller> Callers;
  // By the hash of the request's id.
  std::map<uint64_t, Sent> Sends;
  std::set<std::string> Distinct;
  FleetResult Result;
};

FleetModel::FleetModel(const FleetOptions &Options,
                       std::vector<RequestKind> Kinds)
    : Impl(std::make_unique<State>(Options, std::move(Kinds))) {}

FleetModel::~FleetModel() = default;

FleetResult FleetModel::run() { return Impl->run(); }

} // namespace goldcrestlink::testing
