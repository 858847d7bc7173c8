// One request's story out of the logs of several processes: the lines that name
// it, the lines of sides about the asks that were made for it, and what its
// adapter went through meanwhile, in the order of their time.
//
//   std::vector<LogLine> Lines = readLogLines("entry-1", Text);
//   for (const LogLine &L : requestStory("r17", AllLines)) ...
#ifndef GOLDCRESTLINK_CLI_REQUEST_STORY_H
#define GOLDCRESTLINK_CLI_REQUEST_STORY_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestlink {

/// One line as a process wrote it.
struct LogLine {
  /// Seconds since the Unix epoch, to the millisecond.
  double At = 0;
  /// The process, or the file that the line is from.
  std::string Source;
  /// From the event's word on, without prefix and time.
  std::string Text;

  /// The value of "key=value"; empty if the line has none. Quoted values are
  /// cut at their first space.
  std::string_view field(std::string_view Key) const;
  /// The first word.
  std::string_view event() const;
};

/// The decision lines of \p Text; others are left out. Thread-safe.
std::vector<LogLine> readLogLines(const std::string &Source,
                                  std::string_view Text);

/// Empty if no line names the request. Thread-safe.
std::vector<LogLine> requestStory(std::string_view RequestId,
                                  std::span<const LogLine> All);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CLI_REQUEST_STORY_H
