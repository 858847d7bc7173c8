// Closed records are deleted in the order in which they were closed, when they
// are too old or too many, so both the memory and the cost of expiry are
// bounded.
#include "side/attempt_log.h"

#include <cassert>

namespace goldcrestlink::side {

void AttemptLog::open(const std::string &Id, std::string Peer) {
  assert(!Records.count(Id));
  Records[Id].Peer = std::move(Peer);
}

void AttemptLog::append(const std::string &Id, wire::AttemptEvent &Event) {
  Record &R = Records.at(Id);
  assert(!R.Closed);
  Event.set_attempt_id(Id);
  Event.set_sequence(R.NextSequence++);
  const size_t Size = Event.data().size() + Event.code().size();
  if (R.Bytes + Size > Limits.maxBytesEach()) {
    R.Truncated = true;
    R.Events.clear();
    R.Bytes = 0;
    return;
  }
  R.Bytes += Size;
  R.Events.push_back(Event);
}

void AttemptLog::close(Time Now, const std::string &Id) {
  Record &R = Records.at(Id);
  assert(!R.Closed);
  R.Closed = true;
  ClosedOrder.push_back({Now, Id});
  expire(Now);
}

void AttemptLog::redirect(const std::string &Id, std::string Peer) {
  Records.at(Id).Peer = std::move(Peer);
}

void AttemptLog::expire(Time Now) {
  while (!ClosedOrder.empty() &&
         (ClosedOrder.size() > Limits.maxClosed() ||
          Now - ClosedOrder.front().At > Limits.keepClosed())) {
    Records.erase(ClosedOrder.front().Id);
    ClosedOrder.pop_front();
  }
}

const AttemptLog::Record *AttemptLog::find(const std::string &Id) const {
  const auto It = Records.find(Id);
  return It == Records.end() ? nullptr : &It->second;
}

} // namespace goldcrestlink::side
