// The minimum interval between requests bounds the cost of a burst of digests.
// A large configuration takes a second and more on a slow link, while digests
// keep arriving from all that have it. Requests made meanwhile name every
// version as known, so that the answers have upstreams and releases only.
#include "daemon/catalog_exchange.h"

#include <limits>

namespace goldcrestlink {

namespace {

CatalogRevisions withoutConfig(CatalogRevisions Known) {
  Known.Config = std::numeric_limits<uint64_t>::max();
  return Known;
}

} // namespace

bool CatalogExchange::isConfigOpen(Time Now,
                                   const CatalogRevisions &Own) const {
  return Now < ConfigDue && Own.Config == ConfigBefore;
}

bool CatalogExchange::isDelayed(Time Now, const CatalogRevisions &Theirs,
                                const CatalogRevisions &Own) {
  if (Own.Config == 0 || Own.Config >= Theirs.Config)
    return false;
  if (DelayedAt != Own.Config) {
    DelayedAt = Own.Config;
    DelayEnd = Now + fromSeconds(seconds(MaxOfferDelay) * Rand.unit());
  }
  return Now < DelayEnd;
}

std::optional<wire::Envelope>
CatalogExchange::requestMissing(Time Now, const CatalogRevisions &Theirs,
                                const CatalogRevisions &Own) {
  const CatalogRevisions Known =
      isDelayed(Now, Theirs, Own) || isConfigOpen(Now, Own) ? withoutConfig(Own)
                                                            : Own;
  if (!Known.lacks(Theirs) || Now < NextRequest)
    return std::nullopt;
  NextRequest = Now + MinRequestInterval;
  if (Known.Config < Theirs.Config) {
    ConfigBefore = Own.Config;
    ConfigDue = Now + MaxConfigTime;
  }
  return encodeCatalogRequest(Known);
}

wire::Envelope CatalogExchange::requestRest(const CatalogRevisions &Own) {
  return encodeCatalogRequest(withoutConfig(Own));
}

bool CatalogExchange::onTimer(Time Now, const CatalogRevisions &Own) {
  const auto HasPassed = [&](Time &At, uint64_t Before) {
    if (At == Time() || Now < At)
      return false;
    At = Time();
    return Own.Config == Before;
  };
  const bool IsOverdue = HasPassed(ConfigDue, ConfigBefore);
  const bool IsDelayOver = HasPassed(DelayEnd, DelayedAt);
  return IsOverdue || IsDelayOver;
}

} // namespace goldcrestlink
