// An event that arrives at a random time waits half of a gap's length on
// average if it falls into the gap, so the mean wait is the sum of the squares
// of the gaps over twice the window. A call is delayed once for each event that
// it needs. A single long gap, as of a process that was stopped, says nothing
// of the time after it and does not count. Constant work per timer run, apart
// from the removal of old gaps; a query visits the gaps of the window.
#include "forward/entry_headroom.h"

#include <algorithm>

namespace goldcrestlink::forward {

namespace {
constexpr Duration Window = std::chrono::seconds(2);
// Shorter gaps count as usual.
constexpr Duration MinGap = std::chrono::milliseconds(50);
// A longer gap counts as this long: the process was stopped rather than busy.
constexpr Duration MaxGap = std::chrono::seconds(1);
// Fewer gaps in the window are no lasting shortage.
constexpr size_t MinGaps = 3;
// Arrival, answer of the side, head and first event.
constexpr int64_t EventsPerCall = 4;
// Mean wait of an event from which calls are refused. A process that its
// machine stops for the rest of each period of 100 ms, as it does with a small
// share of a core that is used up, waits 50 ms at most.
constexpr Duration MinWait = std::chrono::milliseconds(100);
} // namespace

void EntryHeadroom::onTimer(Time Now) {
  if (LastAt != Time{} && Now - LastAt >= MinGap)
    Gaps.push_back({Now, std::min(Now - LastAt, MaxGap)});
  LastAt = Now;
  while (!Gaps.empty() && Now - Gaps.front().EndedAt > Window)
    Gaps.pop_front();
}

Duration EntryHeadroom::ownTime(Time Now) const {
  double Sum = 0;
  size_t Count = 0;
  for (const Gap &G : Gaps) {
    if (Now - G.EndedAt > Window)
      continue;
    ++Count;
    Sum += seconds(G.Length) * seconds(G.Length) / 2;
  }
  const Duration Wait = fromSeconds(Sum / seconds(Window));
  return Count >= MinGaps && Wait >= MinWait ? Wait * EventsPerCall
                                             : Duration(0);
}

} // namespace goldcrestlink::forward
