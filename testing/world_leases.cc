// How a World's sides renew their leases on shards: one read, plan and
// conditional write, each with a delay in which anything may happen.
#include "testing/world.h"

#include "testing/world_nodes.h"

namespace goldcrestlink::testing {

void World::applyShards(SideNode &S, const ShardEffects &Effects) {
  if (Effects.EndLease)
    S.Machine->endLease();
  for (uint32_t Shard : Effects.Drop)
    S.Machine->dropShard(Shard);
  for (const auto &T : Effects.Take)
    S.Machine->takeShard(now(S.WallOffset), T.Shard, T.FencingNumber);
  if (Effects.LeaseUntil)
    S.Machine->extendLease(*Effects.LeaseUntil);
  if (!Effects.Owners.empty())
    S.Machine->setShardOwners(Effects.Owners);
}

// One read, plan and conditional write, each with a delay in which anything
// may happen.
void World::stepLease(SideNode &S) {
  if (S.LeaseBusy || !S.Lease->due(now({}).Steady))
    return;
  S.LeaseBusy = true;
  const uint64_t Life = S.Life;
  const auto Resumed = [this, &S, Life](auto Do) {
    const Duration Wait = std::max(Duration(0), S.PausedUntil - Clock);
    at(networkDelay() + Wait, [&S, Life, Do] {
      if (S.Life == Life)
        Do();
    });
  };
  Resumed([this, &S, Resumed] {
    if (OutageUntil > Clock) {
      S.LeaseBusy = false;
      return S.Lease->onFailed(now({}).Steady);
    }
    const uint64_t Version = TableVersion;
    wire::ShardTable Read;
    Read.ParseFromString(Table);
    Resumed([this, &S, Resumed, Version, Read] {
      wire::ShardTable Wanted = Read;
      ShardEffects Before;
      S.Lease->plan(now({}).Steady, Wanted, Before);
      applyShards(S, Before);
      const Time SentAt = now({}).Steady;
      // The write takes effect at the platform whether or not the side is
      // paused then.
      at(networkDelay(), [this, &S, Resumed, Version, Wanted, SentAt] {
        const bool Took = OutageUntil <= Clock && Version == TableVersion;
        const bool Lost = (O.Faults & LostAnswers) && chance(0.2);
        if (Took) {
          Table = Wanted.SerializeAsString();
          ++TableVersion;
        }
        Resumed([this, &S, Took, Lost, Wanted, SentAt] {
          S.LeaseBusy = false;
          if (!Took || Lost)
            return S.Lease->onFailed(now({}).Steady);
          ShardEffects After;
          S.Lease->onWritten(SentAt, now({}).Steady, Wanted, After);
          applyShards(S, After);
        });
      });
    });
  });
}

} // namespace goldcrestlink::testing
