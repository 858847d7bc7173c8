// What an EntryMachine asks its shell to do, and what callers ask of it.
#ifndef GOLDCRESTLINK_ENTRY_ACTIONS_H
#define GOLDCRESTLINK_ENTRY_ACTIONS_H

#include <string>
#include <variant>
#include <vector>

#include "base/line_class.h"
#include "base/refusal.h"
#include "base/time.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink::entry {

/// A caller's request, parsed but not yet checked against the declarations.
struct CallerRequest {
  std::string Id;
  std::string Application;
  /// Empty: the application's or route's default.
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
  /// The caller's time limit; zero: the rank's default.
  Duration TimeLimit{};
  /// The caller's idempotency key; empty: the entry makes one if needed.
  std::string Key;
  int64_t KeyIssuedMs = 0;
};

/// Send to a side. If it could not be taken, the shell says so by
/// onSendFailed with the attempt id, if the message was an attempt.
struct SendSide {
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

/// A part of a streamed answer.
struct DeliverData {
  std::string RequestId;
  std::string Bytes;
};

/// The streamed answer is whole.
struct DeliverEnd {
  std::string RequestId;
};

/// A whole answer.
struct DeliverWhole {
  std::string RequestId;
  unsigned Status = 200;
  std::string ContentType;
  std::string Body;
};

/// A refusal or failure. In a stream it becomes an explicit error event, and
/// the stream is cut without its end mark.
struct DeliverError {
  std::string RequestId;
  Code Why = Code::None;
  Outcome Known = Outcome::Unknown;
  Duration RetryAfter{};
  bool InStream = false;
};

/// One line for the decision log.
struct LogDecision {
  LineClass Class;
  std::string Line;
};

/// How a request went, for metrics.
struct RequestRecord {
  std::string Rank;
  std::string Application;
  Code Why = Code::None;
  Outcome Known = Outcome::Ran;
  Duration Total{};
  Duration FirstByte{};
  bool WithinTarget = false;
  uint32_t Attempts = 0;
};

using Action = std::variant<SendSide, ResetConnection, DeliverHead, DeliverData,
                            DeliverEnd, DeliverWhole, DeliverError, LogDecision,
                            RequestRecord>;
using Actions = std::vector<Action>;

} // namespace goldcrestlink::entry

#endif // GOLDCRESTLINK_ENTRY_ACTIONS_H
