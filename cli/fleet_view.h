// What the platform's store says of a deployment, for operators.
//
//   Catalog C = readFleet({"127.0.0.1", 9000}, std::chrono::seconds(5));
//   std::fputs(fleetText(C).c_str(), stdout);
#ifndef GOLDCRESTLINK_CLI_FLEET_VIEW_H
#define GOLDCRESTLINK_CLI_FLEET_VIEW_H

#include <string>

#include "catalog/catalog.h"

namespace goldcrestlink {

/// Follows the store until its configuration, upstreams and releases are known,
/// for at most \p Longest; throws std::runtime_error if they are not by then.
/// Blocks the calling thread.
Catalog readFleet(const http::Endpoint &Store, Duration Longest);

/// One line per route, service and upstream, then the number of releases.
std::string fleetText(const Catalog &C);
/// The same as a JSON object.
std::string fleetJson(const Catalog &C);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CLI_FLEET_VIEW_H
