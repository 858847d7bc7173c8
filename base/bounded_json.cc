// The library calls back for each value. Values below the maximum depth are
// not stored.
#include "base/bounded_json.h"

#include <cmath>

namespace goldcrestlink {

using Json = nlohmann::json;

Json parseJson(std::string_view Text) {
  bool IsTooDeep = false;
  Json Out = Json::parse(
      Text,
      [&](int Depth, Json::parse_event_t, const Json &) {
        IsTooDeep |= Depth > MaxJsonDepth;
        return !IsTooDeep;
      },
      false);
  return IsTooDeep ? Json(Json::value_t::discarded) : Out;
}

std::optional<uint64_t> toCount(const Json &From, uint64_t Max) {
  if (From.is_number_unsigned()) {
    const auto Value = From.get<uint64_t>();
    return Value <= Max ? std::optional(Value) : std::nullopt;
  }
  // The library stores negative numbers and fractions as other types.
  if (!From.is_number_float())
    return std::nullopt;
  const auto Value = From.get<double>();
  if (!(Value >= 0 && Value <= static_cast<double>(Max)) ||
      Value != std::floor(Value) || Value >= 0x1p64)
    return std::nullopt;
  return static_cast<uint64_t>(Value);
}

} // namespace goldcrestlink
