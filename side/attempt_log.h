// The events that a side sent for each attempt, kept so that an entry whose
// connection went silent can have them sent again, and the ids of attempts
// that were denied, so that a late copy of one cannot run.
//
//   AttemptLog L(AttemptLog::Options());
//   L.open(Id, Peer);
//   const wire::AttemptEvent &E = L.append(Id, Event);   // numbers it
//   L.close(Now, Id);                                    // kept for a while
#ifndef GOLDCRESTLINK_SIDE_ATTEMPT_LOG_H
#define GOLDCRESTLINK_SIDE_ATTEMPT_LOG_H

#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink::side {

/// Not thread-safe.
class AttemptLog {
public:
  class Options {
  public:
    Duration keepClosed() const { return KeepClosed; }
    size_t maxClosed() const { return MaxClosed; }
    size_t maxBytesEach() const { return MaxBytesEach; }
    Options &setKeepClosed(Duration D) {
      KeepClosed = D;
      return *this;
    }
    Options &setMaxClosed(size_t N) {
      MaxClosed = N;
      return *this;
    }
    Options &setMaxBytesEach(size_t N) {
      MaxBytesEach = N;
      return *this;
    }

  private:
    Duration KeepClosed = std::chrono::seconds(30);
    size_t MaxClosed = 8192;
    size_t MaxBytesEach = 1024 * 1024;
  };

  struct Record {
    std::string Peer;
    std::vector<wire::AttemptEvent> Events;
    uint32_t NextSequence = 0;
    size_t Bytes = 0;
    /// Events were dropped to stay within maxBytesEach.
    bool Truncated = false;
    bool Closed = false;
  };

  explicit AttemptLog(Options O) : Limits(O) {}

  /// Starts a record. Precondition: none exists for this id.
  void open(const std::string &Id, std::string Peer);
  /// Numbers and keeps an event. Precondition: the record is open.
  void append(const std::string &Id, wire::AttemptEvent &Event);
  /// Ends a record; it is kept for keepClosed().
  void close(Time N, const std::string &Id);
  /// Later events of the attempt go to \p Peer.
  void redirect(const std::string &Id, std::string Peer);
  /// Forgets records closed long ago.
  void expire(Time N);

  const Record *find(const std::string &Id) const;
  size_t size() const { return Records.size(); }

private:
  struct ClosedItem {
    Time At;
    std::string Id;
  };

  Options Limits;
  std::unordered_map<std::string, Record> Records;
  std::deque<ClosedItem> ClosedOrder;
};

} // namespace goldcrestlink::side

#endif // GOLDCRESTLINK_SIDE_ATTEMPT_LOG_H
