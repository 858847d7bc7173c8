// Copies field by field.
#include "daemon/leaving_codec.h"

#include <algorithm>

namespace goldcrestlink {

wire::Envelope
encodeLeaving(std::span<const forward::UpstreamIncarnation> Upstreams) {
  wire::Envelope Out;
  wire::UpstreamLeaving &Message = *Out.mutable_upstream_leaving();
  for (const forward::UpstreamIncarnation &U : Upstreams) {
    Message.add_upstreams(U.Id);
    Message.add_started_ms(U.StartedMs);
  }
  return Out;
}

std::vector<forward::UpstreamIncarnation>
decodeLeaving(const wire::UpstreamLeaving &Message) {
  std::vector<forward::UpstreamIncarnation> Out;
  const int Count =
      std::min({Message.upstreams_size(), Message.started_ms_size(),
                static_cast<int>(forward::LeavingUpstreams::MaxUpstreams)});
  for (int I = 0; I < Count; ++I)
    Out.push_back({Message.upstreams(I), Message.started_ms(I)});
  return Out;
}

} // namespace goldcrestlink
