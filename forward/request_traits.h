// Properties of a request that other requests may share, and to which a crash
// of an upstream may therefore be attributed.
//
//   std::vector<RequestTrait> Traits = traitsOf(Call);
#ifndef GOLDCRESTLINK_FORWARD_REQUEST_TRAITS_H
#define GOLDCRESTLINK_FORWARD_REQUEST_TRAITS_H

#include <cstdint>
#include <vector>

#include "forward/call.h"

namespace goldcrestlink::forward {

struct RequestTrait {
  /// Identifies the property in all processes.
  uint64_t Hash = 0;
  /// How specific the property is: the position of a prompt part, or
  /// WholeRequest.
  uint8_t Depth = 0;

  static constexpr uint8_t WholeRequest = 255;
  bool operator==(const RequestTrait &) const = default;
};

/// The shared parts of the prompt, and the request as a whole: a caller that
/// repeats it gives it a new id but the same content. Thread-safe.
std::vector<RequestTrait> traitsOf(const IncomingCall &Call);

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_REQUEST_TRAITS_H
