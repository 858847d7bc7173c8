// Queue of the attempts that wait for one upstream, by rank and application. It
// decides which attempt starts next and which can no longer meet its target.
//
//   auto Opts = RankQueue::Options().setMaxWaiting(512);
//   RankQueue Q(Opts, RankShares, AppShares);
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

/// An attempt may wait up to this fraction of its time to the target, even if
/// it then misses the target.
constexpr double TolerableWaitShare = 0.3;

/// One waiting attempt.
struct WaitingAttempt {
  std::string AttemptId;
  /// Hash of the slot key; 0 for plain services.
  uint64_t Slot = 0;
  /// 0 is the most urgent rank.
  size_t Rank = 0;
  std::string Application;
  Time Arrived;
  /// When the answer should be complete.
  Time Target;
  /// When the attempt ends with an error.
  Time Deadline;
  /// Expected time from the start to the complete answer.
  Duration ServiceTime{};
  /// The attempt must run alone on the upstream.
  bool Isolated = false;
};

/// Not thread-safe.
class RankQueue {
public:
  class Options {
  public:
    size_t maxWaiting() const { return MaxWaiting; }
    Duration shareHalfLife() const { return ShareHalfLife; }
    Options &setMaxWaiting(size_t Count) {
      MaxWaiting = Count;
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

  /// \p RankShares are the shares of the ranks, from the most urgent;
  /// \p AppShares are the shares by application name, 1 if not listed.
  RankQueue(Options O, std::vector<double> RankShares,
            std::unordered_map<std::string, double> AppShares);

  /// Adds an attempt; returns false if the queue is full. Precondition: the
  /// rank is less than ranks(), and no attempt with this id is waiting.
  bool push(WaitingAttempt Item);
  /// Removes an attempt; returns false if it is not waiting.
  bool remove(const std::string &AttemptId);
  /// Removes and returns the attempt to start next among those that \p CanStart
  /// accepts, and counts its service time towards its rank and application.
  std::optional<WaitingAttempt>
  pickNext(Time Now,
           const std::function<bool(const WaitingAttempt &)> &CanStart);
  /// Removes and returns the attempts that are past their target, and those
  /// that would miss it and have used up TolerableWaitShare.
  std::vector<WaitingAttempt> takeTooLate(Time Now);

  /// Waiting attempts of \p Rank, earliest target first.
  const std::list<WaitingAttempt> &waiting(size_t Rank) const;
  size_t size() const { return Index.size(); }
  size_t ranks() const { return Ranks.size(); }
  /// Sum of the expected service times of the attempts that wait at \p Rank or
  /// a more urgent rank.
  Duration workAhead(size_t Rank) const;

private:
  using Items = std::list<WaitingAttempt>;
  struct Position {
    size_t Rank;
    Items::iterator Item;
  };

  /// The attempt of \p Rank to start next; the end of its list if none can
  /// start.
  Items::iterator nextOf(size_t Rank,
                         const std::function<bool(const WaitingAttempt &)> &);
  /// Service that the application received at \p Rank, in seconds divided by
  /// its share.
  double servicePerShare(size_t Rank, const std::string &Application) const;
  /// Removes and returns the attempt.
  WaitingAttempt take(Items::iterator It);
  bool isTooLate(Time Now, const WaitingAttempt &Item) const;

  Options Opts;
  ShareTracker RankTracker;
  std::unordered_map<std::string, double> AppShares;
  std::vector<Items> Ranks;
  std::vector<Duration> RankWork;
  // By rank and application.
  std::vector<std::unordered_map<std::string, double>> ServedSeconds;
  std::unordered_map<std::string, Position> Index;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_SCHEDULING_RANK_QUEUE_H
