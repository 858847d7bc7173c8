// Parses JSON that another party has written. The depth is bounded, since
// functions of the JSON library recurse over it, and numbers are converted
// only if the result can hold them.
//
//   const Json From = parseJson(Text);            // discarded if unusable
//   if (auto Port = toCount(From["port"], 65535)) ...
#ifndef GOLDCRESTLINK_BASE_BOUNDED_JSON_H
#define GOLDCRESTLINK_BASE_BOUNDED_JSON_H

#include <cstdint>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace goldcrestlink {

/// Levels of objects and arrays in a document; the platform's have six.
constexpr int MaxJsonDepth = 64;

/// The document that \p Text holds. Discarded (is_discarded()) if \p Text is
/// no JSON, or is nested deeper than MaxJsonDepth. Memory is bounded by the
/// size of \p Text, whatever its depth. Thread-safe.
nlohmann::json parseJson(std::string_view Text);

/// The whole number from 0 to \p Max that \p From holds; empty if it is not a
/// number, has a fraction or is out of range. Thread-safe.
std::optional<uint64_t> toCount(const nlohmann::json &From, uint64_t Max);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_BOUNDED_JSON_H
