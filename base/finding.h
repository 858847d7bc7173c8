// Findings: problems in operators' files, collected with their place and
// reported together instead of stopping at the first.
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

/// A place in an operator's file. Line 0 means the file as a whole.
struct Place {
  std::string File;
  int Line = 0;
};

/// One problem and where it is.
struct Finding {
  Place Where;
  std::string Message;
};

/// Findings in the order in which they were met. Not thread-safe.
class FindingList {
public:
  /// Records one problem.
  void add(Place Where, std::string Message) {
    Items.push_back({std::move(Where), std::move(Message)});
  }
  bool empty() const { return Items.empty(); }
  const std::vector<Finding> &items() const { return Items; }

  /// One line per finding, as "file:line: message".
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

/// Thrown when findings make a set of files unusable.
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
