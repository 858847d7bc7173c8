// A discrete-event simulation. Each node has its own wall clock, off by less
// than the declared skew; all steady clocks run alike. A paused node handles
// nothing until it resumes, but what it had already told its upstream goes on.
// Work is bounded by the simulated time and the request rate.
#include "testing/world.h"

#include <algorithm>

#include "base/hash.h"
#include "testing/world_nodes.h"

namespace goldcrestlink::testing {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(5);
constexpr Duration Skew = std::chrono::milliseconds(50);
constexpr Duration Epoch = std::chrono::hours(1000);
constexpr Duration WallEpoch = std::chrono::hours(400000);
constexpr Duration LongestDeadline = std::chrono::seconds(10);
constexpr Duration FirstOrder = std::chrono::seconds(4);
constexpr size_t EngineCount = 3;
constexpr size_t ServiceCount = 3;
constexpr size_t EntryCount = 2;
constexpr size_t AdapterCount = 12;

std::string declarationText() {
  std::string Out = "[policy]\nlease_ms = 2000\nclock_skew_ms = 100\n"
                    "shards_per_service = 6\nkey_retention_ms = 60000\n"
                    "[store]\nloads_per_second = 50\nconcurrent = 4\n"
                    "[rank urgent]\npriority = 0\ntarget_ms = 4000\n"
                    "deadline_ms = 5000\nshare = 0.4\nworth = 4\n"
                    "[rank bulk]\npriority = 1\ntarget_ms = 8000\n"
                    "deadline_ms = 10000\nshare = 0.2\n"
                    "[application app]\nranks = urgent bulk\n"
                    "[route /orders]\nservice = ledger\nidempotent = no\n"
                    "rank = urgent\n";
  int Port = 1000;
  const auto Address = [&] { return "127.0.0.1:" + std::to_string(Port++); };
  for (size_t I = 0; I < EngineCount; ++I)
    Out += "[engine e" + std::to_string(I) + "]\nmodel = oak\nslots = 3\n" +
           "max_concurrent = 4\ndata_center = dc\nside = " + Address() +
           "\naddress = " + Address() + "\n";
  for (size_t I = 0; I < ServiceCount; ++I)
    Out += "[service s" + std::to_string(I) + "]\nservice = ledger\n" +
           "data_center = dc\nside = " + Address() +
           "\naddress = " + Address() + "\n";
  for (size_t I = 0; I < AdapterCount; ++I)
    Out += "[adapter a" + std::to_string(I) + "]\nmodel = oak\nversions = 1\n";
  return Out;
}

} // namespace

World::~World() = default;

World::World(WorldOptions InOptions) : O(InOptions), Rand(InOptions.Seed) {
  FindingList Findings;
  Config = Declarations::parse({{"world.ini", declarationText()}}, 1, Findings);
  if (!Findings.empty())
    throw FindingError(Findings);
  for (const UpstreamDecl &U : Config->upstreams()) {
    auto S = std::make_unique<SideNode>();
    S->Upstream = U.Name;
    S->Engine = U.Kind == UpstreamKind::Engine;
    S->WallOffset = upTo(Skew);
    Sides.push_back(std::move(S));
  }
  for (auto &S : Sides) {
    bootSide(*S);
  }
  for (size_t I = 0; I < EntryCount; ++I) {
    auto E = std::make_unique<EntryNode>();
    E->Index = I;
    E->WallOffset = upTo(Skew);
    E->Machine = std::make_unique<entry::EntryMachine>(O.Entry, Config, "dc",
                                                       O.Seed * 100 + I + 1);
    Entries.push_back(std::move(E));
  }
}

// Starts a side's process, for the first time or again.
void World::bootSide(SideNode &S) {
  S.Machine = std::make_unique<side::SideMachine>(O.Side, Config, S.Upstream,
                                                  ++Incarnations);
  if (S.Engine)
    return;
  S.Lease = std::make_unique<ShardLease>(
      ShardLease::Options()
          .setLease(Config->policy().Lease)
          .setShards(static_cast<uint32_t>(Config->policy().ShardsPerService))
          .setDeclaredMembers(ServiceCount),
      S.Upstream, Incarnations);
}

Now World::now(Duration WallOffset) const {
  return {Time(Epoch + Clock), WallTime(WallEpoch + Clock + WallOffset)};
}

bool World::chance(double Probability) { return Rand.unit() < Probability; }

Duration World::upTo(Duration Most) {
  return Duration(static_cast<int64_t>(
      Rand.below(static_cast<uint64_t>(Most.count()) + 1)));
}

void World::violate(const std::string &What) {
  Violations.push_back("seed " + std::to_string(O.Seed) + " at " +
                       std::to_string(Clock.count() / 1000) + " ms: " + What);
}

void World::at(Duration Delay, std::function<void()> Do) {
  Events.emplace(Clock + Delay, std::move(Do));
}

Duration World::networkDelay() {
  Duration Delay(200 + static_cast<int64_t>(Rand.below(500)));
  if ((O.Faults & Delays) && chance(0.02))
    Delay += upTo(std::chrono::milliseconds(1500));
  return Delay;
}

bool World::lostBetweenSides() {
  return (O.Faults & LostSideMessages) && chance(0.3);
}

World::SideNode *World::sideOf(const std::string &Upstream) {
  for (auto &S : Sides)
    if (S->Upstream == Upstream)
      return S.get();
  return nullptr;
}

void World::toSide(EntryNode &E, const std::string &Upstream,
                   const wire::Envelope &Message) {
  SideNode *S = sideOf(Upstream);
  auto &Slot = E.Channels[Upstream];
  if (!Slot)
    Slot = std::make_shared<Channel>();
  const auto C = Slot;
  const std::string Peer = std::to_string(E.Index) + "/" + Upstream + "/" +
                           std::to_string(C->Serial);
  // ZeroMQ hands a message over at most once; duplicates come from resends,
  // which the world makes freely.
  const int Copies = (O.Faults & Duplicates) && chance(0.02) ? 2 : 1;
  for (int I = 0; I < Copies; ++I)
    at(networkDelay(), [this, S, C, Peer, Message] {
      if (!C->Silent)
        deliverToSide(*S, Peer, Message);
    });
}

void World::deliverToSide(SideNode &S, const std::string &Peer,
                          const wire::Envelope &Message) {
  if (S.PausedUntil > Clock) {
    const uint64_t Life = S.Life;
    at(S.PausedUntil - Clock, [this, &S, Peer, Message, Life] {
      if (S.Life == Life)
        deliverToSide(S, Peer, Message);
    });
    return;
  }
  side::Actions Out;
  S.Machine->onEnvelope(now(S.WallOffset), Peer, Message, Out);
  perform(S, Out);
}

void World::toPeer(SideNode &S, const std::string &Peer,
                   const wire::Envelope &Message) {
  const size_t First = Peer.find('/');
  const size_t Last = Peer.rfind('/');
  if (First == std::string::npos)
    return;
  if (Peer.rfind("side/", 0) == 0) {
    // A reply to another side, over that side's own connection.
    SideNode *To = sideOf(Peer.substr(5));
    const std::string From = S.Upstream;
    if (lostBetweenSides())
      return;
    at(networkDelay(),
       [this, To, From, Message] { deliverToSide(*To, From, Message); });
    return;
  }
  EntryNode &E = *Entries[std::stoul(Peer.substr(0, First))];
  const auto C = E.Channels[S.Upstream];
  const uint64_t Serial = std::stoull(Peer.substr(Last + 1));
  const std::string Upstream = S.Upstream;
  at(networkDelay(), [this, &E, C, Serial, Upstream, Message] {
    if (!C || C->Silent || C->Serial != Serial || E.Channels[Upstream] != C)
      return; // That connection is gone.
    entry::Actions Out;
    E.Machine->onEnvelope(now(E.WallOffset), Upstream, Message, Out);
    perform(E, Out);
  });
}

void World::perform(EntryNode &E, entry::Actions &Out) {
  for (entry::Action &A : Out) {
    if (auto *Send = std::get_if<entry::SendSide>(&A)) {
      toSide(E, Send->Upstream, Send->Message);
    } else if (auto *Reset = std::get_if<entry::ResetConnection>(&A)) {
      const auto Old = E.Channels[Reset->Upstream];
      auto Fresh = std::make_shared<Channel>();
      Fresh->Serial = Old ? Old->Serial + 1 : 1;
      E.Channels[Reset->Upstream] = Fresh;
    } else if (auto *Data = std::get_if<entry::DeliverData>(&A)) {
      Submissions.at(Data->RequestId).Received += Data->Bytes;
    } else if (auto *Whole = std::get_if<entry::DeliverWhole>(&A)) {
      Submissions.at(Whole->RequestId).Received = Whole->Body;
      end(Whole->RequestId, Outcome::Ran, Whole->Status == 200, Code::None);
    } else if (auto *Done = std::get_if<entry::DeliverEnd>(&A)) {
      end(Done->RequestId, Outcome::Ran, true, Code::None);
    } else if (auto *Bad = std::get_if<entry::DeliverError>(&A)) {
      end(Bad->RequestId, Bad->Known, false, Bad->Why);
    }
  }
}

void World::end(const std::string &Id, Outcome Known, bool Whole, Code Why) {
  Submission &S = Submissions.at(Id);
  if (S.Ended)
    violate("request " + Id + " ended twice");
  S.Ended = true;
  ++Ended;
  const bool Order = !S.Key.empty();
  if (Clock > S.Deadline + 2 * Tick)
    violate("request " + Id + " ended after its deadline");
  if (Whole) {
    ++(Order ? OrdersAnswered : Answered);
    const std::string Expected = Order ? "done " + S.Key : S.Tag + "|";
    const std::string Foreign = Order ? "done " : "|";
    if (S.Received.find(Expected) == std::string::npos)
      violate("request " + Id + " got another's answer: " + S.Received);
    if (!Order && S.Received.find("\"" + S.Model + "\"") == std::string::npos)
      violate("request " + Id + " was answered by another adapter");
  }
  if (Known != Outcome::NotRun)
    return;
  if (!Order && CompletionRuns[S.Tag] > 0)
    violate("request " + Id + " is said not to have run but ran, code " +
            std::string(codeName(Why)));
  if (Order && KeyRuns[S.Key] > 0)
    violate("key " + S.Key + " is said not to have run but ran, code " +
            std::string(codeName(Why)));
  if (Order)
    KeyDenied[S.Key] = Clock;
  else
    KeyDenied["tag " + S.Tag] = Clock;
}

void World::makeFaults() {
  const auto Hit = [&](Fault F, double PerSecond) {
    return (O.Faults & F) && chance(PerSecond * seconds(Tick));
  };
  for (auto &E : Entries)
    for (auto &[Name, C] : E->Channels)
      if (Hit(SilentConnections, 0.1))
        C->Silent = true;
  for (auto &S : Sides) {
    if (S->Engine && S->Fake.DownUntil <= Clock && Hit(EngineCrashes, 0.05))
      crashEngine(*S);
    if (S->Engine && Hit(SilentEngines, 0.02))
      S->Fake.MuteUntil = Clock + upTo(std::chrono::seconds(2));
    if (Hit(SidePauses, 0.1))
      S->PausedUntil = Clock + upTo(std::chrono::seconds(6));
    if (!Hit(SideRestarts, 0.05))
      continue;
    ++S->Life;
    S->PausedUntil = Duration{};
    S->LeaseBusy = false;
    S->Fake.Runs.clear(); // Its calls' connections are cut.
    bootSide(*S);
  }
  if (OutageUntil <= Clock && Hit(PlatformOutages, 0.1))
    OutageUntil = Clock + upTo(std::chrono::seconds(6));
}

void World::submit(size_t Entry, entry::CallerRequest R, Submission S) {
  EntryNode &E = *Entries[Entry];
  R.Id = "r" + std::to_string(++Counter);
  R.Application = "app";
  S.Sent = Clock;
  const bool Bulk = R.Rank == "bulk";
  S.Deadline =
      Clock + (Bulk ? std::chrono::seconds(10) : std::chrono::seconds(5));
  Submissions[R.Id] = S;
  entry::Actions Out;
  E.Machine->onRequest(now(E.WallOffset), std::move(R), Out);
  perform(E, Out);
}

void World::sendCompletion() {
  entry::CallerRequest R;
  // Popularity falls with the square root.
  const double Draw = Rand.unit();
  R.Adapter = "a" + std::to_string(static_cast<size_t>(
                        Draw * Draw * static_cast<double>(AdapterCount)));
  R.Version = "1";
  R.Rank = chance(0.5) ? "urgent" : "bulk";
  R.Method = "POST";
  R.Path = "/v1/completions";
  R.Stream = true;
  R.MaxTokens = 40;
  Submission S;
  const bool Poison = (O.Faults & PoisonRequests) && chance(0.02);
  S.Tag = Poison ? "poison" : "t" + std::to_string(Counter);
  if (Poison)
    R.Adapter = "a0";
  S.Model = slotKey(R.Adapter, R.Version);
  R.Body = S.Model + " " + S.Tag;
  // What a poisonous request's copies did is not told apart by tag.
  if (Poison)
    S.Tag = "poison" + std::to_string(Counter);
  submit(Rand.below(EntryCount), std::move(R), std::move(S));
}

void World::sendOrder(const std::string &Key, int64_t IssuedMs) {
  entry::CallerRequest R;
  R.Method = "POST";
  R.Path = "/orders";
  R.Body = Key;
  R.Key = Key;
  R.KeyIssuedMs = IssuedMs;
  Submission S;
  S.Key = Key;
  KeySent[Key] = Clock;
  submit(Rand.below(EntryCount), std::move(R), std::move(S));
  if (Clock < O.Busy && chance(0.4))
    at(upTo(std::chrono::seconds(6)),
       [this, Key, IssuedMs] { sendOrder(Key, IssuedMs); });
}

size_t World::ordersRun() const { return KeyRuns.size(); }

void World::tick() {
  if (Clock < O.Busy) {
    makeFaults();
    if (chance(0.1))
      sendCompletion();
    // Keys made before the shards have their first owner cannot be vouched for.
    if (Clock > FirstOrder && chance(0.03))
      sendOrder("k" + std::to_string(++Counter),
                unixMillis(now(upTo(Skew)).Wall));
  }
  for (auto &E : Entries) {
    entry::Actions Out;
    E->Machine->onTimer(now(E->WallOffset), Out);
    perform(*E, Out);
  }
  for (auto &S : Sides) {
    if (S->PausedUntil > Clock)
      continue;
    side::Actions Out;
    S->Machine->onTimer(now(S->WallOffset), Out);
    perform(*S, Out);
    if (S->Lease)
      stepLease(*S);
  }
}

void World::run() {
  const Duration End = O.Busy + LongestDeadline + std::chrono::seconds(8);
  for (Duration Next{}; Next < End; Next += Tick) {
    while (!Events.empty() && Events.begin()->first <= Next) {
      Clock = Events.begin()->first;
      const auto Do = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Do();
    }
    Clock = Next;
    tick();
  }
  for (const auto &[Id, S] : Submissions)
    if (!S.Ended)
      violate("request " + Id + " has no end");
  for (const auto &E : Entries)
    if (E->Machine->requestsInProgress() > 0)
      violate("an entry still holds requests");
}

} // namespace goldcrestlink::testing
