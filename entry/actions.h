// Input and output types of an entry's state machine: callers' requests, and
// the actions that its I/O layer performs.
//
//   for (Action &A : Out)
//     std::visit(Perform, A);
#ifndef GOLDCRESTLINK_ENTRY_ACTIONS_H
#define GOLDCRESTLINK_ENTRY_ACTIONS_H

#include <string>
#include <variant>
#include <vector>

#include "base/log_class.h"
#include "base/refusal.h"
#include "base/time.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink::entry {

/// A caller's request, parsed but not yet checked against the declarations.
struct CallerRequest {
  std::string Id;
  std::string Application;
  /// Empty for the default of the application or route.
  std::string Rank;
  /// Adapter and version; empty for calls to plain services.
  std::string Adapter;
  std::string Version;
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Body;
  bool Stream = false;
  uint32_t MaxTokens = 0;
  /// The caller's time limit; zero for the deadline of the rank.
  Duration TimeLimit{};
  /// The caller's idempotency key. If it is empty, the entry generates a key
  /// for requests that are not idempotent.
  std::string Key;
  /// Issue time of the key in milliseconds since the Unix epoch.
  int64_t KeyIssuedMs = 0;
};

/// Send a message to the side beside \c Upstream. If an attempt could not be
/// passed to a connection, the I/O layer calls onSendFailed with the attempt
/// id.
struct SendToSide {
  std::string Upstream;
  wire::Envelope Message;
};

/// Close the connection to a side and open another.
struct ResetConnection {
  std::string Upstream;
};

/// Start a streamed answer to a caller.
struct DeliverHead {
  std::string RequestId;
  unsigned Status = 200;
  std::string ContentType;
};

/// Send a part of a streamed answer to a caller.
struct DeliverData {
  std::string RequestId;
  std::string Bytes;
};

/// End a streamed answer; it is complete.
struct DeliverEnd {
  std::string RequestId;
};

/// Send a complete answer that is not streamed.
struct DeliverFullAnswer {
  std::string RequestId;
  unsigned Status = 200;
  std::string ContentType;
  std::string Body;
};

/// Report a refusal or failure to a caller. If the streamed answer has already
/// begun (InStream), the error is sent as an event and the stream ends without
/// its end marker.
struct DeliverError {
  std::string RequestId;
  Code Why = Code::None;
  Outcome Known = Outcome::Unknown;
  Duration RetryAfter{};
  bool InStream = false;
};

/// Write one line to the decision log.
struct LogDecision {
  LogClass Class;
  std::string Line;
};

/// Result of a request that ended, for the metrics.
struct RequestRecord {
  std::string Rank;
  std::string Application;
  Code Why = Code::None;
  Outcome Known = Outcome::Ran;
  Duration Total{};
  Duration FirstByte{};
  /// Between two parts of a streamed answer; zero if it had fewer.
  Duration LongestPause{};
  /// Of the rank; zero if none is declared.
  Duration MaxPause{};
  bool WithinTarget = false;
  uint32_t Attempts = 0;
};

using Action = std::variant<SendToSide, ResetConnection, DeliverHead,
                            DeliverData, DeliverEnd, DeliverFullAnswer,
                            DeliverError, LogDecision, RequestRecord>;
using Actions = std::vector<Action>;

} // namespace goldcrestlink::entry

#endif // GOLDCRESTLINK_ENTRY_ACTIONS_H
