// All places of the model runners are taken by long streams when an entry gets
// SIGTERM. Requests that it reads within the next two seconds wait for a place.
// Each of them has to be answered, be it with a refusal.
#include "../bed-2.h"

using namespace bed;

namespace {
constexpr int EngineCount = 4;
constexpr int LongStreams = 32 * EngineCount;
constexpr int Waiting = 10;

// Like cellar-history of the sheet: 2 s to the first event, 8 s in all.
constexpr const char *ReviewRoute =
    R"(,{"name":"r-review","host":"h.example","path_prefix":"/review/",)"
    R"("kind":"streaming","timeout_ms":8000,"goal_ms":2000,"priority":2,)"
    R"("service":"huvo11a","max_attempts":1,"sticky":true,)"
    R"("can_resume":false,"gap_aim_ms":600})";
} // namespace

int main() {
  Bed B("review/8/record.txt");
  std::vector<std::unique_ptr<Engine>> Engines;
  for (int I = 1; I <= EngineCount; ++I)
    Engines.push_back(
        std::make_unique<Engine>(B, "i-e" + std::to_string(I), "huvo11a",
                                 "127.0.14." + std::to_string(I)));
  B.Store.put("config", "main", configText(1, ReviewRoute));
  for (const auto &E : Engines) {
    E->announce();
    B.startSide("side-" + E->Id, E->address(), "huvo11a");
  }
  B.startEntry("entry-1", "127.0.12.1");
  B.startEntry("entry-2", "127.0.12.2");
  const Address Stopped{"127.0.12.1", B.FrontPort};
  const Address Other{"127.0.12.2", B.FrontPort};
  std::atomic<int> Sent{0};
  const auto IsServed = [&](const Address &Front, const std::string &Adapter) {
    return call(
               Front,
               modelRequest("w" + std::to_string(++Sent), "/stream/x", Adapter),
               8000)
               .Status == 200;
  };
  if (!eventually(20000, [&] { return IsServed(Stopped, "a1"); }) ||
      !eventually(20000, [&] { return IsServed(Other, "a1"); }))
    B.finish(2, "no stream was served");
  sleepMs(3500);

  // Long streams at the other entry, each within its route's time.
  for (const auto &E : Engines) {
    E->Events = 20;
    E->GapMs = 550;
  }
  std::vector<std::thread> Clients;
  std::atomic<int> Long{0};
  for (int I = 0; I < LongStreams; ++I) {
    Clients.emplace_back([&, I] {
      B.Log.line("client: l" + std::to_string(I) + " is sent");
      const Answer A =
          call(Other,
               modelRequest("l" + std::to_string(I), "/stream/x", "a1", 12000),
               12500);
      B.Log.line("client: l" + std::to_string(I) + " gets " +
                 std::to_string(A.Status) + (A.Whole ? "" : ", not whole"));
      Long += A.Status == 200 && A.Whole;
    });
    sleepMs(12);
  }
  if (B.Trouble)
    B.send("entry-1", SIGTERM);
  const double Begin = now();
  std::atomic<int> Lost{0};
  std::atomic<int> Answered{0};
  for (int I = 0; I < Waiting; ++I) {
    sleepMs(220);
    Clients.emplace_back([&, I] {
      const std::string Id = "q" + std::to_string(I);
      const ConnectionPtr C = connectTo(Stopped);
      if (!C)
        return;
      B.Log.line("client: " + Id + " is sent");
      const Answer A =
          exchange(*C, modelRequest(Id, "/review/x", "a1", 8000), 9000);
      B.Log.line("client: " + Id + " gets " + std::to_string(A.Status) +
                 (A.Whole ? "" : ", not whole") + " after " +
                 std::to_string(static_cast<int>(A.TookMs)) + " ms, " +
                 std::to_string(static_cast<int>(now() - Begin)) +
                 " ms after SIGTERM");
      bool Ran = false;
      for (const auto &E : Engines)
        for (const Run &R : E->runs())
          Ran |= R.Id == Id;
      // Not counted: its runner was still at work, or its deadline and its
      // route's time of 8 s were reached.
      Lost += !A.Whole && !Ran && A.TookMs < 7900;
      Answered += A.Whole;
    });
  }
  for (std::thread &T : Clients)
    T.join();
  if (Long < LongStreams / 2)
    B.finish(2, "only " + std::to_string(Long) + " long streams ran");
  B.finish(Lost > 0 ? 1 : 0,
           std::to_string(Lost) + " requests that were read ended with a " +
               "closed connection, " + std::to_string(Answered) +
               " were answered; " + std::to_string(Long) + " long streams ran");
}
