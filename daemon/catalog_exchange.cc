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

std::optional<wire::Envelope>
CatalogExchange::requestMissing(Time Now, const CatalogRevisions &Theirs,
                                const CatalogRevisions &Own) {
  const CatalogRevisions Known =
      isConfigOpen(Now, Own) ? withoutConfig(Own) : Own;
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
  if (ConfigDue == Time() || Now < ConfigDue)
    return false;
  ConfigDue = Time();
  return Own.Config == ConfigBefore;
}

} // namespace goldcrestlink
