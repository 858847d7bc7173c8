// Remembers which parts of prompts an engine has read lately and so keeps in
// its memory: a prompt that begins with them costs it only the rest. Answers
// load of which most prompts share long parts.
//
// Assumes of an engine that it keeps a part for the same model and adapter,
// together with all parts before it, until others need its memory.
//
//   KeptParts Kept;
//   Kept.onGrant(Now, Request.Parts);
//   uint32_t Unread = Request.PromptTokens - Kept.tokens(Now, Request.Parts);
#ifndef GOLDCRESTLINK_ADMISSION_KEPT_PARTS_H
#define GOLDCRESTLINK_ADMISSION_KEPT_PARTS_H

#include <cstdint>
#include <span>
#include <unordered_map>

#include "base/time.h"

namespace goldcrestlink {

/// A part of a prompt that other requests may share.
struct PromptPart {
  /// Hash of the model, the adapter, this part and all parts before it.
  uint64_t Key = 0;
  /// Prompt tokens up to the end of this part.
  uint32_t TokensToEnd = 0;

  bool operator==(const PromptPart &) const = default;
};

/// Not thread-safe. Memory is bounded by MaxParts.
class KeptParts {
public:
  static constexpr size_t MaxParts = 1024;

  // Commands.

  /// A prompt that begins with \p Parts is sent to the engine.
  void onGrant(Time Now, std::span<const PromptPart> Parts);
  /// The engine has started anew.
  void clear() { Known.clear(); }

  // Queries.

  /// Tokens at the beginning of a prompt that the engine need not process.
  uint32_t tokens(Time Now, std::span<const PromptPart> Parts) const;

private:
  struct Part {
    Time ReadAt{};
    Time UsedAt{};
  };

  std::unordered_map<uint64_t, Part> Known;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_KEPT_PARTS_H
