// One side's part in sharing out the keys of a plain service: holds a lease on
// shards in a table kept by the platform, renews it, takes over the shards of
// members whose lease lapsed, and gives up shards that others lack. A state
// machine without I/O; its shell does one platform call at a time.
//
//   ShardLease L(ShardLease::Options(), "ledger-1", Incarnation);
//   if (L.due(Now)) read table, then
//   auto Write = L.plan(Now, Table, Effects); put it conditionally, then
//   L.onWritten(SentAt, Now, Table, Effects)   // only if it succeeded
//
// A lease counts from before its write was sent; others count from after they
// saw it. So a lease that others take for lapsed has ended for its holder,
// whatever the clocks show, as long as they run at the same speed within
// Margin.
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

/// What the lease's shell passes on to the key ledger.
struct ShardEffects {
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
    Options &setLease(Duration D) {
      Lease = D;
      return *this;
    }
    Options &setShards(uint32_t N) {
      Shards = N;
      return *this;
    }
    /// Sides of the service by declaration, for a fair first share.
    Options &setDeclaredMembers(size_t N) {
      DeclaredMembers = N;
      return *this;
    }
    /// How long the platform must list a member as gone before its lease is
    /// ended early.
    Options &setGoneMargin(Duration D) {
      GoneMargin = D;
      return *this;
    }

  private:
    Duration Lease = std::chrono::seconds(60);
    Duration MinMargin = std::chrono::milliseconds(100);
    Duration GoneMargin = std::chrono::seconds(5);
    uint32_t Shards = 16;
    size_t DeclaredMembers = 1;
  };

  ShardLease(Options O, std::string Side, uint64_t Incarnation);

  /// True when the table should be read and written again.
  bool due(Time N) const { return N >= NextRenewal; }
  /// The platform's list of upstreams that are gone.
  void onGone(Time N, const std::set<std::string> &Gone);
  /// A call failed: try again soon.
  void onFailed(Time N);
  /// Changes \p Table as read into what this side wants written. Shards that
  /// it gives up are dropped at once, before the write.
  void plan(Time N, wire::ShardTable &Table, ShardEffects &Out);
  /// \p Table was written by a call that was sent at \p SentAt.
  void onWritten(Time SentAt, Time N, const wire::ShardTable &Table,
                 ShardEffects &Out);
  /// Gives up all shards with the next write.
  void release();
  /// True once a write without this side has succeeded after release().
  bool released() const { return Released; }

private:
  struct Sighting {
    uint64_t Renewals = 0;
    Time Since;
  };

  bool lapsed(Time N, const wire::ShardMember &M);
  void adopt(const wire::ShardTable &Table, ShardEffects &Out);
  wire::ShardMember *self(wire::ShardTable &Table) const;
  size_t quota(Time N, const wire::ShardTable &Table) const;

  Options Limits;
  std::string Side;
  uint64_t Incarnation;
  std::map<std::string, Sighting> Seen;
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
