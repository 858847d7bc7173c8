// The first few of all sides of the cell in a rendezvous order, so that a
// change of the fleet moves few watchers. Linear in the declared upstreams.
#include "membership/cell_watchers.h"

#include "base/hash.h"
#include "routing/rendezvous.h"

namespace goldcrestlink {

namespace {
constexpr size_t WatchersPerCell = 3;
} // namespace

std::vector<const UpstreamDecl *> cellWatchers(const Declarations &D,
                                               std::string_view Cell) {
  std::vector<const UpstreamDecl *> Sides;
  for (const UpstreamDecl &U : D.upstreams())
    if (U.Cell == Cell)
      Sides.push_back(&U);
  return rendezvousOrder(hash64("watcher"), Sides, WatchersPerCell);
}

} // namespace goldcrestlink
