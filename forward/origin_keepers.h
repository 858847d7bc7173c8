// Which sides keep the origin of a stream: the first few in the rendezvous
// order of the attempt's hash, so that every process names the same ones and a
// change of the sides moves few origins.
//
//   for (const std::string &Side : originKeepers(Attempt, Sides, 3)) ...
#ifndef GOLDCRESTLINK_FORWARD_ORIGIN_KEEPERS_H
#define GOLDCRESTLINK_FORWARD_ORIGIN_KEEPERS_H

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace goldcrestlink::forward {

/// The first \p Count of \p Sides in the order of \p Attempt; fewer if there
/// are not as many. Thread-safe.
std::vector<std::string> originKeepers(uint64_t Attempt,
                                       std::span<const std::string> Sides,
                                       size_t Count);

/// Those of originKeepers() in \p Sides that were not among them in \p Before.
/// Thread-safe.
std::vector<std::string> addedKeepers(uint64_t Attempt,
                                      std::span<const std::string> Before,
                                      std::span<const std::string> Sides,
                                      size_t Count);

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_ORIGIN_KEEPERS_H
