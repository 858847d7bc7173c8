// An event ends with an empty line. Only the bytes after the last complete
// event are kept. feed() searches the kept bytes again with each new part, so
// its cost is bounded by the size of the incomplete event plus the new part.
#include "forward/event_splitter.h"

namespace goldcrestlink::forward {

std::string EventSplitter::feed(std::string_view Bytes) {
  Partial.append(Bytes);
  size_t End = std::string::npos;
  const size_t Lf = Partial.rfind("\n\n");
  const size_t CrLf = Partial.rfind("\r\n\r\n");
  if (Lf != std::string::npos)
    End = Lf + 2;
  if (CrLf != std::string::npos && (End == std::string::npos || CrLf + 4 > End))
    End = CrLf + 4;
  if (End == std::string::npos)
    return {};
  std::string Complete;
  if (End == Partial.size()) {
    Complete.swap(Partial);
  } else {
    Complete = Partial.substr(0, End);
    Partial.erase(0, End);
  }
  updateLastId(Complete);
  return Complete;
}

void EventSplitter::updateLastId(std::string_view Events) {
  // Only the last "id:" line matters.
  size_t At = Events.rfind("\nid:");
  if (At == std::string_view::npos) {
    if (!Events.starts_with("id:"))
      return;
    At = 3;
  } else {
    At += 4;
  }
  size_t End = Events.find_first_of("\r\n", At);
  std::string_view Id = Events.substr(At, End - At);
  while (Id.starts_with(' '))
    Id.remove_prefix(1);
  LastId = std::string(Id);
}

} // namespace goldcrestlink::forward
