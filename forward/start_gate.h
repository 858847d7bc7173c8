// Holds back the requests of an entry that has just started until a side has
// told it what the other entries know of crashes and of upstreams that leave,
// or until none has done so in time.
//
//   StartGate Gate;
//   Gate.onCatalog(Now, HasSides);    // configuration and upstreams are known
//   Gate.onSideState();
//   if (!Gate.isOpen(Now)) reject();
#ifndef GOLDCRESTLINK_FORWARD_START_GATE_H
#define GOLDCRESTLINK_FORWARD_START_GATE_H

#include <optional>

#include "base/time.h"

namespace goldcrestlink::forward {

/// Not thread-safe.
class StartGate {
public:
  /// From the first catalog until an entry goes on without a side's state.
  /// Connections to sides take a few milliseconds if these can be reached.
  static constexpr Duration MaxWait = std::chrono::milliseconds(500);

  /// The entry knows a configuration. \p HasSides: there are sides that may
  /// know what it does not.
  void onCatalog(Time Now, bool HasSides) {
    if (!OpensAt)
      OpensAt = HasSides ? Now + MaxWait : Now;
  }
  /// A side has sent what it knows.
  void onSideState() { HasState = true; }
  bool isOpen(Time Now) const {
    return HasState || (OpensAt && Now >= *OpensAt);
  }

private:
  std::optional<Time> OpensAt;
  bool HasState = false;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_START_GATE_H
