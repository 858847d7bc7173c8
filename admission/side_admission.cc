// Requests whose adapter is held and for which the engine has room go at once;
// the others wait in one queue, ordered by rank and arrival, while the adapters
// they need are loaded (side_orders.cc). All scans are over at most
// Options::maxWaiting() requests or the engine's adapter slots.
#include "admission/side_admission.h"

#include <algorithm>

#include "base/hash.h"

namespace goldcrestlink {

namespace {

// After its deadline, a grant that has not ended is given up.
constexpr Duration EndGrace = std::chrono::seconds(1);
// A prefetch that has not begun by then is forgotten; entries ask again.
constexpr Duration PrefetchTime = std::chrono::seconds(1);

// Of its most output tokens, a request uses about half.
uint64_t expectedTokens(const AdmissionAsk &A) {
  return A.PromptTokens + A.OutputTokens / 2;
}

} // namespace

std::string adapterName(std::string_view Model, std::string_view Adapter) {
  std::string Out(Model);
  Out.push_back('/');
  Out.append(Adapter);
  return Out;
}

uint32_t adapterHash(std::string_view Model, std::string_view Adapter) {
  return static_cast<uint32_t>(hash64(adapterName(Model, Adapter)));
}

void SideAdmission::onConfig(const Time &N, const EngineSpec &Engine) {
  Spec = Engine;
  HasSpec = true;
  placeOrder(N);
}

void SideAdmission::onRelease(const Time &N, const WeightRelease &R) {
  const std::string Name = adapterName(R.Model, R.Adapter);
  Release &Known = Released[Name];
  if (R.Version <= Known.Version)
    return;
  Known.Version = R.Version;
  const auto Spread = static_cast<uint64_t>(Opts.releaseSpread().count());
  Known.RequiredFrom =
      N + Duration(static_cast<int64_t>(
              hash64(Name, mixHash(Opts.spreadSeed(), R.Version)) % Spread));
  placeOrder(N);
}

const HeldModel *SideAdmission::baseModel(std::string_view Model) const {
  for (const HeldModel &M : Report.Models)
    if (M.Name == Model)
      return &M;
  return nullptr;
}

uint64_t SideAdmission::requiredVersion(const Time &N,
                                        const std::string &Name) const {
  const auto It = Released.find(Name);
  return It == Released.end() || N < It->second.RequiredFrom
             ? 0
             : It->second.Version;
}

const SideAdmission::AdapterState *
SideAdmission::held(const std::string &Name) const {
  const auto It = Adapters.find(Name);
  return It == Adapters.end() || It->second.Incoming ? nullptr : &It->second;
}

bool SideAdmission::isOutdated(const Time &N, const std::string &Name) const {
  const AdapterState *S = held(Name);
  return S && S->Version < requiredVersion(N, Name);
}

bool SideAdmission::ready(const Time &N, const AdmissionAsk &A) const {
  const HeldModel *Base = baseModel(A.Model);
  if (!Reachable || !Base)
    return false;
  const std::string Name = adapterName(A.Model, A.Adapter);
  if (A.Adapter.empty())
    return Base->Version >= requiredVersion(N, Name);
  return held(Name) && !isOutdated(N, Name);
}

bool SideAdmission::hasRoom(const AdmissionAsk &A) const {
  if (Spec.BatchSlots > 0 && Grants.size() >= Spec.BatchSlots)
    return false;
  const double Room =
      static_cast<double>(Spec.MemoryTokens) * Opts.memoryShare();
  return Grants.empty() || Spec.MemoryTokens == 0 ||
         static_cast<double>(TokensGranted + expectedTokens(A)) <= Room;
}

Duration SideAdmission::expectedWait(const Time &N,
                                     const AdmissionAsk &A) const {
  Duration Wait = Prefill.backlog(N, A.Rank);
  if (!baseModel(A.Model))
    Wait += Spec.Models.empty() ? std::chrono::seconds(1)
                                : Spec.Models.front().LoadTime;
  if (ready(N, A))
    return Wait;
  const auto Ahead =
      static_cast<double>(loadsAhead(N, adapterName(A.Model, A.Adapter)));
  return Wait + Duration(static_cast<int64_t>(
                    static_cast<double>(Loads.loadTime().count()) *
                    (1 + Ahead / Loads.size())));
}

// Adapters that will be loaded before this one.
size_t SideAdmission::loadsAhead(const Time &N, const std::string &Name) const {
  if (const auto It = Adapters.find(Name);
      It != Adapters.end() && It->second.Incoming)
    return 0;
  std::set<std::string> Ahead;
  for (const Waiting &W : Queue)
    if (const std::string Other = adapterName(W.Ask.Model, W.Ask.Adapter);
        Other != Name && !held(Other) && N < W.LoadBy)
      Ahead.insert(Other);
  return Ahead.size();
}

void SideAdmission::onAsk(const Time &N, AdmissionAsk A) {
  if (A.Version > 0)
    onRelease(N, {A.Model, A.Adapter, A.Version});
  if (A.Prefetch) {
    if (!ready(N, A) && Prefetches.size() < Opts.maxWaiting())
      Prefetches.push_back(
          {std::move(A), N, N + PrefetchTime, N + PrefetchTime});
    return placeOrder(N);
  }
  if (!Reachable)
    return refuse(A, std::chrono::milliseconds(300), true,
                  "engine_unreachable");
  const bool Ready = ready(N, A);
  if (Ready && hasRoom(A) && Queue.empty())
    return grant(N, A);
  if (const std::string Name = adapterName(A.Model, A.Adapter);
      isOutdated(N, Name) && held(Name)->Pins > 0)
    return refuse(A, Opts.replaceTime(), true, "replacing");
  const Duration Wait = expectedWait(N, A);
  if (Wait > A.Patience || Queue.size() >= Opts.maxWaiting())
    return refuse(A, Wait, Ready || !baseModel(A.Model),
                  Ready ? "engine_full" : "load_too_late");
  AdmissionReply R;
  R.What = Verdict::Wait;
  R.Expected = Wait;
  R.Reason = Ready ? "engine_full" : "loading";
  Port.reply(A, R);
  const auto Where =
      std::find_if(Queue.begin(), Queue.end(),
                   [&](const Waiting &W) { return W.Ask.Rank > A.Rank; });
  // The patience is the entry's estimate of what still helps its caller; the
  // wait may run over it by as much again before it is given up.
  const Time Until = N + std::min(A.Patience * 2, A.TimeLeft);
  const Time LoadBy = N + A.ObjectiveLeft - Loads.loadTime();
  Queue.insert(Where, {std::move(A), N, Until, LoadBy});
  serveQueue(N);
  placeOrder(N);
}

void SideAdmission::grant(const Time &N, const AdmissionAsk &A) {
  AdmissionReply R;
  R.What = Verdict::Go;
  R.Expected = Prefill.backlog(N, A.Rank);
  R.Reason = "ready";
  Grant G;
  if (!A.Adapter.empty()) {
    G.Adapter = adapterName(A.Model, A.Adapter);
    AdapterState &S = Adapters[G.Adapter];
    ++S.Pins;
    S.LastUsed = N;
    R.Version = S.Version;
  }
  G.Tokens = expectedTokens(A);
  G.Prompt = A.PromptTokens;
  G.Granted = N;
  G.Expires = N + A.TimeLeft + EndGrace;
  TokensGranted += G.Tokens;
  G.FoundIdle = Prefill.backlog(N, BacklogRanks) == Duration(0);
  Prefill.add(N, A.Rank, A.PromptTokens);

  Grants[{A.Peer, A.Id}] = std::move(G);
  Port.reply(A, R);
}

void SideAdmission::refuse(const AdmissionAsk &A, Duration Again,
                           bool TryElsewhere, std::string_view Reason) {
  AdmissionReply R;
  R.TryElsewhere = TryElsewhere;
  R.What = Verdict::Refuse;
  R.Expected = Again;
  R.Reason = Reason;
  Port.reply(A, R);
}

void SideAdmission::onEnd(const Time &N, const std::string &Peer, uint64_t Id,
                          Duration FirstToken) {
  const auto It = Grants.find({Peer, Id});
  if (It == Grants.end()) {
    Queue.remove_if(
        [&](const Waiting &W) { return W.Ask.Id == Id && W.Ask.Peer == Peer; });
    return;
  }
  const Grant &G = It->second;
  if (FirstToken > Duration(0) && G.FoundIdle)
    Prefill.learn(G.Prompt, FirstToken);

  if (!G.Adapter.empty()) {
    const auto State = Adapters.find(G.Adapter);
    if (State != Adapters.end() && State->second.Pins > 0)
      --State->second.Pins;
  }
  TokensGranted -= std::min(TokensGranted, G.Tokens);
  Grants.erase(It);
  serveQueue(N);
  placeOrder(N);
}

void SideAdmission::onEngineSilent(const Time &N) {
  if (Reachable)
    Port.log(LineClass::Kept, "engine state=unreachable waiting=" +
                                  std::to_string(Queue.size()));
  Reachable = false;
  ReportedAt = N;
  for (const Waiting &W : Queue)
    refuse(W.Ask, std::chrono::milliseconds(500), true, "engine_unreachable");
  Queue.clear();
  Prefetches.clear();
}

void SideAdmission::serveQueue(const Time &N) {
  for (auto It = Queue.begin(); It != Queue.end();) {
    if (!ready(N, It->Ask)) {
      ++It;
      continue;
    }
    if (!hasRoom(It->Ask))
      return;
    const AdmissionAsk A = std::move(It->Ask);
    It = Queue.erase(It);
    grant(N, A);
  }
}

void SideAdmission::expire(const Time &N) {
  for (auto It = Queue.begin(); It != Queue.end();) {
    if (N < It->Until) {
      ++It;
      continue;
    }
    const AdmissionAsk A = std::move(It->Ask);
    It = Queue.erase(It);
    refuse(A, expectedWait(N, A), ready(N, A), "waited_too_long");
  }
  std::vector<Key> Lost;
  for (const auto &[Id, G] : Grants)
    if (N >= G.Expires)
      Lost.push_back(Id);
  for (const Key &Id : Lost)
    onEnd(N, Id.first, Id.second, Duration(0));
  Prefetches.remove_if(
      [&](const Waiting &W) { return N >= W.Until || ready(N, W.Ask); });
}

void SideAdmission::onTimer(const Time &N) {
  expire(N);
  serveQueue(N);
  placeOrder(N);
}

EngineLoad SideAdmission::load(const Time &N) const {
  EngineLoad Out;
  Out.Serving = Reachable && !Report.Models.empty();
  Out.Backlog = Prefill.backlogs(N);
  Out.PrefillRate = Prefill.rate();
  Out.Utilisation = Prefill.utilisation(N);
  Out.Running = static_cast<uint32_t>(Grants.size());
  for (const auto &[Name, S] : Adapters) {
    if (S.Incoming || isOutdated(N, Name))
      continue;
    const size_t Slash = Name.find('/');
    Out.Held.push_back(
        adapterHash(Name.substr(0, Slash), Name.substr(Slash + 1)));
  }
  return Out;
}

} // namespace goldcrestlink
