// The part of Forwarder that describes calls and their ends in log lines.
#include "forward/forwarder.h"

#include <algorithm>
#include <cstdio>

namespace goldcrestlink::forward {

namespace {
// Parts of a prompt in a log line.
constexpr size_t MaxLoggedParts = 8;
} // namespace

std::string_view endReasonName(EndReason Reason) {
  switch (Reason) {
  case EndReason::NoConfig:
    return "no_config";
  case EndReason::Starting:
    return "starting";
  case EndReason::NoRoute:
    return "no_route";
  case EndReason::BadRequest:
    return "bad_request";
  case EndReason::NoUpstream:
    return "no_upstream";
  case EndReason::Overloaded:
    return "overloaded";
  case EndReason::NotAccepted:
    return "not_accepted";
  case EndReason::Broken:
    return "broken";
  case EndReason::TimedOut:
    return "timed_out";
  case EndReason::BadAnswer:
    return "bad_answer";
  case EndReason::Quarantined:
    return "quarantined";
  case EndReason::Suspect:
    return "suspect";
  case EndReason::UnknownOrigin:
    return "unknown_origin";
  case EndReason::VersionUncertain:
    return "version_uncertain";
  case EndReason::OriginGone:
    return "origin_gone";
  case EndReason::Paused:
    return "paused";
  case EndReason::KeyUnknown:
    return "key_unknown";
  case EndReason::ConfigUnconfirmed:
    return "config_unconfirmed";
  case EndReason::QuotaExceeded:
    return "quota_exceeded";
  case EndReason::TooMany:
    return "too_many";
  case EndReason::Busy:
    return "entry_busy";
  case EndReason::Stopping:
    return "stopping";
  }
  return "unknown";
}

std::string Forwarder::describe(const ActiveCall &Call) const {
  std::string Out = "id=" + Call.Request.RequestId +
                    " route=" + Call.RouteName +
                    " rank=" + std::to_string(Call.Rank);
  if (Call.Organisation)
    Out += " organisation=" + Call.Organisation->Name;
  if (Call.IsEngine)
    Out += " model=" + Call.Request.Inference.Model +
           " adapter=" + Call.Request.Inference.Adapter +
           " prompt=" + std::to_string(Call.Request.Inference.PromptTokens);
  if (!Call.Upstream.Id.empty())
    Out += " upstream=" + Call.Upstream.Id;
  return Out;
}

std::string Forwarder::describeExpected(const ActiveCall &Call) {
  if (!Call.IsEngine)
    return {};
  return " expected_first_ms=" +
         std::to_string(Call.ExpectedFirst.count() / 1000) +
         " expected_ms=" + std::to_string(Call.ExpectedWhole.count() / 1000) +
         " expected_output=" +
         std::to_string(static_cast<int64_t>(Call.ExpectedOutput)) +
         " hint=" + std::to_string(Call.Request.Inference.LengthHint);
}

std::string Forwarder::describeSilence(Time Now, const ActiveCall &Call) {
  return Call.Sends == 0
             ? std::string()
             : " silent_ms=" +
                   std::to_string((Now - Call.HeardAt).count() / 1000);
}

std::string Forwarder::describePause(Time Now, const ActiveCall &Call) const {
  if (!Call.Streaming)
    return {};
  const PauseMeter::Pause &P = Call.EventPauses.longest();
  std::string Out = " pause_ms=" + std::to_string(P.Length.count() / 1000);
  if (P.Length > Duration(0))
    Out += " pause_ago_ms=" + std::to_string((Now - P.EndedAt).count() / 1000) +
           " pause_in=" + std::string(pausePlaceName(Call.EventPauses.place()));
  return Out;
}

std::string Forwarder::describeContent(const ActiveCall &Call) const {
  const std::vector<uint64_t> &Parts = Call.Request.Inference.SharedParts;
  char Content[32];
  std::snprintf(Content, sizeof(Content), " content=%016llx",
                static_cast<unsigned long long>(Call.Traits.back().Hash));
  std::string Out = Content;
  for (size_t I = 0; I < std::min(Parts.size(), MaxLoggedParts); ++I) {
    char Text[32];
    std::snprintf(Text, sizeof(Text), "%s%08llx", I == 0 ? " parts=" : ",",
                  static_cast<unsigned long long>(Parts[I]));
    Out += Text;
  }
  return Out;
}

} // namespace goldcrestlink::forward
