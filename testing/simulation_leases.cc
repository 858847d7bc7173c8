// How the sides of a Simulation renew their shard leases: a read, the planning
// and a conditional write. Each step follows a delay in which the side may
// pause or restart and the platform may fail.
#include "testing/simulation.h"

#include "testing/simulation_nodes.h"

namespace goldcrestlink::testing {

void Simulation::applyShards(SideNode &Side, const ShardChanges &Effects) {
  if (Effects.EndLease)
    Side.Machine->endLease();
  for (uint32_t Shard : Effects.Drop)
    Side.Machine->dropShard(Shard);
  for (const auto &T : Effects.Take)
    Side.Machine->takeShard(now(Side.WallOffset), T.Shard, T.FencingNumber);
  if (Effects.LeaseUntil)
    Side.Machine->extendLease(*Effects.LeaseUntil);
  if (!Effects.Owners.empty())
    Side.Machine->setShardOwners(Effects.Owners);
}

// Starts one renewal if it is due and none is in progress.
void Simulation::stepLease(SideNode &Side) {
  if (Side.RenewalInProgress || !Side.Lease->renewalDue(now({}).Steady))
    return;
  Side.RenewalInProgress = true;
  const uint64_t RestartCount = Side.RestartCount;
  const auto WhenResumed = [this, &Side, RestartCount](auto Do) {
    const Duration Wait = std::max(Duration(0), Side.PausedUntil - Clock);
    schedule(networkDelay() + Wait, [&Side, RestartCount, Do] {
      if (Side.RestartCount == RestartCount)
        Do();
    });
  };
  WhenResumed([this, &Side, WhenResumed] {
    if (OutageUntil > Clock) {
      Side.RenewalInProgress = false;
      return Side.Lease->onFailed(now({}).Steady);
    }
    const uint64_t Version = StoredTableVersion;
    wire::ShardTable Read;
    Read.ParseFromString(StoredTable);
    WhenResumed([this, &Side, WhenResumed, Version, Read] {
      wire::ShardTable Wanted = Read;
      ShardChanges Before;
      Side.Lease->plan(now({}).Steady, Wanted, Before);
      applyShards(Side, Before);
      const Time SentAt = now({}).Steady;
      // The platform applies the write even if the side is paused by then.
      schedule(networkDelay(), [this, &Side, WhenResumed, Version, Wanted,
                                SentAt] {
        const bool Applied =
            OutageUntil <= Clock && Version == StoredTableVersion;
        const bool ResponseLost = (Options.Faults & LostAnswers) && chance(0.2);
        if (Applied) {
          StoredTable = Wanted.SerializeAsString();
          ++StoredTableVersion;
        }
        WhenResumed([this, &Side, Applied, ResponseLost, Wanted, SentAt] {
          Side.RenewalInProgress = false;
          if (!Applied || ResponseLost)
            return Side.Lease->onFailed(now({}).Steady);
          ShardChanges After;
          Side.Lease->onWritten(SentAt, now({}).Steady, Wanted, After);
          applyShards(Side, After);
        });
      });
    });
  });
}

} // namespace goldcrestlink::testing
