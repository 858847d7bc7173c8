// Copies field by field.
#include "daemon/catalog_codec.h"

#include <stdexcept>

namespace goldcrestlink {

namespace {

void fillRevisions(wire::BeliefRevisions &Message, const CatalogRevisions &R) {
  Message.set_config_version(R.Config);
  Message.set_upstreams(R.Upstreams);
  Message.set_releases(R.Releases);
}

void fillUpstream(wire::Beliefs::Upstream &Message,
                  const UpstreamChange &Change) {
  Message.set_id(Change.Id);
  Message.set_revision(Change.Revision);
  Message.set_gone(!Change.Record);
  if (!Change.Record)
    return;
  Message.set_service(Change.Record->Service);
  Message.set_address(Change.Record->Address.text());
  Message.set_data_centre(Change.Record->DataCentre);
  Message.set_slots(Change.Record->Slots);
  Message.set_draining(Change.Record->Draining);
}

UpstreamChange decodeUpstream(const wire::Beliefs::Upstream &Message) {
  UpstreamChange Change{Message.id(), Message.revision(), std::nullopt};
  if (Message.gone())
    return Change;
  UpstreamRecord R;
  R.Id = Message.id();
  R.Service = Message.service();
  R.Address = http::Endpoint::parse(Message.address());
  R.DataCentre = Message.data_centre();
  R.Slots = Message.slots();
  R.Draining = Message.draining();
  Change.Record = std::move(R);
  return Change;
}

} // namespace

wire::Envelope encodeDigest(const CatalogRevisions &R, uint64_t Verdicts) {
  wire::Envelope Out;
  fillRevisions(*Out.mutable_digest(), R);
  Out.mutable_digest()->set_verdicts(Verdicts);
  return Out;
}

wire::Envelope encodeCatalogRequest(const CatalogRevisions &Known) {
  wire::Envelope Out;
  fillRevisions(*Out.mutable_belief_request(), Known);
  return Out;
}

wire::Envelope encodeCatalogUpdate(const CatalogUpdate &Update) {
  wire::Envelope Out;
  wire::Beliefs &Message = *Out.mutable_beliefs();
  Message.set_config(Update.ConfigText);
  for (const UpstreamChange &Change : Update.Upstreams)
    fillUpstream(*Message.add_upstreams(), Change);
  for (const WeightRelease &R : Update.Releases) {
    wire::Beliefs::Release &Release = *Message.add_releases();
    Release.set_model(R.Model);
    Release.set_adapter(R.Adapter);
    Release.set_version(R.Version);
    Release.set_revision(R.Revision);
  }
  fillRevisions(*Message.mutable_as_of(), Update.AsOf);
  return Out;
}

CatalogRevisions decodeRevisions(const wire::BeliefRevisions &Message) {
  return {Message.config_version(), Message.upstreams(), Message.releases()};
}

CatalogUpdate decodeCatalogUpdate(const wire::Beliefs &Message) {
  CatalogUpdate Update;
  Update.ConfigText = Message.config();
  for (const wire::Beliefs::Upstream &Item : Message.upstreams()) {
    try {
      Update.Upstreams.push_back(decodeUpstream(Item));
    } catch (const std::invalid_argument &) {
      continue; // Calls need an address, so the upstream is left out.
    }
  }
  for (const wire::Beliefs::Release &Item : Message.releases())
    Update.Releases.push_back(
        {Item.model(), Item.adapter(), Item.version(), Item.revision()});
  Update.AsOf = decodeRevisions(Message.as_of());
  return Update;
}

} // namespace goldcrestlink
