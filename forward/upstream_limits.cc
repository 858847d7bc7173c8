// Every entry gets the same share, so entries need not know each other's load.
// Constant work per answer and request.
#include "forward/upstream_limits.h"

#include <algorithm>

namespace goldcrestlink::forward {

namespace {
// A lower limit is taken for this one: without any answer, an entry would never
// learn that the limit has been lifted.
constexpr double MinPerSecond = 0.5;
} // namespace

double UpstreamLimits::shareOf(double PerSecond) const {
  return PerSecond / static_cast<double>(Entries);
}

std::optional<double> UpstreamLimits::onAnswer(Time Now, const std::string &Id,
                                               const AnswerHead &Head) {
  if (Head.RequestLimit) {
    Limit &L = Limits[Id];
    L.PerSecond = std::max(MinPerSecond, *Head.RequestLimit);
    L.Share.setRate(Now, shareOf(L.PerSecond));
    return L.PerSecond;
  }
  // An answer without signature may come from a queue or another process.
  if (!Head.Signed || Limits.erase(Id) == 0)
    return std::nullopt;
  return 0;
}

void UpstreamLimits::onTold(Time Now, const std::string &Id, double PerSecond) {
  if (Limits.contains(Id))
    return;
  Limit &L = Limits[Id];
  L.PerSecond = std::max(MinPerSecond, PerSecond);
  L.Share.setRate(Now, shareOf(L.PerSecond));
}

void UpstreamLimits::onSent(Time Now, const std::string &Id) {
  if (const auto It = Limits.find(Id); It != Limits.end())
    It->second.Share.take(Now);
}

void UpstreamLimits::setEntries(Time Now, size_t Count) {
  Entries = std::max<size_t>(1, Count);
  for (auto &[Id, L] : Limits)
    L.Share.setRate(Now, shareOf(L.PerSecond));
}

void UpstreamLimits::retain(
    const std::map<std::string, UpstreamRecord> &Known) {
  std::erase_if(Limits,
                [&](const auto &Item) { return !Known.contains(Item.first); });
}

bool UpstreamLimits::allows(Time Now, const std::string &Id) const {
  const auto It = Limits.find(Id);
  return It == Limits.end() || It->second.Share.allows(Now);
}

double UpstreamLimits::perSecond(const std::string &Id) const {
  const auto It = Limits.find(Id);
  return It == Limits.end() ? 0 : It->second.PerSecond;
}

Duration UpstreamLimits::interval(const std::string &Id) const {
  const double PerSecond = perSecond(Id);
  return PerSecond > 0 ? fromSeconds(1 / PerSecond) : Duration(0);
}

double UpstreamLimits::share(const std::string &Id) const {
  const auto It = Limits.find(Id);
  return It == Limits.end() ? 0 : It->second.Share.rate();
}

} // namespace goldcrestlink::forward
