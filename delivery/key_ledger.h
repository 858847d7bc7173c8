// The owner's memory of idempotency keys: decides whether a call with a key
// may run, joins one that runs, or gets the answer of one that ran. A side
// decides only for shards that it owns and only while its lease is valid.
//
//   KeyLedger L(KeyLedger::Options());
//   L.extendLease(ValidUntil);  L.takeShard(3, Now.Wall);
//   KeyDecision D = L.claim(Now, Call);
//   if (D.What == KeyVerdict::Run && L.mayDispatch(Now, Key)) dispatch();
//   L.finish(Key, Answer);
//
// Why at most one run per key holds across owners: a key not in memory is run
// only if it was issued after this owner took the shard (plus twice the clock
// skew). An earlier owner accepts no key from the future, and stopped before
// this one took over, so it cannot have run such a key.
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

/// A call that wants to run under a key.
struct KeyedCall {
  std::string Key;
  /// When the caller made the key, by its clock.
  int64_t IssuedMs = 0;
  /// When this submission reached the system, by the entry's clock.
  int64_t ReceivedMs = 0;
  /// Hash of what is asked; a key stands for one request only.
  uint64_t Fingerprint = 0;
};

/// A whole answer kept for replay.
struct KeptAnswer {
  unsigned Status = 0;
  std::string ContentType;
  std::string Body;
  /// False when the body was too large to keep.
  bool BodyKept = true;
};

struct KeyDecision {
  KeyVerdict What = KeyVerdict::Refuse;
  Code Why = Code::None;
  /// What the owner knows of the key as a whole, earlier submissions included.
  /// None: this submission does not run, but nothing is known of earlier ones.
  Outcome Known = Outcome::None;
  /// Set for Replay; valid until the next command.
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
    Options &setShards(uint32_t N) {
      Shards = N;
      return *this;
    }
    Options &setMaxKeys(size_t N) {
      MaxKeys = N;
      return *this;
    }
    Options &setMaxKeptBody(size_t N) {
      MaxKeptBody = N;
      return *this;
    }
    Options &setRetention(Duration D) {
      Retention = D;
      return *this;
    }
    Options &setClockSkew(Duration D) {
      ClockSkew = D;
      return *this;
    }

  private:
    friend struct KeyLedgerMutation;
    bool RefuseOlderKeys = true; // Off only in tests.
    uint32_t Shards = 16;
    size_t MaxKeys = 200000;
    size_t MaxKeptBody = 16 * 1024;
    Duration Retention = std::chrono::minutes(10);
    Duration ClockSkew = std::chrono::milliseconds(250);
  };

  explicit KeyLedger(Options O) : Limits(O) {}

  /// Starts to own a shard at \p TakenAt. Precondition: every earlier owner's
  /// lease has ended before \p TakenAt.
  void takeShard(uint32_t Shard, WallTime TakenAt, uint64_t FencingNumber);
  /// Stops owning a shard and forgets its keys.
  void dropShard(uint32_t Shard);
  /// The lease is valid until \p Until. Never shortens it.
  void extendLease(Time Until);
  /// Ends the lease at once, before its shards are given away.
  void endLease() { LeaseUntil = Time{}; }

  /// Decides about a call. After Run the key is claimed: finish(), lose() or
  /// release() must follow.
  KeyDecision claim(const Now &N, const KeyedCall &Call);
  /// True if a claimed key may still be dispatched; to be asked right before.
  bool mayDispatch(const Now &N, const std::string &Key) const;
  /// The call ran and its answer is known.
  void finish(const std::string &Key, KeptAnswer Answer);
  /// The call may have run but its answer is lost: later claims get Unknown.
  void lose(const std::string &Key);
  /// The claimed call certainly did not run, and its caller is told so. Only a
  /// submission received after this may claim the key again, so that a late
  /// message of an earlier one cannot run behind the caller's back.
  void release(const Now &N, const std::string &Key);
  /// Forgets keys past their retention.
  void expire(const Now &N);

  bool owns(std::string_view Key) const { return Owned.count(shardOf(Key)); }
  bool ownsShard(uint32_t Shard) const { return Owned.count(Shard); }
  bool leaseValid(Time N) const { return N < LeaseUntil; }
  uint32_t shardOf(std::string_view Key) const;
  /// The fencing number under which the key's shard is owned.
  uint64_t fencingNumber(std::string_view Key) const;
  std::vector<uint32_t> ownedShards() const;
  size_t size() const { return Keys.size(); }

private:
  enum class State { Claimed, Refused, Finished, Lost };
  struct Record {
    State Is = State::Claimed;
    int64_t IssuedMs = 0;
    int64_t RefusedMs = 0;
    uint64_t Fingerprint = 0;
    KeptAnswer Answer;
  };
  struct Shard {
    int64_t BarrierMs = 0;
    uint64_t FencingNumber = 0;
  };
  KeyDecision known(Record &R, const KeyedCall &Call) const;
  int64_t present(const Now &N);

  Options Limits;
  Time LeaseUntil{};
  /// Latest wall time seen; keeps expiry safe when the clock is set back.
  int64_t LatestMs = 0;
  std::map<uint32_t, Shard> Owned;
  std::unordered_map<std::string, Record> Keys;
  /// Keys by issue time, for expiry.
  std::multimap<int64_t, std::string> ByIssue;
};

/// Switches off one protection, so that a test can show that it is needed.
/// For tests only.
struct KeyLedgerMutation {
  static void acceptOlderKeys(KeyLedger::Options &O) {
    O.RefuseOlderKeys = false;
  }
};

/// Shard of \p Key among \p Shards. Thread-safe.
uint32_t keyShard(std::string_view Key, uint32_t Shards);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DELIVERY_KEY_LEDGER_H
