// A prompt counts from its grant until the engine reports that its request
// runs, and for one event longer, since the step that processed it belongs to
// the event that follows. Queries are linear in the granted requests, of which
// an engine runs a few dozen.
#include "admission/pause_model.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
// Bounds how long a prompt counts that the engine never reports as started,
// while it has others.
constexpr Duration MaxStartTime = std::chrono::seconds(3);
// Time of a step while none has been measured.
constexpr Duration DefaultStep = std::chrono::milliseconds(12);
// Smaller prompts take little more than the time between two reports.
constexpr uint64_t MinMeasuredPrompt = 800;
// A prompt that the engine does not have this long after its grant is lost, or
// its request has ended: a message to the entry and one to the engine take a
// few milliseconds.
constexpr Duration MaxSendTime = std::chrono::milliseconds(150);
// A prompt that has taken this much longer than usual is a sign of a slow
// engine before it is done.
constexpr double MinPrefillExcess = 1.5;
} // namespace

void PauseModel::clear() {
  Streams.clear();
  Steps.clear();
  ProgressAt = Time{};
  ReportedAt = Time{};
  Reported = false;
}

bool PauseModel::hasUnread() const {
  return std::any_of(Streams.begin(), Streams.end(), [](const auto &Item) {
    return Item.second.StartedAt == Time{} && !Item.second.IsLost;
  });
}

void PauseModel::onGrant(Time Now, const GrantedStream &Granted) {
  if (Granted.Request == 0)
    return;
  // The engine begins with it now, not when it last made progress.
  if (!hasUnread())
    ProgressAt = std::max(ProgressAt, Now);
  Stream S;
  S.Granted = Granted;
  S.GrantedAt = Now;
  Streams[Granted.Request] = S;
}

std::vector<StreamPause>
PauseModel::onReport(Time Now, const EngineReport &Report, double Rate) {
  std::vector<StreamPause> Ended;
  Reported = Report.HasRuns;
  if (!Reported)
    return Ended;
  // What happened in a longer time is not known: this process stood still, or
  // the engine did not answer.
  const bool IsContinuous = Now - ReportedAt <= StepMeter::MaxReportGap;
  ReportedAt = Now;
  Steps.onReport(Now, Report);
  const bool HasPrompts = Report.Running + Report.Waiting > Report.Runs.size();
  uint64_t TokensDone = 0;
  bool Advanced = false;
  for (const EngineRun &Run : Report.Runs) {
    const auto It = Streams.find(Run.Request);
    if (It == Streams.end())
      continue;
    Stream &S = It->second;
    const bool Starts = S.StartedAt == Time{};
    if (!IsContinuous)
      S.AdvancedAt = Now;
    if (!Starts && Run.Events <= S.Events)
      continue;
    Advanced = true;
    if (Starts) {
      S.StartedAt = Now;
      TokensDone += S.Granted.PromptTokens;
    } else if (S.Granted.MaxPause > Duration(0)) {
      const Duration Pause = Now - S.AdvancedAt;
      S.IsLate |= Pause > S.Granted.MaxPause;
      if (Pause > S.LongestPause && 2 * Pause > S.Granted.MaxPause)
        Ended.push_back({Run.Request, Pause});
      S.LongestPause = std::max(S.LongestPause, Pause);
    }
    S.Events = Run.Events;
    S.AdvancedAt = Now;
  }
  if (!HasPrompts)
    for (auto &[Request, S] : Streams)
      S.IsLost = S.StartedAt == Time{} && Now - S.GrantedAt > MaxSendTime;
  if (!IsContinuous || (!HasPrompts && TokensDone == 0))
    ProgressAt = Now;
  else
    measurePrefill(Now, TokensDone, Advanced, Rate);
  return Ended;
}

// A prompt that took, or has taken so far, much longer than at the usual rate
// shows that the engine is slow while no other step can.
void PauseModel::measurePrefill(Time Now, uint64_t TokensDone, bool Advanced,
                                double Rate) {
  const double Took = seconds(Now - ProgressAt) * 1e3;
  uint64_t Pending = TokensDone;
  if (!Advanced)
    for (const auto &[Request, S] : Streams)
      Pending +=
          S.StartedAt == Time{} && !S.IsLost ? S.Granted.PromptTokens : 0;
  const double Expected =
      static_cast<double>(Pending) / Rate + seconds(Steps.usualStep()) * 1e3;
  if (Pending >= MinMeasuredPrompt &&
      (Advanced || Took > Expected * MinPrefillExcess))
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
        S.StartedAt == Time{} && !S.IsLost && Now - S.GrantedAt < MaxStartTime;
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
                       PlannedPauseShare;
      }));
}

size_t PauseModel::limitedStreams() const {
  return static_cast<size_t>(
      std::count_if(Streams.begin(), Streams.end(), [](const auto &Item) {
        return Item.second.Granted.MaxPause > Duration(0);
      }));
}

} // namespace goldcrestlink
