// The real programs against engines of several software versions: a stream goes
// on at the version that began it, or not at all.
#include <csignal>

#include <doctest/doctest.h>

#include "testing/platform_deployment.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

// A refusal of a stream that cannot go on does not wait for its deadline.
constexpr double MaxRefusalSeconds = 4;

void serveBoth(PlatformDeployment &System) {
  for (const size_t Entry : {0, 1})
    REQUIRE(eventually([&] { return System.stream(Entry, {}).Status == 200; },
                       MaxWaitSeconds));
}

// The engine that has run \p RequestId last.
std::string engineOf(const PlatformDeployment &System, int Engines,
                     const std::string &RequestId) {
  for (int I = 0; I < Engines; ++I) {
    std::string Name = "e" + std::to_string(I);
    const std::vector<std::string> Ran = System.Platform.tally(Name).Ran;
    if (!Ran.empty() && Ran.back() == RequestId)
      return Name;
  }
  return "";
}

void restartEntries(PlatformDeployment &System) {
  for (const int I : {0, 1}) {
    System.startEntry(I);
    REQUIRE(eventually([&] { return System.ready(static_cast<size_t>(I)); },
                       MaxWaitSeconds));
  }
}

} // namespace

TEST_CASE("a broken stream is not continued by another software version") {
  constexpr int Engines = 3;
  PlatformDeployment System(Engines);
  for (const char *Name : {"e1", "e2"})
    System.Platform.setSoftwareVersion(Name, "v2");
  serveBoth(System);
  int Continued = 0;
  int Broken = 0;
  for (int I = 0; I < 12; ++I) {
    std::string Crashed;
    const StreamResult R = System.stream(
        static_cast<size_t>(I % 2), {.Adapter = "a" + std::to_string(I)}, 5,
        [&](const StreamResult &S) {
          Crashed = engineOf(System, Engines, S.RequestId);
          System.Platform.crash(Crashed);
        });
    if (Crashed.empty())
      continue;
    CHECK(R.versions().size() == 1);
    CHECK((R.Complete ? R.lastEvent() == 40 : R.lastEvent() >= 5));
    (R.Complete ? Continued : Broken) += 1;
    System.Platform.start(Crashed);
    serveBoth(System);
  }
  CHECK(Continued > 0);
  CHECK(Broken > 0);
}

TEST_CASE("a stream taken up after all entries were killed goes on at its "
          "software version") {
  constexpr int Engines = 4;
  PlatformDeployment System(Engines);
  for (const char *Name : {"e2", "e3"})
    System.Platform.setSoftwareVersion(Name, "v2");
  serveBoth(System);
  std::set<std::string> Versions;
  std::string Crashed;
  const auto KillEntries = [&](const StreamResult &S) {
    // The engine that began the stream cannot go on with it.
    if (Crashed.empty()) {
      Crashed = engineOf(System, Engines, S.RequestId);
      System.Platform.crash(Crashed);
    }
    for (const char *Name : {"entry0", "entry1"})
      System.kill(Name);
  };
  for (int I = 0; I < 6; ++I) {
    const auto Entry = static_cast<size_t>(I % 2);
    const std::string Adapter = "a" + std::to_string(I);
    const StreamResult First =
        System.stream(Entry, {.Adapter = Adapter}, 5, KillEntries);
    REQUIRE(First.Status == 200);
    REQUIRE_FALSE(First.Complete);
    restartEntries(System);
    // A take-up of a take-up names the first attempt as well.
    StreamResult Second;
    CHECK(eventually(
        [&] {
          Second = System.stream(1 - Entry,
                                 {.Adapter = Adapter,
                                  .Resumes = First.RequestId,
                                  .AfterEvent = First.lastEvent()},
                                 5, KillEntries);
          return Second.Status == 200;
        },
        MaxWaitSeconds));
    restartEntries(System);
    StreamResult Third;
    CHECK(eventually(
        [&] {
          Third = System.stream(Entry, {.Adapter = Adapter,
                                        .Resumes = First.RequestId,
                                        .AfterEvent = Second.lastEvent()});
          return Third.Status == 200;
        },
        MaxWaitSeconds));
    CHECK(Third.Complete);
    CHECK(Third.lastEvent() == 40);
    CHECK(First.versions().size() == 1);
    CHECK(Second.versions() == First.versions());
    CHECK(Third.versions() == First.versions());
    Versions.merge(First.versions());
    System.Platform.start(Crashed);
    Crashed.clear();
    serveBoth(System);
  }
  CHECK(Versions.size() == 2);
}

TEST_CASE("a stream whose software version is gone or not known is refused at "
          "once") {
  constexpr int Engines = 3;
  PlatformDeployment System(Engines);
  for (const char *Name : {"e1", "e2"})
    System.Platform.setSoftwareVersion(Name, "v2");
  serveBoth(System);
  // A stream at the only engine of the first version.
  StreamResult First;
  std::string Adapter;
  for (int I = 0; First.RequestId.empty() && I < 40; ++I) {
    Adapter = "a" + std::to_string(I);
    StreamResult S;
    CHECK(eventually(
        [&] {
          S = System.stream(0, {.Adapter = Adapter, .Events = 5});
          return S.Complete && S.Status == 200;
        },
        MaxWaitSeconds));
    if (S.versions().contains("v1"))
      First = S;
  }
  REQUIRE_FALSE(First.RequestId.empty());
  const StreamRequest TakeUp = {.Adapter = Adapter,
                                .Events = 10,
                                .Resumes = First.RequestId,
                                .AfterEvent = 5};
  const auto CheckRefused = [&](size_t Entry, const StreamRequest &Wanted) {
    const StreamResult R = System.stream(Entry, Wanted);
    CHECK(R.Status == 503);
    CHECK(R.HasRetryAfter);
    CHECK(seconds(R.Took) < MaxRefusalSeconds);
  };
  System.Platform.remove("e0");
  CHECK(eventually(
      [&] {
        return System.stream(0, TakeUp).Status == 503 &&
               System.stream(1, TakeUp).Status == 503;
      },
      MaxWaitSeconds));
  for (const size_t Entry : {0, 1}) {
    CheckRefused(Entry, TakeUp);
    StreamRequest Unknown = TakeUp;
    Unknown.Resumes = "never-seen";
    CheckRefused(Entry, Unknown);
    Unknown.Resumes.clear();
    CheckRefused(Entry, Unknown);
  }
  System.Platform.restore("e0");
  for (const size_t Entry : {0, 1}) {
    StreamResult R;
    CHECK(eventually(
        [&] {
          R = System.stream(Entry, TakeUp);
          return R.Status == 200;
        },
        MaxWaitSeconds));
    CHECK(R.versions() == First.versions());
  }
}

TEST_CASE("a stream is not joined with an upstream that has started again with "
          "other software") {
  constexpr int Engines = 2;
  enum class Unseen { StoreSilent, EntryStopped };
  for (const Unseen How : {Unseen::StoreSilent, Unseen::EntryStopped}) {
    CAPTURE(static_cast<int>(How));
    PlatformDeployment System(Engines);
    serveBoth(System);
    const StreamResult First = System.stream(0, {.Adapter = "a1", .Events = 5});
    REQUIRE(First.Complete);
    // Both engines start again under their ids, which entry 1 cannot see.
    if (How == Unseen::StoreSilent)
      System.Platform.setStoreFault(StoreFault::Silent);
    else
      System.signal("entry1", SIGSTOP);
    for (const char *Name : {"e0", "e1"}) {
      const std::string Id = Name;
      System.Platform.crash(Name);
      System.Platform.setSoftwareVersion(Name, "v2");
      System.Platform.start(Name, Id);
    }
    if (How == Unseen::EntryStopped) {
      // The sides have engines again that serve the adapter.
      CHECK(eventually(
          [&] { return System.stream(0, {.Adapter = "a1"}).Status == 200; },
          MaxWaitSeconds));
      System.signal("entry1", SIGCONT);
    }
    int Joined = 0;
    for (int I = 0; I < 12; ++I) {
      const StreamResult R = System.stream(1, {.Adapter = "a1",
                                               .Events = 10,
                                               .Resumes = First.RequestId,
                                               .AfterEvent = 5});
      CHECK(seconds(R.Took) < MaxRefusalSeconds);
      Joined += R.versions().contains("v2") ? 1 : 0;
    }
    CHECK(Joined == 0);
    // New streams are served, and by the new software.
    System.Platform.setStoreFault(StoreFault::None);
    serveBoth(System);
  }
}
