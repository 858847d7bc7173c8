// The actions that a side's state machine requests from its I/O layer. The
// state machine itself does no I/O.
//
//   Actions Out;
//   Machine.onTimer(Now, Out);
//   for (Action &A : Out)
//     std::visit(PerformAction, A);
#ifndef GOLDCRESTLINK_SIDE_ACTIONS_H
#define GOLDCRESTLINK_SIDE_ACTIONS_H

#include <string>
#include <variant>
#include <vector>

#include "base/log_class.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink::side {

/// Send to the connected peer, an entry or another side, with this identity.
struct Reply {
  std::string Peer;
  wire::Envelope Message;
};

/// Send to the side beside the named upstream, which may be this side itself.
struct SendToSide {
  std::string Upstream;
  wire::Envelope Message;
};

/// Call the upstream. The result is reported by onRunHead, onRunData, onRunDone
/// and onRunError.
struct StartRun {
  std::string AttemptId;
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// Use a new connection, because the call must not be repeated.
  bool OwnConnection = false;
  std::string IdempotencyKey;
  /// 0 if the upstream does not check fencing numbers.
  uint64_t FencingNumber = 0;
  /// The shard of the key, for which the fencing number is valid.
  uint32_t FencingScope = 0;
};

/// Cancel a call and close its connection. Nothing more is reported about it.
struct CancelRun {
  std::string AttemptId;
};

/// Make the engine load an adapter into a slot. The result is reported by
/// onLoadDone.
struct LoadAdapter {
  size_t Slot = 0;
  /// "adapter@version".
  std::string Key;
};

/// Check the health of the upstream on a new connection. The result is reported
/// by onUpstreamCheck.
struct CheckUpstream {};

/// One line for the decision log.
struct LogDecision {
  LogClass Class;
  std::string Line;
};

using Action = std::variant<Reply, SendToSide, StartRun, CancelRun, LoadAdapter,
                            CheckUpstream, LogDecision>;
using Actions = std::vector<Action>;

} // namespace goldcrestlink::side

#endif // GOLDCRESTLINK_SIDE_ACTIONS_H
