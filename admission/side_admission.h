// The decisions of a side for its engine: which requests may be sent now, which
// wait for an adapter, which adapters are loaded and evicted. The side is the
// only one that gives the engine orders. A state machine without I/O or clocks.
//
//   SideAdmission A(SideAdmission::Options(), Port);
//   A.onReport(N, Report);
//   A.onAsk(N, Ask);            // answered by Port.reply(...), now or later
//   A.onRelease(N, Peer, Id);   // the request has ended
//   A.onTimer(N);
#ifndef GOLDCRESTLINK_ADMISSION_SIDE_ADMISSION_H
#define GOLDCRESTLINK_ADMISSION_SIDE_ADMISSION_H

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/engine_report.h"
#include "admission/load_window.h"
#include "admission/prefill_model.h"
#include "base/line_class.h"
#include "catalog/types.h"

namespace goldcrestlink {

/// A request for admission by an entry.
struct AdmissionAsk {
  /// The entry's connection, opaque.
  std::string Peer;
  /// Unique per entry.
  uint64_t Id = 0;
  std::string Model;
  /// Empty: the base model itself.
  std::string Adapter;
  /// Newest version that the entry knows of; 0 if none was announced.
  uint64_t Version = 0;
  uint32_t Rank = 0;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  /// How long the entry would wait for this side.
  Duration Patience{};
  /// Until the first token is late; may be negative.
  Duration ObjectiveLeft{};
  Duration TimeLeft{};
  /// Only have the adapter loaded; no request is sent.
  bool Prefetch = false;
};

enum class Verdict { Go, Wait, Refuse };

/// The answer to an ask. Wait is followed by Go or Refuse later.
struct AdmissionReply {
  Verdict What = Verdict::Refuse;
  /// The version that the engine holds and the request is to expect; 0 if the
  /// engine names none.
  uint64_t Version = 0;
  /// Go, Wait: expected time to the first token besides the request's own
  /// prompt. Refuse: when to ask again.
  Duration Expected{};
  /// Refuse: another engine may serve the request sooner. False if what it
  /// waits for, an adapter from the store, would take as long elsewhere.
  bool TryElsewhere = true;
  /// For the log, in a word.
  std::string_view Reason;
};

/// Load of one engine as entries see it.
struct EngineLoad {
  /// False while the engine cannot be reached or has no base model.
  bool Serving = false;
  /// Work that stands before a new prompt, by its rank.
  Backlogs Backlog{};
  /// Prompt tokens read per millisecond.
  double PrefillRate = 20;
  /// Share of the engine's time that reading prompts takes.
  double Utilisation = 0;
  uint32_t Running = 0;
  /// Adapters that requests can use at once, by adapterHash().
  std::vector<uint32_t> Held;

  bool operator==(const EngineLoad &) const = default;
};

/// "model/adapter"; an empty adapter names the base model. Thread-safe.
std::string adapterName(std::string_view Model, std::string_view Adapter);

/// Short hash of an adapter for load messages. Thread-safe.
uint32_t adapterHash(std::string_view Model, std::string_view Adapter);

/// What a SideAdmission asks its shell to do.
class SidePort {
public:
  virtual ~SidePort() = default;
  virtual void reply(const AdmissionAsk &To, const AdmissionReply &R) = 0;
  virtual void order(const EngineOrder &O) = 0;
  virtual void log(LineClass Class, std::string Line) = 0;
};

/// Not thread-safe.
class SideAdmission {
public:
  class Options {
  public:
    size_t maxWaiting() const { return MaxWaiting; }
    const LoadWindow::Options &loads() const { return Loads; }
    Duration orderTimeout() const { return OrderTimeout; }
    Duration baseLoadPause() const { return BaseLoadPause; }
    double memoryShare() const { return MemoryShare; }
    Duration releaseSpread() const { return ReleaseSpread; }
    Duration replaceTime() const { return ReplaceTime; }
    uint64_t spreadSeed() const { return SpreadSeed; }
    /// Differs between sides, so that they do not replace an adapter at the
    /// same moment.
    Options &setSpreadSeed(uint64_t Seed) {
      SpreadSeed = Seed;
      return *this;
    }

  private:
    size_t MaxWaiting = 512;
    LoadWindow::Options Loads;
    // An order without an answer may be carried out up to 12 s later; after
    // this time another one with the same count settles which of them holds.
    Duration OrderTimeout = std::chrono::milliseconds(500);
    // At most one load of the base model in this time, so that an engine that
    // keeps crashing does not use up the fleet's loads.
    Duration BaseLoadPause = std::chrono::seconds(2);
    // Share of the engine's memory that granted requests may be expected to
    // need; beyond it the engine would preempt.
    double MemoryShare = 0.92;
    // A side goes over to an announced version at a moment of its own within
    // this time, while others still serve. The platform's bound is 5 s, and
    // what runs on the old version may last more than a second.
    Duration ReleaseSpread = std::chrono::milliseconds(1800);
    // Until the runs on an old version have ended and the new one is loaded.
    Duration ReplaceTime = std::chrono::milliseconds(1200);
    uint64_t SpreadSeed = 0;
  };

  SideAdmission(Options O, SidePort &Port)
      : Opts(O), Port(Port), Loads(O.loads()) {}

  // Commands.

  /// \p Engine is the specification of the engine's service.
  void onConfig(const Time &N, const EngineSpec &Engine);
  /// A newer version of an adapter was announced.
  void onRelease(const Time &N, const WeightRelease &R);
  void onAsk(const Time &N, AdmissionAsk Ask);
  /// A granted or waiting request has ended. \p FirstToken is the time from
  /// its sending to its first token, zero if it had none.
  void onEnd(const Time &N, const std::string &Peer, uint64_t Id,
             Duration FirstToken);
  void onReport(const Time &N, const EngineReport &R);
  /// The engine did not answer.
  void onEngineSilent(const Time &N);
  void onOrderOutcome(const Time &N, uint64_t Number, OrderOutcome Outcome);
  void onTimer(const Time &N);

  // Queries.

  EngineLoad load(const Time &N) const;
  /// True while an answer of the engine is awaited that changes a decision.
  bool awaitsReport() const;
  /// When the next report is worth asking for.
  Time reportDue(const Time &N) const;
  size_t waiting() const { return Queue.size(); }
  size_t granted() const { return Grants.size(); }
  /// The engine's last report, with what later orders changed.
  const EngineReport &report() const { return Report; }
  /// Tokens of memory that granted requests are expected to need.
  uint64_t grantedTokens() const { return TokensGranted; }
  uint64_t loadsOrdered() const { return LoadsOrdered; }
  uint64_t evictions() const { return Evictions; }

private:
  using Key = std::pair<std::string, uint64_t>;

  struct Grant {
    std::string Adapter; // "model/adapter", empty for the base model.
    uint64_t Tokens = 0;
    uint32_t Prompt = 0;
    // It found nothing before it, so its delay tells the engine's rate.
    bool FoundIdle = false;
    Time Granted;
    Time Expires;
  };

  struct Waiting {
    AdmissionAsk Ask;
    Time Since;
    Time Until;
    // Until then the adapter must be there for the first token to be in time.
    Time LoadBy;
  };

  struct Release {
    uint64_t Version = 0;
    // No request is granted on an older version from then on.
    Time RequiredFrom{};
  };

  struct AdapterState {
    uint64_t Version = 0;
    bool Incoming = false;
    Time Ordered{};
    Time LastUsed{};
    uint32_t Pins = 0;
  };

  const HeldModel *baseModel(std::string_view Model) const;
  uint64_t requiredVersion(const Time &N, const std::string &Name) const;
  const AdapterState *held(const std::string &Name) const;
  bool ready(const Time &N, const AdmissionAsk &A) const;
  bool isOutdated(const Time &N, const std::string &Name) const;
  bool hasRoom(const AdmissionAsk &A) const;
  void grant(const Time &N, const AdmissionAsk &A);
  void refuse(const AdmissionAsk &A, Duration Again, bool TryElsewhere,
              std::string_view Reason);
  Duration expectedWait(const Time &N, const AdmissionAsk &A) const;
  void serveQueue(const Time &N);
  void expire(const Time &N);
  void placeOrder(const Time &N);
  bool orderBaseModel(const Time &N);
  bool orderAdapter(const Time &N, const std::string &Model,
                    const std::string &Adapter);
  bool evictOne(const Time &N, const std::string &For);
  void evict(const Time &N, const std::string &Name, std::string_view Why);
  bool dropOutdated(const Time &N);
  void give(const Time &N, OrderKind Kind, const std::string &Model,
            const std::string &Adapter);
  uint32_t slotsUsed() const;
  uint32_t incoming() const;
  bool neededByQueue(const std::string &Name) const;
  std::vector<const AdmissionAsk *> wants(const Time &N) const;
  size_t loadsAhead(const Time &N, const std::string &Name) const;

  Options Opts;
  SidePort &Port;
  EngineSpec Spec;
  bool HasSpec = false;
  std::map<std::string, Release> Released;
  EngineReport Report;
  bool Reachable = false;
  Time ReportedAt{};
  std::map<std::string, AdapterState> Adapters;
  std::map<Key, Grant> Grants;
  std::list<Waiting> Queue;
  std::list<Waiting> Prefetches;
  // The order whose outcome is open, if any.
  std::optional<EngineOrder> Open;
  Time OpenSince{};
  bool OpenAnswered = false;
  uint64_t NextOrder = 1;
  Time NextBaseLoad{};
  Time NoOrderBefore{};
  PrefillModel Prefill;
  LoadWindow Loads;
  uint64_t TokensGranted = 0;
  uint64_t LoadsOrdered = 0;
  uint64_t Evictions = 0;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_SIDE_ADMISSION_H
