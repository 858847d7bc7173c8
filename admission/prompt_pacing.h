// Decides whether a prompt is given to an engine now or held, so that the
// streams that the engine runs do not pause for too long. What a grant does to
// running streams counts as its cost: a prompt is held as long as that serves
// more callers in time.
//
//   if (holdsPrompt({.StreamsMadeLate = 3, .ObjectiveLeft = Left})) ...
#ifndef GOLDCRESTLINK_ADMISSION_PROMPT_PACING_H
#define GOLDCRESTLINK_ADMISSION_PROMPT_PACING_H

#include <cstddef>

#include "base/time.h"

namespace goldcrestlink {

/// A prompt that an engine could be given now.
struct PromptDecision {
  /// Running streams that would be late because of it.
  size_t StreamsMadeLate = 0;
  /// Those of them that would be late also if it were given to the engine by
  /// itself and at its usual speed.
  size_t StreamsLateAnyway = 0;
  /// Other prompts are being processed, and will be done soon.
  bool OthersPending = false;
  /// Time left until the request's objective for its first token; may be
  /// negative.
  Duration ObjectiveLeft{};
  /// Expected time from the grant to its first token.
  Duration OwnPrefill{};
};

/// Whether the prompt is better held. Thread-safe.
bool holdsPrompt(const PromptDecision &Prompt);

/// Whether requests that came later may be granted before a held prompt: it has
/// time enough to wait for them. Thread-safe.
bool mayOvertake(const PromptDecision &Held);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_PROMPT_PACING_H
