// Which sides of a cell talk to the platform for all: they watch the
// configuration and the list of instances, and the first writes the status.
#ifndef GOLDCRESTLINK_MEMBERSHIP_CELL_WATCHERS_H
#define GOLDCRESTLINK_MEMBERSHIP_CELL_WATCHERS_H

#include <string_view>
#include <vector>

#include "config/declarations.h"

namespace goldcrestlink {

/// The watchers of \p Cell, first choice first. Every process computes the
/// same ones from the same declarations. Thread-safe.
std::vector<const UpstreamDecl *> cellWatchers(const Declarations &D,
                                               std::string_view Cell);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_MEMBERSHIP_CELL_WATCHERS_H
