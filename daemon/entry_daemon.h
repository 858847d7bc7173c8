// The entry process of a deployment that is declared in the platform's object
// API: traffic threads, and the control thread that maintains their
// configuration, membership, log and metrics.
#ifndef GOLDCRESTLINK_DAEMON_ENTRY_DAEMON_H
#define GOLDCRESTLINK_DAEMON_ENTRY_DAEMON_H

#include "config/settings.h"

namespace goldcrestlink {

/// Serves until SIGTERM or SIGINT, then stops gracefully. Returns the exit
/// code. Throws std::runtime_error if it cannot start.
int runEntry(const Settings &ProcessSettings);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_ENTRY_DAEMON_H
