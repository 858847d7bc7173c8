// The upstreams that have said in an answer that they leave. What an
// incarnation has said once is final: a record that shows it as ready, from the
// store, from another process or from an older copy of the store, does not undo
// it. Entries use it for their choice of upstreams, sides to pass it on.
//
//   if (Leaving.add(Now, {"i-1", StartedMs})) tellOthers();
//   if (Leaving.contains({U.Id, U.StartedMs})) ...
#ifndef GOLDCRESTLINK_FORWARD_LEAVING_UPSTREAMS_H
#define GOLDCRESTLINK_FORWARD_LEAVING_UPSTREAMS_H

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace goldcrestlink::forward {

/// One start of an upstream. An upstream may start again under its id.
struct UpstreamIncarnation {
  std::string Id;
  /// Unix time of the start in milliseconds; 0 if not known. A notice with an
  /// unknown start concerns the first start that a record names.
  uint64_t StartedMs = 0;

  bool operator==(const UpstreamIncarnation &) const = default;
};

/// Not thread-safe. Memory is bounded by MaxUpstreams.
class LeavingUpstreams {
public:
  static constexpr size_t MaxUpstreams = 4096;
  /// From the first notice of an incarnation; the platform's upstreams exit
  /// within seconds.
  static constexpr Duration Lifetime = std::chrono::minutes(10);

  /// Returns true if this was not known. The oldest notices make room.
  bool add(Time Now, const UpstreamIncarnation &Leaving);
  /// A record names the start of this incarnation. Gives it to a notice that
  /// came before the record.
  void onRecord(const UpstreamIncarnation &Known);
  /// Removes expired notices. To be called at least every few seconds.
  void expire(Time Now);

  /// False for an incarnation that started after the one that leaves.
  bool contains(const UpstreamIncarnation &Asked) const;
  std::vector<UpstreamIncarnation> all() const;

private:
  // Start of the latest incarnation that leaves, by id; 0 if not known.
  std::map<std::string, uint64_t> StartedMs;
  // In the order in which the ids were added.
  std::deque<std::pair<Time, std::string>> Order;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_LEAVING_UPSTREAMS_H
