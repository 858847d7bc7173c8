// An entry's knowledge of one side, taken from the side's messages. It may be
// out of date and is never authoritative. Liveness is checked by messages that
// require a reply: if no reply arrives in time, the connection is replaced; if
// no reply arrives on the new connection either, the side counts as
// unreachable. The entry reports each message that it sends or receives, and
// checks the side regularly for the next step to take.
//
//   SideView V;
//   V.setListed(Draining, Gone);
//   if (V.available(Now, Opts)) send(Attempt);
#ifndef GOLDCRESTLINK_ROUTING_SIDE_VIEW_H
#define GOLDCRESTLINK_ROUTING_SIDE_VIEW_H

#include <string>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

/// Not thread-safe.
class SideView {
public:
  class Options {
  public:
    Duration answerTimeout() const { return AnswerTimeout; }
    Duration quietLimit() const { return QuietLimit; }
    Duration downBackoff() const { return DownBackoff; }
    Duration unreachableBackoff() const { return UnreachableBackoff; }
    Options &setAnswerTimeout(Duration NewTimeout) {
      AnswerTimeout = NewTimeout;
      return *this;
    }

  private:
    // Time-out of a message that requires a reply.
    Duration AnswerTimeout = std::chrono::milliseconds(400);
    // Time without a message after which the side is no longer assumed to be
    // alive.
    Duration QuietLimit = std::chrono::seconds(1);
    // Backoff after a side reported that its upstream is down.
    Duration DownBackoff = std::chrono::milliseconds(500);
    // Time between attempts to reach an unreachable side.
    Duration UnreachableBackoff = std::chrono::seconds(1);
  };

  enum class LivenessStep {
    /// Nothing to do.
    Fine,
    /// Attempts are open at the side and no message came for quietLimit(): send
    /// a message that requires a reply.
    Ask,
    /// The connection may be dead: open a new one and send a message on it that
    /// requires a reply.
    Reset,
    /// The new connection got no reply either: the side cannot be reached.
    Unreachable
  };

  /// A message that requires a reply was sent.
  void onRequestSent(Time Now);
  /// A message arrived.
  void onMessage(Time Now);
  /// A message with the side's state arrived.
  void updateState(Time Now, const wire::SideState &State);
  /// Checks how long the side has been silent and returns the step to take.
  /// Records Reset and Unreachable as taken, so that each is returned once per
  /// time-out; Ask is returned until onRequestSent() is called. \p Outstanding
  /// is the number of attempts open at the side.
  LivenessStep checkLiveness(Time Now, const Options &Opts, size_t Outstanding);
  /// Sets whether the published list names the upstream as draining, or no
  /// longer contains it.
  void setListed(bool Draining, bool Gone);

  /// Returns whether new attempts may be sent to the side.
  bool available(Time Now, const Options &Opts) const;
  /// Returns whether the adapter was resident by the last reported state.
  bool resident(uint64_t SlotHash) const { return Resident.count(SlotHash); }
  bool reachable() const { return !IsUnreachable; }
  /// Attempts running or waiting at the side by the last reported state.
  size_t load() const { return Running + Waiting; }
  uint64_t incarnation() const { return Incarnation; }

private:
  std::unordered_set<uint64_t> Resident;
  size_t Running = 0;
  size_t Waiting = 0;
  uint64_t Incarnation = 0;
  bool Draining = false;
  bool ListedDraining = false;
  bool ListedGone = false;
  Time DownSince{};
  bool Down = false;
  Time LastReceived{};
  // When the earliest message was sent that still awaits a reply; zero if none
  // does.
  Time ReplyAwaitedSince{};
  bool WasReset = false;
  bool IsUnreachable = false;
  Time UnreachableSince{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ROUTING_SIDE_VIEW_H
