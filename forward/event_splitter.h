// Cuts a stream of server-sent events at event boundaries, so that only whole
// events reach a caller, and remembers the last event's id.
//
//   EventSplitter S;
//   std::string Whole = S.feed(Bytes);   // events that are complete now
//   S.lastId();
#ifndef GOLDCRESTLINK_FORWARD_EVENT_SPLITTER_H
#define GOLDCRESTLINK_FORWARD_EVENT_SPLITTER_H

#include <string>
#include <string_view>
#include <utility>

namespace goldcrestlink::forward {

/// Not thread-safe. Holds at most one incomplete event.
class EventSplitter {
public:
  /// Takes \p Bytes and returns the whole events that they complete.
  std::string feed(std::string_view Bytes);
  /// Id of the last whole event; empty if none had one.
  const std::string &lastId() const { return LastId; }
  /// Bytes of an event that is not whole yet.
  size_t pending() const { return Partial.size(); }
  /// Forgets an incomplete event: its upstream is gone.
  void dropPartial() { Partial.clear(); }
  /// Takes the bytes after the last whole event.
  std::string takePartial() { return std::exchange(Partial, {}); }

private:
  void noteIds(std::string_view Events);

  std::string Partial;
  std::string LastId;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_EVENT_SPLITTER_H
