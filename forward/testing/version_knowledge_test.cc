// VersionKnowledge: when the software version of a record can be relied on.
#include <doctest/doctest.h>

#include "forward/version_knowledge.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;

namespace {
Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }
} // namespace

TEST_CASE("records are current for a while after the store has answered") {
  VersionKnowledge K;
  CHECK_FALSE(K.isCurrent(at(0)));
  K.onCurrent(at(0));
  CHECK(K.isCurrent(at(3000)));
  CHECK_FALSE(K.isCurrent(at(3001)));
  K.onCurrent(at(2000));
  K.onCurrent(at(1000));
  CHECK(K.isCurrent(at(5000)));
  K.onStall(at(5000));
  CHECK_FALSE(K.isCurrent(at(5000)));
  // The answer to a call of before the stall may be as old.
  K.onCurrent(at(4000));
  CHECK_FALSE(K.isCurrent(at(5001)));
  K.onCurrent(at(5001));
  CHECK(K.isCurrent(at(5002)));
}

TEST_CASE("a side tells whether a record is of the present incarnation") {
  struct Row {
    const char *Name;
    uint64_t RecordStart;
    uint64_t EngineStart;
    bool IsCurrent;
    bool StalledSince;
    bool Certain;
  };
  for (const Row &R :
       {Row{"same", 5, 5, false, false, true},
        Row{"started again", 5, 7, true, false, false},
        Row{"side knows an earlier one", 5, 4, true, false, false},
        Row{"record without start", 0, 7, false, false, false},
        Row{"the same, current", 0, 7, true, false, true},
        Row{"side without start", 5, 0, true, false, true},
        Row{"reply of before a stall", 5, 5, true, true, false}}) {
    CAPTURE(R.Name);
    VersionKnowledge K;
    if (R.StalledSince)
      K.onStall(at(20));
    if (R.IsCurrent)
      K.onCurrent(at(20));
    UpstreamRecord Record;
    Record.StartedMs = R.RecordStart;
    AdmissionReply Reply;
    Reply.EngineStartedMs = R.EngineStart;
    CHECK(K.isCertain(at(30), Record, Reply, at(10)) == R.Certain);
  }
}
