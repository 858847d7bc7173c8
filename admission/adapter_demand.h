// Demand for the adapters of one engine, counted by the side that admits their
// requests. Each side sees all requests that its engine gets, from however many
// entries, so entries add up what sides report instead of extrapolating from
// their own small part. Answers demand that moves to another adapter within a
// second, and many rare adapters that must not be taken for it.
//
//   AdapterDemand Demand;
//   Demand.onRequest(Now, Hash, PromptTokens);
//   double Rate = Demand.tokensPerSecond(Now, Hash);
#ifndef GOLDCRESTLINK_ADMISSION_ADAPTER_DEMAND_H
#define GOLDCRESTLINK_ADMISSION_ADAPTER_DEMAND_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace goldcrestlink {

/// Demand for one adapter at one engine.
struct AdapterShare {
  /// By adapterHash().
  uint32_t Adapter = 0;
  /// Part of the engine's prefill time that its prompts would take, in percent;
  /// a multiple of AdapterDemand::StepPercent.
  uint32_t Percent = 0;

  bool operator==(const AdapterShare &) const = default;
};

/// Not thread-safe. Memory is bounded by MaxAdapters.
class AdapterDemand {
public:
  static constexpr uint32_t StepPercent = 5;
  static constexpr size_t MaxAdapters = 1024;
  /// A greater share is reported as this one.
  static constexpr uint32_t MaxPercent = 1000;

  // Commands.

  /// A request for an adapter, by adapterHash(), arrived.
  void onRequest(Time Now, uint32_t Adapter, uint32_t PromptTokens);

  // Queries.

  /// Prompt tokens per second: the mean over some seconds, or a rise within the
  /// last second, if that is more and too much to be random.
  double tokensPerSecond(Time Now, uint32_t Adapter) const;
  /// Number of adapters that are remembered.
  size_t size() const { return Adapters.size(); }
  /// The adapters of at least StepPercent, in ascending order of their hashes.
  /// \p PrefillRate: of the engine, in tokens per millisecond.
  std::vector<AdapterShare> shares(Time Now, double PrefillRate) const;

private:
  struct Entry {
    // Tokens per second, averaged over MeanSeconds.
    double Rate = 0;
    // Decayed sums of requests and of their tokens over RiseSeconds.
    double RecentCount = 0;
    double RecentTokens = 0;
    Time UpdatedAt{};
  };

  static double rateOf(Time Now, const Entry &E);

  std::unordered_map<uint32_t, Entry> Adapters;
  Time PrunedAt{};
};

/// Whether the demand for an adapter has risen by more than fluctuation from
/// \p Before to \p Now, both in ascending order of their adapters. Thread-safe.
bool risesClearly(const std::vector<AdapterShare> &Before,
                  const std::vector<AdapterShare> &Now);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_ADAPTER_DEMAND_H
