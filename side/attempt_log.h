// Records the events that a side sent for each attempt, so that an entry can
// request them again after its connection stopped responding. It also records
// the ids of attempts that were denied, so that such an attempt does not
// start if its message arrives late.
//
//   AttemptLog Log(AttemptLog::Options());
//   Log.open(Id, Peer);
//   Log.append(Id, Event);   // sets the sequence number of Event
//   Log.close(Now, Id);      // deleted after keepClosed()
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

/// Not thread-safe. Holds the open records, and at most maxClosed() closed
/// ones.
class AttemptLog {
public:
  class Options {
  public:
    Duration keepClosed() const { return KeepClosed; }
    size_t maxClosed() const { return MaxClosed; }
    size_t maxBytesEach() const { return MaxBytesEach; }
    /// How long a closed record is kept.
    Options &setKeepClosed(Duration Value) {
      KeepClosed = Value;
      return *this;
    }
    Options &setMaxClosed(size_t Value) {
      MaxClosed = Value;
      return *this;
    }
    /// Maximum size of the stored events of one attempt, in bytes.
    Options &setMaxBytesEach(size_t Value) {
      MaxBytesEach = Value;
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
    /// Events were dropped to stay within maxBytesEach().
    bool Truncated = false;
    bool Closed = false;
  };

  explicit AttemptLog(Options O) : Limits(O) {}

  /// Starts a record. Precondition: none exists for this id.
  void open(const std::string &Id, std::string Peer);
  /// Sets the attempt id and the sequence number of \p Event and stores a copy.
  /// An event with which the record would exceed maxBytesEach() is not stored,
  /// and the events stored so far are dropped. Precondition: the record is
  /// open.
  void append(const std::string &Id, wire::AttemptEvent &Event);
  /// Closes a record, which is deleted after keepClosed(). Precondition: the
  /// record is open.
  void close(Time Now, const std::string &Id);
  /// Sets the peer to which later events of the attempt are sent. Precondition:
  /// the record exists.
  void redirect(const std::string &Id, std::string Peer);
  /// Deletes records that were closed more than keepClosed() ago.
  void expire(Time Now);

  /// The record of the attempt, or null. Valid until the next change.
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
