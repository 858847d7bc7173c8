// The entry role: traffic shards, and the control thread that keeps their
// configuration, membership, log and metrics.
#ifndef GOLDCRESTLINK_DAEMON_ENTRY_DAEMON_H
#define GOLDCRESTLINK_DAEMON_ENTRY_DAEMON_H

#include "config/settings.h"

namespace goldcrestlink {

/// Serves until SIGTERM or SIGINT, then stops gracefully. Returns the exit
/// code. Throws std::runtime_error if it cannot start.
int runEntry(const Settings &S);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_ENTRY_DAEMON_H
