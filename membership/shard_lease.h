// One side's membership in the shard table of a plain service. The platform
// stores the table; it assigns the shards of the service's idempotency keys to
// sides. This side holds a lease on its shards and renews it, takes the shards
// of members whose lease expired, and gives up shards that other members lack.
// A state machine without I/O; the I/O layer makes one platform call at a time.
//
//   ShardLease Lease(ShardLease::Options(), "ledger-1", Incarnation);
//   if (Lease.renewalDue(Now)) {
//     wire::ShardTable Table = read();
//     Lease.plan(Now, Table, Changes);
//     apply(Changes);
//     const Time SentAt = currentTime().Steady;
//     if (writeIfUnchanged(Table))
//       Lease.onWritten(SentAt, Now, Table, Changes);
//   }
//
// The holder counts its lease from before the write is sent; other members
// count it from after they read the renewal, and add margin(). When they regard
// a lease as expired, it has therefore ended for its holder too. This holds
// whatever time the clocks show, as long as their rates differ by no more than
// margin() over a lease.
#ifndef GOLDCRESTLINK_MEMBERSHIP_SHARD_LEASE_H
#define GOLDCRESTLINK_MEMBERSHIP_SHARD_LEASE_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

/// Changes that the I/O layer applies to the key ledger.
struct ShardChanges {
  struct Taken {
    uint32_t Shard;
    uint64_t FencingNumber;
  };
  std::vector<Taken> Take;
  std::vector<uint32_t> Drop;
  std::optional<Time> LeaseUntil;
  bool EndLease = false;
  std::unordered_map<uint32_t, std::string> Owners;
};

/// Not thread-safe.
class ShardLease {
public:
  class Options {
  public:
    Duration lease() const { return Lease; }
    Duration margin() const { return Lease / 10 + MinMargin; }
    Duration renewEvery() const { return Lease / 4; }
    uint32_t shards() const { return Shards; }
    size_t declaredMembers() const { return DeclaredMembers; }
    Duration goneMargin() const { return GoneMargin; }
    Options &setLease(Duration Value) {
      Lease = Value;
      return *this;
    }
    Options &setShards(uint32_t Value) {
      Shards = Value;
      return *this;
    }
    /// Number of declared sides of the service. Limits the shards taken shortly
    /// after the start, when other sides may not have joined the table yet.
    Options &setDeclaredMembers(size_t Value) {
      DeclaredMembers = Value;
      return *this;
    }
    /// How long the platform must list a member as gone before its shards are
    /// taken without waiting for the end of its lease.
    Options &setGoneMargin(Duration Value) {
      GoneMargin = Value;
      return *this;
    }

  private:
    Duration Lease = std::chrono::seconds(60);
    Duration MinMargin = std::chrono::milliseconds(100);
    Duration GoneMargin = std::chrono::seconds(5);
    uint32_t Shards = 16;
    size_t DeclaredMembers = 1;
  };

  /// \p Incarnation distinguishes this process from earlier ones of the side.
  ShardLease(Options O, std::string Side, uint64_t Incarnation);

  /// True when the table has to be read and written again.
  bool renewalDue(Time Now) const { return Now >= NextRenewal; }
  /// The platform listed the upstreams in \p Gone as gone. Replaces the list of
  /// the previous call.
  void onGone(Time Now, const std::set<std::string> &Gone);
  /// A platform call failed; schedules a retry.
  void onFailed(Time Now);
  /// Changes \p Table, as read, to the table that this side has to write.
  /// Shards that it gives up are added to \p Changes.Drop and must be dropped
  /// before the write, so that no two sides own a shard at once.
  void plan(Time Now, wire::ShardTable &Table, ShardChanges &Changes);
  /// \p Table was written by a platform call that was sent at \p SentAt.
  void onWritten(Time SentAt, Time Now, const wire::ShardTable &Table,
                 ShardChanges &Changes);
  /// Makes the next plan() give up all shards and the membership.
  void release();
  /// True once a table without this side was written after release().
  bool released() const { return Released; }

private:
  struct ObservedRenewal {
    uint64_t Renewals = 0;
    Time ObservedAt;
  };

  /// True if the member no longer runs, or if its lease has ended for the
  /// member as well. Called for every other member of each table read, because
  /// it records renewals.
  bool expired(Time Now, const wire::ShardMember &Member);
  void applyTable(const wire::ShardTable &Table, ShardChanges &Changes);
  wire::ShardMember *ownMember(wire::ShardTable &Table) const;
  size_t shardQuota(Time Now, const wire::ShardTable &Table) const;

  Options Limits;
  std::string Side;
  uint64_t Incarnation;
  std::map<std::string, ObservedRenewal> ObservedRenewals;
  std::map<std::string, Time> GoneSince;
  std::set<uint32_t> Owned;
  uint64_t Renewals = 0;
  Time Started{};
  Time NextRenewal{};
  bool Releasing = false;
  bool Released = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_MEMBERSHIP_SHARD_LEASE_H
