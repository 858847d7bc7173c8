// The side process of a deployment that is declared in the platform's object
// API: one traffic thread, and the control thread that maintains its
// configuration, leases, membership, log and metrics.
#ifndef GOLDCRESTLINK_DAEMON_SIDE_DAEMON_H
#define GOLDCRESTLINK_DAEMON_SIDE_DAEMON_H

#include "config/settings.h"

namespace goldcrestlink {

/// Serves until SIGTERM or SIGINT, then stops gracefully. Returns the exit
/// code. Throws std::runtime_error if it cannot start.
int runSide(const Settings &ProcessSettings);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_SIDE_DAEMON_H
