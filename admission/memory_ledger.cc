// Runs of a report and grants are matched by the hash of the request's id; a
// grant accounts for one run. The engine lists a run once it has its first
// token; of the others it states only how many there are and how much memory is
// in use, so that the larger of two bounds is taken. Shared prompt parts count
// for each request, since an engine may drop a part that it could share, and a
// request that is preempted then needs all of it again. A report costs time
// linear in its runs and in the grants.
#include "admission/memory_ledger.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
// Largest part of the memory that one request which was not asked for is taken
// to need, so that one caller's odd limit does not stop all admission.
constexpr uint64_t MaxUnaskedPart = 4;
} // namespace

void MemoryLedger::setEngine(const EngineSpec &Spec) {
  MemoryTokens = Spec.MemoryTokens;
  TokensPerEvent = std::max<uint32_t>(1, Spec.TokensPerEvent);
  EqualPart = Spec.MemoryTokens / std::max<uint32_t>(1, Spec.BatchSlots);
}

void MemoryLedger::onAsked(uint64_t PromptTokens, uint64_t OutputTokens) {
  const uint64_t Most = MemoryTokens / MaxUnaskedPart;
  LargestPrompt = std::max(LargestPrompt, std::min(PromptTokens, Most));
  LargestOutput = std::max(LargestOutput, std::min(OutputTokens, Most));
}

void MemoryLedger::onGrant(uint64_t Request, uint64_t PromptTokens,
                           uint64_t OutputTokens) {
  Grants &G = ByRequest[Request];
  if (G.Tokens.empty())
    if (const auto It = UnaskedRuns.find(Request); It != UnaskedRuns.end())
      G.RunsBefore = It->second;
  G.Tokens.push_back(PromptTokens + OutputTokens);
  G.PromptTokens += PromptTokens;
  Granted += PromptTokens + OutputTokens;
}

void MemoryLedger::onEnd(Time Now, uint64_t Request, uint64_t PromptTokens,
                         uint64_t OutputTokens) {
  const auto It = ByRequest.find(Request);
  if (It == ByRequest.end())
    return;
  std::vector<uint64_t> &Tokens = It->second.Tokens;
  const auto Found =
      std::find(Tokens.begin(), Tokens.end(), PromptTokens + OutputTokens);
  if (Found == Tokens.end())
    return;
  Granted -= *Found;
  Ended += *Found;
  EndedAt = Now;
  Tokens.erase(Found);
  It->second.PromptTokens -= PromptTokens;
  if (Tokens.empty())
    ByRequest.erase(It);
}

uint64_t MemoryLedger::largestRest(uint64_t Events) const {
  const uint64_t Largest = LargestOutput > 0 ? LargestOutput : EqualPart;
  // An event may be in progress.
  const uint64_t Generated =
      (std::max<uint64_t>(Events, 1) - 1) * TokensPerEvent;
  return Largest - std::min(Largest, Generated);
}

void MemoryLedger::onReport(Time Now, const EngineReport &Report) {
  if (Now > EndedAt)
    Ended = 0;
  Unasked = unaskedOf(Report);
}

uint64_t MemoryLedger::unaskedOf(const EngineReport &Report) {
  uint64_t Out = 0;
  uint64_t ListedTokens = 0;
  std::unordered_map<uint64_t, size_t> Seen;
  std::unordered_map<uint64_t, size_t> Matched;
  UnaskedRuns.clear();
  for (const EngineRun &R : Report.Runs) {
    ListedTokens += R.Tokens;
    const size_t Number = ++Seen[R.Request];
    const auto It = ByRequest.find(R.Request);
    if (It != ByRequest.end() && Number > It->second.RunsBefore &&
        Matched[R.Request] < It->second.Tokens.size()) {
      ++Matched[R.Request];
      continue;
    }
    ++UnaskedRuns[R.Request];
    Out += R.Tokens + largestRest(R.Events);
  }
  // Requests that the engine holds and does not list.
  uint64_t UnlistedGrants = 0;
  uint64_t UnlistedPrompts = 0;
  for (const auto &[Request, G] : ByRequest) {
    const auto It = Matched.find(Request);
    const size_t Listed = It == Matched.end() ? 0 : It->second;
    UnlistedGrants += G.Tokens.size() - Listed;
    if (Listed < G.Tokens.size())
      UnlistedPrompts += G.PromptTokens;
  }
  const uint64_t Held = uint64_t(Report.Running) + Report.Waiting;
  const uint64_t Known = Report.Runs.size() + UnlistedGrants;
  const uint64_t ByCount =
      Held <= Known
          ? 0
          : (Held - Known) *
                (LargestOutput > 0 ? LargestPrompt + LargestOutput : EqualPart);
  const uint64_t KnownTokens = ListedTokens + UnlistedPrompts;
  const uint64_t ByMemory =
      Report.MemoryUsed <= KnownTokens ? 0 : Report.MemoryUsed - KnownTokens;
  return Out + std::max(ByCount, ByMemory);
}

void MemoryLedger::clear() {
  ByRequest.clear();
  UnaskedRuns.clear();
  Granted = 0;
  Ended = 0;
  Unasked = 0;
}

} // namespace goldcrestlink
