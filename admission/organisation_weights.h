// Weights of organisations for fair queueing: in proportion to the rates that
// the configuration allows them, so that an organisation that is usually large
// keeps its usual share while a small one floods.
//
//   Shares.setWeights(organisationWeights(Config.Organisations));
#ifndef GOLDCRESTLINK_ADMISSION_ORGANISATION_WEIGHTS_H
#define GOLDCRESTLINK_ADMISSION_ORGANISATION_WEIGHTS_H

#include <cstdint>
#include <span>
#include <unordered_map>

#include "catalog/types.h"

namespace goldcrestlink {

/// The weights by hash64() of the name. An organisation without a limit has
/// weight 1, which is the mean of those with a limit in the same unit.
/// Thread-safe.
std::unordered_map<uint64_t, double>
organisationWeights(std::span<const OrganisationSpec> Organisations);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_ORGANISATION_WEIGHTS_H
