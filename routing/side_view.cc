// The steps are Fine -> Reset -> Unreachable; any message heard leads back to
// Fine. An unreachable side is asked again every unreachablePause, each time
// on a new connection. Constant memory: an engine has few slots.
#include "routing/side_view.h"

#include <algorithm>

namespace goldcrestlink {

void SideView::asked(Time N) {
  if (AskedAt == Time{})
    AskedAt = N;
}

void SideView::heard(Time N) {
  LastHeard = N;
  AskedAt = Time{};
  WasReset = false;
  IsUnreachable = false;
}

void SideView::learn(Time N, const wire::SideState &State) {
  Resident.clear();
  Resident.insert(State.resident().begin(), State.resident().end());
  Running = State.running();
  Waiting = State.waiting();
  Leaving = State.leaving();
  Incarnation = State.incarnation();
  Down = State.upstream_down();
  if (Down)
    DownSince = N;
}

void SideView::setListed(bool IsLeaving, bool IsGone) {
  ListedLeaving = IsLeaving;
  ListedGone = IsGone;
}

SideView::Verdict SideView::judge(Time N, const Options &O,
                                  size_t Outstanding) {
  if (IsUnreachable && N - UnreachableSince >= O.unreachablePause()) {
    UnreachableSince = N;
    AskedAt = N;
    return Verdict::Reset;
  }
  if (AskedAt == Time{}) {
    const bool Quiet = N - LastHeard > O.quietLimit();
    return Outstanding > 0 && Quiet ? Verdict::Ask : Verdict::Fine;
  }
  if (IsUnreachable || N - AskedAt <= O.answerTimeout())
    return Verdict::Fine;
  AskedAt = N;
  if (!WasReset) {
    WasReset = true;
    return Verdict::Reset;
  }
  IsUnreachable = true;
  UnreachableSince = N;
  return Verdict::Unreachable;
}

bool SideView::available(Time N, const Options &O) const {
  if (Leaving || ListedLeaving || IsUnreachable)
    return false;
  // Traffic is a better witness than a lagging list.
  if (ListedGone && N - LastHeard > O.quietLimit())
    return false;
  return !Down || N - DownSince >= O.downPause();
}

} // namespace goldcrestlink
