// Which connections a server gives up.
#include <doctest/doctest.h>

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
