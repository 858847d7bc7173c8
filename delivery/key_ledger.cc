// Keys are stored in a hash map and indexed by issue time, so that the cost of
// expiry depends only on the number of keys removed. Expiry deletes a key only
// when it is so old that claim() refuses it by its issue time alone, so expiry
// never allows a second run. The number of keys is bounded; a full ledger
// refuses new keys before they run.
#include "delivery/key_ledger.h"

#include <algorithm>
#include <cassert>

#include "base/hash.h"

namespace goldcrestlink {

namespace {

int64_t millis(Duration D) { return D.count() / 1000; }

KeyDecision refuse(Code Reason, Outcome KnownOutcome) {
  return {KeyVerdict::Refuse, Reason, KnownOutcome, nullptr};
}

} // namespace

uint32_t keyShard(std::string_view Key, uint32_t Shards) {
  return static_cast<uint32_t>(hash64(Key) % Shards);
}

uint32_t KeyLedger::shardOf(std::string_view Key) const {
  return keyShard(Key, Limits.shards());
}

void KeyLedger::takeShard(uint32_t Shard, WallTime TakenAt,
                          uint64_t FencingNumber) {
  if (Owned.count(Shard))
    return;
  const int64_t BarrierMs =
      unixMillis(TakenAt) + 2 * millis(Limits.clockSkew()) + 1;
  Owned[Shard] = {BarrierMs, FencingNumber};
}

void KeyLedger::dropShard(uint32_t Shard) {
  Owned.erase(Shard);
  std::erase_if(KeysByIssueTime,
                [&](const auto &E) { return shardOf(E.second) == Shard; });
  std::erase_if(Keys, [&](const auto &E) { return shardOf(E.first) == Shard; });
}

void KeyLedger::extendLease(Time Until) {
  LeaseUntil = std::max(LeaseUntil, Until);
}

int64_t KeyLedger::monotonicWallMs(const CurrentTime &Now) {
  LatestWallMs = std::max(LatestWallMs, unixMillis(Now.Wall));
  return LatestWallMs;
}

KeyDecision KeyLedger::decideKnownKey(Record &Known,
                                      const KeyedCall &Call) const {
  if (Known.Fingerprint != Call.Fingerprint || Known.IssuedMs != Call.IssuedMs)
    return refuse(Code::KeyMismatch, Outcome::None);
  if (Known.Status == State::Refused) {
    if (Call.ReceivedMs <= Known.RefusedMs + millis(Limits.clockSkew()))
      return refuse(Code::Overloaded, Outcome::NotRun);
    Known.Status = State::Claimed;
    return {KeyVerdict::Run, Code::None, Outcome::None, nullptr};
  }
  if (Known.Status == State::Claimed)
    return {KeyVerdict::Join, Code::None, Outcome::None, nullptr};
  if (Known.Status == State::Lost)
    return refuse(Code::Interrupted, Outcome::Unknown);
  return {KeyVerdict::Replay, Code::None, Outcome::Ran, &Known.Answer};
}

KeyDecision KeyLedger::claim(const CurrentTime &Now, const KeyedCall &Call) {
  const auto Owner = Owned.find(shardOf(Call.Key));
  if (Owner == Owned.end())
    return refuse(Code::NotOwner, Outcome::None);
  if (!leaseValid(Now.Steady))
    return refuse(Code::LeaseExpired, Outcome::None);
  const auto It = Keys.find(Call.Key);
  if (It != Keys.end())
    return decideKnownKey(It->second, Call);
  const int64_t NowMs = monotonicWallMs(Now);
  if (Call.IssuedMs > NowMs + millis(Limits.clockSkew()))
    return refuse(Code::KeyFromFuture, Outcome::None);
  if (Limits.refuseOlderKeys() && Call.IssuedMs <= Owner->second.BarrierMs)
    return refuse(Code::KeyBeforeOwner, Outcome::Unknown);
  if (Call.IssuedMs + millis(Limits.retention()) <= NowMs)
    return refuse(Code::KeyExpired, Outcome::Unknown);
  if (Keys.size() >= Limits.maxKeys())
    return refuse(Code::Overloaded, Outcome::None);
  Keys[Call.Key] = {State::Claimed, Call.IssuedMs, 0, Call.Fingerprint, {}};
  KeysByIssueTime.emplace(Call.IssuedMs, Call.Key);
  return {KeyVerdict::Run, Code::None, Outcome::None, nullptr};
}

bool KeyLedger::mayDispatch(const CurrentTime &Now,
                            const std::string &Key) const {
  const auto It = Keys.find(Key);
  return leaseValid(Now.Steady) && owns(Key) && It != Keys.end() &&
         It->second.Status == State::Claimed;
}

void KeyLedger::finish(const std::string &Key, KeptAnswer Answer) {
  const auto It = Keys.find(Key);
  if (It == Keys.end())
    return;
  if (Answer.Body.size() > Limits.maxKeptBody()) {
    Answer.Body.clear();
    Answer.BodyKept = false;
  }
  It->second.Status = State::Finished;
  It->second.Answer = std::move(Answer);
}

void KeyLedger::markLost(const std::string &Key) {
  const auto It = Keys.find(Key);
  if (It != Keys.end())
    It->second.Status = State::Lost;
}

void KeyLedger::release(const CurrentTime &Now, const std::string &Key) {
  const auto It = Keys.find(Key);
  if (It == Keys.end() || It->second.Status != State::Claimed)
    return;
  It->second.Status = State::Refused;
  It->second.RefusedMs = monotonicWallMs(Now);
}

void KeyLedger::expire(const CurrentTime &Now) {
  const int64_t ExpireBeforeMs = monotonicWallMs(Now) -
                                 millis(Limits.retention()) -
                                 2 * millis(Limits.clockSkew());
  while (!KeysByIssueTime.empty() &&
         KeysByIssueTime.begin()->first < ExpireBeforeMs) {
    const auto It = Keys.find(KeysByIssueTime.begin()->second);
    // The record of a call in progress is kept until the call ends. Until then
    // keys issued after it are kept too.
    if (It != Keys.end() && It->second.Status == State::Claimed)
      return;
    if (It != Keys.end())
      Keys.erase(It);
    KeysByIssueTime.erase(KeysByIssueTime.begin());
  }
}

uint64_t KeyLedger::fencingNumber(std::string_view Key) const {
  const auto It = Owned.find(shardOf(Key));
  return It == Owned.end() ? 0 : It->second.FencingNumber;
}

std::vector<uint32_t> KeyLedger::ownedShards() const {
  std::vector<uint32_t> Out;
  for (const auto &[Shard, Ownership] : Owned)
    Out.push_back(Shard);
  return Out;
}

} // namespace goldcrestlink
