// Unit tests of the parts that predict pauses and pace prompts.
#include <doctest/doctest.h>

#include "admission/kept_parts.h"
#include "admission/pause_model.h"
#include "admission/prompt_pacing.h"
#include "admission/step_meter.h"

using namespace goldcrestlink;

namespace {

Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }

constexpr double Rate = 20;

/// \p Runs requests that have \p Tokens tokens, and \p InPrefill without one.
EngineReport report(size_t Runs, uint64_t Tokens, uint32_t InPrefill = 0) {
  EngineReport R;
  R.HasRuns = true;
  R.Running = static_cast<uint32_t>(Runs) + InPrefill;
  for (uint64_t I = 1; I <= Runs; ++I)
    R.Runs.push_back({I, 1000 + Tokens, Tokens});
  return R;
}

/// Reports every 10 ms from \p FromMs to \p ToMs, a token each \p StepMs.
void play(StepMeter &Steps, int64_t FromMs, int64_t ToMs, int64_t StepMs,
          uint64_t FirstToken, uint32_t InPrefill = 0) {
  for (int64_t Ms = FromMs; Ms < ToMs; Ms += 10)
    Steps.onReport(
        at(Ms),
        report(3, FirstToken + static_cast<uint64_t>((Ms - FromMs) / StepMs),
               InPrefill));
}

} // namespace

TEST_CASE("a slow spell is noticed within 100 ms and forgotten afterwards") {
  StepMeter Steps;
  play(Steps, 0, 2000, 10, 1);
  CHECK(Steps.slowdown(at(2000)) == 1);
  CHECK(Steps.usualStep() >= std::chrono::milliseconds(9));
  CHECK(Steps.usualStep() <= std::chrono::milliseconds(11));
  play(Steps, 2000, 2100, 30, 201);
  CHECK(Steps.slowdown(at(2100)) > 2);
  play(Steps, 2100, 2600, 30, 204);
  CHECK(Steps.slowdown(at(2600)) > 2.4);
  play(Steps, 2600, 2700, 10, 221);
  CHECK(Steps.slowdown(at(2700)) == 1);
  CHECK(Steps.worstSlowdown(at(2700)) > 2.4);
}

TEST_CASE("steps that process a prompt are no sign of a slow engine") {
  StepMeter Steps;
  play(Steps, 0, 1000, 10, 1);
  play(Steps, 1000, 1400, 100, 101, 1);
  CHECK(Steps.slowdown(at(1400)) == 1);
}

TEST_CASE("an engine that stays slow becomes the usual one") {
  StepMeter Steps;
  play(Steps, 0, 1000, 10, 1);
  play(Steps, 1000, 8000, 40, 101);
  CHECK(Steps.slowdown(at(8000)) == 1);
  CHECK(Steps.usualStep() > std::chrono::milliseconds(35));
}

TEST_CASE("an engine without samples runs as usual") {
  StepMeter Steps;
  CHECK(Steps.slowdown(at(0)) == 1);
  Steps.onReport(at(0), EngineReport());
  CHECK(Steps.slowdown(at(10)) == 1);
  Steps.onPrefill(at(20), 9);
  CHECK(Steps.slowdown(at(20)) > 2);
  CHECK(Steps.slowdown(at(2000)) == 1);
}

TEST_CASE("a prompt counts until its request runs, and for one event more") {
  PauseModel Pauses;
  Pauses.setTokensPerEvent(2);
  constexpr Duration MaxPause = std::chrono::milliseconds(300);
  Pauses.onReport(at(0), report(0, 0), Rate);
  Pauses.onGrant(at(0), {1, 1000, MaxPause});
  CHECK(Pauses.promptTokens(at(5)) == 1000);
  // Nothing runs yet, so nothing can be late.
  CHECK(Pauses.streamsLateAfter(std::chrono::seconds(1)) == 0);
  Pauses.onReport(at(60), report(1, 1), Rate);
  CHECK(Pauses.promptTokens(at(65)) == 1000);
  CHECK(Pauses.promptTokens(at(100)) == 0);
  CHECK(Pauses.streamsLateAfter(MaxPause) == 1);
  CHECK(Pauses.streamsLateAfter(MaxPause / 2) == 0);
  const Duration Pause = Pauses.pauseWith(at(100), 4000, Rate);
  CHECK(Pause >= std::chrono::milliseconds(200));
  CHECK(Pause <= std::chrono::milliseconds(250));
  Pauses.onEnd(1);
  CHECK(Pauses.streamsLateAfter(MaxPause) == 0);
}

TEST_CASE("a stream that has paused too long already has nothing to lose") {
  PauseModel Pauses;
  constexpr Duration MaxPause = std::chrono::milliseconds(300);
  Pauses.onGrant(at(0), {1, 10, MaxPause});
  Pauses.onReport(at(0), report(1, 1), Rate);
  for (int64_t Ms = 10; Ms < 400; Ms += 10)
    Pauses.onReport(at(Ms), report(1, 1), Rate);
  Pauses.onReport(at(400), report(1, 2), Rate);
  CHECK(Pauses.streamsLateAfter(std::chrono::seconds(1)) == 0);
}

TEST_CASE("routes without a longest pause hold nobody up") {
  PauseModel Pauses;
  Pauses.onGrant(at(0), {1, 10, Duration(0)});
  Pauses.onReport(at(0), report(1, 1), Rate);
  CHECK(Pauses.streamsLateAfter(std::chrono::seconds(9)) == 0);
  CHECK(Pauses.limitedStreams() == 0);
}

TEST_CASE("when a prompt is held") {
  using namespace std::chrono_literals;
  struct Row {
    const char *Name;
    PromptDecision Prompt;
    bool Held;
    bool Overtaken;
  };
  const Row Rows[] = {
      {"nobody would be late", {0, 0, true, 900ms, 50ms}, false, true},
      {"too large for the streams at any time",
       {3, 3, false, 900ms, 300ms},
       false,
       true},
      {"others are pending", {3, 0, true, 900ms, 50ms}, true, true},
      {"others are pending, late", {3, 0, true, -900ms, 50ms}, true, false},
      {"too large at present, in time",
       {3, 0, false, 500ms, 200ms},
       true,
       false},
      {"too large, one stream against its own objective",
       {1, 0, false, 200ms, 200ms},
       false,
       false},
      {"too large, several streams against its own objective",
       {3, 0, false, 200ms, 200ms},
       true,
       false},
      {"too large, late for long", {3, 0, false, -900ms, 200ms}, false, false},
  };
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    CHECK(holdsPrompt(R.Prompt) == R.Held);
    CHECK(mayOvertake(R.Prompt) == R.Overtaken);
  }
}

TEST_CASE("parts of prompts count as kept once read, in prompt order") {
  const std::vector<PromptPart> Prompt = {{11, 200}, {12, 350}};
  const std::vector<PromptPart> Sibling = {{11, 200}, {13, 300}};
  KeptParts Kept;
  CHECK(Kept.tokens(at(0), Prompt) == 0);
  Kept.onGrant(at(0), Prompt);
  // The engine is still reading them.
  CHECK(Kept.tokens(at(50), Prompt) == 0);
  CHECK(Kept.tokens(at(500), Prompt) == 350);
  CHECK(Kept.tokens(at(500), Sibling) == 200);
  Kept.onGrant(at(10000), Prompt);
  CHECK(Kept.tokens(at(20000), Prompt) == 350);
  CHECK(Kept.tokens(at(60000), Prompt) == 0);
  Kept.clear();
  CHECK(Kept.tokens(at(20000), Prompt) == 0);
  // Memory stays bounded, and the latest parts are known all the same.
  for (uint64_t Key = 100; Key < 100 + 3 * KeptParts::MaxParts; ++Key)
    Kept.onGrant(at(static_cast<int64_t>(100000 + Key * 20)),
                 std::vector<PromptPart>{{Key, 10}});
  const uint64_t Last = 99 + 3 * KeptParts::MaxParts;
  CHECK(Kept.tokens(at(static_cast<int64_t>(100000 + Last * 20 + 400)),
                    std::vector<PromptPart>{{Last, 10}}) == 10);
}

TEST_CASE("a process that stood still takes no stream for late and no engine "
          "for slow") {
  constexpr Duration MaxPause = std::chrono::milliseconds(300);
  PauseModel Pauses;
  Pauses.onGrant(at(0), {1, 1000, MaxPause});
  Pauses.onReport(at(0), report(0, 0, 1), Rate);
  Pauses.onReport(at(60), report(1, 1), Rate);
  Pauses.onReport(at(70), report(1, 2), Rate);
  Pauses.onGrant(at(75), {2, 1000, MaxPause});
  // The next report after a stop of three seconds.
  Pauses.onReport(at(3075), report(2, 300), Rate);
  CHECK(Pauses.streamsLateAfter(std::chrono::seconds(1)) == 2);
  CHECK(Pauses.slowdown(at(3080)) == 1);
  CHECK(Pauses.worstSlowdown(at(3080)) == 1);
}

TEST_CASE("an engine that was idle before a prompt is not slow because of it") {
  PauseModel Pauses;
  Pauses.onReport(at(0), report(0, 0), Rate);
  Pauses.onReport(at(100), report(0, 0), Rate);
  Pauses.onGrant(at(195), {1, 1000, std::chrono::milliseconds(300)});
  // 1,000 tokens take 50 ms.
  for (int64_t Ms = 200; Ms < 250; Ms += 10)
    Pauses.onReport(at(Ms), report(0, 0, 1), Rate);
  Pauses.onReport(at(250), report(1, 1), Rate);
  CHECK(Pauses.slowdown(at(250)) == 1);
}

TEST_CASE(
    "a prompt that never reaches the engine holds others up only briefly") {
  PauseModel Pauses;
  constexpr Duration MaxPause = std::chrono::milliseconds(300);
  Pauses.onGrant(at(0), {1, 4000, MaxPause});
  CHECK(Pauses.promptTokens(at(10)) == 4000);
  for (int64_t Ms = 10; Ms <= 300; Ms += 10)
    Pauses.onReport(at(Ms), report(0, 0), Rate);
  CHECK(Pauses.promptTokens(at(300)) == 0);
  // Its entry was merely slow.
  Pauses.onReport(at(310), report(1, 1), Rate);
  CHECK(Pauses.streamsLateAfter(MaxPause) == 1);
}

TEST_CASE("the share of slow time is learnt") {
  StepMeter Steps;
  CHECK(Steps.slowShare() == 0);
  uint64_t Token = 1;
  for (int64_t Ms = 0; Ms < 60000; Ms += 1000) {
    play(Steps, Ms, Ms + 800, 10, Token);
    play(Steps, Ms + 800, Ms + 1000, 30, Token + 80);
    Token += 87;
  }
  CHECK(Steps.slowShare() > 0.1);
  CHECK(Steps.slowShare() < 0.3);
}
