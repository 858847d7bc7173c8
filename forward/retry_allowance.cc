// A ring of buckets covers the window. The share is kept below the bound: the
// slack is halved, since an entry that restarts has forgotten what its former
// incarnation used, and the ratio is reduced for requests that other entries
// count in another window.
#include "forward/retry_allowance.h"

#include <algorithm>

namespace goldcrestlink::forward {

namespace {
constexpr double SlackShare = 0.5;
constexpr double RatioShare = 0.8;
} // namespace

void RetryAllowance::advance(Time N) {
  const int64_t Width = Opts.window().count() / static_cast<int64_t>(Buckets);
  const int64_t Now = N.time_since_epoch().count() / Width;
  const int64_t Steps =
      std::min<int64_t>(Now - Head, static_cast<int64_t>(Buckets));
  for (int64_t I = 0; I < Steps; ++I)
    Ring[static_cast<size_t>(Now - I) % Buckets] = Bucket();
  Head = std::max(Head, Now);
}

void RetryAllowance::onRequest(Time N) {
  advance(N);
  ++Ring[static_cast<size_t>(Head) % Buckets].Requests;
}

bool RetryAllowance::take(Time N, size_t Entries) {
  advance(N);
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
