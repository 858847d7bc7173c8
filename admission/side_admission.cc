// A request is granted at once if the engine holds its adapter and has capacity
// for it, and no other request waits. Otherwise it waits in one queue, ordered
// by rank, the share of its organisation (side_fairness.cc) and arrival, while
// the adapters needed are loaded (side_orders.cc).
// All scans are over at most Options::maxWaiting() requests or the engine's
// adapter slots.
#include "admission/side_admission.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace goldcrestlink {

namespace {

// A grant that has not ended this long after its request's deadline expires.
constexpr Duration GrantGracePeriod = std::chrono::seconds(1);
// A prefetch request is dropped after this time if its adapter is not ready;
// entries repeat their prefetch requests.
constexpr Duration PrefetchExpiry = std::chrono::seconds(1);

// A version that is told again is required sooner only if the difference is
// more than the time that messages take.
constexpr Duration MinAdvance = std::chrono::milliseconds(50);

// Expected time until an engine that is slow at present has its usual speed
// again.
constexpr Duration SlowSpell = std::chrono::milliseconds(250);

// A prompt that has waited this long shares its moment with others as the
// engine's present speed allows.
constexpr Duration CautiousWait = std::chrono::milliseconds(150);

// The mean time of a run is taken over about this many.
constexpr int64_t RunTimeSamples = 16;

// The least multiple of \p Step that is not below \p Value.
double roundUp(double Value, double Step) {
  return std::ceil(Value / Step) * Step;
}

// On average, a request uses about half of its maximum number of output tokens.
uint64_t expectedTokens(const AdmissionRequest &Request) {
  return Request.PromptTokens + Request.OutputTokens / 2;
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

void SideAdmission::onConfig(const Time &Now, const EngineSpec &Engine) {
  Spec = Engine;
  HasSpec = true;
  Pauses.setTokensPerEvent(Engine.TokensPerEvent);
  Memory.setEngine(Engine);
  placeOrder(Now);
}

void SideAdmission::onRelease(const Time &Now, const WeightRelease &Release) {
  const std::string Name = adapterName(Release.Model, Release.Adapter);
  VersionTimes &Required = RequiredVersions[Name];
  const std::optional<Time> KnownFrom = Required.from(Release.Version);
  // Counted from the announcement: a side that learns of it late, because it
  // stood still or has just started, has that much less time.
  const auto Spread = static_cast<uint64_t>(Opts.releaseSpread().count());
  const Time RequiredFrom =
      Now - Release.Age +
      Duration(static_cast<int64_t>(
          hash64(Name, mixHash(Opts.spreadSeed(), Release.Version)) % Spread));
  if (KnownFrom &&
      (*KnownFrom <= Now || *KnownFrom - RequiredFrom < MinAdvance))
    return;
  Port.log(LogClass::Routine,
           "release adapter=" + Name +
               " version=" + std::to_string(Release.Version) +
               " before=" + std::to_string(Required.newest()) + " age_ms=" +
               std::to_string(Release.Age.count() / 1000) + " required_in_ms=" +
               std::to_string((RequiredFrom - Now).count() / 1000));
  Required.add(Now, Release.Version, RequiredFrom);
  placeOrder(Now);
}

const HeldModel *SideAdmission::baseModel(std::string_view Model) const {
  for (const HeldModel &M : Report.Models)
    if (M.Name == Model)
      return &M;
  return nullptr;
}

uint64_t SideAdmission::requiredVersion(const Time &Now,
                                        const std::string &Name) const {
  const auto It = RequiredVersions.find(Name);
  return It == RequiredVersions.end() ? 0 : It->second.at(Now);
}

const SideAdmission::AdapterState *
SideAdmission::heldAdapter(const std::string &Name) const {
  const auto It = Adapters.find(Name);
  return It == Adapters.end() || It->second.Incoming ? nullptr : &It->second;
}

bool SideAdmission::isOutdated(const Time &Now, const std::string &Name) const {
  const AdapterState *State = heldAdapter(Name);
  return State && State->Version < requiredVersion(Now, Name);
}

bool SideAdmission::ready(const Time &Now,
                          const AdmissionRequest &Request) const {
  const HeldModel *Base = baseModel(Request.Model);
  if (!Reachable || !Base)
    return false;
  const std::string Name = adapterName(Request.Model, Request.Adapter);
  if (Request.Adapter.empty())
    return Base->Version >= requiredVersion(Now, Name);
  return heldAdapter(Name) && !isOutdated(Now, Name);
}

bool SideAdmission::batchHasRoom(uint64_t Tokens) const {
  if (Spec.BatchSlots > 0 && Grants.size() >= Spec.BatchSlots)
    return false;
  const double MaxTokens =
      static_cast<double>(Spec.MemoryTokens) * Opts.memoryShare();
  if (Opts.holdOutput() && Spec.MemoryTokens > 0)
    return static_cast<double>(Memory.committed() + Tokens) <= MaxTokens ||
           (Memory.committed() == 0 && Tokens <= Spec.MemoryTokens);
  return Grants.empty() || Spec.MemoryTokens == 0 ||
         static_cast<double>(TokensGranted + Tokens) <= MaxTokens;
}

uint64_t SideAdmission::memoryNeed(const AdmissionRequest &Request) const {
  return Opts.holdOutput()
             ? uint64_t(Request.PromptTokens) + Request.OutputTokens
             : expectedTokens(Request);
}

bool SideAdmission::hasCapacity(const Time &Now,
                                const AdmissionRequest &Request) const {
  return RequestRate.allows(Now) && batchHasRoom(memoryNeed(Request));
}

uint32_t SideAdmission::unreadTokens(const Time &Now,
                                     const AdmissionRequest &Request) const {
  return Request.PromptTokens -
         std::min(Request.PromptTokens, Kept.tokens(Now, Request.Parts));
}

PromptDecision SideAdmission::promptDecision(const Time &Now,
                                             const AdmissionRequest &Request,
                                             const Time &Since) const {
  PromptDecision Out;
  if (!Pauses.isKnown())
    return Out;
  const uint32_t Tokens = unreadTokens(Now, Request);
  Out.OthersPending = Pauses.promptTokens(Now) > 0;
  // A prompt that has not waited long does not share its moment with others if
  // a slow spell that begins meanwhile would make streams late.
  Out.StreamsMadeLate = Pauses.streamsLateAfter(
      Out.OthersPending && Now - Since < CautiousWait
          ? Pauses.worstPauseWith(Now, Tokens, Prefill.rate())
          : Pauses.pauseWith(Now, Tokens, Prefill.rate()));
  Out.StreamsLateAnyway =
      Pauses.streamsLateAfter(Pauses.pauseAlone(Tokens, Prefill.rate()));
  Out.ObjectiveLeft = Request.ObjectiveLeft - (Now - Since);
  Out.OwnPrefill =
      fromSeconds(Tokens / Prefill.rate() * Pauses.slowdown(Now) / 1e3);
  return Out;
}

Duration SideAdmission::pacingWait(const Time &Now, uint32_t Rank,
                                   uint64_t Tokens,
                                   const AdmissionRequest *For) const {
  if (!Pauses.isKnown())
    return Duration(0);
  double Ahead = 0;
  for (const AheadRequest &A : waitingAhead(Now, For))
    if (const AdmissionRequest &Other = A.Waiting->Request;
        Other.Rank <= Rank && ready(Now, Other))
      Ahead += A.Count * unreadTokens(Now, Other);
  const double Slowdown = Pauses.slowdown(Now);
  Duration Out = fromSeconds(Ahead / Prefill.rate() * Slowdown / 1e3);
  if (Slowdown > 1 && Pauses.streamsLateAfter(
                          Pauses.pauseWith(Now, Tokens, Prefill.rate())) > 0)
    Out += SlowSpell;
  return Out;
}

Duration SideAdmission::batchWait(const Time &Now, uint64_t Tokens,
                                  const AdmissionRequest *For) const {
  if (batchHasRoom(Tokens))
    return Duration(0);
  double Ahead = 0;
  for (const AheadRequest &A : waitingAhead(Now, For))
    Ahead += ready(Now, A.Waiting->Request) ? A.Count : 0;
  // Room may also be missing because of requests that were not granted here.
  return MeanRunTime * (static_cast<int64_t>(std::ceil(Ahead)) + 1) /
         std::max<int64_t>(1, static_cast<int64_t>(Grants.size()));
}

Duration SideAdmission::expectedWait(const Time &Now,
                                     const AdmissionRequest &Request) const {
  const Duration Prompts =
      Prefill.backlog(Now, Request.Rank) +
      pacingWait(Now, Request.Rank, unreadTokens(Now, Request), &Request);
  const Duration Room =
      std::max(RequestRate.wait(Now, countAhead(Now, &Request)),
               batchWait(Now, memoryNeed(Request), &Request));
  // The engine goes on with its prompts while a request waits for room. With
  // organisations, whose floods keep engines full, the sum refused one in
  // twenty of the others' requests that could have been served.
  Duration Wait =
      Request.Organisation != 0 ? std::max(Prompts, Room) : Prompts + Room;
  if (!baseModel(Request.Model))
    Wait += Spec.Models.empty() ? std::chrono::seconds(1)
                                : Spec.Models.front().LoadTime;
  if (ready(Now, Request))
    return Wait;
  const auto Ahead = static_cast<double>(loadsAhead(Now, Request));
  return Wait + Duration(static_cast<int64_t>(
                    static_cast<double>(Loads.loadTime().count()) *
                    (1 + Ahead / Loads.size())));
}

// Number of adapters expected to be loaded before this one: the engine does not
// hold them, and a waiting request that can still meet its objective needs
// them. 0 if this adapter is being loaded already.
size_t SideAdmission::loadsAhead(const Time &Now,
                                 const AdmissionRequest &For) const {
  const std::string Name = adapterName(For.Model, For.Adapter);
  if (const auto It = Adapters.find(Name);
      It != Adapters.end() && It->second.Incoming)
    return 0;
  std::set<std::string> Ahead;
  for (const AheadRequest &A : waitingAhead(Now, &For))
    if (const std::string Other =
            adapterName(A.Waiting->Request.Model, A.Waiting->Request.Adapter);
        Other != Name && !heldAdapter(Other) && Now < A.Waiting->LoadBy)
      Ahead.insert(Other);
  return Ahead.size();
}

void SideAdmission::onAdmissionRequest(const Time &Now,
                                       AdmissionRequest Request) {
  for (const AnnouncedVersion &A : Request.Announced)
    onRelease(Now, {Request.Model, Request.Adapter, A.Version, {}, A.Age});
  if (Request.Prefetch) {
    if (!ready(Now, Request) && Prefetches.size() < Opts.maxWaiting())
      Prefetches.push_back({std::move(Request), Now, Now + PrefetchExpiry,
                            Now + PrefetchExpiry});
    return placeOrder(Now);
  }
  if (!Reachable)
    return refuse(Request, std::chrono::milliseconds(300), true,
                  "engine_unreachable");
  if (answerAgain(Now, Request))
    return;
  if (!Request.Adapter.empty())
    Demand.onRequest(Now, adapterHash(Request.Model, Request.Adapter),
                     Request.PromptTokens);
  Memory.onAsked(Request.PromptTokens, Request.OutputTokens);
  if (Opts.holdOutput() && Spec.MemoryTokens > 0 &&
      memoryNeed(Request) > Spec.MemoryTokens)
    return refuse(Request, expectedWait(Now, Request), true, "exceeds_memory");
  const bool Ready = ready(Now, Request);
  if (Ready && hasCapacity(Now, Request) && Queue.empty() &&
      !holdsPrompt(promptDecision(Now, Request, Now)))
    return grant(Now, Request);
  if (const std::string Name = adapterName(Request.Model, Request.Adapter);
      isOutdated(Now, Name) && heldAdapter(Name)->Pins > 0)
    return refuse(Request, Opts.replaceTime(), true, "replacing");
  const Duration Wait = expectedWait(Now, Request);
  if (Stopping)
    return refuse(Request, Wait, true, "stopping");
  if (Wait > Request.MaxWait || !makeRoom(Now, Request))
    return refuse(Request, Wait, Ready || !baseModel(Request.Model),
                  Ready ? fullReason(Now, Request) : "load_too_late");
  AdmissionReply Reply;
  Reply.Decision = Verdict::Wait;
  Reply.Expected = Wait;
  Reply.Reason = Ready ? fullReason(Now, Request) : "loading";
  PromptsHeld += Reply.Reason == "paced" ? 1 : 0;
  Port.reply(Request, Reply);
  const auto Position =
      std::find_if(Queue.begin(), Queue.end(), [&](const WaitingRequest &W) {
        return W.Request.Rank > Request.Rank;
      });
  // The maximum wait is the entry's estimate of how long a wait still helps its
  // caller. The actual wait may reach twice that time before the request is
  // refused.
  const Time Until = Now + std::min(Request.MaxWait * 2, Request.TimeLeft);
  const Time LoadBy = Now + Request.ObjectiveLeft - Loads.loadTime();
  Queue.insert(Position,
               {std::move(Request), Now, Until, LoadBy, NextNumber++});
  sortQueue(Now);
  serveQueue(Now);
  placeOrder(Now);
}

std::string_view
SideAdmission::fullReason(const Time &Now,
                          const AdmissionRequest &Request) const {
  if (RequestRate.wait(Now, countAhead(Now, &Request)) > Duration(0))
    return "engine_limited";
  return batchHasRoom(memoryNeed(Request)) ? "paced" : "engine_full";
}

void SideAdmission::onRequestLimit(const Time &Now, double PerSecond) {
  if (PerSecond == RequestRate.rate())
    return;
  Port.log(LogClass::Kept,
           "engine limit per_second=" + std::to_string(PerSecond) +
               " before=" + std::to_string(RequestRate.rate()) +
               " waiting=" + std::to_string(Queue.size()));
  RequestRate.setRate(Now, PerSecond);
  serveQueue(Now);
}

void SideAdmission::grant(const Time &Now, const AdmissionRequest &Request) {
  RequestRate.take(Now);
  Shares.onServed(Now, fairItem(Now, Request), !Queue.empty());
  AdmissionReply Reply;
  Reply.Decision = Verdict::Go;
  Reply.Expected = Prefill.backlog(Now, Request.Rank);
  Reply.Reason = "ready";
  Grant G;
  if (!Request.Adapter.empty()) {
    G.Adapter = adapterName(Request.Model, Request.Adapter);
    AdapterState &State = Adapters[G.Adapter];
    ++State.Pins;
    State.LastUsed = Now;
    Reply.Version = State.Version;
  }
  G.Request = Request.Request;
  G.Version = Reply.Version;
  G.Tokens = memoryNeed(Request);
  G.WholePrompt = Request.PromptTokens;
  G.LargestOutput = Request.OutputTokens;
  Memory.onGrant(G.Request, G.WholePrompt, G.LargestOutput);
  G.PromptTokens = unreadTokens(Now, Request);
  G.GrantedAt = Now;
  G.ExpiresAt = Now + Request.TimeLeft + GrantGracePeriod;
  TokensGranted += G.Tokens;
  G.FoundIdle = Prefill.backlog(Now, BacklogRanks) == Duration(0);
  Prefill.add(Now, Request.Rank, G.PromptTokens);
  Pauses.onGrant(Now, {Request.Request, G.PromptTokens, Request.MaxPause});
  Kept.onGrant(Now, Request.Parts);
  Reply.ObservesPauses = Pauses.isKnown() && Request.MaxPause > Duration(0);
  Grants[{Request.Peer, Request.Id}] = std::move(G);
  Port.reply(Request, Reply);
}

bool SideAdmission::answerAgain(const Time &Now,
                                const AdmissionRequest &Request) {
  AdmissionReply Reply;
  if (const auto It = Grants.find({Request.Peer, Request.Id});
      It != Grants.end()) {
    Grant &G = It->second;
    if (!ready(Now, Request) ||
        (!G.Adapter.empty() && heldAdapter(G.Adapter)->Version != G.Version)) {
      onEnd(Now, Request.Peer, Request.Id, Duration(0));
      return false;
    }
    Reply.Decision = Verdict::Go;
    Reply.Version = G.Version;
    Reply.ObservesPauses = Pauses.isKnown() && Request.MaxPause > Duration(0);
    Reply.Reason = "granted_before";
    Pauses.onGrant(Now, {G.Request, G.PromptTokens, Request.MaxPause});
    Port.reply(Request, Reply);
    return true;
  }
  const auto Waiting =
      std::find_if(Queue.begin(), Queue.end(), [&](const WaitingRequest &W) {
        return W.Request.Id == Request.Id && W.Request.Peer == Request.Peer;
      });
  if (Waiting == Queue.end())
    return false;
  Reply.Decision = Verdict::Wait;
  Reply.Expected = expectedWait(Now, Request);
  Reply.Reason = "waiting";
  Port.reply(Request, Reply);
  return true;
}

void SideAdmission::refuse(const AdmissionRequest &Request, Duration RetryAfter,
                           bool TryElsewhere, std::string_view Reason) {
  AdmissionReply Reply;
  Reply.TryElsewhere = TryElsewhere;
  Reply.Decision = Verdict::Refuse;
  Reply.Expected = RetryAfter;
  Reply.Reason = Reason;
  Port.reply(Request, Reply);
}

void SideAdmission::onEnd(const Time &Now, const std::string &Peer, uint64_t Id,
                          Duration FirstToken) {
  const auto It = Grants.find({Peer, Id});
  if (It == Grants.end()) {
    Queue.remove_if([&](const WaitingRequest &W) {
      return W.Request.Id == Id && W.Request.Peer == Peer;
    });
    return;
  }
  const Grant &G = It->second;
  const Duration RunTime = Now - G.GrantedAt;
  MeanRunTime = MeanRunTime == Duration(0)
                    ? RunTime
                    : MeanRunTime + (RunTime - MeanRunTime) / RunTimeSamples;
  // The rate is that at the engine's usual speed.
  if (FirstToken > Duration(0) && G.FoundIdle && Pauses.slowdown(Now) <= 1)
    Prefill.learn(G.PromptTokens, FirstToken);

  if (!G.Adapter.empty()) {
    const auto State = Adapters.find(G.Adapter);
    if (State != Adapters.end() && State->second.Pins > 0)
      --State->second.Pins;
  }
  TokensGranted -= std::min(TokensGranted, G.Tokens);
  Memory.onEnd(Now, G.Request, G.WholePrompt, G.LargestOutput);
  Pauses.onEnd(G.Request);
  Grants.erase(It);
  serveQueue(Now);
  placeOrder(Now);
}

void SideAdmission::onEngineUnreachable(const Time &Now) {
  if (Reachable)
    Port.log(LogClass::Kept, "engine state=unreachable waiting=" +
                                 std::to_string(Queue.size()));
  Reachable = false;
  ReportedAt = Now;
  for (const WaitingRequest &W : Queue)
    refuse(W.Request, std::chrono::milliseconds(500), true,
           "engine_unreachable");
  Queue.clear();
  Prefetches.clear();
}

void SideAdmission::onStop(const Time &Now) {
  if (Stopping)
    return;
  Stopping = true;
  Port.log(LogClass::Kept,
           "stop_begun waiting=" + std::to_string(Queue.size()) +
               " granted=" + std::to_string(Grants.size()));
  // The expected wait of each depends on those that are still queued.
  for (const WaitingRequest &W : Queue)
    refuse(W.Request, expectedWait(Now, W.Request), true, "stopping");
  Queue.clear();
  Prefetches.clear();
}

void SideAdmission::serveQueue(const Time &Now) {
  for (auto It = Queue.begin(); It != Queue.end();) {
    if (!ready(Now, It->Request)) {
      ++It;
      continue;
    }
    if (!hasCapacity(Now, It->Request))
      return;
    const PromptDecision Prompt = promptDecision(Now, It->Request, It->Since);
    if (holdsPrompt(Prompt)) {
      if (!mayOvertake(Prompt))
        return;
      ++It;
      continue;
    }
    const AdmissionRequest Request = std::move(It->Request);
    It = Queue.erase(It);
    grant(Now, Request);
    if (!hasOrganisations())
      continue;
    // What is next depends on what was granted. Each grant makes the queue
    // shorter.
    sortQueue(Now);
    It = Queue.begin();
  }
}

void SideAdmission::expire(const Time &Now) {
  // More urgent requests that came later are ahead now, so the engine's limit
  // may not allow a request any more before its time is up.
  size_t ReadyAhead = 0;
  for (auto It = Queue.begin(); It != Queue.end();) {
    const bool TooLate = Now >= It->Until;
    const bool Hopeless = RequestRate.wait(Now, ReadyAhead) > It->Until - Now;
    if (!TooLate && !Hopeless) {
      if (RequestRate.isLimited() && ready(Now, It->Request))
        ++ReadyAhead;
      ++It;
      continue;
    }
    const AdmissionRequest Request = std::move(It->Request);
    It = Queue.erase(It);
    refuse(Request, expectedWait(Now, Request), ready(Now, Request),
           TooLate ? "waited_too_long" : "engine_limited");
  }
  std::vector<RequestKey> Expired;
  for (const auto &[Id, G] : Grants)
    if (Now >= G.ExpiresAt)
      Expired.push_back(Id);
  for (const RequestKey &Id : Expired)
    onEnd(Now, Id.first, Id.second, Duration(0));
  dropEndedPrefetches(Now);
}

void SideAdmission::dropEndedPrefetches(const Time &Now) {
  Prefetches.remove_if([&](const WaitingRequest &W) {
    return Now >= W.Until || ready(Now, W.Request);
  });
}

void SideAdmission::onTimer(const Time &Now) {
  expire(Now);
  sortQueue(Now);
  refuseOvertaken(Now);
  serveQueue(Now);
  placeOrder(Now);
}

EngineLoad SideAdmission::load(const Time &Now) const {
  EngineLoad Out;
  Out.Serving = Reachable && !Report.Models.empty();
  Out.Backlog = Prefill.backlogs(Now);
  const Duration Wait =
      std::max(RequestRate.wait(Now, Queue.size()), batchWait(Now, 0));
  // Less urgent ranks than any that waits have the same wait.
  uint32_t LeastUrgent = 0;
  for (const WaitingRequest &W : Queue)
    LeastUrgent = std::max(LeastUrgent, W.Request.Rank);
  Duration Paced{};
  for (uint32_t Rank = 0; Rank < BacklogRanks; ++Rank) {
    if (Rank <= LeastUrgent)
      Paced = pacingWait(Now, Rank, 0);
    Out.Backlog[Rank] += Wait + Paced;
  }
  Out.RequestLimit = RequestRate.rate();
  Out.PrefillRate = Prefill.rate() / Pauses.slowdown(Now);
  Out.Utilisation = Prefill.utilisation(Now);
  Out.StreamsOnTime =
      static_cast<uint32_t>(Pauses.streamsLateAfter(std::chrono::hours(1)));
  // In steps, since a load that has not changed is not sent.
  Out.SlowdownRisk = std::max(
      1.0, roundUp(Pauses.worstSlowdown(Now) / Pauses.slowdown(Now), 0.25));
  Out.SlowShare = roundUp(Pauses.slowShare(), 0.05);
  Out.Running = static_cast<uint32_t>(Grants.size());
  Out.Demand = Demand.shares(Now, Prefill.rate());
  for (const auto &[Name, S] : Adapters) {
    if (isOutdated(Now, Name))
      continue;
    const size_t Slash = Name.find('/');
    (S.Incoming ? Out.Incoming : Out.Held)
        .push_back(adapterHash(Name.substr(0, Slash), Name.substr(Slash + 1)));
  }
  return Out;
}

} // namespace goldcrestlink
