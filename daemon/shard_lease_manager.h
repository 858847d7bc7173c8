// Acquires and renews the shard leases of one service on the control thread:
// reads the shard table from the platform, has ShardLease plan the changes,
// writes the table conditionally, and reports the effects.
//
//   ShardLeaseManager Leases(Platform, TableName, std::move(Lease), OnEffects);
//   Leases.step(Now);                  // several times a second
#ifndef GOLDCRESTLINK_DAEMON_SHARD_LEASE_MANAGER_H
#define GOLDCRESTLINK_DAEMON_SHARD_LEASE_MANAGER_H

#include <functional>
#include <set>
#include <string>

#include "membership/shard_lease.h"
#include "platform/object_client.h"

namespace goldcrestlink {

/// Not thread-safe.
class ShardLeaseManager {
public:
  using OnEffects = std::function<void(ShardChanges)>;
  /// \p TableName is the name of the shard table's object on the platform.
  ShardLeaseManager(ObjectClient &Platform, std::string TableName,
                    ShardLease Lease, OnEffects ReportEffects);
  /// Starts a round if one is due. To be called several times a second.
  void step(Time Now);
  /// The named upstreams have left the list of instances.
  void onGone(Time Now, const std::set<std::string> &Gone) {
    Lease.onGone(Now, Gone);
  }
  /// Releases all shards; released() tells when this is done.
  void release() { Lease.release(); }
  bool released() const { return Lease.released(); }

private:
  void onRead(ObjectStatus Status, const ObjectValue &Value);

  ObjectClient &Platform;
  std::string TableName;
  ShardLease Lease;
  OnEffects ReportEffects;
  bool CallPending = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_SHARD_LEASE_MANAGER_H
