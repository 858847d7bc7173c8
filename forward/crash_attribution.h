// Attributes crashes of upstreams to a property that requests share, such as a
// part of their prompts, and decides which properties are quarantined. An
// upstream that crashes on a property does so before it produces output, so
// only requests without output are suspect, and any output of a request clears
// its properties.
//
//   CrashAttribution A((CrashAttribution::Options()));
//   A.onOutput(Now, Traits);                 // a request has produced output
//   auto Result = A.onCrash(Now, Report);    // Result.Quarantined
//   Quarantined = A.settle(Now, Traits);     // a request arrives
//   if (A.checkQuarantine(Now, Traits)) reject();
//   A.merge(Now, Peer.verdicts(Now));        // exchange between processes
#ifndef GOLDCRESTLINK_FORWARD_CRASH_ATTRIBUTION_H
#define GOLDCRESTLINK_FORWARD_CRASH_ATTRIBUTION_H

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "forward/request_traits.h"

namespace goldcrestlink::forward {

/// The requests without output that were lost when an upstream crashed.
struct CrashReport {
  /// Hash of the id of the upstream.
  uint64_t Upstream = 0;
  /// Time since the crash.
  Duration Age{};
  /// The traits of these requests.
  std::vector<RequestTrait> Traits;
};

/// The last output of requests with a trait.
struct TraitOutput {
  RequestTrait Trait;
  /// Time since the output.
  Duration Age{};
};

/// Whether a trait is quarantined.
struct TraitVerdict {
  uint64_t Trait = 0;
  /// Incremented by each change of Quarantined; the higher version wins.
  uint32_t Version = 0;
  /// False once a quarantine has been lifted.
  bool Quarantined = false;
  /// Time until the verdict expires.
  Duration Remaining{};
};

/// Not thread-safe. Memory is bounded by the limits in Options.
class CrashAttribution {
public:
  class Options {
  public:
    size_t crashesToQuarantine() const { return CrashesToQuarantine; }
    size_t crashesToQuarantineShared() const {
      return CrashesToQuarantineShared;
    }
    Duration quarantineTime() const { return QuarantineTime; }
    Duration suspicionTime() const { return SuspicionTime; }
    Duration recentOutput() const { return RecentOutput; }
    Duration sameCrash() const { return SameCrash; }
    Duration sameEvent() const { return SameEvent; }
    Duration reportDelay() const { return ReportDelay; }
    size_t maxSuspects() const { return MaxSuspects; }
    size_t maxVerdicts() const { return MaxVerdicts; }
    size_t maxOutputs() const { return MaxOutputs; }
    Options &setMaxSuspects(size_t Count) {
      MaxSuspects = Count;
      return *this;
    }
    Options &setMaxVerdicts(size_t Count) {
      MaxVerdicts = Count;
      return *this;
    }
    Options &setMaxOutputs(size_t Count) {
      MaxOutputs = Count;
      return *this;
    }

  private:
    // A request that was lost in two crashes by coincidence is not unusual when
    // a rack fails.
    size_t CrashesToQuarantine = 3;
    // For a trait with recent output, or while a likelier cause has been in two
    // crashes. The platform counts requests after the fifth crash.
    size_t CrashesToQuarantineShared = 5;
    // Since the last request with the trait.
    Duration QuarantineTime = std::chrono::minutes(10);
    // Since the last crash of the trait.
    Duration SuspicionTime = std::chrono::minutes(10);
    // A trait that produced output this long before its last crash is spared
    // until it has been in as many crashes as a shared one.
    Duration RecentOutput = std::chrono::seconds(1);
    // Reports on one upstream with less time between their crashes are about
    // the same crash; an upstream takes longer to restart.
    Duration SameCrash = std::chrono::milliseconds(1500);
    // Upstreams that crash within this time may have failed together, such as
    // with their rack. Their crashes count as one if an upstream was among them
    // that crashed without the trait, and always for a first part, which all
    // requests of a route may share.
    Duration SameEvent = std::chrono::milliseconds(50);
    // Until this long after a crash, other entries may still report requests
    // that they lost in it. A report passes through one side.
    Duration ReportDelay = std::chrono::milliseconds(100);
    size_t MaxSuspects = 4096;
    size_t MaxVerdicts = 1024;
    // Traits whose last output is remembered; at least half of these are.
    size_t MaxOutputs = 8192;
  };

  /// What a crash report has changed.
  struct Result {
    /// Traits that are quarantined from now on.
    std::vector<uint64_t> Quarantined;
    /// Traits of the report that have recently produced output.
    std::vector<TraitOutput> Cleared;
  };

  explicit CrashAttribution(Options O) : Opts(O) {}

  // Commands.

  /// A request with these traits has produced output. Returns the traits that
  /// were suspect or quarantined until now.
  std::vector<RequestTrait> onOutput(Time Now,
                                     std::span<const RequestTrait> Traits);
  /// Another process knows of these outputs. They clear what is older.
  void onOutputReport(Time Now, std::span<const TraitOutput> Outputs);
  Result onCrash(Time Now, const CrashReport &Report);
  /// Takes the verdicts on \p Traits that could not be taken when they crashed
  /// upstreams last, because another trait was as suspect. Returns the traits
  /// that are quarantined from now on.
  std::vector<uint64_t> settle(Time Now, std::span<const RequestTrait> Traits);
  /// Returns whether one of \p Traits is quarantined, and prolongs the
  /// quarantine if so.
  bool checkQuarantine(Time Now, std::span<const RequestTrait> Traits);
  /// Adopts the newer ones of another process's verdicts, but lifts the
  /// quarantine of a trait that has recently had output here. Returns the
  /// traits that are quarantined from now on.
  std::vector<uint64_t> merge(Time Now, std::span<const TraitVerdict> Theirs);
  /// Removes expired state. To be called at least every few seconds.
  void expire(Time Now);

  // Queries.

  bool isQuarantined(uint64_t Trait) const;
  /// Whether one of \p Traits, or another one that was lost in the same
  /// crashes, must be quarantined, and it is not known yet which.
  bool isContested(Time Now, std::span<const RequestTrait> Traits) const;
  /// All verdicts, also those that lift a quarantine.
  std::vector<TraitVerdict> verdicts(Time Now) const;
  /// Equal in processes with the same verdicts; 0 if there are none.
  uint64_t digest() const { return Digest; }
  size_t suspects() const { return Suspects.size(); }
  size_t verdictCount() const { return Verdicts.size(); }
  /// The longest time until a quarantine expires.
  Duration quarantineTime() const { return Opts.quarantineTime(); }

private:
  struct Crash {
    uint64_t Upstream = 0;
    Time At;
  };
  struct Suspect {
    uint8_t Depth = 0;
    std::vector<Crash> Crashes;
    Time UpdatedAt;
  };
  struct StoredVerdict {
    uint32_t Version = 0;
    bool Quarantined = false;
    Time DecidedAt;
    Time ExpiresAt;
  };
  using Outputs = std::unordered_map<uint64_t, Time>;

  /// Requests with the trait had output at \p At. Returns whether that cleared
  /// a suspicion or quarantine.
  bool clear(Time Now, uint64_t Trait, Time At);
  bool isSameCrash(const Crash &A, const Crash &B) const;
  /// Whether the trait had output shortly before the time \p At.
  bool hadOutputBefore(uint64_t Trait, Time At) const;
  /// Whether the trait has been in enough crashes, apart from other suspects.
  bool isSuspectEnough(const RequestTrait &Trait) const;
  void addCrash(Time Now, const RequestTrait &Trait, const Crash &C);
  /// The time of the last output of the trait; Time::min() if not remembered.
  Time lastOutput(uint64_t Trait) const;
  /// Crashes of the trait, with those that may have one other cause as one.
  size_t crashCount(uint64_t Trait) const;
  /// \p Separate: crashes at about the same time always count as one.
  size_t countCrashes(const Suspect &S, bool Separate) const;
  /// Whether an upstream crashed without the trait at about the time of \p C.
  bool crashedWithout(const Suspect &S, const Crash &C) const;
  bool isLikelierCause(const RequestTrait &A, const RequestTrait &B) const;
  bool areEquallyLikely(const RequestTrait &A, const RequestTrait &B) const;
  size_t crashesInCommon(const Suspect &A, const Suspect &B) const;
  /// Whether a trait that is as likely a cause has been in as many crashes as
  /// \p Trait, most of them the same.
  bool hasRival(Time Now, const RequestTrait &Trait) const;
  /// The likeliest cause of crashes among \p Traits, if one has been in enough
  /// of them; null otherwise.
  const RequestTrait *mostSuspect(Time Now,
                                  std::span<const RequestTrait> Traits) const;
  /// Removes \p Crashes, which \p Cause has caused, from all suspects but
  /// those that have to be quarantined as well.
  void explain(const std::vector<Crash> &Crashes, const RequestTrait &Cause);
  void setVerdict(uint64_t Trait, const StoredVerdict &New);
  void makeRoomForSuspects();
  void updateDigest();

  Options Opts;
  std::unordered_map<uint64_t, Suspect> Suspects;
  // The latest crashes, whatever their traits.
  std::deque<Crash> Observed;
  std::map<uint64_t, StoredVerdict> Verdicts;
  // Times of the last output. When Recent is full it replaces Older.
  Outputs Recent;
  Outputs Older;
  uint64_t Digest = 0;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_CRASH_ATTRIBUTION_H
