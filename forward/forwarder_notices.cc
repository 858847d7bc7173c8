// The part of Forwarder that follows what upstreams say of themselves in their
// answers. A notice that changes which upstreams may be used visits every
// upstream and every call once.
#include "forward/forwarder.h"

namespace goldcrestlink::forward {

void Forwarder::noteNotice(Time Now, const ActiveCall &Call,
                           const UpstreamNotice &Notice) {
  if (!Notice.Leaving)
    return;
  const std::string &Id =
      Notice.InstanceId.empty() ? Call.Upstream.Id : Notice.InstanceId;
  const auto It = CurrentCatalog->upstreams().find(Id);
  const UpstreamIncarnation Left{Id, It == CurrentCatalog->upstreams().end()
                                         ? Call.Upstream.StartedMs
                                         : It->second.StartedMs};
  if (Leaving.contains(Left))
    return;
  Port.shareLeaving(Left);
  onLeaving(Now, std::span(&Left, 1));
}

void Forwarder::onLeaving(Time Now,
                          std::span<const UpstreamIncarnation> Upstreams) {
  bool IsNews = false;
  for (const UpstreamIncarnation &U : Upstreams) {
    if (!Leaving.add(Now, U))
      continue;
    IsNews = true;
    Port.log(LogClass::Kept, "upstream_leaving upstream=" + U.Id +
                                 " started_ms=" + std::to_string(U.StartedMs));
  }
  if (IsNews && CurrentCatalog)
    onUsableUpstreams(Now);
}

} // namespace goldcrestlink::forward
