// Runs a ShardLease against the platform, on the control thread: reads the
// table, plans, writes it conditionally, and reports the effects.
#ifndef GOLDCRESTLINK_DAEMON_SHARD_KEEPER_H
#define GOLDCRESTLINK_DAEMON_SHARD_KEEPER_H

#include <functional>
#include <set>
#include <string>

#include "membership/shard_lease.h"
#include "platform/object_client.h"

namespace goldcrestlink {

/// Not thread-safe.
class ShardKeeper {
public:
  using OnEffects = std::function<void(ShardEffects)>;
  /// \p Object is the table's name on the platform.
  ShardKeeper(ObjectClient &Platform, std::string Object, ShardLease Lease,
              OnEffects Report);
  /// To be called several times a second.
  void step(Time N);
  void onGone(Time N, const std::set<std::string> &Gone) {
    Lease.onGone(N, Gone);
  }
  void release() { Lease.release(); }
  bool released() const { return Lease.released(); }

private:
  void onRead(ObjectStatus Status, const ObjectValue &Value);

  ObjectClient &Platform;
  std::string Object;
  ShardLease Lease;
  OnEffects Report;
  bool Busy = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_SHARD_KEEPER_H
