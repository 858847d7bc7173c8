// Hashes the content of the request once.
#include "forward/request_traits.h"

#include <algorithm>

#include "base/hash.h"

namespace goldcrestlink::forward {

namespace {
// Keep the hashes of parts and of whole requests apart.
constexpr uint64_t PartSeed = 1;
constexpr uint64_t RequestSeed = 2;
// Parts at greater positions share the last depth.
constexpr size_t MaxPartDepth = RequestTrait::WholeRequest - 1;
} // namespace

std::vector<RequestTrait> traitsOf(const IncomingCall &Call) {
  const InferenceParams &Params = Call.Inference;
  std::vector<RequestTrait> Out;
  Out.reserve(Params.SharedParts.size() + 1);
  uint64_t Whole = RequestSeed;
  for (const std::string_view Text :
       {std::string_view(Call.Method), std::string_view(Call.Host),
        std::string_view(Call.Target), std::string_view(Call.Body),
        std::string_view(Params.Model), std::string_view(Params.Adapter)})
    Whole = hash64(Text, Whole);
  for (size_t I = 0; I < Params.SharedParts.size(); ++I) {
    const uint64_t Part = mixHash(PartSeed, Params.SharedParts[I]);
    Whole = mixHash(Whole, Part);
    Out.push_back({Part, static_cast<uint8_t>(std::min(I, MaxPartDepth))});
  }
  Out.push_back({Whole, RequestTrait::WholeRequest});
  return Out;
}

} // namespace goldcrestlink::forward
