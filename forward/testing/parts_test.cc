// The classes that a Forwarder uses to decide: retry allowance, event splitter,
// engine ranking and service balancing.
#include <doctest/doctest.h>

#include <algorithm>

#include "base/random.h"
#include "forward/engine_ranker.h"
#include "forward/event_splitter.h"
#include "forward/retry_allowance.h"
#include "forward/service_balancer.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;

namespace {
Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }

UpstreamRecord upstream(const std::string &Id, const char *DataCentre) {
  UpstreamRecord U;
  U.Id = Id;
  U.DataCentre = DataCentre;
  U.Slots = 6;
  return U;
}
} // namespace

TEST_CASE("retries of all entries together stay within the limit") {
  // Each of four entries gets a quarter of the requests; every request fails
  // once.
  constexpr size_t Entries = 4;
  constexpr double Ratio = 0.2;
  constexpr double Slack = 56;
  std::vector<RetryAllowance> All(
      Entries, RetryAllowance(
                   RetryAllowance::Options().setRatio(Ratio).setSlack(Slack)));
  std::vector<int64_t> Requests;
  std::vector<int64_t> Retries;
  for (int64_t Ms = 0; Ms < 40000; Ms += 5) {
    RetryAllowance &A = All[static_cast<size_t>(Ms / 5) % Entries];
    A.onRequest(at(Ms));
    Requests.push_back(Ms);
    if (A.take(at(Ms), Entries))
      Retries.push_back(Ms);
  }
  CHECK(Retries.size() > 1000);
  for (int64_t From = 0; From < 30000; From += 100) {
    const auto Within = [&](const std::vector<int64_t> &List) {
      return static_cast<double>(
          std::count_if(List.begin(), List.end(), [&](int64_t Ms) {
            return Ms >= From && Ms < From + 10000;
          }));
    };
    CHECK(Within(Retries) <= Ratio * Within(Requests) + Slack);
  }
}

TEST_CASE("streams are split at event boundaries for any size of parts") {
  const std::string Text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 10\nda";
  for (size_t Size = 1; Size <= Text.size(); ++Size) {
    EventSplitter S;
    std::string Complete;
    for (size_t At = 0; At < Text.size(); At += Size)
      Complete += S.feed(std::string_view(Text).substr(At, Size));
    CHECK(Complete == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(S.lastId() == "2");
    CHECK(S.pending() == std::string_view("id: 10\nda").size());
  }
}

TEST_CASE("the engine with the earliest expected first token ranks first") {
  const UpstreamRecord A = upstream("a", "here");
  const UpstreamRecord B = upstream("b", "here");
  const UpstreamRecord Far = upstream("far", "there");
  const std::vector<const UpstreamRecord *> All = {&A, &B, &Far};
  const EngineRequirements Required{"m", "x", 0, 400};
  EngineRanker Ranker(EngineRanker::Options().setDataCentre("here"));
  const auto Load = [](int64_t BacklogMs, bool Holds, bool Serving = true) {
    EngineLoad L;
    L.Serving = Serving;
    L.Backlog.fill(std::chrono::milliseconds(BacklogMs));
    if (Holds)
      L.Held = {adapterHash("m", "x")};
    return L;
  };
  struct Row {
    const char *Name;
    EngineLoad OfA, OfB, OfFar;
    const char *First;
  };
  const Row Rows[] = {
      {"engine that holds the adapter", Load(0, false), Load(0, true),
       Load(0, false), "b"},
      {"less loaded of two holders", Load(200, true), Load(0, true),
       Load(0, false), "b"},
      {"holder in the same data centre", Load(0, true), Load(900, false),
       Load(0, true), "a"},
      {"remote holder instead of a long wait", Load(900, true),
       Load(900, false), Load(0, true), "far"},
      {"no engine that is not serving", Load(0, true, false), Load(50, true),
       Load(300, true), "b"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Ranker.onLoad(at(0), "a", R.OfA);
    Ranker.onLoad(at(0), "b", R.OfB);
    Ranker.onLoad(at(0), "far", R.OfFar);
    const auto Ranked = Ranker.rank(at(0), Required, All);
    REQUIRE_FALSE(Ranked.empty());
    CHECK(Ranked.front().Upstream->Id == R.First);
  }
}

TEST_CASE("a rarely used adapter keeps one preferred engine, a heavily used "
          "one gets more") {
  EngineRanker Ranker(EngineRanker::Options().setDataCentre("here"));
  std::vector<UpstreamRecord> Records;
  for (int I = 0; I < 10; ++I)
    Records.push_back(upstream("e" + std::to_string(I), "here"));
  std::vector<const UpstreamRecord *> All;
  for (const UpstreamRecord &U : Records)
    All.push_back(&U);
  const EngineRequirements Required{"m", "x", 0, 600};
  const std::string Preferred =
      Ranker.rank(at(0), Required, All).front().Upstream->Id;
  CHECK(Ranker.preferredEngines(at(0), Required) == 1);
  Ranker.onDemand(at(0), Required);
  CHECK(Ranker.rank(at(1), Required, All).front().Upstream->Id == Preferred);
  for (int I = 0; I < 300; ++I)
    Ranker.onDemand(at(I * 20), Required);
  CHECK(Ranker.preferredEngines(at(6000), Required) >= 4);
  // Once demand has ceased, one preferred engine is left.
  CHECK(Ranker.preferredEngines(at(60000), Required) == 1);
}

TEST_CASE("a sudden rise in demand adds preferred engines within a second") {
  EngineRanker Ranker(EngineRanker::Options().setDataCentre("here"));
  Ranker.setEntries(12);
  const EngineRequirements Hot{"m", "hot", 0, 600};
  const EngineRequirements Cold{"m", "cold", 0, 600};
  // Ten requests a second at each of twelve entries need four engines.
  for (int I = 0; I < 10; ++I)
    Ranker.onDemand(at(I * 100), Hot);
  CHECK(Ranker.preferredEngines(at(1000), Hot) >= 4);
  // Two arrivals may be random fluctuation and do not count as a rise, however
  // many entries there are.
  for (int I = 0; I < 2; ++I)
    Ranker.onDemand(at(I * 100), Cold);
  CHECK(Ranker.preferredEngines(at(200), Cold) <= 2);
}

TEST_CASE(
    "plain calls go to the least loaded upstream within the entry's share") {
  const UpstreamRecord A = upstream("a", "here");
  const UpstreamRecord B = upstream("b", "here");
  const std::vector<const UpstreamRecord *> Both = {&A, &B};
  ServiceBalancer Balancer(ServiceBalancer::Options().setDataCentre("here"));
  Balancer.setEntries(3);
  size_t Sent = 0;
  std::map<std::string, int> PerUpstream;
  while (const UpstreamRecord *U = Balancer.choose(at(0), Both, {})) {
    Balancer.onSent(U->Id);
    ++PerUpstream[U->Id];
    REQUIRE(++Sent < 100);
  }
  // Two upstreams with 6 slots and 2.5 calls per slot, shared by three entries.
  CHECK(Sent == 10);
  CHECK(PerUpstream["a"] == PerUpstream["b"]);
  Balancer.onEnded(at(1), "b", false);
  CHECK(Balancer.choose(at(1), Both, {})->Id == "b");
  CHECK(Balancer.choose(at(1), Both, {"b"}) == nullptr);
  Balancer.onUnreachable(at(1), "b");
  CHECK(Balancer.choose(at(2), Both, {}) == nullptr);
  CHECK(Balancer.choose(at(5000), Both, {})->Id == "b");
}
