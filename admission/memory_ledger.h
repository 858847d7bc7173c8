// Counts the memory that an engine may come to need for the requests that it
// holds, for engines that crash when it does not suffice. A request that this
// side has granted counts its prompt and its largest output. A request in the
// engine's report that no grant accounts for (sent without asking, sent again,
// or granted before this side was restarted) counts its tokens and the largest
// output still possible.
//
//   MemoryLedger Memory;
//   Memory.onGrant(Request, Prompt, Output);
//   Memory.onReport(Now, Report);
//   if (Memory.committed() + Prompt + Output <= Limit) grant();
#ifndef GOLDCRESTLINK_ADMISSION_MEMORY_LEDGER_H
#define GOLDCRESTLINK_ADMISSION_MEMORY_LEDGER_H

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "admission/engine_report.h"
#include "base/time.h"
#include "catalog/types.h"

namespace goldcrestlink {

/// Not thread-safe. Memory is bounded by the granted requests and by the runs
/// of one report.
class MemoryLedger {
public:
  // Commands.

  void setEngine(const EngineSpec &Spec);
  /// A request of these sizes was asked for. Requests that were not asked for
  /// are taken to be as large as the largest that were.
  void onAsked(uint64_t PromptTokens, uint64_t OutputTokens);
  /// \p Request is a hash of the request's id, as in EngineRun.
  void onGrant(uint64_t Request, uint64_t PromptTokens, uint64_t OutputTokens);
  /// A granted request has ended or was given up. Its memory counts until a
  /// report that is newer.
  void onEnd(Time Now, uint64_t Request, uint64_t PromptTokens,
             uint64_t OutputTokens);
  void onReport(Time Now, const EngineReport &Report);
  /// The engine has started anew.
  void clear();

  // Queries.

  /// Tokens of memory that the requests which the engine holds, and those on
  /// their way to it, may need together.
  uint64_t committed() const { return Granted + Ended + Unasked; }
  /// Those of requests that no grant accounts for.
  uint64_t unasked() const { return Unasked; }
  /// A newer report may show that memory is free.
  bool awaitsReport() const { return Ended > 0; }

private:
  struct Grants {
    // Prompt and largest output, of each request with this hash.
    std::vector<uint64_t> Tokens;
    uint64_t PromptTokens = 0;
    // Runs with this hash that began before the grant.
    size_t RunsBefore = 0;
  };

  uint64_t unaskedOf(const EngineReport &Report);
  /// Output of a run of which nothing but its events is known.
  uint64_t largestRest(uint64_t Events) const;

  uint64_t MemoryTokens = 0;
  uint64_t TokensPerEvent = 1;
  // Of the requests asked for; before the first, an equal part of the memory.
  uint64_t LargestPrompt = 0;
  uint64_t LargestOutput = 0;
  uint64_t EqualPart = 0;
  std::unordered_map<uint64_t, Grants> ByRequest;
  // Runs without a grant in the last report, by request.
  std::unordered_map<uint64_t, size_t> UnaskedRuns;
  uint64_t Granted = 0;
  uint64_t Ended = 0;
  Time EndedAt{};
  uint64_t Unasked = 0;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_ADMISSION_MEMORY_LEDGER_H
