// How a process answers the catalog messages of others: it requests newer state
// that they announce, at a bounded rate, and sends the state that they request.
//
//   CatalogExchange Exchange(Seed);
//   if (auto E = Exchange.requestMissing(Now, Theirs, Own)) send(*E);
//   wire::Envelope E = catalogUpdateFor(Message.belief_request(), Catalog);
#ifndef GOLDCRESTLINK_DAEMON_CATALOG_EXCHANGE_H
#define GOLDCRESTLINK_DAEMON_CATALOG_EXCHANGE_H

#include <optional>

#include "base/random.h"
#include "daemon/catalog_codec.h"

namespace goldcrestlink {

/// Not thread-safe.
class CatalogExchange {
public:
  explicit CatalogExchange(uint64_t Seed) : Rand(Seed) {}

  /// A request for the state that \p Theirs has and \p Own lacks; nullopt if
  /// there is none or the last request is less than MinRequestInterval ago. A
  /// configuration is requested from one process at a time: no further request
  /// asks for one until \p Own has another one than at that request, or
  /// MaxConfigTime has passed. A process that has a configuration waits for up
  /// to MaxOfferDelay before it requests the next one.
  std::optional<wire::Envelope> requestMissing(Time Now,
                                               const CatalogRevisions &Theirs,
                                               const CatalogRevisions &Own);

  /// A request for the state that \p Own lacks, except for the configuration.
  /// The answer says which version its sender has.
  static wire::Envelope requestRest(const CatalogRevisions &Own);

  /// Returns true once when a requested configuration is overdue or the delay
  /// before a request has passed: it is requested when others next announce it.
  bool onTimer(Time Now, const CatalogRevisions &Own);

  /// Several processes may announce the same state at once; it is requested at
  /// most this often.
  static constexpr Duration MinRequestInterval = std::chrono::milliseconds(120);
  /// For an answer with a configuration: 1 MB at 10 Mbit/s takes 0.9 s. A lost
  /// one is repaired within the time in which a configuration must be in force,
  /// 2 s.
  static constexpr Duration MaxConfigTime = std::chrono::milliseconds(1500);

  /// One process announces a configuration to all others at once. They request
  /// it spread over this time, in which more processes get it, so that they do
  /// not all ask the first.
  static constexpr Duration MaxOfferDelay = std::chrono::milliseconds(400);

private:
  /// Whether a configuration that is offered is to be requested later.
  bool isDelayed(Time Now, const CatalogRevisions &Theirs,
                 const CatalogRevisions &Own);
  /// Whether a requested configuration may still arrive.
  bool isConfigOpen(Time Now, const CatalogRevisions &Own) const;

  Time NextRequest{};
  // Of the last request for a configuration: this process's version at that
  // time, and when the answer is overdue; no time if none is awaited.
  uint64_t ConfigBefore = 0;
  Time ConfigDue{};
  // Of the last delay: this process's version at that time, and when it ends;
  // no time if it has ended.
  uint64_t DelayedAt = 0;
  Time DelayEnd{};
  Random Rand;
};

/// The state in \p Known that is newer than the revisions in \p Request.
/// Thread-safe.
inline wire::Envelope catalogUpdateFor(Time Now,
                                       const wire::BeliefRevisions &Request,
                                       const Catalog &Known) {
  return encodeCatalogUpdate(Known.since(Now, decodeRevisions(Request)));
}

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CATALOG_EXCHANGE_H
