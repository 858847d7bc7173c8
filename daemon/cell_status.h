// The status of a cell for operators: the latest reports of all its processes,
// collected by one side and written to the platform object "status/<cell>".
//
//   CellStatus S(Platform, "nz-north");
//   S.record(Now, Report);       // from any process of the cell
//   S.step(Now);                 // writes at most once per WriteInterval
#ifndef GOLDCRESTLINK_DAEMON_CELL_STATUS_H
#define GOLDCRESTLINK_DAEMON_CELL_STATUS_H

#include <map>
#include <string>

#include "platform/object_client.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

/// Not thread-safe. Holds at most MaxProcesses reports.
class CellStatus {
public:
  CellStatus(ObjectClient &Platform, std::string Cell)
      : Platform(Platform), Cell(std::move(Cell)) {}
  /// Keeps the latest report of a process. Reports of further processes are
  /// ignored once there are MaxProcesses.
  void record(Time Now, const wire::ProcessReport &Report);
  /// Drops expired reports, and writes the status if it has changed. To be
  /// called regularly.
  void step(Time Now);
  /// The status as JSON: the cell's name and a list with one object per
  /// process.
  std::string text() const;

private:
  struct ReceivedReport {
    wire::ProcessReport Report;
    Time ReceivedAt;
  };
  void write(std::string Body);

  ObjectClient &Platform;
  std::string Cell;
  std::map<std::string, ReceivedReport> Processes;
  std::string LastWritten;
  uint64_t Version = 0;
  Time NextWrite{};
  bool WritePending = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CELL_STATUS_H
