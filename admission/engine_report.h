// The state that an engine reports to the side on its instance, and the load
// and unload orders that the side sends to it.
//
//   EngineReport Report;   // decoded from the engine's answer
//   EngineOrder Order{.Number = 1, .Kind = OrderKind::Load, .Model = "m"};
//   Order.ExpectedCount = Report.OrderCount;
#ifndef GOLDCRESTLINK_ADMISSION_ENGINE_REPORT_H
#define GOLDCRESTLINK_ADMISSION_ENGINE_REPORT_H

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace goldcrestlink {

/// An adapter that an engine holds or loads, in one version.
struct HeldAdapter {
  std::string Name;
  uint64_t Version = 0;

  bool operator==(const HeldAdapter &) const = default;
};

/// A base model in an engine's memory, with the adapters loaded for it.
struct HeldModel {
  std::string Name;
  uint64_t Version = 0;
  std::vector<HeldAdapter> Adapters;
};

/// An adapter that the engine is loading from the weight store.
struct IncomingAdapter {
  std::string Model;
  HeldAdapter Adapter;
};

/// A request that an engine runs and that has its first token.
struct EngineRun {
  /// Hash of the request's id.
  uint64_t Request = 0;
  /// Tokens in the engine's memory.
  uint64_t Tokens = 0;
  /// Events of its stream so far.
  uint64_t Events = 0;

  bool operator==(const EngineRun &) const = default;
};

/// An engine's state. It is up to date at the time of the answer if requested
/// from the engine's own instance.
struct EngineReport {
  std::vector<HeldModel> Models;
  std::vector<IncomingAdapter> Incoming;
  /// True while the engine loads or unloads a base model.
  bool Busy = false;
  /// Number of orders accepted since the engine's start. The next order has to
  /// give this number as its ExpectedCount.
  uint64_t OrderCount = 0;
  /// Requests that the engine has queued, and those that it runs.
  uint32_t Waiting = 0;
  uint32_t Running = 0;
  /// Whether the engine states its runs, and these.
  bool HasRuns = false;
  std::vector<EngineRun> Runs;
  /// Entries among the runs that could not be read and were left out.
  uint32_t UnreadableRuns = 0;
  /// Memory in tokens: the part that cannot be freed at present, and the total.
  uint64_t MemoryUsed = 0;
  uint64_t MemoryTotal = 0;
  /// Unix time of the engine's start in milliseconds; 0 if not reported.
  uint64_t StartedMs = 0;
};

enum class OrderKind { Load, Unload };

/// An order to load or unload an adapter, or the base model itself if Adapter
/// is empty.
struct EngineOrder {
  uint64_t Number = 0;
  OrderKind Kind = OrderKind::Load;
  std::string Model;
  std::string Adapter;
  /// The engine refuses the order if its own count of orders differs from this
  /// one at the time of execution.
  uint64_t ExpectedCount = 0;
};

/// The result of an order, as far as its answer shows.
enum class OrderOutcome {
  /// Accepted; the engine is carrying it out.
  Accepted,
  /// The engine is in the ordered state: it already was, or it has unloaded an
  /// unused adapter at once.
  Completed,
  /// Refused because the count differed or another order was in progress.
  Conflict,
  /// Refused for another reason; the order will not be carried out.
  Refused,
  /// No answer. The order may still be carried out as long as the engine's
  /// count is unchanged.
  Unknown
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_ENGINE_REPORT_H
