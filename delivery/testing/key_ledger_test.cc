// Table tests of single decisions, and a randomised test: one shard passes
// between several owners, and calls are sent to any of them at any time. It
// counts the runs of each key; none may run twice.
#include <map>

#include <doctest/doctest.h>

#include "base/random.h"
#include "delivery/key_ledger.h"

using namespace goldcrestlink;

namespace {

constexpr int64_t MicrosPerMilli = 1000;
constexpr int64_t StartMs = 1000000;

CurrentTime at(int64_t Ms) {
  return {Time(Duration(Ms * MicrosPerMilli)),
          WallTime(Duration((StartMs + Ms) * MicrosPerMilli))};
}

KeyLedger::Options oneShard() {
  return KeyLedger::Options()
      .setShards(1)
      .setClockSkew(std::chrono::milliseconds(10))
      .setRetention(std::chrono::seconds(5));
}

KeyedCall call(const char *Key, int64_t IssuedMs, int64_t ReceivedMs,
               uint64_t Fingerprint = 1) {
  return {Key, StartMs + IssuedMs, StartMs + ReceivedMs, Fingerprint};
}

struct ClaimRow {
  const char *Name;
  int64_t IssuedMs;
  int64_t ClaimedMs;
  KeyVerdict Verdict;
  Code Reason;
  Outcome KnownOutcome;
};

// The shard is taken at 100 ms and the lease is valid until 8000 ms.
const ClaimRow ClaimRows[] = {
    {"fresh key", 200, 210, KeyVerdict::Run, Code::None, Outcome::None},
    {"at the barrier", 121, 210, KeyVerdict::Refuse, Code::KeyBeforeOwner,
     Outcome::Unknown},
    {"just after the barrier", 122, 210, KeyVerdict::Run, Code::None,
     Outcome::None},
    {"from the future", 500, 480, KeyVerdict::Refuse, Code::KeyFromFuture,
     Outcome::None},
    {"ahead by less than the clock skew", 500, 495, KeyVerdict::Run, Code::None,
     Outcome::None},
    {"older than the retention", 200, 5200, KeyVerdict::Refuse,
     Code::KeyExpired, Outcome::Unknown},
    {"lease expired", 7990, 8000, KeyVerdict::Refuse, Code::LeaseExpired,
     Outcome::None},
};

} // namespace

TEST_CASE("a claim depends on issue time, barrier, retention and lease") {
  for (const ClaimRow &Row : ClaimRows) {
    KeyLedger L(oneShard());
    L.takeShard(0, at(100).Wall, 1);
    L.extendLease(at(8000).Steady);
    const KeyDecision D =
        L.claim(at(Row.ClaimedMs), call("k", Row.IssuedMs, Row.ClaimedMs));
    CHECK_MESSAGE(D.Verdict == Row.Verdict, std::string(Row.Name));
    CHECK_MESSAGE(D.Reason == Row.Reason, std::string(Row.Name));
    CHECK_MESSAGE(D.KnownOutcome == Row.KnownOutcome, std::string(Row.Name));
  }
}

TEST_CASE("a second call joins a running key and replays a finished one") {
  KeyLedger L(oneShard());
  L.takeShard(0, at(0).Wall, 1);
  L.extendLease(at(9000).Steady);
  CHECK(L.claim(at(100), call("k", 100, 100)).Verdict == KeyVerdict::Run);
  CHECK(L.claim(at(110), call("k", 100, 110)).Verdict == KeyVerdict::Join);
  L.finish("k", {200, "text/plain", "done", true});
  const KeyDecision D = L.claim(at(120), call("k", 100, 120));
  REQUIRE(D.Verdict == KeyVerdict::Replay);
  CHECK(D.Answer->Body == "done");
  CHECK(L.claim(at(130), call("k", 100, 130, 2)).Reason == Code::KeyMismatch);
}

TEST_CASE("a released key may be claimed only by a later submission") {
  KeyLedger L(oneShard());
  L.takeShard(0, at(0).Wall, 1);
  L.extendLease(at(9000).Steady);
  CHECK(L.claim(at(100), call("k", 100, 100)).Verdict == KeyVerdict::Run);
  L.release(at(200), "k");
  CHECK(L.claim(at(300), call("k", 100, 150)).KnownOutcome == Outcome::NotRun);
  CHECK(L.claim(at(300), call("k", 100, 300)).Verdict == KeyVerdict::Run);
}

TEST_CASE("a lost key stays unknown, and a full ledger refuses new keys") {
  KeyLedger L(oneShard().setMaxKeys(1));
  L.takeShard(0, at(0).Wall, 1);
  L.extendLease(at(9000).Steady);
  CHECK(L.claim(at(100), call("k", 100, 100)).Verdict == KeyVerdict::Run);
  L.markLost("k");
  CHECK(L.claim(at(110), call("k", 100, 110)).KnownOutcome == Outcome::Unknown);
  CHECK(L.claim(at(110), call("other", 100, 110)).Reason == Code::Overloaded);
}

TEST_CASE("expiry of a key never allows a second run") {
  KeyLedger L(oneShard());
  L.takeShard(0, at(0).Wall, 1);
  L.extendLease(at(60000).Steady);
  CHECK(L.claim(at(100), call("k", 100, 100)).Verdict == KeyVerdict::Run);
  L.finish("k", {});
  L.expire(at(5200));
  CHECK(L.size() == 0);
  CHECK(L.claim(at(5200), call("k", 100, 5200)).Verdict == KeyVerdict::Refuse);
  // Not even when the wall clock is set back.
  CHECK(L.claim({at(5300).Steady, at(200).Wall}, call("k", 100, 200)).Verdict ==
        KeyVerdict::Refuse);
}

namespace {

enum class Mutation { None, IgnoreLease, IgnoreBarrier };

// Simulates a random history of one shard, with one protection disabled unless
// Disabled is None. Returns the largest number of runs of any key.
size_t maxRunsPerKey(uint64_t Seed, Mutation Disabled) {
  constexpr size_t OwnerCount = 3;
  constexpr int64_t LeaseMs = 200;
  Random R(Seed);
  auto Options = oneShard();
  if (Disabled == Mutation::IgnoreBarrier)
    KeyLedgerMutation::acceptOlderKeys(Options);
  std::vector<KeyLedger> Ledgers(OwnerCount, KeyLedger(Options));
  std::vector<int64_t> WallOffsetMs;
  for (size_t I = 0; I < OwnerCount; ++I)
    WallOffsetMs.push_back(static_cast<int64_t>(R.below(10)));
  std::map<std::string, int64_t> IssuedMsByKey;
  std::map<std::string, size_t> RunsByKey;
  // The lease as recorded in the platform's table.
  size_t Owner = 0;
  int64_t LeaseEndMs = LeaseMs;
  Ledgers[0].takeShard(0, at(0).Wall, 1);
  Ledgers[0].extendLease(at(LeaseMs).Steady);
  std::vector<std::pair<int64_t, std::string>> Leaving;
  for (int64_t NowMs = 30; NowMs < 4000; ++NowMs) {
    const auto Local = [&](size_t I) {
      return CurrentTime{at(NowMs).Steady, at(NowMs + WallOffsetMs[I]).Wall};
    };
    // The owner renews at random times. Long gaps stand for a paused process.
    if (R.below(60) == 0 && NowMs < LeaseEndMs) {
      LeaseEndMs = NowMs + LeaseMs;
      Ledgers[Owner].extendLease(at(LeaseEndMs).Steady);
    }
    if (NowMs >= LeaseEndMs) {
      Owner = R.below(OwnerCount);
      LeaseEndMs = NowMs + LeaseMs;
      // The new owner may have owned the shard before without having noticed
      // that it lost it.
      Ledgers[Owner].dropShard(0);
      Ledgers[Owner].takeShard(0, Local(Owner).Wall, 1);
      Ledgers[Owner].extendLease(at(LeaseEndMs).Steady);
    }
    const std::string Key = "k" + std::to_string(R.below(400));
    if (!IssuedMsByKey.count(Key))
      IssuedMsByKey[Key] = NowMs + static_cast<int64_t>(R.below(10));
    const size_t Claimant = R.below(OwnerCount);
    const CurrentTime Now = Local(Claimant);
    if (Disabled == Mutation::IgnoreLease)
      Ledgers[Claimant].extendLease(Time::max());
    const auto D = Ledgers[Claimant].claim(
        Now, {Key, StartMs + IssuedMsByKey[Key], unixMillis(Now.Wall), 1});
    if (D.Verdict == KeyVerdict::Run) {
      if (Ledgers[Claimant].mayDispatch(Now, Key))
        ++RunsByKey[Key];
      if (R.below(2))
        Ledgers[Claimant].finish(Key, {});
      else
        Ledgers[Claimant].markLost(Key);
    }
  }
  size_t MaxRuns = 0;
  for (const auto &[Key, Count] : RunsByKey)
    MaxRuns = std::max(MaxRuns, Count);
  return MaxRuns;
}

bool anyKeyRunsTwice(Mutation Disabled) {
  for (uint64_t Seed = 1; Seed <= 100; ++Seed)
    if (maxRunsPerKey(Seed, Disabled) > 1)
      return true;
  return false;
}

} // namespace

TEST_CASE("no key runs twice, whoever owns its shard and receives the call") {
  CHECK_FALSE(anyKeyRunsTwice(Mutation::None));
}

TEST_CASE("without lease or barrier the randomised test finds a second run") {
  CHECK(anyKeyRunsTwice(Mutation::IgnoreLease));
  CHECK(anyKeyRunsTwice(Mutation::IgnoreBarrier));
}
