// Forwarder, checked by the answers that callers get and the requests that are
// sent to sides and upstreams.
#include <doctest/doctest.h>

#include "forward/testing/forwarder_harness.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;
using namespace goldcrestlink::forward::testing;

namespace {

enum class SendResult {
  Complete,
  Failure500,
  NotRun503,
  Unstated503,
  Broken,
  NotSent,
  Unsigned
};

struct Row {
  const char *Target;
  SendResult What;
  size_t Sends;
  // Status of the caller's answer; 0 if the call was sent again and has no
  // answer yet.
  unsigned Status;
};

void applyResult(Entry &E, SendResult What) {
  switch (What) {
  case SendResult::Complete:
    return E.answer(10, Entry::head(200), "id: 1\n\n");
  case SendResult::Failure500:
    return E.answer(10, Entry::head(500), "no");
  case SendResult::NotRun503:
    return E.answer(10, Entry::head(503, true), "");
  case SendResult::Unstated503:
    return E.answer(10, Entry::head(503), "");
  case SendResult::Broken:
    return E.failSend(10);
  case SendResult::NotSent:
    return E.failSend(10, SendError::NotSent);
  case SendResult::Unsigned: {
    AnswerHead H = Entry::head(200);
    H.Signed = false;
    return E.answer(10, H, "x");
  }
  }
}

} // namespace

TEST_CASE("the route and the outcome determine what is retried") {
  const Row Rows[] = {
      {"/once/x", SendResult::Complete, 1, 200},
      {"/once/x", SendResult::Failure500, 1, 500},
      {"/once/x", SendResult::NotRun503, 2, 0},
      {"/once/x", SendResult::Unstated503, 1, 502},
      {"/once/x", SendResult::Broken, 1, 502},
      {"/once/x", SendResult::NotSent, 2, 0},
      {"/once/x", SendResult::Unsigned, 1, 502},
      {"/read/x", SendResult::Complete, 1, 200},
      {"/read/x", SendResult::Failure500, 2, 0},
      {"/read/x", SendResult::NotRun503, 2, 0},
      {"/read/x", SendResult::Broken, 2, 0},
      {"/read/x", SendResult::Unsigned, 2, 0},
      {"/stream/x", SendResult::Complete, 1, 200},
      {"/stream/x", SendResult::Broken, 1, 502},
      {"/stream/x", SendResult::NotRun503, 2, 0},
      {"/resume/x", SendResult::Broken, 2, 0},
      {"/resume/x", SendResult::Complete, 1, 200},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Target);
    CAPTURE(static_cast<int>(R.What));
    Entry E;
    E.call(R.Target);
    if (!E.Port.Admissions.empty())
      E.replyAdmission(2);
    REQUIRE(E.Port.Sends.size() == 1);
    const size_t AdmissionsBefore = E.Port.Admissions.size();
    applyResult(E, R.What);
    if (E.Port.Admissions.size() > AdmissionsBefore)
      E.replyAdmission(12);
    CHECK(E.Port.Sends.size() == R.Sends);
    CHECK(E.Port.Status == R.Status);
    CHECK(E.Port.Ends == (R.Status == 0 ? 0 : 1));
    if (R.Sends == 2)
      CHECK(E.Port.Sends[0].SendOpts.To.Id != E.Port.Sends[1].SendOpts.To.Id);
  }
}

TEST_CASE("the route bounds the number of attempts") {
  Entry E;
  E.call("/read/x");
  E.failSend(10);
  REQUIRE(E.Port.Sends.size() == 2);
  E.failSend(20);
  CHECK(E.Port.Sends.size() == 2);
  CHECK(E.Port.Status == 502);
}

TEST_CASE("an upstream's own failure is forwarded if the retry fails") {
  Entry E;
  E.call("/read/x");
  E.answer(10, Entry::head(500), "first");
  E.failSend(20);
  CHECK(E.Port.Status == 500);
  CHECK(E.Port.Body == "first");
}

TEST_CASE("a resumed stream continues after its last complete event") {
  Entry E;
  E.call("/resume/x");
  E.replyAdmission(2);
  const SendId First = E.Port.Sends.back().Id;
  E.Machine.onHead(at(5), First, Entry::head(200));
  E.Machine.onData(at(6), First,
                   "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  E.failSend(10);
  E.replyAdmission(12);
  REQUIRE(E.Port.Sends.size() == 2);
  CHECK(E.Port.Sends[1].SendOpts.AfterEvent == "2");
  E.answer(20, Entry::head(200), "id: 3\ndata: c\n\n");
  CHECK(E.Port.Body ==
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK_FALSE(E.Port.Aborted);
}

TEST_CASE("a stream that may not be resumed is aborted when it breaks") {
  Entry E;
  E.call("/stream/x");
  E.replyAdmission(2);
  const SendId S = E.Port.Sends.back().Id;
  E.Machine.onHead(at(5), S, Entry::head(200));
  E.Machine.onData(at(6), S, "id: 1\ndata: a\n\n");
  E.failSend(10);
  CHECK(E.Port.Aborted);
  CHECK(E.Port.Sends.size() == 1);
}

TEST_CASE("a stream that ends inside an event or without any is not complete") {
  struct EndRow {
    const char *Body;
    bool EndsWithConnection;
    unsigned Status;
    bool Aborted;
  };
  for (const EndRow &R :
       {EndRow{"id: 1\n\n", true, 200, false},
        EndRow{"id: 1\n\n", false, 200, false},
        EndRow{"id: 1\n\nid: 2\nda", true, 200, true},
        EndRow{"id: 1\n\nid: 2\nda", false, 200, true},
        EndRow{"id: 1\nda", true, 502, false}, EndRow{"", true, 502, false},
        EndRow{"", false, 200, false}}) {
    CAPTURE(std::string(R.Body));
    CAPTURE(R.EndsWithConnection);
    Entry E;
    E.call("/stream/x");
    E.replyAdmission(2);
    AnswerHead H = Entry::head(200);
    H.EndsWithConnection = R.EndsWithConnection;
    E.answer(10, H, R.Body);
    CHECK(E.Port.Status == R.Status);
    CHECK(E.Port.Aborted == R.Aborted);
    CHECK(E.Port.Ends == 1);
  }
}

TEST_CASE("an answer without end is cut off with bounded memory") {
  constexpr size_t PartBytes = 64 * 1024;
  struct EndlessRow {
    const char *Target;
    bool EventStream;
    size_t MaxBytes;
  };
  const Forwarder::Options Opts;
  for (const EndlessRow &R :
       {EndlessRow{"/stream/x", true, Opts.maxEventBytes()},
        EndlessRow{"/stream/x", false, Opts.maxBuffered()},
        EndlessRow{"/once/x", false, Opts.maxBuffered()}}) {
    CAPTURE(std::string(R.Target));
    CAPTURE(R.EventStream);
    Entry E;
    E.call(R.Target);
    if (!E.Port.Admissions.empty())
      E.replyAdmission(2);
    const SendId S = E.Port.Sends.back().Id;
    AnswerHead H = Entry::head(200);
    H.EventStream = R.EventStream;
    E.Machine.onHead(at(3), S, H);
    size_t Sent = 0;
    for (; E.Port.Ends == 0 && Sent <= 2 * R.MaxBytes; Sent += PartBytes)
      E.Machine.onData(at(4), S, std::string(PartBytes, 'x'));
    CHECK(Sent <= R.MaxBytes + PartBytes);
    CHECK(E.Port.Cancelled == 1);
    CHECK(E.Port.Status == 502);
    CHECK(E.Machine.callsInProgress() == 0);
  }
}

TEST_CASE("large answers together are within the limit of the entry") {
  Entry E;
  const Forwarder::Options Opts;
  const size_t Calls = 4 * Opts.maxBufferedByAll() / Opts.maxBuffered();
  for (size_t I = 1; I <= Calls; ++I) {
    E.call("/stream/x", 10000, {}, I);
    E.replyAdmission(2);
    AnswerHead H = Entry::head(200);
    H.EventStream = false;
    const SendId S = E.Port.Sends.back().Id;
    E.Machine.onHead(at(3), S, H);
    E.Machine.onData(at(4), S, std::string(Opts.maxBuffered() / 2, 'x'));
  }
  CHECK(E.Machine.callsInProgress() ==
        2 * Opts.maxBufferedByAll() / Opts.maxBuffered());
}

TEST_CASE("a resumed stream whose connection ends before its first event is "
          "not complete") {
  struct EndRow {
    const char *Body;
    bool EndsWithConnection;
    bool Aborted;
  };
  for (const EndRow &R :
       {EndRow{"", true, true}, EndRow{"", false, false},
        EndRow{"id: 2\nda", true, true}, EndRow{"id: 2\n\n", true, false}}) {
    CAPTURE(std::string(R.Body));
    CAPTURE(R.EndsWithConnection);
    Entry E;
    E.breakAfterEvent1();
    AnswerHead H = Entry::head(200);
    H.EndsWithConnection = R.EndsWithConnection;
    E.answer(20, H, R.Body);
    CHECK(E.Port.Aborted == R.Aborted);
    CHECK(E.Port.Ends == 1);
    CHECK(E.Port.Body.find("da") == std::string::npos);
  }
}

TEST_CASE("Retry-After of a refusal is at most a third of the time left") {
  Entry E;
  E.call("/stream/x", 900);
  for (int I = 0; I < 3; ++I)
    E.replyAdmission(2 + I, Verdict::Refuse);
  CHECK(E.Port.Status == 503);
  CHECK(E.Port.Sends.empty());
  CHECK(E.Port.RetryAfter > Duration(0));
  CHECK(E.Port.RetryAfter <= std::chrono::milliseconds(300));
}

// After a pause of the process, replies wait in the kernel until the event loop
// has run.
TEST_CASE("a pause of the process does not count as silence of a side") {
  struct Row {
    // The loop stands still for PauseMs, AskedMs after the call was asked for.
    int AskedMs;
    int PauseMs;
    // The reply is handled so long after the pause.
    int ReplyMs;
  };
  const Row Rows[] = {{10, 120, 5},  {10, 300, 5},  {10, 480, 15},
                      {10, 3000, 5}, {90, 120, 5},  {90, 300, 15},
                      {90, 480, 5},  {90, 3000, 25}};
  for (const Row &R : Rows) {
    CAPTURE(R.AskedMs);
    CAPTURE(R.PauseMs);
    Entry E;
    E.Machine.onTimer(at(0));
    E.call("/stream/x");
    for (int Ms = 10; Ms <= R.AskedMs; Ms += 10)
      E.Machine.onTimer(at(Ms));
    const int Resumed = R.AskedMs + R.PauseMs;
    for (int Ms = 0; Ms < R.ReplyMs; Ms += 10)
      E.Machine.onTimer(at(Resumed + Ms));
    E.replyAdmission(Resumed + R.ReplyMs);
    CHECK(E.Port.SilentSides == 0);
    CHECK(E.Port.Admissions.size() == 1);
    CHECK(E.Port.Sends.size() == 1);
  }
}

TEST_CASE("a silent side is noticed in time, whatever the timer's interval") {
  struct Row {
    int IntervalMs;
    // The loop stands still for so long, 50 ms after the call was asked for.
    int PauseMs;
    // The side counts as silent after the first and by the second time.
    int FromMs;
    int ToMs;
  };
  const Row Rows[] = {{10, 0, 100, 120},
                      {15, 0, 100, 120},
                      {10, 1000, 1050, 1150},
                      {95, 0, 100, 1100}};
  for (const Row &R : Rows) {
    CAPTURE(R.IntervalMs);
    CAPTURE(R.PauseMs);
    Entry E;
    E.Machine.onTimer(at(0));
    E.call("/stream/x");
    int NoticedMs = 0;
    for (int Ms = R.IntervalMs; Ms < 3000 && NoticedMs == 0;
         Ms += R.IntervalMs) {
      if (Ms > 50 && Ms <= 50 + R.PauseMs)
        continue;
      E.Machine.onTimer(at(Ms));
      if (E.Port.SilentSides > 0)
        NoticedMs = Ms;
    }
    CHECK(NoticedMs >= R.FromMs);
    CHECK(NoticedMs <= R.ToMs);
  }
}

TEST_CASE("a side that does not answer is skipped") {
  Entry E;
  E.call("/stream/x");
  const std::string Silent = E.Port.Admissions.back().Upstream;
  E.Machine.onTimer(at(150));
  CHECK(E.Port.SilentSides == 1);
  REQUIRE(E.Port.Admissions.size() >= 2);
  CHECK(E.Port.Admissions.back().Upstream != Silent);
}

TEST_CASE("a call is sent without admission if the silent side's engine holds "
          "the adapter") {
  Entry E;
  EngineLoad L;
  L.Serving = true;
  L.Held = {adapterHash("m", "a1")};
  E.Machine.onLoad(at(0), "e2", L);
  E.call("/stream/x");
  REQUIRE(E.Port.Admissions.back().Upstream == "e2");
  E.Machine.onTimer(at(150));
  REQUIRE(E.Port.Sends.size() == 1);
  CHECK(E.Port.Sends[0].SendOpts.To.Id == "e2");
}

TEST_CASE("no new call is sent to a draining upstream") {
  Entry E;
  E.call("/stream/x");
  const std::string First = E.Port.Admissions.back().Upstream;
  auto C = deployment();
  const UpstreamRecord Draining = [&] {
    UpstreamRecord U = upstream(First.c_str(), "engines");
    U.Draining = true;
    return U;
  }();
  C->applyUpstream(at(5), {1, 100}, First, &Draining);
  E.Machine.onCatalog(at(5), C);
  // The call that waited there is placed on another engine.
  CHECK(E.Port.Admissions.back().Upstream != First);
  E.replyAdmission(6);
  REQUIRE(E.Port.Sends.size() == 1);
  CHECK(E.Port.Sends[0].SendOpts.To.Id != First);
}

TEST_CASE("the route's timeout ends every request") {
  struct TimeoutRow {
    const char *Target;
    bool Sent;
    unsigned Status;
  };
  for (const TimeoutRow &R :
       {TimeoutRow{"/once/x", true, 504}, TimeoutRow{"/stream/x", true, 504}}) {
    CAPTURE(R.Target);
    Entry E;
    E.call(R.Target, 60000);
    if (!E.Port.Admissions.empty())
      E.replyAdmission(2);
    E.Machine.onTimer(at(4990));
    CHECK(E.Port.Ends == 0);
    E.Machine.onTimer(at(5002));
    CHECK(E.Port.Status == R.Status);
    CHECK(E.Port.Cancelled == 1);
    CHECK(E.Machine.callsInProgress() == 0);
  }
}

TEST_CASE("a caller that disconnects frees its upstream at once") {
  Entry E;
  E.call("/stream/x");
  E.replyAdmission(2);
  const uint64_t AdmissionId = E.Port.Admissions.back().Request.Id;
  E.Machine.onCallerGone(at(5), 1);
  CHECK(E.Port.Cancelled == 1);
  CHECK(E.Port.EndedAdmissions.contains(AdmissionId));
  CHECK(E.Machine.callsInProgress() == 0);
}

TEST_CASE("the end line says how long the upstream has been silent") {
  Entry E;
  E.call("/stream/x");
  E.replyAdmission(2);
  const SendId Sent = E.Port.Sends.back().Id;
  E.Machine.onHead(at(10), Sent, Entry::head(200));
  E.Machine.onData(at(20), Sent, "id: 1\n\n");
  E.Machine.onCallerGone(at(500), 1);
  CHECK(E.Port.LastLine.find(" outcome=caller_left ") != std::string::npos);
  CHECK(E.Port.LastLine.find(" silent_ms=480") != std::string::npos);
}

TEST_CASE("an engine that answers nothing until callers leave is avoided") {
  Entry E;
  const auto Holds = [&](int64_t Ms, const char *Id) {
    EngineLoad L;
    L.Serving = true;
    L.Held = {adapterHash("m", "a1")};
    E.Machine.onLoad(at(Ms), Id, L);
  };
  constexpr int64_t StepMs = 50;
  constexpr int64_t PatienceMs = 4800;
  constexpr int64_t EndMs = 10000;
  int SentThere = 0;
  int Sent = 0;
  for (int64_t Ms = StepMs; Ms <= EndMs; Ms += StepMs) {
    E.Machine.onTimer(at(Ms));
    Holds(Ms, "e1");
    if (Ms > PatienceMs)
      E.Machine.onCallerGone(at(Ms), static_cast<uint64_t>(Ms - PatienceMs));
    E.Machine.onCall(at(Ms), static_cast<uint64_t>(Ms),
                     Entry::incoming("/stream/x"));
    E.replyAdmission(Ms);
    const std::string To = E.Port.Sends.back().SendOpts.To.Id;
    if (To != "e1") {
      Holds(Ms, To.c_str());
      E.answer(Ms, Entry::head(200), "id: 1\n\n");
    }
    // The first calls show that the engine is silent.
    if (Ms <= EndMs / 4)
      continue;
    ++Sent;
    SentThere += To == "e1" ? 1 : 0;
  }
  CHECK(Sent == 150);
  CHECK(SentThere < Sent / 10);
}

TEST_CASE("an entry that stood still does not take its engine for silent") {
  for (const bool StoodStill : {true, false}) {
    CAPTURE(StoodStill);
    Entry E;
    E.call("/stream/x");
    E.replyAdmission(2);
    if (StoodStill)
      E.Machine.onStall(at(3000));
    E.Machine.onTimer(at(3000));
    const bool Noted =
        E.Port.LastLine.find("upstream_silent ") != std::string::npos;
    CHECK(Noted == !StoodStill);
  }
}

TEST_CASE("a caller that leaves does not end the backoff of an engine") {
  Entry E;
  EngineLoad L;
  L.Serving = true;
  L.Held = {adapterHash("m", "a1")};
  E.Machine.onLoad(at(0), "e1", L);
  E.call("/stream/x");
  E.replyAdmission(2);
  E.call("/stream/x", 10000, {}, 2);
  E.replyAdmission(3);
  REQUIRE(E.Port.Sends.back().SendOpts.To.Id == "e1");
  E.failSend(4, SendError::NotSent);
  E.Machine.onCallerGone(at(5), 1);
  // The load requested for call 2 is no longer expected, the backoff not over.
  E.Machine.onCall(at(400), 3, Entry::incoming("/stream/x"));
  CHECK(E.Port.Admissions.back().Upstream != "e1");
}

TEST_CASE(
    "calls beyond the limits that all upstreams name are rejected at once") {
  Entry E;
  E.Machine.onEntries(at(0), 1);
  for (uint64_t Id = 1; Id <= 2; ++Id) {
    E.call("/once/x", 10000, {}, Id);
    AnswerHead H = Entry::head(200);
    H.RequestLimit = 2;
    E.answer(10, H, "x");
  }
  REQUIRE(E.Port.Sends.size() == 2);
  E.Port.Ends = 0;
  // Four a second together, and 0.6 of an objective of a second in the queue.
  for (uint64_t Id = 3; Id <= 12; ++Id)
    E.call("/once/x", 10000, {}, Id);
  CHECK(E.Port.Sends.size() == 2);
  CHECK(E.Port.Status == 503);
  CHECK(E.Port.Reason == EndReason::Overloaded);
  CHECK(E.Port.RetryAfter >= std::chrono::milliseconds(600));
  CHECK(E.Port.Ends == 7);
  E.Machine.onTimer(at(590));
  CHECK(E.Port.Sends.size() == 4);
}

TEST_CASE("the side is told what limit its engine names, and when it ends") {
  Entry E;
  EngineLoad L;
  L.Serving = true;
  L.Held = {adapterHash("m", "a1")};
  E.Machine.onLoad(at(0), "e2", L);
  for (const double Named : {7.5, 0.0}) {
    E.call("/stream/x");
    E.replyAdmission(2);
    REQUIRE(E.Port.Sends.back().SendOpts.To.Id == "e2");
    AnswerHead H = Entry::head(200);
    if (Named > 0)
      H.RequestLimit = Named;
    E.answer(10, H, "id: 1\n\n");
    CHECK(E.Port.Limit == Named);
  }
}

TEST_CASE("a broken send is reported as a crash if its upstream accepts no "
          "connection and the send had no output") {
  struct CrashRow {
    bool Output;
    ProbeResult Result;
    size_t Probes;
    size_t Reports;
  };
  for (const CrashRow &R : {CrashRow{false, ProbeResult::Refused, 1, 1},
                            CrashRow{false, ProbeResult::Accepted, 1, 0},
                            CrashRow{false, ProbeResult::Unknown, 1, 0},
                            CrashRow{true, ProbeResult::Refused, 0, 0}}) {
    CAPTURE(R.Output);
    CAPTURE(static_cast<int>(R.Result));
    Entry E;
    E.call("/stream/x", 10000, {7, 8});
    E.replyAdmission(2);
    const SendId S = E.Port.Sends.back().Id;
    const std::string Upstream = E.Port.Sends.back().SendOpts.To.Id;
    E.Machine.onHead(at(3), S, Entry::head(200));
    if (R.Output)
      E.Machine.onData(at(4), S, "id: 1\n\n");
    E.failSend(5);
    REQUIRE(E.Port.Probes.size() == R.Probes);
    E.Machine.onProbe(at(6), Upstream, R.Result);
    REQUIRE(E.Port.Reports.size() == R.Reports);
    if (R.Reports > 0)
      CHECK(E.Port.Reports[0].Traits.size() == 3);
  }
}

namespace {

// Verdicts that quarantine the first shared part of \p Parts.
std::vector<TraitVerdict> verdictOn(std::vector<uint64_t> Parts) {
  IncomingCall C;
  C.Inference.SharedParts = std::move(Parts);
  return {{traitsOf(C)[0].Hash, 1, true, std::chrono::minutes(10)}};
}

} // namespace

TEST_CASE("calls with a quarantined part are rejected before they run") {
  Entry E;
  E.Machine.onVerdicts(at(0), verdictOn({7}));
  E.call("/stream/x", 10000, {6, 7});
  CHECK(E.Port.Status == 503);
  CHECK(E.Port.Reason == EndReason::Quarantined);
  CHECK(E.Port.RetryAfter == std::chrono::minutes(10));
  CHECK(E.Port.Admissions.empty());
  E.call("/stream/x", 10000, {6, 8}, 2);
  CHECK(E.Port.Admissions.size() == 1);
}

TEST_CASE("a new verdict ends the calls that have no output yet") {
  struct StageRow {
    bool Sent;
    bool Output;
    unsigned Status;
    int Cancelled;
  };
  for (const StageRow &R :
       {StageRow{false, false, 503, 0}, StageRow{true, false, 502, 1},
        StageRow{true, true, 200, 0}}) {
    CAPTURE(R.Sent);
    CAPTURE(R.Output);
    Entry E;
    E.call("/stream/x", 10000, {6, 7});
    if (R.Sent)
      E.replyAdmission(2);
    if (R.Output) {
      const SendId S = E.Port.Sends.back().Id;
      E.Machine.onHead(at(3), S, Entry::head(200));
      E.Machine.onData(at(4), S, "id: 1\n\n");
    }
    E.Machine.onVerdicts(at(5), verdictOn({7}));
    CHECK(E.Port.Status == R.Status);
    CHECK(E.Port.Cancelled == R.Cancelled);
    CHECK(E.Machine.callsInProgress() == (R.Output ? 1 : 0));
    CHECK(E.Port.EndedAdmissions.size() == (R.Output ? 0 : 1));
  }
}

TEST_CASE("a call with a quarantined trait is not retried") {
  Entry E;
  E.call("/read/x", 10000, {7});
  REQUIRE(E.Port.Sends.size() == 1);
  // The verdict arrives with the answer's head, before its end.
  E.Machine.onHead(at(3), E.Port.Sends.back().Id, Entry::head(500));
  E.Machine.onVerdicts(at(4), verdictOn({7}));
  CHECK(E.Port.Sends.size() == 1);
  CHECK(E.Port.Status == 502);
}

TEST_CASE("requests that are equally suspect are sent one at a time and once") {
  Entry E;
  std::vector<RequestTrait> Both = traitsOf(Entry::incoming("/read/sound"));
  const std::vector<RequestTrait> Deadly =
      traitsOf(Entry::incoming("/read/deadly"));
  Both.insert(Both.end(), Deadly.begin(), Deadly.end());
  for (uint64_t Upstream = 1; Upstream <= 3; ++Upstream)
    E.Machine.onCrashReport(at(static_cast<int64_t>(Upstream) * 3000 - 9000),
                            {Upstream, Duration(0), Both});
  E.call("/read/sound", 10000, {}, 1);
  REQUIRE(E.Port.Sends.size() == 1);
  E.call("/read/deadly", 10000, {}, 2);
  CHECK(E.Port.Sends.size() == 1);
  CHECK(E.Port.Status == 503);
  CHECK(E.Port.Reason == EndReason::Suspect);
  CHECK(E.Port.RetryAfter > Duration(0));
  E.call("/read/other", 10000, {}, 3);
  CHECK(E.Port.Sends.size() == 2);

  SUBCASE("output clears the sound one and settles the other") {
    const SendId S = E.Port.Sends.front().Id;
    E.Machine.onHead(at(5), S, Entry::head(200));
    E.Machine.onData(at(5), S, "id: 1\n\n");
    E.Machine.onDone(at(5), S);
    CHECK(E.Port.Status == 200);
    E.call("/read/deadly", 10000, {}, 4);
    CHECK(E.Port.Reason == EndReason::Quarantined);
    E.call("/read/sound", 10000, {}, 5);
    CHECK(E.Port.Sends.size() == 3);
  }
  SUBCASE("a broken send is not repeated elsewhere") {
    E.Machine.onError(at(5), E.Port.Sends.front().Id, SendError::Broken,
                      "reset");
    CHECK(E.Port.Sends.size() == 2);
    CHECK(E.Port.Status == 502);
    E.call("/read/deadly", 10000, {}, 4);
    CHECK(E.Port.Sends.size() == 3);
  }
}

TEST_CASE("invalid calls and calls without a configuration are rejected") {
  struct RejectionRow {
    const char *Target;
    const char *Id;
    unsigned Status;
  };
  for (const RejectionRow &R :
       {RejectionRow{"/none/x", "r", 404}, RejectionRow{"/once/x", "", 400}}) {
    Entry E;
    IncomingCall C;
    C.Host = "h";
    C.Target = R.Target;
    C.RequestId = R.Id;
    E.Machine.onCall(at(1), 1, std::move(C));
    CHECK(E.Port.Status == R.Status);
  }
  Recorder Port;
  Forwarder Unconfigured(Forwarder::Options(), Port, 1);
  Unconfigured.onCall(at(1), 1, IncomingCall());
  CHECK(Port.Status == 503);
  CHECK(Port.RetryAfter > Duration(0));
}

TEST_CASE("a call that would wait moves to a holder that is clearly sooner") {
  struct Row {
    const char *Name;
    /// Expected wait at the other holder, and whether it holds the adapter.
    int64_t OtherMs;
    bool OtherHolds;
    bool Moves;
  };
  // The first side replies that the call waits for 400 ms.
  for (const Row &R :
       {Row{"idle holder", 0, true, true},
        Row{"holder that is hardly sooner", 300, true, false},
        Row{"idle engine without the adapter", 0, false, false}}) {
    CAPTURE(R.Name);
    Entry E;
    const auto Load = [](bool Holds, int64_t BacklogMs) {
      EngineLoad L;
      L.Serving = true;
      L.Backlog.fill(std::chrono::milliseconds(BacklogMs));
      if (Holds)
        L.Held = {adapterHash("m", "a1")};
      return L;
    };
    // What the entry knows of the first engine's load is old.
    E.Machine.onLoad(at(0), "e1", Load(true, 0));
    E.Machine.onLoad(at(0), "e2", Load(R.OtherHolds, R.OtherMs + 10));
    E.call("/stream/x");
    REQUIRE(E.Port.Admissions.size() == 1);
    REQUIRE(E.Port.Admissions.back().Upstream == "e1");
    E.replyAdmission(3, Verdict::Wait);
    CHECK(E.Port.Admissions.size() == (R.Moves ? 2 : 1));
    CHECK(E.Port.Admissions.back().Upstream == (R.Moves ? "e2" : "e1"));
    E.replyAdmission(5);
    CHECK(E.Port.Sends.size() == 1);
  }
}

TEST_CASE("the longest pause of a stream is recorded at its end") {
  Entry E;
  E.call("/stream/x");
  E.replyAdmission(2);
  const SendId S = E.Port.Sends.back().Id;
  E.Machine.onHead(at(5), S, Entry::head(200));
  E.Machine.onData(at(500), S, "id: 1\n\n");
  E.Machine.onData(at(520), S, "id: 2\n\n");
  E.Machine.onData(at(920), S, "id: 3\n\n");
  CHECK(E.Port.RecordedPauses.empty());
  E.Machine.onDone(at(930), S);
  REQUIRE(E.Port.RecordedPauses.size() == 1);
  CHECK(E.Port.RecordedPauses[0].first == std::chrono::milliseconds(400));
  CHECK(E.Port.RecordedPauses[0].second == std::chrono::milliseconds(300));
}

TEST_CASE("a call asks its side again when the expected wait is over") {
  Entry E;
  E.call("/stream/x");
  REQUIRE(E.Port.Admissions.size() == 1);
  const Recorder::SentAdmission First = E.Port.Admissions.back();
  E.replyAdmission(3, Verdict::Wait);
  E.Machine.onTimer(at(500));
  CHECK(E.Port.Admissions.size() == 1);
  // Expected 400 ms; the reply that lets it go is lost.
  E.Machine.onTimer(at(650));
  REQUIRE(E.Port.Admissions.size() == 2);
  CHECK(E.Port.Admissions.back().Upstream == First.Upstream);
  CHECK(E.Port.Admissions.back().Request.Id == First.Request.Id);
  CHECK_FALSE(E.Port.EndedAdmissions.contains(First.Request.Id));
  E.replyAdmission(655);
  CHECK(E.Port.Sends.size() == 1);
  // The lost reply arrives after all.
  E.replyAdmission(700);
  CHECK(E.Port.Sends.size() == 1);
}

TEST_CASE("a call that keeps waiting is placed elsewhere in the end") {
  Entry E;
  EngineLoad Held;
  Held.Serving = true;
  Held.Held = {adapterHash("m", "a1")};
  for (const char *Id : {"e1", "e2", "e3"})
    E.Machine.onLoad(at(0), Id, Held);
  E.call("/stream/x");
  const Recorder::SentAdmission First = E.Port.Admissions.back();
  // Its side replies each time that it waits for 100 ms more.
  for (int64_t Ms = 3;
       Ms < 4000 && E.Port.Admissions.back().Request.Id == First.Request.Id;
       Ms += 350) {
    AdmissionReply R;
    R.Decision = Verdict::Wait;
    R.Expected = std::chrono::milliseconds(100);
    E.Machine.onAdmission(at(Ms), First.Upstream, First.Request.Id, R);
    E.Machine.onTimer(at(Ms + 349));
  }
  // Twice the maximum wait of 900 ms.
  CHECK(E.Port.EndedAdmissions.contains(First.Request.Id));
  CHECK(E.Port.Admissions.back().Upstream != First.Upstream);
}

TEST_CASE("the end line of a stream says where its longest pause came about") {
  struct Row {
    const char *Name;
    bool ObservesPauses;
    // Reported by the side; 0: none.
    int64_t EnginePauseMs;
    // The process does nothing from 110 to 500 ms.
    bool StandsStill;
    const char *Expected;
  };
  const Row Rows[] = {
      {"no side that knows", false, 0, false, " pause_in=upstream"},
      {"the engine", true, 380, false, " pause_in=engine"},
      {"the network", true, 0, false, " pause_in=network"},
      {"this process", true, 0, true, " pause_in=process"},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    Entry E;
    E.ObservesPauses = R.ObservesPauses;
    E.call("/stream/x");
    E.replyAdmission(2);
    const SendId S = E.Port.Sends.back().Id;
    E.Machine.onHead(at(100), S, Entry::head(200));
    E.Machine.onData(at(100), S, "id: 1\n\n");
    for (int64_t Ms = 110; Ms <= 500; Ms += 10)
      if (!R.StandsStill || Ms == 110)
        E.Machine.onTimer(at(Ms));
    E.Machine.onData(at(500), S, "id: 2\n\n");
    if (R.EnginePauseMs > 0)
      E.Machine.onEnginePause(E.Port.Admissions.back().Request.Id,
                              std::chrono::milliseconds(R.EnginePauseMs));
    E.Machine.onDone(at(520), S);
    CHECK(E.Port.LastLine.find(" pause_ms=400 ") != std::string::npos);
    CHECK(E.Port.LastLine.ends_with(R.Expected));
  }
}
