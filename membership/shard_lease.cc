// Each renewal reads the table, changes it and writes it back on the condition
// that its version has not changed, so members never overwrite each other's
// changes. The cost of a renewal is linear in the number of members and shards.
// A member is removed when its renewal count has not changed for the length of
// a lease plus the margin, by this side's steady clock, or when the platform
// has listed it as gone for goneMargin().
#include "membership/shard_lease.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
constexpr Duration RetryInterval = std::chrono::milliseconds(200);
// For this long after the start, every declared side counts as a member, so
// that the first sides to start do not take the shards of the others.
constexpr Duration StartupPeriod = std::chrono::seconds(3);
// While some shards have no owner, the table is read and written at least this
// often.
constexpr Duration UnsettledInterval = std::chrono::milliseconds(500);
} // namespace

ShardLease::ShardLease(Options O, std::string Name, uint64_t ProcessIncarnation)
    : Limits(O), Side(std::move(Name)), Incarnation(ProcessIncarnation) {}

void ShardLease::onGone(Time Now, const std::set<std::string> &Gone) {
  std::erase_if(GoneSince,
                [&](const auto &Absent) { return !Gone.count(Absent.first); });
  for (const std::string &Name : Gone)
    GoneSince.try_emplace(Name, Now);
}

void ShardLease::onFailed(Time Now) { NextRenewal = Now + RetryInterval; }

bool ShardLease::expired(Time Now, const wire::ShardMember &Member) {
  if (Member.side() == Side && Member.incarnation() != Incarnation)
    return true; // Ended, since this process now has the side's address.
  const std::string Key =
      Member.side() + "/" + std::to_string(Member.incarnation());
  const auto [It, New] = ObservedRenewals.try_emplace(
      Key, ObservedRenewal{Member.renewals(), Now});
  if (!New && It->second.Renewals != Member.renewals())
    It->second = {Member.renewals(), Now};
  const auto Gone = GoneSince.find(Member.side());
  if (Gone != GoneSince.end() && Now - Gone->second >= Limits.goneMargin())
    return true;
  return Now - It->second.ObservedAt >= Limits.lease() + Limits.margin();
}

wire::ShardMember *ShardLease::ownMember(wire::ShardTable &Table) const {
  for (wire::ShardMember &Member : *Table.mutable_members())
    if (Member.side() == Side && Member.incarnation() == Incarnation)
      return &Member;
  return nullptr;
}

size_t ShardLease::shardQuota(Time Now, const wire::ShardTable &Table) const {
  size_t Members = static_cast<size_t>(Table.members_size());
  if (Now - Started < StartupPeriod)
    Members = std::max(Members, Limits.declaredMembers());
  return (Limits.shards() + Members - 1) / std::max<size_t>(Members, 1);
}

void ShardLease::plan(Time Now, wire::ShardTable &Table,
                      ShardChanges &Changes) {
  if (Started == Time{})
    Started = Now;
  auto &Members = *Table.mutable_members();
  for (int I = Members.size() - 1; I >= 0; --I) {
    const bool IsSelf =
        Members[I].side() == Side && Members[I].incarnation() == Incarnation;
    const bool Remove = IsSelf ? Releasing : expired(Now, Members[I]);
    if (Remove)
      Members.DeleteSubrange(I, 1);
  }
  if (Releasing) {
    Changes.EndLease = true;
    for (uint32_t Shard : Owned)
      Changes.Drop.push_back(Shard);
    Owned.clear();
    return;
  }
  if (!ownMember(Table)) {
    // A new member, or one that others removed after its lease expired.
    Changes.EndLease = true;
    for (uint32_t Shard : Owned)
      Changes.Drop.push_back(Shard);
    Owned.clear();
    wire::ShardMember &Member = *Members.Add();
    Member.set_side(Side);
    Member.set_incarnation(Incarnation);
  }
  wire::ShardMember &Own = *ownMember(Table);
  Own.set_renewals(++Renewals);
  std::set<uint32_t> Free;
  for (uint32_t I = 0; I < Limits.shards(); ++I)
    Free.insert(I);
  bool OthersBelowQuota = false;
  const size_t Quota = shardQuota(Now, Table);
  for (const wire::ShardMember &Member : Members) {
    for (const wire::ShardGrant &Grant : Member.shards())
      Free.erase(Grant.shard());
    OthersBelowQuota |= &Member != &Own &&
                        static_cast<size_t>(Member.shards_size()) + 1 < Quota;
  }
  auto &OwnShards = *Own.mutable_shards();
  while (!Free.empty() && static_cast<size_t>(OwnShards.size()) < Quota) {
    wire::ShardGrant &Grant = *OwnShards.Add();
    Grant.set_shard(*Free.begin());
    Table.set_last_fencing_number(Table.last_fencing_number() + 1);
    Grant.set_fencing_number(Table.last_fencing_number());
    Free.erase(Free.begin());
  }
  while (OthersBelowQuota && static_cast<size_t>(OwnShards.size()) > Quota) {
    const uint32_t Shard = OwnShards[OwnShards.size() - 1].shard();
    OwnShards.RemoveLast();
    if (Owned.erase(Shard))
      Changes.Drop.push_back(Shard);
  }
}

void ShardLease::applyTable(const wire::ShardTable &Table,
                            ShardChanges &Changes) {
  std::set<uint32_t> OwnShards;
  for (const wire::ShardMember &Member : Table.members())
    for (const wire::ShardGrant &Grant : Member.shards()) {
      Changes.Owners[Grant.shard()] = Member.side();
      if (Member.side() != Side || Member.incarnation() != Incarnation)
        continue;
      OwnShards.insert(Grant.shard());
      if (!Owned.count(Grant.shard()))
        Changes.Take.push_back({Grant.shard(), Grant.fencing_number()});
    }
  for (uint32_t Shard : Owned)
    if (!OwnShards.count(Shard))
      Changes.Drop.push_back(Shard);
  Owned = std::move(OwnShards);
}

void ShardLease::onWritten(Time SentAt, Time Now, const wire::ShardTable &Table,
                           ShardChanges &Changes) {
  applyTable(Table, Changes);
  if (Releasing) {
    Released = true;
    return;
  }
  Changes.LeaseUntil = SentAt + Limits.lease();
  size_t Granted = 0;
  for (const wire::ShardMember &Member : Table.members())
    Granted += static_cast<size_t>(Member.shards_size());
  const bool AllGranted = Granted >= Limits.shards();
  NextRenewal =
      Now + (AllGranted ? Limits.renewEvery()
                        : std::min(UnsettledInterval, Limits.renewEvery()));
}

void ShardLease::release() {
  Releasing = true;
  NextRenewal = Time{};
}

} // namespace goldcrestlink
