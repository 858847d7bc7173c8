// Versions and times both rise from step to step: a version that counts no
// sooner than a newer one is left out. There are at most MaxSteps.
#include "catalog/version_times.h"

#include <algorithm>

namespace goldcrestlink {

void VersionTimes::add(const Time &Now, uint64_t Version, const Time &From) {
  if (const auto Known = from(Version); Known && *Known <= From)
    return;
  std::erase_if(Steps, [&](const Step &S) {
    return S.Version <= Version && S.From >= From;
  });
  const auto Newer =
      std::find_if(Steps.begin(), Steps.end(),
                   [&](const Step &S) { return S.Version >= Version; });
  if (Newer != Steps.end() && Newer->Version == Version)
    Newer->From = From;
  else
    Steps.insert(Newer, {Version, From});
  while (Steps.size() > 1 && Steps[1].From <= Now - MaxAge)
    Steps.erase(Steps.begin());
  while (Steps.size() > MaxSteps) {
    Steps[1].From = Steps[0].From;
    Steps.erase(Steps.begin());
  }
}

uint64_t VersionTimes::at(const Time &When) const {
  uint64_t Out = 0;
  for (const Step &S : Steps)
    if (S.From <= When)
      Out = S.Version;
  return Out;
}

std::optional<Time> VersionTimes::from(uint64_t Version) const {
  for (const Step &S : Steps)
    if (S.Version >= Version)
      return S.From;
  return std::nullopt;
}

} // namespace goldcrestlink
