// LeavingUpstreams: which incarnations leave, for how long, and how many.
#include <doctest/doctest.h>

#include "forward/leaving_upstreams.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;

namespace {
Time at(int64_t Seconds) { return Time(std::chrono::seconds(1000 + Seconds)); }
} // namespace

TEST_CASE("only a later incarnation under the same id does not leave") {
  LeavingUpstreams L;
  CHECK(L.add(at(0), {"a", 5}));
  CHECK_FALSE(L.add(at(1), {"a", 5}));
  CHECK_FALSE(L.add(at(1), {"a", 4}));
  CHECK(L.contains({"a", 5}));
  CHECK(L.contains({"a", 4}));
  CHECK(L.contains({"a", 0}));
  CHECK_FALSE(L.contains({"a", 6}));
  CHECK_FALSE(L.contains({"b", 5}));
  CHECK(L.add(at(2), {"a", 6}));
  CHECK(L.contains({"a", 6}));
  CHECK(L.all() == std::vector<UpstreamIncarnation>{{"a", 6}});
}

TEST_CASE(
    "a notice with an unknown start covers the first start that is known") {
  LeavingUpstreams L;
  CHECK(L.add(at(0), {"a", 0}));
  CHECK_FALSE(L.add(at(0), {"a", 0}));
  CHECK(L.contains({"a", 0}));
  CHECK(L.contains({"a", 5}));
  L.onRecord({"a", 5});
  CHECK(L.contains({"a", 5}));
  CHECK_FALSE(L.contains({"a", 6}));
  L.onRecord({"a", 6});
  CHECK_FALSE(L.contains({"a", 6}));
  L.onRecord({"b", 7});
  CHECK_FALSE(L.contains({"b", 7}));
}

TEST_CASE("notices of upstreams that leave expire and are bounded in number") {
  LeavingUpstreams L;
  for (size_t I = 0; I <= LeavingUpstreams::MaxUpstreams; ++I)
    L.add(at(0), {"u" + std::to_string(I), 1});
  CHECK(L.all().size() == LeavingUpstreams::MaxUpstreams);
  CHECK_FALSE(L.contains({"u0", 1}));
  CHECK(L.contains({"u1", 1}));
  L.expire(at(0) + LeavingUpstreams::Lifetime);
  CHECK(L.contains({"u1", 1}));
  L.expire(at(1) + LeavingUpstreams::Lifetime);
  CHECK(L.all().empty());
}
