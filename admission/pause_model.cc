// A prompt counts from its grant until the engine reports that its request
// runs, and for one event longer, since the step that processed it belongs to
// the event that follows. Queries are linear in the granted requests, of which
// an engine runs a few dozen.
#include "admission/pause_model.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
// A granted request that the engine does not report after this time was never
// sent, or has ended already.
constexpr Duration MaxStartTime = std::chrono::seconds(3);
// Time of a step while none has been measured.
constexpr Duration DefaultStep = std::chrono::milliseconds(12);
// Smaller prompts take little more than the time between two reports.
constexpr uint64_t MinMeasuredPrompt = 800;
// Part of a longest pause that is planned for. The rest covers the network, the
// time between reports, and spells that begin while a prompt is processed.
constexpr double PlannedShare = 0.8;
} // namespace

void PauseModel::clear() {
  Streams.clear();
  Steps.clear();
  Reported = false;
}

void PauseModel::onGrant(Time Now, const GrantedStream &Granted) {
  if (Granted.Request == 0)
    return;
  Stream S;
  S.Granted = Granted;
  S.GrantedAt = Now;
  Streams[Granted.Request] = S;
}

void PauseModel::onReport(Time Now, const EngineReport &Report, double Rate) {
  Reported = Report.HasRuns;
  if (!Reported)
    return;
  Steps.onReport(Now, Report);
  uint64_t TokensDone = 0;
  bool Advanced = false;
  for (const EngineRun &Run : Report.Runs) {
    const auto It = Streams.find(Run.Request);
    if (It == Streams.end())
      continue;
    Stream &S = It->second;
    const bool Starts = S.StartedAt == Time{};
    if (!Starts && Run.Events <= S.Events)
      continue;
    Advanced = true;
    if (Starts) {
      S.StartedAt = Now;
      TokensDone += S.Granted.PromptTokens;
    } else if (S.Granted.MaxPause > Duration(0) &&
               Now - S.AdvancedAt > S.Granted.MaxPause) {
      S.IsLate = true;
    }
    S.Events = Run.Events;
    S.AdvancedAt = Now;
  }
  if (Report.Running + Report.Waiting <= Report.Runs.size() && TokensDone == 0)
    ProgressAt = Now;
  else
    measurePrefill(Now, TokensDone, Advanced, Rate);
}

// A prompt that took, or has taken so far, much longer than at the usual rate
// shows that the engine is slow while no other step can.
void PauseModel::measurePrefill(Time Now, uint64_t TokensDone, bool Advanced,
                                double Rate) {
  const double Took = seconds(Now - ProgressAt) * 1e3;
  uint64_t Pending = TokensDone;
  if (!Advanced)
    for (const auto &[Request, S] : Streams)
      Pending += S.StartedAt == Time{} ? S.Granted.PromptTokens : 0;
  const double Expected =
      static_cast<double>(Pending) / Rate + seconds(Steps.usualStep()) * 1e3;
  if (Pending >= MinMeasuredPrompt && (Advanced || Took > Expected * 1.5))
    Steps.onPrefill(Now, Took / Expected);
  if (Advanced)
    ProgressAt = Now;
}

Duration PauseModel::eventTime(Time Now) const {
  const Duration Step =
      Steps.usualStep() > Duration(0) ? Steps.usualStep() : DefaultStep;
  return Duration(static_cast<int64_t>(static_cast<double>(Step.count()) *
                                       Steps.slowdown(Now) * TokensPerEvent));
}

uint64_t PauseModel::promptTokens(Time Now) const {
  const Duration Event = eventTime(Now);
  uint64_t Sum = 0;
  for (const auto &[Request, S] : Streams) {
    const bool Pending =
        S.StartedAt == Time{} && Now - S.GrantedAt < MaxStartTime;
    const bool JustDone = S.StartedAt != Time{} && Now - S.StartedAt < Event;
    if (Pending || JustDone)
      Sum += S.Granted.PromptTokens;
  }
  return Sum;
}

Duration PauseModel::pauseAt(Time Now, uint64_t Tokens, double Rate,
                             double Slowdown) const {
  const double PrefillMs =
      static_cast<double>(promptTokens(Now) + Tokens) / Rate * Slowdown;
  return eventTime(Now) + fromSeconds(PrefillMs / 1e3);
}

Duration PauseModel::pauseWith(Time Now, uint64_t Tokens, double Rate) const {
  // Samples lag behind at the beginning of a spell.
  return pauseAt(Now, Tokens, Rate,
                 Steps.slowdown(Now) > 1 ? Steps.worstSlowdown(Now) : 1);
}

Duration PauseModel::pauseAlone(uint64_t Tokens, double Rate) const {
  return Steps.usualStep() * TokensPerEvent +
         fromSeconds(static_cast<double>(Tokens) / Rate / 1e3);
}

Duration PauseModel::worstPauseWith(Time Now, uint64_t Tokens,
                                    double Rate) const {
  return pauseAt(Now, Tokens, Rate, Steps.worstSlowdown(Now));
}

size_t PauseModel::streamsLateAfter(Duration Pause) const {
  return static_cast<size_t>(
      std::count_if(Streams.begin(), Streams.end(), [&](const auto &Item) {
        const Stream &S = Item.second;
        return S.StartedAt != Time{} && !S.IsLate &&
               S.Granted.MaxPause > Duration(0) &&
               static_cast<double>(Pause.count()) >
                   static_cast<double>(S.Granted.MaxPause.count()) *
                       PlannedShare;
      }));
}

size_t PauseModel::limitedStreams() const {
  return static_cast<size_t>(
      std::count_if(Streams.begin(), Streams.end(), [](const auto &Item) {
        return Item.second.Granted.MaxPause > Duration(0);
      }));
}

} // namespace goldcrestlink
