// One counter for the total decides; the counters by kind are for metrics. A
// reservation adds first and takes back what is too much, so two threads never
// exceed the limit together.
#include "base/memory_budget.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
constexpr size_t BytesPerMb = 1000 * 1000;
// Set aside for the program, its threads' stacks and its own state.
constexpr size_t OwnBytes = 30 * BytesPerMb;
// Share of the rest that is given out. The heap's fragmentation and the buffers
// of connections to upstreams take the other part.
constexpr size_t ShareNumerator = 1;
constexpr size_t ShareDenominator = 2;
// Of a process whose memory is not known.
constexpr size_t UnknownMemoryLimit = 512 * BytesPerMb;
// A process with very little memory still serves single requests.
constexpr size_t MinLimit = 8 * BytesPerMb;
// One part in so many is kept for small requests.
constexpr size_t SmallPart = 8;
// Part of the budget for receive buffers, each of which may hold twice its
// size, if all connections are open.
constexpr size_t ReceivePart = 4;
// A header of the default limit arrives in one round trip.
constexpr size_t MinReceiveBytes = 16 * 1024;
// A larger buffer needs window scaling, which few connections use.
constexpr size_t MaxReceiveBytes = 64 * 1024;
} // namespace

size_t MemoryBudget::limitFor(int64_t MemoryMb) {
  if (MemoryMb <= 0)
    return UnknownMemoryLimit;
  const size_t Memory = static_cast<size_t>(MemoryMb) * BytesPerMb;
  const size_t Rest = Memory > OwnBytes ? Memory - OwnBytes : 0;
  return std::max(MinLimit, Rest / ShareDenominator * ShareNumerator);
}

size_t MemoryBudget::receiveBytesFor(size_t Connections) const {
  return std::clamp(Limit / ReceivePart / Connections, MinReceiveBytes,
                    MaxReceiveBytes);
}

bool MemoryBudget::tryReserve(MemoryKind Kind, size_t Bytes,
                              MemoryClaim Claim) {
  const size_t Usable =
      Claim == MemoryClaim::Small ? Limit : Limit - Limit / SmallPart;
  if (Total.fetch_add(Bytes) + Bytes > Usable) {
    Total -= Bytes;
    return false;
  }
  ByKind[static_cast<size_t>(Kind)] += Bytes;
  return true;
}

void MemoryBudget::release(MemoryKind Kind, size_t Bytes) {
  Total -= Bytes;
  ByKind[static_cast<size_t>(Kind)] -= Bytes;
}

} // namespace goldcrestlink
