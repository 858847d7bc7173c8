// Lines of connections on which a request was lost are kept; the others are
// routine, so that many of them do not drop lines that matter.
#include "http/close_log.h"

namespace goldcrestlink::http {

std::string_view closeReasonName(CloseReason Reason) {
  // In the order of the enumerators.
  static constexpr std::array<std::string_view, CloseReasons> Names = {
      "answered",     "peer_closed",      "caller_left",
      "read_failed",  "write_failed",     "idle_timeout",
      "head_timeout", "body_timeout",     "refusal_timeout",
      "yielded_idle", "yielded_stalled",  "connection_limit",
      "no_room",      "answer_too_large", "answer_no_room",
      "aborted",      "dropped",          "stopping",
      "server_ended"};
  return Names[static_cast<size_t>(Reason)];
}

std::string_view connectionStageName(ConnectionStage Stage) {
  // In the order of the enumerators.
  static constexpr std::array<std::string_view, 6> Names = {
      "idle", "head", "body", "waiting", "answering", "refused"};
  return Names[static_cast<size_t>(Stage)];
}

bool ClosedConnection::isUnanswered() const {
  if (Reason == CloseReason::PeerClosed || Reason == CloseReason::CallerLeft ||
      Stage == ConnectionStage::Refused)
    return false;
  const bool IsInProgress =
      Stage != ConnectionStage::Idle && Reason != CloseReason::Answered;
  return Read > 0 || Unread > 0 || IsInProgress;
}

void CloseLog::onClosed(const ClosedConnection &Closed) {
  ++Counts[static_cast<size_t>(Closed.Reason)];
  std::string Line = "connection_closed server=" + Server + " reason=";
  Line += closeReasonName(Closed.Reason);
  Line += " stage=";
  Line += connectionStageName(Closed.Stage);
  Line += " read=" + std::to_string(Closed.Read) +
          " unread=" + std::to_string(Closed.Unread) +
          " quiet_ms=" + std::to_string(Closed.Quiet.count() / 1000);
  Log(Closed.isUnanswered() ? LogClass::Kept : LogClass::Routine,
      std::move(Line));
}

std::string CloseLog::metrics() const {
  std::string Out;
  for (size_t I = 0; I < CloseReasons; ++I) {
    if (Counts[I] == 0)
      continue;
    Out += "goldcrestlink_connections_closed_total{server=\"" + Server +
           "\",reason=\"";
    Out += closeReasonName(static_cast<CloseReason>(I));
    Out += "\"} " + std::to_string(Counts[I]) + "\n";
  }
  return Out;
}

} // namespace goldcrestlink::http
