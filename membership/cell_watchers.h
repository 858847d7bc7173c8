// Selects the sides that watch the platform on behalf of all processes of a
// cell, so that not every process does. Each watcher watches the configuration
// and the list of instances; the first also writes the status of the cell.
//
//   for (const UpstreamDecl *Side : cellWatchers(Config, Cell))
//     IsWatcher |= Side->Name == OwnName;
#ifndef GOLDCRESTLINK_MEMBERSHIP_CELL_WATCHERS_H
#define GOLDCRESTLINK_MEMBERSHIP_CELL_WATCHERS_H

#include <string_view>
#include <vector>

#include "config/declarations.h"

namespace goldcrestlink {

/// The watchers of \p Cell in order of preference. The result depends on the
/// declarations only, so every process computes the same one. The pointers are
/// valid as long as \p Config. Thread-safe.
std::vector<const UpstreamDecl *> cellWatchers(const Declarations &Config,
                                               std::string_view Cell);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_MEMBERSHIP_CELL_WATCHERS_H
