// Contract tests of a side's decisions, one fault at a time.
#include <doctest/doctest.h>

#include "base/hash.h"
#include "side/side_machine.h"

using namespace goldcrestlink;
using namespace goldcrestlink::side;

namespace {

const char *Text = "[policy]\nshards_per_service = 1\nclock_skew_ms = 0\n"
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
  return Declarations::parse({{"t.ini", Text}}, Generation, Findings);
}

Now at(int64_t Ms) {
  return {Time(std::chrono::milliseconds(100000 + Ms)),
          WallTime(std::chrono::milliseconds(100000 + Ms))};
}

// A machine with helpers to talk to it and to look at what it wants done.
struct Bench {
  explicit Bench(const char *Upstream, SideMachine::Options O = {})
      : Machine(O, config(), Upstream, 7) {}

  void attempt(int64_t Ms, const std::string &Id, wire::Attempt A) {
    A.set_attempt_id(Id);
    A.set_request_id("r" + Id);
    A.set_rank("urgent");
    if (!A.time_left_us())
      A.set_time_left_us(8000000);
    A.set_target_left_us(4000000);
    wire::Envelope E;
    *E.mutable_attempt() = std::move(A);
    envelope(Ms, E);
  }

  void completion(int64_t Ms, const std::string &Id, const char *Version = "1",
                  uint64_t Fingerprint = 1) {
    wire::Attempt A;
    A.set_upstream("e");
    A.set_adapter("a");
    A.set_version(Version);
    A.set_idempotent(true);
    A.set_stream(true);
    A.set_max_tokens(10);
    A.set_fingerprint(Fingerprint);
    attempt(Ms, Id, A);
  }

  void order(int64_t Ms, const std::string &Id, const std::string &Key) {
    wire::Attempt A;
    A.set_upstream("s");
    A.set_key(Key);
    A.set_key_issued_ms(unixMillis(at(Ms).Wall));
    A.set_received_ms(unixMillis(at(Ms).Wall));
    A.set_method("POST");
    A.set_path("/orders");
    attempt(Ms, Id, A);
  }

  void envelope(int64_t Ms, const wire::Envelope &E,
                const std::string &Peer = "p") {
    Machine.onEnvelope(at(Ms), Peer, E, Out);
  }

  void load(int64_t Ms) {
    grantPermits(Ms);
    for (const Action &A : Actions(Out))
      if (const auto *L = std::get_if<LoadAdapter>(&A))
        Machine.onLoadDone(at(Ms), L->Slot, L->Key, true, Out);
  }

  // Plays broker for itself, as the only engine of its cell.
  void grantPermits(int64_t Ms) {
    for (int Round = 0; Round < 3; ++Round)
      for (const Action &A : Actions(std::move(Out))) {
        if (const auto *T = std::get_if<TellSide>(&A))
          Machine.onEnvelope(at(Ms), "e", T->Message, Out);
        else if (const auto *R = std::get_if<Reply>(&A);
                 R && R->Message.has_permit_grant())
          Machine.onEnvelope(at(Ms), "e", R->Message, Out);
        else
          Out.push_back(A);
      }
  }

  template <class Kind> size_t count() const {
    size_t N = 0;
    for (const Action &A : Out)
      N += std::holds_alternative<Kind>(A) ? 1 : 0;
    return N;
  }

  // The last event for an attempt.
  wire::AttemptEvent last(const std::string &Id) const {
    wire::AttemptEvent Found;
    for (const Action &A : Out)
      if (const auto *R = std::get_if<Reply>(&A))
        if (R->Message.event().attempt_id() == Id)
          Found = R->Message.event();
    return Found;
  }

  SideMachine Machine;
  Actions Out;
};

} // namespace

TEST_CASE("a keyed call is not dispatched once the lease has lapsed") {
  for (const bool Protected : {true, false}) {
    SideMachine::Options O;
    if (!Protected)
      SideMutation::dropLease(O);
    Bench B("s", O);
    B.Machine.takeShard(at(-10), 0, 1);
    B.Machine.extendLease(at(1000).Steady);
    B.order(0, "1", "first");
    B.order(10, "2", "second"); // Waits: the service takes one at a time.
    CHECK(B.count<StartRun>() == 1);
    // The side is paused past its lease; then the first call's end is seen.
    B.Machine.onRunHead(at(1500), "1", 200, "", B.Out);
    B.Machine.onRunDone(at(1500), "1", B.Out);
    CHECK(B.count<StartRun>() == (Protected ? 1 : 2));
    if (Protected) {
      CHECK(B.last("2").code() == "lease_lapsed");
      CHECK(B.last("2").outcome() == wire::OUTCOME_NOT_RUN);
    }
  }
}

TEST_CASE("a second submission of a key joins the first") {
  Bench B("s");
  B.Machine.takeShard(at(-10), 0, 1);
  B.Machine.extendLease(at(10000).Steady);
  B.order(0, "1", "key");
  wire::Attempt Again;
  Again.set_upstream("s");
  Again.set_key("key");
  Again.set_key_issued_ms(unixMillis(at(0).Wall));
  Again.set_received_ms(unixMillis(at(5).Wall));
  B.attempt(5, "2", Again);
  CHECK(B.count<StartRun>() == 1);
  B.Machine.onRunHead(at(50), "1", 201, "text/plain", B.Out);
  B.Machine.onRunData(at(50), "1", "made", B.Out);
  B.Machine.onRunDone(at(50), "1", B.Out);
  for (const char *Id : {"1", "2"}) {
    CHECK(B.last(Id).kind() == wire::AttemptEvent::DONE);
    CHECK(B.last(Id).status() == 201);
    CHECK(B.last(Id).data() == "made");
  }
}

namespace {

struct RefusalRow {
  const char *Name;
  void (*Prepare)(Bench &);
  const char *Code;
};

const RefusalRow RefusalRows[] = {
    {"leaving", [](Bench &B) { B.Machine.setDraining(true); }, "leaving"},
    {"upstream down",
     [](Bench &B) {
       B.Machine.onUpstreamCheck(at(0), {UpstreamStatus::Kind::Refused, {}},
                                 B.Out);
     },
     "upstream_down"},
    {"quarantined",
     [](Bench &B) {
       for (const char *Crash : {"c1", "c2"}) {
         wire::Envelope E;
         E.mutable_suspect_notice()->add_fingerprints(1);
         E.mutable_suspect_notice()->set_crash_id(Crash);
         B.envelope(0, E);
       }
     },
     "quarantined"},
};

} // namespace

TEST_CASE("a refusal says so at once, and that nothing ran") {
  for (const RefusalRow &Row : RefusalRows) {
    Bench B("e");
    Row.Prepare(B);
    B.completion(10, "1");
    CHECK_MESSAGE(B.last("1").code() == Row.Code, std::string(Row.Name));
    CHECK(B.last("1").outcome() == wire::OUTCOME_NOT_RUN);
    CHECK(B.count<StartRun>() == 0);
  }
}

TEST_CASE("an adapter is loaded once for all that wait for it") {
  Bench B("e");
  B.completion(0, "1");
  B.completion(1, "2");
  B.load(20);
  CHECK(B.count<LoadAdapter>() == 1);
  CHECK(B.count<StartRun>() == 2);
}

TEST_CASE("an engine that restarted without telling loses its slots") {
  Bench B("e");
  B.completion(0, "1");
  B.load(20);
  REQUIRE(B.count<StartRun>() == 1);
  // The engine answers that it does not know the adapter.
  B.Machine.onRunHead(at(30), "1", 404, "", B.Out);
  B.Machine.onRunDone(at(30), "1", B.Out);
  CHECK(B.last("1").outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(B.count<CheckUpstream>() >= 1);
  B.Machine.onUpstreamCheck(at(40), {UpstreamStatus::Kind::Healthy, {"", ""}},
                            B.Out);
  CHECK_FALSE(B.Machine.slots().ready(hash64("a@1")));
}

TEST_CASE("only an attempt's own connection failed if the engine is well") {
  Bench B("e");
  B.completion(0, "1");
  B.load(20);
  B.Machine.onRunError(at(30), "1", RunError::Broken, B.Out);
  CHECK(B.last("1").kind() != wire::AttemptEvent::FAILED);
  UpstreamStatus Well;
  for (const Slot &S : B.Machine.slots().slots())
    Well.SlotKeys.push_back(S.Key);
  B.Machine.onUpstreamCheck(at(40), Well, B.Out);
  CHECK(B.last("1").code() == "interrupted");
  CHECK_FALSE(B.last("1").suspect());
}

TEST_CASE("all that ran when the engine crashed is suspect") {
  Bench B("e");
  B.completion(0, "1", "1", 11);
  B.completion(0, "2", "1", 12);
  B.load(20);
  B.Machine.onRunError(at(30), "1", RunError::Broken, B.Out);
  B.Machine.onUpstreamCheck(at(40), {UpstreamStatus::Kind::Refused, {}}, B.Out);
  CHECK(B.last("1").suspect());
  CHECK(B.last("2").suspect());
  CHECK(B.Machine.upstreamDown());
}

TEST_CASE("an attempt that never arrived is denied for good") {
  Bench B("e");
  wire::Envelope E;
  E.mutable_resume()->set_attempt_id("1");
  B.envelope(0, E);
  CHECK(B.last("1").code() == "never_arrived");
  B.Out.clear();
  B.completion(10, "1"); // The late original.
  CHECK(B.count<StartRun>() == 0);
  CHECK(B.Machine.waiting() == 0);
}

TEST_CASE("a resumed attempt gets the events that it missed") {
  Bench B("e");
  B.completion(0, "1");
  B.load(20);
  B.Machine.onRunHead(at(30), "1", 200, "text/event-stream", B.Out);
  B.Machine.onRunData(at(31), "1",
                      "data: {\"id\":\"cmpl-1\",\"model\":\"a@1\"}\n\n", B.Out);
  B.Out.clear();
  wire::Envelope E;
  E.mutable_resume()->set_attempt_id("1");
  E.mutable_resume()->set_next_sequence(1);
  B.envelope(40, E, "new-connection");
  REQUIRE(B.Out.size() == 2);
  const auto &First = std::get<Reply>(B.Out[0]);
  CHECK(First.Peer == "new-connection");
  CHECK(First.Message.event().sequence() == 1);
}

TEST_CASE("a new generation keeps what waits and runs") {
  Bench B("e");
  B.completion(0, "1");
  B.Machine.onConfig(at(10), config(2), B.Out);
  CHECK(B.Machine.waiting() == 1);
  CHECK(B.Machine.generation() == 2);
  B.load(30);
  CHECK(B.count<StartRun>() == 1);
}

TEST_CASE("two versions of an adapter hold two slots") {
  Bench B("e");
  B.completion(0, "1", "1");
  B.completion(0, "2", "2");
  B.load(20);
  CHECK(B.Machine.slots().ready(hash64("a@1")));
  CHECK(B.Machine.slots().ready(hash64("a@2")));
}
