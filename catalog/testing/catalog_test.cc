// The catalog state never goes back to an older revision, in whatever order
// updates arrive.
#include <doctest/doctest.h>

#include "catalog/catalog.h"
#include "testing/allocation_counter.h"

using namespace goldcrestlink;

namespace {

Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }

UpstreamRecord record(const std::string &Id, bool Draining = false) {
  UpstreamRecord R;
  R.Id = Id;
  R.Service = "engines";
  R.Address = {"10.0.0.1", 80};
  R.Draining = Draining;
  return R;
}

std::shared_ptr<const DeploymentConfig> config(uint64_t Version) {
  auto C = std::make_shared<DeploymentConfig>();
  C->Version = Version;
  for (const char *Prefix : {"/a/", "/a/b/", "/"}) {
    RouteSpec R;
    R.Name = Prefix;
    R.Host = "h";
    R.PathPrefix = Prefix;
    C->Routes.push_back(R);
  }
  return C;
}

// One update of upstream "u".
struct Step {
  uint64_t Revision;
  enum { Ready, Draining, Removed, ListedWithout } What;
};

struct OrderRow {
  const char *Name;
  std::vector<Step> Steps;
  // State of "u" after all steps: absent, ready or draining.
  const char *Expected;
};

void apply(Catalog &C, const Step &S) {
  const UpstreamRecord Record = record("u", S.What == Step::Draining);
  if (S.What == Step::ListedWithout)
    C.applyUpstreams(at(0), {1, S.Revision}, {{"v", record("v")}});
  else
    C.applyUpstream(at(0), {1, S.Revision}, "u",
                    S.What == Step::Removed ? nullptr : &Record);
}

const char *stateOf(const Catalog &C, const std::string &Id) {
  const auto It = C.upstreams().find(Id);
  if (It == C.upstreams().end())
    return "absent";
  return It->second.Draining ? "draining" : "ready";
}

} // namespace

TEST_CASE("an older update of an upstream never replaces a newer one") {
  const OrderRow Rows[] = {
      {"ready", {{5, Step::Ready}}, "ready"},
      {"late ready after draining",
       {{9, Step::Draining}, {5, Step::Ready}},
       "draining"},
      {"late ready after removal",
       {{9, Step::Removed}, {5, Step::Ready}},
       "absent"},
      {"missing from an older list",
       {{9, Step::Ready}, {5, Step::ListedWithout}},
       "ready"},
      {"missing from a newer list",
       {{5, Step::Ready}, {9, Step::ListedWithout}},
       "absent"},
      {"registered again after removal",
       {{5, Step::Removed}, {9, Step::Ready}},
       "ready"},
  };
  for (const OrderRow &Row : Rows) {
    CAPTURE(Row.Name);
    Catalog C;
    for (const Step &S : Row.Steps)
      apply(C, S);
    CHECK(std::string(stateOf(C, "u")) == Row.Expected);
  }
}

TEST_CASE("after an outage, missing upstreams are kept for the grace period") {
  Catalog C;
  const UpstreamRecord Record = record("u");
  C.applyUpstream(at(0), {1, 5}, "u", &Record);
  C.onStoreReconnected(at(1000));
  C.applyUpstream(at(1100), {1, 8}, "u", nullptr);
  CHECK(std::string(stateOf(C, "u")) == "ready");
  CHECK_FALSE(C.onTimer(at(3000)));
  CHECK(C.onTimer(at(3300)));
  CHECK(std::string(stateOf(C, "u")) == "absent");
  // A removal after the grace period takes effect at once.
  C.applyUpstream(at(4000), {1, 10}, "u", &Record);
  C.applyUpstream(at(5000), {1, 11}, "u", nullptr);
  CHECK(std::string(stateOf(C, "u")) == "absent");
}

TEST_CASE("an upstream that is listed again within the grace period is kept") {
  Catalog C;
  const UpstreamRecord Record = record("u");
  C.applyUpstream(at(0), {1, 5}, "u", &Record);
  C.onStoreReconnected(at(1000));
  C.applyUpstream(at(1100), {1, 8}, "u", nullptr);
  C.applyUpstream(at(1900), {1, 9}, "u", &Record);
  C.onTimer(at(9000));
  CHECK(std::string(stateOf(C, "u")) == "ready");
}

TEST_CASE("a configuration is never replaced by an older version") {
  Catalog C;
  CHECK(C.applyConfig(config(7), "seven"));
  CHECK_FALSE(C.applyConfig(config(7), "seven again"));
  CHECK_FALSE(C.applyConfig(config(3), "three"));
  CHECK(C.config()->Version == 7);
  CHECK(C.since(at(0), {}).ConfigText == "seven");
  CHECK(C.since(at(0), {7, {}, {}}).ConfigText.empty());
}

TEST_CASE("the longest prefix of the host selects the route") {
  struct Row {
    const char *Host;
    const char *Path;
    const char *Expected;
  };
  Catalog C;
  C.applyConfig(config(1), "");
  for (const Row &R :
       {Row{"h", "/a/b/c", "/a/b/"}, Row{"h", "/a/x", "/a/"},
        Row{"h", "/a", "/"}, Row{"h", "/x", "/"}, Row{"g", "/a/", nullptr}}) {
    CAPTURE(R.Path);
    const RouteSpec *Found = C.route(R.Host, R.Path);
    CHECK((Found != nullptr) == (R.Expected != nullptr));
    if (Found && R.Expected)
      CHECK(Found->Name == R.Expected);
  }
}

TEST_CASE("a process that applies another's update lacks none of its changes") {
  Catalog A;
  Catalog B;
  const UpstreamRecord Record = record("u");
  const UpstreamRecord DrainingRecord = record("u", true);
  const UpstreamRecord OtherRecord = record("v");
  A.applyUpstream(at(0), {1, 5}, "u", &Record);
  A.applyUpstream(at(0), {1, 9}, "u", &DrainingRecord);
  A.applyRelease(at(0), {"m", "a1", 3, {1, 12}});
  B.applyUpstream(at(0), {1, 5}, "u", &Record);
  B.applyUpstream(at(0), {1, 6}, "v", &OtherRecord);
  B.applyUpstream(at(0), {1, 7}, "v", nullptr);
  REQUIRE(B.revisions().lacks(A.revisions()));
  CHECK(B.applyUpdate(at(1), A.since(at(1), B.revisions())));
  CHECK_FALSE(B.revisions().lacks(A.revisions()));
  CHECK(std::string(stateOf(B, "u")) == "draining");
  CHECK(std::string(stateOf(B, "v")) == "absent");
  CHECK(B.releasedVersion("m", "a1") == 3);
  // There is nothing left to send.
  CHECK(A.since(at(1), B.revisions()).Upstreams.empty());
  CHECK(A.since(at(1), B.revisions()).Releases.empty());
}

namespace {

constexpr int64_t LongAgoMs = WeightRelease::LongAgo.count() / 1000;

std::vector<AnnouncedVersion> versionsAt(const Catalog &Known, int64_t Ms) {
  return Known.announced(at(Ms), "m", "a1");
}

} // namespace

TEST_CASE("the age of a release is counted from the announcement, also by a "
          "process that learns of it late") {
  struct Report {
    int64_t Ms;
    uint64_t Version;
    int64_t AgeMs;
  };
  struct Row {
    const char *Name;
    std::vector<Report> Reports;
    // At 5,000 ms: versions and their ages.
    std::vector<std::pair<uint64_t, int64_t>> Expected;
  };
  const Row Rows[] = {
      {"none", {}, {}},
      {"new", {{1000, 2, 0}}, {{2, 4000}}},
      {"known to others for a while", {{4000, 2, 3000}}, {{2, 4000}}},
      {"told again by one that knows it longer",
       {{4000, 2, 0}, {4500, 2, 2000}},
       {{2, 2500}}},
      {"told again by one that has just learnt it",
       {{4000, 2, 3000}, {4500, 2, 0}},
       {{2, 4000}}},
      {"told again by one that does not know since when",
       {{4000, 2, 0}, {4500, 2, LongAgoMs}},
       {{2, 1000}}},
      {"told first by one that does not know since when",
       {{4000, 2, LongAgoMs}, {4500, 2, 0}},
       {{2, LongAgoMs + 1000}}},
      {"followed by a newer one",
       {{1000, 2, 3000}, {4500, 3, 100}},
       {{2, 7000}, {3, 600}}},
      {"followed by an older one that was announced before",
       {{4000, 3, 0}, {4500, 2, 4000}},
       {{2, 4500}, {3, 1000}}},
      {"followed by an older one that was not known before",
       {{1000, 3, 0}, {4500, 2, 0}},
       {{3, 4000}}},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    std::vector<AnnouncedVersion> Expected;
    for (const auto &[Version, Ms] : R.Expected)
      Expected.push_back({Version, std::chrono::milliseconds(Ms)});
    Catalog Known;
    for (const Report &P : R.Reports)
      Known.applyRelease(at(P.Ms), {"m",
                                    "a1",
                                    P.Version,
                                    {1, 10 + P.Version},
                                    std::chrono::milliseconds(P.AgeMs)});
    CHECK(versionsAt(Known, 5000) == Expected);
    Catalog Late;
    Late.applyUpdate(at(5000), Known.since(at(5000), Late.revisions()));
    CHECK(versionsAt(Late, 5000) == Expected);
    CHECK_FALSE(Late.revisions().lacks(Known.revisions()));
  }
}

TEST_CASE("an update without a change does not raise the revision") {
  Catalog C;
  const UpstreamRecord Record = record("u");
  CHECK(C.applyUpstream(at(0), {1, 5}, "u", &Record));
  CHECK_FALSE(C.applyUpstream(at(0), {1, 8}, "u", &Record));
  CHECK(C.revisions().Upstreams == StoreRevision{1, 5});
}

namespace {

// One update of upstream "u" in a deployment that also has "v".
struct RestoreStep {
  int64_t Ms;
  StoreRevision Revision;
  enum {
    Ready,
    Draining,
    Removed,
    ListedReady,
    ListedDraining,
    ListedWithout
  } What;
};

struct RestoreRow {
  const char *Name;
  std::vector<RestoreStep> Steps;
  // State of "u" after all steps, and once all grace periods are over.
  const char *Expected;
  const char *Later;
};

void apply(Catalog &C, const RestoreStep &S) {
  using Step = RestoreStep;
  const bool IsDraining =
      S.What == Step::Draining || S.What == Step::ListedDraining;
  const UpstreamRecord Record = record("u", IsDraining);
  std::map<std::string, UpstreamRecord> List = {{"v", record("v")}};
  switch (S.What) {
  case Step::ListedReady:
  case Step::ListedDraining:
    List["u"] = Record;
    [[fallthrough]];
  case Step::ListedWithout:
    return C.applyUpstreams(at(S.Ms), S.Revision, List);
  default:
    C.applyUpstream(at(S.Ms), S.Revision, "u",
                    S.What == Step::Removed ? nullptr : &Record);
  }
}

// Longer than all grace periods.
constexpr int64_t SettledMs = 60000;

} // namespace

TEST_CASE("a later change with a lower revision takes effect after a restore "
          "of the store") {
  using Step = RestoreStep;
  const RestoreRow Rows[] = {
      {"draining",
       {{0, {1, 90}, Step::Ready},
        {100, {2, 50}, Step::ListedReady},
        {5000, {2, 60}, Step::Draining}},
       "draining",
       "draining"},
      {"removed",
       {{0, {1, 90}, Step::Ready},
        {100, {2, 50}, Step::ListedReady},
        {5000, {2, 60}, Step::Removed}},
       "absent",
       "absent"},
      {"draining within the grace period",
       {{0, {1, 90}, Step::Ready},
        {100, {2, 50}, Step::ListedReady},
        {300, {2, 60}, Step::Draining}},
       "draining",
       "draining"},
      {"draining before the first list of the era",
       {{0, {1, 90}, Step::Ready}, {100, {2, 50}, Step::ListedDraining}},
       "draining",
       "draining"},
      {"registered after the copy, and again later",
       {{0, {1, 90}, Step::Ready},
        {100, {2, 50}, Step::ListedWithout},
        {900, {2, 60}, Step::Ready}},
       "ready",
       "ready"},
      {"registered after the copy, and gone since",
       {{0, {1, 90}, Step::Ready}, {100, {2, 50}, Step::ListedWithout}},
       "ready",
       "absent"},
      {"the copy is from before it began to drain",
       {{0, {1, 80}, Step::Ready},
        {10, {1, 90}, Step::Draining},
        {100, {2, 50}, Step::ListedReady},
        {600, {2, 55}, Step::ListedReady}},
       "draining",
       "ready"},
      {"the copy is from before it began to drain, and it reports again",
       {{0, {1, 80}, Step::Ready},
        {10, {1, 90}, Step::Draining},
        {100, {2, 50}, Step::ListedReady},
        {600, {2, 60}, Step::Draining}},
       "draining",
       "draining"},
      {"the copy is from before it began to drain, and it is ready again",
       {{0, {1, 80}, Step::Ready},
        {10, {1, 90}, Step::Draining},
        {100, {2, 50}, Step::ListedReady},
        {600, {2, 60}, Step::Ready}},
       "ready",
       "ready"},
      {"the copy is from before it was removed",
       {{0, {1, 80}, Step::Ready},
        {10, {1, 90}, Step::Removed},
        {100, {2, 50}, Step::ListedReady}},
       "absent",
       "ready"},
      {"the copy is from before it was removed, and the record lapses",
       {{0, {1, 80}, Step::Ready},
        {10, {1, 90}, Step::Removed},
        {100, {2, 50}, Step::ListedReady},
        {3600, {2, 60}, Step::Removed}},
       "absent",
       "absent"},
      {"a list of before the restore arrives late",
       {{0, {2, 50}, Step::ListedReady}, {10, {1, 90}, Step::ListedWithout}},
       "ready",
       "ready"},
      {"a change of before the restore arrives late",
       {{0, {2, 50}, Step::ListedReady}, {10, {1, 90}, Step::Draining}},
       "ready",
       "ready"},
      {"an upstream that only the earlier era had",
       {{0, {2, 50}, Step::ListedWithout}, {10, {1, 90}, Step::Ready}},
       "absent",
       "absent"},
      {"several restores",
       {{0, {1, 90}, Step::Ready},
        {100, {2, 50}, Step::ListedReady},
        {200, {2, 99}, Step::Ready},
        {300, {3, 20}, Step::ListedReady},
        {5000, {3, 21}, Step::Draining}},
       "draining",
       "draining"},
  };
  for (const RestoreRow &R : Rows) {
    CAPTURE(R.Name);
    Catalog C;
    int64_t Last = 0;
    for (const RestoreStep &S : R.Steps) {
      C.onTimer(at(S.Ms));
      apply(C, S);
      Last = S.Ms;
    }
    C.onTimer(at(Last + 1));
    CHECK(std::string(stateOf(C, "u")) == R.Expected);
    C.onTimer(at(SettledMs));
    CHECK(std::string(stateOf(C, "u")) == R.Later);
    CHECK_FALSE(C.hasDeferredChanges());
  }
}

TEST_CASE("a process without the store follows one that has seen the restore") {
  Catalog Seen;
  Catalog Other;
  for (const char *Id : {"u", "v", "w"}) {
    const UpstreamRecord R = record(Id);
    Seen.applyUpstream(at(0), {1, 80}, Id, &R);
    Other.applyUpstream(at(0), {1, 80}, Id, &R);
  }
  // Only the other process knows x, and that w drains.
  const UpstreamRecord X = record("x");
  const UpstreamRecord DrainingW = record("w", true);
  Other.applyUpstream(at(10), {1, 91}, "x", &X);
  Other.applyUpstream(at(10), {1, 92}, "w", &DrainingW);
  Seen.applyUpstreams(
      at(100), {2, 50},
      {{"u", record("u")}, {"v", record("v")}, {"w", record("w")}});
  Seen.applyUpstream(at(200), {2, 51}, "u", nullptr);
  // The process that has not seen the restore does not bring back its state.
  CHECK_FALSE(Seen.revisions().lacks(Other.revisions()));
  CHECK_FALSE(Seen.applyUpdate(at(300), Other.since(at(300), {})));
  CHECK(std::string(stateOf(Seen, "x")) == "absent");
  REQUIRE(Other.revisions().lacks(Seen.revisions()));
  Other.applyUpdate(at(300), Seen.since(at(300), Other.revisions()));
  CHECK_FALSE(Other.revisions().lacks(Seen.revisions()));
  CHECK(std::string(stateOf(Other, "v")) == "ready");
  // These may be registered and reported again.
  CHECK(std::string(stateOf(Other, "x")) == "ready");
  CHECK(std::string(stateOf(Other, "w")) == "draining");
  const UpstreamRecord Again = record("x");
  Seen.applyUpstream(at(900), {2, 60}, "x", &Again);
  Seen.applyUpstream(at(900), {2, 61}, "w", &DrainingW);
  Other.applyUpdate(at(950), Seen.since(at(950), Other.revisions()));
  for (Catalog *C : {&Seen, &Other}) {
    C->onTimer(at(SettledMs));
    CHECK(std::string(stateOf(*C, "u")) == "absent");
    CHECK(std::string(stateOf(*C, "w")) == "draining");
    CHECK(std::string(stateOf(*C, "x")) == "ready");
  }
}

TEST_CASE("a deferred change reaches other processes and takes effect there") {
  Catalog A;
  Catalog B;
  Catalog Restarted;
  const UpstreamRecord Record = record("u");
  for (Catalog *C : {&A, &B})
    C->applyUpstream(at(0), {1, 90}, "u", &Record);
  A.applyUpstreams(at(100), {2, 50}, {{"v", record("v")}});
  B.applyUpdate(at(200), A.since(at(200), B.revisions()));
  Restarted.applyUpdate(at(300), A.since(at(300), {}));
  for (const Catalog *C : {&A, &B, &Restarted})
    CHECK(std::string(stateOf(*C, "u")) == "ready");
  for (Catalog *C : {&A, &B, &Restarted}) {
    C->onTimer(at(2600));
    CHECK(std::string(stateOf(*C, "u")) == "absent");
    CHECK(std::string(stateOf(*C, "v")) == "ready");
  }
}

TEST_CASE("a release that is announced again in a later era is passed on") {
  Catalog A;
  Catalog B;
  A.applyRelease(at(0), {"m", "a1", 5, {1, 90}});
  B.applyRelease(at(0), {"m", "a1", 4, {2, 40}});
  CHECK_FALSE(A.applyRelease(at(0), {"m", "a1", 4, {2, 40}}));
  CHECK(A.releasedVersion("m", "a1") == 5);
  CHECK_FALSE(A.applyRelease(at(0), {"m", "a1", 5, {2, 60}}));
  REQUIRE(B.revisions().lacks(A.revisions()));
  B.applyUpdate(at(0), A.since(at(0), B.revisions()));
  CHECK(B.releasedVersion("m", "a1") == 5);
}

// Guards against notifications that cost more, the more routes there are.
TEST_CASE("a copy of the state costs the same with few routes and with many") {
  const auto CopyCost = [](int Hosts) {
    auto C = std::make_shared<DeploymentConfig>();
    C->Version = 1;
    for (int I = 0; I < Hosts; ++I) {
      RouteSpec R;
      R.Host = "host-" + std::to_string(I) + ".example";
      R.PathPrefix = "/";
      C->Routes.push_back(R);
    }
    Catalog State;
    State.applyConfig(C, "text");
    const UpstreamRecord Record = record("u");
    State.applyUpstream(at(0), {1, 5}, "u", &Record);
    const uint64_t Before = testing::allocationCount();
    const Catalog Copy = State;
    const uint64_t Cost = testing::allocationCount() - Before;
    CHECK(Copy.route("host-0.example", "/x") == &C->Routes[0]);
    return Cost;
  };
  CHECK(CopyCost(4000) == CopyCost(1));
}

TEST_CASE("a copy keeps its routes when the configuration changes") {
  Catalog State;
  State.applyConfig(config(1), "text");
  const Catalog Copy = State;
  const RouteSpec *Found = Copy.route("h", "/a/b/c");
  REQUIRE(Found);
  auto Next = std::make_shared<DeploymentConfig>();
  Next->Version = 2;
  State.applyConfig(Next, "text");
  CHECK(State.route("h", "/a/b/c") == nullptr);
  CHECK(Copy.route("h", "/a/b/c") == Found);
  CHECK(Found->PathPrefix == "/a/b/");
}
