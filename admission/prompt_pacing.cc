// A prompt that has to share its moment with others waits until they are done,
// which takes less than a longest pause. One that is too large by itself, since
// the engine is slow at present, waits for its usual speed as long as its own
// objective allows, and longer if several streams would be late for its sake,
// but not without end. All functions take constant time.
#include "admission/prompt_pacing.h"

namespace goldcrestlink {

namespace {
// From the grant to the first token apart from the prefill: the messages
// between side, entry and engine, and a step.
constexpr Duration SendTime = std::chrono::milliseconds(60);
// A prompt past its objective is held no longer than this.
constexpr Duration MaxLateHold = std::chrono::milliseconds(500);
// A held prompt with less time than this is not overtaken any more, so that the
// engine has no other prompts when its time has come.
constexpr Duration OvertakeReserve = std::chrono::milliseconds(250);

Duration slack(const PromptDecision &P) {
  return P.ObjectiveLeft - P.OwnPrefill - SendTime;
}
} // namespace

bool holdsPrompt(const PromptDecision &Prompt) {
  // Holding a prompt that is always too large would help nobody.
  if (Prompt.StreamsMadeLate <= Prompt.StreamsLateAnyway)
    return false;
  if (Prompt.OthersPending)
    return true;
  if (slack(Prompt) > Duration(0))
    return true;
  // It is late by itself now, so that holding it costs nothing more.
  return Prompt.StreamsMadeLate > 1 && slack(Prompt) > -MaxLateHold;
}

bool mayOvertake(const PromptDecision &Held) {
  return slack(Held) > OvertakeReserve;
}

} // namespace goldcrestlink
