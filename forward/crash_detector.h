// Recognises crashes of upstreams from broken sends. A broken connection alone
// is no crash. The upstream is probed, several times if need be: it has crashed
// if it refuses a connection, or if another incarnation registers in its place.
//
//   if (D.onBroken(Now, Upstream, Traits)) probe(Upstream);
//   if (auto Report = D.onProbe(Now, Id, Result)) share(*Report);
//   for (const UpstreamRecord &U : D.dueProbes(Now)) probe(U);
#ifndef GOLDCRESTLINK_FORWARD_CRASH_DETECTOR_H
#define GOLDCRESTLINK_FORWARD_CRASH_DETECTOR_H

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "catalog/types.h"
#include "forward/crash_attribution.h"

namespace goldcrestlink::forward {

/// What a connection to an upstream met.
enum class ProbeResult {
  /// Nothing listens at its address.
  Refused,
  Accepted,
  /// No response in time: the probe or its response may be lost.
  Unknown
};

/// A crash that this process has seen itself.
struct ObservedCrash {
  std::string UpstreamId;
  CrashReport Report;
};

/// Not thread-safe. Memory is bounded by MaxUpstreams, and by MaxTraits for
/// each.
class CrashDetector {
public:
  /// Traits in one report. More requests than have so many are not usually
  /// lost in one crash before they have produced output.
  static constexpr size_t MaxTraits = 128;
  /// Upstreams with broken sends whose cause is not known yet.
  static constexpr size_t MaxUpstreams = 1024;

  /// A send to the upstream broke before it produced output. Returns whether
  /// the upstream is to be probed; the result goes to onProbe().
  bool onBroken(Time Now, const UpstreamRecord &Upstream,
                std::span<const RequestTrait> Traits);
  /// Returns the report of the crash, if it was one.
  std::optional<CrashReport> onProbe(Time Now, const std::string &UpstreamId,
                                     ProbeResult Result);
  /// A request that was sent at \p SentAt has had output: the upstream serves,
  /// and need not be probed any longer for sends that broke earlier.
  void onOutput(const std::string &UpstreamId, Time SentAt);
  /// The upstreams that are to be probed once more.
  std::vector<UpstreamRecord> dueProbes(Time Now);
  /// \p Known is the present state of all upstreams. Returns the crashes of
  /// those in whose place another incarnation has registered, unless they had
  /// registered that they leave.
  std::vector<ObservedCrash>
  onUpstreams(Time Now, const std::map<std::string, UpstreamRecord> &Known);

private:
  struct Broken {
    UpstreamRecord Upstream;
    Time Since;
    std::vector<RequestTrait> Traits = {};
    size_t Probes = 0;
    // The upstream serves, though perhaps as another incarnation.
    bool HadOutput = false;
    // Set unless a probe is in progress or none is left.
    std::optional<Time> NextProbe = std::nullopt;
  };
  static CrashReport reportOf(Time Now, const Broken &Lost);

  std::map<std::string, Broken> Suspected;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_CRASH_DETECTOR_H
