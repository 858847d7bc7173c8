// What a process believes never steps back, whatever order news arrives in.
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

// One observation of upstream "u".
struct Step {
  uint64_t Revision;
  enum { Ready, Draining, Removed, ListedWithout } What;
};

struct OrderRow {
  const char *Name;
  std::vector<Step> Steps;
  // Of "u" afterwards: absent, ready or draining.
  const char *Expected;
};

void apply(Catalog &C, const Step &S) {
  const UpstreamRecord Up = record("u", S.What == Step::Draining);
  if (S.What == Step::ListedWithout)
    C.applyUpstreams(at(0), S.Revision, {{"v", record("v")}});
  else
    C.applyUpstream(at(0), S.Revision, "u",
                    S.What == Step::Removed ? nullptr : &Up);
}

const char *stateOf(const Catalog &C, const std::string &Id) {
  const auto It = C.upstreams().find(Id);
  if (It == C.upstreams().end())
    return "absent";
  return It->second.Draining ? "draining" : "ready";
}

} // namespace

TEST_CASE("older news of an upstream never replaces newer news") {
  const OrderRow Rows[] = {
      {"ready", {{5, Step::Ready}}, "ready"},
      {"late ready after draining",
       {{9, Step::Draining}, {5, Step::Ready}},
       "draining"},
      {"late ready after removal",
       {{9, Step::Removed}, {5, Step::Ready}},
       "absent"},
      {"stale list lacks it",
       {{9, Step::Ready}, {5, Step::ListedWithout}},
       "ready"},
      {"newer list lacks it",
       {{5, Step::Ready}, {9, Step::ListedWithout}},
       "absent"},
      {"comes back", {{5, Step::Removed}, {9, Step::Ready}}, "ready"},
  };
  for (const OrderRow &Row : Rows) {
    CAPTURE(Row.Name);
    Catalog C;
    for (const Step &S : Row.Steps)
      apply(C, S);
    CHECK(std::string(stateOf(C, "u")) == Row.Expected);
  }
}

TEST_CASE("after an outage, missing upstreams are believed for the grace") {
  Catalog C;
  const UpstreamRecord Up = record("u");
  C.applyUpstream(at(0), 5, "u", &Up);
  C.onStoreRegained(at(1000));
  C.applyUpstream(at(1100), 8, "u", nullptr);
  CHECK(std::string(stateOf(C, "u")) == "ready");
  CHECK_FALSE(C.onTimer(at(3000)));
  CHECK(C.onTimer(at(3300)));
  CHECK(std::string(stateOf(C, "u")) == "absent");
  // A removal long after the outage counts at once.
  C.applyUpstream(at(4000), 10, "u", &Up);
  C.applyUpstream(at(5000), 11, "u", nullptr);
  CHECK(std::string(stateOf(C, "u")) == "absent");
}

TEST_CASE("an upstream that returns within the grace stays") {
  Catalog C;
  const UpstreamRecord Up = record("u");
  C.applyUpstream(at(0), 5, "u", &Up);
  C.onStoreRegained(at(1000));
  C.applyUpstream(at(1100), 8, "u", nullptr);
  C.applyUpstream(at(1900), 9, "u", &Up);
  C.onTimer(at(9000));
  CHECK(std::string(stateOf(C, "u")) == "ready");
}

TEST_CASE("a configuration never goes back") {
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

TEST_CASE("processes that exchange what the other lacks come to agree") {
  Catalog A;
  Catalog B;
  const UpstreamRecord Up = record("u");
  const UpstreamRecord Leaving = record("u", true);
  const UpstreamRecord Other = record("v");
  A.applyUpstream(at(0), 5, "u", &Up);
  A.applyUpstream(at(0), 9, "u", &Leaving);
  A.applyRelease({"m", "a1", 3, 12});
  B.applyUpstream(at(0), 5, "u", &Up);
  B.applyUpstream(at(0), 6, "v", &Other);
  B.applyUpstream(at(0), 7, "v", nullptr);
  REQUIRE(B.revisions().lacks(A.revisions()));
  CHECK(B.applyBeliefs(at(1), A.since(B.revisions())));
  CHECK_FALSE(B.revisions().lacks(A.revisions()));
  CHECK(std::string(stateOf(B, "u")) == "draining");
  CHECK(std::string(stateOf(B, "v")) == "absent");
  CHECK(B.releasedVersion("m", "a1") == 3);
  // Nothing is left to say.
  CHECK(A.since(B.revisions()).Upstreams.empty());
  CHECK(A.since(B.revisions()).Releases.empty());
}

TEST_CASE("news without a change does not make others ask") {
  Catalog C;
  const UpstreamRecord Up = record("u");
  CHECK(C.applyUpstream(at(0), 5, "u", &Up));
  CHECK_FALSE(C.applyUpstream(at(0), 8, "u", &Up));
  CHECK(C.revisions().Upstreams == 5);
}
