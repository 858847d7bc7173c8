// The platform's streams number their events one by one. A stream that counts
// otherwise within one send is checked for rising numbers only, and ids that
// are not numbers are not checked. An event without an id, apart from comments,
// cannot be placed in a numbered stream and is rejected there: it may be an
// error message or the head of another answer. Each event is examined once.
#include "forward/stream_position.h"

#include <algorithm>
#include <charconv>

namespace goldcrestlink::forward {

namespace {

std::optional<uint64_t> toNumber(std::string_view Id) {
  uint64_t Out = 0;
  const auto [End, Error] =
      std::from_chars(Id.data(), Id.data() + Id.size(), Out);
  if (Id.empty() || Error != std::errc() || End != Id.data() + Id.size())
    return std::nullopt;
  return Out;
}

std::string_view nextLine(std::string_view &Text) {
  const size_t End = std::min(Text.find('\n'), Text.size());
  std::string_view Line = Text.substr(0, End);
  Text.remove_prefix(std::min(End + 1, Text.size()));
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  return Line;
}

// The first event of \p Text with the empty line that ends it.
std::string_view firstEvent(std::string_view Text) {
  std::string_view Rest = Text;
  while (!Rest.empty())
    if (nextLine(Rest).empty())
      break;
  return Text.substr(0, Text.size() - Rest.size());
}

struct EventInfo {
  std::optional<std::string_view> Id;
  /// Has no lines but comments.
  bool IsComment = true;
};

EventInfo parseEvent(std::string_view Event) {
  EventInfo Out;
  while (!Event.empty()) {
    const std::string_view Line = nextLine(Event);
    if (Line.empty() || Line.starts_with(':'))
      continue;
    Out.IsComment = false;
    if (!Line.starts_with("id:"))
      continue;
    std::string_view Id = Line.substr(3);
    while (Id.starts_with(' '))
      Id.remove_prefix(1);
    Out.Id = Id;
  }
  return Out;
}

} // namespace

void StreamPosition::startAfter(std::string_view Id) {
  LastNumber = toNumber(Id);
}

void StreamPosition::beginSend() {
  Events.dropPartial();
  HasEvents = false;
  Interrupted = false;
}

std::string StreamPosition::feed(std::string_view Bytes) {
  if (Interrupted)
    return {};
  std::string Complete = Events.feed(Bytes);
  std::string_view Rest = Complete;
  while (!Rest.empty()) {
    const std::string_view Event = firstEvent(Rest);
    if (!advance(Event)) {
      Interrupted = true;
      Events.dropPartial();
      break;
    }
    Rest.remove_prefix(Event.size());
  }
  Complete.resize(Complete.size() - Rest.size());
  return Complete;
}

bool StreamPosition::advance(std::string_view Event) {
  const EventInfo Info = parseEvent(Event);
  if (Info.IsComment)
    return true;
  if (!Info.Id) {
    HasEvents |= !LastNumber;
    EventCount += LastNumber ? 0 : 1;
    return !LastNumber;
  }
  const std::optional<uint64_t> Number = toNumber(*Info.Id);
  if (LastNumber) {
    if (!Number || *Number <= *LastNumber)
      return false;
    const bool IsNext = *Number == *LastNumber + 1;
    if (!IsNext && HasEvents && !HasStep)
      IsConsecutive = false;
    HasStep |= HasEvents;
    if (!IsNext && IsConsecutive)
      return false;
  }
  LastNumber = Number;
  LastId = std::string(*Info.Id);
  HasEvents = true;
  ++EventCount;
  return true;
}

} // namespace goldcrestlink::forward
