// An io_context may run again after a handler has thrown; the handlers that
// were ready are still queued.
#include "daemon/guarded_loop.h"

#include <exception>

#include <malloc.h>

#include <boost/asio/io_context.hpp>

namespace goldcrestlink {

namespace {
// By default the allocator raises its threshold up to 32 MB after the first
// large block is freed, and then keeps bodies in the fragmented heap.
constexpr int MappedFromBytes = 64 * 1024;
constexpr int TrimFromBytes = 512 * 1024;
} // namespace

void runGuarded(boost::asio::io_context &Io,
                const std::function<void(const std::string &)> &OnException) {
  for (;;) {
    try {
      Io.run();
      return;
    } catch (const std::exception &E) {
      OnException(E.what());
    }
  }
}

void boundHeap() {
  mallopt(M_MMAP_THRESHOLD, MappedFromBytes);
  mallopt(M_TRIM_THRESHOLD, TrimFromBytes);
}

} // namespace goldcrestlink
