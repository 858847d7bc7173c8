// A part counts as kept from when its first prompt should have been processed
// until it has not been used for a while. The engine's own choice of what it
// drops is not known. Operations are linear in the parts of one prompt, apart
// from the removal of old ones, which visits all.
#include "admission/kept_parts.h"

#include <algorithm>

namespace goldcrestlink {

namespace {
// From the grant until the engine has processed a prompt.
constexpr Duration ReadTime = std::chrono::milliseconds(300);
// An engine's memory holds about this much time's prompts.
constexpr Duration KeptTime = std::chrono::seconds(15);
} // namespace

void KeptParts::onGrant(Time Now, std::span<const PromptPart> Parts) {
  if (Known.size() + Parts.size() > MaxParts)
    std::erase_if(Known, [&](const auto &Item) {
      return Now - Item.second.UsedAt > KeptTime;
    });
  for (const PromptPart &P : Parts) {
    const auto It = Known.find(P.Key);
    if (It == Known.end() || Now - It->second.UsedAt > KeptTime) {
      if (Known.size() < MaxParts || It != Known.end())
        Known[P.Key] = {Now + ReadTime, Now};
    } else {
      It->second.UsedAt = Now;
    }
  }
}

uint32_t KeptParts::tokens(Time Now, std::span<const PromptPart> Parts) const {
  uint32_t Out = 0;
  for (const PromptPart &P : Parts) {
    const auto It = Known.find(P.Key);
    if (It == Known.end() || Now < It->second.ReadAt ||
        Now - It->second.UsedAt > KeptTime)
      break;
    Out = P.TokensToEnd;
  }
  return Out;
}

} // namespace goldcrestlink
