// Rendezvous (highest random weight) hashing: each key has its own order of the
// upstreams. Adding or removing an upstream doesn't change the relative order
// of the others.
//
//   auto Order = rendezvousOrder(SlotHash, Upstreams, 4);
#ifndef GOLDCRESTLINK_ROUTING_RENDEZVOUS_H
#define GOLDCRESTLINK_ROUTING_RENDEZVOUS_H

#include <span>
#include <vector>

#include "config/declarations.h"

namespace goldcrestlink {

/// Returns the first \p Count of \p Upstreams in the order of \p Key, or all of
/// them if there are fewer. Thread-safe.
std::vector<const UpstreamDecl *>
rendezvousOrder(uint64_t Key, std::span<const UpstreamDecl *const> Upstreams,
                size_t Count);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ROUTING_RENDEZVOUS_H
