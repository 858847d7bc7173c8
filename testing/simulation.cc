// A discrete-event simulation. Each node has its own wall clock, which is off
// by less than the declared clock skew; all steady clocks run at the same rate.
// A paused node handles no message or timer until it resumes, but its upstream
// continues with calls and loads that were already sent to it. The cost is
// bounded by the simulated time and the request rate.
#include "testing/simulation.h"

#include <algorithm>

#include "base/hash.h"
#include "testing/simulation_nodes.h"

namespace goldcrestlink::testing {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(5);
constexpr Duration MaxClockOffset = std::chrono::milliseconds(50);
constexpr Duration SteadyEpoch = std::chrono::hours(1000);
constexpr Duration WallEpoch = std::chrono::hours(400000);
constexpr Duration LongestDeadline = std::chrono::seconds(10);
constexpr Duration FirstOrderTime = std::chrono::seconds(4);
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

Simulation::~Simulation() = default;

Simulation::Simulation(SimulationOptions InOptions)
    : Options(InOptions), Rand(InOptions.Seed) {
  FindingList Findings;
  Config = Declarations::parse({{"world.ini", declarationText()}}, 1, Findings);
  if (!Findings.empty())
    throw FindingError(Findings);
  for (const UpstreamDecl &U : Config->upstreams()) {
    auto Side = std::make_unique<SideNode>();
    Side->Upstream = U.Name;
    Side->IsEngine = U.Kind == UpstreamKind::Engine;
    Side->WallOffset = randomUpTo(MaxClockOffset);
    Sides.push_back(std::move(Side));
  }
  for (auto &Side : Sides) {
    startSide(*Side);
  }
  for (size_t I = 0; I < EntryCount; ++I) {
    auto Entry = std::make_unique<EntryNode>();
    Entry->Index = I;
    Entry->WallOffset = randomUpTo(MaxClockOffset);
    Entry->Machine = std::make_unique<entry::EntryStateMachine>(
        Options.Entry, Config, "dc", Options.Seed * 100 + I + 1);
    Entries.push_back(std::move(Entry));
  }
}

// Starts or restarts the process of a side, with empty state and a new
// incarnation number.
void Simulation::startSide(SideNode &Side) {
  Side.Machine = std::make_unique<side::SideStateMachine>(
      Options.Side, Config, Side.Upstream, ++LastIncarnation);
  if (Side.IsEngine)
    return;
  Side.Lease = std::make_unique<ShardLease>(
      ShardLease::Options()
          .setLease(Config->policy().Lease)
          .setShards(static_cast<uint32_t>(Config->policy().ShardsPerService))
          .setDeclaredMembers(ServiceCount),
      Side.Upstream, LastIncarnation);
}

CurrentTime Simulation::now(Duration WallOffset) const {
  return {Time(SteadyEpoch + Clock), WallTime(WallEpoch + Clock + WallOffset)};
}

bool Simulation::chance(double Probability) {
  return Rand.unit() < Probability;
}

Duration Simulation::randomUpTo(Duration Max) {
  return Duration(
      static_cast<int64_t>(Rand.below(static_cast<uint64_t>(Max.count()) + 1)));
}

void Simulation::reportViolation(const std::string &What) {
  Violations.push_back("seed " + std::to_string(Options.Seed) + " at " +
                       std::to_string(Clock.count() / 1000) + " ms: " + What);
}

void Simulation::schedule(Duration Delay, std::function<void()> Do) {
  Events.emplace(Clock + Delay, std::move(Do));
}

Duration Simulation::networkDelay() {
  Duration Delay(200 + static_cast<int64_t>(Rand.below(500)));
  if ((Options.Faults & Delays) && chance(0.02))
    Delay += randomUpTo(std::chrono::milliseconds(1500));
  return Delay;
}

bool Simulation::lostBetweenSides() {
  return (Options.Faults & LostSideMessages) && chance(0.3);
}

Simulation::SideNode *Simulation::sideOf(const std::string &Upstream) {
  for (auto &Side : Sides)
    if (Side->Upstream == Upstream)
      return Side.get();
  return nullptr;
}

void Simulation::sendToSide(EntryNode &Entry, const std::string &Upstream,
                            const wire::Envelope &Message) {
  SideNode *Side = sideOf(Upstream);
  auto &Slot = Entry.Connections[Upstream];
  if (!Slot)
    Slot = std::make_shared<Connection>();
  const auto C = Slot;
  const std::string Peer = std::to_string(Entry.Index) + "/" + Upstream + "/" +
                           std::to_string(C->Serial);
  // ZeroMQ delivers a message at most once, but a sender may send it again; the
  // simulation repeats messages at random.
  const int Copies = (Options.Faults & Duplicates) && chance(0.02) ? 2 : 1;
  for (int I = 0; I < Copies; ++I)
    schedule(networkDelay(), [this, Side, C, Peer, Message] {
      if (!C->Silent)
        deliverToSide(*Side, Peer, Message);
    });
}

void Simulation::deliverToSide(SideNode &Side, const std::string &Peer,
                               const wire::Envelope &Message) {
  if (Side.PausedUntil > Clock) {
    const uint64_t RestartCount = Side.RestartCount;
    schedule(Side.PausedUntil - Clock,
             [this, &Side, Peer, Message, RestartCount] {
               if (Side.RestartCount == RestartCount)
                 deliverToSide(Side, Peer, Message);
             });
    return;
  }
  side::Actions Out;
  Side.Machine->onEnvelope(now(Side.WallOffset), Peer, Message, Out);
  perform(Side, Out);
}

void Simulation::sendToPeer(SideNode &Side, const std::string &Peer,
                            const wire::Envelope &Message) {
  const size_t First = Peer.find('/');
  const size_t Last = Peer.rfind('/');
  if (First == std::string::npos)
    return;
  if (Peer.rfind("side/", 0) == 0) {
    // A reply to another side, over the connection that the other side opened.
    SideNode *To = sideOf(Peer.substr(5));
    const std::string From = Side.Upstream;
    if (lostBetweenSides())
      return;
    schedule(networkDelay(),
             [this, To, From, Message] { deliverToSide(*To, From, Message); });
    return;
  }
  EntryNode &Entry = *Entries[std::stoul(Peer.substr(0, First))];
  const auto C = Entry.Connections[Side.Upstream];
  const uint64_t Serial = std::stoull(Peer.substr(Last + 1));
  const std::string Upstream = Side.Upstream;
  schedule(networkDelay(), [this, &Entry, C, Serial, Upstream, Message] {
    if (!C || C->Silent || C->Serial != Serial ||
        Entry.Connections[Upstream] != C)
      return; // The connection has been replaced.
    entry::Actions Out;
    Entry.Machine->onEnvelope(now(Entry.WallOffset), Upstream, Message, Out);
    perform(Entry, Out);
  });
}

void Simulation::perform(EntryNode &Entry, entry::Actions &Out) {
  for (entry::Action &A : Out) {
    if (auto *Send = std::get_if<entry::SendToSide>(&A)) {
      sendToSide(Entry, Send->Upstream, Send->Message);
    } else if (auto *Reset = std::get_if<entry::ResetConnection>(&A)) {
      const auto Previous = Entry.Connections[Reset->Upstream];
      auto Replacement = std::make_shared<Connection>();
      Replacement->Serial = Previous ? Previous->Serial + 1 : 1;
      Entry.Connections[Reset->Upstream] = Replacement;
    } else if (auto *Data = std::get_if<entry::DeliverData>(&A)) {
      Submissions.at(Data->RequestId).Received += Data->Bytes;
    } else if (auto *Answer = std::get_if<entry::DeliverFullAnswer>(&A)) {
      Submissions.at(Answer->RequestId).Received = Answer->Body;
      endRequest(Answer->RequestId, Outcome::Ran, Answer->Status == 200,
                 Code::None);
    } else if (auto *Done = std::get_if<entry::DeliverEnd>(&A)) {
      endRequest(Done->RequestId, Outcome::Ran, true, Code::None);
    } else if (auto *Failed = std::get_if<entry::DeliverError>(&A)) {
      endRequest(Failed->RequestId, Failed->Known, false, Failed->Why);
    }
  }
}

void Simulation::endRequest(const std::string &Id, Outcome Reported,
                            bool Complete, Code Error) {
  Submission &Submitted = Submissions.at(Id);
  if (Submitted.Ended)
    reportViolation("request " + Id + " ended twice");
  Submitted.Ended = true;
  ++Ended;
  const bool Order = !Submitted.Key.empty();
  if (Clock > Submitted.Deadline + 2 * TickInterval)
    reportViolation("request " + Id + " ended after its deadline");
  if (Complete) {
    ++(Order ? OrdersAnswered : Answered);
    const std::string Expected =
        Order ? "done " + Submitted.Key : Submitted.Tag + "|";
    const std::string Foreign = Order ? "done " : "|";
    if (Submitted.Received.find(Expected) == std::string::npos)
      reportViolation("request " + Id + " received another request's answer: " +
                      Submitted.Received);
    if (!Order && Submitted.Received.find("\"" + Submitted.Model + "\"") ==
                      std::string::npos)
      reportViolation("request " + Id + " was answered by another adapter");
  }
  if (Reported != Outcome::NotRun)
    return;
  if (!Order && CompletionRuns[Submitted.Tag] > 0)
    reportViolation("request " + Id +
                    " was reported as not run but ran, code " +
                    std::string(codeName(Error)));
  if (Order && KeyRuns[Submitted.Key] > 0)
    reportViolation("key " + Submitted.Key +
                    " was reported as not run but ran, code " +
                    std::string(codeName(Error)));
  if (Order)
    ReportedNotRun[Submitted.Key] = Clock;
  else
    ReportedNotRun["tag " + Submitted.Tag] = Clock;
}

void Simulation::injectFaults() {
  const auto Hit = [&](Fault F, double PerSecond) {
    return (Options.Faults & F) && chance(PerSecond * seconds(TickInterval));
  };
  for (auto &Entry : Entries)
    for (auto &[Name, C] : Entry->Connections)
      if (Hit(SilentConnections, 0.1))
        C->Silent = true;
  for (auto &Side : Sides) {
    if (Side->IsEngine && Side->Fake.DownUntil <= Clock &&
        Hit(EngineCrashes, 0.05))
      crashEngine(*Side);
    if (Side->IsEngine && Hit(SilentEngines, 0.02))
      Side->Fake.SilentUntil = Clock + randomUpTo(std::chrono::seconds(2));
    if (Hit(SidePauses, 0.1))
      Side->PausedUntil = Clock + randomUpTo(std::chrono::seconds(6));
    if (!Hit(SideRestarts, 0.05))
      continue;
    ++Side->RestartCount;
    Side->PausedUntil = Duration{};
    Side->RenewalInProgress = false;
    Side->Fake.Runs.clear(); // The restart closes the connections of all runs.
    startSide(*Side);
  }
  if (OutageUntil <= Clock && Hit(PlatformOutages, 0.1))
    OutageUntil = Clock + randomUpTo(std::chrono::seconds(6));
}

void Simulation::submit(size_t EntryIndex, entry::CallerRequest Request,
                        Submission Submitted) {
  EntryNode &Entry = *Entries[EntryIndex];
  Request.Id = "r" + std::to_string(++LastId);
  Request.Application = "app";
  Submitted.Sent = Clock;
  const bool Bulk = Request.Rank == "bulk";
  Submitted.Deadline =
      Clock + (Bulk ? std::chrono::seconds(10) : std::chrono::seconds(5));
  Submissions[Request.Id] = Submitted;
  entry::Actions Out;
  Entry.Machine->onRequest(now(Entry.WallOffset), std::move(Request), Out);
  perform(Entry, Out);
}

void Simulation::sendCompletion() {
  entry::CallerRequest Request;
  // The popularity of an adapter is inversely proportional to the square root
  // of its number.
  const double Draw = Rand.unit();
  Request.Adapter = "a" + std::to_string(static_cast<size_t>(
                              Draw * Draw * static_cast<double>(AdapterCount)));
  Request.Version = "1";
  Request.Rank = chance(0.5) ? "urgent" : "bulk";
  Request.Method = "POST";
  Request.Path = "/v1/completions";
  Request.Stream = true;
  Request.MaxTokens = 40;
  Submission Submitted;
  const bool Poison = (Options.Faults & PoisonRequests) && chance(0.02);
  Submitted.Tag = Poison ? "poison" : "t" + std::to_string(LastId);
  if (Poison)
    Request.Adapter = "a0";
  Submitted.Model = slotKey(Request.Adapter, Request.Version);
  Request.Body = Submitted.Model + " " + Submitted.Tag;
  // All poison requests have the tag "poison" in their bodies, so a run cannot
  // be attributed to one of them. A distinct tag in each submission exempts it
  // from the check that completions reported as not run did not run.
  if (Poison)
    Submitted.Tag = "poison" + std::to_string(LastId);
  submit(Rand.below(EntryCount), std::move(Request), std::move(Submitted));
}

void Simulation::sendOrder(const std::string &Key, int64_t IssuedMs) {
  entry::CallerRequest Request;
  Request.Method = "POST";
  Request.Path = "/orders";
  Request.Body = Key;
  Request.Key = Key;
  Request.KeyIssuedMs = IssuedMs;
  Submission Submitted;
  Submitted.Key = Key;
  KeyLastSent[Key] = Clock;
  submit(Rand.below(EntryCount), std::move(Request), std::move(Submitted));
  if (Clock < Options.TrafficDuration && chance(0.4))
    schedule(randomUpTo(std::chrono::seconds(6)),
             [this, Key, IssuedMs] { sendOrder(Key, IssuedMs); });
}

size_t Simulation::ordersRun() const { return KeyRuns.size(); }

void Simulation::tick() {
  if (Clock < Options.TrafficDuration) {
    injectFaults();
    if (chance(0.1))
      sendCompletion();
    // A shard's first owner cannot tell whether a key issued before its
    // ownership has run, so orders start once all shards have owners.
    if (Clock > FirstOrderTime && chance(0.03))
      sendOrder("k" + std::to_string(++LastId),
                unixMillis(now(randomUpTo(MaxClockOffset)).Wall));
  }
  for (auto &Entry : Entries) {
    entry::Actions Out;
    Entry->Machine->onTimer(now(Entry->WallOffset), Out);
    perform(*Entry, Out);
  }
  for (auto &Side : Sides) {
    if (Side->PausedUntil > Clock)
      continue;
    side::Actions Out;
    Side->Machine->onTimer(now(Side->WallOffset), Out);
    perform(*Side, Out);
    if (Side->Lease)
      stepLease(*Side);
  }
}

void Simulation::run() {
  const Duration End =
      Options.TrafficDuration + LongestDeadline + std::chrono::seconds(8);
  for (Duration Next{}; Next < End; Next += TickInterval) {
    while (!Events.empty() && Events.begin()->first <= Next) {
      Clock = Events.begin()->first;
      const auto Do = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Do();
    }
    Clock = Next;
    tick();
  }
  for (const auto &[Id, Submitted] : Submissions)
    if (!Submitted.Ended)
      reportViolation("request " + Id + " has not ended");
  for (const auto &Entry : Entries)
    if (Entry->Machine->requestsInProgress() > 0)
      reportViolation("an entry still has requests in progress");
}

} // namespace goldcrestlink::testing
