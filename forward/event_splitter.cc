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
  return Complete;
}

} // namespace goldcrestlink::forward
