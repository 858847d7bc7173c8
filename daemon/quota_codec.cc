// Copies field by field.
#include "daemon/quota_codec.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
template <typename Keys, typename Values>
std::vector<QuotaAmount> decodeAmounts(const Keys &AllKeys,
                                       const Values &AllValues) {
  std::vector<QuotaAmount> Out;
  const int Count = std::min(AllKeys.size(), AllValues.size());
  Out.reserve(static_cast<size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Out.push_back({AllKeys[I], AllValues[I]});
  return Out;
}
} // namespace

wire::Envelope encodeQuotaReport(const QuotaReport &Report) {
  wire::Envelope Out;
  wire::QuotaUse &Message = *Out.mutable_quota_use();
  Message.set_entry(Report.Entry);
  Message.set_round(Report.Round);
  for (const QuotaAmount &A : Report.Amounts) {
    Message.add_organisations(A.Key);
    Message.add_demand_per_s(A.Amount);
  }
  return Out;
}

QuotaReport decodeQuotaReport(const wire::QuotaUse &Message) {
  return {Message.entry(), Message.round(),
          decodeAmounts(Message.organisations(), Message.demand_per_s())};
}

wire::Envelope encodeQuotaTotals(const QuotaTotals &Totals) {
  wire::Envelope Out;
  wire::QuotaShare &Message = *Out.mutable_quota_share();
  Message.set_round(Totals.Round);
  for (const QuotaAmount &A : Totals.Totals) {
    Message.add_organisations(A.Key);
    Message.add_total_per_s(A.Amount);
  }
  Message.set_entries(Totals.Entries);
  Message.set_silent_entries(Totals.SilentEntries);
  return Out;
}

QuotaTotals decodeQuotaTotals(const wire::QuotaShare &Message) {
  return {Message.round(),
          decodeAmounts(Message.organisations(), Message.total_per_s()),
          Message.entries(), Message.silent_entries()};
}

} // namespace goldcrestlink
