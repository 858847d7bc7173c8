// What an engine says of itself to the side on its own instance, and the orders
// that the side gives it.
#ifndef GOLDCRESTLINK_ADMISSION_ENGINE_REPORT_H
#define GOLDCRESTLINK_ADMISSION_ENGINE_REPORT_H

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"

namespace goldcrestlink {

/// An adapter and its version.
struct HeldAdapter {
  std::string Name;
  uint64_t Version = 0;

  bool operator==(const HeldAdapter &) const = default;
};

/// A base model that an engine holds, with its adapters.
struct HeldModel {
  std::string Name;
  uint64_t Version = 0;
  std::vector<HeldAdapter> Adapters;
};

/// An adapter on its way from the weight store.
struct IncomingAdapter {
  std::string Model;
  HeldAdapter Adapter;
};

/// The engine's state, fresh when asked from its own instance.
struct EngineReport {
  std::vector<HeldModel> Models;
  std::vector<IncomingAdapter> Incoming;
  /// An order on a base model is being carried out.
  bool Busy = false;
  /// Orders accepted since the start; the next order must expect it.
  uint64_t OrderCount = 0;
  /// Requests that have not started, and that have.
  uint32_t Waiting = 0;
  uint32_t Running = 0;
  /// Tokens of memory that cannot yield, and in all.
  uint64_t MemoryUsed = 0;
  uint64_t MemoryTotal = 0;
  /// Unix time of the engine's start in milliseconds; 0 if it did not say.
  uint64_t StartedMs = 0;
};

enum class OrderKind { Load, Unload };

/// One order. An empty adapter means the base model itself.
struct EngineOrder {
  uint64_t Number = 0;
  OrderKind Kind = OrderKind::Load;
  std::string Model;
  std::string Adapter;
  /// The engine refuses the order if its count differs when it is carried out.
  uint64_t ExpectedCount = 0;
};

/// How an order ended, as far as its answer tells.
enum class OrderOutcome {
  /// Under way.
  Accepted,
  /// Already so; for an unload of an unused adapter: done.
  Holds,
  /// The count differed, or another order was in progress.
  Conflict,
  /// Not carried out, and never will be.
  Refused,
  /// No answer: it may still be carried out while the count is unchanged.
  Unknown
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_ENGINE_REPORT_H
