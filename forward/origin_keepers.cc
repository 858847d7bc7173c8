// One hash for each side, and a partial sort.
#include "forward/origin_keepers.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "base/hash.h"

namespace goldcrestlink::forward {

std::vector<std::string> originKeepers(uint64_t Attempt,
                                       std::span<const std::string> Sides,
                                       size_t Count) {
  std::vector<std::pair<uint64_t, const std::string *>> Order;
  Order.reserve(Sides.size());
  for (const std::string &Side : Sides)
    Order.emplace_back(mixHash(Attempt, hash64(Side)), &Side);
  Count = std::min(Count, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end(), std::greater<>());
  std::vector<std::string> Out;
  for (size_t I = 0; I < Count; ++I)
    Out.push_back(*Order[I].second);
  return Out;
}

std::vector<std::string> addedKeepers(uint64_t Attempt,
                                      std::span<const std::string> Before,
                                      std::span<const std::string> Sides,
                                      size_t Count) {
  const std::vector<std::string> Old = originKeepers(Attempt, Before, Count);
  std::vector<std::string> Out = originKeepers(Attempt, Sides, Count);
  std::erase_if(Out, [&](const std::string &Side) {
    return std::find(Old.begin(), Old.end(), Side) != Old.end();
  });
  return Out;
}

} // namespace goldcrestlink::forward
