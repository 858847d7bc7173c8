// StreamPosition: which answers of several sends continue one stream.
#include <doctest/doctest.h>

#include <vector>

#include "forward/stream_position.h"

using namespace goldcrestlink::forward;

namespace {

struct SendRow {
  const char *Name;
  // Last-Event-Id of the caller; empty if it wants the whole stream.
  const char *StartAfter;
  // Answers of the sends, one after the other.
  std::vector<std::string> Answers;
  const char *Forwarded;
  bool Interrupted;
  std::string LastId;
};

} // namespace

TEST_CASE("events that do not continue the stream are not forwarded") {
  const SendRow Rows[] = {
      {"next",
       "",
       {"id: 1\n\nid: 2\n\nid: 3\nd", "id: 3\n\n"},
       "id: 1\n\nid: 2\n\nid: 3\n\n",
       false,
       "3"},
      {"one missing", "", {"id: 1\n\n", "id: 3\n\n"}, "id: 1\n\n", true, "1"},
      {"one twice", "", {"id: 1\n\n", "id: 1\n\n"}, "id: 1\n\n", true, "1"},
      {"going back",
       "",
       {"id: 1\n\nid: 2\n\n", "id: 3\n\nid: 2\n\n"},
       "id: 1\n\nid: 2\n\nid: 3\n\n",
       true,
       "3"},
      {"missing within a send",
       "",
       {"id: 1\n\nid: 2\n\nid: 4\n\n"},
       "id: 1\n\nid: 2\n\n",
       true,
       "2"},
      {"taken up",
       "7",
       {"id: 8\n\n", "id: 9\n\n"},
       "id: 8\n\nid: 9\n\n",
       false,
       "9"},
      {"taken up with one missing", "7", {"id: 9\n\n"}, "", true, ""},
      {"taken up from the start", "7", {"id: 1\n\n"}, "", true, ""},
      {"rising numbers",
       "",
       {"id: 5\n\nid: 10\n\nid: 15\n\n", "id: 20\n\n"},
       "id: 5\n\nid: 10\n\nid: 15\n\nid: 20\n\n",
       false,
       "20"},
      {"rising numbers, one twice",
       "",
       {"id: 5\n\nid: 10\n\n", "id: 10\n\n"},
       "id: 5\n\nid: 10\n\n",
       true,
       "10"},
      {"ids that are no numbers",
       "",
       {"id: a\n\n", "id: b\n\n"},
       "id: a\n\nid: b\n\n",
       false,
       "b"},
      {"no ids",
       "",
       {"data: a\n\ndata: b\n\n"},
       "data: a\n\ndata: b\n\n",
       false,
       ""},
      {"comments",
       "",
       {"id: 1\n\n: c\n\n", ": d\n\nid: 2\n\n"},
       "id: 1\n\n: c\n\n: d\n\nid: 2\n\n",
       false,
       "2"},
      {"text of an error",
       "",
       {"id: 1\n\n", "no capacity\n\n"},
       "id: 1\n\n",
       true,
       "1"},
      {"head of another answer",
       "",
       {"id: 1\n\nHTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\n\r\n"},
       "id: 1\n\n",
       true,
       "1"},
      {"line ends with carriage returns",
       "",
       {"id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n\r\n"},
       "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n",
       false,
       "2"},
      {"change of the weights",
       "",
       {"id: 1\n\n", "weight-versions: 2\nid: 2\n\n"},
       "id: 1\n\nweight-versions: 2\nid: 2\n\n",
       false,
       "2"},
  };
  for (const SendRow &R : Rows) {
    CAPTURE(R.Name);
    for (size_t Size = 1; Size < 40; ++Size) {
      CAPTURE(Size);
      StreamPosition P;
      P.startAfter(R.StartAfter);
      std::string Forwarded;
      for (const std::string &Answer : R.Answers) {
        P.beginSend();
        for (size_t At = 0; At < Answer.size(); At += Size)
          Forwarded += P.feed(std::string_view(Answer).substr(At, Size));
      }
      CHECK(Forwarded == R.Forwarded);
      CHECK(P.isInterrupted() == R.Interrupted);
      CHECK(P.lastId() == R.LastId);
    }
  }
}

TEST_CASE("an answer that ends with its connection needs an event of its own") {
  StreamPosition P;
  P.beginSend();
  CHECK(P.endsEarly(true));
  CHECK_FALSE(P.endsEarly(false));
  P.feed("id: 1\n\n");
  CHECK_FALSE(P.endsEarly(true));
  P.beginSend();
  P.feed(": c\n\n");
  CHECK(P.endsEarly(true));
  P.feed("id: 2\nda");
  CHECK(P.endsEarly(false));
}
