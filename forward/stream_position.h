// The position of a call in a stream that several sends may produce one after
// the other. Splits the answer of the present send into events.
//
//   StreamPosition P;
//   P.beginSend();
//   std::string Complete = P.feed(Bytes);      // events to forward
//   if (P.endsEarly(EndsWithConnection)) ...   // at the end of the answer
#ifndef GOLDCRESTLINK_FORWARD_STREAM_POSITION_H
#define GOLDCRESTLINK_FORWARD_STREAM_POSITION_H

#include <string>
#include <string_view>

#include "forward/event_splitter.h"

namespace goldcrestlink::forward {

/// Not thread-safe. Holds at most one incomplete event.
class StreamPosition {
public:
  // Commands.

  /// A send begins. Discards an incomplete event of the send before.
  void beginSend();
  /// Appends \p Bytes of the present send's answer and returns the events that
  /// are complete as a result.
  std::string feed(std::string_view Bytes);

  // Queries.

  /// Whether the present send's answer, which has ended, is not complete.
  /// \p EndsWithConnection: it had neither a length nor chunks, so an end
  /// before its first event may be the end of the connection alone.
  bool endsEarly(bool EndsWithConnection) const {
    return Events.pending() > 0 || (EndsWithConnection && !HasEvents);
  }
  /// Id of the last event that was forwarded; empty if none had one.
  const std::string &lastId() const { return Events.lastId(); }
  /// Number of bytes held of an incomplete event.
  size_t pending() const { return Events.pending(); }

private:
  EventSplitter Events;
  // The present send has produced a complete event.
  bool HasEvents = false;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_STREAM_POSITION_H
