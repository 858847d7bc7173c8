// Computes one hash per upstream and partially sorts the Count highest.
#include "routing/rendezvous.h"

#include <algorithm>

#include "base/hash.h"

namespace goldcrestlink {

std::vector<const UpstreamDecl *>
rendezvousOrder(uint64_t Key, std::span<const UpstreamDecl *const> Upstreams,
                size_t Count) {
  struct Scored {
    uint64_t Score;
    const UpstreamDecl *Upstream;
  };
  std::vector<Scored> All;
  All.reserve(Upstreams.size());
  for (const UpstreamDecl *U : Upstreams)
    All.push_back({mixHash(Key, U->NameHash), U});
  Count = std::min(Count, All.size());
  std::partial_sort(
      All.begin(), All.begin() + static_cast<long>(Count), All.end(),
      [](const Scored &A, const Scored &B) { return A.Score > B.Score; });
  std::vector<const UpstreamDecl *> Out;
  Out.reserve(Count);
  for (size_t I = 0; I < Count; ++I)
    Out.push_back(All[I].Upstream);
  return Out;
}

} // namespace goldcrestlink
