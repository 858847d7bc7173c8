// Writes are conditional on the object's version. A conflict, for example after
// another side has written the object, returns the current version, which the
// next write uses.
#include "daemon/cell_status.h"

#include <nlohmann/json.hpp>

namespace goldcrestlink {

namespace {
constexpr size_t MaxProcesses = 4096;
constexpr Duration WriteInterval = std::chrono::seconds(10);
constexpr Duration ReportExpiry = std::chrono::seconds(60);
} // namespace

void CellStatus::record(Time Now, const wire::ProcessReport &Report) {
  const bool Known = Processes.count(Report.name()) > 0;
  if (Known || Processes.size() < MaxProcesses)
    Processes[Report.name()] = {Report, Now};
}

std::string CellStatus::text() const {
  nlohmann::json ProcessList = nlohmann::json::array();
  for (const auto &[Name, Received] : Processes) {
    const wire::ProcessReport &R = Received.Report;
    nlohmann::json Item = {{"name", Name},
                           {"role", R.entry() ? "entry" : "side"},
                           {"generation", R.generation()},
                           {"ready", R.ready()},
                           {"running", R.running()},
                           {"waiting", R.waiting()}};
    if (!R.entry()) {
      Item["upstream"] = R.upstream();
      Item["upstream_down"] = R.upstream_down();
    }
    ProcessList.push_back(std::move(Item));
  }
  return nlohmann::json{{"cell", Cell}, {"processes", std::move(ProcessList)}}
      .dump();
}

void CellStatus::step(Time Now) {
  if (WritePending || Now < NextWrite)
    return;
  NextWrite = Now + WriteInterval;
  std::erase_if(Processes, [&](const auto &Item) {
    return Now - Item.second.ReceivedAt > ReportExpiry;
  });
  std::string Body = text();
  if (!Processes.empty() && Body != LastWritten)
    write(std::move(Body));
}

void CellStatus::write(std::string Body) {
  WritePending = true;
  Platform.put(objects::cellStatus(Cell), Version, Body,
               [this, Body](ObjectStatus Status, const ObjectValue &Value) {
                 WritePending = false;
                 // The response to a conflict carries the current version.
                 if (Status != ObjectStatus::Unavailable)
                   Version = Value.Version;
                 if (Status == ObjectStatus::Ok)
                   LastWritten = Body;
               });
}

} // namespace goldcrestlink
