// Reads routes and upstreams of a deployment from the platform's store and
// formats them for operators.
//
//   Catalog C = readFleet({"127.0.0.1", 9000}, std::chrono::seconds(5));
//   std::fputs(fleetText(C).c_str(), stdout);
#ifndef GOLDCRESTLINK_CLI_FLEET_VIEW_H
#define GOLDCRESTLINK_CLI_FLEET_VIEW_H

#include <string>

#include "catalog/catalog.h"

namespace goldcrestlink {

/// Watches the store until configuration and upstreams are known. Throws
/// std::runtime_error if that takes longer than \p Timeout. Blocks the calling
/// thread.
Catalog readFleet(const http::Endpoint &Store, Duration Timeout);

/// A line with the revisions and the number of releases, then one line per
/// route and per upstream.
std::string fleetText(const Catalog &C);
/// The same content as a JSON object.
std::string fleetJson(const Catalog &C);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CLI_FLEET_VIEW_H
