// The part of SideAdmission that processes engine reports and decides which
// adapters to load and evict.
//
// At most one order is open at a time. Every order gives the count of orders
// that the engine must have when it carries it out. An order without an answer
// stays open until a report shows a higher count, since from then on the engine
// refuses it, or until a repetition of it is answered. Until then no different
// order is sent, so its slot stays reserved. All scans are over at most
// Options::maxWaiting() requests or the engine's adapter slots.
#include <algorithm>

#include "admission/side_admission.h"

namespace goldcrestlink {

namespace {

// A granted request of this age is taken to be lost, with its entry, if the
// engine reports no running or waiting requests.
constexpr Duration LostGrantAge = std::chrono::milliseconds(1500);
// A report is at most this old when it arrives. One that shows fewer orders
// than were counted is from before the last of them if it arrives sooner after
// its answer; later, that order was not counted by the engine.
constexpr Duration MaxReportAge = std::chrono::milliseconds(500);
// Time between reports while no order is in progress, and while one is.
constexpr Duration IdleReportInterval = std::chrono::milliseconds(250);
constexpr Duration BusyReportInterval = std::chrono::milliseconds(10);
// While streams run whose pauses are limited: a few steps of the engine, so
// that a slow spell is noticed soon after it begins.
constexpr Duration StreamReportInterval = std::chrono::milliseconds(10);
// Duration of the fastest adapter loads, those of adapters that the engine held
// recently. An earlier report cannot show the adapter as loaded.
constexpr Duration FastLoadTime = std::chrono::milliseconds(24);
// One of this many loads goes to late requests first; see loadCandidates().
constexpr uint64_t LateLoadInterval = 4;

} // namespace

void SideAdmission::onReport(const Time &Now, const EngineReport &NewReport) {
  const bool Restarted = Reachable && NewReport.StartedMs != Report.StartedMs;
  if (Reachable && !Restarted && NewReport.OrderCount < Report.OrderCount) {
    if (Now - CountedAt < MaxReportAge) {
      ReportedAt = Now;
      return;
    }
    Port.log(LogClass::Kept,
             "engine orders=" + std::to_string(NewReport.OrderCount) +
                 " expected=" + std::to_string(Report.OrderCount));
  }
  if (Restarted || !Reachable) {
    Port.log(
        LogClass::Kept,
        "engine state=up started_ms=" + std::to_string(NewReport.StartedMs) +
            " orders=" + std::to_string(NewReport.OrderCount) +
            " models=" + std::to_string(NewReport.Models.size()));
    if (Restarted) {
      Grants.clear();
      TokensGranted = 0;
      Prefill.clear(Now);
      Pauses.clear();
      Memory.clear();
      Kept.clear();
      Adapters.clear();
      OpenOrder.reset();
      NextBaseLoadAt = Now;
    }
  }
  Reachable = true;
  Report = NewReport;
  ReportedAt = Now;
  Memory.onReport(Now, NewReport);
  for (const StreamPause &P : Pauses.onReport(Now, NewReport, Prefill.rate()))
    for (const auto &[Key, G] : Grants)
      if (G.Request == P.Request)
        Port.reportPause(Key.first, Key.second, P.Length);
  std::map<std::string, AdapterState> Reported;
  const auto AddAdapter = [&](const std::string &Model, const HeldAdapter &A,
                              bool Incoming) {
    const std::string Name = adapterName(Model, A.Name);
    if (OpenOrder && !OrderAnswered && OpenOrder->Kind == OrderKind::Unload &&
        Name == adapterName(OpenOrder->Model, OpenOrder->Adapter))
      return; // The engine may unload it at any time.
    AdapterState S;
    if (const auto It = Adapters.find(Name); It != Adapters.end())
      S = It->second;
    else
      S.LastUsed = Now;
    if (!Incoming && S.Incoming && S.OrderedAt != Time{})
      Loads.onLoaded(Now - S.OrderedAt);
    if (!Incoming)
      S.Version = A.Version;
    else if (const auto It = Reported.find(Name); It != Reported.end())
      return; // A new version; the held one stays in use until it is loaded.
    S.Incoming = Incoming;
    Reported[Name] = S;
  };
  for (const HeldModel &M : NewReport.Models)
    for (const HeldAdapter &A : M.Adapters)
      AddAdapter(M.Name, A, false);
  for (const IncomingAdapter &I : NewReport.Incoming)
    AddAdapter(I.Model, I.Adapter, true);
  Adapters = std::move(Reported);
  // The order is closed by its answer, or because the higher count shows that
  // this order or a later one was accepted.
  if (OpenOrder &&
      (OrderAnswered || NewReport.OrderCount > OpenOrder->ExpectedCount))
    OpenOrder.reset();
  if (NewReport.Running + NewReport.Waiting == 0)
    std::erase_if(Grants, [&](const auto &Item) {
      if (Now - Item.second.GrantedAt < LostGrantAge)
        return false;
      TokensGranted -= std::min(TokensGranted, Item.second.Tokens);
      Memory.onEnd(Now, Item.second.Request, Item.second.WholePrompt,
                   Item.second.LargestOutput);
      Pauses.onEnd(Item.second.Request);
      if (const auto It = Adapters.find(Item.second.Adapter);
          It != Adapters.end() && It->second.Pins > 0)
        --It->second.Pins;
      return true;
    });
  if (NewReport.Running + NewReport.Waiting == 0)
    Prefill.clear(Now);
  serveQueue(Now);
  placeOrder(Now);
}

uint32_t SideAdmission::incoming() const {
  return static_cast<uint32_t>(Report.Incoming.size());
}

uint32_t SideAdmission::slotsUsed() const {
  uint32_t Used = incoming();
  for (const HeldModel &M : Report.Models)
    Used += static_cast<uint32_t>(M.Adapters.size());
  return Used;
}

bool SideAdmission::neededByQueue(const std::string &Name) const {
  return std::any_of(Queue.begin(), Queue.end(), [&](const WaitingRequest &W) {
    return adapterName(W.Request.Model, W.Request.Adapter) == Name;
  });
}

// Prefetches come first, since many requests will use their adapters; then the
// requests that can still meet their objective, by rank and arrival; then the
// late ones. For every LateLoadInterval-th load, late requests precede those in
// time, so that they do not starve.
std::vector<const AdmissionRequest *>
SideAdmission::loadCandidates(const Time &Now) const {
  std::vector<const AdmissionRequest *> Out;
  for (const WaitingRequest &W : Prefetches)
    Out.push_back(&W.Request);
  const bool LateFirst =
      LoadsOrdered % LateLoadInterval == LateLoadInterval - 1;
  for (const bool Late : {LateFirst, !LateFirst})
    for (const WaitingRequest &W : Queue)
      if ((Now >= W.LoadBy) == Late)
        Out.push_back(&W.Request);
  return Out;
}

void SideAdmission::placeOrder(const Time &Now) {
  if (!HasSpec || !Reachable || Now < NoOrderBefore)
    return;
  if (OpenOrder) {
    if (OrderAnswered || Now - OrderSentAt < Opts.orderTimeout())
      return;
    // No answer: send the same order with the same count. When the engine
    // accepts one of the two, its count changes, so that it refuses the other
    // one.
    EngineOrder Repeated = *OpenOrder;
    sendOrder(Now, Repeated.Kind, Repeated.Model, Repeated.Adapter);
    return;
  }
  if (orderBaseModel(Now))
    return;
  if (unloadOutdated(Now))
    return;
  // A prefetch that has had its load does not get it again when the adapter
  // makes room for another one.
  dropEndedPrefetches(Now);
  for (const AdmissionRequest *Request : loadCandidates(Now)) {
    const std::string Name = adapterName(Request->Model, Request->Adapter);
    if (Request->Adapter.empty() || !baseModel(Request->Model) ||
        heldAdapter(Name))
      continue;
    if (orderAdapter(Now, Request->Model, Request->Adapter))
      return;
  }
}

// An adapter in use is never replaced by an order, since the engine would
// refuse all other orders until the requests that use it have ended. It is
// unloaded when no request uses it any more, and the next request loads its
// newest version.
bool SideAdmission::unloadOutdated(const Time &Now) {
  for (const auto &[Name, S] : Adapters)
    if (!S.Incoming && S.Pins == 0 && isOutdated(Now, Name)) {
      evict(Now, std::string(Name), "outdated");
      return true;
    }
  return false;
}

bool SideAdmission::orderBaseModel(const Time &Now) {
  if (Report.Busy || Spec.Models.empty())
    return false;
  const ModelSpec &M = Spec.Models.front();
  const HeldModel *Base = baseModel(M.Name);
  if (Base && Base->Version >= requiredVersion(Now, adapterName(M.Name, "")))
    return false;
  if (Now < NextBaseLoadAt)
    return false;
  NextBaseLoadAt = Now + Opts.baseLoadInterval();
  sendOrder(Now, OrderKind::Load, M.Name, "");
  return true;
}

bool SideAdmission::orderAdapter(const Time &Now, const std::string &Model,
                                 const std::string &Adapter) {
  const std::string Name = adapterName(Model, Adapter);
  if (const auto It = Adapters.find(Name);
      It != Adapters.end() && It->second.Incoming)
    return false;
  for (const IncomingAdapter &I : Report.Incoming)
    if (I.Model == Model && I.Adapter.Name == Adapter)
      return false;
  if (incoming() >= Loads.size())
    return false;
  if (slotsUsed() >= Spec.AdapterSlots)
    return evictLeastRecentlyUsed(Now, Name);
  Port.log(LogClass::Routine, "load adapter=" + Name +
                                  " slots_used=" + std::to_string(slotsUsed()) +
                                  " incoming=" + std::to_string(incoming()));
  ++LoadsOrdered;
  sendOrder(Now, OrderKind::Load, Model, Adapter);
  return true;
}

bool SideAdmission::evictLeastRecentlyUsed(const Time &Now,
                                           const std::string &For) {
  const std::string *Victim = nullptr;
  Time Oldest{};
  for (const auto &[Name, S] : Adapters) {
    if (S.Incoming || S.Pins > 0 || Name == For || neededByQueue(Name))
      continue;
    if (!Victim || S.LastUsed < Oldest) {
      Victim = &Name;
      Oldest = S.LastUsed;
    }
  }
  if (!Victim)
    return false;
  evict(Now, std::string(*Victim), For);
  return true;
}

void SideAdmission::evict(const Time &Now, const std::string &Name,
                          std::string_view Reason) {
  const size_t Slash = Name.find('/');
  const AdapterState &S = Adapters.at(Name);
  Port.log(LogClass::Routine,
           "evict adapter=" + Name + " version=" + std::to_string(S.Version) +
               " for=" + std::string(Reason) +
               " idle_ms=" + std::to_string((Now - S.LastUsed).count() / 1000));
  ++Evictions;
  // From now on no request is granted on this adapter.
  Adapters.erase(Name);
  sendOrder(Now, OrderKind::Unload, Name.substr(0, Slash),
            Name.substr(Slash + 1));
}

void SideAdmission::sendOrder(const Time &Now, OrderKind Kind,
                              const std::string &Model,
                              const std::string &Adapter) {
  EngineOrder O;
  O.Number = NextOrderNumber++;
  O.Kind = Kind;
  O.Model = Model;
  O.Adapter = Adapter;
  O.ExpectedCount = Report.OrderCount;
  OpenOrder = O;
  OrderSentAt = Now;
  OrderAnswered = false;
  Port.order(O);
}

void SideAdmission::onOrderOutcome(const Time &Now, uint64_t Number,
                                   OrderOutcome Outcome) {
  if (!OpenOrder || OpenOrder->Number != Number)
    return;
  if (Outcome == OrderOutcome::Unknown) {
    // The order stays open until a report shows a higher count; after the
    // timeout the same order is sent again.
    Port.log(LogClass::Kept,
             "order outcome=unknown kind=" +
                 std::string(OpenOrder->Kind == OrderKind::Load ? "load"
                                                                : "unload") +
                 " model=" + OpenOrder->Model +
                 " adapter=" + OpenOrder->Adapter);
    return;
  }
  const EngineOrder Order = *OpenOrder;
  if (Outcome == OrderOutcome::Accepted || Outcome == OrderOutcome::Completed) {
    // Apply the effect that the next report will show, so that the next order
    // need not wait for that report.
    if (Outcome == OrderOutcome::Accepted || Order.Kind == OrderKind::Unload)
      countOrder(Now, Order);
    if (Order.Kind == OrderKind::Load && Outcome == OrderOutcome::Accepted) {
      if (Order.Adapter.empty()) {
        Report.Busy = true;
      } else {
        Report.Incoming.push_back({Order.Model, {Order.Adapter, 0}});
        AdapterState &State = Adapters[adapterName(Order.Model, Order.Adapter)];
        if (State.Version == 0)
          State.Incoming = true;
        State.OrderedAt = Now;
        State.LastUsed = Now;
      }
    } else if (Order.Kind == OrderKind::Unload && !Order.Adapter.empty()) {
      for (HeldModel &M : Report.Models)
        if (M.Name == Order.Model)
          std::erase_if(M.Adapters, [&](const HeldAdapter &A) {
            return A.Name == Order.Adapter;
          });
    }
    if (Outcome == OrderOutcome::Completed && Order.Kind == OrderKind::Load) {
      // The last report is older than the engine's state; request a new one.
      OrderAnswered = true;
      ReportedAt = Time{};
      return;
    }
    OpenOrder.reset();
    return placeOrder(Now);
  }
  Port.log(LogClass::Kept,
           "order outcome=" +
               std::string(Outcome == OrderOutcome::Conflict ? "conflict"
                                                             : "refused") +
               " kind=" + (Order.Kind == OrderKind::Load ? "load" : "unload") +
               " expected=" + std::to_string(Order.ExpectedCount) +
               " model=" + Order.Model + " adapter=" + Order.Adapter);
  // Send no further order until a new report shows the engine's count.
  OrderAnswered = true;
  ReportedAt = Time{};
  NoOrderBefore = Now + BusyReportInterval;
}

void SideAdmission::countOrder(const Time &Now, const EngineOrder &Order) {
  Report.OrderCount = Order.ExpectedCount + 1;
  CountedAt = Now;
}

bool SideAdmission::awaitsReport() const {
  return OrderAnswered || Report.Busy || !Report.Incoming.empty() ||
         (OpenOrder.has_value() && !OrderAnswered);
}

Time SideAdmission::reportDue(const Time &Now) const {
  if (ReportedAt == Time{})
    return Now;
  if (!Reachable)
    return ReportedAt + IdleReportInterval / 2;
  if (!awaitsReport() && Opts.holdOutput() && Memory.awaitsReport())
    return ReportedAt + BusyReportInterval;
  if (!awaitsReport())
    return ReportedAt + (Pauses.isKnown() && Pauses.limitedStreams() > 0
                             ? StreamReportInterval
                             : IdleReportInterval);
  Time Due = ReportedAt + BusyReportInterval;
  Time LastOrdered{};
  for (const auto &[Name, S] : Adapters)
    if (S.Incoming)
      LastOrdered = std::max(LastOrdered, S.OrderedAt);
  if (incoming() == 1 && LastOrdered != Time{})
    Due = std::max(Due, LastOrdered + FastLoadTime);
  return Due;
}

} // namespace goldcrestlink
