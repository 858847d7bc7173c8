// Table tests of single decisions, and a random tester: several owners of one
// shard, one after another, any of which may be asked at any time, against the
// oracle that counts runs per key.
#include <map>

#include <doctest/doctest.h>

#include "base/random.h"
#include "delivery/key_ledger.h"

using namespace goldcrestlink;

namespace {

constexpr int64_t Millis = 1000;
constexpr int64_t Start = 1000000;

Now at(int64_t Ms) {
  return {Time(Duration(Ms * Millis)),
          WallTime(Duration((Start + Ms) * Millis))};
}

KeyLedger::Options oneShard() {
  return KeyLedger::Options()
      .setShards(1)
      .setClockSkew(std::chrono::milliseconds(10))
      .setRetention(std::chrono::seconds(5));
}

KeyedCall call(const char *Key, int64_t IssuedMs, int64_t ReceivedMs,
               uint64_t Fingerprint = 1) {
  return {Key, Start + IssuedMs, Start + ReceivedMs, Fingerprint};
}

struct ClaimRow {
  const char *Name;
  int64_t IssuedMs;
  int64_t AskedMs;
  KeyVerdict What;
  Code Why;
  Outcome Known;
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
    {"ahead within the skew", 500, 495, KeyVerdict::Run, Code::None,
     Outcome::None},
    {"older than the retention", 200, 5200, KeyVerdict::Refuse,
     Code::KeyExpired, Outcome::Unknown},
    {"lease lapsed", 7990, 8000, KeyVerdict::Refuse, Code::LeaseLapsed,
     Outcome::None},
};

} // namespace

TEST_CASE("a claim is decided by issue time, barrier, retention and lease") {
  for (const ClaimRow &Row : ClaimRows) {
    KeyLedger L(oneShard());
    L.takeShard(0, at(100).Wall, 1);
    L.extendLease(at(8000).Steady);
    const KeyDecision D =
        L.claim(at(Row.AskedMs), call("k", Row.IssuedMs, Row.AskedMs));
    CHECK_MESSAGE(D.What == Row.What, std::string(Row.Name));
    CHECK_MESSAGE(D.Why == Row.Why, std::string(Row.Name));
    CHECK_MESSAGE(D.Known == Row.Known, std::string(Row.Name));
  }
}

TEST_CASE("a key is joined while it runs, then replayed") {
  KeyLedger L(oneShard());
  L.takeShard(0, at(0).Wall, 1);
  L.extendLease(at(9000).Steady);
  CHECK(L.claim(at(100), call("k", 100, 100)).What == KeyVerdict::Run);
  CHECK(L.claim(at(110), call("k", 100, 110)).What == KeyVerdict::Join);
  L.finish("k", {200, "text/plain", "done", true});
  const KeyDecision D = L.claim(at(120), call("k", 100, 120));
  REQUIRE(D.What == KeyVerdict::Replay);
  CHECK(D.Answer->Body == "done");
  CHECK(L.claim(at(130), call("k", 100, 130, 2)).Why == Code::KeyMismatch);
}

TEST_CASE("a released key may run only for a later submission") {
  KeyLedger L(oneShard());
  L.takeShard(0, at(0).Wall, 1);
  L.extendLease(at(9000).Steady);
  CHECK(L.claim(at(100), call("k", 100, 100)).What == KeyVerdict::Run);
  L.release(at(200), "k");
  CHECK(L.claim(at(300), call("k", 100, 150)).Known == Outcome::NotRun);
  CHECK(L.claim(at(300), call("k", 100, 300)).What == KeyVerdict::Run);
}

TEST_CASE(
    "a lost key stays unknown, and a full ledger refuses before running") {
  KeyLedger L(oneShard().setMaxKeys(1));
  L.takeShard(0, at(0).Wall, 1);
  L.extendLease(at(9000).Steady);
  CHECK(L.claim(at(100), call("k", 100, 100)).What == KeyVerdict::Run);
  L.lose("k");
  CHECK(L.claim(at(110), call("k", 100, 110)).Known == Outcome::Unknown);
  CHECK(L.claim(at(110), call("other", 100, 110)).Why == Code::Overloaded);
}

TEST_CASE("forgetting a key never allows a second run") {
  KeyLedger L(oneShard());
  L.takeShard(0, at(0).Wall, 1);
  L.extendLease(at(60000).Steady);
  CHECK(L.claim(at(100), call("k", 100, 100)).What == KeyVerdict::Run);
  L.finish("k", {});
  L.expire(at(5200));
  CHECK(L.size() == 0);
  CHECK(L.claim(at(5200), call("k", 100, 5200)).What == KeyVerdict::Refuse);
  // Not even when the wall clock is set back.
  CHECK(L.claim({at(5300).Steady, at(200).Wall}, call("k", 100, 200)).What ==
        KeyVerdict::Refuse);
}

namespace {

enum class Mutation { None, IgnoreLease, IgnoreBarrier };

// Runs a random history of one shard; the most often that any key ran.
size_t mostRuns(uint64_t Seed, Mutation M) {
  constexpr size_t OwnerCount = 3;
  constexpr int64_t LeaseMs = 200;
  Random R(Seed);
  auto Options = oneShard();
  if (M == Mutation::IgnoreBarrier)
    KeyLedgerMutation::acceptOlderKeys(Options);
  std::vector<KeyLedger> Ledgers(OwnerCount, KeyLedger(Options));
  std::vector<int64_t> Offset;
  for (size_t I = 0; I < OwnerCount; ++I)
    Offset.push_back(static_cast<int64_t>(R.below(10)));
  std::map<std::string, int64_t> Issued;
  std::map<std::string, size_t> Runs;
  // The lease as the platform's table has it.
  size_t Owner = 0;
  int64_t LeaseEnds = LeaseMs;
  Ledgers[0].takeShard(0, at(0).Wall, 1);
  Ledgers[0].extendLease(at(LeaseMs).Steady);
  std::vector<std::pair<int64_t, std::string>> Leaving;
  for (int64_t Clock = 30; Clock < 4000; ++Clock) {
    const auto Local = [&](size_t I) {
      return Now{at(Clock).Steady, at(Clock + Offset[I]).Wall};
    };
    // The owner renews, or forgets to for a while, as a paused one does.
    if (R.below(60) == 0 && Clock < LeaseEnds) {
      LeaseEnds = Clock + LeaseMs;
      Ledgers[Owner].extendLease(at(LeaseEnds).Steady);
    }
    if (Clock >= LeaseEnds) {
      Owner = R.below(OwnerCount);
      LeaseEnds = Clock + LeaseMs;
      // It may have owned the shard before and not know that it lost it.
      Ledgers[Owner].dropShard(0);
      Ledgers[Owner].takeShard(0, Local(Owner).Wall, 1);
      Ledgers[Owner].extendLease(at(LeaseEnds).Steady);
    }
    const std::string Key = "k" + std::to_string(R.below(400));
    if (!Issued.count(Key))
      Issued[Key] = Clock + static_cast<int64_t>(R.below(10));
    const size_t Asked = R.below(OwnerCount);
    const Now N = Local(Asked);
    if (M == Mutation::IgnoreLease)
      Ledgers[Asked].extendLease(Time::max());
    const auto D = Ledgers[Asked].claim(
        N, {Key, Start + Issued[Key], unixMillis(N.Wall), 1});
    if (D.What == KeyVerdict::Run) {
      if (Ledgers[Asked].mayDispatch(N, Key))
        ++Runs[Key];
      if (R.below(2))
        Ledgers[Asked].finish(Key, {});
      else
        Ledgers[Asked].lose(Key);
    }
  }
  size_t Most = 0;
  for (const auto &[Key, Count] : Runs)
    Most = std::max(Most, Count);
  return Most;
}

bool everTwice(Mutation M) {
  for (uint64_t Seed = 1; Seed <= 100; ++Seed)
    if (mostRuns(Seed, M) > 1)
      return true;
  return false;
}

} // namespace

TEST_CASE("no key runs twice, whoever owns its shard and whoever is asked") {
  CHECK_FALSE(everTwice(Mutation::None));
}

TEST_CASE("without lease or barrier the tester finds a second run") {
  CHECK(everTwice(Mutation::IgnoreLease));
  CHECK(everTwice(Mutation::IgnoreBarrier));
}
