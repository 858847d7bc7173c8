// Encodes and decodes the message that names upstreams which leave.
//
//   wire::Envelope E = encodeLeaving(Upstreams);
//   auto Upstreams = decodeLeaving(E.upstream_leaving());
#ifndef GOLDCRESTLINK_DAEMON_LEAVING_CODEC_H
#define GOLDCRESTLINK_DAEMON_LEAVING_CODEC_H

#include <span>
#include <vector>

#include "forward/leaving_upstreams.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

// All functions are thread-safe.

wire::Envelope
encodeLeaving(std::span<const forward::UpstreamIncarnation> Upstreams);
/// Keeps at most LeavingUpstreams::MaxUpstreams of them.
std::vector<forward::UpstreamIncarnation>
decodeLeaving(const wire::UpstreamLeaving &Message);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_LEAVING_CODEC_H
