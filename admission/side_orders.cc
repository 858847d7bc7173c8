// SideAdmission's reports and orders: which adapters to load and evict.
//
// At most one order is open at a time. Every order names the count of orders
// that the engine must have; an unanswered order stays open, and its slot
// counts as taken, until the count has moved past it, since from then on it
// cannot be carried out any more. All scans are over at most
// Options::maxWaiting() requests or the engine's adapter slots.
#include <algorithm>

#include "admission/side_admission.h"

namespace goldcrestlink {

namespace {

// A granted request that is neither running nor waiting at the engine after
// this time is taken for lost with its entry.
constexpr Duration LostGrantAge = std::chrono::milliseconds(1500);
// Reports while nothing is awaited, and while an adapter is on its way.
constexpr Duration IdleReportInterval = std::chrono::milliseconds(250);
constexpr Duration BusyReportInterval = std::chrono::milliseconds(10);
// An adapter that the engine held recently comes back within this time; before
// it, a report tells nothing new.
constexpr Duration FirstLoadCheck = std::chrono::milliseconds(24);
// See wants().
constexpr uint64_t LateTurn = 4;

} // namespace

void SideAdmission::onReport(const Time &N, const EngineReport &R) {
  const bool Restarted = Reachable && R.StartedMs != Report.StartedMs;
  // Overtaken by the answer to a later order.
  if (Reachable && !Restarted && R.OrderCount < Report.OrderCount) {
    ReportedAt = N;
    return;
  }
  if (Restarted || !Reachable) {
    Port.log(LineClass::Kept,
             "engine state=up started_ms=" + std::to_string(R.StartedMs) +
                 " orders=" + std::to_string(R.OrderCount) +
                 " models=" + std::to_string(R.Models.size()));
    if (Restarted) {
      Grants.clear();
      TokensGranted = 0;
      Prefill.clear(N);
      Adapters.clear();
      Open.reset();
      NextBaseLoad = N;
    }
  }
  Reachable = true;
  Report = R;
  ReportedAt = N;
  std::map<std::string, AdapterState> Next;
  const auto Note = [&](const std::string &Model, const HeldAdapter &A,
                        bool Incoming) {
    const std::string Name = adapterName(Model, A.Name);
    if (Open && !OpenAnswered && Open->Kind == OrderKind::Unload &&
        Name == adapterName(Open->Model, Open->Adapter))
      return; // May be gone at any moment.
    AdapterState S;
    if (const auto It = Adapters.find(Name); It != Adapters.end())
      S = It->second;
    else
      S.LastUsed = N;
    if (!Incoming && S.Incoming && S.Ordered != Time{})
      Loads.onLoaded(N - S.Ordered);
    if (!Incoming)
      S.Version = A.Version;
    else if (const auto It = Next.find(Name); It != Next.end())
      return; // A replacement: the held version goes on serving.
    S.Incoming = Incoming;
    Next[Name] = S;
  };
  for (const HeldModel &M : R.Models)
    for (const HeldAdapter &A : M.Adapters)
      Note(M.Name, A, false);
  for (const IncomingAdapter &I : R.Incoming)
    Note(I.Model, I.Adapter, true);
  Adapters = std::move(Next);
  // Settled by its answer, or since this order or a later one was accepted.
  if (Open && (OpenAnswered || R.OrderCount > Open->ExpectedCount))
    Open.reset();
  if (R.Running + R.Waiting == 0)
    std::erase_if(Grants, [&](const auto &Item) {
      if (N - Item.second.Granted < LostGrantAge)
        return false;
      TokensGranted -= std::min(TokensGranted, Item.second.Tokens);
      if (const auto It = Adapters.find(Item.second.Adapter);
          It != Adapters.end() && It->second.Pins > 0)
        --It->second.Pins;
      return true;
    });
  if (R.Running + R.Waiting == 0)
    Prefill.clear(N);
  serveQueue(N);
  placeOrder(N);
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
  return std::any_of(Queue.begin(), Queue.end(), [&](const Waiting &W) {
    return adapterName(W.Ask.Model, W.Ask.Adapter) == Name;
  });
}

// Adapters of high demand come first, since many requests will use them; then
// what can still be in time, by rank and arrival; then what is late anyway.
// Each LateTurn-th load goes to what is late, so that it does not starve.
std::vector<const AdmissionAsk *> SideAdmission::wants(const Time &N) const {
  std::vector<const AdmissionAsk *> Out;
  for (const Waiting &W : Prefetches)
    Out.push_back(&W.Ask);
  const bool LateFirst = LoadsOrdered % LateTurn == LateTurn - 1;
  for (const bool Late : {LateFirst, !LateFirst})
    for (const Waiting &W : Queue)
      if ((N >= W.LoadBy) == Late)
        Out.push_back(&W.Ask);
  return Out;
}

void SideAdmission::placeOrder(const Time &N) {
  if (!HasSpec || !Reachable || N < NoOrderBefore)
    return;
  if (Open) {
    if (OpenAnswered || N - OpenSince < Opts.orderTimeout())
      return;
    // Unanswered: the same order with the same count. Whichever of the two is
    // accepted moves the count, and the other one is refused by it.
    EngineOrder Again = *Open;
    give(N, Again.Kind, Again.Model, Again.Adapter);
    return;
  }
  if (orderBaseModel(N))
    return;
  if (dropOutdated(N))
    return;
  for (const AdmissionAsk *A : wants(N)) {
    const std::string Name = adapterName(A->Model, A->Adapter);
    if (A->Adapter.empty() || !baseModel(A->Model) || held(Name))
      continue;
    if (orderAdapter(N, A->Model, A->Adapter))
      return;
  }
}

// An adapter in use is never replaced by an order: the engine would refuse all
// other orders until its runs have ended. It is unloaded once nothing uses it,
// and loaded again, in its newest version, by the next request.
bool SideAdmission::dropOutdated(const Time &N) {
  for (const auto &[Name, S] : Adapters)
    if (!S.Incoming && S.Pins == 0 && isOutdated(N, Name)) {
      evict(N, std::string(Name), "outdated");
      return true;
    }
  return false;
}

bool SideAdmission::orderBaseModel(const Time &N) {
  if (Report.Busy || Spec.Models.empty())
    return false;
  const ModelSpec &M = Spec.Models.front();
  const HeldModel *Base = baseModel(M.Name);
  if (Base && Base->Version >= requiredVersion(N, adapterName(M.Name, "")))
    return false;
  if (N < NextBaseLoad)
    return false;
  NextBaseLoad = N + Opts.baseLoadPause();
  give(N, OrderKind::Load, M.Name, "");
  return true;
}

bool SideAdmission::orderAdapter(const Time &N, const std::string &Model,
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
    return evictOne(N, Name);
  Port.log(LineClass::Routine, "load adapter=" + Name + " slots_used=" +
                                   std::to_string(slotsUsed()) +
                                   " incoming=" + std::to_string(incoming()));
  ++LoadsOrdered;
  give(N, OrderKind::Load, Model, Adapter);
  return true;
}

bool SideAdmission::evictOne(const Time &N, const std::string &For) {
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
  evict(N, std::string(*Victim), For);
  return true;
}

void SideAdmission::evict(const Time &N, const std::string &Name,
                          std::string_view Why) {
  const size_t Slash = Name.find('/');
  const AdapterState &S = Adapters.at(Name);
  Port.log(LineClass::Routine,
           "evict adapter=" + Name + " version=" + std::to_string(S.Version) +
               " for=" + std::string(Why) +
               " idle_ms=" + std::to_string((N - S.LastUsed).count() / 1000));
  ++Evictions;
  // Not granted any more from now on.
  Adapters.erase(Name);
  give(N, OrderKind::Unload, Name.substr(0, Slash), Name.substr(Slash + 1));
}

void SideAdmission::give(const Time &N, OrderKind Kind,
                         const std::string &Model, const std::string &Adapter) {
  EngineOrder O;
  O.Number = NextOrder++;
  O.Kind = Kind;
  O.Model = Model;
  O.Adapter = Adapter;
  O.ExpectedCount = Report.OrderCount;
  Open = O;
  OpenSince = N;
  OpenAnswered = false;
  Port.order(O);
}

void SideAdmission::onOrderOutcome(const Time &N, uint64_t Number,
                                   OrderOutcome Outcome) {
  if (!Open || Open->Number != Number)
    return;
  if (Outcome == OrderOutcome::Unknown) {
    // Stays open; a report with a higher count settles it, or the same order
    // is given again after the timeout.
    Port.log(
        LineClass::Kept,
        "order outcome=unknown kind=" +
            std::string(Open->Kind == OrderKind::Load ? "load" : "unload") +
            " model=" + Open->Model + " adapter=" + Open->Adapter);
    return;
  }
  const EngineOrder Done = *Open;
  if (Outcome == OrderOutcome::Accepted || Outcome == OrderOutcome::Holds) {
    // What the next report will say, so that orders can follow each other
    // without waiting for it.
    if (Outcome == OrderOutcome::Accepted || Done.Kind == OrderKind::Unload)
      Report.OrderCount = Done.ExpectedCount + 1;
    if (Done.Kind == OrderKind::Load && Outcome == OrderOutcome::Accepted) {
      if (Done.Adapter.empty()) {
        Report.Busy = true;
      } else {
        Report.Incoming.push_back({Done.Model, {Done.Adapter, 0}});
        AdapterState &S = Adapters[adapterName(Done.Model, Done.Adapter)];
        if (S.Version == 0)
          S.Incoming = true;
        S.Ordered = N;
        S.LastUsed = N;
      }
    } else if (Done.Kind == OrderKind::Unload && !Done.Adapter.empty()) {
      for (HeldModel &M : Report.Models)
        if (M.Name == Done.Model)
          std::erase_if(M.Adapters, [&](const HeldAdapter &A) {
            return A.Name == Done.Adapter;
          });
    }
    if (Outcome == OrderOutcome::Holds && Done.Kind == OrderKind::Load) {
      // The report in hand is older than the engine's state.
      OpenAnswered = true;
      ReportedAt = Time{};
      return;
    }
    Open.reset();
    return placeOrder(N);
  }
  Port.log(LineClass::Kept,
           "order outcome=" +
               std::string(Outcome == OrderOutcome::Conflict ? "conflict"
                                                             : "refused") +
               " kind=" + (Done.Kind == OrderKind::Load ? "load" : "unload") +
               " expected=" + std::to_string(Done.ExpectedCount) +
               " model=" + Done.Model + " adapter=" + Done.Adapter);
  // A fresh report tells the count; until then no further order.
  OpenAnswered = true;
  ReportedAt = Time{};
  NoOrderBefore = N + BusyReportInterval;
}

bool SideAdmission::awaitsReport() const {
  return OpenAnswered || Report.Busy || !Report.Incoming.empty() ||
         (Open.has_value() && !OpenAnswered);
}

Time SideAdmission::reportDue(const Time &N) const {
  if (ReportedAt == Time{})
    return N;
  if (!Reachable)
    return ReportedAt + IdleReportInterval / 2;
  if (!awaitsReport())
    return ReportedAt + IdleReportInterval;
  Time Soonest = ReportedAt + BusyReportInterval;
  Time Youngest{};
  for (const auto &[Name, S] : Adapters)
    if (S.Incoming)
      Youngest = std::max(Youngest, S.Ordered);
  if (incoming() == 1 && Youngest != Time{})
    Soonest = std::max(Soonest, Youngest + FirstLoadCheck);
  return Soonest;
}

} // namespace goldcrestlink
