// The work per part is that of EventSplitter.
#include "forward/stream_position.h"

namespace goldcrestlink::forward {

void StreamPosition::beginSend() {
  Events.dropPartial();
  HasEvents = false;
}

std::string StreamPosition::feed(std::string_view Bytes) {
  std::string Complete = Events.feed(Bytes);
  HasEvents |= !Complete.empty();
  return Complete;
}

} // namespace goldcrestlink::forward
