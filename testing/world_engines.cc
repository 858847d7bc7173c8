// The engines of a World: they carry out what sides tell them, each step after
// a delay in which the engine or the side may end.
#include "testing/world.h"

#include <algorithm>

#include "testing/world_nodes.h"

namespace goldcrestlink::testing {

namespace {
constexpr Duration TokenTime = std::chrono::milliseconds(10);
constexpr Duration CallTime = std::chrono::milliseconds(30);
constexpr Duration LoadTime = std::chrono::milliseconds(50);
} // namespace

void World::perform(SideNode &S, side::Actions &Out) {
  for (side::Action &A : Out) {
    if (auto *R = std::get_if<side::Reply>(&A)) {
      toPeer(S, R->Peer, R->Message);
    } else if (auto *T = std::get_if<side::TellSide>(&A)) {
      SideNode *To = sideOf(T->Upstream);
      const std::string Peer = "side/" + S.Upstream;
      const wire::Envelope Message = T->Message;
      if (lostBetweenSides() && To != &S)
        continue;
      at(networkDelay(),
         [this, To, Peer, Message] { deliverToSide(*To, Peer, Message); });
    } else if (auto *Run = std::get_if<side::StartRun>(&A)) {
      startRun(S, *Run);
    } else if (auto *C = std::get_if<side::CancelRun>(&A)) {
      S.Fake.Runs.erase(C->AttemptId);
    } else if (auto *L = std::get_if<side::LoadAdapter>(&A)) {
      startLoad(S, *L);
    } else if (std::get_if<side::CheckUpstream>(&A)) {
      startCheck(S);
    }
  }
}

void World::startLoad(SideNode &S, const side::LoadAdapter &Order) {
  for (const auto &[Id, R] : S.Fake.Runs)
    if (R.Slot == Order.Slot)
      violate("slot " + std::to_string(Order.Slot) + " of " + S.Upstream +
              " is replaced while it serves");
  const uint64_t Life = S.Fake.Life;
  const uint64_t SideLife = S.Life;
  S.Fake.Slots[Order.Slot].clear();
  const bool Fails = (O.Faults & FailingLoads) && chance(0.1);
  at(LoadTime + upTo(LoadTime), [this, &S, Order, Life, SideLife, Fails] {
    const bool Loaded = S.Fake.Life == Life && !Fails;
    if (Loaded)
      S.Fake.Slots[Order.Slot] = Order.Key;
    if (S.Life != SideLife)
      return;
    side::Actions More;
    S.Machine->onLoadDone(now(S.WallOffset), Order.Slot, Order.Key, Loaded,
                          More);
    perform(S, More);
  });
}

void World::startCheck(SideNode &S) {
  const uint64_t SideLife = S.Life;
  at(Duration(1000), [this, &S, SideLife] {
    if (S.Life != SideLife)
      return;
    side::UpstreamStatus Status;
    if (S.Fake.DownUntil > Clock)
      Status.Is = side::UpstreamStatus::Kind::Refused;
    else if (S.Fake.MuteUntil > Clock)
      Status.Is = side::UpstreamStatus::Kind::Silent;
    if (S.Engine)
      Status.SlotKeys = S.Fake.Slots;
    side::Actions More;
    S.Machine->onUpstreamCheck(now(S.WallOffset), Status, More);
    perform(S, More);
  });
}

void World::startRun(SideNode &S, const side::StartRun &Run) {
  const std::string Id = Run.AttemptId;
  const uint64_t SideLife = S.Life;
  // Reports to the machine unless the side or the engine died meanwhile. A
  // paused side hears of it when it resumes.
  const auto Report = [this, &S, SideLife](auto What) {
    const Duration Wait = std::max(Duration(0), S.PausedUntil - Clock);
    at(Wait, [this, &S, SideLife, What] {
      if (S.Life != SideLife)
        return;
      side::Actions Out;
      What(*S.Machine, now(S.WallOffset), Out);
      perform(S, Out);
    });
  };
  if (!S.Engine) {
    const std::string Key = Run.IdempotencyKey;
    // The call leaves after a moment, in which the side may be paused.
    at(upTo(std::chrono::milliseconds(1)), [this, Report, Id, Key] {
      if (++KeyRuns[Key] > 1)
        violate("key " + Key + " ran " + std::to_string(KeyRuns[Key]) +
                " times");
      const auto Denied = KeyDenied.find(Key);
      if (Denied != KeyDenied.end() && KeySent[Key] <= Denied->second)
        violate("key " + Key + " ran after it was said not to run");
      at(CallTime, [Report, Id, Key] {
        Report(
            [Id, Key](side::SideMachine &M, const Now &N, side::Actions &Out) {
              M.onRunHead(N, Id, 200, "text/plain", Out);
              M.onRunData(N, Id, "done " + Key, Out);
              M.onRunDone(N, Id, Out);
            });
      });
    });
    return;
  }
  if (S.Fake.DownUntil > Clock)
    return Report([Id](side::SideMachine &M, const Now &N, side::Actions &Out) {
      M.onRunError(N, Id, side::RunError::NotSent, Out);
    });
  // The body is "model tag" in this world.
  const std::string Model = Run.Body.substr(0, Run.Body.find(' '));
  const std::string Tag = Run.Body.substr(Run.Body.find(' ') + 1);
  const auto Slot = std::find(S.Fake.Slots.begin(), S.Fake.Slots.end(), Model);
  if (Slot == S.Fake.Slots.end())
    return Report([Id](side::SideMachine &M, const Now &N, side::Actions &Out) {
      M.onRunHead(N, Id, 404, "", Out);
      M.onRunDone(N, Id, Out);
    });
  ++CompletionRuns[Tag];
  if (KeyDenied.count("tag " + Tag))
    violate("request " + Tag + " ran after it was said not to run");
  S.Fake.Runs[Id] = {Tag, static_cast<size_t>(Slot - S.Fake.Slots.begin()),
                     Tag == "poison"};
  if (Tag == "poison") {
    at(TokenTime, [this, &S] {
      ++PoisonCrashes;
      crashEngine(S);
    });
    return;
  }
  const uint64_t Life = S.Fake.Life;
  const auto Finish = [this, &S, Report, Id, Model, Tag, Life] {
    if (S.Fake.Life != Life || !S.Fake.Runs.count(Id))
      return;
    if (S.Fake.MuteUntil > Clock)
      return; // Never answers: the connection went silent.
    S.Fake.Runs.erase(Id);
    const bool Crossed = (O.Faults & CrossedAnswers) && chance(0.1);
    const std::string Text = Crossed ? "somebody" : Tag;
    const std::string Echo = Crossed ? "another" : Id;
    Report([Id, Model, Text, Echo](side::SideMachine &M, const Now &N,
                                   side::Actions &Out) {
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
  at(TokenTime * static_cast<int64_t>(1 + Rand.below(40)), Finish);
}

void World::crashEngine(SideNode &S) {
  ++S.Fake.Life;
  S.Fake.Slots.assign(WorldSlotCount, std::string());
  S.Fake.DownUntil = Clock + std::chrono::milliseconds(100) +
                     upTo(std::chrono::milliseconds(800));
  const auto Runs = S.Fake.Runs;
  S.Fake.Runs.clear();
  const uint64_t SideLife = S.Life;
  for (const auto &[Id, R] : Runs)
    at(upTo(std::chrono::milliseconds(2)), [this, &S, Id = Id, SideLife] {
      if (S.Life != SideLife)
        return;
      side::Actions Out;
      S.Machine->onRunError(now(S.WallOffset), Id, side::RunError::Broken, Out);
      perform(S, Out);
    });
}

} // namespace goldcrestlink::testing
