// The nodes of a Simulation: the sides with their upstreams, the entries, and
// the requests that callers have sent. Internal to the sources of Simulation.
//
//   Simulation::SideNode &S = *Sides.front();
//   S.Fake.Runs.size();
#ifndef GOLDCRESTLINK_TESTING_SIMULATION_NODES_H
#define GOLDCRESTLINK_TESTING_SIMULATION_NODES_H

#include "testing/simulation.h"

namespace goldcrestlink::testing {

constexpr size_t EngineSlotCount = 3;

/// The engine of a side: the adapters that it holds, the requests that it runs,
/// and how long its present faults last.
struct Simulation::FakeEngine {
  struct Running {
    std::string Tag;
    size_t Slot = 0;
    bool Poison = false;
  };
  std::vector<std::string> Slots = std::vector<std::string>(EngineSlotCount);
  std::map<std::string, Running> Runs;
  uint64_t CrashCount = 0;
  Duration DownUntil{};
  Duration SilentUntil{};
};

/// A connection between an entry and a side.
struct Simulation::Connection {
  /// Incremented when the entry replaces the connection.
  uint64_t Serial = 0;
  /// Set by a fault: all further messages are lost.
  bool Silent = false;
};

struct Simulation::SideNode {
  std::string Upstream;
  bool IsEngine = true;
  std::unique_ptr<side::SideStateMachine> Machine;
  std::unique_ptr<ShardLease> Lease;
  FakeEngine Fake;
  Duration WallOffset{};
  Duration PausedUntil{};
  uint64_t RestartCount = 0;
  bool RenewalInProgress = false;
};

struct Simulation::EntryNode {
  size_t Index = 0;
  std::unique_ptr<entry::EntryStateMachine> Machine;
  Duration WallOffset{};
  std::map<std::string, std::shared_ptr<Connection>> Connections;
};

/// A request as sent by a caller, and the part of its answer received so far.
struct Simulation::Submission {
  /// Identifies a completion in the record of runs.
  std::string Tag;
  /// The idempotency key of an order; empty for a completion.
  std::string Key;
  std::string Model;
  std::string Received;
  Duration Sent{};
  Duration Deadline{};
  bool Ended = false;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_SIMULATION_NODES_H
