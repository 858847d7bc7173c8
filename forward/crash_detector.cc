// The sends to an upstream break at about the same time, so the traits of those
// that break while the probe is open go into one report. Work per broken send
// is linear in the traits of the report.
#include "forward/crash_detector.h"

#include <algorithm>

#include "base/hash.h"

namespace goldcrestlink::forward {

bool CrashDetector::onBroken(Time Now, const std::string &UpstreamId,
                             std::span<const RequestTrait> Traits) {
  if (Traits.empty())
    return false;
  const auto [It, IsNew] = Probed.try_emplace(UpstreamId, Broken{Now, {}});
  std::vector<RequestTrait> &Lost = It->second.Traits;
  for (const RequestTrait &T : Traits)
    if (Lost.size() < MaxTraits &&
        std::find(Lost.begin(), Lost.end(), T) == Lost.end())
      Lost.push_back(T);
  return IsNew;
}

std::optional<CrashReport>
CrashDetector::onProbe(Time Now, const std::string &UpstreamId, bool Refused) {
  const auto It = Probed.find(UpstreamId);
  if (It == Probed.end())
    return std::nullopt;
  const Broken Lost = std::move(It->second);
  Probed.erase(It);
  if (!Refused)
    return std::nullopt;
  return CrashReport{hash64(UpstreamId), Now - Lost.Since, Lost.Traits};
}

} // namespace goldcrestlink::forward
