// While a side stays silent, the steps are Ask (unless a reply is awaited
// already), Reset and Unreachable; any message received leads back to Fine. An
// unreachable side is tried again after each unreachableBackoff(), each time on
// a new connection. Memory is bounded by the engine's adapter slots, and all
// operations but the update of the resident adapters take constant time.
#include "routing/side_view.h"

#include <algorithm>

namespace goldcrestlink {

void SideView::onRequestSent(Time Now) {
  if (ReplyAwaitedSince == Time{})
    ReplyAwaitedSince = Now;
}

void SideView::onMessage(Time Now) {
  LastReceived = Now;
  ReplyAwaitedSince = Time{};
  WasReset = false;
  IsUnreachable = false;
}

void SideView::updateState(Time Now, const wire::SideState &State) {
  Resident.clear();
  Resident.insert(State.resident().begin(), State.resident().end());
  Running = State.running();
  Waiting = State.waiting();
  Draining = State.leaving();
  Incarnation = State.incarnation();
  Down = State.upstream_down();
  if (Down)
    DownSince = Now;
}

void SideView::setListed(bool IsDraining, bool IsGone) {
  ListedDraining = IsDraining;
  ListedGone = IsGone;
}

SideView::LivenessStep SideView::checkLiveness(Time Now, const Options &Opts,
                                               size_t Outstanding) {
  if (IsUnreachable && Now - UnreachableSince >= Opts.unreachableBackoff()) {
    UnreachableSince = Now;
    ReplyAwaitedSince = Now;
    return LivenessStep::Reset;
  }
  if (ReplyAwaitedSince == Time{}) {
    const bool Quiet = Now - LastReceived > Opts.quietLimit();
    return Outstanding > 0 && Quiet ? LivenessStep::Ask : LivenessStep::Fine;
  }
  if (IsUnreachable || Now - ReplyAwaitedSince <= Opts.answerTimeout())
    return LivenessStep::Fine;
  ReplyAwaitedSince = Now;
  if (!WasReset) {
    WasReset = true;
    return LivenessStep::Reset;
  }
  IsUnreachable = true;
  UnreachableSince = Now;
  return LivenessStep::Unreachable;
}

bool SideView::available(Time Now, const Options &Opts) const {
  if (Draining || ListedDraining || IsUnreachable)
    return false;
  // The list may lag behind, so a recent message outweighs it.
  if (ListedGone && Now - LastReceived > Opts.quietLimit())
    return false;
  return !Down || Now - DownSince >= Opts.downBackoff();
}

} // namespace goldcrestlink
