// Encodes and decodes the messages by which entries and sides exchange the
// origins of streams.
//
//   wire::Envelope E = encodeOrigin(Attempt, Origin);
//   StreamOrigin Origin = decodeOrigin(E.stream_origin());
#ifndef GOLDCRESTLINK_DAEMON_ORIGIN_CODEC_H
#define GOLDCRESTLINK_DAEMON_ORIGIN_CODEC_H

#include "forward/forward_port.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

// All functions are thread-safe.

wire::Envelope encodeOrigin(uint64_t Attempt,
                            const forward::StreamOrigin &Origin);
forward::StreamOrigin decodeOrigin(const wire::StreamOrigin &Message);
wire::Envelope encodeOriginQuery(const forward::OriginQuery &Query);
forward::OriginQuery decodeOriginQuery(const wire::StreamOriginQuery &Message);
/// The answer to \p Query; \p Origin is null if it is not known.
wire::Envelope encodeOriginReply(const wire::StreamOriginQuery &Query,
                                 const forward::StreamOrigin *Origin);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_ORIGIN_CODEC_H
