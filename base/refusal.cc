// One table holds the name and the HTTP status of each code. A look-up scans
// the table, so its cost is bounded by the number of codes.
#include "base/refusal.h"

#include <array>

namespace goldcrestlink {

namespace {

struct CodeRow {
  Code Id;
  std::string_view Name;
  unsigned Status;
};

constexpr std::array<CodeRow, 31> Rows = {{
    {Code::None, "none", 200},
    {Code::BadRequest, "bad_request", 400},
    {Code::UnknownAdapter, "unknown_adapter", 404},
    {Code::UnknownVersion, "unknown_version", 404},
    {Code::UnknownRank, "unknown_rank", 400},
    {Code::UnknownApplication, "unknown_application", 400},
    {Code::UnknownRoute, "unknown_route", 404},
    {Code::TooLarge, "too_large", 413},
    {Code::KeyExpired, "key_expired", 409},
    {Code::KeyFromFuture, "key_from_future", 400},
    {Code::KeyBeforeOwner, "key_before_owner", 409},
    {Code::KeyMismatch, "key_mismatch", 422},
    {Code::NotOwner, "not_owner", 503},
    {Code::LeaseExpired, "lease_lapsed", 503},
    {Code::Overloaded, "overloaded", 429},
    {Code::DeadlineUnreachable, "deadline_unreachable", 429},
    {Code::DeadlineExceeded, "deadline_exceeded", 504},
    {Code::Quarantined, "quarantined", 422},
    {Code::Draining, "leaving", 503},
    {Code::NoUpstream, "no_upstream", 503},
    {Code::UpstreamDown, "upstream_down", 503},
    {Code::UpstreamError, "upstream_error", 502},
    {Code::UpstreamCrashed, "upstream_crashed", 502},
    {Code::Interrupted, "interrupted", 502},
    {Code::LoadFailed, "load_failed", 503},
    {Code::WrongAdapter, "wrong_adapter", 502},
    {Code::Cancelled, "cancelled", 499},
    {Code::NeverArrived, "never_arrived", 503},
    {Code::NotConfigured, "not_configured", 503},
    {Code::WrongUpstream, "wrong_upstream", 503},
    {Code::StaleFencing, "stale_fencing", 503},
}};

const CodeRow &rowOf(Code Id) {
  for (const CodeRow &Row : Rows)
    if (Row.Id == Id)
      return Row;
  return Rows[0];
}

} // namespace

std::string_view codeName(Code Id) { return rowOf(Id).Name; }

Code codeFromName(std::string_view Name) {
  for (const CodeRow &Row : Rows)
    if (Row.Name == Name)
      return Row.Id;
  return Code::UpstreamError;
}

std::string_view outcomeName(Outcome Known) {
  static constexpr std::array<std::string_view, 4> Names = {"none", "not_run",
                                                            "ran", "unknown"};
  return Names[static_cast<size_t>(Known)];
}

unsigned httpStatus(Code Id) { return rowOf(Id).Status; }

} // namespace goldcrestlink
