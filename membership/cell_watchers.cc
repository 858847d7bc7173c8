// The watchers are the first few sides of the cell by rendezvous hashing, so
// that adding or removing a side changes few watchers. The cost is linear in
// the number of declared upstreams.
#include "membership/cell_watchers.h"

#include "base/hash.h"
#include "routing/rendezvous.h"

namespace goldcrestlink {

namespace {
constexpr size_t WatchersPerCell = 3;
} // namespace

std::vector<const UpstreamDecl *> cellWatchers(const Declarations &Config,
                                               std::string_view Cell) {
  std::vector<const UpstreamDecl *> Sides;
  for (const UpstreamDecl &Upstream : Config.upstreams())
    if (Upstream.Cell == Cell)
      Sides.push_back(&Upstream);
  return rendezvousOrder(hash64("watcher"), Sides, WatchersPerCell);
}

} // namespace goldcrestlink
