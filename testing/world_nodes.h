// The nodes of a World: sides with the engine beside them, entries, and what
// callers have submitted. For the World's own sources only.
//
//   World::SideNode &S = *Sides.front();
//   S.Fake.Runs.size();
#ifndef GOLDCRESTLINK_TESTING_WORLD_NODES_H
#define GOLDCRESTLINK_TESTING_WORLD_NODES_H

#include "testing/world.h"

namespace goldcrestlink::testing {

constexpr size_t WorldSlotCount = 3;

// What the engine beside a side holds and runs.
struct World::FakeEngine {
  struct Running {
    std::string Tag;
    size_t Slot = 0;
    bool Poison = false;
  };
  std::vector<std::string> Slots = std::vector<std::string>(WorldSlotCount);
  std::map<std::string, Running> Runs;
  uint64_t Life = 0;
  Duration DownUntil{};
  Duration MuteUntil{};
};

struct World::Channel {
  uint64_t Serial = 0;
  bool Silent = false;
};

struct World::SideNode {
  std::string Upstream;
  bool Engine = true;
  std::unique_ptr<side::SideMachine> Machine;
  std::unique_ptr<ShardLease> Lease;
  FakeEngine Fake;
  Duration WallOffset{};
  Duration PausedUntil{};
  uint64_t Life = 0;
  bool LeaseBusy = false;
};

struct World::EntryNode {
  size_t Index = 0;
  std::unique_ptr<entry::EntryMachine> Machine;
  Duration WallOffset{};
  std::map<std::string, std::shared_ptr<Channel>> Channels;
};

struct World::Submission {
  std::string Tag;
  std::string Key;
  std::string Model;
  std::string Received;
  Duration Sent{};
  Duration Deadline{};
  bool Ended = false;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_WORLD_NODES_H
