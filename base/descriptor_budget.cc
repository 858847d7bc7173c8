// A quarter of the descriptors is reserved. A request in progress takes one for
// its caller and one for its upstream, but most callers' connections are idle.
#include "base/descriptor_budget.h"

#include <algorithm>

#include <sys/resource.h>

namespace goldcrestlink {

namespace {
constexpr size_t ReservedPart = 4;
// For standard streams, event loops, ZeroMQ and both control servers.
constexpr size_t MinReserved = 100;
} // namespace

size_t callerDescriptors(int64_t Limit) {
  size_t Descriptors = static_cast<size_t>(std::max<int64_t>(Limit, 1));
  rlimit Own{};
  if (getrlimit(RLIMIT_NOFILE, &Own) == 0)
    Descriptors = std::min<size_t>(Descriptors, Own.rlim_cur);
  const size_t Reserved = std::max(MinReserved, Descriptors / ReservedPart);
  return Descriptors > Reserved ? Descriptors - Reserved : 1;
}

} // namespace goldcrestlink
