// Load generator: sends calls of all kinds at a steady rate through all
// entries; some callers disconnect in the middle of a stream. Reports each call
// and its answer to an oracle.
//
//   Callers Traffic(Entries, Oracle, Seed, CallersOptions());
//   Traffic.setRateFactor(4);
//   Traffic.stop();   // returns once every call has ended
#ifndef GOLDCRESTLINK_SOAK_CALLERS_H
#define GOLDCRESTLINK_SOAK_CALLERS_H

#include <memory>
#include <vector>

#include "http/message.h"
#include "soak/guarantee_oracle.h"

namespace goldcrestlink::soak {

/// Bodies that begin so crash upstreams.
constexpr std::string_view DeadlyBody = "dead";

class CallersOptions {
public:
  double rate() const { return Rate; }
  size_t maxOpen() const { return MaxOpen; }
  Duration deadline() const { return Deadline; }
  Duration gracePeriod() const { return GracePeriod; }
  /// Calls per second.
  CallersOptions &setRate(double PerSecond) {
    Rate = PerSecond;
    return *this;
  }
  /// Calls that fall due while this many are open are skipped. callAndWait() is
  /// not subject to this limit.
  CallersOptions &setMaxOpen(size_t Calls) {
    MaxOpen = Calls;
    return *this;
  }
  /// Time limit that callers send in Request-Deadline.
  CallersOptions &setDeadline(Duration Limit) {
    Deadline = Limit;
    return *this;
  }
  /// How long after the deadline a caller still waits before the call counts as
  /// unanswered.
  CallersOptions &setGracePeriod(Duration Grace) {
    GracePeriod = Grace;
    return *this;
  }

private:
  double Rate = 60;
  size_t MaxOpen = 400;
  Duration Deadline = std::chrono::seconds(8);
  Duration GracePeriod = std::chrono::seconds(6);
};

/// Thread-safe: calls run on a thread owned by this object.
class Callers {
public:
  Callers(std::vector<http::Endpoint> Entries, GuaranteeOracle &Oracle,
          uint64_t Seed, CallersOptions Opts);
  ~Callers();
  /// Later calls are sent at \p Factor times CallersOptions::rate().
  void setRateFactor(double Factor);
  /// Closes the idle connections to this entry, so that later calls open new
  /// ones.
  void dropIdle(size_t Entry);
  /// From now on, one caller repeats the deadly request of this number through
  /// all entries, until stop().
  void startDeadly(size_t Number);
  /// Sends \p Count streams of some seconds at once through \p Entry.
  void sendLongStreams(size_t Entry, size_t Count);
  /// Sends one call of \p Kind through \p Entry and waits until it ends; true
  /// if the answer is complete with status 200.
  bool callAndWait(size_t Entry, CallKind Kind);
  /// Stops sending and waits until every call has ended.
  void stop();

  struct State;

private:
  std::unique_ptr<State> Shared;
};

} // namespace goldcrestlink::soak

#endif // GOLDCRESTLINK_SOAK_CALLERS_H
