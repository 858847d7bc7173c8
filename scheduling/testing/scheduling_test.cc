// RankQueue: shares of ranks and applications, bounds, order and removal of
// late attempts.
#include <doctest/doctest.h>

#include "base/random.h"
#include "scheduling/rank_queue.h"

using namespace goldcrestlink;

namespace {

Time at(int64_t Ms) { return Time(Duration(Ms * 1000)); }

WaitingAttempt item(int Id, size_t Rank, const char *App = "app") {
  WaitingAttempt I;
  I.AttemptId = std::to_string(Id);
  I.Rank = Rank;
  I.Application = App;
  I.Target = at(100000 + Id);
  I.ServiceTime = std::chrono::seconds(1);
  return I;
}

const auto Anything = [](const WaitingAttempt &) { return true; };

struct OverloadRow {
  const char *Name;
  // Attempts added at each rank per attempt served.
  double AddedPerStep[3];
  // Minimum fraction of the service that each rank must get.
  double MinShare[3];
};

// Shares are 0.3, 0.3 and 0.2.
const OverloadRow OverloadRows[] = {
    {"bulk rank overloaded", {0.3, 0.3, 10}, {0.25, 0.25, 0.35}},
    {"urgent rank overloaded", {10, 0.4, 0.3}, {0.4, 0.29, 0.19}},
    {"all ranks overloaded", {10, 10, 10}, {0.4, 0.29, 0.19}},
    {"only the bulk rank has work", {0, 0, 2}, {0, 0, 0.99}},
};

} // namespace

TEST_CASE("each rank keeps its share while another rank is overloaded") {
  for (const OverloadRow &Row : OverloadRows) {
    RankQueue Q(RankQueue::Options().setMaxWaiting(100000), {0.3, 0.3, 0.2},
                {});
    Random R(3);
    double Pending[3] = {};
    double Served[3] = {};
    int Id = 0;
    constexpr int Steps = 2000;
    for (int Step = 0; Step < Steps; ++Step) {
      for (size_t Rank = 0; Rank < 3; ++Rank)
        for (Pending[Rank] += Row.AddedPerStep[Rank]; Pending[Rank] >= 1;
             --Pending[Rank])
          Q.push(item(++Id, Rank));
      if (const auto Item = Q.pickNext(at(Step * 100), Anything))
        ++Served[Item->Rank];
    }
    for (size_t Rank = 0; Rank < 3; ++Rank)
      CHECK_MESSAGE(Served[Rank] / Steps >= Row.MinShare[Rank] * 0.95,
                    std::string(Row.Name) << " rank " << Rank);
  }
}

TEST_CASE("applications of a rank are served in proportion to their shares") {
  RankQueue Q(RankQueue::Options().setMaxWaiting(100000), {1.0},
              {{"big", 3}, {"small", 1}});
  int Big = 0;
  for (int I = 0; I < 4000; ++I)
    Q.push(item(I, 0, I % 2 ? "big" : "small"));
  for (int I = 0; I < 400; ++I)
    Big += Q.pickNext(at(I), Anything)->Application == "big" ? 1 : 0;
  CHECK(Big >= 295);
  CHECK(Big <= 305);
}

TEST_CASE(
    "the queue is bounded, ordered by target, and removes late attempts") {
  RankQueue Q(RankQueue::Options().setMaxWaiting(3), {0.5, 0.5}, {});
  CHECK(Q.push(item(3, 1)));
  CHECK(Q.push(item(1, 1)));
  CHECK(Q.push(item(2, 0)));
  CHECK_FALSE(Q.push(item(4, 0)));
  CHECK(Q.workAhead(0) == std::chrono::seconds(1));
  CHECK(Q.workAhead(1) == std::chrono::seconds(3));
  CHECK(Q.remove("2"));
  CHECK_FALSE(Q.remove("2"));
  // Each attempt takes 1 s, so attempt 1 becomes too late 1 s before its
  // target.
  CHECK(Q.takeTooLate(at(99001)).empty());
  const auto Late = Q.takeTooLate(at(99002));
  REQUIRE(Late.size() == 1);
  CHECK(Late[0].AttemptId == "1");
  CHECK(Q.size() == 1);
}

TEST_CASE("an attempt that cannot start does not block others") {
  RankQueue Q(RankQueue::Options(), {0.5, 0.5}, {});
  Q.push(item(1, 0));
  Q.push(item(2, 1));
  const auto Picked = Q.pickNext(
      at(0), [](const WaitingAttempt &I) { return I.AttemptId == "2"; });
  REQUIRE(Picked);
  CHECK(Picked->AttemptId == "2");
}
