// A deterministic simulation that runs the real entry and side state machines
// against a simulated network, fake upstreams and a fake platform, and injects
// faults drawn from a seed. A test oracle records what the upstreams executed
// and checks every guarantee of the protocol against that record.
//
//   Simulation Sim(SimulationOptions{.Seed = 7, .Faults = AllFaults});
//   Sim.run();
//   CHECK(Sim.violations().empty());
#ifndef GOLDCRESTLINK_TESTING_SIMULATION_H
#define GOLDCRESTLINK_TESTING_SIMULATION_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "entry/entry_state_machine.h"
#include "membership/shard_lease.h"
#include "side/side_state_machine.h"

namespace goldcrestlink::testing {

/// Kinds of injected faults, combined as a bit mask.
enum Fault : unsigned {
  NoFaults = 0,
  Delays = 1,
  Duplicates = 2,
  /// A connection between an entry and a side loses all further messages.
  SilentConnections = 4,
  EngineCrashes = 8,
  SidePauses = 16,
  SideRestarts = 32,
  PlatformOutages = 64,
  /// A write to the platform takes effect, but its response is lost.
  LostAnswers = 128,
  FailingLoads = 256,
  /// Requests that crash every engine that runs them.
  PoisonRequests = 512,
  /// An engine stays up but does not answer for a while.
  SilentEngines = 1024,
  /// An engine answers with the response of another request.
  SwappedAnswers = 2048,
  /// Messages between sides are dropped.
  LostSideMessages = 4096,
  AllFaults = 8191
};

struct SimulationOptions {
  uint64_t Seed = 1;
  unsigned Faults = AllFaults;
  /// Simulated time during which callers send requests. The simulation then
  /// continues past the longest deadline, so that every request can end.
  Duration TrafficDuration = std::chrono::seconds(15);
  side::SideStateMachine::Options Side;
  entry::EntryStateMachine::Options Entry;
};

/// Not thread-safe.
class Simulation {
public:
  explicit Simulation(SimulationOptions Options);
  ~Simulation();
  /// Runs the simulation to its end. Call it once.
  void run();

  /// Violated guarantees, each with seed, simulated time and cause.
  const std::vector<std::string> &violations() const { return Violations; }
  size_t requestsEnded() const { return Ended; }
  /// Completions answered in full.
  size_t requestsAnswered() const { return Answered; }
  /// Idempotency keys that a service has executed at least once.
  size_t ordersRun() const;
  size_t ordersAnswered() const { return OrdersAnswered; }
  /// Engine crashes that poison requests caused.
  size_t poisonCrashes() const { return PoisonCrashes; }

private:
  struct FakeEngine;
  struct SideNode;
  struct EntryNode;
  struct Submission;
  struct Connection;

  /// Schedules \p Do to run \p Delay after the present simulated time.
  void schedule(Duration Delay, std::function<void()> Do);
  void tick();
  void injectFaults();
  CurrentTime now(Duration WallOffset) const;
  bool chance(double Probability);
  /// A random duration from zero to \p Max, both included.
  Duration randomUpTo(Duration Max);
  void reportViolation(const std::string &What);

  void sendCompletion();
  void sendOrder(const std::string &Key, int64_t IssuedMs);
  void submit(size_t EntryIndex, entry::CallerRequest Request,
              Submission Submitted);
  void perform(EntryNode &Entry, entry::Actions &Out);
  void perform(SideNode &Side, side::Actions &Out);
  void sendToSide(EntryNode &Entry, const std::string &Upstream,
                  const wire::Envelope &Message);
  void sendToPeer(SideNode &Side, const std::string &Peer,
                  const wire::Envelope &Message);
  void deliverToSide(SideNode &Side, const std::string &Peer,
                     const wire::Envelope &Message);
  void endRequest(const std::string &Id, Outcome Reported, bool Complete,
                  Code Error);
  void startSide(SideNode &Side);
  void startRun(SideNode &Side, const side::StartRun &Run);
  void startLoad(SideNode &Side, const side::LoadAdapter &Order);
  void startCheck(SideNode &Side);
  void crashEngine(SideNode &Side);
  void stepLease(SideNode &Side);
  void applyShards(SideNode &Side, const ShardChanges &Effects);
  SideNode *sideOf(const std::string &Upstream);
  Duration networkDelay();
  bool lostBetweenSides();

  SimulationOptions Options;
  Random Rand;
  /// Simulated time since the start.
  Duration Clock{};
  std::multimap<Duration, std::function<void()>> Events;
  std::shared_ptr<const Declarations> Config;
  std::vector<std::unique_ptr<SideNode>> Sides;
  std::vector<std::unique_ptr<EntryNode>> Entries;
  std::map<std::string, Submission> Submissions;
  /// How often an upstream has executed each completion (by tag) and each
  /// idempotency key.
  std::map<std::string, size_t> CompletionRuns;
  std::map<std::string, size_t> KeyRuns;
  /// When an entry last reported a request as not run, by idempotency key or,
  /// for a completion, by "tag " and its tag.
  std::map<std::string, Duration> ReportedNotRun;
  /// When a caller last sent each idempotency key.
  std::map<std::string, Duration> KeyLastSent;
  /// The shard table as stored at the platform, serialised.
  std::string StoredTable;
  uint64_t StoredTableVersion = 0;
  Duration OutageUntil{};
  std::vector<std::string> Violations;
  size_t LastId = 0;
  size_t Ended = 0;
  size_t Answered = 0;
  size_t OrdersAnswered = 0;
  size_t PoisonCrashes = 0;
  uint64_t LastIncarnation = 0;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_SIMULATION_H
