// UpstreamPauses: when an upstream that wants no requests gets some again.
#include <doctest/doctest.h>

#include "forward/upstream_pauses.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;

namespace {
using std::chrono::milliseconds;
Time at(int64_t Ms) { return Time(milliseconds(100000 + Ms)); }
} // namespace

TEST_CASE("an upstream gets no request during its pause and one after it") {
  UpstreamPauses P;
  P.onPause(at(0), "u", milliseconds(1500));
  CHECK_FALSE(P.allows(at(1499), "u"));
  CHECK(P.remaining(at(500), "u") == milliseconds(1000));
  CHECK(P.allows(at(0), "other"));
  // An answer to a request from before does not end the pause.
  P.onAnswer(at(100), "u");
  CHECK_FALSE(P.allows(at(200), "u"));
  CHECK(P.allows(at(1500), "u"));
  P.onSent(at(1500), "u");
  CHECK_FALSE(P.allows(at(1501), "u"));
  P.onAnswer(at(1600), "u");
  CHECK(P.allows(at(1601), "u"));
}

TEST_CASE("a pause is not shortened, and a trial without answer ends") {
  UpstreamPauses P;
  P.onPause(at(0), "u", milliseconds(3000));
  P.onPause(at(100), "u", milliseconds(10));
  CHECK_FALSE(P.allows(at(2999), "u"));
  P.onSent(at(3000), "u");
  CHECK_FALSE(P.allows(at(3999), "u"));
  CHECK(P.allows(at(3000) + UpstreamPauses::TrialTimeout, "u"));
  P.onPause(at(5000), "u", std::chrono::hours(1));
  CHECK(P.remaining(at(5000), "u") == UpstreamPauses::MaxPause);
  P.retain({});
  CHECK(P.allows(at(5001), "u"));
}
