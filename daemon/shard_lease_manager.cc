// One platform call is open at a time. A write whose response is lost counts as
// failed: the next read shows whether it took effect, and the lease never lasts
// longer than the last acknowledged write allows.
#include "daemon/shard_lease_manager.h"

namespace goldcrestlink {

ShardLeaseManager::ShardLeaseManager(ObjectClient &Client,
                                     std::string InTableName,
                                     ShardLease InLease, OnEffects InReport)
    : Platform(Client), TableName(std::move(InTableName)),
      Lease(std::move(InLease)), ReportEffects(std::move(InReport)) {}

void ShardLeaseManager::step(Time Now) {
  if (CallPending || !Lease.renewalDue(Now) || Lease.released())
    return;
  CallPending = true;
  Platform.read(TableName,
                [this](ObjectStatus Status, const ObjectValue &Value) {
                  onRead(Status, Value);
                });
}

void ShardLeaseManager::onRead(ObjectStatus Status, const ObjectValue &Value) {
  const Time ReadAt = currentTime().Steady;
  wire::ShardTable Table;
  const bool Readable =
      Status == ObjectStatus::NotFound ||
      (Status == ObjectStatus::Ok && Table.ParseFromString(Value.Body));
  if (!Readable) {
    CallPending = false;
    return Lease.onFailed(ReadAt);
  }
  ShardChanges PlannedEffects;
  Lease.plan(ReadAt, Table, PlannedEffects);
  ReportEffects(std::move(PlannedEffects));
  const uint64_t Version = Status == ObjectStatus::Ok ? Value.Version : 0;
  const Time SentAt = currentTime().Steady;
  Platform.put(
      TableName, Version, Table.SerializeAsString(),
      [this, Table, SentAt](ObjectStatus WriteStatus, const ObjectValue &) {
        CallPending = false;
        const Time Now = currentTime().Steady;
        if (WriteStatus != ObjectStatus::Ok)
          return Lease.onFailed(Now);
        ShardChanges WrittenEffects;
        Lease.onWritten(SentAt, Now, Table, WrittenEffects);
        ReportEffects(std::move(WrittenEffects));
      });
}

} // namespace goldcrestlink
