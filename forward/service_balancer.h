// Chooses an upstream of a plain service by expected delay: the time that calls
// have lately taken there, with this entry's own open calls, recent failures
// and distance added. The choice is random, by weights that fall steeply with
// the delay, so that entries do not all move to the same upstream. An entry has
// at most its share of the calls that may be open at each upstream.
//
//   ServiceBalancer B(ServiceBalancer::Options().setDataCentre("dc-1"));
//   const UpstreamRecord *U = B.choose(Now, Upstreams, Excluded);
//   B.onSent(Now, U->Id);  ...  B.onEnded(Now, U->Id, Outcome, SentAt);
#ifndef GOLDCRESTLINK_FORWARD_SERVICE_BALANCER_H
#define GOLDCRESTLINK_FORWARD_SERVICE_BALANCER_H

#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "catalog/types.h"
#include "forward/upstream_health.h"

namespace goldcrestlink::forward {

/// Not thread-safe. Memory is bounded by the upstreams known and the open calls
/// there.
class ServiceBalancer {
public:
  class Options {
  public:
    const std::string &dataCentre() const { return DataCentre; }
    uint64_t seed() const { return Seed; }
    double queueFactor() const { return QueueFactor; }
    Duration distanceCost() const { return DistanceCost; }
    Duration failureCost() const { return FailureCost; }
    Duration unreachableBackoff() const { return UnreachableBackoff; }
    Options &setDataCentre(std::string Name) {
      DataCentre = std::move(Name);
      return *this;
    }
    /// Has to differ between entries, so that they choose differently.
    Options &setSeed(uint64_t Value) {
      Seed = Value;
      return *this;
    }

  private:
    std::string DataCentre;
    uint64_t Seed = 0;
    // Open calls of all entries allowed per slot of an upstream. Upstreams
    // queue a few calls beyond their slots and reject the rest.
    double QueueFactor = 2.5;
    // Cost of an upstream in another data centre, beyond the longer way, which
    // the times of its calls include.
    Duration DistanceCost = std::chrono::milliseconds(4);
    // Cost of an upstream that fails every call.
    Duration FailureCost = std::chrono::milliseconds(240);
    // First backoff after an upstream did not accept a connection.
    Duration UnreachableBackoff = std::chrono::milliseconds(500);
  };

  explicit ServiceBalancer(Options O) : Opts(std::move(O)) {}

  // Commands.

  void onSent(Time Now, const std::string &Id);
  /// A call that was sent at \p SentAt ended. It has failed if the connection
  /// broke, the upstream rejected the call, or it answered with a failure of
  /// its own.
  void onEnded(Time Now, const std::string &Id, CallOutcome Outcome,
               Time SentAt);
  /// The upstream refused a connection or did not accept it in time.
  void onUnreachable(Time Now, const std::string &Id);
  /// Another incarnation answers at the upstream's address.
  void onReplaced(const std::string &Id);
  /// Sets the number of entries that share the upstreams, this one included.
  void setEntries(size_t Count);
  /// Removes upstreams that are not in \p Known and have no open calls.
  void retain(const std::map<std::string, UpstreamRecord> &Known);

  // Queries.

  /// Returns one of \p Upstreams whose id is not in \p Excluded, mostly the one
  /// with the shortest expected delay, or null if none can be used or this
  /// entry's share is used up at each. The same until the next command.
  const UpstreamRecord *choose(Time Now,
                               std::span<const UpstreamRecord *const> Upstreams,
                               const std::set<std::string> &Excluded) const;
  /// Time that a call sent to \p Id now is expected to take; zero if none has
  /// been answered there lately.
  Duration expectedTime(Time Now, const std::string &Id) const;

private:
  struct UpstreamState {
    // When this entry's open calls were sent.
    std::vector<Time> Open;
    // Time of a call as answered over some seconds, and over the last answers;
    // zero before the first.
    Duration Usual{};
    Duration Recent{};
    Time AnsweredAt{};
    // When the youngest answered call was sent.
    Time AnsweredSentAt{};
    UpstreamHealth Health;

    Duration expected(Time Now) const;
  };

  Options Opts;
  size_t Entries = 4;
  // Calls sent; varies the random choice.
  uint64_t Sent = 0;
  std::unordered_map<std::string, UpstreamState> States;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_SERVICE_BALANCER_H
