// Admission messages between entries and sides, to and from their envelopes.
//
//   wire::Envelope E = encodeAsk(Ask);
//   AdmissionAsk A = decodeAsk(E.admission_ask(), Peer);
#ifndef GOLDCRESTLINK_DAEMON_ADMISSION_CODEC_H
#define GOLDCRESTLINK_DAEMON_ADMISSION_CODEC_H

#include "admission/side_admission.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

/// All are thread-safe.
wire::Envelope encodeAsk(const AdmissionAsk &A);
AdmissionAsk decodeAsk(const wire::AdmissionAsk &M, std::string Peer);
wire::Envelope encodeReply(uint64_t AskId, const AdmissionReply &R);
AdmissionReply decodeReply(const wire::AdmissionReply &M);
wire::Envelope encodeEnd(uint64_t AskId, Duration FirstToken);
/// \p UpstreamId is the engine's incarnation, \p Entries the number of entries
/// that the side has heard of lately.
wire::Envelope encodeLoad(const EngineLoad &L, std::string_view UpstreamId,
                          size_t Entries);
EngineLoad decodeLoad(const wire::EngineLoad &M);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_ADMISSION_CODEC_H
