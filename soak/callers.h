// Callers of all kinds at a steady rate, through all entries; some of them
// leave in the midst of a stream. What they send and see goes to an oracle.
//
//   Callers C(Entries, Oracle, Seed, CallersOptions());
//   C.setRateFactor(4);
//   C.stop();   // returns once every call has ended
#ifndef GOLDCRESTLINK_SOAK_CALLERS_H
#define GOLDCRESTLINK_SOAK_CALLERS_H

#include <memory>
#include <vector>

#include "http/message.h"
#include "soak/promise_oracle.h"

namespace goldcrestlink::soak {

class CallersOptions {
public:
  double rate() const { return Rate; }
  size_t maxOpen() const { return MaxOpen; }
  Duration deadline() const { return Deadline; }
  Duration patience() const { return Patience; }
  /// Calls per second.
  CallersOptions &setRate(double PerSecond) {
    Rate = PerSecond;
    return *this;
  }
  /// Beyond this many open calls none is sent.
  CallersOptions &setMaxOpen(size_t N) {
    MaxOpen = N;
    return *this;
  }
  /// What callers announce as the time that they have.
  CallersOptions &setDeadline(Duration D) {
    Deadline = D;
    return *this;
  }
  /// How much longer they wait before they take a call for unanswered.
  CallersOptions &setPatience(Duration D) {
    Patience = D;
    return *this;
  }

private:
  double Rate = 60;
  size_t MaxOpen = 400;
  Duration Deadline = std::chrono::seconds(8);
  Duration Patience = std::chrono::seconds(6);
};

/// Thread-safe: calls run on a thread of its own.
class Callers {
public:
  Callers(std::vector<http::Endpoint> Entries, PromiseOracle &Judge,
          uint64_t Seed, CallersOptions O);
  ~Callers();
  /// Multiplies the rate from now on.
  void setRateFactor(double Factor);
  /// Calls no longer use the connections to this entry that are idle now.
  void dropIdle(size_t Entry);
  /// Makes one call of \p Kind through \p Entry now and waits for its end;
  /// true if it is served.
  bool isServed(size_t Entry, CallKind Kind);
  /// Sends nothing more and waits until every call has ended.
  void stop();

  struct State;

private:
  std::unique_ptr<State> Shared;
};

} // namespace goldcrestlink::soak

#endif // GOLDCRESTLINK_SOAK_CALLERS_H
