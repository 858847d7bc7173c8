// Contract tests of an entry's decisions and of its request parser.
#include <sstream>

#include <doctest/doctest.h>

#include "entry/entry_machine.h"
#include "entry/request_parser.h"

using namespace goldcrestlink;
using namespace goldcrestlink::entry;

namespace {

std::shared_ptr<const Declarations> config() {
  std::ostringstream Text;
  Text << "[rank urgent]\npriority = 0\ntarget_ms = 4000\n"
          "deadline_ms = 5000\n"
          "[rank bulk]\npriority = 1\ntarget_ms = 9000\n"
          "[application app]\nranks = urgent\n"
          "[route /orders]\nservice = ledger\nidempotent = no\n"
          "rank = urgent\n"
          "[adapter a]\nmodel = oak\nversions = 1\n";
  for (int I = 1; I <= 3; ++I)
    Text << "[engine e" << I << "]\nmodel = oak\ndata_center = d\n"
         << "side = 127.0.0.1:1" << I << "\naddress = 127.0.0.1:2" << I
         << "\n[service s" << I << "]\nservice = ledger\ndata_center = d\n"
         << "side = 127.0.0.1:3" << I << "\naddress = 127.0.0.1:4" << I << "\n";
  FindingList Findings;
  return Declarations::parse({{"t.ini", Text.str()}}, 1, Findings);
}

Now at(int64_t Ms) {
  return {Time(std::chrono::milliseconds(100000 + Ms)),
          WallTime(std::chrono::milliseconds(100000 + Ms))};
}

struct Bench {
  explicit Bench(const char *Cell = "d")
      : Machine(EntryMachine::Options(), config(), Cell, 9) {}

  void completion(int64_t Ms, const char *Adapter = "a",
                  const char *Version = "1", const char *Application = "app",
                  const char *Rank = "") {
    CallerRequest R;
    R.Id = "r";
    R.Adapter = Adapter;
    R.Version = Version;
    R.Application = Application;
    R.Rank = Rank;
    Machine.onRequest(at(Ms), R, Out);
  }

  void order(int64_t Ms, const char *Key) {
    CallerRequest R;
    R.Id = "r";
    R.Path = "/orders";
    R.Key = Key;
    R.KeyIssuedMs = unixMillis(at(Ms).Wall);
    Machine.onRequest(at(Ms), R, Out);
  }

  // The attempt that is open now, as last sent.
  const SendSide *attempt() const {
    const SendSide *Found = nullptr;
    for (const Action &A : Out)
      if (const auto *S = std::get_if<SendSide>(&A))
        if (S->Message.has_attempt())
          Found = S;
    return Found;
  }

  void answerProbes(int64_t Ms, const std::string &Except = {}) {
    for (const Action &A : Actions(Out))
      if (const auto *S = std::get_if<SendSide>(&A))
        if (S->Message.has_probe() && S->Upstream != Except) {
          wire::Envelope E;
          E.mutable_probe_reply()->set_probe_id(S->Message.probe().probe_id());
          E.mutable_probe_reply()->mutable_state()->set_incarnation(5);
          Machine.onEnvelope(at(Ms), S->Upstream, E, Out);
        }
  }

  void event(int64_t Ms, wire::AttemptEvent::Kind Kind, uint32_t Sequence,
             const std::string &Code = {},
             wire::Outcome Known = wire::OUTCOME_NONE) {
    const SendSide S = *attempt();
    wire::Envelope E;
    wire::AttemptEvent &Event = *E.mutable_event();
    Event.set_attempt_id(S.Message.attempt().attempt_id());
    Event.set_kind(Kind);
    Event.set_sequence(Sequence);
    Event.set_code(Code);
    Event.set_outcome(Known);
    Event.set_status(200);
    Event.set_data("x");
    Event.mutable_state()->set_incarnation(5);
    Machine.onEnvelope(at(Ms), S.Upstream, E, Out);
  }

  const DeliverError *error() const {
    for (const Action &A : Out)
      if (const auto *E = std::get_if<DeliverError>(&A))
        return E;
    return nullptr;
  }

  template <class Kind> size_t count() const {
    size_t N = 0;
    for (const Action &A : Out)
      N += std::holds_alternative<Kind>(A) ? 1 : 0;
    return N;
  }

  EntryMachine Machine;
  Actions Out;
};

struct NameRow {
  const char *Adapter;
  const char *Version;
  const char *Application;
  const char *Rank;
  Code Why;
};

const NameRow NameRows[] = {
    {"b", "1", "app", "", Code::UnknownAdapter},
    {"a", "9", "app", "", Code::UnknownVersion},
    {"a", "1", "other", "", Code::UnknownApplication},
    {"a", "1", "app", "bulk", Code::UnknownRank},
    {"a", "1", "", "now", Code::UnknownRank},
};

} // namespace

TEST_CASE("names that are not declared are refused without running") {
  for (const NameRow &Row : NameRows) {
    Bench B;
    B.completion(0, Row.Adapter, Row.Version, Row.Application, Row.Rank);
    REQUIRE(B.error());
    CHECK(B.error()->Why == Row.Why);
    CHECK(B.error()->Known == Outcome::NotRun);
    CHECK(B.Machine.requestsInProgress() == 0);
  }
}

TEST_CASE("a refused attempt is tried elsewhere, within bounds") {
  Bench B;
  B.completion(0);
  B.answerProbes(1);
  const std::string First = B.attempt()->Upstream;
  B.event(2, wire::AttemptEvent::REFUSED, 0, "overloaded",
          wire::OUTCOME_NOT_RUN);
  B.answerProbes(3);
  CHECK(B.attempt()->Upstream != First);
  for (int I = 0; I < 10 && !B.error(); ++I) {
    B.event(4 + I, wire::AttemptEvent::REFUSED, 0, "overloaded",
            wire::OUTCOME_NOT_RUN);
    B.answerProbes(4 + I);
  }
  REQUIRE(B.error());
  CHECK(B.error()->Known == Outcome::NotRun);
}

TEST_CASE(
    "events out of order, repeated or of another side are not delivered") {
  Bench B;
  B.completion(0);
  B.answerProbes(1);
  B.event(2, wire::AttemptEvent::HEAD, 0);
  B.event(3, wire::AttemptEvent::DATA, 1);
  B.event(4, wire::AttemptEvent::DATA, 1);
  CHECK(B.count<DeliverData>() == 1);
  B.event(5, wire::AttemptEvent::DATA, 3); // A gap asks for what is missing.
  CHECK(B.count<DeliverData>() == 1);
  CHECK(std::get<SendSide>(B.Out.back()).Message.resume().next_sequence() == 2);
  wire::Envelope E;
  E.mutable_event()->set_attempt_id(
      B.attempt()->Message.attempt().attempt_id());
  E.mutable_event()->set_sequence(2);
  E.mutable_event()->set_kind(wire::AttemptEvent::DATA);
  const std::string Other = B.attempt()->Upstream == "e1" ? "e2" : "e1";
  B.Machine.onEnvelope(at(6), Other, E, B.Out);
  CHECK(B.count<DeliverData>() == 1);
}

TEST_CASE("a stream that breaks before its first data is tried elsewhere") {
  Bench B;
  B.completion(0);
  B.answerProbes(1);
  const std::string First = B.attempt()->Upstream;
  B.event(2, wire::AttemptEvent::HEAD, 0);
  B.event(3, wire::AttemptEvent::FAILED, 1, "interrupted",
          wire::OUTCOME_UNKNOWN);
  B.answerProbes(4);
  CHECK_FALSE(B.error());
  CHECK(B.count<DeliverHead>() == 0);
  CHECK(B.attempt()->Upstream != First);
}

TEST_CASE("a stream that breaks after its first data ends in an error") {
  Bench B;
  B.completion(0);
  B.answerProbes(1);
  B.event(2, wire::AttemptEvent::HEAD, 0);
  B.event(3, wire::AttemptEvent::DATA, 1);
  B.event(4, wire::AttemptEvent::FAILED, 2, "interrupted",
          wire::OUTCOME_UNKNOWN);
  REQUIRE(B.error());
  CHECK(B.error()->InStream);
  CHECK(B.count<DeliverEnd>() == 0);
}

TEST_CASE("an attempt that its side lost in a restart is tried elsewhere") {
  Bench B;
  B.completion(0);
  B.answerProbes(1);
  const std::string First = B.attempt()->Upstream;
  B.event(2, wire::AttemptEvent::ACCEPTED, 0);
  B.event(3, wire::AttemptEvent::REFUSED, 0, "never_arrived");
  B.answerProbes(4);
  CHECK_FALSE(B.error());
  CHECK(B.attempt()->Upstream != First);
}

TEST_CASE("silence costs first the connection, then moves the work") {
  Bench B;
  B.completion(0);
  B.answerProbes(1);
  const std::string First = B.attempt()->Upstream;
  int64_t Ms = 2;
  for (; Ms < 3000 && B.attempt()->Upstream == First; Ms += 5) {
    B.Machine.onTimer(at(Ms), B.Out);
    B.answerProbes(Ms, First);
  }
  CHECK(B.count<ResetConnection>() >= 1);
  CHECK(B.attempt()->Upstream != First);
}

TEST_CASE("every request ends at its deadline, with an outcome") {
  Bench B;
  B.completion(0);
  B.answerProbes(1);
  for (int64_t Ms = 2; Ms <= 5005; Ms += 5)
    B.Machine.onTimer(at(Ms), B.Out);
  REQUIRE(B.error());
  CHECK(B.error()->Known == Outcome::Unknown);
  CHECK(B.Machine.requestsInProgress() == 0);
}

namespace {
struct KeyedRow {
  const char *Code;
  wire::Outcome Said;
  Outcome Known;
};
// What the caller of a keyed call is told when its time is over.
const KeyedRow KeyedRows[] = {
    {"overloaded", wire::OUTCOME_NOT_RUN, Outcome::NotRun},
    {"lease_lapsed", wire::OUTCOME_NONE, Outcome::Unknown},
    {"not_owner", wire::OUTCOME_NONE, Outcome::Unknown},
    {"key_before_owner", wire::OUTCOME_UNKNOWN, Outcome::Unknown},
};
} // namespace

TEST_CASE("only the owner's word makes a keyed call not run") {
  for (const KeyedRow &Row : KeyedRows) {
    Bench B;
    B.order(0, "key");
    REQUIRE(B.attempt());
    for (int64_t Ms = 1; Ms <= 5005 && !B.error(); Ms += 5) {
      if (B.attempt() && B.Machine.requestsInProgress() > 0)
        B.event(Ms, wire::AttemptEvent::REFUSED, 0, Row.Code, Row.Said);
      B.Machine.onTimer(at(Ms), B.Out);
    }
    REQUIRE(B.error());
    CHECK_MESSAGE(B.error()->Known == Row.Known, std::string(Row.Code));
  }
}

TEST_CASE("another cell serves when the own one cannot") {
  Bench B("other-cell");
  B.completion(0);
  B.answerProbes(1);
  CHECK(B.attempt());
}

TEST_CASE("a leaving upstream gets nothing new") {
  Bench B;
  B.Machine.onMembership({"e1", "e2"}, {});
  B.completion(0);
  B.answerProbes(1);
  REQUIRE(B.attempt());
  CHECK(B.attempt()->Upstream == "e3");
}

namespace {

struct ParseRow {
  const char *Name;
  const char *Body;
  http::Headers Fields;
  bool Good;
};

const ParseRow ParseRows[] = {
    {"plain", R"({"model":"a@1"})", {}, true},
    {"not JSON", "{", {}, false},
    {"not an object", "[1]", {}, false},
    {"no model", "{}", {}, false},
    {"model is a number", R"({"model":3})", {}, false},
    {"no version", R"({"model":"a"})", {}, false},
    {"empty version", R"({"model":"a@"})", {}, false},
    {"negative tokens", R"({"model":"a@1","max_tokens":-1})", {}, false},
    {"huge tokens", R"({"model":"a@1","max_tokens":9999999999})", {}, false},
    {"stream is text", R"({"model":"a@1","stream":"yes"})", {}, false},
    {"bad deadline", R"({"model":"a@1"})", {{"X-Deadline-Ms", "soon"}}, false},
    {"key without time",
     R"({"model":"a@1"})",
     {{"Idempotency-Key", "k"}},
     false},
    {"UUIDv7 key",
     R"({"model":"a@1"})",
     {{"Idempotency-Key", "018f0000-0000-7000-8000-000000000000"}},
     true},
    {"key with time",
     R"({"model":"a@1"})",
     {{"Idempotency-Key", "k"}, {"Idempotency-Key-Issued-At", "5"}},
     true},
};

} // namespace

TEST_CASE("malformed requests are named as such") {
  for (const ParseRow &Row : ParseRows) {
    http::Request R;
    R.Method = "POST";
    R.Target = "/v1/completions";
    R.Body = Row.Body;
    R.Fields = Row.Fields;
    const auto P = parseCallerRequest(std::move(R), "r");
    CHECK_MESSAGE(P.Problem.empty() == Row.Good, std::string(Row.Name));
  }
  http::Request Uuid;
  Uuid.Target = "/orders";
  Uuid.Fields = {{"Idempotency-Key", "018f0000-0001-7000-8000-000000000000"}};
  CHECK(parseCallerRequest(std::move(Uuid), "r").Request.KeyIssuedMs ==
        0x018f00000001);
}
