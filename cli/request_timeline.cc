// Two passes over all lines: the first finds the lines with the request's id
// and collects the admission requests and adapters that they name; the second
// adds the lines about these that have no request id. Each entry numbers its
// admission requests from a random start, so that a number identifies one
// admission request across entries.
#include "cli/request_timeline.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace goldcrestlink {

namespace {

constexpr std::string_view TimeKey = " t=";

// "model/adapter" as sides log it; empty if the line names no adapter or model.
std::string adapterOf(const LogLine &L) {
  const std::string_view Model = L.field("model");
  const std::string_view Adapter = L.field("adapter");
  if (Adapter.empty() || Model.empty())
    return {};
  return std::string(Model) + "/" + std::string(Adapter);
}

bool isAdapterEvent(const LogLine &L) {
  return L.event() == "load" || L.event() == "evict" || L.event() == "order";
}

} // namespace

std::string_view LogLine::field(std::string_view Key) const {
  std::string_view Rest = Text;
  while (!Rest.empty()) {
    const size_t Space = Rest.find(' ');
    const std::string_view Word = Rest.substr(0, Space);
    if (Word.size() > Key.size() && Word.starts_with(Key) &&
        Word[Key.size()] == '=')
      return Word.substr(Key.size() + 1);
    if (Space == std::string_view::npos)
      break;
    Rest.remove_prefix(Space + 1);
  }
  return {};
}

std::string_view LogLine::event() const {
  return std::string_view(Text).substr(0, Text.find(' '));
}

std::vector<LogLine> readLogLines(const std::string &Source,
                                  std::string_view Text) {
  std::vector<LogLine> Out;
  while (!Text.empty()) {
    const size_t End = Text.find('\n');
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
    const size_t Found = Line.find(TimeKey);
    const size_t TimeStart = Line.starts_with(TimeKey.substr(1))
                                 ? TimeKey.size() - 1
                                 : Found + TimeKey.size();
    if (Found == std::string_view::npos && TimeStart != TimeKey.size() - 1)
      continue;
    LogLine L;
    const auto [Rest, Error] = std::from_chars(
        Line.data() + TimeStart, Line.data() + Line.size(), L.UnixSeconds);
    if (Error != std::errc() || Rest == Line.data() + Line.size() ||
        *Rest != ' ')
      continue;
    L.Source = Source;
    L.Text = std::string(Rest + 1, Line.data() + Line.size());
    Out.push_back(std::move(L));
  }
  return Out;
}

std::vector<LogLine> requestTimeline(std::string_view RequestId,
                                     std::span<const LogLine> All) {
  std::vector<LogLine> Out;
  std::set<std::string> AdmissionIds;
  std::set<std::string> Adapters;
  for (const LogLine &L : All) {
    if (L.field("id") != RequestId)
      continue;
    Out.push_back(L);
    if (const std::string_view Admission = L.field("ask"); !Admission.empty())
      AdmissionIds.emplace(Admission);
    if (std::string Adapter = adapterOf(L); !Adapter.empty())
      Adapters.insert(std::move(Adapter));
  }
  if (Out.empty())
    return Out;
  const auto [First, Last] = std::minmax_element(
      Out.begin(), Out.end(), [](const LogLine &A, const LogLine &B) {
        return A.UnixSeconds < B.UnixSeconds;
      });
  const double Begin = First->UnixSeconds;
  const double End = Last->UnixSeconds;
  for (const LogLine &L : All) {
    if (!L.field("id").empty())
      continue;
    const bool IsAdmission = AdmissionIds.contains(std::string(L.field("ask")));
    const bool IsAdapter = isAdapterEvent(L) && L.UnixSeconds >= Begin &&
                           L.UnixSeconds <= End &&
                           Adapters.contains(std::string(L.field("adapter")));
    if (IsAdmission || IsAdapter)
      Out.push_back(L);
  }
  std::stable_sort(Out.begin(), Out.end(),
                   [](const LogLine &A, const LogLine &B) {
                     return A.UnixSeconds < B.UnixSeconds;
                   });
  return Out;
}

} // namespace goldcrestlink
