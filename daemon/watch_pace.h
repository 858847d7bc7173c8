// How often an entry asks the store for changes. Entries pass what they learn
// to each other, so each asks less often the more of them there are, and the
// calls of all together hardly grow with their number. An entry that hears
// nothing from the others still learns of a draining upstream in time by
// itself.
//
//   const WatchPace Pace = watchPace(Entries, DrainTime);
//   Store.setBatchDelay(kinds::Upstreams, Pace.UpstreamPause);
#ifndef GOLDCRESTLINK_DAEMON_WATCH_PACE_H
#define GOLDCRESTLINK_DAEMON_WATCH_PACE_H

#include <algorithm>

#include "base/time.h"

namespace goldcrestlink {

struct WatchPace {
  /// Between the end of a watch of upstreams and the next, so that one call
  /// reports several changes: each upstream writes its record about once a
  /// second, mostly to change values that are not used here.
  Duration UpstreamPause{};
  /// How long a watch of upstreams waits for a change. A store that drops its
  /// history does not answer open watches.
  Duration UpstreamRenewal{};
  /// The same for watches of the configuration and of releases.
  Duration ConfigRenewal{};
  Duration ReleaseRenewal{};
};

/// The pace of one of \p Entries entries. \p DrainTime: how long after its
/// report a draining upstream may still get requests. Thread-safe.
inline WatchPace watchPace(size_t Entries, Duration DrainTime) {
  // The pause of as many entries that share it.
  constexpr Duration SharedPause = std::chrono::milliseconds(600);
  constexpr int64_t SharingEntries = 4;
  // Mean time between renewals over all entries: configurations must be in
  // force within two seconds and releases within five.
  constexpr Duration ConfigInterval = std::chrono::milliseconds(450);
  constexpr Duration ReleaseInterval = std::chrono::milliseconds(1000);
  constexpr Duration MinRenewal = std::chrono::milliseconds(100);
  // Longer watches save few calls, since upstreams change all the time.
  constexpr Duration MaxUpstreamRenewal = std::chrono::seconds(2);
  const auto Count = static_cast<int64_t>(std::max<size_t>(1, Entries));
  WatchPace Out;
  // Half of the drain time is left for a slow answer and for the messages.
  Out.UpstreamPause =
      std::max(SharedPause,
               std::min(SharedPause * Count / SharingEntries, DrainTime / 2));
  // Watches wait up to a fifth longer; the rest is for the answer.
  Out.UpstreamRenewal = std::clamp((DrainTime - Out.UpstreamPause) * 2 / 3,
                                   MinRenewal, MaxUpstreamRenewal);
  Out.ConfigRenewal = ConfigInterval * Count;
  Out.ReleaseRenewal = ReleaseInterval * Count;
  return Out;
}

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_WATCH_PACE_H
