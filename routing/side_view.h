// What an entry knows of one side: learnt from replies, never authoritative.
// Liveness is judged by questions: a message that wants an answer and gets
// none first costs the connection, then the side's reputation.
//
//   SideView V;
//   V.asked(Now);                       // a message that wants an answer left
//   V.heard(Now, State);                // anything came back
//   switch (V.judge(Now)) { case Verdict::Reset: ... }
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
    Duration downPause() const { return DownPause; }
    Duration unreachablePause() const { return UnreachablePause; }
    Options &setAnswerTimeout(Duration D) {
      AnswerTimeout = D;
      return *this;
    }

  private:
    Duration AnswerTimeout = std::chrono::milliseconds(400);
    Duration QuietLimit = std::chrono::seconds(1);
    Duration DownPause = std::chrono::milliseconds(500);
    Duration UnreachablePause = std::chrono::seconds(1);
  };

  enum class Verdict {
    Fine,
    /// Work is out and nothing was heard for a while: ask.
    Ask,
    /// The connection may be silent: open another and ask on it.
    Reset,
    /// A second connection was silent too: the side cannot be reached now.
    Unreachable
  };

  /// A message that wants an answer was sent.
  void asked(Time N);
  /// A message came.
  void heard(Time N);
  /// A message carried the side's state.
  void learn(Time N, const wire::SideState &State);
  /// Judges the silence, and takes the judged step: each verdict but Fine is
  /// given once per step. \p Outstanding attempts are open at the side.
  Verdict judge(Time N, const Options &O, size_t Outstanding);
  void setListed(bool Leaving, bool Gone);

  /// True if new work may be sent.
  bool available(Time N, const Options &O) const;
  bool resident(uint64_t SlotHash) const { return Resident.count(SlotHash); }
  bool reachable() const { return !IsUnreachable; }
  /// Attempts that were running or waiting there when last heard of.
  size_t load() const { return Running + Waiting; }
  uint64_t incarnation() const { return Incarnation; }

private:
  std::unordered_set<uint64_t> Resident;
  size_t Running = 0;
  size_t Waiting = 0;
  uint64_t Incarnation = 0;
  bool Leaving = false;
  bool ListedLeaving = false;
  bool ListedGone = false;
  Time DownSince{};
  bool Down = false;
  Time LastHeard{};
  // Time of the earliest question without an answer since; none if zero.
  Time AskedAt{};
  bool WasReset = false;
  bool IsUnreachable = false;
  Time UnreachableSince{};
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ROUTING_SIDE_VIEW_H
