// Server-sent events are split at blank lines; each event's JSON is parsed by
// the library and its "model" and "id" compared. Work is linear in the bytes.
#include "delivery/answer_check.h"

#include <nlohmann/json.hpp>

namespace goldcrestlink {

namespace {
constexpr size_t MaxEventBytes = 4 * 1024 * 1024;
constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view EndMark = "[DONE]";
} // namespace

AnswerCheck::AnswerCheck(std::string Model, std::string RequestId, bool Stream)
    : Model(std::move(Model)), RequestId(std::move(RequestId)), Stream(Stream) {
}

bool AnswerCheck::partMatches(std::string_view Text) const {
  const auto Json = nlohmann::json::parse(Text, nullptr, false);
  if (!Json.is_object())
    return false;
  const auto Named = Json.find("model");
  const auto Id = Json.find("id");
  if (Named == Json.end() || !Named->is_string() || Id == Json.end() ||
      !Id->is_string())
    return false;
  const auto &IdText = Id->get_ref<const std::string &>();
  return Named->get_ref<const std::string &>() == Model &&
         std::string_view(IdText).ends_with(RequestId);
}

bool AnswerCheck::takeEvent(std::string_view Event) {
  if (SawEnd || !Event.starts_with(DataPrefix))
    return false;
  Event.remove_prefix(DataPrefix.size());
  if (Event == EndMark) {
    SawEnd = true;
    return true;
  }
  ++Events;
  return partMatches(Event);
}

bool AnswerCheck::feed(std::string_view Bytes, std::string &Checked) {
  Pending.append(Bytes);
  if (!Stream)
    return Pending.size() <= MaxEventBytes;
  size_t Done = 0;
  for (;;) {
    const size_t End = Pending.find("\n\n", Done);
    if (End == std::string::npos)
      break;
    if (!takeEvent(std::string_view(Pending).substr(Done, End - Done)))
      return false;
    Done = End + 2;
  }
  Checked.append(Pending, 0, Done);
  Pending.erase(0, Done);
  return Pending.size() <= MaxEventBytes;
}

bool AnswerCheck::complete(std::string &Checked) {
  if (Stream)
    return SawEnd && Pending.empty();
  if (!partMatches(Pending))
    return false;
  Checked.append(Pending);
  return true;
}

} // namespace goldcrestlink
