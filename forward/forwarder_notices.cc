// The part of Forwarder that follows what upstreams say of themselves in their
// answers. A notice that changes which upstreams may be used visits every
// upstream and every call once.
#include "forward/forwarder.h"

namespace goldcrestlink::forward {

void Forwarder::noteNotice(Time Now, const ActiveCall &Call,
                           const UpstreamNotice &Notice) {
  if (Notice.Pause > Duration(0)) {
    Pauses.onPause(Now, Call.Upstream.Id, Notice.Pause);
    Port.log(LogClass::Kept,
             "upstream_paused upstream=" + Call.Upstream.Id +
                 " ms=" + std::to_string(Notice.Pause.count() / 1000));
    onUsableUpstreams(Now);
  } else {
    Pauses.onAnswer(Now, Call.Upstream.Id);
  }
  if (!Notice.Leaving)
    return;
  const std::string &Id =
      Notice.InstanceId.empty() ? Call.Upstream.Id : Notice.InstanceId;
  const auto It = CurrentCatalog->upstreams().find(Id);
  UpstreamIncarnation Left{Id};
  if (It != CurrentCatalog->upstreams().end())
    Left.StartedMs = It->second.StartedMs;
  else if (Id == Call.Upstream.Id)
    Left.StartedMs = Call.Upstream.StartedMs;
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
    if (CurrentCatalog && CurrentCatalog->upstreams().contains(U.Id))
      Leaving.onRecord({U.Id, CurrentCatalog->upstreams().at(U.Id).StartedMs});
    Port.log(LogClass::Kept, "upstream_leaving upstream=" + U.Id +
                                 " started_ms=" + std::to_string(U.StartedMs));
  }
  if (IsNews && CurrentCatalog)
    onUsableUpstreams(Now);
}

std::vector<const UpstreamRecord *>
Forwarder::openCandidatesFor(Time Now, const ActiveCall &Call) const {
  std::vector<const UpstreamRecord *> Out = candidatesFor(Call);
  std::erase_if(
      Out, [&](const UpstreamRecord *U) { return !Pauses.allows(Now, U->Id); });
  return Out;
}

Duration Forwarder::pauseOf(Time Now, const ActiveCall &Call) const {
  Duration Shortest{};
  for (const UpstreamRecord *U : candidatesFor(Call)) {
    const Duration Remaining = Pauses.remaining(Now, U->Id);
    if (Remaining == Duration(0))
      return Duration(0);
    if (Shortest == Duration(0) || Remaining < Shortest)
      Shortest = Remaining;
  }
  return Shortest;
}

} // namespace goldcrestlink::forward
