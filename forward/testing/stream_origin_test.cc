// Forwarder: the software version that goes on with a stream, within one answer
// and when a caller takes the stream up.
#include <doctest/doctest.h>

#include "base/hash.h"
#include "forward/origin_keepers.h"
#include "forward/testing/forwarder_harness.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;
using namespace goldcrestlink::forward::testing;

namespace {

// Sets the software versions of the engines e1, e2 and e3; empty: unknown.
void setVersions(Entry &E, std::vector<const char *> Versions) {
  const auto C = deployment();
  uint64_t Revision = 100;
  for (size_t I = 0; I < Versions.size(); ++I) {
    const std::string Id = "e" + std::to_string(I + 1);
    UpstreamRecord U = upstream(Id.c_str(), "engines");
    U.SoftwareVersion = Versions[I];
    C->applyUpstream(at(0), {1, Revision++}, Id, &U);
  }
  E.Machine.onCatalog(at(0), C);
}

// Begins to take up the stream of "r0" after event 5.
void takeUp(Entry &E, const char *Resumes = "r0") {
  IncomingCall C = Entry::incoming("/resume/x");
  C.AfterEvent = "5";
  C.Resumes = Resumes;
  E.Machine.onCall(at(1), 1, C);
}

std::string versionOf(const Recorder::Sent &S) {
  return S.SendOpts.To.SoftwareVersion;
}

} // namespace

TEST_CASE("a retry goes on at the software version that began the stream") {
  struct Row {
    std::vector<const char *> Versions;
    // Events that the first upstream sent before it broke off.
    const char *Events;
    bool Retried;
  };
  for (const Row &R :
       {Row{{"v1", "v1", "v1"}, "id: 1\n\n", true},
        Row{{"v1", "v2", "v3"}, "id: 1\n\n", false},
        Row{{"v1", "v2", "v3"}, "id: 1\nda", true},
        Row{{"", "", ""}, "id: 1\n\n", false}, Row{{"", "", ""}, "", true}}) {
    CAPTURE(R.Versions[1]);
    CAPTURE(R.Events);
    Entry E;
    setVersions(E, R.Versions);
    E.call("/resume/x");
    E.replyAdmission(2);
    const SendId First = E.Port.Sends.back().Id;
    E.Machine.onHead(at(5), First, Entry::head(200));
    E.Machine.onData(at(6), First, R.Events);
    const size_t Asked = E.Port.Admissions.size();
    E.failSend(10);
    CHECK((E.Port.Admissions.size() > Asked) == R.Retried);
    CHECK(E.Port.Aborted == (!R.Retried && E.Port.Status == 200));
  }
}

TEST_CASE("an upstream that has started again with other software gets no part "
          "of a stream") {
  Entry E;
  E.breakAfterEvent1();
  CHECK(E.Port.Sends.size() == 2);
  Entry Other;
  Other.call("/resume/x");
  Other.replyAdmission(2);
  const SendId First = Other.Port.Sends.back().Id;
  Other.Machine.onHead(at(5), First, Entry::head(200));
  Other.Machine.onData(at(6), First, "id: 1\n\n");
  Other.failSend(10);
  setVersions(Other, {"v2", "v2", "v2"});
  CHECK(Other.Port.Sends.size() == 1);
  CHECK(Other.Port.Aborted);
}

TEST_CASE("the origin of a stream is recorded with its first event") {
  Entry E;
  E.call("/resume/x");
  E.replyAdmission(2);
  const SendId S = E.Port.Sends.back().Id;
  E.Machine.onHead(at(5), S, Entry::head(200));
  E.Machine.onData(at(6), S, "id: 1\nda");
  CHECK(E.Port.Origins.empty());
  E.Machine.onData(at(7), S, "ta: x\n\n");
  CHECK(E.Port.Origins.at(hash64("r1")) == StreamOrigin{"engines", "v1"});
  // The entry itself knows it as well, so it need not ask.
  takeUp(E, "r1");
  CHECK(E.Port.Queries.empty());
  CHECK(E.Port.Sends.size() == 1);
  Entry Plain;
  Plain.call("/stream/x");
  Plain.replyAdmission(2);
  Plain.answer(5, Entry::head(200), "id: 1\n\n");
  CHECK(Plain.Port.Origins.empty());
}

TEST_CASE("a stream that is taken up goes on at its software version") {
  Entry E;
  setVersions(E, {"v1", "v2", "v1"});
  takeUp(E);
  REQUIRE(E.Port.Queries.size() == 1);
  CHECK(E.Port.Queries[0].Attempt == hash64("r0"));
  CHECK(E.Port.Admissions.empty());
  E.Machine.onOrigin(at(5), E.Port.Queries[0], std::nullopt);
  E.Machine.onOrigin(at(6), E.Port.Queries[0], StreamOrigin{"engines", "v2"});
  E.replyAdmission(8);
  REQUIRE(E.Port.Sends.size() == 1);
  CHECK(versionOf(E.Port.Sends[0]) == "v2");
  E.answer(10, Entry::head(200), "id: 6\n\n");
  CHECK(E.Port.Status == 200);
  // Later take-ups name the attempt that brought the first event as well.
  CHECK(E.Port.Origins.at(hash64("r0")) == StreamOrigin{"engines", "v2"});
}

TEST_CASE("a stream whose software version is not known or gone is refused") {
  struct Row {
    const char *Name;
    const char *Resumes;
    std::optional<StreamOrigin> Origin;
    EndReason Why;
  };
  for (const Row &R :
       {Row{"not known", "r0", std::nullopt, EndReason::UnknownOrigin},
        Row{"no attempt named", "", std::nullopt, EndReason::UnknownOrigin},
        Row{"version gone", "r0", StreamOrigin{"engines", "v9"},
            EndReason::OriginGone},
        Row{"service no longer a target", "r0", StreamOrigin{"plain", "v1"},
            EndReason::OriginGone}}) {
    CAPTURE(R.Name);
    Entry E;
    takeUp(E, R.Resumes);
    // The sides are asked a second time.
    for (size_t I = 0; I < E.Port.Queries.size() && E.Port.Ends == 0; ++I)
      for (size_t Side = 0; Side < E.Port.Sides && E.Port.Ends == 0; ++Side)
        E.Machine.onOrigin(at(2), OriginQuery(E.Port.Queries[I]), R.Origin);
    CHECK(E.Port.Status == 503);
    CHECK(E.Port.Reason == R.Why);
    CHECK(E.Port.RetryAfter > Duration(0));
    CHECK(E.Port.Sends.empty());
    CHECK(E.Port.Ends == 1);
  }
}

TEST_CASE("sides that do not answer are asked once more, then the caller is "
          "refused") {
  Entry E;
  takeUp(E);
  E.Machine.onTimer(at(299));
  CHECK(E.Port.Queries.size() == 1);
  E.Machine.onSideState(at(300));
  E.Machine.onTimer(at(302));
  CHECK(E.Port.Queries.size() == 2);
  // The timer runs all the time: in a pause of the process, no time-out ends.
  const auto RunTimer = [&](int FromMs, int ToMs) {
    for (int Ms = FromMs; Ms <= ToMs; Ms += 10)
      E.Machine.onTimer(at(Ms));
  };
  RunTimer(310, 400);
  // Late answers of the first round are not counted twice.
  for (int I = 0; I < 3; ++I)
    E.Machine.onOrigin(at(400), OriginQuery(E.Port.Queries[0]), std::nullopt);
  RunTimer(410, 1200);
  CHECK(E.Port.Ends == 0);
  RunTimer(1210, 1300);
  CHECK(E.Port.Status == 503);
  CHECK(E.Port.Reason == EndReason::UnknownOrigin);
}

TEST_CASE(
    "an entry that hears from no side refuses a take-up soon, and not for "
    "long") {
  Entry E;
  takeUp(E);
  E.Machine.onTimer(at(302));
  CHECK(E.Port.Queries.size() == 1);
  CHECK(E.Port.Status == 503);
  CHECK(E.Port.Reason == EndReason::UnknownOrigin);
  CHECK(E.Port.RetryAfter < std::chrono::seconds(1));
}

namespace {

// Engines with these starts of the incarnations, all of software v1.
void setStarts(Entry &E, uint64_t StartedMs) {
  const auto C = deployment();
  uint64_t Revision = 100;
  for (const char *Id : {"e1", "e2", "e3"}) {
    UpstreamRecord U = upstream(Id, "engines");
    U.StartedMs = StartedMs;
    C->applyUpstream(at(0), {1, Revision++}, Id, &U);
  }
  E.Machine.onCatalog(at(0), C);
}

void reply(Entry &E, int64_t Ms, uint64_t EngineStartedMs) {
  AdmissionReply R;
  R.Decision = Verdict::Go;
  R.EngineStartedMs = EngineStartedMs;
  const Recorder::SentAdmission A = E.Port.Admissions.back();
  E.Machine.onAdmission(at(Ms), A.Upstream, A.Request.Id, R);
}

} // namespace

TEST_CASE("a take-up is not sent to an engine that has started again since its "
          "record") {
  Entry E;
  setStarts(E, 5);
  takeUp(E);
  E.Machine.onOrigin(at(2), E.Port.Queries[0], StreamOrigin{"engines", "v1"});
  reply(E, 3, 7);
  CHECK(E.Port.Sends.empty());
  CHECK(E.Port.Admissions.size() == 2);
  reply(E, 4, 5);
  CHECK(E.Port.Sends.size() == 1);
}

TEST_CASE("a reply from before a stall does not let a take-up go on") {
  Entry E;
  setStarts(E, 5);
  takeUp(E);
  E.Machine.onOrigin(at(2), E.Port.Queries[0], StreamOrigin{"engines", "v1"});
  const std::string Asked = E.Port.Admissions.back().Upstream;
  E.Machine.onStall(at(3000));
  reply(E, 3000, 5);
  CHECK(E.Port.Sends.empty());
  // The same side is asked again.
  CHECK(E.Port.Admissions.size() == 2);
  CHECK(E.Port.Admissions.back().Upstream == Asked);
  reply(E, 3002, 5);
  CHECK(E.Port.Sends.size() == 1);
}

TEST_CASE("a stream that an uncertain version has begun is continued by none") {
  for (const bool IsCertain : {true, false}) {
    CAPTURE(IsCertain);
    Entry E;
    setStarts(E, 5);
    E.call("/resume/x");
    reply(E, 2, IsCertain ? 5 : 7);
    REQUIRE(E.Port.Sends.size() == 1);
    const SendId S = E.Port.Sends.back().Id;
    E.Machine.onHead(at(5), S, Entry::head(200));
    E.Machine.onData(at(6), S, "id: 1\n\n");
    CHECK(E.Port.Origins.size() == (IsCertain ? 1 : 0));
    const size_t Asked = E.Port.Admissions.size();
    E.failSend(10);
    CHECK((E.Port.Admissions.size() > Asked) == IsCertain);
    CHECK(E.Port.Aborted == !IsCertain);
  }
}

TEST_CASE("an entry without sides takes streams up while its records are "
          "current") {
  struct Row {
    const char *Name;
    bool IsCurrent;
    bool IsStalled;
    size_t Sends;
  };
  for (const Row &R : {Row{"current", true, false, 1},
                       Row{"no answer of the store yet", false, false, 0},
                       Row{"stood still since", true, true, 0}}) {
    CAPTURE(R.Name);
    Entry E;
    setStarts(E, 5);
    // The sides do not answer; no engine is known to hold the adapter.
    for (const char *Id : {"a", "b", "c"}) {
      IncomingCall C = Entry::incoming("/stream/x");
      C.RequestId = Id;
      E.Machine.onCall(at(1), 100 + static_cast<uint64_t>(Id[0]), C);
    }
    for (int64_t Ms = 10; Ms < 600; Ms += 10)
      E.Machine.onTimer(at(Ms));
    REQUIRE(E.Port.Sends.empty());
    E.Machine.onStall(at(600));
    if (R.IsCurrent)
      E.Machine.onCurrentCatalog(at(610));
    if (R.IsStalled)
      E.Machine.onStall(at(620));
    IncomingCall C = Entry::incoming("/resume/x");
    C.AfterEvent = "5";
    C.Resumes = "r0";
    E.Port.Queries.clear();
    E.Machine.onCall(at(640), 1, C);
    REQUIRE(E.Port.Queries.size() == 1);
    E.Machine.onOrigin(at(640), OriginQuery(E.Port.Queries[0]),
                       StreamOrigin{"engines", "v1"});
    CHECK(E.Port.Sends.size() == R.Sends);
    if (R.Sends == 0)
      CHECK(E.Port.Reason == EndReason::VersionUncertain);
  }
}

TEST_CASE("without a side to ask, a stream that is not known is refused") {
  Entry E;
  E.Port.Sides = 0;
  takeUp(E);
  CHECK(E.Port.Status == 503);
}

TEST_CASE("origins expire and are bounded in number") {
  StreamOrigins O(StreamOrigins::Options().setMaxStreams(3));
  for (uint64_t I = 1; I <= 4; ++I)
    O.record(at(0), I, {"s", "v" + std::to_string(I)});
  CHECK(O.size() == 3);
  CHECK_FALSE(O.find(at(0), 1));
  REQUIRE(O.find(at(0), 4));
  CHECK(O.find(at(0), 4)->SoftwareVersion == "v4");
  const Duration Life = StreamOrigins::Options().lifetime();
  O.record(at(0) + Life / 2, 2, {"s", "v2"});
  CHECK_FALSE(O.find(at(1) + Life, 3));
  CHECK(O.find(at(1) + Life, 2));
  O.record(at(1) + Life, 5, {"s", "v5"});
  CHECK(O.size() == 2);
}

TEST_CASE("a change of the sides moves few origins") {
  std::vector<std::string> Sides;
  for (int I = 0; I < 20; ++I)
    Sides.push_back("side" + std::to_string(I));
  std::vector<std::string> Fewer(Sides.begin() + 1, Sides.end());
  size_t Moved = 0;
  for (uint64_t Attempt = 1; Attempt <= 1000; ++Attempt) {
    const auto Keepers =
        originKeepers(hash64(std::to_string(Attempt)), Sides, 3);
    CHECK(Keepers.size() == 3);
    const auto Added =
        addedKeepers(hash64(std::to_string(Attempt)), Sides, Fewer, 3);
    const bool Lost =
        std::find(Keepers.begin(), Keepers.end(), "side0") != Keepers.end();
    CHECK(Added.size() == (Lost ? 1 : 0));
    Moved += Added.size();
  }
  CHECK(Moved > 50);
  CHECK(Moved < 300);
}

TEST_CASE(
    "a stream that goes on is admitted before new ones and waits longer") {
  // Callers give a stream up after a gap of two seconds or more.
  const Duration TakeUpWait = std::chrono::seconds(2);
  const auto HeldEverywhere = [](Entry &E) {
    EngineLoad L;
    L.Serving = true;
    L.Held = {adapterHash("m", "a1")};
    for (const char *Id : {"e1", "e2", "e3"})
      E.Machine.onLoad(at(0), Id, L);
  };
  Entry New;
  HeldEverywhere(New);
  New.call("/resume/x");
  CHECK(New.Port.Admissions.back().Request.Rank == 2);
  CHECK(New.Port.Admissions.back().Request.MaxWait < TakeUpWait);

  Entry Retried;
  HeldEverywhere(Retried);
  Retried.breakAfterEvent1();
  CHECK(Retried.Port.Admissions.back().Request.Rank == 0);
  CHECK(Retried.Port.Admissions.back().Request.MaxWait >= TakeUpWait);

  Entry TakenUp;
  HeldEverywhere(TakenUp);
  setVersions(TakenUp, {"v1", "v1", "v1"});
  takeUp(TakenUp);
  REQUIRE_FALSE(TakenUp.Port.Queries.empty());
  TakenUp.Machine.onOrigin(at(5), TakenUp.Port.Queries.back(),
                           StreamOrigin{"engines", "v1"});
  REQUIRE_FALSE(TakenUp.Port.Admissions.empty());
  CHECK(TakenUp.Port.Admissions.back().Request.Rank == 0);
  CHECK(TakenUp.Port.Admissions.back().Request.MaxWait >= TakeUpWait);
}
