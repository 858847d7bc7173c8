// Counts allocations, as a measure of work that does not depend on the
// machine's speed. Replaces the global operators new and delete of the program.
//
//   const uint64_t Before = allocationCount();
//   copy(Value);
//   CHECK(allocationCount() - Before < 10);
#ifndef GOLDCRESTLINK_TESTING_ALLOCATION_COUNTER_H
#define GOLDCRESTLINK_TESTING_ALLOCATION_COUNTER_H

#include <cstdint>

namespace goldcrestlink::testing {

/// Number of calls of operator new by the calling thread. Thread-safe.
uint64_t allocationCount();

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_ALLOCATION_COUNTER_H
