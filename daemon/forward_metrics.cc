// Latencies go into fixed buckets, so that the metrics of several entries can
// be summed; counts and sums are kept by Boost.Accumulators.
#include "daemon/forward_metrics.h"

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace goldcrestlink {

namespace {
namespace acc = boost::accumulators;
constexpr std::array<double, 10> BucketSeconds = {0.025, 0.05, 0.1, 0.15, 0.3,
                                                  0.6,   1,    2,   4,    10};

class Histogram {
public:
  void add(double Value) {
    CountAndSum(Value);
    for (size_t I = 0; I < BucketSeconds.size(); ++I)
      if (Value <= BucketSeconds[I])
        ++CumulativeCounts[I];
  }

  void print(std::string &Out, const std::string &Name,
             const std::string &Labels) const {
    for (size_t I = 0; I < BucketSeconds.size(); ++I) {
      Out += Name;
      Out += "_bucket{" + Labels + ",le=\"" + std::to_string(BucketSeconds[I]) +
             "\"} " + std::to_string(CumulativeCounts[I]) + "\n";
    }
    const std::string Count = std::to_string(acc::count(CountAndSum));
    Out += Name;
    Out += "_bucket{" + Labels + ",le=\"+Inf\"} " + Count + "\n";
    Out += Name;
    Out +=
        "_sum{" + Labels + "} " + std::to_string(acc::sum(CountAndSum)) + "\n";
    Out += Name;
    Out += "_count{" + Labels + "} " + Count + "\n";
  }

private:
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>
      CountAndSum;
  std::array<uint64_t, BucketSeconds.size()> CumulativeCounts{};
};
} // namespace

std::string quotaMetrics(const forward::OrganisationQuotas::Counters &Counts) {
  std::string Out;
  for (const auto &[Name, Value] : {std::pair("admitted", Counts.Admitted),
                                    std::pair("rejected", Counts.Rejected),
                                    std::pair("given_back", Counts.GivenBack),
                                    std::pair("on_floor", Counts.OnFloor)}) {
    Out += "goldcrestlink_quota_";
    Out += Name;
    Out += "_total " + std::to_string(Value) + "\n";
  }
  return Out;
}

struct ForwardMetrics::Series {
  uint64_t Count = 0;
  Histogram FirstByte;
  Histogram Total;
};

struct ForwardMetrics::Pauses {
  Histogram Longest;
  uint64_t Late = 0;
};

ForwardMetrics::ForwardMetrics() = default;
ForwardMetrics::~ForwardMetrics() = default;

void ForwardMetrics::record(uint32_t Rank, std::string_view Outcome,
                            Duration FirstByte, Duration Total) {
  auto &Slot = Calls[{Rank, std::string(Outcome)}];
  if (!Slot)
    Slot = std::make_unique<Series>();
  ++Slot->Count;
  if (FirstByte > Duration(0))
    Slot->FirstByte.add(seconds(FirstByte));
  Slot->Total.add(seconds(Total));
}

void ForwardMetrics::recordPause(uint32_t Rank, Duration Longest,
                                 Duration MaxPause) {
  auto &Slot = PausesByRank[Rank];
  if (!Slot)
    Slot = std::make_unique<Pauses>();
  Slot->Longest.add(seconds(Longest));
  Slot->Late += MaxPause > Duration(0) && Longest > MaxPause ? 1 : 0;
}

void ForwardMetrics::count(std::string_view Name, uint64_t By) {
  const auto It = Counters.find(Name);
  if (It == Counters.end())
    Counters.emplace(Name, By);
  else
    It->second += By;
}

std::string ForwardMetrics::text() const {
  std::string Out;
  for (const auto &[Key, S] : Calls) {
    const std::string Labels = "rank=\"" + std::to_string(Key.first) +
                               "\",outcome=\"" + Key.second + "\"";
    Out += "goldcrestlink_calls_total{" + Labels + "} " +
           std::to_string(S->Count) + "\n";
    S->FirstByte.print(Out, "goldcrestlink_first_byte_seconds", Labels);
    S->Total.print(Out, "goldcrestlink_call_seconds", Labels);
  }
  for (const auto &[Rank, P] : PausesByRank) {
    const std::string Labels = "rank=\"" + std::to_string(Rank) + "\"";
    P->Longest.print(Out, "goldcrestlink_stream_pause_seconds", Labels);
    Out += "goldcrestlink_stream_pauses_late_total{" + Labels + "} " +
           std::to_string(P->Late) + "\n";
  }
  for (const auto &[Name, Value] : Counters)
    Out += "goldcrestlink_" + Name + " " + std::to_string(Value) + "\n";
  return Out;
}

} // namespace goldcrestlink
