// Writes are conditional like all others; a conflict, as when another side
// wrote before, tells the present version, and the next write uses it.
#include "daemon/cell_status.h"

#include <nlohmann/json.hpp>

namespace goldcrestlink {

namespace {
constexpr size_t MaxProcesses = 4096;
constexpr Duration WriteInterval = std::chrono::seconds(10);
constexpr Duration ReportExpiry = std::chrono::seconds(60);
} // namespace

void CellStatus::note(Time N, const wire::ProcessReport &Report) {
  const bool Known = Processes.count(Report.name()) > 0;
  if (Known || Processes.size() < MaxProcesses)
    Processes[Report.name()] = {Report, N};
}

std::string CellStatus::text() const {
  nlohmann::json All = nlohmann::json::array();
  for (const auto &[Name, E] : Processes) {
    const wire::ProcessReport &R = E.Report;
    nlohmann::json One = {{"name", Name},
                          {"role", R.entry() ? "entry" : "side"},
                          {"generation", R.generation()},
                          {"ready", R.ready()},
                          {"running", R.running()},
                          {"waiting", R.waiting()}};
    if (!R.entry()) {
      One["upstream"] = R.upstream();
      One["upstream_down"] = R.upstream_down();
    }
    All.push_back(std::move(One));
  }
  return nlohmann::json{{"cell", Cell}, {"processes", std::move(All)}}.dump();
}

void CellStatus::step(Time N) {
  if (Busy || N < NextWrite)
    return;
  NextWrite = N + WriteInterval;
  std::erase_if(Processes, [&](const auto &Item) {
    return N - Item.second.At > ReportExpiry;
  });
  std::string Body = text();
  if (!Processes.empty() && Body != Written)
    write(std::move(Body));
}

void CellStatus::write(std::string Body) {
  Busy = true;
  Platform.put(objects::cellStatus(Cell), Version, Body,
               [this, Body](ObjectStatus Status, const ObjectValue &V) {
                 Busy = false;
                 // A conflict's answer names the present version.
                 if (Status != ObjectStatus::Unavailable)
                   Version = V.Version;
                 if (Status == ObjectStatus::Ok)
                   Written = Body;
               });
}

} // namespace goldcrestlink
