// Copies field by field.
#include "daemon/catalog_codec.h"

#include <algorithm>
#include <stdexcept>

namespace goldcrestlink {

namespace {

// Longer times in messages are invalid.
constexpr uint64_t MaxDeferredMs = 60000;

void fillRevisions(wire::BeliefRevisions &Message, const CatalogRevisions &R) {
  Message.set_config_version(R.Config);
  Message.set_upstreams(R.Upstreams.Number);
  Message.set_upstreams_era(R.Upstreams.Era);
  Message.set_releases(R.Releases.Number);
  Message.set_releases_era(R.Releases.Era);
}

void fillRecord(wire::Beliefs::Upstream &Message,
                const std::optional<UpstreamRecord> &Record) {
  Message.set_gone(!Record);
  if (!Record)
    return;
  Message.set_service(Record->Service);
  Message.set_address(Record->Address.text());
  Message.set_data_centre(Record->DataCentre);
  Message.set_slots(Record->Slots);
  Message.set_draining(Record->Draining);
  Message.set_software_version(Record->SoftwareVersion);
  Message.set_started_ms(Record->StartedMs);
}

void fillUpstream(wire::Beliefs::Upstream &Message,
                  const UpstreamChange &Change) {
  Message.set_id(Change.Id);
  Message.set_revision(Change.Revision.Number);
  Message.set_era(Change.Revision.Era);
  fillRecord(Message, Change.Record);
  if (!Change.Deferred)
    return;
  fillRecord(*Message.mutable_deferred(), Change.Deferred->Record);
  Message.set_deferred_ms(
      static_cast<uint64_t>(Change.Deferred->Remaining.count() / 1000));
}

std::optional<UpstreamRecord>
decodeRecord(const std::string &Id, const wire::Beliefs::Upstream &Message) {
  if (Message.gone())
    return std::nullopt;
  UpstreamRecord R;
  R.Id = Id;
  R.Service = Message.service();
  R.Address = http::Endpoint::parse(Message.address());
  if (R.Address.Port == 0)
    throw std::invalid_argument("address without a port");
  R.DataCentre = Message.data_centre();
  R.Slots = Message.slots();
  R.Draining = Message.draining();
  R.SoftwareVersion = Message.software_version();
  R.StartedMs = Message.started_ms();
  return R;
}

UpstreamChange decodeUpstream(const wire::Beliefs::Upstream &Message) {
  UpstreamChange Change{Message.id(),
                        {Message.era(), Message.revision()},
                        decodeRecord(Message.id(), Message)};
  if (Message.has_deferred())
    Change.Deferred = {std::chrono::milliseconds(std::min<uint64_t>(
                           Message.deferred_ms(), MaxDeferredMs)),
                       decodeRecord(Message.id(), Message.deferred())};
  return Change;
}

} // namespace

uint64_t toWireAge(Duration Age) {
  return static_cast<uint64_t>(
      std::clamp(Age, Duration(0), WeightRelease::LongAgo).count());
}

Duration fromWireAge(uint64_t Microseconds) {
  return Duration(static_cast<int64_t>(std::min(
      Microseconds, static_cast<uint64_t>(WeightRelease::LongAgo.count()))));
}

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
    Release.set_revision(R.Revision.Number);
    Release.set_era(R.Revision.Era);
    Release.set_age_us(toWireAge(R.Age));
  }
  Message.set_complete(Update.Complete);
  fillRevisions(*Message.mutable_as_of(), Update.AsOf);
  return Out;
}

CatalogRevisions decodeRevisions(const wire::BeliefRevisions &Message) {
  return {Message.config_version(),
          {Message.upstreams_era(), Message.upstreams()},
          {Message.releases_era(), Message.releases()}};
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
    Update.Releases.push_back({Item.model(),
                               Item.adapter(),
                               Item.version(),
                               {Item.era(), Item.revision()},
                               fromWireAge(Item.age_us())});
  Update.Complete = Message.complete();
  Update.AsOf = decodeRevisions(Message.as_of());
  return Update;
}

} // namespace goldcrestlink
