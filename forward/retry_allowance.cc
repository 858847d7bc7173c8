// A ring of buckets covers the window, so each operation costs O(buckets). The
// share is kept below the limit: the slack is halved, since a restarted entry
// does not know what its previous incarnation used, and the ratio is reduced,
// since the windows of different entries are not aligned.
#include "forward/retry_allowance.h"

#include <algorithm>

namespace goldcrestlink::forward {

namespace {
constexpr double SlackShare = 0.5;
constexpr double RatioShare = 0.8;
} // namespace

void RetryAllowance::advance(Time Now) {
  const int64_t BucketTime =
      Opts.window().count() / static_cast<int64_t>(Buckets);
  const int64_t Newest = Now.time_since_epoch().count() / BucketTime;
  const int64_t Steps =
      std::min<int64_t>(Newest - Head, static_cast<int64_t>(Buckets));
  for (int64_t I = 0; I < Steps; ++I)
    Ring[static_cast<size_t>(Newest - I) % Buckets] = Bucket();
  Head = std::max(Head, Newest);
}

void RetryAllowance::onRequest(Time Now) {
  advance(Now);
  ++Ring[static_cast<size_t>(Head) % Buckets].Requests;
}

bool RetryAllowance::take(Time Now, size_t Entries) {
  advance(Now);
  uint32_t Requests = 0;
  uint32_t Retries = 0;
  for (const Bucket &B : Ring) {
    Requests += B.Requests;
    Retries += B.Retries;
  }
  const double Share = Opts.slack() * SlackShare /
                       static_cast<double>(std::max<size_t>(1, Entries));
  if (Retries + 1 > Opts.ratio() * RatioShare * Requests + Share)
    return false;
  ++Ring[static_cast<size_t>(Head) % Buckets].Retries;
  return true;
}

} // namespace goldcrestlink::forward
