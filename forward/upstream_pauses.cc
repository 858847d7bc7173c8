// Constant work per request and answer.
#include "forward/upstream_pauses.h"

#include <algorithm>

namespace goldcrestlink::forward {

void UpstreamPauses::onPause(Time Now, const std::string &Id, Duration Length) {
  const Time Until = Now + std::clamp(Length, Duration(0), MaxPause);
  Pause &P = Pauses.try_emplace(Id, Pause{Until}).first->second;
  P.Until = std::max(P.Until, Until);
  P.TrialUntil = Time{};
}

void UpstreamPauses::onSent(Time Now, const std::string &Id) {
  if (const auto It = Pauses.find(Id); It != Pauses.end())
    It->second.TrialUntil = Now + TrialTimeout;
}

void UpstreamPauses::onAnswer(Time Now, const std::string &Id) {
  // Answers to requests from before the pause do not end it.
  const auto It = Pauses.find(Id);
  if (It != Pauses.end() && Now >= It->second.Until)
    Pauses.erase(It);
}

void UpstreamPauses::retain(
    const std::map<std::string, UpstreamRecord> &Known) {
  std::erase_if(Pauses,
                [&](const auto &Item) { return !Known.contains(Item.first); });
}

bool UpstreamPauses::allows(Time Now, const std::string &Id) const {
  const auto It = Pauses.find(Id);
  return It == Pauses.end() ||
         (Now >= It->second.Until && Now >= It->second.TrialUntil);
}

Duration UpstreamPauses::remaining(Time Now, const std::string &Id) const {
  const auto It = Pauses.find(Id);
  if (It == Pauses.end())
    return Duration(0);
  return std::max(Duration(0), It->second.Until - Now);
}

} // namespace goldcrestlink::forward
