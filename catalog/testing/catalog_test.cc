// The catalog state never goes back to an older revision, in whatever order
// updates arrive.
#include <doctest/doctest.h>

#include "catalog/catalog.h"

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
    C.applyUpstreams(at(0), S.Revision, {{"v", record("v")}});
  else
    C.applyUpstream(at(0), S.Revision, "u",
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
  C.applyUpstream(at(0), 5, "u", &Record);
  C.onStoreReconnected(at(1000));
  C.applyUpstream(at(1100), 8, "u", nullptr);
  CHECK(std::string(stateOf(C, "u")) == "ready");
  CHECK_FALSE(C.onTimer(at(3000)));
  CHECK(C.onTimer(at(3300)));
  CHECK(std::string(stateOf(C, "u")) == "absent");
  // A removal after the grace period takes effect at once.
  C.applyUpstream(at(4000), 10, "u", &Record);
  C.applyUpstream(at(5000), 11, "u", nullptr);
  CHECK(std::string(stateOf(C, "u")) == "absent");
}

TEST_CASE("an upstream that is listed again within the grace period is kept") {
  Catalog C;
  const UpstreamRecord Record = record("u");
  C.applyUpstream(at(0), 5, "u", &Record);
  C.onStoreReconnected(at(1000));
  C.applyUpstream(at(1100), 8, "u", nullptr);
  C.applyUpstream(at(1900), 9, "u", &Record);
  C.onTimer(at(9000));
  CHECK(std::string(stateOf(C, "u")) == "ready");
}

TEST_CASE("a configuration is never replaced by an older version") {
  Catalog C;
  CHECK(C.applyConfig(config(7), "seven"));
  CHECK_FALSE(C.applyConfig(config(7), "seven again"));
  CHECK_FALSE(C.applyConfig(config(3), "three"));
  CHECK(C.config()->Version == 7);
  CHECK(C.since({}).ConfigText == "seven");
  CHECK(C.since({7, 0, 0}).ConfigText.empty());
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
  A.applyUpstream(at(0), 5, "u", &Record);
  A.applyUpstream(at(0), 9, "u", &DrainingRecord);
  A.applyRelease({"m", "a1", 3, 12});
  B.applyUpstream(at(0), 5, "u", &Record);
  B.applyUpstream(at(0), 6, "v", &OtherRecord);
  B.applyUpstream(at(0), 7, "v", nullptr);
  REQUIRE(B.revisions().lacks(A.revisions()));
  CHECK(B.applyUpdate(at(1), A.since(B.revisions())));
  CHECK_FALSE(B.revisions().lacks(A.revisions()));
  CHECK(std::string(stateOf(B, "u")) == "draining");
  CHECK(std::string(stateOf(B, "v")) == "absent");
  CHECK(B.releasedVersion("m", "a1") == 3);
  // There is nothing left to send.
  CHECK(A.since(B.revisions()).Upstreams.empty());
  CHECK(A.since(B.revisions()).Releases.empty());
}

TEST_CASE("an update without a change does not raise the revision") {
  Catalog C;
  const UpstreamRecord Record = record("u");
  CHECK(C.applyUpstream(at(0), 5, "u", &Record));
  CHECK_FALSE(C.applyUpstream(at(0), 8, "u", &Record));
  CHECK(C.revisions().Upstreams == 5);
}
