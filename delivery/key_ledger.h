// The idempotency keys of the shards that a side owns. For each call with a key
// it decides whether the call may run, waits for a run in progress (join), gets
// the stored answer of a finished run (replay), or is refused. A side decides
// only for shards that it owns, and only while its lease is valid.
//
//   KeyLedger Ledger(KeyLedger::Options());
//   Ledger.extendLease(ValidUntil);
//   Ledger.takeShard(3, Now.Wall, FencingNumber);
//   KeyDecision Decision = Ledger.claim(Now, Call);
//   if (Decision.Verdict == KeyVerdict::Run && Ledger.mayDispatch(Now, Key))
//     dispatch();
//   Ledger.finish(Key, Answer);
//
// A key runs at most once, also when its shard changes owner. An owner runs a
// key that it does not know only if the key was issued later than the time at
// which it took the shard plus twice the clock skew. The earlier owner stopped
// before the shard was taken, its clock was ahead by at most the clock skew,
// and it refuses keys issued more than the clock skew after its present time.
// So it cannot have run such a key.
#ifndef GOLDCRESTLINK_DELIVERY_KEY_LEDGER_H
#define GOLDCRESTLINK_DELIVERY_KEY_LEDGER_H

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/refusal.h"
#include "base/time.h"

namespace goldcrestlink {

enum class KeyVerdict { Run, Join, Replay, Refuse };

/// A call with an idempotency key.
struct KeyedCall {
  std::string Key;
  /// When the caller created the key, in Unix milliseconds by its clock. All
  /// submissions of a key must have the same one.
  int64_t IssuedMs = 0;
  /// When the entry received this submission, in Unix milliseconds by its
  /// clock.
  int64_t ReceivedMs = 0;
  /// Hash of the request. All submissions of a key must have the same one.
  uint64_t Fingerprint = 0;
};

/// A complete answer that is kept for replay.
struct KeptAnswer {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
  /// False when the body was too large to keep.
  bool BodyKept = true;
};

struct KeyDecision {
  KeyVerdict Verdict = KeyVerdict::Refuse;
  Code Reason = Code::None;
  /// What the owner knows about all submissions of the key so far. If Verdict
  /// is Refuse, None means that this submission does not run and that nothing
  /// is known about earlier ones.
  Outcome KnownOutcome = Outcome::None;
  /// Set for Replay only; valid until the next call that changes the ledger.
  const KeptAnswer *Answer = nullptr;
};

/// Not thread-safe. Holds at most maxKeys() keys.
class KeyLedger {
public:
  class Options {
  public:
    uint32_t shards() const { return Shards; }
    size_t maxKeys() const { return MaxKeys; }
    size_t maxKeptBody() const { return MaxKeptBody; }
    Duration retention() const { return Retention; }
    Duration clockSkew() const { return ClockSkew; }
    bool refuseOlderKeys() const { return RefuseOlderKeys; }
    Options &setShards(uint32_t Value) {
      Shards = Value;
      return *this;
    }
    Options &setMaxKeys(size_t Value) {
      MaxKeys = Value;
      return *this;
    }
    Options &setMaxKeptBody(size_t Value) {
      MaxKeptBody = Value;
      return *this;
    }
    Options &setRetention(Duration Value) {
      Retention = Value;
      return *this;
    }
    Options &setClockSkew(Duration Value) {
      ClockSkew = Value;
      return *this;
    }

  private:
    friend struct KeyLedgerMutation;
    // Refuses keys issued before the shard was taken. Off only in tests.
    bool RefuseOlderKeys = true;
    uint32_t Shards = 16;
    size_t MaxKeys = 200000;
    size_t MaxKeptBody = 16 * 1024;
    Duration Retention = std::chrono::minutes(10);
    Duration ClockSkew = std::chrono::milliseconds(250);
  };

  explicit KeyLedger(Options O) : Limits(O) {}

  /// Starts to own a shard at \p TakenAt. Has no effect if it is owned already.
  /// Precondition: every earlier owner's lease has ended before \p TakenAt.
  void takeShard(uint32_t Shard, WallTime TakenAt, uint64_t FencingNumber);
  /// Stops owning a shard and deletes its keys.
  void dropShard(uint32_t Shard);
  /// Extends the lease to \p Until; an earlier time has no effect.
  void extendLease(Time Until);
  /// Ends the lease at once; called before its shards are given up.
  void endLease() { LeaseUntil = Time{}; }

  /// Decides whether a call may run. After Run the key is claimed and must be
  /// ended with finish(), markLost() or release().
  KeyDecision claim(const CurrentTime &Now, const KeyedCall &Call);
  /// True if the call of a claimed key may still be sent to the service. To be
  /// checked immediately before sending, because the lease may have expired.
  bool mayDispatch(const CurrentTime &Now, const std::string &Key) const;
  /// Records the answer of a call that ran.
  void finish(const std::string &Key, KeptAnswer Answer);
  /// Records that the call may have run but its answer is lost. Later claims
  /// are refused with Outcome::Unknown.
  void markLost(const std::string &Key);
  /// Records that the claimed call did not run and that its caller is notified
  /// of this. Only a submission received after \p Now plus the clock skew may
  /// claim the key again. A delayed message of an earlier submission, which the
  /// caller knows as refused, therefore cannot run.
  void release(const CurrentTime &Now, const std::string &Key);
  /// Deletes keys whose retention has passed.
  void expire(const CurrentTime &Now);

  bool owns(std::string_view Key) const { return Owned.count(shardOf(Key)); }
  bool ownsShard(uint32_t Shard) const { return Owned.count(Shard); }
  bool leaseValid(Time Now) const { return Now < LeaseUntil; }
  uint32_t shardOf(std::string_view Key) const;
  /// The fencing number of the key's shard, or 0 if the shard is not owned.
  uint64_t fencingNumber(std::string_view Key) const;
  std::vector<uint32_t> ownedShards() const;
  size_t size() const { return Keys.size(); }

private:
  enum class State { Claimed, Refused, Finished, Lost };
  struct Record {
    State Status = State::Claimed;
    int64_t IssuedMs = 0;
    int64_t RefusedMs = 0;
    uint64_t Fingerprint = 0;
    KeptAnswer Answer;
  };
  struct Shard {
    /// Unknown keys issued at or before this time are refused.
    int64_t BarrierMs = 0;
    uint64_t FencingNumber = 0;
  };
  KeyDecision decideKnownKey(Record &Known, const KeyedCall &Call) const;
  int64_t monotonicWallMs(const CurrentTime &Now);

  Options Limits;
  Time LeaseUntil{};
  /// Latest wall time seen, in Unix milliseconds. Expiry and age checks use it,
  /// so that setting the clock back cannot make an expired key valid again.
  int64_t LatestWallMs = 0;
  std::map<uint32_t, Shard> Owned;
  std::unordered_map<std::string, Record> Keys;
  /// Index for expire().
  std::multimap<int64_t, std::string> KeysByIssueTime;
};

/// Switches off one protection, so that a test can show that it is needed.
/// For tests only.
struct KeyLedgerMutation {
  static void acceptOlderKeys(KeyLedger::Options &O) {
    O.RefuseOlderKeys = false;
  }
};

/// The shard of \p Key if there are \p Shards shards. Thread-safe.
uint32_t keyShard(std::string_view Key, uint32_t Shards);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DELIVERY_KEY_LEDGER_H
