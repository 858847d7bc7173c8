// How a process answers what others say of their beliefs: it asks for what it
// lacks, seldom, and gives what it is asked for.
//
//   if (auto E = Exchange.askFor(Now, Theirs, Own)) send(*E);
//   wire::Envelope E = beliefsFor(Message.belief_request(), Catalog);
#ifndef GOLDCRESTLINK_DAEMON_BELIEF_EXCHANGE_H
#define GOLDCRESTLINK_DAEMON_BELIEF_EXCHANGE_H

#include <optional>

#include "daemon/belief_codec.h"

namespace goldcrestlink {

/// Not thread-safe.
class BeliefExchange {
public:
  /// A request for what \p Own lacks of \p Theirs; none if nothing is lacking
  /// or another request was made within the last RequestPause.
  std::optional<wire::Envelope> askFor(Time N, const BeliefRevisions &Theirs,
                                       const BeliefRevisions &Own);

  /// What is lacking may come from several at once; it is asked for at most
  /// this often.
  static constexpr Duration RequestPause = std::chrono::milliseconds(120);

private:
  Time NextRequest{};
};

/// What \p Known has beyond the revisions in a request. Thread-safe.
inline wire::Envelope beliefsFor(const wire::BeliefRevisions &Request,
                                 const Catalog &Known) {
  return encodeBeliefs(Known.since(decodeRevisions(Request)));
}

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_BELIEF_EXCHANGE_H
