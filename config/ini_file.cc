// The text is parsed by inih, which gets its lines from a reader callback, so
// that the line of each handler call is known. The callback also records the
// section headers: inih reports a section only with its first key, but sections
// without keys are needed too, with their line. One pass over the text.
#include "config/ini_file.h"

#include <algorithm>
#include <cstring>

#include <ini.h>

namespace goldcrestlink {

namespace {

constexpr size_t MaxLineBytes = INI_MAX_LINE - 2;

struct ReadState {
  const std::string *File;
  std::string_view Rest;
  int Line = 0;
  std::vector<IniSection> Sections;
  FindingList *Findings;
};

std::string_view trim(std::string_view S) {
  while (!S.empty() && std::isspace(static_cast<unsigned char>(S.front())))
    S.remove_prefix(1);
  while (!S.empty() && std::isspace(static_cast<unsigned char>(S.back())))
    S.remove_suffix(1);
  return S;
}

void recordSection(ReadState &State, std::string_view Line) {
  const size_t End = Line.find(']');
  if (Line.empty() || Line.front() != '[' || End == std::string_view::npos)
    return;
  const std::string_view Header = trim(Line.substr(1, End - 1));
  const size_t Space = Header.find(' ');
  IniSection Section;
  Section.Kind = Header.substr(0, Space);
  if (Space != std::string_view::npos)
    Section.Name = trim(Header.substr(Space));
  Section.Line = State.Line;
  State.Sections.push_back(std::move(Section));
}

char *readLine(char *Buffer, int Size, void *Stream) {
  auto &State = *static_cast<ReadState *>(Stream);
  if (State.Rest.empty())
    return nullptr;
  const size_t End = std::min(State.Rest.find('\n'), State.Rest.size());
  std::string_view Line = State.Rest.substr(0, End);
  State.Rest.remove_prefix(std::min(End + 1, State.Rest.size()));
  ++State.Line;
  if (Line.size() > std::min(MaxLineBytes, static_cast<size_t>(Size) - 2)) {
    State.Findings->add({*State.File, State.Line},
                        "line is longer than " + std::to_string(MaxLineBytes) +
                            " bytes");
    Line = {};
  }
  if (Line.find('\0') != std::string_view::npos) {
    State.Findings->add({*State.File, State.Line}, "line contains a NUL byte");
    Line = {};
  }
  recordSection(State, trim(Line));
  std::memcpy(Buffer, Line.data(), Line.size());
  Buffer[Line.size()] = '\n';
  Buffer[Line.size() + 1] = '\0';
  return Buffer;
}

// For an indented line, inih calls the handler with the key of the line before,
// so that the line is reported as a duplicate key.
int onEntry(void *User, const char *, const char *Name, const char *Value) {
  auto &State = *static_cast<ReadState *>(User);
  if (State.Sections.empty()) {
    State.Findings->add({*State.File, State.Line},
                        "key '" + std::string(Name) + "' before any section");
    return 1;
  }
  auto &Entries = State.Sections.back().Entries;
  const bool IsDuplicate =
      std::any_of(Entries.begin(), Entries.end(),
                  [&](const IniEntry &E) { return E.Key == Name; });
  if (IsDuplicate)
    State.Findings->add({*State.File, State.Line},
                        "key '" + std::string(Name) + "' is given twice");
  Entries.push_back({Name, Value, State.Line});
  return 1;
}

} // namespace

std::vector<IniSection> readIni(const std::string &File, std::string_view Text,
                                FindingList &Findings) {
  ReadState State{&File, Text, 0, {}, &Findings};
  const int Error = ini_parse_stream(readLine, &State, onEntry, &State);
  if (Error != 0)
    Findings.add({File, Error > 0 ? Error : 0},
                 "neither a section, a key = value line nor a comment");
  return std::move(State.Sections);
}

} // namespace goldcrestlink
