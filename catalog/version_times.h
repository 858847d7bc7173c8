// The versions of one adapter that were announced lately, and from when each
// counts. Each counts from its own time, whatever is announced after it.
//
//   VersionTimes Required;
//   Required.add(Now, 2, Now + Delay);
//   if (Held < Required.at(Now)) replace();
#ifndef GOLDCRESTLINK_CATALOG_VERSION_TIMES_H
#define GOLDCRESTLINK_CATALOG_VERSION_TIMES_H

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/time.h"

namespace goldcrestlink {

/// Not thread-safe.
class VersionTimes {
public:
  struct Step {
    uint64_t Version = 0;
    /// From this time on, no older version counts.
    Time From{};

    bool operator==(const Step &) const = default;
  };

  /// If there are more, the two oldest are not told apart: the newer one counts
  /// from the time of the older one. Enough for one a second over the five
  /// seconds that the platform allows for the switch to a version.
  static constexpr size_t MaxSteps = 8;
  /// A version that has counted for this long, twice the time that the platform
  /// allows for the switch, makes the times of the older ones irrelevant.
  static constexpr Duration MaxAge = std::chrono::seconds(10);

  /// \p Version counts from \p From on, unless it counts sooner already.
  void add(const Time &Now, uint64_t Version, const Time &From);

  /// The newest version that counts at \p When; 0 if none does.
  uint64_t at(const Time &When) const;
  uint64_t newest() const { return Steps.empty() ? 0 : Steps.back().Version; }
  /// From when \p Version or a newer one counts; nullopt if neither is known.
  std::optional<Time> from(uint64_t Version) const;
  /// Ordered by version and by time.
  std::span<const Step> steps() const { return Steps; }

private:
  std::vector<Step> Steps;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CATALOG_VERSION_TIMES_H
