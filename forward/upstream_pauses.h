// The upstreams that have turned a request of this process away and asked it to
// send nothing for some time. After that time a single request tries the
// upstream, so that the end of a pause is no burst.
//
//   Pauses.onPause(Now, Id, RetryAfter);
//   if (Pauses.allows(Now, Id)) { Pauses.onSent(Now, Id); send(); }
//   Pauses.onAnswer(Id);               // an answer that asks for no pause
#ifndef GOLDCRESTLINK_FORWARD_UPSTREAM_PAUSES_H
#define GOLDCRESTLINK_FORWARD_UPSTREAM_PAUSES_H

#include <map>
#include <string>
#include <unordered_map>

#include "catalog/types.h"

namespace goldcrestlink::forward {

/// Not thread-safe. Memory is bounded by the known upstreams.
class UpstreamPauses {
public:
  /// The longest pause; longer ones are taken for this.
  static constexpr Duration MaxPause = std::chrono::seconds(60);
  /// A trial that has not been answered for this long no longer prevents
  /// another one.
  static constexpr Duration TrialTimeout = std::chrono::seconds(1);

  /// The upstream wants nothing for \p Length. A pause in progress is not
  /// shortened.
  void onPause(Time Now, const std::string &Id, Duration Length);
  void onSent(Time Now, const std::string &Id);
  /// The upstream has answered without asking for a pause.
  void onAnswer(Time Now, const std::string &Id);
  /// Removes upstreams that are not in \p Known.
  void retain(const std::map<std::string, UpstreamRecord> &Known);

  /// Whether a request may be sent now.
  bool allows(Time Now, const std::string &Id) const;
  /// Time until the pause ends; zero if there is none.
  Duration remaining(Time Now, const std::string &Id) const;

private:
  struct Pause {
    Time Until;
    // When a request that was sent after the pause no longer prevents others.
    Time TrialUntil{};
  };

  std::unordered_map<std::string, Pause> Pauses;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_UPSTREAM_PAUSES_H
