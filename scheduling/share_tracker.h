// Tracks the fraction of recent work that each class received, and picks the
// class to serve next: the most urgent class that is below its declared share
// and needs it now, otherwise the most urgent class with work. A class may thus
// use the unused share of others until they have work again.
//
//   ShareTracker T({0.3, 0.3, 0.1}, std::chrono::seconds(10));
//   size_t Rank = *T.pick(HasWork, Escalated);
//   T.charge(Now, Rank, Work);
#ifndef GOLDCRESTLINK_SCHEDULING_SHARE_TRACKER_H
#define GOLDCRESTLINK_SCHEDULING_SHARE_TRACKER_H

#include <optional>
#include <span>
#include <vector>

#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe. Classes are numbered from the most urgent, 0.
class ShareTracker {
public:
  /// \p Shares are fractions of 1. Past work loses half of its weight in each
  /// \p HalfLife, which must be positive.
  ShareTracker(std::vector<double> Shares, Duration HalfLife);

  /// Returns the class to serve next, or nothing if no class is eligible.
  /// \p Eligible[i] states whether class i has work that can start now,
  /// \p Escalated[i] whether this work needs the class's share now; work that
  /// can still wait does not claim it. Precondition: both have one element per
  /// class.
  std::optional<size_t> pick(const std::vector<bool> &Eligible,
                             const std::vector<bool> &Escalated) const;
  /// Counts \p Amount of work, in any fixed unit, as received by \p Class.
  void charge(Time Now, size_t Class, double Amount);
  /// The fraction of recent work that \p Class received; 0 if there was none.
  double receivedShare(size_t Class) const;
  size_t classes() const { return Shares.size(); }

private:
  /// Factor by which the sums have decayed since the last update.
  double decay(Time Now) const;

  std::vector<double> Shares;
  Duration HalfLife;
  // Decayed sum of work by class, as of Updated.
  std::vector<double> Work;
  Time Updated{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_SCHEDULING_SHARE_TRACKER_H
