// Problems in operators' files, collected with their location and reported
// together, instead of stopping at the first one.
//
//   FindingList Findings;
//   Findings.add({"adapters.ini", 12}, "rank 'now' is not declared");
//   if (!Findings.empty()) throw FindingError(Findings);
#ifndef GOLDCRESTLINK_BASE_FINDING_H
#define GOLDCRESTLINK_BASE_FINDING_H

#include <stdexcept>
#include <string>
#include <vector>

namespace goldcrestlink {

/// A location in an operator's file. Line 0 stands for the whole file.
struct FileLocation {
  std::string File;
  int Line = 0;
};

/// One problem and its location.
struct Finding {
  FileLocation Where;
  std::string Message;
};

/// A list of findings in the order in which they were added. Not thread-safe.
class FindingList {
public:
  void add(FileLocation Where, std::string Message) {
    Items.push_back({std::move(Where), std::move(Message)});
  }
  bool empty() const { return Items.empty(); }
  const std::vector<Finding> &items() const { return Items; }

  /// Returns one line per finding, as "file:line: message".
  std::string text() const {
    std::string Out;
    for (const Finding &F : Items)
      Out += F.Where.File + ":" + std::to_string(F.Where.Line) + ": " +
             F.Message + "\n";
    return Out;
  }

private:
  std::vector<Finding> Items;
};

/// Thrown when a set of files cannot be used because of its findings.
class FindingError : public std::runtime_error {
public:
  explicit FindingError(const FindingList &List)
      : std::runtime_error(List.text()), List(List) {}
  const FindingList &findings() const { return List; }

private:
  FindingList List;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_FINDING_H
