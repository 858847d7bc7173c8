// The limits that upstreams name in their answers, in requests a second from
// all entries together, and this entry's share of them.
//
//   if (auto Told = Limits.onAnswer(Now, Id, Head)) tellSide(*Told);
//   if (Limits.allows(Now, Id)) { Limits.onSent(Now, Id); send(); }
#ifndef GOLDCRESTLINK_FORWARD_UPSTREAM_LIMITS_H
#define GOLDCRESTLINK_FORWARD_UPSTREAM_LIMITS_H

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/rate_limit.h"
#include "catalog/types.h"
#include "forward/call.h"

namespace goldcrestlink::forward {

/// Not thread-safe. Memory is bounded by the known upstreams that have named a
/// limit.
class UpstreamLimits {
public:
  /// An upstream has answered. Returns the limit that its side should know: the
  /// one that the answer names, or 0 if it no longer names one.
  std::optional<double> onAnswer(Time Now, const std::string &Id,
                                 const AnswerHead &Head);
  /// The side beside the upstream knows this limit.
  void onTold(Time Now, const std::string &Id, double PerSecond);
  /// A request is sent to the upstream on this entry's own decision.
  void onSent(Time Now, const std::string &Id);
  /// Sets the number of entries that share the limits, this one included.
  void setEntries(Time Now, size_t Count);
  /// Removes upstreams that are not in \p Known.
  void retain(const std::map<std::string, UpstreamRecord> &Known);

  /// Whether this entry's share allows a request now.
  bool allows(Time Now, const std::string &Id) const;
  /// The limit for all entries; 0 if there is none.
  double perSecond(const std::string &Id) const;
  /// Mean time between requests of all entries; zero without a limit.
  Duration interval(const std::string &Id) const;
  /// This entry's share, in requests per second; 0 without a limit.
  double share(const std::string &Id) const;

private:
  struct Limit {
    double PerSecond = 0;
    RateLimit Share;
  };

  double shareOf(double PerSecond) const;

  size_t Entries = 1;
  std::unordered_map<std::string, Limit> Limits;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_UPSTREAM_LIMITS_H
