// Copies field by field.
#include "daemon/origin_codec.h"

namespace goldcrestlink {

namespace {
void fillOrigin(wire::StreamOrigin &Message, uint64_t Attempt,
                const forward::StreamOrigin &Origin) {
  Message.set_attempt(Attempt);
  Message.set_service(Origin.Service);
  Message.set_software_version(Origin.SoftwareVersion);
}
} // namespace

wire::Envelope encodeOrigin(uint64_t Attempt,
                            const forward::StreamOrigin &Origin) {
  wire::Envelope Out;
  fillOrigin(*Out.mutable_stream_origin(), Attempt, Origin);
  return Out;
}

forward::StreamOrigin decodeOrigin(const wire::StreamOrigin &Message) {
  return {Message.service(), Message.software_version()};
}

wire::Envelope encodeOriginQuery(const forward::OriginQuery &Query) {
  wire::Envelope Out;
  wire::StreamOriginQuery &Message = *Out.mutable_stream_origin_query();
  Message.set_call(Query.Call);
  Message.set_round(Query.Round);
  Message.set_attempt(Query.Attempt);
  return Out;
}

forward::OriginQuery decodeOriginQuery(const wire::StreamOriginQuery &Message) {
  return {Message.call(), Message.round(), Message.attempt()};
}

wire::Envelope encodeOriginReply(const wire::StreamOriginQuery &Query,
                                 const forward::StreamOrigin *Origin) {
  wire::Envelope Out;
  wire::StreamOriginReply &Message = *Out.mutable_stream_origin_reply();
  *Message.mutable_query() = Query;
  if (Origin)
    fillOrigin(*Message.mutable_origin(), Query.attempt(), *Origin);
  return Out;
}

} // namespace goldcrestlink
