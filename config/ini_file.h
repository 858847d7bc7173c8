// Parses INI text into sections with line numbers. Reports every syntax error
// instead of stopping at the first.
//
//   FindingList Findings;
//   for (const IniSection &Section : readIni("a.ini", Text, Findings)) ...
#ifndef GOLDCRESTLINK_CONFIG_INI_FILE_H
#define GOLDCRESTLINK_CONFIG_INI_FILE_H

#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"

namespace goldcrestlink {

/// One "key = value" line.
struct IniEntry {
  std::string Key;
  std::string Value;
  int Line = 0;
};

/// One "[kind name]" section; Name is empty for "[kind]".
struct IniSection {
  std::string Kind;
  std::string Name;
  int Line = 0;
  std::vector<IniEntry> Entries;
};

/// Returns the sections of \p Text in order. Adds syntax errors to \p Findings,
/// with \p File as the file name. Thread-safe.
std::vector<IniSection> readIni(const std::string &File, std::string_view Text,
                                FindingList &Findings);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_INI_FILE_H
