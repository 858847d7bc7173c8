// CrashDetector: which broken sends are taken for a crash of their upstream.
#include <doctest/doctest.h>

#include "forward/crash_detector.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;

namespace {

Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }

UpstreamRecord upstream(const std::string &Id, uint64_t StartedMs,
                        uint16_t Port = 80) {
  UpstreamRecord U;
  U.Id = Id;
  U.Address = {"10.0.0.1", Port};
  U.StartedMs = StartedMs;
  return U;
}

std::vector<RequestTrait> traits(std::vector<uint64_t> Hashes) {
  std::vector<RequestTrait> Out;
  for (const uint64_t H : Hashes)
    Out.push_back({H, 1});
  return Out;
}

std::map<std::string, UpstreamRecord>
catalogOf(const std::vector<UpstreamRecord> &List) {
  std::map<std::string, UpstreamRecord> Out;
  for (const UpstreamRecord &U : List)
    Out[U.Id] = U;
  return Out;
}

} // namespace

TEST_CASE("a broken connection is a crash only if the upstream accepts none") {
  CrashDetector D;
  CHECK(D.onBroken(at(0), upstream("u", 1), traits({1, 2})));
  CHECK_FALSE(D.onBroken(at(1), upstream("u", 1), traits({1, 3})));
  CHECK(D.onBroken(at(1), upstream("v", 1), traits({4})));
  const std::optional<CrashReport> Report =
      D.onProbe(at(3), "u", ProbeResult::Refused);
  REQUIRE(Report);
  CHECK(Report->Age == std::chrono::milliseconds(3));
  CHECK(Report->Traits.size() == 3);
  CHECK_FALSE(D.onProbe(at(3), "v", ProbeResult::Accepted));
  CHECK_FALSE(D.onProbe(at(4), "u", ProbeResult::Refused));
  CHECK(D.onBroken(at(5), upstream("u", 1), traits({1})));
}

TEST_CASE("an upstream is probed again until it refuses or has had output") {
  struct Row {
    const char *Name;
    std::vector<ProbeResult> Results;
    // From when on a request that the upstream answers was sent; 0: none.
    int64_t SentAt;
    bool Crashed;
  };
  using enum ProbeResult;
  for (const Row &R :
       {Row{"port closed late", {Accepted, Refused}, 0, true},
        Row{"probe lost", {Unknown, Unknown, Refused}, 0, true},
        Row{"last probe", {Unknown, Accepted, Accepted, Refused}, 0, true},
        Row{"never refused",
            {Accepted, Accepted, Accepted, Accepted},
            0,
            false},
        Row{"output since", {Accepted, Refused}, 1, false},
        Row{"output of an earlier request", {Accepted, Refused}, -1, true}}) {
    CAPTURE(R.Name);
    CrashDetector D;
    REQUIRE(D.onBroken(at(0), upstream("u", 1), traits({1})));
    int64_t Ms = 2;
    bool Crashed = false;
    for (const ProbeResult Result : R.Results) {
      if (D.onProbe(at(Ms), "u", Result)) {
        Crashed = true;
        break;
      }
      if (R.SentAt != 0)
        D.onOutput("u", at(R.SentAt));
      const int64_t End = Ms + 2000;
      while (D.dueProbes(at(Ms)).empty() && Ms < End)
        Ms += 10;
    }
    CHECK(Crashed == R.Crashed);
  }
}

TEST_CASE("an upstream has crashed if another incarnation takes its place") {
  struct Row {
    const char *Name;
    std::vector<UpstreamRecord> Known;
    int64_t AtMs;
    bool Crashed;
  };
  UpstreamRecord Draining = upstream("u", 5);
  Draining.Draining = true;
  for (const Row &R :
       {Row{"unchanged", {upstream("u", 5)}, 100, false},
        Row{"started again", {upstream("u", 6)}, 100, true},
        Row{"other id at the address", {upstream("w", 6)}, 100, true},
        Row{"both listed", {upstream("u", 5), upstream("w", 6)}, 100, true},
        Row{"older id at the address", {upstream("w", 4)}, 100, false},
        Row{"other address", {upstream("w", 6, 81)}, 100, false},
        Row{"draining", {Draining, upstream("w", 6)}, 100, false},
        Row{"record gone", {}, 100, false},
        Row{"long after", {upstream("u", 6)}, 9000, false}}) {
    CAPTURE(R.Name);
    CrashDetector D;
    D.onBroken(at(0), upstream("u", 5), traits({1}));
    D.onProbe(at(2), "u", ProbeResult::Accepted);
    D.dueProbes(at(R.AtMs));
    const auto Found = D.onUpstreams(at(R.AtMs), catalogOf(R.Known));
    REQUIRE(Found.size() == (R.Crashed ? 1 : 0));
    if (R.Crashed)
      CHECK(Found[0].Report.Age == std::chrono::milliseconds(R.AtMs));
    CHECK(D.onUpstreams(at(R.AtMs), catalogOf(R.Known)).empty());
  }
}

TEST_CASE("sends that break long after others are another case") {
  CrashDetector D;
  CHECK(D.onBroken(at(0), upstream("u", 1), traits({1})));
  D.onProbe(at(2), "u", ProbeResult::Accepted);
  CHECK(D.onBroken(at(2000), upstream("u", 1), traits({2})));
  const auto Report = D.onProbe(at(2002), "u", ProbeResult::Refused);
  REQUIRE(Report);
  CHECK(Report->Age == std::chrono::milliseconds(2));
  CHECK(Report->Traits.size() == 1);
}

TEST_CASE("the state of the detection is bounded") {
  CrashDetector D;
  for (size_t I = 0; I <= CrashDetector::MaxUpstreams; ++I)
    D.onBroken(at(static_cast<int64_t>(I)),
               upstream("u" + std::to_string(I), 1), traits({I}));
  CHECK_FALSE(D.onProbe(at(5000), "u0", ProbeResult::Refused));
  CHECK(D.onProbe(at(5000), "u1", ProbeResult::Refused));
  std::vector<uint64_t> Many;
  for (uint64_t I = 0; I < 2 * CrashDetector::MaxTraits; ++I)
    Many.push_back(I);
  D.onBroken(at(6000), upstream("many", 1), traits(Many));
  CHECK(D.onProbe(at(6000), "many", ProbeResult::Refused)->Traits.size() ==
        CrashDetector::MaxTraits);
}
