// Copies field by field.
#include "daemon/crash_codec.h"

#include <algorithm>

#include "forward/crash_detector.h"

namespace goldcrestlink {

namespace {

// Missing depths are 0, the least specific.
template <class M>
std::vector<forward::RequestTrait> decodeTraits(const M &Message) {
  std::vector<forward::RequestTrait> Out;
  const int Count =
      std::min(Message.traits_size(),
               static_cast<int>(forward::CrashDetector::MaxTraits));
  for (int I = 0; I < Count; ++I)
    Out.push_back(
        {Message.traits(I),
         static_cast<uint8_t>(
             I < Message.depths_size()
                 ? std::min<uint32_t>(Message.depths(I),
                                      forward::RequestTrait::WholeRequest)
                 : 0)});
  return Out;
}

void encodeTraits(wire::CrashReport &Message,
                  std::span<const forward::RequestTrait> Traits) {
  for (const forward::RequestTrait &T : Traits) {
    Message.add_traits(T.Hash);
    Message.add_depths(T.Depth);
  }
}

} // namespace

wire::Envelope encodeCrashReport(const forward::CrashReport &Report) {
  wire::Envelope Out;
  wire::CrashReport &Message = *Out.mutable_crash_report();
  Message.set_upstream(Report.Upstream);
  Message.set_age_us(static_cast<uint64_t>(Report.Age.count()));
  encodeTraits(Message, Report.Traits);
  return Out;
}

forward::CrashReport decodeCrashReport(const wire::CrashReport &Message) {
  return {Message.upstream(), Duration(static_cast<int64_t>(Message.age_us())),
          decodeTraits(Message)};
}

wire::Envelope encodeOutput(std::span<const forward::TraitOutput> Outputs) {
  wire::Envelope Out;
  wire::TraitOutput &Message = *Out.mutable_trait_output();
  for (const forward::TraitOutput &O : Outputs) {
    Message.add_traits(O.Trait.Hash);
    Message.add_depths(O.Trait.Depth);
    Message.add_ages_us(static_cast<uint64_t>(O.Age.count()));
  }
  return Out;
}

std::vector<forward::TraitOutput>
decodeOutput(const wire::TraitOutput &Message) {
  std::vector<forward::TraitOutput> Out;
  for (const forward::RequestTrait &T : decodeTraits(Message)) {
    const int I = static_cast<int>(Out.size());
    // Output of unknown age clears nothing.
    Out.push_back({T, I < Message.ages_us_size()
                          ? Duration(static_cast<int64_t>(Message.ages_us(I)))
                          : std::chrono::hours(1)});
  }
  return Out;
}

wire::Envelope encodeVerdicts(std::span<const forward::TraitVerdict> Verdicts,
                              uint64_t Digest) {
  wire::Envelope Out;
  wire::TraitVerdicts &Message = *Out.mutable_trait_verdicts();
  Message.set_digest(Digest);
  for (const forward::TraitVerdict &V : Verdicts) {
    wire::TraitVerdicts::Verdict &Item = *Message.add_verdicts();
    Item.set_trait(V.Trait);
    Item.set_version(V.Version);
    Item.set_quarantined(V.Quarantined);
    Item.set_remaining_ms(static_cast<uint64_t>(
        std::max<int64_t>(0, V.Remaining.count() / 1000)));
  }
  return Out;
}

std::vector<forward::TraitVerdict>
decodeVerdicts(const wire::TraitVerdicts &Message) {
  std::vector<forward::TraitVerdict> Out;
  for (const wire::TraitVerdicts::Verdict &Item : Message.verdicts())
    Out.push_back(
        {Item.trait(), Item.version(), Item.quarantined(),
         std::chrono::milliseconds(static_cast<int64_t>(Item.remaining_ms()))});
  return Out;
}

} // namespace goldcrestlink
