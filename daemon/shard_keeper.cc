// One platform call at a time. A write whose answer is lost counts as failed:
// the next read shows what it did, and the lease is never longer than what an
// answered write allows.
#include "daemon/shard_keeper.h"

namespace goldcrestlink {

ShardKeeper::ShardKeeper(ObjectClient &Client, std::string Name,
                         ShardLease TheLease, OnEffects OnReport)
    : Platform(Client), Object(std::move(Name)), Lease(std::move(TheLease)),
      Report(std::move(OnReport)) {}

void ShardKeeper::step(Time N) {
  if (Busy || !Lease.due(N) || Lease.released())
    return;
  Busy = true;
  Platform.read(Object, [this](ObjectStatus Status, const ObjectValue &Value) {
    onRead(Status, Value);
  });
}

void ShardKeeper::onRead(ObjectStatus Status, const ObjectValue &Value) {
  const Time ReadAt = presentTime().Steady;
  wire::ShardTable Table;
  const bool Readable =
      Status == ObjectStatus::NotFound ||
      (Status == ObjectStatus::Ok && Table.ParseFromString(Value.Body));
  if (!Readable) {
    Busy = false;
    return Lease.onFailed(ReadAt);
  }
  ShardEffects Before;
  Lease.plan(ReadAt, Table, Before);
  Report(std::move(Before));
  const uint64_t Version = Status == ObjectStatus::Ok ? Value.Version : 0;
  const Time SentAt = presentTime().Steady;
  Platform.put(
      Object, Version, Table.SerializeAsString(),
      [this, Table, SentAt](ObjectStatus Written, const ObjectValue &) {
        Busy = false;
        const Time N = presentTime().Steady;
        if (Written != ObjectStatus::Ok)
          return Lease.onFailed(N);
        ShardEffects After;
        Lease.onWritten(SentAt, N, Table, After);
        Report(std::move(After));
      });
}

} // namespace goldcrestlink
