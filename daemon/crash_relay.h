// The part of a side in the exchange of crash reports and quarantine verdicts
// between entries, which are not connected to each other: passes the messages
// of one entry to the others, and keeps the verdicts for entries that start
// later.
//
//   if (auto E = Relay.onMessage(Now, Message)) sendToOthers(*E);
//   if (auto E = Relay.onDigest(Now, Message.digest())) reply(*E);
#ifndef GOLDCRESTLINK_DAEMON_CRASH_RELAY_H
#define GOLDCRESTLINK_DAEMON_CRASH_RELAY_H

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "daemon/crash_codec.h"

namespace goldcrestlink {

/// Not thread-safe. Memory is bounded by the verdicts, MaxReports and
/// MaxRelayedOutputs.
class CrashRelay {
public:
  /// Crash reports that are kept, the latest ones.
  static constexpr size_t MaxReports = 32;

  /// Whether \p Message is for a relay.
  static bool handles(const wire::Envelope &Message);
  /// Processes a message of an entry. Returns the message for the other
  /// entries, if any.
  std::optional<wire::Envelope> onMessage(Time Now,
                                          const wire::Envelope &Message);
  /// Processes an entry's digest. Returns the message for that entry if its
  /// verdicts differ; the entry then sends its own.
  std::optional<wire::Envelope> onDigest(Time Now,
                                         const wire::BeliefRevisions &Digest);
  /// The messages for an entry that may have just started: verdicts, and the
  /// crashes that they do not explain.
  std::vector<wire::Envelope> state(Time Now) const;
  /// To be called at least every few seconds.
  void onTimer(Time Now);

  uint64_t digest() const { return Verdicts.digest(); }
  size_t verdicts() const { return Verdicts.verdictCount(); }

private:
  std::optional<wire::Envelope> relayOutput(Time Now,
                                            const wire::TraitOutput &Message);

  struct StoredReport {
    forward::CrashReport Report;
    Time CrashedAt;
  };
  /// Requests with these traits had output: they did not cause earlier crashes.
  void clearReports(Time Now, const wire::TraitOutput &Message);

  // In the order of arrival.
  std::deque<StoredReport> Reports;
  forward::CrashAttribution Verdicts{forward::CrashAttribution::Options()};
  // When the output of a trait was last passed on.
  std::unordered_map<uint64_t, Time> RelayedOutputs;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CRASH_RELAY_H
