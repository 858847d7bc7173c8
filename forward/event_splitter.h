// Splits a stream of server-sent events at event boundaries, so that only
// complete events reach a caller.
//
//   EventSplitter S;
//   std::string Complete = S.feed(Bytes);   // events completed by these bytes
#ifndef GOLDCRESTLINK_FORWARD_EVENT_SPLITTER_H
#define GOLDCRESTLINK_FORWARD_EVENT_SPLITTER_H

#include <string>
#include <string_view>

namespace goldcrestlink::forward {

/// Not thread-safe. Holds at most one incomplete event.
class EventSplitter {
public:
  /// Appends \p Bytes and returns the events that are complete as a result.
  std::string feed(std::string_view Bytes);
  /// Number of bytes held of an incomplete event.
  size_t pending() const { return Partial.size(); }
  /// Discards an incomplete event, whose upstream has failed.
  void dropPartial() { Partial.clear(); }

private:
  std::string Partial;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_EVENT_SPLITTER_H
