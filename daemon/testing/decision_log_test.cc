// A log that receives more lines than its rate allows: pushing never blocks,
// kept lines are dropped only when their queue is full, and the numbers of
// dropped lines are correct.
#include <doctest/doctest.h>

#include <algorithm>
#include <thread>
#include <vector>

#include "daemon/decision_log.h"

using namespace goldcrestlink;

namespace {

constexpr int64_t Rate = 100;
constexpr Time Start{std::chrono::seconds(50)};

class LineCollector {
public:
  DecisionLog::Sink sink() {
    return [this](const std::string &Line) { Lines.push_back(Line); };
  }
  size_t countContaining(const std::string &Text) const {
    return static_cast<size_t>(
        std::count_if(Lines.begin(), Lines.end(), [&](const std::string &Line) {
          return Line.find(Text) != std::string::npos;
        }));
  }

  std::vector<std::string> Lines;
};

} // namespace

TEST_CASE(
    "beyond the rate, routine lines are dropped and kept lines are written") {
  constexpr size_t Threads = 4;
  constexpr size_t RoutineEach = 4000;
  constexpr size_t KeptEach = 60;
  LineCollector Out;
  DecisionLog Log(Rate, Out.sink());
  std::vector<std::thread> Pushers;
  for (size_t T = 0; T < Threads; ++T)
    Pushers.emplace_back([&] {
      for (size_t I = 0; I < RoutineEach; ++I) {
        Log.push(LogClass::Routine, "send id=r");
        if (I % (RoutineEach / KeptEach) == 0 &&
            I / (RoutineEach / KeptEach) < KeptEach)
          Log.push(LogClass::Kept, "end id=r outcome=no_room");
      }
    });
  for (std::thread &T : Pushers)
    T.join();
  Log.drain(Start);
  // The first drain writes one second's burst, kept lines first.
  CHECK(Out.Lines.size() <= Rate);
  CHECK(Out.countContaining("outcome=no_room") == Rate);
  for (int Second = 1; Second <= 3; ++Second)
    Log.drain(Start + std::chrono::seconds(Second));
  CHECK(Out.countContaining("outcome=no_room") == Threads * KeptEach);
  CHECK(Log.dropped(LogClass::Kept) == 0);
  CHECK(Out.countContaining("send id=r") + Log.dropped(LogClass::Routine) ==
        Threads * RoutineEach);
  CHECK(Out.countContaining("dropped_routine=" + std::to_string(Log.dropped(
                                                     LogClass::Routine))) == 1);
}

TEST_CASE("within the rate no line is dropped, and lines keep their order") {
  LineCollector Out;
  DecisionLog Log(Rate, Out.sink());
  for (int I = 0; I < 40; ++I)
    Log.push(LogClass::Routine, "n=" + std::to_string(I) + ".");
  Log.drain(Start);
  REQUIRE(Out.Lines.size() == 40);
  for (int I = 0; I < 40; ++I)
    CHECK(Out.Lines[static_cast<size_t>(I)].find("n=" + std::to_string(I) +
                                                 ".") != std::string::npos);
  CHECK(Out.Lines.front().substr(0, 2) == "t=");
}

TEST_CASE("pushing to a log that is not drained does not block") {
  constexpr size_t LineCount = 50000;
  LineCollector Out;
  DecisionLog Log(Rate, Out.sink());
  for (size_t I = 0; I < LineCount; ++I)
    Log.push(LogClass::Kept, "end");
  const uint64_t Dropped = Log.dropped(LogClass::Kept);
  CHECK(Dropped > 0);
  // finish() writes all kept lines that are still queued, regardless of the
  // rate.
  Log.finish(Start);
  CHECK(Out.countContaining("end") + Dropped == LineCount);
}

TEST_CASE("what another process or writer has named cannot end a line") {
  LineCollector Out;
  DecisionLog Log(Rate, Out.sink());
  Log.push(LogClass::Kept,
           "upstream id=a software=v1\nend id=r\r\t\x1b[2J\x7f" +
               std::string(1, '\0') + "\xc3\xa9 revision=4");
  Log.drain(Start);
  REQUIRE(Out.Lines.size() == 1);
  CHECK(std::none_of(Out.Lines[0].begin(), Out.Lines[0].end(), [](char C) {
    return static_cast<unsigned char>(C) < ' ' || C == '\x7f';
  }));
  CHECK(Out.countContaining(
            "software=v1?end id=r???[2J??\xc3\xa9 revision=4") == 1);
}
