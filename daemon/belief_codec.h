// Messages by which processes pass on what they know of the deployment, to and
// from the catalogue's types.
//
//   wire::Envelope E = encodeDigest(Catalog.revisions());
//   BeliefUpdate U = decodeBeliefs(E.beliefs());
#ifndef GOLDCRESTLINK_DAEMON_BELIEF_CODEC_H
#define GOLDCRESTLINK_DAEMON_BELIEF_CODEC_H

#include "catalog/catalog.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

/// All are thread-safe.
wire::Envelope encodeDigest(const BeliefRevisions &R);
wire::Envelope encodeBeliefRequest(const BeliefRevisions &Known);
wire::Envelope encodeBeliefs(const BeliefUpdate &U);
BeliefRevisions decodeRevisions(const wire::BeliefRevisions &M);
/// Upstreams whose address cannot be parsed are left out.
BeliefUpdate decodeBeliefs(const wire::Beliefs &M);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_BELIEF_CODEC_H
