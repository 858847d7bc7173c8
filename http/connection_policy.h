// Decides which connections a server gives up: those whose time has run out,
// and the one that makes room for others. A connection on which bytes of its
// client wait in the kernel is kept, since they may be a whole request: they
// stay there unread as long as the process gets no processor time.
//
//   switch (stepAtDeadline(Now, Deadline, Stage, HasArrived)) { ... }
//   if (auto I = chooseYielding(Now, MinQuiet, Connections, IsSilent))
//     giveUp(*I);
#ifndef GOLDCRESTLINK_HTTP_CONNECTION_POLICY_H
#define GOLDCRESTLINK_HTTP_CONNECTION_POLICY_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

#include "base/time.h"
#include "http/close_log.h"

namespace goldcrestlink::http {

/// What to do with a connection that waits for its client.
enum class DeadlineStep : uint8_t {
  /// Its time has not run out, or bytes have arrived.
  Wait,
  /// Nothing of a request has arrived, or it was refused already.
  Close,
  /// A part of a request has arrived: its client is told that it has not run.
  Refuse
};

/// \p HasArrived: bytes of the client wait in the kernel. Thread-safe.
DeadlineStep stepAtDeadline(Time Now, Time Deadline, ConnectionStage Stage,
                            bool HasArrived);

/// A connection that could yield to others.
struct YieldCandidate {
  /// When a byte was last read from the client, or taken by it.
  Time LastProgress{};
};

/// The position of the candidate that yields: the one that has made no progress
/// for longest, and for at least \p MinQuiet, and whose client is silent.
/// \p IsSilent asks the kernel whether the client of a position has sent
/// nothing that was not read, and takes no bytes that could be written; it is
/// called at most MaxSilenceChecks times. nullopt if none of those is silent.
/// Thread-safe.
std::optional<size_t>
chooseYielding(Time Now, Duration MinQuiet,
               std::span<const YieldCandidate> Candidates,
               const std::function<bool(size_t)> &IsSilent);

/// A check is a call to the kernel.
constexpr size_t MaxSilenceChecks = 16;

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_CONNECTION_POLICY_H
