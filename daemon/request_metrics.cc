// Quantiles are estimated by Boost.Accumulators' P-square algorithm, in
// constant memory per series. The number of series is bounded, since ranks and
// applications are declared.
#include "daemon/request_metrics.h"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

namespace goldcrestlink {

namespace {

namespace acc = boost::accumulators;
using Quantile =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using Mean =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>>;

constexpr int64_t QueueRecords = 50000;
constexpr size_t MaxSeries = 1024;

Quantile quantile(double P) { return Quantile(acc::quantile_probability = P); }

} // namespace

struct RequestMetrics::Series {
  uint64_t Total = 0;
  uint64_t WithinTarget = 0;
  uint64_t Attempts = 0;
  // By the text of the labels code and outcome.
  std::map<std::string, uint64_t> EndCounts;
  Mean TotalMean;
  Quantile TotalP50 = quantile(0.5);
  Quantile TotalP99 = quantile(0.99);
  Quantile FirstByteP50 = quantile(0.5);
  Quantile FirstByteP99 = quantile(0.99);
  // Of streamed answers with two parts or more.
  Mean PauseMean;
  Quantile PauseP50 = quantile(0.5);
  Quantile PauseP99 = quantile(0.99);
  uint64_t LatePauses = 0;
};

RequestMetrics::RequestMetrics() { Queue.set_capacity(QueueRecords); }
RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::push(entry::RequestRecord Record) {
  if (!Queue.try_push(std::move(Record)))
    Dropped.fetch_add(1, std::memory_order_relaxed);
}

void RequestMetrics::collect() {
  entry::RequestRecord R;
  while (Queue.try_pop(R)) {
    const Key K{R.Rank, R.Application};
    if (!AllSeries.count(K) && AllSeries.size() >= MaxSeries)
      continue;
    auto &Slot = AllSeries[K];
    if (!Slot)
      Slot = std::make_unique<Series>();
    Series &S = *Slot;
    ++S.Total;
    S.WithinTarget += R.WithinTarget ? 1 : 0;
    S.Attempts += R.Attempts;
    ++S.EndCounts[std::string(codeName(R.Why)) + "\",outcome=\"" +
                  std::string(outcomeName(R.Known))];
    if (R.LongestPause > Duration(0)) {
      S.PauseMean(seconds(R.LongestPause));
      S.PauseP50(seconds(R.LongestPause));
      S.PauseP99(seconds(R.LongestPause));
      S.LatePauses +=
          R.MaxPause > Duration(0) && R.LongestPause > R.MaxPause ? 1 : 0;
    }
    if (R.Why != Code::None)
      continue;
    S.TotalMean(seconds(R.Total));
    S.TotalP50(seconds(R.Total));
    S.TotalP99(seconds(R.Total));
    S.FirstByteP50(seconds(R.FirstByte));
    S.FirstByteP99(seconds(R.FirstByte));
  }
}

std::string RequestMetrics::text() const {
  std::ostringstream Out;
  for (const auto &[K, S] : AllSeries) {
    const std::string Labels =
        "rank=\"" + K.first + "\",application=\"" + K.second + "\"";
    const auto Line = [&](const char *Name, const std::string &More, auto V) {
      Out << "goldcrestlink_" << Name << "{" << Labels << More << "} " << V
          << "\n";
    };
    Line("requests_total", "", S->Total);
    Line("requests_within_target_total", "", S->WithinTarget);
    Line("attempts_total", "", S->Attempts);
    for (const auto &[End, Count] : S->EndCounts)
      Line("request_ends_total", ",code=\"" + End + "\"", Count);
    if (acc::count(S->PauseMean) > 0) {
      Line("longest_pause_seconds", ",quantile=\"0.5\"",
           acc::p_square_quantile(S->PauseP50));
      Line("longest_pause_seconds", ",quantile=\"0.99\"",
           acc::p_square_quantile(S->PauseP99));
      Line("longest_pauses_late_total", "", S->LatePauses);
    }
    if (acc::count(S->TotalMean) == 0)
      continue;
    Line("answer_seconds_mean", "", acc::mean(S->TotalMean));
    Line("answer_seconds", ",quantile=\"0.5\"",
         acc::p_square_quantile(S->TotalP50));
    Line("answer_seconds", ",quantile=\"0.99\"",
         acc::p_square_quantile(S->TotalP99));
    Line("first_byte_seconds", ",quantile=\"0.5\"",
         acc::p_square_quantile(S->FirstByteP50));
    Line("first_byte_seconds", ",quantile=\"0.99\"",
         acc::p_square_quantile(S->FirstByteP99));
  }
  Out << "goldcrestlink_metric_records_dropped_total " << Dropped << "\n";
  return Out.str();
}

} // namespace goldcrestlink
