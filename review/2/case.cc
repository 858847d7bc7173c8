// New versions of adapters are announced while the machine of a side stands
// still; it wakes just before the bound.
#include "../runners.h"

using namespace review;

namespace {

constexpr double VersionBound = 5.0;
constexpr double Freeze = 4.9;
constexpr int Adapters = 12;

std::string adapter(int I) { return "a" + std::to_string(I); }

std::string request(const std::string &Id, const std::string &Adapter) {
  return requestText("POST", "/draft/1",
                     {{"Host", "desk.example"},
                      {"Request-Id", Id},
                      {"Request-Deadline", "10000"},
                      {"Model", "m0/" + Adapter},
                      {"Token-Count", "491,8"}},
                     "events=4");
}

} // namespace

int main(int, char **Argv) {
  Testbed Bed(Argv[1]);
  EngineRunner Engine(Bed, "i-engine", "scribe", {Bed.ip(1), 0});
  Json Route = plainRoute("draft", "streaming", "scribe", 10000);
  Route["gap_aim_ms"] = 600;
  Bed.Platform.put("config", "main",
                   {{"version", 1},
                    {"routes", Json::array({Route})},
                    {"services", Json::array({engineService("scribe")})},
                    {"limits", limits()}});
  Engine.registerAs("ready");
  Bed.startSide("side-1", 1, Engine.address(), "scribe");
  Bed.startEntry("front-1", 11);
  Bed.startEntry("front-2", 12);
  Bed.require("the entries are ready",
              [&] { return Bed.isReady("front-1") && Bed.isReady("front-2"); });
  const Address Front = Bed.Fronts.at("front-1");
  for (int I = 1; I <= Adapters; ++I)
    Bed.require("adapter " + adapter(I) + " is served", [&] {
      return call(Front, request("warm-" + adapter(I), adapter(I))).Status ==
             200;
    });
  if (Bed.Trouble) {
    Bed.Log.add("the machine of side-1 freezes");
    Bed.Processes.at("side-1")->signal(SIGSTOP);
  }
  sleepFor(0.1);
  for (int I = 1; I <= Adapters; ++I) {
    Engine.setNewest(adapter(I), 2);
    Bed.Platform.put(
        "versions", "m0." + adapter(I),
        {{"model", "m0"}, {"adapter", adapter(I)}, {"version", 2}});
  }
  const double Announced = now();
  Bed.Log.add("version 2 of all adapters is acknowledged");
  sleepUntil(Announced + Freeze - 0.1);
  if (Bed.Trouble) {
    Bed.Log.add("the machine of side-1 wakes");
    Bed.Processes.at("side-1")->signal(SIGCONT);
  }
  sleepUntil(Announced + VersionBound + 0.1);
  std::vector<std::thread> Callers;
  for (int I = 1; I <= Adapters; ++I)
    Callers.emplace_back([&, I] {
      for (int K = 0; K < 8; ++K) {
        const std::string Id = "late-" + adapter(I) + "-" + std::to_string(K);
        Bed.Log.add("send id=" + Id);
        const Answer A = call(Front, request(Id, adapter(I)));
        Bed.Log.add("answer id=" + Id + " status=" + std::to_string(A.Status) +
                    " version=" + A.Version);
        sleepFor(0.25);
      }
    });
  for (std::thread &T : Callers)
    T.join();
  int Broken = 0;
  for (const Run &R : Engine.runs())
    if (R.RequestId.compare(0, 5, "late-") == 0 && R.Version < 2 &&
        R.At > Announced + VersionBound) {
      ++Broken;
      Bed.Log.add("VERSION broken: id=" + R.RequestId + " began on version " +
                  std::to_string(R.Version) + ", " +
                  std::to_string(R.At - Announced) +
                  " s after the newer one was acknowledged");
    }
  Bed.Log.add("requests on an old version later than 5 s: " +
              std::to_string(Broken));
  return Broken > 0 ? 1 : 0;
}
