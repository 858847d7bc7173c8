// Predicts how long the streams that an engine runs would pause if it were
// given another prompt, and how many of them would then be late. An engine
// processes prompts in pieces between the tokens of its streams, so prompts
// that arrive together stop all of them. Answers many medium prompts, or a
// large one, beside long streams.
//
// Assumes of an engine that a step takes the time of its prompt pieces on top
// of its usual time, and that an event of a stream holds a fixed number of
// tokens, so that the pause between two events is the sum of that many steps.
//
//   PauseModel Pauses;
//   Pauses.onGrant(Now, Stream);
//   Pauses.onReport(Now, Report);
//   Duration Pause = Pauses.pauseWith(Now, PromptTokens, Rate);
//   if (Pauses.streamsLateAfter(Pause) > 0) ...
#ifndef GOLDCRESTLINK_ADMISSION_PAUSE_MODEL_H
#define GOLDCRESTLINK_ADMISSION_PAUSE_MODEL_H

#include <algorithm>
#include <unordered_map>
#include <vector>

#include "admission/engine_report.h"
#include "admission/step_meter.h"
#include "base/time.h"

namespace goldcrestlink {

/// Part of a longest pause that is planned for. The rest covers the network,
/// the time between reports, and spells that begin while a prompt is processed.
inline constexpr double PlannedPauseShare = 0.8;

/// A granted request, as far as pauses are concerned.
struct GrantedStream {
  /// Hash of the request's id, as in EngineRun; not 0.
  uint64_t Request = 0;
  uint32_t PromptTokens = 0;
  /// Longest pause that is still on time; zero if the route states none.
  Duration MaxPause{};
};

/// A pause between two events of a running stream.
struct StreamPause {
  /// As in GrantedStream.
  uint64_t Request = 0;
  Duration Length{};
};

/// Not thread-safe. Memory is bounded by the granted requests.
class PauseModel {
public:
  // Commands.

  /// The number of tokens that an event of a stream holds.
  void setTokensPerEvent(uint32_t Count) {
    TokensPerEvent = std::max<uint32_t>(1, Count);
  }
  void onGrant(Time Now, const GrantedStream &Stream);
  void onEnd(uint64_t Request) { Streams.erase(Request); }
  /// The engine's state. \p Rate: its usual prefill rate in tokens per
  /// millisecond. Returns the pauses that have ended, of more than half of what
  /// their routes allow and longer than those of the same stream before.
  std::vector<StreamPause> onReport(Time Now, const EngineReport &Report,
                                    double Rate);
  /// The engine has started anew.
  void clear();

  // Queries.

  /// Whether the engine reports its runs; without them nothing is predicted.
  bool isKnown() const { return Reported; }
  /// The pause of the running streams if a prompt of \p Tokens tokens were
  /// granted now. \p Rate: the engine's usual prefill rate in tokens per
  /// millisecond.
  Duration pauseWith(Time Now, uint64_t Tokens, double Rate) const;
  /// The same if the engine became as slow as it has been lately.
  Duration worstPauseWith(Time Now, uint64_t Tokens, double Rate) const;
  /// The pause that the prompt causes by itself at the engine's usual speed.
  Duration pauseAlone(uint64_t Tokens, double Rate) const;
  /// Number of running streams, on time so far, that a pause of \p Pause would
  /// make late.
  size_t streamsLateAfter(Duration Pause) const;
  /// Prompt tokens granted that a stream may still have to wait for within the
  /// event that it is in.
  uint64_t promptTokens(Time Now) const;
  /// Number of granted streams whose routes limit their pauses.
  size_t limitedStreams() const;
  double slowdown(Time Now) const { return Steps.slowdown(Now); }
  double worstSlowdown(Time Now) const { return Steps.worstSlowdown(Now); }
  /// Share of the time in which the engine is slow.
  double slowShare() const { return Steps.slowShare(); }
  /// Time between two events of a stream while no prompt is processed.
  Duration eventTime(Time Now) const;

private:
  struct Stream {
    GrantedStream Granted;
    Time GrantedAt{};
    // Time{} until the engine reports that the request runs.
    Time StartedAt{};
    uint64_t Events = 0;
    Time AdvancedAt{};
    Duration LongestPause{};
    bool IsLate = false;
    // The engine has no prompts although this one should have arrived.
    bool IsLost = false;
  };

  /// Whether a granted prompt has not been processed yet.
  bool hasUnread() const;

  Duration pauseAt(Time Now, uint64_t Tokens, double Rate,
                   double Slowdown) const;
  void measurePrefill(Time Now, uint64_t TokensDone, bool Advanced,
                      double Rate);

  std::unordered_map<uint64_t, Stream> Streams;
  // When a run last advanced or started, or the engine began to process a
  // prompt after it had none.
  Time ProgressAt{};
  Time ReportedAt{};
  StepMeter Steps;
  uint32_t TokensPerEvent = 1;
  bool Reported = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_PAUSE_MODEL_H
