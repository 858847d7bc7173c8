// Whether an entry can rely on what it knows of the software that upstreams
// run. An upstream may start again under its id with another version, which
// only its record and the side beside it tell. Records are current if the store
// has answered lately; a process that stood still has only old ones, and
// replies that may be as old.
//
//   Known.onCurrent(AsOf);         // the store has answered
//   Known.onStall(Now);            // this process stood still until now
//   if (Known.isCurrent(Now)) ...  // records can be relied on
//   if (Known.isCertain(Now, Record, Reply, RequestedAt)) ...
#ifndef GOLDCRESTLINK_FORWARD_VERSION_KNOWLEDGE_H
#define GOLDCRESTLINK_FORWARD_VERSION_KNOWLEDGE_H

#include <optional>

#include "admission/side_admission.h"
#include "catalog/types.h"

namespace goldcrestlink::forward {

/// Not thread-safe.
class VersionKnowledge {
public:
  /// Records older than this are not relied on. An upstream takes longer to
  /// start again and be of use.
  static constexpr Duration MaxAge = std::chrono::seconds(3);

  /// The records that the process has include all changes before \p AsOf.
  void onCurrent(Time AsOf) {
    const bool IsOld = (StalledUntil && AsOf < *StalledUntil) ||
                       (CurrentAsOf && AsOf < *CurrentAsOf);
    if (!IsOld)
      CurrentAsOf = AsOf;
  }
  /// The process stood still until \p Now.
  void onStall(Time Now) {
    StalledUntil = Now;
    CurrentAsOf.reset();
  }

  /// Whether the software version of a record can be relied on without asking
  /// the side beside the upstream.
  bool isCurrent(Time Now) const {
    return CurrentAsOf && Now - *CurrentAsOf <= MaxAge;
  }
  /// Whether the reply to a request of the time \p RequestedAt may be as old as
  /// that, because the process stood still since.
  bool mayBeStale(Time RequestedAt) const {
    return StalledUntil && RequestedAt < *StalledUntil;
  }
  /// Whether \p Record is of the incarnation whose side has sent \p Reply to
  /// a request of the time \p RequestedAt.
  bool isCertain(Time Now, const UpstreamRecord &Record,
                 const AdmissionReply &Reply, Time RequestedAt) const {
    if (mayBeStale(RequestedAt))
      return false;
    if (Record.StartedMs == 0 || Reply.EngineStartedMs == 0)
      return isCurrent(Now);
    return Record.StartedMs == Reply.EngineStartedMs;
  }

private:
  std::optional<Time> CurrentAsOf;
  std::optional<Time> StalledUntil;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_VERSION_KNOWLEDGE_H
