// The part of Forwarder that ends calls while the process stops. Calls that
// wait are refused as soon as they can no longer be served here
// (process_stop.h); a refusal is true for all of them, since they can be called
// back from the side or the queue where they wait. A call that has been sent
// goes on; if its answer has not begun when all have to be answered, its caller
// is told that it may have run.
//
// While the process stops, every tick visits each call once.
#include "forward/forwarder.h"

#include <algorithm>
#include <array>

namespace goldcrestlink::forward {

namespace {
// Retry-After time of calls that were never placed; other entries take them at
// once.
constexpr Duration HeldRetryAfter = std::chrono::milliseconds(100);
} // namespace

std::string_view Forwarder::stageName(Stage S) {
  switch (S) {
  case Stage::OriginRequested:
    return "origin_requested";
  case Stage::Queued:
    return "queued";
  case Stage::AdmissionRequested:
    return "admission_requested";
  case Stage::WaitingAtSide:
    return "waiting_at_side";
  case Stage::Sent:
    return "sent";
  case Stage::Streaming:
    return "streaming";
  }
  return "unknown";
}

void Forwarder::logCallsInProgress(Time Now, std::string_view Event) const {
  constexpr std::array Stages = {
      Stage::OriginRequested, Stage::Queued, Stage::AdmissionRequested,
      Stage::WaitingAtSide,   Stage::Sent,   Stage::Streaming};
  std::string Line = std::string(Event) +
                     " calls=" + std::to_string(Calls.size()) +
                     " held=" + std::to_string(HeldCalls.size());
  for (const Stage S : Stages) {
    const auto Count =
        std::count_if(Calls.begin(), Calls.end(), [&](const auto &Item) {
          return Item.second.CurrentStage == S;
        });
    Line += ' ';
    Line += stageName(S);
    Line += '=' + std::to_string(Count);
  }
  Duration Longest{};
  for (const auto &[Id, Call] : Calls)
    if (!isSent(Call))
      Longest = std::max(Longest, Now - Call.Arrived);
  Port.log(LogClass::Kept,
           Line + " longest_wait_ms=" + std::to_string(Longest.count() / 1000));
}

UnsentCall Forwarder::unsentCall(const ActiveCall &Call) const {
  return {Call.Arrived, Call.Deadline, Call.ExpectedRun};
}

bool Forwarder::keepThroughStop(Time Now, ActiveCall &Call, Duration Wait) {
  const UnsentCall Unsent = unsentCall(Call);
  if (Stop.mayWait(Now, Wait, Unsent))
    return true;
  Port.log(
      LogClass::Kept,
      "stop_refused " + describe(Call) +
          " sends=" + std::to_string(Call.Sends) +
          " waited_ms=" + std::to_string((Now - Call.Arrived).count() / 1000) +
          " expected_wait_ms=" + std::to_string(Wait.count() / 1000) +
          " expected_run_ms=" +
          std::to_string(Call.ExpectedRun.count() / 1000) + " time_left_ms=" +
          std::to_string((Call.Deadline - Now).count() / 1000) +
          " exit_in_ms=" +
          std::to_string((Stop.schedule().ExitAt - Now).count() / 1000));
  endAdmission(Call);
  fail(Now, Call, EndReason::Stopping);
  return false;
}

void Forwarder::endForStop(Time Now, ActiveCall &Call) {
  if (isSent(Call)) {
    Call.MayHaveRun = true;
    Port.cancelSend({Call.Id, Call.Sends});
    finishSend(Now, Call, CallOutcome::Unknown);
  } else {
    endAdmission(Call);
  }
  fail(Now, Call, EndReason::Stopping);
}

void Forwarder::onStop(Time Now, const StopSchedule &Schedule) {
  if (Stop.begun())
    return;
  Stop.begin(Schedule);
  logCallsInProgress(
      Now,
      "stop_begun accept_ms=" +
          std::to_string((Schedule.AcceptUntil - Now).count() / 1000) +
          " answer_ms=" +
          std::to_string((Schedule.AnswerBy - Now).count() / 1000) +
          " exit_ms=" + std::to_string((Schedule.ExitAt - Now).count() / 1000));
  stepStop(Now);
}

void Forwarder::stepStop(Time Now) {
  if (!Stop.begun())
    return;
  if (Stop.isAnswerDue(Now))
    return answerAllUnanswered(Now);
  std::vector<uint64_t> Waiting;
  for (const auto &[Id, Call] : Calls)
    if (!isSent(Call) && !Stop.mayWait(Now, Duration(0), unsentCall(Call)))
      Waiting.push_back(Id);
  for (const uint64_t Id : Waiting)
    if (const auto It = Calls.find(Id); It != Calls.end())
      keepThroughStop(Now, It->second, Duration(0));
}

void Forwarder::answerAllUnanswered(Time Now) {
  std::vector<uint64_t> Unanswered;
  for (const auto &[Id, Call] : Calls)
    if (!isSent(Call) || !Call.HeadForwarded)
      Unanswered.push_back(Id);
  if (Unanswered.empty() && HeldCalls.empty())
    return;
  logCallsInProgress(Now, "stop_answers");
  for (const uint64_t Id : Unanswered)
    if (const auto It = Calls.find(Id); It != Calls.end())
      endForStop(Now, It->second);
  while (!HeldCalls.empty()) {
    const HeldCall Held = std::move(HeldCalls.begin()->second);
    Quotas.cancel(Now, HeldCalls.begin()->first);
    HeldCalls.erase(HeldCalls.begin());
    rejectNewCall(Held.Id, Held.Request, 503, HeldRetryAfter,
                  EndReason::Stopping);
  }
}

void Forwarder::onExit(Time Now) {
  answerAllUnanswered(Now);
  if (Calls.empty())
    return;
  logCallsInProgress(Now, "stop_cut");
  std::vector<uint64_t> Ids;
  for (const auto &[Id, Call] : Calls)
    Ids.push_back(Id);
  for (const uint64_t Id : Ids)
    if (const auto It = Calls.find(Id); It != Calls.end())
      endForStop(Now, It->second);
}

} // namespace goldcrestlink::forward
