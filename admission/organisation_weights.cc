// Rates in requests and in tokens are not comparable, so each is related to the
// mean of its own unit. Linear in the organisations.
#include "admission/organisation_weights.h"

#include "base/hash.h"

namespace goldcrestlink {

std::unordered_map<uint64_t, double>
organisationWeights(std::span<const OrganisationSpec> Organisations) {
  std::unordered_map<uint64_t, double> Out;
  for (const QuotaUnit Unit : {QuotaUnit::Requests, QuotaUnit::Tokens}) {
    double Sum = 0;
    double Count = 0;
    for (const OrganisationSpec &O : Organisations)
      if (O.Quota.Unit == Unit && O.Quota.RatePerSecond > 0) {
        Sum += O.Quota.RatePerSecond;
        ++Count;
      }
    for (const OrganisationSpec &O : Organisations)
      if (O.Quota.Unit == Unit && O.Quota.RatePerSecond > 0)
        Out[hash64(O.Name)] = O.Quota.RatePerSecond * Count / Sum;
  }
  return Out;
}

} // namespace goldcrestlink
