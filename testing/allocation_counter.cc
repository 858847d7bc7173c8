// The array and nothrow forms call the operators replaced here by default.
#include "testing/allocation_counter.h"

#include <cstdlib>
#include <new>

namespace {
thread_local uint64_t Count = 0;
} // namespace

namespace goldcrestlink::testing {
uint64_t allocationCount() { return Count; }
} // namespace goldcrestlink::testing

void *operator new(size_t Size) {
  ++Count;
  if (void *Out = std::malloc(Size > 0 ? Size : 1))
    return Out;
  throw std::bad_alloc();
}
void operator delete(void *Block) noexcept { std::free(Block); }
void operator delete(void *Block, size_t) noexcept { std::free(Block); }
