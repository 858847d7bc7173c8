// Reads the keys of one INI section into typed values. Unknown keys, values
// out of range and missing required keys become findings.
//
//   FieldReader F("a.ini", Section, Findings);
//   F.text("model", Model, Required);
//   F.integer("slots", Slots, 1, 1024);
//   F.finish();              // reports keys that nobody asked for
#ifndef GOLDCRESTLINK_CONFIG_FIELD_READER_H
#define GOLDCRESTLINK_CONFIG_FIELD_READER_H

#include <string>
#include <vector>

#include "base/finding.h"
#include "base/time.h"
#include "config/ini_file.h"
#include "http/message.h"

namespace goldcrestlink {

enum class Need { Optional, Required };

/// Not thread-safe; lives as long as its section.
class FieldReader {
public:
  FieldReader(const std::string &File, const IniSection &Section,
              FindingList &Findings)
      : File(File), Section(Section), Findings(Findings),
        Seen(Section.Entries.size()) {}

  void text(const char *Key, std::string &Out, Need N = Need::Optional);
  void words(const char *Key, std::vector<std::string> &Out,
             Need N = Need::Optional);
  void integer(const char *Key, int64_t &Out, int64_t Min, int64_t Max,
               Need N = Need::Optional);
  void number(const char *Key, double &Out, double Min, double Max,
              Need N = Need::Optional);
  void boolean(const char *Key, bool &Out, Need N = Need::Optional);
  /// A whole number of milliseconds.
  void millis(const char *Key, Duration &Out, int64_t Min, int64_t Max,
              Need N = Need::Optional);
  void endpoint(const char *Key, http::Endpoint &Out, Need N = Need::Optional);
  /// Reports the keys that no call above asked for.
  void finish();
  /// Reports a problem with the section or with one key's line.
  void problem(const std::string &Message, const char *Key = nullptr);

private:
  const IniEntry *find(const char *Key, Need N);

  const std::string &File;
  const IniSection &Section;
  FindingList &Findings;
  std::vector<bool> Seen;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_FIELD_READER_H
