// Simulation of several entries and relays that lose messages and restart,
// while upstreams crash on some prompt parts: the crashes are bounded over all
// entries, and requests without these parts are not rejected.
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include "base/random.h"
#include "daemon/catalog_codec.h"
#include "daemon/crash_relay.h"
#include "forward/crash_detector.h"

using namespace goldcrestlink;
using namespace goldcrestlink::forward;

namespace {

constexpr int64_t RunMs = 30000;
constexpr int64_t ContactMs = 3000;
constexpr int64_t UpstreamDownMs = 3000;
constexpr size_t Relays = 6;
// Hashes of whole requests; those below the second are deadly.
constexpr uint64_t FirstDeadlyRequest = 500;
constexpr uint64_t FirstSoundRequest = 1000;
// Times that a caller repeats a request that was lost.
constexpr int MaxRepeats = 3;
// Times that a caller comes back after a refusal, and how soon.
constexpr int MaxRefusals = 10;
constexpr int64_t RetryAfterMs = 300;

Time at(int64_t Ms) { return Time(std::chrono::milliseconds(100000 + Ms)); }

struct Scenario {
  const char *Name;
  size_t Entries;
  /// Requests per second, and how many of 1000 have one of the deadly parts.
  int Rate;
  int DeadlyPerMille;
  int DeadlyParts;
  /// Messages lost, in percent.
  int Loss;
  /// Mean interval between restarts of an entry and of a relay; 0: none.
  int64_t RestartMs;
  /// Upstreams that crash at once for another reason, every ten seconds.
  size_t OtherCrashes;
  /// Until then the deadly parts are sound, and in use.
  int64_t DeadlyFromMs = 0;
  size_t Upstreams = 18;
  /// Requests without a prompt that crash upstreams, instead of deadly parts.
  /// They come again and again. Callers repeat requests that are lost.
  int DeadlyRequests = 0;
  /// Of an upstream; other requests wait or are refused.
  size_t Slots = 1000;
};

class Simulation {
public:
  Simulation(const Scenario &InScenario, uint64_t Seed)
      : S(InScenario), Rand(Seed), EntryList(S.Entries), Side(Relays),
        DownUntil(S.Upstreams, 0) {
    for (size_t I = 0; I < S.Entries; ++I)
      restartEntry(I, -ContactMs);
    for (auto &R : Side)
      R = std::make_unique<CrashRelay>();
  }

  void run() {
    for (Now = 0; Now < RunMs; ++Now) {
      for (auto It = Due.begin(); It != Due.end() && It->first <= Now;
           It = Due.begin()) {
        const std::function<void()> Action = std::move(It->second);
        Due.erase(It);
        Action();
      }
      if (Rand.below(1000) < static_cast<uint64_t>(S.Rate))
        newRequest();
      if (Now % 1000 == 0)
        exchangeDigests();
      if (S.RestartMs > 0 &&
          Rand.below(static_cast<uint64_t>(S.RestartMs)) == 0)
        restartEntry(Rand.below(S.Entries), Now);
      if (S.RestartMs > 0 &&
          Rand.below(static_cast<uint64_t>(S.RestartMs)) == 0)
        Side[Rand.below(Relays)] = std::make_unique<CrashRelay>();
      if (Now % 10000 == 5000)
        for (size_t I = 0; I < S.OtherCrashes; ++I)
          crash(Rand.below(S.Upstreams));
    }
  }

  // Deadly requests that entries in touch have sent later than ContactMs after
  // the fifth crash.
  int LateDeadly = 0;
  int DeadlyCrashes = 0;
  // Sound requests later than twice that time.
  int LateSound = 0;
  int LateSoundRejected = 0;
  // For each repeated deadly request, what entries in touch have sent later
  // than ContactMs after its third crash.
  std::map<uint64_t, int> LateRepeats;
  int Sound = 0;
  int SoundRejected = 0;

private:
  struct Request {
    size_t Entry;
    uint64_t EntryStart;
    std::vector<RequestTrait> Traits;
    bool Deadly;
    int Repeats = 0;
    int Refusals = 0;
  };
  struct Repeated {
    int Crashes = 0;
    int64_t ThirdCrashAt = -1;
  };
  struct Entry {
    std::unique_ptr<CrashAttribution> Crashes;
    CrashDetector Detector;
    int64_t StartedAt = 0;
    uint64_t Start = 0;
  };

  void later(int64_t Delay, std::function<void()> Action) {
    Due.emplace(Now + Delay, std::move(Action));
  }
  bool lost() { return Rand.below(100) < static_cast<uint64_t>(S.Loss); }
  int64_t delay() { return 1 + static_cast<int64_t>(Rand.below(5)); }

  void restartEntry(size_t I, int64_t When) {
    Entry &E = EntryList[I];
    E.Crashes = std::make_unique<CrashAttribution>(CrashAttribution::Options());
    E.Detector = CrashDetector();
    E.StartedAt = When;
    ++E.Start;
  }

  void newRequest() {
    Request R;
    R.Deadly = Rand.below(1000) < static_cast<uint64_t>(S.DeadlyPerMille);
    if (S.DeadlyRequests > 0) {
      const uint64_t Own =
          R.Deadly ? FirstDeadlyRequest +
                         Rand.below(static_cast<uint64_t>(S.DeadlyRequests))
                   : FirstSoundRequest + ++LastOwn;
      R.Traits = {{Own, RequestTrait::WholeRequest}};
      return place(std::move(R));
    }
    // The first part is common; deadly requests share the middle parts of
    // sound ones as well.
    R.Traits = {{1, 0}, {100 + Rand.below(200), 1}};
    if (R.Deadly)
      R.Traits.push_back(
          {10 + Rand.below(static_cast<uint64_t>(S.DeadlyParts)), 2});
    R.Traits.push_back(
        {FirstSoundRequest + ++LastOwn, RequestTrait::WholeRequest});
    place(std::move(R));
  }

  void place(Request R) {
    R.Entry = Rand.below(S.Entries);
    Entry &E = EntryList[R.Entry];
    R.EntryStart = E.Start;
    CrashAttribution::Result Settled;
    Settled.Quarantined = E.Crashes->settle(at(Now), R.Traits);
    onNewVerdicts(R.Entry, Settled);
    const bool Rejected = E.Crashes->checkQuarantine(at(Now), R.Traits);
    Sound += !R.Deadly;
    SoundRejected += !R.Deadly && Rejected;
    if (Now > std::max<int64_t>(0, FifthCrashAt) + 2 * ContactMs && !R.Deadly) {
      ++LateSound;
      LateSoundRejected += Rejected;
    }
    if (Rejected)
      return;
    const bool Contested = E.Crashes->isContested(at(Now), R.Traits);
    if (Contested && isIsolating(R.Entry))
      return;
    size_t U = Rand.below(S.Upstreams);
    for (size_t I = 0; I < S.Upstreams && !takes(U); ++I)
      U = (U + 1) % S.Upstreams;
    if (!takes(U)) {
      if (S.DeadlyRequests > 0 && ++R.Refusals <= MaxRefusals)
        later(RetryAfterMs, [this, Again = std::move(R)]() mutable {
          place(std::move(Again));
        });
      return;
    }
    if (R.Deadly && Now - E.StartedAt > ContactMs) {
      if (FifthCrashAt >= 0 && Now > FifthCrashAt + ContactMs)
        ++LateDeadly;
      if (const Repeated &D = DeadlyRequests[R.Traits.back().Hash];
          D.ThirdCrashAt >= 0 && Now > D.ThirdCrashAt + ContactMs)
        ++LateRepeats[R.Traits.back().Hash];
    }
    const uint64_t Id = ++LastId;
    Running[U][Id] = std::move(R);
    later(60 + static_cast<int64_t>(Rand.below(150)),
          [this, U, Id] { begin(U, Id); });
  }

  bool takes(size_t U) {
    return DownUntil[U] <= Now && Running[U].size() < S.Slots;
  }

  // Whether an equally suspect request of the entry is in progress.
  bool isIsolating(size_t I) {
    const Entry &E = EntryList[I];
    for (const auto &[U, Requests] : Running)
      for (const auto &[Id, R] : Requests)
        if (R.Entry == I && R.EntryStart == E.Start &&
            E.Crashes->isContested(at(Now), R.Traits))
          return true;
    return false;
  }

  // The upstream begins to write the answer of a request.
  void begin(size_t U, uint64_t Id) {
    const auto It = Running[U].find(Id);
    if (It == Running[U].end())
      return;
    if (It->second.Deadly && Now >= S.DeadlyFromMs) {
      if (++DeadlyCrashes == 5)
        FifthCrashAt = Now;
      if (Repeated &D = DeadlyRequests[It->second.Traits.back().Hash];
          ++D.Crashes == 3)
        D.ThirdCrashAt = Now;
      return crash(U);
    }
    const Request R = std::move(It->second);
    Running[U].erase(It);
    Entry &E = EntryList[R.Entry];
    if (E.Start != R.EntryStart)
      return;
    std::vector<TraitOutput> Outputs;
    for (const RequestTrait &T : E.Crashes->onOutput(at(Now), R.Traits))
      Outputs.push_back({T, Duration(0)});
    if (!Outputs.empty())
      sendToRelays(R.Entry, encodeOutput(Outputs));
  }

  void crash(size_t U) {
    DownUntil[U] = Now + UpstreamDownMs;
    for (const auto &[Id, R] : std::map<uint64_t, Request>(Running[U])) {
      Entry &E = EntryList[R.Entry];
      if (S.DeadlyRequests > 0 && R.Repeats < MaxRepeats)
        later(2 + static_cast<int64_t>(Rand.below(50)),
              [this, Again = R]() mutable {
                ++Again.Repeats;
                place(std::move(Again));
              });
      if (E.Start != R.EntryStart)
        continue;
      UpstreamRecord Crashed;
      Crashed.Id = std::to_string(U);
      if (E.Detector.onBroken(at(Now), Crashed, R.Traits))
        later(2, [this, I = R.Entry, U] { onProbe(I, U); });
    }
    Running[U].clear();
  }

  void onProbe(size_t I, size_t U) {
    Entry &E = EntryList[I];
    const auto Report =
        E.Detector.onProbe(at(Now), std::to_string(U), ProbeResult::Refused);
    if (!Report)
      return;
    const CrashAttribution::Result Result =
        E.Crashes->onCrash(at(Now), *Report);
    sendToRelays(I, encodeCrashReport(*Report));
    onNewVerdicts(I, Result);
  }

  void onNewVerdicts(size_t I, const CrashAttribution::Result &Result) {
    const CrashAttribution &A = *EntryList[I].Crashes;
    if (Result.Quarantined.empty())
      return;
    sendToRelays(I, encodeVerdicts(A.verdicts(at(Now)), A.digest()));
    cancelQuarantined(I);
  }

  // An entry ends its requests without output that are quarantined.
  void cancelQuarantined(size_t I) {
    Entry &E = EntryList[I];
    for (auto &[U, Requests] : Running)
      std::erase_if(Requests, [&](const auto &Item) {
        return Item.second.Entry == I && Item.second.EntryStart == E.Start &&
               E.Crashes->checkQuarantine(at(Now), Item.second.Traits);
      });
  }

  void sendToRelays(size_t From, const wire::Envelope &Message) {
    for (int I = 0; I < 3; ++I)
      sendToRelay(From, Rand.below(Relays), Message);
  }

  void sendToRelay(size_t From, size_t R, const wire::Envelope &Message) {
    if (lost())
      return;
    later(delay(), [this, From, R, Message] {
      const auto ToOthers = Side[R]->onMessage(at(Now), Message);
      for (size_t I = 0; ToOthers && I < S.Entries; ++I)
        if (I != From)
          sendToEntry(R, I, *ToOthers);
    });
  }

  void sendToEntry(size_t R, size_t I, const wire::Envelope &Message) {
    if (lost())
      return;
    later(delay(), [this, R, I, Message] {
      CrashAttribution &A = *EntryList[I].Crashes;
      if (Message.has_crash_report()) {
        const auto Result =
            A.onCrash(at(Now), decodeCrashReport(Message.crash_report()));
        if (!Result.Cleared.empty())
          sendToRelay(I, R, encodeOutput(Result.Cleared));
        onNewVerdicts(I, Result);
      } else if (Message.has_trait_output()) {
        A.onOutputReport(at(Now), decodeOutput(Message.trait_output()));
      } else if (Message.has_trait_verdicts()) {
        A.merge(at(Now), decodeVerdicts(Message.trait_verdicts()));
        cancelQuarantined(I);
        if (Message.trait_verdicts().digest() != A.digest())
          sendToRelay(I, R, encodeVerdicts(A.verdicts(at(Now)), A.digest()));
      }
    });
  }

  void exchangeDigests() {
    for (size_t I = 0; I < S.Entries; ++I)
      for (size_t R = 0; R < Relays; ++R) {
        const wire::Envelope Digest =
            encodeDigest(CatalogRevisions(), EntryList[I].Crashes->digest());
        if (const auto Reply = Side[R]->onDigest(at(Now), Digest.digest()))
          sendToEntry(R, I, *Reply);
      }
  }

  const Scenario &S;
  Random Rand;
  int64_t Now = 0;
  std::multimap<int64_t, std::function<void()>> Due;
  std::vector<Entry> EntryList;
  std::vector<std::unique_ptr<CrashRelay>> Side;
  std::vector<int64_t> DownUntil;
  std::map<size_t, std::map<uint64_t, Request>> Running;
  std::map<uint64_t, Repeated> DeadlyRequests;
  int64_t FifthCrashAt = -1;
  uint64_t LastId = 0;
  uint64_t LastOwn = 0;
};

} // namespace

TEST_CASE(
    "crashes by requests are bounded over all entries, and sound requests "
    "are served") {
  const Scenario Scenarios[] = {
      {"one part, often", 4, 250, 50, 1, 0, 0, 0},
      {"one part, rarely", 4, 250, 4, 1, 0, 0, 0},
      {"most requests", 4, 250, 600, 1, 0, 0, 0},
      {"three parts", 4, 250, 50, 3, 0, 0, 0},
      {"lost messages", 4, 250, 50, 1, 30, 0, 0},
      {"restarts", 4, 250, 50, 1, 0, 3000, 0},
      {"restarts, lost messages and other crashes", 11, 250, 50, 1, 20, 3000,
       6},
      {"other crashes only", 11, 250, 0, 1, 0, 0, 6},
      {"other crashes only, lost messages and many restarts", 11, 250, 0, 1, 20,
       500, 10},
      {"a part in use becomes deadly", 4, 250, 50, 1, 0, 0, 0, 8000},
      {"a part in use becomes deadly, lost messages and restarts", 11, 250, 50,
       1, 20, 3000, 6, 8000},
  };
  for (const Scenario &S : Scenarios)
    for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
      CAPTURE(std::string(S.Name));
      CAPTURE(Seed);
      Simulation Run(S, Seed);
      Run.run();
      // The platform's bounds: three requests for each part, and half of the
      // sound ones.
      CHECK(Run.LateDeadly <= 3 * S.DeadlyParts);
      CHECK(Run.LateSoundRejected * 2 <= Run.LateSound);
      // No sound request has only parts that are lost in every crash.
      CHECK(Run.LateSoundRejected * 100 <= Run.LateSound);
      if (S.DeadlyPerMille == 0)
        CHECK(Run.DeadlyCrashes == 0);
    }
}

TEST_CASE("crashes by repeated requests are bounded over all entries, and "
          "requests lost beside them are served") {
  const auto Row = [](const char *Name, size_t Entries, int DeadlyRequests,
                      int Loss, int64_t RestartMs, size_t Upstreams) {
    Scenario S{Name, Entries, 80, 60, 1, Loss, RestartMs, 0};
    S.Upstreams = Upstreams;
    S.DeadlyRequests = DeadlyRequests;
    S.Slots = 6;
    return S;
  };
  const Scenario Scenarios[] = {
      Row("one request, three upstreams", 4, 1, 0, 0, 3),
      Row("one request, one upstream", 4, 1, 0, 0, 1),
      Row("three requests, three upstreams", 4, 3, 0, 0, 3),
      Row("three requests, many entries", 11, 3, 0, 0, 3),
      Row("lost messages", 4, 2, 20, 0, 3),
      Row("restarts", 4, 2, 0, 3000, 3),
  };
  for (const Scenario &S : Scenarios)
    for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
      CAPTURE(std::string(S.Name));
      CAPTURE(Seed);
      Simulation Run(S, Seed);
      Run.run();
      // The platform's bound.
      for (const auto &[Hash, Late] : Run.LateRepeats)
        CHECK(Late <= 3);
      CHECK(Run.SoundRejected * 100 <= Run.Sound);
    }
}
