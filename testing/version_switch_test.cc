// The real programs: requests run on an announced version within the bound,
// also at a side that learns of it later than the entries.
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <map>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "testing/platform_deployment.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

// The platform's bound from the announcement of a version to the last request
// that begins on an older one.
constexpr Duration VersionBound = std::chrono::seconds(5);
// A side takes less than this to switch after the announcement; callers are
// watched for as long behind the bound.
constexpr Duration WatchTime = std::chrono::seconds(2);
constexpr Duration CallPause = std::chrono::milliseconds(20);
const char *const Adapters[] = {"a1", "a2"};

Time now() { return currentTime().Steady; }

// The version that has answered; 0 if the call was not served.
int versionOf(const http::Response &R) {
  return R.Head.Status == 200
             ? std::atoi(std::string(R.Head.header("Weight-Versions")).c_str())
             : 0;
}

void serveAll(PlatformDeployment &System) {
  for (const char *Adapter : Adapters)
    for (const size_t Entry : {0, 1})
      REQUIRE(System.eventuallyServed(Entry, "/stream/x", Adapter));
}

// Announces a version of all adapters and returns when.
Time release(PlatformDeployment &System, int Version) {
  for (const char *Adapter : Adapters)
    System.Platform.release(Adapter, Version);
  return now();
}

struct AnswerCount {
  int Served = 0;
  // By a version before the required one.
  int Outdated = 0;

  AnswerCount &operator+=(const AnswerCount &Other) {
    Served += Other.Served;
    Outdated += Other.Outdated;
    return *this;
  }
};

// Calls all adapters until \p End.
AnswerCount callUntil(PlatformDeployment &System, int Required, Time End) {
  AnswerCount Out;
  while (now() < End)
    for (const char *Adapter : Adapters)
      for (const size_t Entry : {0, 1}) {
        const int Used = versionOf(System.call(Entry, "/stream/x", Adapter));
        Out += {Used > 0 ? 1 : 0, Used > 0 && Used < Required ? 1 : 0};
        std::this_thread::sleep_for(CallPause);
      }
  return Out;
}

// While it exists, streams of all adapters overlap, so that none is ever
// unused.
class OverlappingStreams {
public:
  explicit OverlappingStreams(PlatformDeployment &System) {
    for (const char *Adapter : Adapters)
      for (const size_t Entry : {0, 1})
        Threads.emplace_back([this, &System, Adapter, Entry] {
          while (!Done)
            if (System.stream(Entry, {.Adapter = Adapter, .Events = Events})
                    .Status != 200)
              std::this_thread::sleep_for(CallPause);
        });
  }
  ~OverlappingStreams() {
    Done = true;
    for (std::thread &T : Threads)
      T.join();
  }

private:
  // About two seconds each.
  static constexpr size_t Events = 200;
  std::atomic<bool> Done{false};
  std::vector<std::thread> Threads;
};

} // namespace

// Guards against a side that counts the time to replace an adapter from when it
// learns of the version instead of from the announcement.
TEST_CASE("a side that learns late of a version grants no request on an older "
          "one after the bound") {
  enum class Late { Stopped, Restarted };
  struct Row {
    const char *Name;
    Late How;
    // From the announcement until the side runs again.
    Duration Delay;
    // Another version follows after this time; zero: none.
    Duration NextAfter;
  };
  using std::chrono::milliseconds;
  const Row Rows[] = {
      {"stood still", Late::Stopped, milliseconds(4800), {}},
      {"started anew", Late::Restarted, milliseconds(4300), {}},
      {"stood still while two were announced", Late::Stopped,
       milliseconds(4800), milliseconds(4000)},
  };
  // Each is replaced at a time of its own.
  constexpr int Rounds = 3;
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    PlatformDeployment System(1);
    serveAll(System);
    int Newest = 1;
    for (int Round = 0; Round < Rounds; ++Round) {
      CAPTURE(Round);
      if (R.How == Late::Stopped)
        System.signal("side0", SIGSTOP);
      else
        System.kill("side0");
      const int Required = ++Newest;
      const Time Announced = release(System, Required);
      if (R.NextAfter > Duration(0)) {
        std::this_thread::sleep_until(Announced + R.NextAfter);
        release(System, ++Newest);
      }
      std::this_thread::sleep_until(Announced + R.Delay);
      if (R.How == Late::Stopped)
        System.signal("side0", SIGCONT);
      else
        System.startSide("side0", System.Engines.at(0));
      std::this_thread::sleep_until(Announced + VersionBound);
      const AnswerCount Answers =
          callUntil(System, Required, Announced + VersionBound + WatchTime);
      CHECK(Answers.Outdated == 0);
      CHECK(Answers.Served > 0);
      serveAll(System);
    }
  }
}

// Guards against a version that is not required while newer ones are announced.
TEST_CASE("versions announced in quick succession keep no old one in use") {
  constexpr Duration Interval = std::chrono::milliseconds(1000);
  constexpr int Versions = 10;
  PlatformDeployment System(1);
  serveAll(System);
  const OverlappingStreams Streams(System);
  std::map<int, Time> Announced;
  AnswerCount Answers;
  for (int Version = 2; Version < 2 + Versions; ++Version) {
    Announced[Version] = release(System, Version);
    // The newest version that has been announced for as long as the bound.
    int Required = 1;
    for (const auto &[Number, At] : Announced)
      if (now() >= At + VersionBound)
        Required = Number;
    Answers += callUntil(System, Required, Announced[Version] + Interval);
  }
  CHECK(Answers.Outdated == 0);
  CHECK(Answers.Served > 0);
}
