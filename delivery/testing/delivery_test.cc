// Tests of the check of engine answers and of the table of suspects.
#include <doctest/doctest.h>

#include "base/random.h"
#include "delivery/answer_check.h"
#include "delivery/suspect_table.h"

using namespace goldcrestlink;

namespace {

const std::string Part = R"(data: {"id":"cmpl-r1","model":"a@1"})"
                         "\n\n";
const std::string End = "data: [DONE]\n\n";

struct StreamRow {
  const char *Name;
  std::string Bytes;
  bool Accepted;
  bool Complete;
};

const StreamRow StreamRows[] = {
    {"complete", Part + Part + End, true, true},
    {"cut after a part", Part, true, false},
    {"cut within a part", Part + Part.substr(0, 20), true, false},
    {"another request's id",
     R"(data: {"id":"cmpl-r2","model":"a@1"})"
     "\n\n",
     false, false},
    {"another version",
     R"(data: {"id":"cmpl-r1","model":"a@2"})"
     "\n\n",
     false, false},
    {"no model",
     R"(data: {"id":"cmpl-r1"})"
     "\n\n",
     false, false},
    {"not JSON", "data: hello\n\n", false, false},
    {"not an event", "hello\n\n", false, false},
    {"something after the end", Part + End + Part, false, false},
    {"empty", "", true, false},
};

} // namespace

TEST_CASE(
    "the result of a stream check does not depend on how the bytes are split") {
  Random R(2);
  for (const StreamRow &Row : StreamRows)
    for (int Repetition = 0; Repetition < 20; ++Repetition) {
      AnswerCheck C("a@1", "r1", true);
      std::string Checked;
      bool Accepted = true;
      for (size_t I = 0; I < Row.Bytes.size() && Accepted;) {
        const size_t Length = 1 + R.below(12);
        Accepted =
            C.feed(std::string_view(Row.Bytes).substr(I, Length), Checked);
        I += Length;
      }
      CHECK_MESSAGE(Accepted == Row.Accepted, std::string(Row.Name));
      CHECK_MESSAGE((Accepted && C.complete(Checked)) == Row.Complete,
                    std::string(Row.Name));
      // What is forwarded is always a prefix of the stream.
      CHECK(Checked.size() % 2 ==
            Row.Bytes.substr(0, Checked.size()).size() % 2);
      CHECK(Row.Bytes.compare(0, Checked.size(), Checked) == 0);
    }
}

TEST_CASE("an answer that is not streamed is checked at its end") {
  std::string Checked;
  AnswerCheck Good("a@1", "r1", false);
  CHECK(Good.feed(R"({"id":"r1",)", Checked));
  CHECK(Good.feed(R"("model":"a@1"})", Checked));
  CHECK(Good.complete(Checked));
  AnswerCheck Cut("a@1", "r1", false);
  CHECK(Cut.feed(R"({"id":"r1","mod)", Checked));
  CHECK_FALSE(Cut.complete(Checked));
}

namespace {
Time at(int64_t Seconds) { return Time(std::chrono::seconds(Seconds)); }
} // namespace

TEST_CASE(
    "a second crash quarantines a fingerprint, a repeated notice does not") {
  SuspectTable T(
      SuspectTable::Options().setQuarantine(std::chrono::seconds(60)));
  const uint64_t Both[] = {1, 2};
  const uint64_t One[] = {1};
  T.noteCrash(at(0), "c1", Both);
  T.noteCrash(at(1), "c1", Both);
  CHECK(T.verdict(at(1), 1) == Suspicion::Suspect);
  T.clear(2); // A request that did not cause the crash finished.
  CHECK(T.verdict(at(1), 2) == Suspicion::Clean);
  T.noteCrash(at(2), "c2", One);
  CHECK(T.verdict(at(2), 1) == Suspicion::Quarantined);
  T.clear(1);
  CHECK(T.verdict(at(2), 1) == Suspicion::Quarantined);
  CHECK(T.verdict(at(63), 1) == Suspicion::Clean);
}

TEST_CASE("the table of suspects holds at most maxEntries fingerprints") {
  SuspectTable T(SuspectTable::Options().setMaxEntries(10));
  for (uint64_t I = 0; I < 100; ++I) {
    const uint64_t F[] = {I};
    T.noteCrash(at(static_cast<int64_t>(I)), "c" + std::to_string(I), F);
  }
  CHECK(T.size() <= 10);
  CHECK(T.verdict(at(100), 99) == Suspicion::Suspect);
}
