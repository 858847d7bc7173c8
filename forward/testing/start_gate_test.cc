// StartGate: when an entry that has just started takes requests.
#include <doctest/doctest.h>

#include "forward/testing/forwarder_harness.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;
using namespace goldcrestlink::forward::testing;

TEST_CASE(
    "an entry takes requests once a side has told what it knows, or after "
    "a while") {
  struct Row {
    const char *Name;
    bool HasSides;
    bool SideTells;
    int64_t AtMs;
    bool IsOpen;
  };
  for (const Row &R : {Row{"not yet told", true, false, 499, false},
                       Row{"told", true, true, 1, true},
                       Row{"never told", true, false, 500, true},
                       Row{"no sides", false, false, 0, true}}) {
    CAPTURE(R.Name);
    StartGate Gate;
    CHECK_FALSE(Gate.isOpen(at(0)));
    Gate.onCatalog(at(0), R.HasSides);
    if (R.SideTells)
      Gate.onSideState();
    Gate.onCatalog(at(1), R.HasSides);
    CHECK(Gate.isOpen(at(R.AtMs)) == R.IsOpen);
  }
}

TEST_CASE("an entry rejects calls until a side has told what it knows, also if "
          "it knows no upstream yet") {
  Recorder Port;
  Forwarder Machine(Forwarder::Options(), Port, 7);
  auto Empty = std::make_shared<Catalog>();
  Empty->applyConfig(deployment()->sharedConfig(), "");
  Machine.onCatalog(at(0), Empty);
  Machine.onCatalog(at(1), deployment());
  Machine.onCall(at(2), 1, Entry::incoming("/read/x"));
  CHECK(Port.Status == 503);
  CHECK(Port.Reason == EndReason::Starting);
  CHECK(Port.Sends.empty());
  CHECK_FALSE(Machine.isReady(at(2)));
  Machine.onSideState(at(3));
  CHECK(Machine.isReady(at(3)));
  Machine.onCall(at(3), 2, Entry::incoming("/read/x"));
  CHECK(Port.Sends.size() == 1);
}
