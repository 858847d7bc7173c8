// The cell's status as operators read it: reports of all its processes, kept
// by one side and written to the platform's object "status/<cell>".
//
//   CellStatus S(Platform, "nz-north");
//   S.note(Now, Report);         // from any process of the cell
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
  void note(Time N, const wire::ProcessReport &Report);
  /// Drops reports that have grown old and writes the status if it changed.
  void step(Time N);
  /// JSON, one object per process.
  std::string text() const;

private:
  struct Entry {
    wire::ProcessReport Report;
    Time At;
  };
  void write(std::string Body);

  ObjectClient &Platform;
  std::string Cell;
  std::map<std::string, Entry> Processes;
  std::string Written;
  uint64_t Version = 0;
  Time NextWrite{};
  bool Busy = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CELL_STATUS_H
