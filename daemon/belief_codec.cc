// Field by field.
#include "daemon/belief_codec.h"

#include <stdexcept>

namespace goldcrestlink {

namespace {

void fill(wire::BeliefRevisions &M, const BeliefRevisions &R) {
  M.set_config_version(R.Config);
  M.set_upstreams(R.Upstreams);
  M.set_releases(R.Releases);
}

void fillUpstream(wire::Beliefs::Upstream &M, const UpstreamChange &C) {
  M.set_id(C.Id);
  M.set_revision(C.Revision);
  M.set_gone(!C.Record);
  if (!C.Record)
    return;
  M.set_service(C.Record->Service);
  M.set_address(C.Record->Address.text());
  M.set_data_centre(C.Record->DataCentre);
  M.set_slots(C.Record->Slots);
  M.set_draining(C.Record->Draining);
}

UpstreamChange decodeUpstream(const wire::Beliefs::Upstream &M) {
  UpstreamChange C{M.id(), M.revision(), std::nullopt};
  if (M.gone())
    return C;
  UpstreamRecord R;
  R.Id = M.id();
  R.Service = M.service();
  R.Address = http::Endpoint::parse(M.address());
  R.DataCentre = M.data_centre();
  R.Slots = M.slots();
  R.Draining = M.draining();
  C.Record = std::move(R);
  return C;
}

} // namespace

wire::Envelope encodeDigest(const BeliefRevisions &R) {
  wire::Envelope E;
  fill(*E.mutable_digest(), R);
  return E;
}

wire::Envelope encodeBeliefRequest(const BeliefRevisions &Known) {
  wire::Envelope E;
  fill(*E.mutable_belief_request(), Known);
  return E;
}

wire::Envelope encodeBeliefs(const BeliefUpdate &U) {
  wire::Envelope E;
  wire::Beliefs &M = *E.mutable_beliefs();
  M.set_config(U.ConfigText);
  for (const UpstreamChange &C : U.Upstreams)
    fillUpstream(*M.add_upstreams(), C);
  for (const WeightRelease &R : U.Releases) {
    wire::Beliefs::Release &Out = *M.add_releases();
    Out.set_model(R.Model);
    Out.set_adapter(R.Adapter);
    Out.set_version(R.Version);
    Out.set_revision(R.Revision);
  }
  fill(*M.mutable_as_of(), U.AsOf);
  return E;
}

BeliefRevisions decodeRevisions(const wire::BeliefRevisions &M) {
  return {M.config_version(), M.upstreams(), M.releases()};
}

BeliefUpdate decodeBeliefs(const wire::Beliefs &M) {
  BeliefUpdate U;
  U.ConfigText = M.config();
  for (const wire::Beliefs::Upstream &Item : M.upstreams()) {
    try {
      U.Upstreams.push_back(decodeUpstream(Item));
    } catch (const std::invalid_argument &) {
      continue; // A record without a usable address names no upstream.
    }
  }
  for (const wire::Beliefs::Release &Item : M.releases())
    U.Releases.push_back(
        {Item.model(), Item.adapter(), Item.version(), Item.revision()});
  U.AsOf = decodeRevisions(M.as_of());
  return U;
}

} // namespace goldcrestlink
