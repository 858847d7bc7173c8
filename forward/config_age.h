// How old the configuration may be that an entry acts on. It counts from the
// moment when the store was asked, on a clock that keeps running while the
// machine is suspended; an answer that was delayed does not make it younger.
//
//   ConfigAge Age(ConfigAge::Bounds{...});
//   Age.onConfirmed(AskedAt);             // the configuration was published
//   if (!Age.mayUseKeys(Now)) reject();   // before each send
#ifndef GOLDCRESTLINK_FORWARD_CONFIG_AGE_H
#define GOLDCRESTLINK_FORWARD_CONFIG_AGE_H

#include <algorithm>
#include <optional>

#include "base/boot_clock.h"

namespace goldcrestlink::forward {

/// Not thread-safe.
class ConfigAge {
public:
  /// Subtracted from each bound, for the time between a decision and the start
  /// of the request at an upstream, or the arrival of the answer.
  static constexpr Duration Margin = std::chrono::milliseconds(500);

  struct Bounds {
    /// Whether keys may be used only while the age is below Revoke.
    bool RevokeStrict = false;
    Duration Revoke = std::chrono::seconds(5);
    /// A key may be rejected as unknown only while the age is below this.
    Duration Apply = std::chrono::seconds(2);
  };

  explicit ConfigAge(Bounds B) : Limits(B) {}

  /// The store was asked at \p AskedAt, and the configuration has all that it
  /// answered. An earlier time than before is ignored.
  void onConfirmed(BootTime AskedAt) {
    ConfirmedAt = ConfirmedAt ? std::max(*ConfirmedAt, AskedAt) : AskedAt;
  }

  /// Empty if the configuration was never confirmed.
  std::optional<Duration> age(BootTime Now) const {
    return ConfirmedAt ? std::optional(Now - *ConfirmedAt) : std::nullopt;
  }
  /// Whether requests with a key may be sent.
  bool mayUseKeys(BootTime Now) const {
    return !Limits.RevokeStrict || isYoungerThan(Now, usableAge());
  }
  /// Whether a key that the configuration lacks may be rejected for good.
  bool mayRejectKeys(BootTime Now) const {
    return isYoungerThan(Now, rejectableAge());
  }
  bool isStrict() const { return Limits.RevokeStrict; }
  Duration usableAge() const { return Limits.Revoke - Margin; }
  Duration rejectableAge() const { return Limits.Apply - Margin; }

private:
  bool isYoungerThan(BootTime Now, Duration Bound) const {
    return ConfirmedAt && Now - *ConfirmedAt < Bound;
  }

  Bounds Limits;
  std::optional<BootTime> ConfirmedAt;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_CONFIG_AGE_H
