// Rendezvous (highest random weight) hashing: each key gets its own order of
// the upstreams, which changes little when upstreams come and go.
//
//   auto Order = rendezvousOrder(SlotHash, Upstreams, 4);
#ifndef GOLDCRESTLINK_ROUTING_RENDEZVOUS_H
#define GOLDCRESTLINK_ROUTING_RENDEZVOUS_H

#include <span>
#include <vector>

#include "config/declarations.h"

namespace goldcrestlink {

/// The first \p Count of \p Upstreams in \p Key's order. Thread-safe.
std::vector<const UpstreamDecl *>
rendezvousOrder(uint64_t Key, std::span<const UpstreamDecl *const> Upstreams,
                size_t Count);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ROUTING_RENDEZVOUS_H
