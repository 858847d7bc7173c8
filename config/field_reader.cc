// A section has few keys, so each lookup is a linear search. Numbers are parsed
// by from_chars, which must consume the complete value.
#include "config/field_reader.h"

#include <charconv>
#include <sstream>
#include <stdexcept>

namespace goldcrestlink {

namespace {

template <class Number> bool parseNumber(const std::string &Text, Number &Out) {
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Out);
  return Error == std::errc() && Stop == End;
}

template <class Number>
std::string rangeText(const char *Key, Number Min, Number Max) {
  std::ostringstream Out;
  Out << "'" << Key << "' must be a number from " << Min << " to " << Max;
  return Out.str();
}

} // namespace

const IniEntry *FieldReader::find(const char *Key, Need Presence) {
  for (size_t I = 0; I < Section.Entries.size(); ++I)
    if (Section.Entries[I].Key == Key) {
      Seen[I] = true;
      return &Section.Entries[I];
    }
  if (Presence == Need::Required)
    problem("section [" + Section.Kind + " " + Section.Name + "] needs '" +
            Key + "'");
  return nullptr;
}

void FieldReader::problem(const std::string &Message, const char *Key) {
  int Line = Section.Line;
  for (const IniEntry &E : Section.Entries)
    if (Key && E.Key == Key)
      Line = E.Line;
  Findings.add({File, Line}, Message);
}

void FieldReader::text(const char *Key, std::string &Out, Need Presence) {
  const IniEntry *E = find(Key, Presence);
  if (!E)
    return;
  if (E->Value.empty())
    return problem(std::string("'") + Key + "' is empty", Key);
  Out = E->Value;
}

void FieldReader::words(const char *Key, std::vector<std::string> &Out,
                        Need Presence) {
  const IniEntry *E = find(Key, Presence);
  if (!E)
    return;
  Out.clear();
  std::string_view Rest = E->Value;
  for (;;) {
    const size_t Start = Rest.find_first_not_of(" \t");
    if (Start == std::string_view::npos)
      break;
    Rest.remove_prefix(Start);
    const size_t End = std::min(Rest.find_first_of(" \t"), Rest.size());
    Out.emplace_back(Rest.substr(0, End));
    Rest.remove_prefix(End);
  }
  if (Out.empty())
    problem(std::string("'") + Key + "' is empty", Key);
}

void FieldReader::integer(const char *Key, int64_t &Out, int64_t Min,
                          int64_t Max, Need Presence) {
  const IniEntry *E = find(Key, Presence);
  if (!E)
    return;
  int64_t Value = 0;
  if (!parseNumber(E->Value, Value) || Value < Min || Value > Max)
    return problem(rangeText(Key, Min, Max), Key);
  Out = Value;
}

void FieldReader::number(const char *Key, double &Out, double Min, double Max,
                         Need Presence) {
  const IniEntry *E = find(Key, Presence);
  if (!E)
    return;
  double Value = 0;
  if (!parseNumber(E->Value, Value) || !(Value >= Min && Value <= Max))
    return problem(rangeText(Key, Min, Max), Key);
  Out = Value;
}

void FieldReader::boolean(const char *Key, bool &Out, Need Presence) {
  const IniEntry *E = find(Key, Presence);
  if (!E)
    return;
  if (E->Value != "yes" && E->Value != "no")
    return problem(std::string("'") + Key + "' must be yes or no", Key);
  Out = E->Value == "yes";
}

void FieldReader::millis(const char *Key, Duration &Out, int64_t Min,
                         int64_t Max, Need Presence) {
  int64_t Value = Out.count() / 1000;
  integer(Key, Value, Min, Max, Presence);
  Out = std::chrono::milliseconds(Value);
}

void FieldReader::endpoint(const char *Key, http::Endpoint &Out,
                           Need Presence) {
  const IniEntry *E = find(Key, Presence);
  if (!E)
    return;
  try {
    Out = http::Endpoint::parse(E->Value);
  } catch (const std::invalid_argument &Bad) {
    problem(std::string("'") + Key + "': " + Bad.what(), Key);
  }
}

void FieldReader::finish() {
  for (size_t I = 0; I < Seen.size(); ++I)
    if (!Seen[I])
      Findings.add({File, Section.Entries[I].Line},
                   "unknown key '" + Section.Entries[I].Key + "' in [" +
                       Section.Kind + "]");
}

} // namespace goldcrestlink
