// Tests of the decisions of a side, most of them with one injected fault.
#include <doctest/doctest.h>

#include "base/hash.h"
#include "side/side_state_machine.h"

using namespace goldcrestlink;
using namespace goldcrestlink::side;

namespace {

const char *ConfigText =
    "[policy]\nshards_per_service = 1\nclock_skew_ms = 0\n"
    "[rank urgent]\npriority = 0\ntarget_ms = 4000\n"
    "deadline_ms = 8000\nshare = 0.5\n"
    "[rank bulk]\npriority = 1\ntarget_ms = 9000\nshare = 0.2\n"
    "[engine e]\nmodel = oak\ndata_center = d\nslots = 2\n"
    "max_concurrent = 2\nside = 127.0.0.1:1\n"
    "address = 127.0.0.1:2\n"
    "[service s]\nservice = ledger\ndata_center = d\n"
    "max_concurrent = 1\nside = 127.0.0.1:3\n"
    "address = 127.0.0.1:4\n"
    "[adapter a]\nmodel = oak\nversions = 1 2\n";

std::shared_ptr<const Declarations> config(uint64_t Generation = 1) {
  FindingList Findings;
  return Declarations::parse({{"t.ini", ConfigText}}, Generation, Findings);
}

CurrentTime at(int64_t Ms) {
  return {Time(std::chrono::milliseconds(100000 + Ms)),
          WallTime(std::chrono::milliseconds(100000 + Ms))};
}

// A state machine with helpers that send messages to it and inspect the actions
// it requested.
struct SideFixture {
  explicit SideFixture(const char *Upstream, SideStateMachine::Options O = {})
      : Machine(O, config(), Upstream, 7) {}

  void sendAttempt(int64_t Ms, const std::string &Id, wire::Attempt A) {
    A.set_attempt_id(Id);
    A.set_request_id("r" + Id);
    A.set_rank("urgent");
    if (!A.time_left_us())
      A.set_time_left_us(8000000);
    A.set_target_left_us(4000000);
    wire::Envelope E;
    *E.mutable_attempt() = std::move(A);
    receive(Ms, E);
  }

  void sendCompletion(int64_t Ms, const std::string &Id,
                      const char *Version = "1", uint64_t Fingerprint = 1) {
    wire::Attempt A;
    A.set_upstream("e");
    A.set_adapter("a");
    A.set_version(Version);
    A.set_idempotent(true);
    A.set_stream(true);
    A.set_max_tokens(10);
    A.set_fingerprint(Fingerprint);
    sendAttempt(Ms, Id, A);
  }

  void sendKeyedCall(int64_t Ms, const std::string &Id,
                     const std::string &Key) {
    wire::Attempt A;
    A.set_upstream("s");
    A.set_key(Key);
    A.set_key_issued_ms(unixMillis(at(Ms).Wall));
    A.set_received_ms(unixMillis(at(Ms).Wall));
    A.set_method("POST");
    A.set_path("/orders");
    sendAttempt(Ms, Id, A);
  }

  void receive(int64_t Ms, const wire::Envelope &E,
               const std::string &Peer = "p") {
    Machine.onEnvelope(at(Ms), Peer, E, Out);
  }

  void completeLoads(int64_t Ms) {
    grantPermits(Ms);
    for (const Action &A : Actions(Out))
      if (const auto *L = std::get_if<LoadAdapter>(&A))
        Machine.onLoadDone(at(Ms), L->Slot, L->Key, true, Out);
  }

  // Delivers permit messages back to the state machine, which is its own broker
  // as the only engine of its cell.
  void grantPermits(int64_t Ms) {
    for (int Round = 0; Round < 3; ++Round)
      for (const Action &A : Actions(std::move(Out))) {
        if (const auto *T = std::get_if<SendToSide>(&A))
          Machine.onEnvelope(at(Ms), "e", T->Message, Out);
        else if (const auto *R = std::get_if<Reply>(&A);
                 R && R->Message.has_permit_grant())
          Machine.onEnvelope(at(Ms), "e", R->Message, Out);
        else
          Out.push_back(A);
      }
  }

  template <class Kind> size_t count() const {
    size_t Count = 0;
    for (const Action &A : Out)
      Count += std::holds_alternative<Kind>(A) ? 1 : 0;
    return Count;
  }

  // The last event sent for the attempt.
  wire::AttemptEvent lastEvent(const std::string &Id) const {
    wire::AttemptEvent Found;
    for (const Action &A : Out)
      if (const auto *R = std::get_if<Reply>(&A))
        if (R->Message.event().attempt_id() == Id)
          Found = R->Message.event();
    return Found;
  }

  SideStateMachine Machine;
  Actions Out;
};

} // namespace

// Guards against attempts that wait at a side which ends: without an answer
// their entries can only report that they may have run.
TEST_CASE("a side that ends refuses the attempts that have not run") {
  SideFixture Side("s");
  Side.Machine.takeShard(at(-10), 0, 1);
  Side.Machine.extendLease(at(60000).Steady);
  Side.sendKeyedCall(0, "1", "first");
  // Waits, because the service runs one call at a time.
  Side.sendKeyedCall(10, "2", "second");
  REQUIRE(Side.Machine.waiting() == 1);
  Side.Machine.setDraining(true);
  Side.Machine.refuseWaiting(at(20), Side.Out);
  CHECK(Side.Machine.waiting() == 0);
  CHECK(Side.Machine.running() == 1);
  CHECK(Side.lastEvent("2").kind() == wire::AttemptEvent::REFUSED);
  CHECK(Side.lastEvent("2").outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(Side.lastEvent("2").code() == std::string(codeName(Code::Draining)));
  CHECK(Side.lastEvent("1").kind() != wire::AttemptEvent::REFUSED);
}

TEST_CASE("a keyed call is not started after the shard lease has expired") {
  for (const bool LeaseChecked : {true, false}) {
    SideStateMachine::Options O;
    if (!LeaseChecked)
      SideMutation::disableLeaseCheck(O);
    SideFixture Side("s", O);
    Side.Machine.takeShard(at(-10), 0, 1);
    Side.Machine.extendLease(at(1000).Steady);
    Side.sendKeyedCall(0, "1", "first");
    // Waits, because the service runs one call at a time.
    Side.sendKeyedCall(10, "2", "second");
    CHECK(Side.count<StartRun>() == 1);
    // The process is paused until its lease has expired. Then it receives the
    // end of the first call, which would start the second one.
    Side.Machine.onRunHead(at(1500), "1", 200, "", Side.Out);
    Side.Machine.onRunDone(at(1500), "1", Side.Out);
    CHECK(Side.count<StartRun>() == (LeaseChecked ? 1 : 2));
    if (LeaseChecked) {
      CHECK(Side.lastEvent("2").code() == "lease_lapsed");
      CHECK(Side.lastEvent("2").outcome() == wire::OUTCOME_NOT_RUN);
    }
  }
}

TEST_CASE("a second submission of a key joins the first") {
  SideFixture Side("s");
  Side.Machine.takeShard(at(-10), 0, 1);
  Side.Machine.extendLease(at(10000).Steady);
  Side.sendKeyedCall(0, "1", "key");
  wire::Attempt Again;
  Again.set_upstream("s");
  Again.set_key("key");
  Again.set_key_issued_ms(unixMillis(at(0).Wall));
  Again.set_received_ms(unixMillis(at(5).Wall));
  Side.sendAttempt(5, "2", Again);
  CHECK(Side.count<StartRun>() == 1);
  Side.Machine.onRunHead(at(50), "1", 201, "text/plain", Side.Out);
  Side.Machine.onRunData(at(50), "1", "made", Side.Out);
  Side.Machine.onRunDone(at(50), "1", Side.Out);
  for (const char *Id : {"1", "2"}) {
    CHECK(Side.lastEvent(Id).kind() == wire::AttemptEvent::DONE);
    CHECK(Side.lastEvent(Id).status() == 201);
    CHECK(Side.lastEvent(Id).data() == "made");
  }
}

namespace {

struct RefusalRow {
  const char *Name;
  void (*Prepare)(SideFixture &);
  const char *Code;
};

const RefusalRow RefusalRows[] = {
    {"draining", [](SideFixture &Side) { Side.Machine.setDraining(true); },
     "leaving"},
    {"upstream down",
     [](SideFixture &Side) {
       Side.Machine.onUpstreamCheck(at(0), {UpstreamStatus::Kind::Refused, {}},
                                    Side.Out);
     },
     "upstream_down"},
    {"quarantined",
     [](SideFixture &Side) {
       for (const char *Crash : {"c1", "c2"}) {
         wire::Envelope E;
         E.mutable_suspect_notice()->add_fingerprints(1);
         E.mutable_suspect_notice()->set_crash_id(Crash);
         Side.receive(0, E);
       }
     },
     "quarantined"},
};

} // namespace

TEST_CASE("a refused attempt is answered at once with outcome not_run") {
  for (const RefusalRow &Row : RefusalRows) {
    SideFixture Side("e");
    Row.Prepare(Side);
    Side.sendCompletion(10, "1");
    CHECK_MESSAGE(Side.lastEvent("1").code() == Row.Code,
                  std::string(Row.Name));
    CHECK(Side.lastEvent("1").outcome() == wire::OUTCOME_NOT_RUN);
    CHECK(Side.count<StartRun>() == 0);
  }
}

TEST_CASE("an adapter is loaded once for all attempts that wait for it") {
  SideFixture Side("e");
  Side.sendCompletion(0, "1");
  Side.sendCompletion(1, "2");
  Side.completeLoads(20);
  CHECK(Side.count<LoadAdapter>() == 1);
  CHECK(Side.count<StartRun>() == 2);
}

TEST_CASE("an unnoticed engine restart empties the slots") {
  SideFixture Side("e");
  Side.sendCompletion(0, "1");
  Side.completeLoads(20);
  REQUIRE(Side.count<StartRun>() == 1);
  // The engine reports that it does not have the adapter.
  Side.Machine.onRunHead(at(30), "1", 404, "", Side.Out);
  Side.Machine.onRunDone(at(30), "1", Side.Out);
  CHECK(Side.lastEvent("1").outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(Side.count<CheckUpstream>() >= 1);
  Side.Machine.onUpstreamCheck(
      at(40), {UpstreamStatus::Kind::Healthy, {"", ""}}, Side.Out);
  CHECK_FALSE(Side.Machine.slots().ready(hash64("a@1")));
}

TEST_CASE("a broken connection to a healthy engine fails only its attempt") {
  SideFixture Side("e");
  Side.sendCompletion(0, "1");
  Side.completeLoads(20);
  Side.Machine.onRunError(at(30), "1", RunError::Broken, Side.Out);
  CHECK(Side.lastEvent("1").kind() != wire::AttemptEvent::FAILED);
  UpstreamStatus Healthy;
  for (const Slot &S : Side.Machine.slots().slots())
    Healthy.SlotKeys.push_back(S.Key);
  Side.Machine.onUpstreamCheck(at(40), Healthy, Side.Out);
  CHECK(Side.lastEvent("1").code() == "interrupted");
  CHECK_FALSE(Side.lastEvent("1").suspect());
}

TEST_CASE("all attempts that ran when the engine crashed are suspect") {
  SideFixture Side("e");
  Side.sendCompletion(0, "1", "1", 11);
  Side.sendCompletion(0, "2", "1", 12);
  Side.completeLoads(20);
  Side.Machine.onRunError(at(30), "1", RunError::Broken, Side.Out);
  Side.Machine.onUpstreamCheck(at(40), {UpstreamStatus::Kind::Refused, {}},
                               Side.Out);
  CHECK(Side.lastEvent("1").suspect());
  CHECK(Side.lastEvent("2").suspect());
  CHECK(Side.Machine.upstreamDown());
}

TEST_CASE("an answer without end is cut off with bounded memory") {
  struct Row {
    const char *Upstream;
    unsigned Status;
  };
  constexpr size_t MaxBytes = 8 * 1024 * 1024;
  const std::string Part(64 * 1024, 'x');
  for (const Row &R : {Row{"s", 200}, Row{"s", 500}, Row{"e", 500}}) {
    CAPTURE(R.Upstream);
    CAPTURE(R.Status);
    SideFixture Side(R.Upstream);
    Side.Machine.takeShard(at(-10), 0, 1);
    Side.Machine.extendLease(at(10000).Steady);
    if (std::string_view(R.Upstream) == "s") {
      Side.sendKeyedCall(0, "1", "first");
    } else {
      Side.sendCompletion(0, "1");
      Side.completeLoads(10);
    }
    REQUIRE(Side.count<StartRun>() == 1);
    Side.Machine.onRunHead(at(20), "1", R.Status, "text/plain", Side.Out);
    size_t Sent = 0;
    for (; Side.count<CancelRun>() == 0 && Sent <= 2 * MaxBytes;
         Sent += Part.size())
      Side.Machine.onRunData(at(30), "1", Part, Side.Out);
    CHECK(Sent <= MaxBytes + Part.size());
    CHECK(Side.lastEvent("1").kind() == wire::AttemptEvent::FAILED);
  }
}

TEST_CASE("an attempt denied before it arrived never runs") {
  SideFixture Side("e");
  wire::Envelope E;
  E.mutable_resume()->set_attempt_id("1");
  Side.receive(0, E);
  CHECK(Side.lastEvent("1").code() == "never_arrived");
  Side.Out.clear();
  Side.sendCompletion(10, "1"); // The delayed attempt arrives.
  CHECK(Side.count<StartRun>() == 0);
  CHECK(Side.Machine.waiting() == 0);
}

TEST_CASE("a resume sends the events from the requested sequence number on") {
  SideFixture Side("e");
  Side.sendCompletion(0, "1");
  Side.completeLoads(20);
  Side.Machine.onRunHead(at(30), "1", 200, "text/event-stream", Side.Out);
  Side.Machine.onRunData(
      at(31), "1", "data: {\"id\":\"cmpl-1\",\"model\":\"a@1\"}\n\n", Side.Out);
  Side.Out.clear();
  wire::Envelope E;
  E.mutable_resume()->set_attempt_id("1");
  E.mutable_resume()->set_next_sequence(1);
  Side.receive(40, E, "new-connection");
  REQUIRE(Side.Out.size() == 2);
  const auto &First = std::get<Reply>(Side.Out[0]);
  CHECK(First.Peer == "new-connection");
  CHECK(First.Message.event().sequence() == 1);
}

TEST_CASE("the last event of a stream states its longest pause at the side") {
  for (const int64_t MaxPauseMs : {0, 300, 500}) {
    CAPTURE(MaxPauseMs);
    SideFixture Side("e");
    wire::Attempt A;
    A.set_upstream("e");
    A.set_adapter("a");
    A.set_version("1");
    A.set_idempotent(true);
    A.set_stream(true);
    A.set_max_tokens(10);
    A.set_max_pause_us(static_cast<uint64_t>(MaxPauseMs * 1000));
    Side.sendAttempt(0, "1", A);
    Side.completeLoads(1);
    REQUIRE(Side.count<StartRun>() == 1);
    const std::string Part = "data: {\"model\":\"a@1\",\"id\":\"1\"}\n\n";
    Side.Machine.onRunHead(at(10), "1", 200, "text/event-stream", Side.Out);
    Side.Machine.onRunData(at(20), "1", Part, Side.Out);
    Side.Machine.onRunData(at(420), "1", Part, Side.Out);
    Side.Machine.onRunData(at(430), "1", "data: [DONE]\n\n", Side.Out);
    Side.Machine.onRunDone(at(440), "1", Side.Out);
    const wire::AttemptEvent Last = Side.lastEvent("1");
    REQUIRE(Last.kind() == wire::AttemptEvent::DONE);
    CHECK(Last.observes_pauses());
    CHECK(Last.longest_pause_us() == 400000);
    size_t Lines = 0;
    for (const Action &Item : Side.Out)
      if (const auto *L = std::get_if<LogDecision>(&Item))
        Lines += L->Line.starts_with("long_pause ") ? 1 : 0;
    CHECK(Lines == (MaxPauseMs == 300 ? 1 : 0));
  }
}

TEST_CASE("a pause of the process does not count as a stall of its engine") {
  struct Row {
    // The timer stands still for PauseMs, SilentMs after the last event, and
    // runs for RunMs after that.
    int SilentMs;
    int PauseMs;
    int RunMs;
    bool IsCancelled;
  };
  const Row Rows[] = {{500, 3000, 30, false}, {2800, 300, 30, false},
                      {2980, 480, 30, false}, {0, 0, 2900, false},
                      {0, 0, 4100, true},     {500, 3000, 3600, true},
                      {2800, 300, 1300, true}};
  for (const Row &R : Rows) {
    CAPTURE(R.SilentMs);
    CAPTURE(R.PauseMs);
    CAPTURE(R.RunMs);
    SideFixture Side("e");
    Side.sendCompletion(0, "1");
    Side.completeLoads(0);
    REQUIRE(Side.count<StartRun>() == 1);
    int64_t Ms = 0;
    const auto RunTimer = [&](int64_t Length) {
      for (const int64_t End = Ms + Length; Ms < End; Ms += 10)
        Side.Machine.onTimer(at(Ms), Side.Out);
    };
    RunTimer(10);
    Side.Machine.onRunHead(at(Ms), "1", 200, "text/event-stream", Side.Out);
    RunTimer(R.SilentMs);
    Ms += R.PauseMs;
    RunTimer(R.RunMs);
    CHECK(Side.count<CancelRun>() == (R.IsCancelled ? 1 : 0));
  }
}

TEST_CASE("a new configuration keeps the waiting attempts") {
  SideFixture Side("e");
  Side.sendCompletion(0, "1");
  Side.Machine.onConfig(at(10), config(2), Side.Out);
  CHECK(Side.Machine.waiting() == 1);
  CHECK(Side.Machine.generation() == 2);
  Side.completeLoads(30);
  CHECK(Side.count<StartRun>() == 1);
}

TEST_CASE("two versions of an adapter occupy two slots") {
  SideFixture Side("e");
  Side.sendCompletion(0, "1", "1");
  Side.sendCompletion(0, "2", "2");
  Side.completeLoads(20);
  CHECK(Side.Machine.slots().ready(hash64("a@1")));
  CHECK(Side.Machine.slots().ready(hash64("a@2")));
}
