// A call's wait is the number of calls before it times the mean time between
// two sends from the queue, taken over times in which calls were waiting. Each
// operation costs n log n time for at most MaxCalls calls.
#include "forward/plain_queue.h"

#include <cmath>

namespace goldcrestlink::forward {

namespace {
// Means are taken over about this many.
constexpr int64_t MeanSamples = 16;
// Fewer intervals say nothing: an upstream that ends several calls together has
// the queue sent in bursts.
constexpr int64_t MinIntervals = 8;
} // namespace

std::vector<FairItem> PlainQueue::items() const {
  std::vector<FairItem> Out;
  Out.reserve(Waiting.size() + 1);
  for (const QueuedCall &W : Waiting)
    Out.push_back(W.Item);
  return Out;
}

std::optional<uint64_t> PlainQueue::push(Time Now, const QueuedCall &Call) {
  Waiting.push_back(Call);
  if (Waiting.size() <= MaxCalls)
    return std::nullopt;
  const auto Where =
      Waiting.begin() + static_cast<ptrdiff_t>(Shares.givesWay(Now, items()));
  const uint64_t Id = Where->Id;
  Waiting.erase(Where);
  return Id;
}

void PlainQueue::onStarted(Time Now, const QueuedCall &Call) {
  const bool WasQueued = std::erase_if(Waiting, [&](const QueuedCall &W) {
                           return W.Id == Call.Id;
                         }) > 0;
  Shares.onServed(Now, Call.Item, !Waiting.empty());
  if (WasQueued && LastStart) {
    const Duration Sample = Now - *LastStart;
    ++Intervals;
    MeanInterval += (Sample - MeanInterval) / std::min(Intervals, MeanSamples);
  }
  if (Waiting.empty())
    LastStart.reset();
  else if (WasQueued)
    LastStart = Now;
}

void PlainQueue::onEnded(Duration Length) {
  CallTime = CallTime == Duration(0)
                 ? Length
                 : CallTime + (Length - CallTime) / MeanSamples;
}

Duration PlainQueue::interval() const {
  return Intervals < MinIntervals ? Duration(0) : MeanInterval;
}

std::vector<QueuedCall> PlainQueue::inOrder(Time Now) const {
  std::vector<QueuedCall> Out;
  Out.reserve(Waiting.size());
  for (const size_t I : Shares.order(Now, items()))
    Out.push_back(Waiting[I]);
  return Out;
}

Duration PlainQueue::expectedWait(Time Now, const QueuedCall &Call) const {
  std::vector<FairItem> Items = items();
  size_t Own = 0;
  while (Own < Waiting.size() && Waiting[Own].Id != Call.Id)
    ++Own;
  if (Own == Waiting.size())
    Items.push_back(Call.Item);
  const double OwnDelay = Shares.ownDelayFactor(Now, Items, Call.Item.Flow);
  double Ahead = 0;
  for (const size_t I : Shares.order(Now, Items)) {
    if (I == Own)
      break;
    Ahead += Items[I].Flow == Call.Item.Flow ? OwnDelay : 1;
  }
  return Duration(
      static_cast<int64_t>(Ahead * static_cast<double>(interval().count())));
}

std::vector<QueuedCall> PlainQueue::takeLate(Time Now) {
  std::vector<QueuedCall> Out;
  int64_t Ahead = 0;
  for (const QueuedCall &W : inOrder(Now)) {
    if (Now + interval() * Ahead <= W.Until)
      ++Ahead;
    else
      Out.push_back(W);
  }
  for (const QueuedCall &Late : Out)
    std::erase_if(Waiting,
                  [&](const QueuedCall &W) { return W.Id == Late.Id; });
  if (Waiting.empty())
    LastStart.reset();
  return Out;
}

} // namespace goldcrestlink::forward
