// Keys live in a hash map, and in a map by issue time that makes expiry cost
// only what it removes. A key is forgotten only when its issue time alone is
// reason to refuse it, so forgetting never allows a second run. The number of
// keys is bounded; a full ledger refuses new keys before they run.
#include "delivery/key_ledger.h"

#include <algorithm>
#include <cassert>

#include "base/hash.h"

namespace goldcrestlink {

namespace {

int64_t millis(Duration D) { return D.count() / 1000; }

KeyDecision refuse(Code Why, Outcome Known) {
  return {KeyVerdict::Refuse, Why, Known, nullptr};
}

} // namespace

uint32_t keyShard(std::string_view Key, uint32_t Shards) {
  return static_cast<uint32_t>(hash64(Key) % Shards);
}

uint32_t KeyLedger::shardOf(std::string_view Key) const {
  return keyShard(Key, Limits.shards());
}

void KeyLedger::takeShard(uint32_t Which, WallTime TakenAt,
                          uint64_t FencingNumber) {
  if (Owned.count(Which))
    return;
  const int64_t Barrier =
      unixMillis(TakenAt) + 2 * millis(Limits.clockSkew()) + 1;
  Owned[Which] = {Barrier, FencingNumber};
}

void KeyLedger::dropShard(uint32_t Which) {
  Owned.erase(Which);
  std::erase_if(ByIssue,
                [&](const auto &E) { return shardOf(E.second) == Which; });
  std::erase_if(Keys, [&](const auto &E) { return shardOf(E.first) == Which; });
}

void KeyLedger::extendLease(Time Until) {
  LeaseUntil = std::max(LeaseUntil, Until);
}

int64_t KeyLedger::present(const Now &N) {
  LatestMs = std::max(LatestMs, unixMillis(N.Wall));
  return LatestMs;
}

KeyDecision KeyLedger::known(Record &R, const KeyedCall &Call) const {
  if (R.Fingerprint != Call.Fingerprint || R.IssuedMs != Call.IssuedMs)
    return refuse(Code::KeyMismatch, Outcome::None);
  if (R.Is == State::Refused) {
    if (Call.ReceivedMs <= R.RefusedMs + millis(Limits.clockSkew()))
      return refuse(Code::Overloaded, Outcome::NotRun);
    R.Is = State::Claimed;
    return {KeyVerdict::Run, Code::None, Outcome::None, nullptr};
  }
  if (R.Is == State::Claimed)
    return {KeyVerdict::Join, Code::None, Outcome::None, nullptr};
  if (R.Is == State::Lost)
    return refuse(Code::Interrupted, Outcome::Unknown);
  return {KeyVerdict::Replay, Code::None, Outcome::Ran, &R.Answer};
}

KeyDecision KeyLedger::claim(const Now &N, const KeyedCall &Call) {
  const auto Owner = Owned.find(shardOf(Call.Key));
  if (Owner == Owned.end())
    return refuse(Code::NotOwner, Outcome::None);
  if (!leaseValid(N.Steady))
    return refuse(Code::LeaseLapsed, Outcome::None);
  const auto It = Keys.find(Call.Key);
  if (It != Keys.end())
    return known(It->second, Call);
  const int64_t Present = present(N);
  if (Call.IssuedMs > Present + millis(Limits.clockSkew()))
    return refuse(Code::KeyFromFuture, Outcome::None);
  if (Limits.refuseOlderKeys() && Call.IssuedMs <= Owner->second.BarrierMs)
    return refuse(Code::KeyBeforeOwner, Outcome::Unknown);
  if (Call.IssuedMs + millis(Limits.retention()) <= Present)
    return refuse(Code::KeyExpired, Outcome::Unknown);
  if (Keys.size() >= Limits.maxKeys())
    return refuse(Code::Overloaded, Outcome::None);
  Keys[Call.Key] = {State::Claimed, Call.IssuedMs, 0, Call.Fingerprint, {}};
  ByIssue.emplace(Call.IssuedMs, Call.Key);
  return {KeyVerdict::Run, Code::None, Outcome::None, nullptr};
}

bool KeyLedger::mayDispatch(const Now &N, const std::string &Key) const {
  const auto It = Keys.find(Key);
  return leaseValid(N.Steady) && owns(Key) && It != Keys.end() &&
         It->second.Is == State::Claimed;
}

void KeyLedger::finish(const std::string &Key, KeptAnswer Answer) {
  const auto It = Keys.find(Key);
  if (It == Keys.end())
    return;
  if (Answer.Body.size() > Limits.maxKeptBody()) {
    Answer.Body.clear();
    Answer.BodyKept = false;
  }
  It->second.Is = State::Finished;
  It->second.Answer = std::move(Answer);
}

void KeyLedger::lose(const std::string &Key) {
  const auto It = Keys.find(Key);
  if (It != Keys.end())
    It->second.Is = State::Lost;
}

void KeyLedger::release(const Now &N, const std::string &Key) {
  const auto It = Keys.find(Key);
  if (It == Keys.end() || It->second.Is != State::Claimed)
    return;
  It->second.Is = State::Refused;
  It->second.RefusedMs = present(N);
}

void KeyLedger::expire(const Now &N) {
  const int64_t Horizon =
      present(N) - millis(Limits.retention()) - 2 * millis(Limits.clockSkew());
  while (!ByIssue.empty() && ByIssue.begin()->first < Horizon) {
    const auto It = Keys.find(ByIssue.begin()->second);
    // A call that still runs keeps its record until it ends.
    if (It != Keys.end() && It->second.Is == State::Claimed)
      return;
    if (It != Keys.end())
      Keys.erase(It);
    ByIssue.erase(ByIssue.begin());
  }
}

uint64_t KeyLedger::fencingNumber(std::string_view Key) const {
  const auto It = Owned.find(shardOf(Key));
  return It == Owned.end() ? 0 : It->second.FencingNumber;
}

std::vector<uint32_t> KeyLedger::ownedShards() const {
  std::vector<uint32_t> Out;
  for (const auto &[Which, S] : Owned)
    Out.push_back(Which);
  return Out;
}

} // namespace goldcrestlink
