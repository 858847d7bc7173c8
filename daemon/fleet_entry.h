// The entry process on the platform's store.
#ifndef GOLDCRESTLINK_DAEMON_FLEET_ENTRY_H
#define GOLDCRESTLINK_DAEMON_FLEET_ENTRY_H

#include "config/settings.h"

namespace goldcrestlink {

/// Runs an entry until SIGTERM; the process's exit code. \p File is read again
/// when it changes. Precondition: \p S.onFleet().
int runFleetEntry(const Settings &S, const std::string &File);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_FLEET_ENTRY_H
