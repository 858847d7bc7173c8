// Which connections a server gives up.
#include <doctest/doctest.h>

#include <set>
#include <vector>

#include "http/connection_policy.h"

using namespace goldcrestlink;
using namespace goldcrestlink::http;

namespace {
Time at(int Ms) {
  return Time(std::chrono::seconds(100) + std::chrono::milliseconds(Ms));
}
} // namespace

TEST_CASE("a deadline closes only connections on which nothing has arrived") {
  struct Row {
    const char *Name;
    int NowMs;
    ConnectionStage Stage;
    bool HasArrived;
    DeadlineStep Expected;
  };
  constexpr int DeadlineMs = 1000;
  const Row Rows[] = {
      {"before", 999, ConnectionStage::Idle, false, DeadlineStep::Wait},
      {"idle", 1000, ConnectionStage::Idle, false, DeadlineStep::Close},
      {"idle, paused", 9000, ConnectionStage::Idle, true, DeadlineStep::Wait},
      {"head", 1000, ConnectionStage::Head, false, DeadlineStep::Refuse},
      {"head, paused", 9000, ConnectionStage::Head, true, DeadlineStep::Wait},
      {"body", 1000, ConnectionStage::Body, false, DeadlineStep::Refuse},
      {"body, paused", 9000, ConnectionStage::Body, true, DeadlineStep::Wait},
      {"refused", 1000, ConnectionStage::Refused, false, DeadlineStep::Close},
      {"refused, sends on", 1000, ConnectionStage::Refused, true,
       DeadlineStep::Close},
  };
  for (const Row &R : Rows) {
    CAPTURE(std::string(R.Name));
    CHECK(stepAtDeadline(at(R.NowMs), at(DeadlineMs), R.Stage, R.HasArrived) ==
          R.Expected);
  }
}

TEST_CASE("the connection that is quiet for longest yields if its client is "
          "silent") {
  struct Row {
    const char *Name;
    /// Time since the last progress of each candidate.
    std::vector<int> QuietMs;
    /// Positions of clients from which bytes have arrived.
    std::set<size_t> Busy;
    std::optional<size_t> Expected;
  };
  constexpr Duration MinQuiet = std::chrono::milliseconds(1000);
  const std::vector<int> Many(MaxSilenceChecks + 1, 2000);
  std::set<size_t> AllBusy;
  for (size_t I = 0; I < Many.size(); ++I)
    AllBusy.insert(I);
  const Row Rows[] = {
      {"none", {}, {}, std::nullopt},
      {"oldest", {1500, 4000, 2000}, {}, 1},
      {"oldest has sent", {1500, 4000, 2000}, {1}, 2},
      {"all have sent", {1500, 4000, 2000}, {0, 1, 2}, std::nullopt},
      {"not quiet for long", {999, 10}, {}, std::nullopt},
      {"the others are not quiet for long", {999, 4000}, {1}, std::nullopt},
      {"many have sent", Many, AllBusy, std::nullopt},
  };
  for (const Row &R : Rows) {
    CAPTURE(std::string(R.Name));
    std::vector<YieldCandidate> Candidates;
    for (const int Ms : R.QuietMs)
      Candidates.push_back({at(-Ms)});
    size_t Checks = 0;
    CHECK(chooseYielding(at(0), MinQuiet, Candidates, [&](size_t I) {
            ++Checks;
            return !R.Busy.contains(I);
          }) == R.Expected);
    CHECK(Checks <= MaxSilenceChecks);
  }
}
