// An event ends with an empty line. Only the unfinished tail is kept, and the
// search starts where the last one ended, so each byte is looked at a constant
// number of times.
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
  std::string Whole;
  if (End == Partial.size()) {
    Whole.swap(Partial);
  } else {
    Whole = Partial.substr(0, End);
    Partial.erase(0, End);
  }
  noteIds(Whole);
  return Whole;
}

void EventSplitter::noteIds(std::string_view Events) {
  // The last "id:" line counts.
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
