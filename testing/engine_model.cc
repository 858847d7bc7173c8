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

void EngineModel::submit(Time Now, const Request &R) {
  advance(Now);
  const auto Position =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [&](const Run &W) { return W.R.Rank > R.Rank; });
  Waiting.insert(Position, {R, R.PromptTokens, 0, 0});
  if (!Stepping)
    startStep(Now);
}

void EngineModel::advance(Time Now) {
  while (Stepping && StepEnd <= Now) {
    const Time At = StepEnd;
    finishStep();
    startStep(At);
  }
}

uint64_t EngineModel::memoryUsed() const {
  uint64_t Sum = 0;
  for (const Run &Item : Running)
    Sum += Item.R.PromptTokens + Item.Generated;
  return Sum;
}

void EngineModel::admitWaiting() {
  while (!Waiting.empty() && Running.size() < Opts.Slots &&
         (Running.empty() ||
          memoryUsed() + Waiting.front().R.PromptTokens <= Opts.MemoryTokens)) {
    Running.push_back(Waiting.front());
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
  admitWaiting();
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
  Out.HasRuns = true;
  for (const Run &Item : Running)
    if (Item.Generated > 0 && Item.Unread == 0)
      Out.Runs.push_back(
          {Item.R.Id, Item.R.PromptTokens + Item.Generated, Item.Events});
  return Out;
}

} // namespace goldcrestlink::testing
