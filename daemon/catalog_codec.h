// Encodes and decodes the messages by which processes exchange catalog state: a
// digest of revisions, a request for newer state, and an update with that
// state.
//
//   wire::Envelope E = encodeDigest(Catalog.revisions(), Digest);
//   auto Update = decodeCatalogUpdate(E.beliefs());
#ifndef GOLDCRESTLINK_DAEMON_CATALOG_CODEC_H
#define GOLDCRESTLINK_DAEMON_CATALOG_CODEC_H

#include "catalog/catalog.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

// All functions are thread-safe.

/// Announces the revisions of the sender's catalog, and the digest of its
/// quarantine verdicts.
wire::Envelope encodeDigest(const CatalogRevisions &Revisions,
                            uint64_t Verdicts);
/// Requests the state that is newer than \p Known.
wire::Envelope encodeCatalogRequest(const CatalogRevisions &Known);
wire::Envelope encodeCatalogUpdate(const CatalogUpdate &Update);
CatalogRevisions decodeRevisions(const wire::BeliefRevisions &Message);
/// The age of an announcement on the wire, in microseconds, at most
/// WeightRelease::LongAgo.
uint64_t toWireAge(Duration Age);
Duration fromWireAge(uint64_t Microseconds);
/// Omits upstreams whose address cannot be parsed.
CatalogUpdate decodeCatalogUpdate(const wire::Beliefs &Message);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CATALOG_CODEC_H
