// The upstreams of a Simulation. They execute the actions of their sides. Every
// step takes effect after a delay, in which the engine may crash and the side
// may restart; CrashCount and RestartCount show whether that has happened.
#include "testing/simulation.h"

#include <algorithm>

#include "testing/simulation_nodes.h"

namespace goldcrestlink::testing {

namespace {
constexpr Duration TokenDuration = std::chrono::milliseconds(10);
constexpr Duration CallDuration = std::chrono::milliseconds(30);
constexpr Duration MinLoadDuration = std::chrono::milliseconds(50);
} // namespace

void Simulation::perform(SideNode &Side, side::Actions &Out) {
  for (side::Action &A : Out) {
    if (auto *R = std::get_if<side::Reply>(&A)) {
      sendToPeer(Side, R->Peer, R->Message);
    } else if (auto *T = std::get_if<side::SendToSide>(&A)) {
      SideNode *To = sideOf(T->Upstream);
      const std::string Peer = "side/" + Side.Upstream;
      const wire::Envelope Message = T->Message;
      if (lostBetweenSides() && To != &Side)
        continue;
      schedule(networkDelay(), [this, To, Peer, Message] {
        deliverToSide(*To, Peer, Message);
      });
    } else if (auto *Run = std::get_if<side::StartRun>(&A)) {
      startRun(Side, *Run);
    } else if (auto *C = std::get_if<side::CancelRun>(&A)) {
      Side.Fake.Runs.erase(C->AttemptId);
    } else if (auto *L = std::get_if<side::LoadAdapter>(&A)) {
      startLoad(Side, *L);
    } else if (std::get_if<side::CheckUpstream>(&A)) {
      startCheck(Side);
    }
  }
}

void Simulation::startLoad(SideNode &Side, const side::LoadAdapter &Order) {
  for (const auto &[Id, R] : Side.Fake.Runs)
    if (R.Slot == Order.Slot)
      reportViolation("slot " + std::to_string(Order.Slot) + " of " +
                      Side.Upstream + " is replaced while in use");
  const uint64_t CrashCount = Side.Fake.CrashCount;
  const uint64_t RestartCount = Side.RestartCount;
  Side.Fake.Slots[Order.Slot].clear();
  const bool Fails = (Options.Faults & FailingLoads) && chance(0.1);
  schedule(MinLoadDuration + randomUpTo(MinLoadDuration),
           [this, &Side, Order, CrashCount, RestartCount, Fails] {
             const bool Loaded = Side.Fake.CrashCount == CrashCount && !Fails;
             if (Loaded)
               Side.Fake.Slots[Order.Slot] = Order.Key;
             if (Side.RestartCount != RestartCount)
               return;
             side::Actions More;
             Side.Machine->onLoadDone(now(Side.WallOffset), Order.Slot,
                                      Order.Key, Loaded, More);
             perform(Side, More);
           });
}

void Simulation::startCheck(SideNode &Side) {
  const uint64_t RestartCount = Side.RestartCount;
  schedule(Duration(1000), [this, &Side, RestartCount] {
    if (Side.RestartCount != RestartCount)
      return;
    side::UpstreamStatus Status;
    if (Side.Fake.DownUntil > Clock)
      Status.Result = side::UpstreamStatus::Kind::Refused;
    else if (Side.Fake.SilentUntil > Clock)
      Status.Result = side::UpstreamStatus::Kind::Silent;
    if (Side.IsEngine)
      Status.SlotKeys = Side.Fake.Slots;
    side::Actions More;
    Side.Machine->onUpstreamCheck(now(Side.WallOffset), Status, More);
    perform(Side, More);
  });
}

void Simulation::startRun(SideNode &Side, const side::StartRun &Run) {
  const std::string Id = Run.AttemptId;
  const uint64_t RestartCount = Side.RestartCount;
  // Reports an event to the state machine, unless the side has restarted since
  // the run began. A paused side receives it when it resumes.
  const auto Report = [this, &Side, RestartCount](auto Event) {
    const Duration Wait = std::max(Duration(0), Side.PausedUntil - Clock);
    schedule(Wait, [this, &Side, RestartCount, Event] {
      if (Side.RestartCount != RestartCount)
        return;
      side::Actions Out;
      Event(*Side.Machine, now(Side.WallOffset), Out);
      perform(Side, Out);
    });
  };
  if (!Side.IsEngine) {
    const std::string Key = Run.IdempotencyKey;
    // The call is sent after a short delay, in which the side may be paused.
    schedule(randomUpTo(std::chrono::milliseconds(1)), [this, Report, Id, Key] {
      if (++KeyRuns[Key] > 1)
        reportViolation("key " + Key + " ran " + std::to_string(KeyRuns[Key]) +
                        " times");
      const auto NotRunSince = ReportedNotRun.find(Key);
      if (NotRunSince != ReportedNotRun.end() &&
          KeyLastSent[Key] <= NotRunSince->second)
        reportViolation("key " + Key + " ran after it was reported as not run");
      schedule(CallDuration, [Report, Id, Key] {
        Report([Id, Key](side::SideStateMachine &M, const CurrentTime &N,
                         side::Actions &Out) {
          M.onRunHead(N, Id, 200, "text/plain", Out);
          M.onRunData(N, Id, "done " + Key, Out);
          M.onRunDone(N, Id, Out);
        });
      });
    });
    return;
  }
  if (Side.Fake.DownUntil > Clock)
    return Report([Id](side::SideStateMachine &M, const CurrentTime &N,
                       side::Actions &Out) {
      M.onRunError(N, Id, side::RunError::NotSent, Out);
    });
  // Simulated completions have the body "model tag".
  const std::string Model = Run.Body.substr(0, Run.Body.find(' '));
  const std::string Tag = Run.Body.substr(Run.Body.find(' ') + 1);
  const auto Slot =
      std::find(Side.Fake.Slots.begin(), Side.Fake.Slots.end(), Model);
  if (Slot == Side.Fake.Slots.end())
    return Report([Id](side::SideStateMachine &M, const CurrentTime &N,
                       side::Actions &Out) {
      M.onRunHead(N, Id, 404, "", Out);
      M.onRunDone(N, Id, Out);
    });
  ++CompletionRuns[Tag];
  if (ReportedNotRun.count("tag " + Tag))
    reportViolation("request " + Tag + " ran after it was reported as not run");
  Side.Fake.Runs[Id] = {Tag,
                        static_cast<size_t>(Slot - Side.Fake.Slots.begin()),
                        Tag == "poison"};
  if (Tag == "poison") {
    schedule(TokenDuration, [this, &Side] {
      ++PoisonCrashes;
      crashEngine(Side);
    });
    return;
  }
  const uint64_t CrashCount = Side.Fake.CrashCount;
  const auto Finish = [this, &Side, Report, Id, Model, Tag, CrashCount] {
    if (Side.Fake.CrashCount != CrashCount || !Side.Fake.Runs.count(Id))
      return;
    if (Side.Fake.SilentUntil > Clock)
      return; // A silent engine never answers this run.
    Side.Fake.Runs.erase(Id);
    const bool Swapped = (Options.Faults & SwappedAnswers) && chance(0.1);
    const std::string Text = Swapped ? "somebody" : Tag;
    const std::string Echo = Swapped ? "another" : Id;
    Report([Id, Model, Text, Echo](side::SideStateMachine &M,
                                   const CurrentTime &N, side::Actions &Out) {
      const std::string Part = "data: {\"id\":\"cmpl-" + Echo +
                               "\",\"model\":\"" + Model + "\",\"text\":\"" +
                               Text + "|\"}\n\n";
      M.onRunHead(N, Id, 200, "text/event-stream", Out);
      M.onRunData(N, Id, Part.substr(0, Part.size() / 2), Out);
      M.onRunData(N, Id, Part.substr(Part.size() / 2), Out);
      M.onRunData(N, Id, "data: [DONE]\n\n", Out);
      M.onRunDone(N, Id, Out);
    });
  };
  schedule(TokenDuration * static_cast<int64_t>(1 + Rand.below(40)), Finish);
}

void Simulation::crashEngine(SideNode &Side) {
  ++Side.Fake.CrashCount;
  Side.Fake.Slots.assign(EngineSlotCount, std::string());
  Side.Fake.DownUntil = Clock + std::chrono::milliseconds(100) +
                        randomUpTo(std::chrono::milliseconds(800));
  const auto Runs = Side.Fake.Runs;
  Side.Fake.Runs.clear();
  const uint64_t RestartCount = Side.RestartCount;
  for (const auto &[Id, R] : Runs)
    schedule(randomUpTo(std::chrono::milliseconds(2)),
             [this, &Side, Id = Id, RestartCount] {
               if (Side.RestartCount != RestartCount)
                 return;
               side::Actions Out;
               Side.Machine->onRunError(now(Side.WallOffset), Id,
                                        side::RunError::Broken, Out);
               perform(Side, Out);
             });
}

} // namespace goldcrestlink::testing
