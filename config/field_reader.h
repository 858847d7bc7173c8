// Reads the keys of one INI section into typed values. Unknown keys, values out
// of range and missing required keys are reported as findings.
//
//   FieldReader Fields("a.ini", Section, Findings);
//   Fields.text("model", Model, Need::Required);
//   Fields.integer("slots", Slots, 1, 1024);
//   Fields.finish();         // reports the keys that were not read
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

/// Each reading function reads one key; if the key is missing, \p Out keeps its
/// value. Not thread-safe. Precondition: file name, section and findings
/// outlive the reader.
class FieldReader {
public:
  FieldReader(const std::string &File, const IniSection &Section,
              FindingList &Findings)
      : File(File), Section(Section), Findings(Findings),
        Seen(Section.Entries.size()) {}

  void text(const char *Key, std::string &Out, Need Presence = Need::Optional);
  /// Words separated by spaces or tabs.
  void words(const char *Key, std::vector<std::string> &Out,
             Need Presence = Need::Optional);
  void integer(const char *Key, int64_t &Out, int64_t Min, int64_t Max,
               Need Presence = Need::Optional);
  void number(const char *Key, double &Out, double Min, double Max,
              Need Presence = Need::Optional);
  /// "yes" or "no".
  void boolean(const char *Key, bool &Out, Need Presence = Need::Optional);
  /// An integer number of milliseconds. \p Min and \p Max are in milliseconds.
  void millis(const char *Key, Duration &Out, int64_t Min, int64_t Max,
              Need Presence = Need::Optional);
  /// An address as ip:port.
  void endpoint(const char *Key, http::Endpoint &Out,
                Need Presence = Need::Optional);
  /// Reports the keys that none of the calls above has read.
  void finish();
  /// Reports a problem at the line of \p Key, or at the line of the section if
  /// \p Key is null or missing.
  void problem(const std::string &Message, const char *Key = nullptr);

private:
  const IniEntry *find(const char *Key, Need Presence);

  const std::string &File;
  const IniSection &Section;
  FindingList &Findings;
  std::vector<bool> Seen;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_FIELD_READER_H
