// The codes of refusals and failures, and what is known about whether the
// request ran. The names of both are part of the interface to callers and never
// change.
//
//   codeName(Code::Overloaded);     // "overloaded"
//   httpStatus(Code::Overloaded);   // 429
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
  LeaseExpired,
  Overloaded,
  DeadlineUnreachable,
  DeadlineExceeded,
  Quarantined,
  Draining,
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

/// The stable name of \p Id, as in the JSON body of a refusal. Thread-safe.
std::string_view codeName(Code Id);

/// The code named \p Name, or Code::UpstreamError for an unknown name.
/// Thread-safe.
Code codeFromName(std::string_view Name);

/// "not_run", "ran", "unknown" or "none". Thread-safe.
std::string_view outcomeName(Outcome Known);

/// The HTTP status of the answer that reports \p Id to a caller. Thread-safe.
unsigned httpStatus(Code Id);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_REFUSAL_H
