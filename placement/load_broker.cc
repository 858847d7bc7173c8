// grant() scans all waiting load requests once per permit. Their number is
// bounded, and permits are granted at the store's rate, a few per second. The
// rank is chosen by its declared share of the loads. Within a rank, the load
// that serves requests of the most worth goes first, then an escalated request,
// then the one that has waited longest.
#include "placement/load_broker.h"

#include <algorithm>

namespace goldcrestlink {

LoadBroker::LoadBroker(Options O, std::vector<double> RankShares)
    : Limits(O), Bucket(O.rate(), O.burst()),
      Shares(std::move(RankShares), std::chrono::seconds(10)) {}

void LoadBroker::request(Time Now, const PermitRequest &Request) {
  const Key K{Request.Side, Request.Adapter};
  const auto It = Waiting.find(K);
  if (It == Waiting.end() && Waiting.size() >= Limits.maxWaiting())
    return;
  PermitRequest &Stored = Waiting[K];
  const Time Since = It == Waiting.end() ? Now : Stored.Since;
  Stored = Request;
  Stored.Rank = std::min(Stored.Rank, Shares.classes() - 1);
  Stored.Since = Since;
  Stored.Renewed = Now;
}

void LoadBroker::release(Time, const std::string &Side, uint64_t Adapter,
                         bool Used) {
  const Key K{Side, Adapter};
  Waiting.erase(K);
  if (Permits.erase(K) && !Used)
    Bucket.returnToken();
}

void LoadBroker::expire(Time Now) {
  std::erase_if(Waiting, [&](const auto &W) {
    return Now - W.second.Renewed > Limits.requestExpiry();
  });
  std::erase_if(Permits, [&](const auto &P) {
    return Now - P.second > Limits.permitExpiry();
  });
}

// The load of more worth goes first, then escalated requests, then the older
// one.
bool LoadBroker::goesBefore(const PermitRequest &A, const PermitRequest &B) {
  if (A.Priority != B.Priority)
    return A.Priority > B.Priority;
  if (A.Escalated != B.Escalated)
    return A.Escalated;
  return A.Since < B.Since;
}

std::vector<PermitRequest> LoadBroker::grant(Time Now) {
  expire(Now);
  std::vector<PermitRequest> Granted;
  while (!Waiting.empty() && Permits.size() < Limits.maxInFlight()) {
    std::vector<std::map<Key, PermitRequest>::iterator> Best(Shares.classes(),
                                                             Waiting.end());
    std::vector<bool> Eligible(Shares.classes());
    std::vector<bool> Escalated(Shares.classes());
    for (auto It = Waiting.begin(); It != Waiting.end(); ++It) {
      auto &B = Best[It->second.Rank];
      if (B == Waiting.end() || goesBefore(It->second, B->second))
        B = It;
      Eligible[It->second.Rank] = true;
      if (It->second.Escalated)
        Escalated[It->second.Rank] = true;
    }
    const auto Rank = Shares.pick(Eligible, Escalated);
    if (!Rank || !Bucket.take(Now))
      break;
    Shares.charge(Now, *Rank, 1);
    Permits[Best[*Rank]->first] = Now;
    Granted.push_back(Best[*Rank]->second);
    Waiting.erase(Best[*Rank]);
  }
  return Granted;
}

} // namespace goldcrestlink
