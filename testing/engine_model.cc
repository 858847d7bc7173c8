// A step adds one token to each request that has read its prompt, and processes
// up to a chunk of the prompts that are pending, the most urgent first. Its
// time is fixed when it begins. A step costs time linear in the batch.
#include "testing/engine_model.h"

#include <algorithm>

#include "base/hash.h"

namespace goldcrestlink::testing {

double EngineModel::slowFactor(Time At) const {
  const auto Period =
      static_cast<uint64_t>(At.time_since_epoch() / Duration(Opts.SlowPeriod));
  Random Rand(mixHash(Opts.Seed, Period));
  return Rand.unit() < Opts.SlowShare ? Opts.SlowFactor : 1;
}

bool EngineModel::submit(Time Now, const Request &R) {
  advance(Now);
  if (!R.Adapter.empty() && !Held.contains(R.Adapter))
    return false;
  const auto Position =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [&](const Run &W) { return W.R.Rank > R.Rank; });
  Waiting.insert(Position, {R, R.PromptTokens, 0, 0, false});
  if (!Stepping)
    startStep(Now);
  return true;
}

OrderOutcome EngineModel::order(Time Now, const EngineOrder &O) {
  advance(Now);
  if (O.ExpectedCount != OrderCount)
    return OrderOutcome::Conflict;
  ++OrderCount;
  if (O.Kind == OrderKind::Unload) {
    Violations += inUse(O.Adapter) ? 1 : 0;
    Held.erase(O.Adapter);
    return OrderOutcome::Completed;
  }
  Violations += Held.size() + Loading.size() >= Opts.AdapterSlots ? 1 : 0;
  Load L;
  L.IsFetch = HeldBefore.insert(O.Adapter).second;
  Duration Took = Opts.ReloadTime;
  if (L.IsFetch) {
    ++Store->Fetches;
    ++Store->InTransit;
    Took = Opts.LoadTime *
           static_cast<int64_t>(1 + (Store->InTransit - 1) / Store->FullSpeed);
  }
  L.DoneAt = Now + Took;
  Loading[O.Adapter] = L;
  return OrderOutcome::Accepted;
}

bool EngineModel::inUse(const std::string &Adapter) const {
  const auto Uses = [&](const Run &Item) { return Item.R.Adapter == Adapter; };
  return std::any_of(Running.begin(), Running.end(), Uses) ||
         std::any_of(Waiting.begin(), Waiting.end(), Uses);
}

void EngineModel::completeLoads(Time Now) {
  std::erase_if(Loading, [&](const auto &Item) {
    if (Item.second.DoneAt > Now)
      return false;
    Store->InTransit -= Item.second.IsFetch ? 1 : 0;
    Held.insert(Item.first);
    return true;
  });
}

uint64_t EngineModel::keptTokens(Time Now, const Request &R) {
  uint64_t Out = 0;
  for (const PromptPart &P : R.Parts) {
    const auto It = Kept.find(P.Key);
    if (It == Kept.end())
      break;
    It->second.UsedAt = Now;
    Out = P.TokensToEnd;
  }
  return std::min(Out, R.PromptTokens);
}

// The least recently used parts yield to requests that run and to new parts.
void EngineModel::keep(Time Now, const Request &R) {
  uint64_t Before = 0;
  for (const PromptPart &P : R.Parts) {
    Kept[P.Key] = {P.TokensToEnd - Before, Now};
    Before = P.TokensToEnd;
  }
  uint64_t Sum = memoryUsed();
  for (const auto &[Key, Part] : Kept)
    Sum += Part.Tokens;
  while (Sum > Opts.MemoryTokens && !Kept.empty()) {
    const auto Oldest = std::min_element(
        Kept.begin(), Kept.end(), [](const auto &A, const auto &B) {
          return A.second.UsedAt < B.second.UsedAt;
        });
    Sum -= Oldest->second.Tokens;
    Kept.erase(Oldest);
  }
}

void EngineModel::advance(Time Now) {
  while (Stepping && StepEnd <= Now) {
    const Time At = StepEnd;
    finishStep();
    startStep(At);
  }
  completeLoads(Now);
}

uint64_t EngineModel::memoryUsed() const {
  uint64_t Sum = 0;
  for (const Run &Item : Running)
    Sum += Item.R.PromptTokens + Item.Generated;
  return Sum;
}

void EngineModel::admitWaiting(Time At) {
  while (!Waiting.empty() && Running.size() < Opts.Slots &&
         (Running.empty() ||
          memoryUsed() + Waiting.front().R.PromptTokens <= Opts.MemoryTokens)) {
    Running.push_back(Waiting.front());
    Run &Added = Running.back();
    if (!Added.IsRead)
      Added.Unread -= std::min(Added.Unread, keptTokens(At, Added.R));
    Waiting.erase(Waiting.begin());
  }
}

void EngineModel::preemptIfFull() {
  while (Running.size() > 1 && memoryUsed() > Opts.MemoryTokens) {
    auto Victim = std::prev(Running.end());
    for (auto It = Running.begin(); It != Running.end(); ++It)
      if (It->R.Rank >= Victim->R.Rank)
        Victim = It;
    Run Again = *Victim;
    Running.erase(Victim);
    Again.Unread = Again.R.PromptTokens + Again.Generated;
    Waiting.insert(Waiting.begin(), Again);
    ++Preemptions;
  }
}

void EngineModel::startStep(Time At) {
  preemptIfFull();
  admitWaiting(At);
  Stepping = !Running.empty();
  if (!Stepping)
    return;
  uint64_t Pending = 0;
  for (const Run &Item : Running)
    Pending += Item.Unread;
  StepTokens = std::min(Pending, Opts.ChunkTokens);
  const double Ms = seconds(Opts.Step + Opts.StepPerRun * static_cast<int64_t>(
                                                              Running.size())) *
                        1e3 +
                    static_cast<double>(StepTokens) / Opts.PrefillRate;
  StepEnd = At + fromSeconds(Ms * slowFactor(At) / 1e3);
}

void EngineModel::finishStep() {
  const Time Now = StepEnd;
  uint64_t Left = StepTokens;
  for (uint32_t Rank = 0; Left > 0 && Rank < 10; ++Rank)
    for (Run &Item : Running) {
      if (std::min<uint32_t>(Item.R.Rank, 9) != Rank)
        continue;
      const uint64_t Done = std::min(Left, Item.Unread);
      Item.Unread -= Done;
      Left -= Done;
    }
  for (size_t I = 0; I < Running.size();) {
    Run &Item = Running[I];
    if (Item.Unread > 0) {
      ++I;
      continue;
    }
    if (!Item.IsRead) {
      Item.IsRead = true;
      keep(Now, Item.R);
    }
    ++Item.Generated;
    const bool Ended = Item.Generated >= Item.R.OutputTokens;
    if (Item.Generated % Opts.TokensPerEvent == 1 || Opts.TokensPerEvent == 1 ||
        Ended) {
      ++Item.Events;
      Observer.onEvent(Now, Item.R.Id);
    }
    if (!Ended) {
      ++I;
      continue;
    }
    const uint64_t Id = Item.R.Id;
    Running.erase(Running.begin() + static_cast<ptrdiff_t>(I));
    Observer.onEnd(Now, Id);
  }
}

EngineReport EngineModel::report() const {
  EngineReport Out;
  Out.Waiting = static_cast<uint32_t>(Waiting.size());
  Out.Running = static_cast<uint32_t>(Running.size());
  Out.MemoryUsed = memoryUsed();
  Out.MemoryTotal = Opts.MemoryTokens;
  Out.StartedMs = 1;
  Out.OrderCount = OrderCount;
  HeldModel M{"m", 1, {}};
  for (const std::string &Name : Held)
    M.Adapters.push_back({Name, 1});
  Out.Models = {M};
  for (const auto &[Name, L] : Loading)
    Out.Incoming.push_back({"m", {Name, 1}});
  Out.HasRuns = true;
  for (const Run &Item : Running)
    if (Item.Generated > 0 && Item.Unread == 0)
      Out.Runs.push_back(
          {Item.R.Id, Item.R.PromptTokens + Item.Generated, Item.Events});
  return Out;
}

} // namespace goldcrestlink::testing
