// Recognises crashes of upstreams from broken sends. A broken connection alone
// is no crash: the upstream is probed, and it has crashed if it accepts no
// connection.
//
//   if (D.onBroken(Now, UpstreamId, Traits)) probe(UpstreamId);
//   if (auto Report = D.onProbe(Now, UpstreamId, Refused)) share(*Report);
#ifndef GOLDCRESTLINK_FORWARD_CRASH_DETECTOR_H
#define GOLDCRESTLINK_FORWARD_CRASH_DETECTOR_H

#include <optional>
#include <span>
#include <string>
#include <unordered_map>

#include "forward/crash_attribution.h"

namespace goldcrestlink::forward {

/// Not thread-safe. Memory is bounded by the upstreams with an open probe and
/// by MaxTraits for each.
class CrashDetector {
public:
  /// Traits in one report. More requests than have so many are not usually
  /// lost in one crash before they have produced output.
  static constexpr size_t MaxTraits = 128;

  /// A send to the upstream broke before it produced output. Returns whether
  /// the upstream is to be probed; the result goes to onProbe().
  bool onBroken(Time Now, const std::string &UpstreamId,
                std::span<const RequestTrait> Traits);
  /// \p Refused: the upstream refused the connection. Returns the report of the
  /// crash, if it was one.
  std::optional<CrashReport> onProbe(Time Now, const std::string &UpstreamId,
                                     bool Refused);

private:
  struct Broken {
    Time Since;
    std::vector<RequestTrait> Traits;
  };
  std::unordered_map<std::string, Broken> Probed;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_CRASH_DETECTOR_H
