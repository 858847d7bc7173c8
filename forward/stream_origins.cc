// Each attempt has one place in the queue. An attempt that was recorded again
// since moves to the back when it reaches the front, so the mean cost per
// record is constant.
#include "forward/stream_origins.h"

namespace goldcrestlink::forward {

void StreamOrigins::record(Time Now, uint64_t Attempt, StreamOrigin Origin) {
  const auto [It, IsNew] =
      Streams.insert_or_assign(Attempt, Entry{std::move(Origin), Now});
  if (IsNew)
    Order.emplace_back(Now, Attempt);
  while (!Order.empty() && (Streams.size() > Opts.maxStreams() ||
                            Now - Order.front().first > Opts.lifetime())) {
    const auto [QueuedAt, Oldest] = Order.front();
    Order.pop_front();
    const auto Found = Streams.find(Oldest);
    if (Found->second.RecordedAt > QueuedAt)
      Order.emplace_back(Found->second.RecordedAt, Oldest);
    else
      Streams.erase(Found);
  }
}

const StreamOrigin *StreamOrigins::find(Time Now, uint64_t Attempt) const {
  const auto It = Streams.find(Attempt);
  if (It == Streams.end() || Now - It->second.RecordedAt > Opts.lifetime())
    return nullptr;
  return &It->second.Origin;
}

void StreamOrigins::forEach(
    Time Now,
    const std::function<void(uint64_t, const StreamOrigin &)> &Visit) const {
  for (const auto &[Attempt, Known] : Streams)
    if (Now - Known.RecordedAt <= Opts.lifetime())
      Visit(Attempt, Known.Origin);
}

} // namespace goldcrestlink::forward
