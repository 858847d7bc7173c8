// The minimum interval between requests bounds the cost of a burst of digests.
#include "daemon/catalog_exchange.h"

namespace goldcrestlink {

std::optional<wire::Envelope>
CatalogExchange::requestMissing(Time Now, const CatalogRevisions &Theirs,
                                const CatalogRevisions &Own) {
  if (!Own.lacks(Theirs) || Now < NextRequest)
    return std::nullopt;
  NextRequest = Now + MinRequestInterval;
  return encodeCatalogRequest(Own);
}

} // namespace goldcrestlink
