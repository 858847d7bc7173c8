// The side process on the platform's store.
#ifndef GOLDCRESTLINK_DAEMON_FLEET_SIDE_H
#define GOLDCRESTLINK_DAEMON_FLEET_SIDE_H

#include "config/settings.h"

namespace goldcrestlink {

/// Runs a side until SIGTERM; the process's exit code. \p File is read again
/// when it changes. Precondition: \p S.onFleet().
int runFleetSide(const Settings &S, const std::string &File);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_FLEET_SIDE_H
