// Encodes and decodes the admission messages between entries and sides.
//
//   wire::Envelope E = encodeAdmissionRequest(Request);
//   auto Request = decodeAdmissionRequest(E.admission_ask(), Peer);
#ifndef GOLDCRESTLINK_DAEMON_ADMISSION_CODEC_H
#define GOLDCRESTLINK_DAEMON_ADMISSION_CODEC_H

#include "admission/side_admission.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

// All functions are thread-safe.

/// \p Entry identifies the sending process over all of its connections.
wire::Envelope encodeAdmissionRequest(const AdmissionRequest &Request,
                                      uint64_t Entry);
AdmissionRequest decodeAdmissionRequest(const wire::AdmissionAsk &Message,
                                        std::string Peer);
wire::Envelope encodeReply(uint64_t RequestId, const AdmissionReply &Reply);
AdmissionReply decodeReply(const wire::AdmissionReply &Message);
/// The engine made no event for \p Length of the stream of an admitted request.
wire::Envelope encodePause(uint64_t RequestId, Duration Length);
wire::Envelope encodeEnd(uint64_t RequestId, Duration FirstToken,
                         uint64_t Entry);
/// \p UpstreamId names the engine's incarnation, \p EntryCount is the number of
/// entries from which the side has recently received messages.
wire::Envelope encodeLoad(const EngineLoad &Load, std::string_view UpstreamId,
                          size_t EntryCount);
EngineLoad decodeLoad(const wire::EngineLoad &Message);
/// The limit that an upstream names, in requests per second; 0: none.
wire::Envelope encodeLimit(std::string_view UpstreamId, double PerSecond);
double decodeLimit(const wire::UpstreamLimit &Message);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_ADMISSION_CODEC_H
