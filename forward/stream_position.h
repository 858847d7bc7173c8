// The position of a call in a stream that several sends may produce one after
// the other. Splits the answer of the present send into events and checks that
// they continue those before: no event is missing, comes twice or goes back.
//
//   StreamPosition P;
//   P.startAfter(LastEventId);                 // a caller takes a stream up
//   P.beginSend();
//   std::string Complete = P.feed(Bytes);      // events to forward
//   if (P.isInterrupted()) ...                 // an event does not continue
//   if (P.endsEarly(EndsWithConnection)) ...   // at the end of the answer
#ifndef GOLDCRESTLINK_FORWARD_STREAM_POSITION_H
#define GOLDCRESTLINK_FORWARD_STREAM_POSITION_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "forward/event_splitter.h"

namespace goldcrestlink::forward {

/// Not thread-safe. Holds at most one incomplete event.
class StreamPosition {
public:
  // Commands.

  /// The caller has the events up to \p Id from an earlier attempt; empty if
  /// it wants the stream from its start.
  void startAfter(std::string_view Id);
  /// A send begins. Discards an incomplete event of the send before.
  void beginSend();
  /// Appends \p Bytes of the present send's answer and returns the events that
  /// are complete as a result, up to the first one that does not continue the
  /// stream. Returns nothing after such an event.
  std::string feed(std::string_view Bytes);

  // Queries.

  /// Whether the present send has produced an event that does not continue the
  /// stream.
  bool isInterrupted() const { return Interrupted; }
  /// Whether the present send's answer, which has ended, is not complete.
  /// \p EndsWithConnection: it had neither a length nor chunks, so an end
  /// before its first event may be the end of the connection alone.
  bool endsEarly(bool EndsWithConnection) const {
    return Events.pending() > 0 || (EndsWithConnection && !HasEvents);
  }
  /// Id of the last event that this process has forwarded; empty if none had
  /// one.
  const std::string &lastId() const { return LastId; }
  /// Number of events of all sends that have continued the stream, without
  /// comments.
  uint64_t eventCount() const { return EventCount; }
  /// Number of bytes held of an incomplete event.
  size_t pending() const { return Events.pending(); }

private:
  /// Whether \p Event continues the stream; moves the position if so.
  bool advance(std::string_view Event);

  EventSplitter Events;
  std::string LastId;
  uint64_t EventCount = 0;
  // Number of the last event that the caller has; empty if it has none, or if
  // its id is not a number.
  std::optional<uint64_t> LastNumber;
  // The present send has produced a complete event.
  bool HasEvents = false;
  bool Interrupted = false;
  // The stream numbers its events one by one, as far as it has been seen.
  bool IsConsecutive = true;
  // Consecutive events of one send have been compared.
  bool HasStep = false;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_STREAM_POSITION_H
