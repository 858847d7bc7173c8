// Remembers which software version of which service began each stream, so that
// a stream that a caller takes up goes on at that version only. An entry keeps
// the streams that it forwards; sides keep those of all entries, by hash of the
// attempt, since they outlive entries.
//
//   StreamOrigins Known{StreamOrigins::Options()};
//   Known.record(Now, hash64(RequestId), {"engines", "v1"});
//   if (const StreamOrigin *O = Known.find(Now, hash64(ResumedId))) ...
#ifndef GOLDCRESTLINK_FORWARD_STREAM_ORIGINS_H
#define GOLDCRESTLINK_FORWARD_STREAM_ORIGINS_H

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/time.h"

namespace goldcrestlink::forward {

/// What the upstreams that may continue a stream have in common.
struct StreamOrigin {
  std::string Service;
  /// Of the upstreams' software; empty if the upstream has not stated one.
  std::string SoftwareVersion;

  bool operator==(const StreamOrigin &) const = default;
};

/// Not thread-safe. Memory is bounded by Options::maxStreams().
class StreamOrigins {
public:
  class Options {
  public:
    size_t maxStreams() const { return MaxStreams; }
    Duration lifetime() const { return Lifetime; }
    Options &setMaxStreams(size_t Count) {
      MaxStreams = Count;
      return *this;
    }

  private:
    // About 150 bytes each.
    size_t MaxStreams = 16384;
    // From the last send of a stream until it can no longer be taken up: the
    // longest time-out of a route and a caller's last try after it.
    Duration Lifetime = std::chrono::seconds(120);
  };

  explicit StreamOrigins(Options O) : Opts(O) {}

  /// Records the origin of the stream that \p Attempt began, in place of an
  /// earlier one. The oldest streams make room.
  void record(Time Now, uint64_t Attempt, StreamOrigin Origin);
  /// Null if the origin is not known. Valid until the next record().
  const StreamOrigin *find(Time Now, uint64_t Attempt) const;
  /// Calls \p Visit for each stream that has not expired.
  void forEach(
      Time Now,
      const std::function<void(uint64_t, const StreamOrigin &)> &Visit) const;
  size_t size() const { return Streams.size(); }

private:
  struct Entry {
    StreamOrigin Origin;
    Time RecordedAt;
  };

  Options Opts;
  std::unordered_map<uint64_t, Entry> Streams;
  // Attempts in the order in which they were recorded. An attempt that was
  // recorded again has a later time in Streams.
  std::deque<std::pair<Time, uint64_t>> Order;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_STREAM_ORIGINS_H
