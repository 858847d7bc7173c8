// Tracks what part of recent work each class received, and picks the class to
// serve next: the most urgent class that is below its declared share, else the
// most urgent class with waiting work. Unused share is thereby lent, and is
// taken back as soon as its owner has work again.
//
//   ShareTracker T({0.3, 0.3, 0.1}, std::chrono::seconds(10));
//   size_t Rank = *T.pick(HasWork, Pressed);
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
  /// \p Shares are parts of 1; \p HalfLife is how fast past work is forgotten.
  ShareTracker(std::vector<double> Shares, Duration HalfLife);

  /// The class to serve next. \p Eligible[i] tells whether class i has work
  /// that could start now, \p Pressed[i] whether that work needs its share now;
  /// work that can still wait does not claim it. Precondition: as many entries
  /// as classes.
  std::optional<size_t> pick(const std::vector<bool> &Eligible,
                             const std::vector<bool> &Pressed) const;
  /// Counts \p Work, in any fixed unit, as given to \p Class.
  void charge(Time N, size_t Class, double Work);
  /// The part of recent work that \p Class received; 0 if there was none.
  double received(size_t Class) const;
  size_t classes() const { return Shares.size(); }

private:
  double decay(Time N) const;

  std::vector<double> Shares;
  Duration HalfLife;
  std::vector<double> Work;
  Time Updated{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_SCHEDULING_SHARE_TRACKER_H
