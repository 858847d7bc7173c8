// How a process answers the catalog messages of others: it requests newer state
// that they announce, at a bounded rate, and sends the state that they request.
//
//   if (auto E = Exchange.requestMissing(Now, Theirs, Own)) send(*E);
//   wire::Envelope E = catalogUpdateFor(Message.belief_request(), Catalog);
#ifndef GOLDCRESTLINK_DAEMON_CATALOG_EXCHANGE_H
#define GOLDCRESTLINK_DAEMON_CATALOG_EXCHANGE_H

#include <optional>

#include "daemon/catalog_codec.h"

namespace goldcrestlink {

/// Not thread-safe.
class CatalogExchange {
public:
  /// A request for the state that \p Theirs has and \p Own lacks; nullopt if
  /// there is none or the last request is less than MinRequestInterval ago.
  std::optional<wire::Envelope> requestMissing(Time Now,
                                               const CatalogRevisions &Theirs,
                                               const CatalogRevisions &Own);

  /// Several processes may announce the same state at once; it is requested at
  /// most this often.
  static constexpr Duration MinRequestInterval = std::chrono::milliseconds(120);

private:
  Time NextRequest{};
};

/// The state in \p Known that is newer than the revisions in \p Request.
/// Thread-safe.
inline wire::Envelope catalogUpdateFor(Time Now,
                                       const wire::BeliefRevisions &Request,
                                       const Catalog &Known) {
  return encodeCatalogUpdate(Known.since(Now, decodeRevisions(Request)));
}

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CATALOG_EXCHANGE_H
