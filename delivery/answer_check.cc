// Splits the stream of server-sent events at blank lines, parses the JSON of
// each event and compares its "model" and "id". Each event is parsed once, and
// the bytes kept between calls of feed() are at most MaxEventBytes.
#include "delivery/answer_check.h"

#include "base/bounded_json.h"

namespace goldcrestlink {

namespace {
constexpr size_t MaxEventBytes = 4 * 1024 * 1024;
constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view EndMarker = "[DONE]";
} // namespace

AnswerCheck::AnswerCheck(std::string Model, std::string RequestId, bool Stream)
    : Model(std::move(Model)), RequestId(std::move(RequestId)), Stream(Stream) {
}

bool AnswerCheck::partMatches(std::string_view Text) const {
  const nlohmann::json Json = parseJson(Text);
  if (!Json.is_object())
    return false;
  const auto ModelField = Json.find("model");
  const auto IdField = Json.find("id");
  if (ModelField == Json.end() || !ModelField->is_string() ||
      IdField == Json.end() || !IdField->is_string())
    return false;
  const auto &IdText = IdField->get_ref<const std::string &>();
  return ModelField->get_ref<const std::string &>() == Model &&
         std::string_view(IdText).ends_with(RequestId);
}

bool AnswerCheck::checkEvent(std::string_view Event) {
  if (EndSeen || !Event.starts_with(DataPrefix))
    return false;
  Event.remove_prefix(DataPrefix.size());
  if (Event == EndMarker) {
    EndSeen = true;
    return true;
  }
  ++Events;
  return partMatches(Event);
}

bool AnswerCheck::feed(std::string_view Bytes, std::string &Checked) {
  Pending.append(Bytes);
  if (!Stream)
    return Pending.size() <= MaxEventBytes;
  size_t CheckedBytes = 0;
  for (;;) {
    const size_t End = Pending.find("\n\n", CheckedBytes);
    if (End == std::string::npos)
      break;
    if (!checkEvent(
            std::string_view(Pending).substr(CheckedBytes, End - CheckedBytes)))
      return false;
    CheckedBytes = End + 2;
  }
  Checked.append(Pending, 0, CheckedBytes);
  Pending.erase(0, CheckedBytes);
  return Pending.size() <= MaxEventBytes;
}

bool AnswerCheck::complete(std::string &Checked) {
  if (Stream)
    return EndSeen && Pending.empty();
  if (!partMatches(Pending))
    return false;
  Checked.append(Pending);
  return true;
}

} // namespace goldcrestlink
