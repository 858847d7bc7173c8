// What a SideMachine asks its shell to do. The machine itself does no I/O.
#ifndef GOLDCRESTLINK_SIDE_ACTIONS_H
#define GOLDCRESTLINK_SIDE_ACTIONS_H

#include <string>
#include <variant>
#include <vector>

#include "base/line_class.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink::side {

/// Send to the peer (an entry or another side) that is known by its identity.
struct Reply {
  std::string Peer;
  wire::Envelope Message;
};

/// Send to the side beside the named upstream, possibly to this one itself.
struct TellSide {
  std::string Upstream;
  wire::Envelope Message;
};

/// Call the upstream. Reported by onRunHead, onRunData, onRunDone, onRunError.
struct StartRun {
  std::string AttemptId;
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// The call may not be repeated: use a connection of its own.
  bool OwnConnection = false;
  std::string IdempotencyKey;
  /// 0: the upstream takes no fencing number.
  uint64_t FencingNumber = 0;
  /// What the fencing number is for: the shard of the key.
  uint32_t FencingScope = 0;
};

/// Give up a call and close its connection. Nothing more is reported of it.
struct CancelRun {
  std::string AttemptId;
};

/// Order the engine to load an adapter into a slot. Reported by onLoadDone.
struct LoadAdapter {
  size_t Slot = 0;
  std::string Key;
};

/// Ask the upstream, on a fresh connection, how it is. Reported by
/// onUpstreamCheck.
struct CheckUpstream {};

/// One line for the decision log.
struct LogDecision {
  LineClass Class;
  std::string Line;
};

using Action = std::variant<Reply, TellSide, StartRun, CancelRun, LoadAdapter,
                            CheckUpstream, LogDecision>;
using Actions = std::vector<Action>;

} // namespace goldcrestlink::side

#endif // GOLDCRESTLINK_SIDE_ACTIONS_H
