// The stable codes of refusals and failures, and what each says about whether
// the request ran. Callers program against these names; they never change.
#ifndef GOLDCRESTLINK_BASE_REFUSAL_H
#define GOLDCRESTLINK_BASE_REFUSAL_H

#include <cstdint>
#include <string_view>

namespace goldcrestlink {

/// What is known about whether a request ran.
enum class Outcome : uint8_t { None, NotRun, Ran, Unknown };

/// Why a request was refused or failed.
enum class Code : uint8_t {
  None,
  BadRequest,
  UnknownAdapter,
  UnknownVersion,
  UnknownRank,
  UnknownApplication,
  UnknownRoute,
  TooLarge,
  KeyExpired,
  KeyFromFuture,
  KeyBeforeOwner,
  KeyMismatch,
  NotOwner,
  LeaseLapsed,
  Overloaded,
  DeadlineUnreachable,
  DeadlineExceeded,
  Quarantined,
  Leaving,
  NoUpstream,
  UpstreamDown,
  UpstreamError,
  UpstreamCrashed,
  Interrupted,
  LoadFailed,
  WrongAdapter,
  Cancelled,
  NeverArrived,
  NotConfigured,
  WrongUpstream,
  StaleFencing,
};

/// The stable name of \p C, as in the JSON body of a refusal. Thread-safe.
std::string_view codeName(Code C);

/// The code named \p Name, or Code::UpstreamError for an unknown name.
/// Thread-safe.
Code codeFromName(std::string_view Name);

/// "not_run", "ran", "unknown" or "none". Thread-safe.
std::string_view outcomeName(Outcome O);

/// The HTTP status with which a caller is told of \p C. Thread-safe.
unsigned httpStatus(Code C);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_REFUSAL_H
