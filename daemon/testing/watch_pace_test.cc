// Calls to the store of a whole deployment, and how late one entry alone learns
// that an upstream drains.
#include <doctest/doctest.h>

#include "daemon/watch_pace.h"

using namespace goldcrestlink;

TEST_CASE("watches of upstreams cost the store little, and no entry depends on "
          "another to see an upstream drain") {
  struct Row {
    size_t Entries;
    int64_t DrainMs;
    /// Calls of all entries per second, at most.
    double Calls;
  };
  const Row Rows[] = {{1, 2000, 2},   {4, 2000, 7},    {12, 3000, 8.1},
                      {27, 4000, 14}, {100, 4000, 50}, {1800, 4000, 900}};
  for (const Row &R : Rows) {
    CAPTURE(R.Entries);
    const Duration DrainTime = std::chrono::milliseconds(R.DrainMs);
    const WatchPace Pace = watchPace(R.Entries, DrainTime);
    CHECK(static_cast<double>(R.Entries) / seconds(Pace.UpstreamPause) <=
          R.Calls);
    CHECK(Pace.UpstreamPause <= DrainTime / 2);
    // An open watch may never be answered; it waits up to a fifth longer.
    CHECK(Pace.UpstreamPause + Pace.UpstreamRenewal * 6 / 5 < DrainTime);
    CHECK(Pace.UpstreamRenewal >= std::chrono::milliseconds(500));
    // Renewals of all entries together.
    CHECK(static_cast<double>(R.Entries) / seconds(Pace.ConfigRenewal) > 2);
    CHECK(static_cast<double>(R.Entries) / seconds(Pace.ReleaseRenewal) >=
          doctest::Approx(1));
  }
  // Short drain times.
  CHECK(watchPace(100, std::chrono::milliseconds(500)).UpstreamPause ==
        std::chrono::milliseconds(600));
}
