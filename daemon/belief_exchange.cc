// A pause between requests bounds what a burst of digests costs.
#include "daemon/belief_exchange.h"

namespace goldcrestlink {

std::optional<wire::Envelope>
BeliefExchange::askFor(Time N, const BeliefRevisions &Theirs,
                       const BeliefRevisions &Own) {
  if (!Own.lacks(Theirs) || N < NextRequest)
    return std::nullopt;
  NextRequest = N + RequestPause;
  return encodeBeliefRequest(Own);
}

} // namespace goldcrestlink
