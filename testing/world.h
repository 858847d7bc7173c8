// The real entry and side state machines, joined by a simulated network to
// fake upstreams and a fake platform, under faults drawn from a seed. An
// oracle counts what really ran and checks every promise.
//
//   World W(WorldOptions{.Seed = 7, .Faults = AllFaults});
//   W.run();
//   CHECK(W.violations().empty());
#ifndef GOLDCRESTLINK_TESTING_WORLD_H
#define GOLDCRESTLINK_TESTING_WORLD_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "entry/entry_machine.h"
#include "membership/shard_lease.h"
#include "side/side_machine.h"

namespace goldcrestlink::testing {

/// Kinds of faults; combined as bits.
enum Fault : unsigned {
  NoFaults = 0,
  Delays = 1,
  Duplicates = 2,
  SilentConnections = 4,
  EngineCrashes = 8,
  SidePauses = 16,
  SideRestarts = 32,
  PlatformOutages = 64,
  LostAnswers = 128,
  FailingLoads = 256,
  PoisonRequests = 512,
  SilentEngines = 1024,
  CrossedAnswers = 2048,
  /// Messages between sides are lost.
  LostSideMessages = 4096,
  AllFaults = 8191
};

struct WorldOptions {
  uint64_t Seed = 1;
  unsigned Faults = AllFaults;
  /// Simulated time during which callers send; the world then runs on until
  /// every request has ended.
  Duration Busy = std::chrono::seconds(15);
  side::SideMachine::Options Side;
  entry::EntryMachine::Options Entry;
};

/// Not thread-safe.
class World {
public:
  explicit World(WorldOptions O);
  ~World();
  void run();

  /// Broken promises, each with what broke it.
  const std::vector<std::string> &violations() const { return Violations; }
  size_t requestsEnded() const { return Ended; }
  size_t requestsAnswered() const { return Answered; }
  size_t ordersRun() const;
  size_t ordersAnswered() const { return OrdersAnswered; }
  /// Engine crashes that the poisonous request caused.
  size_t poisonCrashes() const { return PoisonCrashes; }

private:
  struct FakeEngine;
  struct SideNode;
  struct EntryNode;
  struct Submission;
  struct Channel;

  void at(Duration Delay, std::function<void()> Do);
  void tick();
  void makeFaults();
  Now now(Duration WallOffset) const;
  bool chance(double Probability);
  Duration upTo(Duration Most);
  void violate(const std::string &What);

  void sendCompletion();
  void sendOrder(const std::string &Key, int64_t IssuedMs);
  void submit(size_t Entry, entry::CallerRequest R, Submission S);
  void perform(EntryNode &E, entry::Actions &Out);
  void perform(SideNode &S, side::Actions &Out);
  void toSide(EntryNode &E, const std::string &Upstream,
              const wire::Envelope &Message);
  void toPeer(SideNode &S, const std::string &Peer,
              const wire::Envelope &Message);
  void deliverToSide(SideNode &S, const std::string &Peer,
                     const wire::Envelope &Message);
  void end(const std::string &Id, Outcome Known, bool Whole, Code Why);
  void bootSide(SideNode &S);
  void startRun(SideNode &S, const side::StartRun &Run);
  void startLoad(SideNode &S, const side::LoadAdapter &Order);
  void startCheck(SideNode &S);
  void crashEngine(SideNode &S);
  void stepLease(SideNode &S);
  void applyShards(SideNode &S, const ShardEffects &Effects);
  SideNode *sideOf(const std::string &Upstream);
  Duration networkDelay();
  bool lostBetweenSides();

  WorldOptions O;
  Random Rand;
  Duration Clock{};
  std::multimap<Duration, std::function<void()>> Events;
  std::shared_ptr<const Declarations> Config;
  std::vector<std::unique_ptr<SideNode>> Sides;
  std::vector<std::unique_ptr<EntryNode>> Entries;
  std::map<std::string, Submission> Submissions;
  /// Runs of each completion by its tag, and of each key.
  std::map<std::string, size_t> CompletionRuns;
  std::map<std::string, size_t> KeyRuns;
  /// Keys that were reported as not run, and when a caller last sent them.
  std::map<std::string, Duration> KeyDenied;
  std::map<std::string, Duration> KeySent;
  std::string Table;
  uint64_t TableVersion = 0;
  Duration OutageUntil{};
  std::vector<std::string> Violations;
  size_t Counter = 0;
  size_t Ended = 0;
  size_t Answered = 0;
  size_t OrdersAnswered = 0;
  size_t PoisonCrashes = 0;
  uint64_t Incarnations = 0;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_WORLD_H
