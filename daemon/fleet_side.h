// The side process of a deployment that is declared in the platform's store.
#ifndef GOLDCRESTLINK_DAEMON_FLEET_SIDE_H
#define GOLDCRESTLINK_DAEMON_FLEET_SIDE_H

#include "config/settings.h"

namespace goldcrestlink {

/// Serves until SIGTERM or SIGINT, then stops gracefully. Returns the exit
/// code. Throws if it cannot start. The settings file \p File is reloaded when
/// it changes. Precondition: \p ProcessSettings.usesPlatformStore().
int runFleetSide(const Settings &ProcessSettings, const std::string &File);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_FLEET_SIDE_H
