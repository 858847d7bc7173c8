// Lists of the store whose pages hold objects with names that no object of the
// system has: such an object must hide no other, at whatever place of a page it
// stands.
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "daemon/store_watcher.h"
#include "testing/store_standin.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

using Json = nlohmann::json;

constexpr auto DrainTime = std::chrono::seconds(2);
// The platform's bound on the time in which a process has to catch up with the
// store (catch_up_s).
constexpr auto CatchUpTime = std::chrono::seconds(4);
constexpr int SoundCount = 7;
// Of more objects than the lists of the tests have.
constexpr size_t LargePage = 500;

std::string repeated(std::string_view Text, size_t Times) {
  std::string Out;
  for (size_t I = 0; I < Times; ++I)
    Out += Text;
  return Out;
}

// Ordered among the names of the sound upstreams: m1, m2 and so on.
std::string soundName(int I) { return "m" + std::to_string(I); }

Json soundRecord(int I) {
  return {{"service", "s"},
          {"address", "10.0.0." + std::to_string(I) + ":80"},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 6},
          {"state", "ready"},
          {"born", 1700000000000}};
}

std::set<std::string> soundNames() {
  std::set<std::string> Out;
  for (int I = 1; I <= SoundCount; ++I)
    Out.insert(soundName(I));
  return Out;
}

// A store and a watcher of it, on the thread of the test.
struct WatchedStore {
  WatchedStore() : Store(Io) {}

  // \p Prepare is called before the watcher asks the store.
  void start(const std::function<void(StoreWatcher &)> &Prepare = {}) {
    Watcher.emplace(
        Io, http::Endpoint{"127.0.0.1", Store.port()}, DrainTime, 1, [] {},
        [this](const std::string &Line) { Log.push_back(Line); });
    Watcher->onCurrent([this](Time) { Listed = true; });
    if (Prepare)
      Prepare(*Watcher);
    Watcher->start();
  }
  bool runUntil(const std::function<bool()> &Holds,
                Duration Limit = CatchUpTime) {
    const Time End = currentTime().Steady + Limit;
    while (!Holds() && currentTime().Steady < End)
      Io.run_for(std::chrono::milliseconds(1));
    return Holds();
  }
  std::set<std::string> upstreams() const {
    std::set<std::string> Out;
    for (const auto &[Id, Record] : Watcher->catalog().upstreams())
      Out.insert(Id);
    return Out;
  }
  bool logged(std::string_view Part) const {
    return std::any_of(Log.begin(), Log.end(), [&](const std::string &Line) {
      return Line.find(Part) != std::string::npos;
    });
  }
  void putSound() {
    for (int I = 1; I <= SoundCount; ++I)
      Store.put("servers", soundName(I), soundRecord(I));
  }
  // Writes an object whose name is the JSON text \p Name, which the store
  // orders at \p Place.
  void putNamed(const std::string &Kind, const std::string &Place,
                const std::string &Name, const std::string &Spec) {
    Store.putObjectText(Kind, Place,
                        "{\"metadata\":{\"name\":" + Name + ",\"revision\":" +
                            std::to_string(Store.revision() + 1) +
                            "},\"spec\":" + Spec + ",\"status\":null}");
  }

  boost::asio::io_context Io;
  StoreStandIn Store;
  std::vector<std::string> Log;
  // The watcher has had a complete list of upstreams.
  bool Listed = false;
  std::optional<StoreWatcher> Watcher;
};

// Characters and lengths that a name of the system does not have.
struct NameRow {
  const char *What;
  std::string Part;
};

std::vector<NameRow> oddNames() {
  return {{"blank", " "},
          {"blank and equals sign", " x=1"},
          {"ampersand", "&after=a"},
          {"plus", "+"},
          {"number sign", "#"},
          {"percent sign", "%"},
          {"percent-encoded blank", "%20"},
          {"slash", "/../x"},
          {"question mark", "?watch=1"},
          {"quotation mark", "\""},
          {"backslash", "\\"},
          {"line break", "\r\nHold: 1"},
          {"zero byte", std::string(1, '\0')},
          {"delete", "\x7f"},
          {"umlaut", "\xc3\xa9"},
          {"four-byte character", "\xf0\x9f\x98\x80"},
          {"not UTF-8", "\xff\xfe"},
          {"too long", repeated("x", 300)},
          {"too long for a query", repeated("x", 20000)},
          {"too long, of blanks", repeated(" ", 5000)},
          {"too long, of umlauts", repeated("\xc3\xa9", 5000)}};
}

// The JSON text of \p Name, which need not be UTF-8.
std::string quoted(const std::string &Name) {
  try {
    return Json(Name).dump();
  } catch (const Json::exception &) {
    return "\"" + Name + "\"";
  }
}

} // namespace

// Guards against a list that starts over at a page with no usable name, so that
// a process that has just started knows of no upstream.
TEST_CASE("objects with odd names hide no upstream from a list") {
  struct Place {
    const char *What;
    std::string Prefix;
  };
  const Place Places[] = {{"first", "a"}, {"between", "m3"}, {"last", "z"}};
  const std::string Specs[] = {"{}", R"({"service":7})"};
  for (const NameRow &Row : oddNames())
    for (const Place &At : Places)
      for (const size_t PageSize : {size_t(1), size_t(2), size_t(3), LargePage})
        for (const int Count : {1, 3}) {
          CAPTURE(Row.What);
          CAPTURE(At.What);
          CAPTURE(PageSize);
          CAPTURE(Count);
          WatchedStore System;
          System.Store.setPageSize(PageSize);
          System.putSound();
          for (int I = 0; I < Count; ++I) {
            const std::string Name = At.Prefix + Row.Part + std::to_string(I);
            System.putNamed("servers", Name, quoted(Name), Specs[I % 2]);
          }
          System.start();
          CHECK(System.runUntil([&] { return System.Listed; }));
          CHECK(System.upstreams() == soundNames());
        }
}

TEST_CASE("an object that fills a page hides no upstream from a list") {
  // The platform's largest value.
  constexpr size_t ValueBytes = 1024 * 1024;
  for (const char *Name : {"a b", "m3 b", "a&b"}) {
    CAPTURE(Name);
    WatchedStore System;
    System.putSound();
    System.putNamed("servers", Name, quoted(Name),
                    "\"" + repeated("x", ValueBytes) + "\"");
    System.start();
    CHECK(System.runUntil([&] { return System.Listed; }));
    CHECK(System.upstreams() == soundNames());
  }
}

TEST_CASE("objects with odd names hide no configuration and no release") {
  const Json Config = {
      {"version", 4}, {"routes", Json::array()}, {"services", Json::array()}};
  const Json Release = {{"model", "m"}, {"adapter", "a1"}, {"version", 2}};
  for (const NameRow &Row : oddNames())
    for (const size_t PageSize : {size_t(1), size_t(2), LargePage}) {
      CAPTURE(Row.What);
      CAPTURE(PageSize);
      WatchedStore System;
      System.Store.setPageSize(PageSize);
      System.Store.put("config", "main", Config);
      System.Store.put("versions", "m.a1", Release);
      for (const char *Kind : {"config", "versions"})
        for (const char *Prefix : {"a", "z"}) {
          const std::string Name = Prefix + Row.Part;
          System.putNamed(Kind, Name, quoted(Name), R"({"version":"x"})");
        }
      System.start();
      CHECK(System.runUntil([&] {
        const Catalog &Known = System.Watcher->catalog();
        return Known.revisions().Config == 4 &&
               Known.releasedVersion("m", "a1") == 2;
      }));
    }
}

TEST_CASE("objects with odd names hide no change from a watch") {
  for (const NameRow &Row : oddNames()) {
    CAPTURE(Row.What);
    WatchedStore System;
    System.Store.setPageSize(1);
    System.putSound();
    System.start();
    REQUIRE(System.runUntil([&] { return System.Listed; }));
    const std::string Name = "m3" + Row.Part;
    System.putNamed("servers", Name, quoted(Name), "{}");
    Json Draining = soundRecord(1);
    Draining["state"] = "draining";
    System.Store.put("servers", soundName(1), Draining);
    System.Store.erase("servers", soundName(2));
    System.putNamed("servers", Name, quoted(Name), "[]");
    CHECK(System.runUntil([&] {
      const auto &Known = System.Watcher->catalog().upstreams();
      const auto First = Known.find(soundName(1));
      return First != Known.end() && First->second.Draining &&
             !Known.contains(soundName(2));
    }));
  }
}

TEST_CASE("objects with odd names do not keep the configuration from being "
          "confirmed by short reads") {
  constexpr auto MaxAge = std::chrono::milliseconds(400);
  const auto ConfigOf = [](int Version) -> Json {
    return {{"version", Version},
            {"routes", Json::array()},
            {"services", Json::array()},
            {"tenants", {{{"name", "acme"}, {"keys", {"k"}}}}}};
  };
  for (const NameRow &Row : oddNames()) {
    CAPTURE(Row.What);
    WatchedStore System;
    System.Store.setPageSize(1);
    System.Store.put("config", "main", ConfigOf(1));
    size_t Confirmations = 0;
    System.start([&](StoreWatcher &Watcher) {
      Watcher.confirmConfigEvery(MaxAge);
      Watcher.onConfigConfirmed([&](BootTime) { ++Confirmations; });
    });
    REQUIRE(System.runUntil([&] { return Confirmations > 0; }));
    const std::string Name = "z" + Row.Part;
    System.putNamed("config", Name, quoted(Name), "{}");
    System.Store.put("config", "main", ConfigOf(2));
    const size_t Before = Confirmations;
    CHECK(System.runUntil([&] {
      return System.Watcher->catalog().revisions().Config == 2 &&
             Confirmations > Before + 1;
    }));
  }
}

TEST_CASE("a list goes on behind an object that has been removed since") {
  WatchedStore System;
  System.Store.setPageSize(1);
  System.putSound();
  System.start();
  const Time End = currentTime().Steady + CatchUpTime;
  // An object comes and goes while each page is read.
  for (bool Exists = false; !System.Listed && currentTime().Steady < End;
       Exists = !Exists) {
    System.Io.run_one_for(std::chrono::milliseconds(1));
    if (Exists)
      System.Store.erase("servers", "m3x");
    else
      System.Store.put("servers", "m3x", Json::object());
  }
  CHECK(System.Listed);
  CHECK(System.upstreams() == soundNames());
}

// Guards against a process that reads pages without end.
TEST_CASE("a list that does not advance ends, and is counted and logged") {
  WatchedStore System;
  System.Store.setPageSize(2);
  System.putSound();
  System.Store.setFault(StoreFault::FirstPageOnly);
  System.start();
  REQUIRE(
      System.runUntil([&] { return System.Watcher->unfinishedLists() > 0; }));
  CHECK_FALSE(System.Listed);
  CHECK(System.logged("store kind=servers outcome=list_unfinished pages=2"));
  // Two pages of each kind, and their retries.
  CHECK(System.Watcher->storeCalls() < 20);
  System.Store.setFault(StoreFault::None);
  CHECK(System.runUntil([&] { return System.Listed; }));
  CHECK(System.upstreams() == soundNames());
}

TEST_CASE("a page without any readable name ends the list, which is counted") {
  WatchedStore System;
  System.Store.setPageSize(1);
  System.putSound();
  System.putNamed("servers", "a", R"("\ud800")", "{}");
  System.start();
  REQUIRE(
      System.runUntil([&] { return System.Watcher->unfinishedLists() > 0; }));
  CHECK_FALSE(System.Listed);
  System.Store.erase("servers", "a");
  CHECK(System.runUntil([&] { return System.Listed; }));
  CHECK(System.upstreams() == soundNames());
}

TEST_CASE("an object that is left out is logged once, under its encoded name") {
  WatchedStore System;
  System.Store.setPageSize(1);
  System.putSound();
  const std::string Name = "a \"b\r\n";
  System.putNamed("servers", Name, quoted(Name), "{}");
  System.start();
  REQUIRE(System.runUntil([&] { return System.Listed; }));
  System.Store.dropHistory();
  System.Listed = false;
  // Ends the watch, which started before the history was dropped.
  System.Store.put("servers", "b", Json::object());
  REQUIRE(
      System.runUntil([&] { return System.Listed; }, std::chrono::seconds(20)));
  CHECK(std::count_if(System.Log.begin(), System.Log.end(),
                      [](const std::string &Line) {
                        return Line.find("a%20%22b%0D%0A") != std::string::npos;
                      }) == 1);
}

// Guards against a version that no engine has, so that every request for the
// adapter is refused.
TEST_CASE("an object that is not named after its adapter announces nothing") {
  struct Row {
    const char *Name;
    bool Announces;
  };
  const Row Rows[] = {{"m.a1", true},    {"m.a1&x", false},  {"m.a1+", false},
                      {"m.a1#", false},  {"m.a1%20", false}, {"m.a2", false},
                      {"m", false},      {"a1", false},      {"m/a1", false},
                      {"m.a1.x", false}, {"x.a1", false}};
  const auto Announcing = [](int Version) -> Json {
    return {{"model", "m"}, {"adapter", "a1"}, {"version", Version}};
  };
  for (const Row &R : Rows)
    for (const bool IsWatched : {false, true}) {
      CAPTURE(R.Name);
      CAPTURE(IsWatched);
      WatchedStore System;
      System.Store.put("versions", "m.a1", Announcing(2));
      const auto ReleasedVersion = [&] {
        return System.Watcher->catalog().releasedVersion("m", "a1");
      };
      if (IsWatched) {
        System.start();
        REQUIRE(System.runUntil([&] { return ReleasedVersion() == 2; }));
      }
      System.Store.put("versions", R.Name, Announcing(9));
      System.Store.put("versions", "z.a1",
                       {{"model", "z"}, {"adapter", "a1"}, {"version", 1}});
      if (!IsWatched)
        System.start();
      REQUIRE(System.runUntil([&] {
        return System.Watcher->catalog().releasedVersion("z", "a1") == 1;
      }));
      CHECK(ReleasedVersion() == (R.Announces ? 9 : 2));
    }
}
