// The log under more lines than its rate: nothing waits, kept lines stay, and
// the count of dropped ones is true.
#include <doctest/doctest.h>

#include <algorithm>
#include <thread>
#include <vector>

#include "daemon/decision_log.h"

using namespace goldcrestlink;

namespace {

constexpr int64_t Rate = 100;
constexpr Time Start{std::chrono::seconds(50)};

class Sink {
public:
  DecisionLog::Sink in() {
    return [this](const std::string &Line) { Lines.push_back(Line); };
  }
  size_t with(const std::string &Word) const {
    return static_cast<size_t>(
        std::count_if(Lines.begin(), Lines.end(), [&](const std::string &Line) {
          return Line.find(Word) != std::string::npos;
        }));
  }

  std::vector<std::string> Lines;
};

} // namespace

TEST_CASE("routine lines go first when there are too many") {
  constexpr size_t Threads = 4;
  constexpr size_t RoutineEach = 4000;
  constexpr size_t KeptEach = 60;
  Sink Out;
  DecisionLog Log(Rate, Out.in());
  std::vector<std::thread> Pushing;
  for (size_t T = 0; T < Threads; ++T)
    Pushing.emplace_back([&] {
      for (size_t I = 0; I < RoutineEach; ++I) {
        Log.push(LineClass::Routine, "send id=r");
        if (I % (RoutineEach / KeptEach) == 0 &&
            I / (RoutineEach / KeptEach) < KeptEach)
          Log.push(LineClass::Kept, "end id=r outcome=no_room");
      }
    });
  for (std::thread &T : Pushing)
    T.join();
  Log.drain(Start);
  // One second's burst, kept lines first.
  CHECK(Out.Lines.size() <= Rate);
  CHECK(Out.with("outcome=no_room") == Rate);
  for (int Second = 1; Second <= 3; ++Second)
    Log.drain(Start + std::chrono::seconds(Second));
  CHECK(Out.with("outcome=no_room") == Threads * KeptEach);
  CHECK(Log.dropped(LineClass::Kept) == 0);
  CHECK(Out.with("send id=r") + Log.dropped(LineClass::Routine) ==
        Threads * RoutineEach);
  CHECK(Out.with("dropped_routine=" +
                 std::to_string(Log.dropped(LineClass::Routine))) == 1);
}

TEST_CASE("within the rate nothing is dropped, and lines keep their order") {
  Sink Out;
  DecisionLog Log(Rate, Out.in());
  for (int I = 0; I < 40; ++I)
    Log.push(LineClass::Routine, "n=" + std::to_string(I) + ".");
  Log.drain(Start);
  REQUIRE(Out.Lines.size() == 40);
  for (int I = 0; I < 40; ++I)
    CHECK(Out.Lines[static_cast<size_t>(I)].find("n=" + std::to_string(I) +
                                                 ".") != std::string::npos);
  CHECK(Out.Lines.front().substr(0, 2) == "t=");
}

TEST_CASE("a log that nobody drains blocks nobody") {
  constexpr size_t Pushed = 50000;
  Sink Out;
  DecisionLog Log(Rate, Out.in());
  for (size_t I = 0; I < Pushed; ++I)
    Log.push(LineClass::Kept, "end");
  const uint64_t Dropped = Log.dropped(LineClass::Kept);
  CHECK(Dropped > 0);
  // The end of the process writes all that is left, whatever the rate.
  Log.finish(Start);
  CHECK(Out.with("end") + Dropped == Pushed);
}
