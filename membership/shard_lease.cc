// Each renewal reads the table, changes it and writes it back on condition of
// its version, so members never overwrite each other. Work per renewal is
// linear in members and shards. A member is taken out when its renewal count
// has not moved for a lease and a margin, by this side's steady clock.
#include "membership/shard_lease.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
constexpr Duration RetryPause = std::chrono::milliseconds(200);
constexpr Duration JoinGrace = std::chrono::seconds(3);
// While shards have no owner, the table is looked at this often.
constexpr Duration UnsettledInterval = std::chrono::milliseconds(500);
} // namespace

ShardLease::ShardLease(Options O, std::string Name, uint64_t FromIncarnation)
    : Limits(O), Side(std::move(Name)), Incarnation(FromIncarnation) {}

void ShardLease::onGone(Time N, const std::set<std::string> &Gone) {
  std::erase_if(GoneSince, [&](const auto &G) { return !Gone.count(G.first); });
  for (const std::string &Name : Gone)
    GoneSince.try_emplace(Name, N);
}

void ShardLease::onFailed(Time N) { NextRenewal = N + RetryPause; }

bool ShardLease::lapsed(Time N, const wire::ShardMember &M) {
  if (M.side() == Side && M.incarnation() != Incarnation)
    return true; // This process holds the old one's address: it is gone.
  const std::string Key = M.side() + "/" + std::to_string(M.incarnation());
  const auto [It, New] = Seen.try_emplace(Key, Sighting{M.renewals(), N});
  if (!New && It->second.Renewals != M.renewals())
    It->second = {M.renewals(), N};
  const auto Gone = GoneSince.find(M.side());
  if (Gone != GoneSince.end() && N - Gone->second >= Limits.goneMargin())
    return true;
  return N - It->second.Since >= Limits.lease() + Limits.margin();
}

wire::ShardMember *ShardLease::self(wire::ShardTable &Table) const {
  for (wire::ShardMember &M : *Table.mutable_members())
    if (M.side() == Side && M.incarnation() == Incarnation)
      return &M;
  return nullptr;
}

size_t ShardLease::quota(Time N, const wire::ShardTable &Table) const {
  size_t Members = static_cast<size_t>(Table.members_size());
  if (N - Started < JoinGrace)
    Members = std::max(Members, Limits.declaredMembers());
  return (Limits.shards() + Members - 1) / std::max<size_t>(Members, 1);
}

void ShardLease::plan(Time N, wire::ShardTable &Table, ShardEffects &Out) {
  if (Started == Time{})
    Started = N;
  auto &Members = *Table.mutable_members();
  for (int I = Members.size() - 1; I >= 0; --I) {
    const bool IsSelf =
        Members[I].side() == Side && Members[I].incarnation() == Incarnation;
    const bool Ends = IsSelf ? Releasing : lapsed(N, Members[I]);
    if (Ends)
      Members.DeleteSubrange(I, 1);
  }
  if (Releasing) {
    Out.EndLease = true;
    for (uint32_t Shard : Owned)
      Out.Drop.push_back(Shard);
    Owned.clear();
    return;
  }
  if (!self(Table)) {
    // New, or taken out by others after the lease lapsed.
    Out.EndLease = true;
    for (uint32_t Shard : Owned)
      Out.Drop.push_back(Shard);
    Owned.clear();
    wire::ShardMember &M = *Members.Add();
    M.set_side(Side);
    M.set_incarnation(Incarnation);
  }
  wire::ShardMember &Me = *self(Table);
  Me.set_renewals(++Renewals);
  std::set<uint32_t> Free;
  for (uint32_t I = 0; I < Limits.shards(); ++I)
    Free.insert(I);
  bool OthersLack = false;
  const size_t Quota = quota(N, Table);
  for (const wire::ShardMember &M : Members) {
    for (const wire::ShardGrant &G : M.shards())
      Free.erase(G.shard());
    OthersLack |= &M != &Me && static_cast<size_t>(M.shards_size()) + 1 < Quota;
  }
  auto &Mine = *Me.mutable_shards();
  while (!Free.empty() && static_cast<size_t>(Mine.size()) < Quota) {
    wire::ShardGrant &G = *Mine.Add();
    G.set_shard(*Free.begin());
    Table.set_last_fencing_number(Table.last_fencing_number() + 1);
    G.set_fencing_number(Table.last_fencing_number());
    Free.erase(Free.begin());
  }
  while (OthersLack && static_cast<size_t>(Mine.size()) > Quota) {
    const uint32_t Shard = Mine[Mine.size() - 1].shard();
    Mine.RemoveLast();
    if (Owned.erase(Shard))
      Out.Drop.push_back(Shard);
  }
}

void ShardLease::adopt(const wire::ShardTable &Table, ShardEffects &Out) {
  std::set<uint32_t> Mine;
  for (const wire::ShardMember &M : Table.members())
    for (const wire::ShardGrant &G : M.shards()) {
      Out.Owners[G.shard()] = M.side();
      if (M.side() != Side || M.incarnation() != Incarnation)
        continue;
      Mine.insert(G.shard());
      if (!Owned.count(G.shard()))
        Out.Take.push_back({G.shard(), G.fencing_number()});
    }
  for (uint32_t Shard : Owned)
    if (!Mine.count(Shard))
      Out.Drop.push_back(Shard);
  Owned = std::move(Mine);
}

void ShardLease::onWritten(Time SentAt, Time N, const wire::ShardTable &Table,
                           ShardEffects &Out) {
  adopt(Table, Out);
  if (Releasing) {
    Released = true;
    return;
  }
  Out.LeaseUntil = SentAt + Limits.lease();
  size_t Granted = 0;
  for (const wire::ShardMember &M : Table.members())
    Granted += static_cast<size_t>(M.shards_size());
  const bool Settled = Granted >= Limits.shards();
  NextRenewal =
      N + (Settled ? Limits.renewEvery()
                   : std::min(UnsettledInterval, Limits.renewEvery()));
}

void ShardLease::release() {
  Releasing = true;
  NextRenewal = Time{};
}

} // namespace goldcrestlink
