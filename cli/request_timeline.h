// Collects the timeline of one request from the logs of several processes: the
// lines with its id, the lines of sides about its admission requests, and the
// load, eviction and order events of its adapter during the request, sorted by
// time.
//
//   std::vector<LogLine> Lines = readLogLines("entry-1", Text);
//   for (const LogLine &L : requestTimeline("r17", Lines)) ...
#ifndef GOLDCRESTLINK_CLI_REQUEST_TIMELINE_H
#define GOLDCRESTLINK_CLI_REQUEST_TIMELINE_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestlink {

/// One line of a decision log.
struct LogLine {
  /// Seconds since the Unix epoch, to the millisecond.
  double UnixSeconds = 0;
  /// Name of the process or of the log file.
  std::string Source;
  /// The line from the event name on, without logger prefix and time.
  std::string Text;

  /// The value of "key=value"; empty if the line has no such key. Quoted values
  /// are cut at their first space.
  std::string_view field(std::string_view Key) const;
  /// The event name, which is the first word of the line.
  std::string_view event() const;
};

/// Parses the decision lines of \p Text; other lines are skipped. Thread-safe.
std::vector<LogLine> readLogLines(const std::string &Source,
                                  std::string_view Text);

/// The lines of \p All that belong to the timeline of the request, sorted by
/// time; empty if no line has its id. Thread-safe.
std::vector<LogLine> requestTimeline(std::string_view RequestId,
                                     std::span<const LogLine> All);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CLI_REQUEST_TIMELINE_H
