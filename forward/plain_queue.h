// Calls that wait at an entry for a plain service, in the order of FairShares:
// by rank, then fairly among organisations. Measures how fast the queue is
// served, so that a call which cannot start in time is refused when it arrives
// or as soon as others have overtaken it.
//
//   PlainQueue Queue;
//   if (Now + Queue.expectedWait(Now, Call) > Call.Until) refuse();
//   else if (auto Id = Queue.push(Now, Call)) refuse(*Id);   // it was full
//   for (const QueuedCall &Next : Queue.inOrder(Now))
//     if (maySend(Next)) Queue.onStarted(Now, Next);
#ifndef GOLDCRESTLINK_FORWARD_PLAIN_QUEUE_H
#define GOLDCRESTLINK_FORWARD_PLAIN_QUEUE_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "scheduling/fair_shares.h"

namespace goldcrestlink::forward {

struct QueuedCall {
  uint64_t Id = 0;
  /// Its cost is 1.
  FairItem Item;
  /// Latest time at which it can be sent.
  Time Until{};
};

/// Not thread-safe. Memory is bounded by MaxCalls and the bound of FairShares.
class PlainQueue {
public:
  static constexpr size_t MaxCalls = 256;

  // Commands.

  void setWeights(const std::unordered_map<uint64_t, double> &Weights) {
    Shares.setWeights(Weights);
  }
  /// Adds a call. Returns the call that has to give way if there are too many,
  /// which may be this one; it is no longer in the queue.
  std::optional<uint64_t> push(Time Now, const QueuedCall &Call);
  /// \p Call is sent; removes it if it was queued.
  void onStarted(Time Now, const QueuedCall &Call);
  /// A call ended \p Length after it was sent.
  void onEnded(Duration Length);
  /// Removes the calls for which \p IsGone(Id) holds.
  template <typename Predicate> void removeIf(const Predicate &IsGone) {
    std::erase_if(Waiting, [&](const QueuedCall &W) { return IsGone(W.Id); });
  }
  /// Removes and returns the calls that cannot be sent in time any more since
  /// others are before them.
  std::vector<QueuedCall> takeLate(Time Now);

  // Queries.

  std::vector<QueuedCall> inOrder(Time Now) const;
  /// Expected time until the call is sent, also if it is not queued yet; zero
  /// while the queue has not been measured.
  Duration expectedWait(Time Now, const QueuedCall &Call) const;
  /// Mean time of a call; zero if none has ended.
  Duration callTime() const { return CallTime; }
  /// Mean time between two sends from the queue; zero if not measured.
  Duration interval() const;
  size_t size() const { return Waiting.size(); }

private:
  std::vector<FairItem> items() const;

  FairShares Shares{FairShares::Options()};
  // In order of arrival.
  std::vector<QueuedCall> Waiting;
  // Of the last send from the queue, if calls have been waiting ever since.
  std::optional<Time> LastStart;
  Duration MeanInterval{};
  int64_t Intervals = 0;
  Duration CallTime{};
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_PLAIN_QUEUE_H
