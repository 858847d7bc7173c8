// A process's budget for the bytes that it holds for callers and upstreams.
// Everything of a size that others choose is reserved here before it is
// allocated, so that the process stays within its memory.
//
//   auto Budget = std::make_shared<MemoryBudget>(48'000'000);
//   MemoryReservation Room(Budget, MemoryKind::Bodies);
//   if (!Room.resize(1'000'000, MemoryClaim::Large)) ...;   // refuse the body
#ifndef GOLDCRESTLINK_BASE_MEMORY_BUDGET_H
#define GOLDCRESTLINK_BASE_MEMORY_BUDGET_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace goldcrestlink {

/// What the bytes are held for.
enum class MemoryKind : uint8_t {
  /// Connections of callers with their heads.
  Connections,
  /// Bodies of requests, from the first byte read to the end of the call.
  Bodies,
  /// Answers that their callers have not read yet.
  Answers
};
constexpr size_t MemoryKinds = 3;

/// Who may use the part of the budget that is kept for small requests.
enum class MemoryClaim : uint8_t { Large, Small };

/// Thread-safe.
class MemoryBudget {
public:
  explicit MemoryBudget(size_t Limit) : Limit(Limit) {}
  /// The budget of a process with \p MemoryMb of memory (in units of 1,000,000
  /// bytes; 0: not known), which also holds the program and its own state.
  static size_t limitFor(int64_t MemoryMb);

  /// SO_RCVBUF for each of at most \p Connections connections of a server, in
  /// bytes; what the kernel holds unread counts toward the memory of
  /// the process. Precondition: \p Connections is not 0. Thread-safe.
  size_t receiveBytesFor(size_t Connections) const;

  /// False, and reserves nothing, if the budget is short of \p Bytes.
  bool tryReserve(MemoryKind Kind, size_t Bytes, MemoryClaim Claim);
  void release(MemoryKind Kind, size_t Bytes);
  size_t limit() const { return Limit; }
  size_t used() const { return Total; }
  size_t used(MemoryKind Kind) const {
    return ByKind[static_cast<size_t>(Kind)];
  }
  /// Counts a request or connection that was refused for lack of memory.
  void countRefusal() { ++Refused; }
  uint64_t refusals() const { return Refused; }

private:
  const size_t Limit;
  std::atomic<size_t> Total{0};
  std::array<std::atomic<size_t>, MemoryKinds> ByKind{};
  std::atomic<uint64_t> Refused{0};
};

/// Bytes reserved in a budget, released by the destructor. Without a budget
/// every request for room succeeds. Not thread-safe; a reservation may be
/// released on any thread.
class MemoryReservation {
public:
  MemoryReservation() = default;
  MemoryReservation(std::shared_ptr<MemoryBudget> Budget, MemoryKind Kind)
      : Budget(std::move(Budget)), Kind(Kind) {}
  MemoryReservation(MemoryReservation &&Other) noexcept
      : Budget(std::move(Other.Budget)), Kind(Other.Kind), Bytes(Other.Bytes) {
    Other.Bytes = 0;
  }
  MemoryReservation &operator=(MemoryReservation &&) = delete;
  ~MemoryReservation() { shrink(0); }

  /// Changes the number of reserved bytes. False, and changes nothing, if the
  /// budget is short.
  bool resize(size_t NewBytes, MemoryClaim Claim) {
    if (NewBytes <= Bytes) {
      shrink(NewBytes);
      return true;
    }
    if (Budget && !Budget->tryReserve(Kind, NewBytes - Bytes, Claim))
      return false;
    Bytes = NewBytes;
    return true;
  }
  /// Precondition: no more than size().
  void shrink(size_t NewBytes) {
    if (Budget)
      Budget->release(Kind, Bytes - NewBytes);
    Bytes = NewBytes;
  }
  size_t size() const { return Bytes; }

private:
  std::shared_ptr<MemoryBudget> Budget;
  MemoryKind Kind = MemoryKind::Bodies;
  size_t Bytes = 0;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_MEMORY_BUDGET_H
