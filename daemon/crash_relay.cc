// Many entries may answer one crash report with the same cleared traits, so
// each trait is passed on at most once per interval. Work per message is linear
// in its traits or verdicts.
#include "daemon/crash_relay.h"

namespace goldcrestlink {

namespace {
constexpr Duration OutputInterval = std::chrono::milliseconds(500);
constexpr size_t MaxRelayedOutputs = 4096;
// As long as entries suspect a trait.
const Duration SuspicionTime =
    forward::CrashAttribution::Options().suspicionTime();
} // namespace

bool CrashRelay::handles(const wire::Envelope &Message) {
  return Message.has_crash_report() || Message.has_trait_output() ||
         Message.has_trait_verdicts();
}

std::optional<wire::Envelope>
CrashRelay::onMessage(Time Now, const wire::Envelope &Message) {
  if (Message.has_crash_report()) {
    const forward::CrashReport Report =
        decodeCrashReport(Message.crash_report());
    Reports.push_back({Report, Now - Report.Age});
    if (Reports.size() > MaxReports)
      Reports.pop_front();
    return Message;
  }
  if (Message.has_trait_output()) {
    clearReports(Now, Message.trait_output());
    return relayOutput(Now, Message.trait_output());
  }
  if (!Message.has_trait_verdicts())
    return std::nullopt;
  const uint64_t Before = Verdicts.digest();
  Verdicts.merge(Now, decodeVerdicts(Message.trait_verdicts()));
  if (Verdicts.digest() == Before)
    return std::nullopt;
  return encodeVerdicts(Verdicts.verdicts(Now), Verdicts.digest());
}

std::optional<wire::Envelope>
CrashRelay::relayOutput(Time Now, const wire::TraitOutput &Message) {
  if (RelayedOutputs.size() >= MaxRelayedOutputs)
    RelayedOutputs.clear();
  std::vector<forward::TraitOutput> Fresh;
  for (const forward::TraitOutput &O : decodeOutput(Message)) {
    const auto [It, IsNew] = RelayedOutputs.try_emplace(O.Trait.Hash, Now);
    if (!IsNew && Now - It->second < OutputInterval)
      continue;
    It->second = Now;
    Fresh.push_back(O);
  }
  if (Fresh.empty())
    return std::nullopt;
  return encodeOutput(Fresh);
}

std::optional<wire::Envelope>
CrashRelay::onDigest(Time Now, const wire::BeliefRevisions &Digest) {
  if (Digest.verdicts() == Verdicts.digest())
    return std::nullopt;
  return encodeVerdicts(Verdicts.verdicts(Now), Verdicts.digest());
}

void CrashRelay::clearReports(Time Now, const wire::TraitOutput &Message) {
  for (const forward::TraitOutput &O : decodeOutput(Message)) {
    const Time OutputAt = Now - O.Age;
    for (StoredReport &R : Reports)
      if (R.CrashedAt <= OutputAt)
        std::erase_if(R.Report.Traits, [&](const forward::RequestTrait &T) {
          return T.Hash == O.Trait.Hash;
        });
  }
  std::erase_if(Reports,
                [](const StoredReport &R) { return R.Report.Traits.empty(); });
}

std::vector<wire::Envelope> CrashRelay::state(Time Now) const {
  std::vector<wire::Envelope> Out;
  if (Verdicts.verdictCount() > 0)
    Out.push_back(encodeVerdicts(Verdicts.verdicts(Now), Verdicts.digest()));
  for (const StoredReport &R : Reports) {
    forward::CrashReport Aged = R.Report;
    Aged.Age = Now - R.CrashedAt;
    Out.push_back(encodeCrashReport(Aged));
  }
  return Out;
}

void CrashRelay::onTimer(Time Now) {
  Verdicts.expire(Now);
  std::erase_if(Reports, [&](const StoredReport &R) {
    return Now - R.CrashedAt > SuspicionTime;
  });
}

} // namespace goldcrestlink
