// Waiting attempts of one upstream, by rank and application. The queue decides
// which attempt starts next and which can no longer make its time.
//
//   RankQueue Q(RankQueue::Options().setMaxWaiting(512), Ranks, Apps);
//   Q.push(Item);
//   while (auto Id = Q.pickNext(Now, CanStart)) dispatch(*Id);
#ifndef GOLDCRESTLINK_SCHEDULING_RANK_QUEUE_H
#define GOLDCRESTLINK_SCHEDULING_RANK_QUEUE_H

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "scheduling/share_tracker.h"

namespace goldcrestlink {

/// Waiting is tolerable up to this part of the time to the target, even if the
/// target is then missed.
constexpr double TolerableWaitShare = 0.3;

/// One waiting attempt.
struct WaitingItem {
  std::string AttemptId;
  /// Hash of the slot key; 0 for plain services.
  uint64_t Slot = 0;
  size_t Rank = 0;
  std::string Application;
  Time Arrived;
  /// The answer should be whole by then.
  Time Target;
  /// The attempt ends with an error then.
  Time Deadline;
  /// Expected time from start to whole answer.
  Duration Service{};
  bool Isolated = false;
};

/// Not thread-safe.
class RankQueue {
public:
  class Options {
  public:
    size_t maxWaiting() const { return MaxWaiting; }
    Duration shareHalfLife() const { return ShareHalfLife; }
    Options &setMaxWaiting(size_t N) {
      MaxWaiting = N;
      return *this;
    }
    Options &setShareHalfLife(Duration D) {
      ShareHalfLife = D;
      return *this;
    }

  private:
    size_t MaxWaiting = 1024;
    Duration ShareHalfLife = std::chrono::seconds(10);
  };

  /// \p RankShares from the most urgent; \p AppShares by application.
  RankQueue(Options O, std::vector<double> RankShares,
            std::unordered_map<std::string, double> AppShares);

  /// Adds an item; false if the queue is full. Precondition: Rank is valid and
  /// the attempt id is not waiting.
  bool push(WaitingItem Item);
  /// Removes an attempt; false if it is not waiting.
  bool remove(const std::string &AttemptId);
  /// Takes out the attempt to start next among those that \p CanStart accepts,
  /// and charges its service time to its rank and application.
  std::optional<WaitingItem>
  pickNext(Time N, const std::function<bool(const WaitingItem &)> &CanStart);
  /// Takes out attempts that are past their target, or have waited so long
  /// that they could not be whole by then.
  std::vector<WaitingItem> takeHopeless(Time N);

  /// Items of \p Rank, earliest target first.
  const std::list<WaitingItem> &waiting(size_t Rank) const;
  size_t size() const { return Index.size(); }
  size_t ranks() const { return Ranks.size(); }
  /// Expected service time waiting at \p Rank and more urgent ranks.
  Duration workAhead(size_t Rank) const;

private:
  using Items = std::list<WaitingItem>;
  struct Position {
    size_t Rank;
    Items::iterator Item;
  };

  Items::iterator bestOf(size_t Rank,
                         const std::function<bool(const WaitingItem &)> &);
  double appDebt(size_t Rank, const std::string &Application) const;
  WaitingItem take(Items::iterator It);
  bool hopeless(Time N, const WaitingItem &Item) const;

  Options Limits;
  ShareTracker RankShare;
  std::unordered_map<std::string, double> AppShares;
  std::vector<Items> Ranks;
  std::vector<Duration> RankWork;
  std::vector<std::unordered_map<std::string, double>> AppServed;
  std::unordered_map<std::string, Position> Index;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_SCHEDULING_RANK_QUEUE_H
