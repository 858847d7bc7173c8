// Two passes: the first finds the lines that name the request, with the asks
// and the adapter in them; the second adds the lines of those. Asks are
// numbered from a random start in each entry, so that a number names one ask.
#include "cli/request_story.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace goldcrestlink {

namespace {

constexpr std::string_view TimeKey = " t=";

// "model/adapter" as sides write it; empty without an adapter.
std::string adapterOf(const LogLine &L) {
  const std::string_view Model = L.field("model");
  const std::string_view Adapter = L.field("adapter");
  if (Adapter.empty() || Model.empty())
    return {};
  return std::string(Model) + "/" + std::string(Adapter);
}

bool concernsAdapter(const LogLine &L) {
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
    const size_t At = Line.starts_with(TimeKey.substr(1))
                          ? TimeKey.size() - 1
                          : Found + TimeKey.size();
    if (Found == std::string_view::npos && At != TimeKey.size() - 1)
      continue;
    LogLine L;
    const auto [Rest, Error] =
        std::from_chars(Line.data() + At, Line.data() + Line.size(), L.At);
    if (Error != std::errc() || Rest == Line.data() + Line.size() ||
        *Rest != ' ')
      continue;
    L.Source = Source;
    L.Text = std::string(Rest + 1, Line.data() + Line.size());
    Out.push_back(std::move(L));
  }
  return Out;
}

std::vector<LogLine> requestStory(std::string_view RequestId,
                                  std::span<const LogLine> All) {
  std::vector<LogLine> Out;
  std::set<std::string> Asks;
  std::set<std::string> Adapters;
  for (const LogLine &L : All) {
    if (L.field("id") != RequestId)
      continue;
    Out.push_back(L);
    if (const std::string_view Ask = L.field("ask"); !Ask.empty())
      Asks.emplace(Ask);
    if (std::string Adapter = adapterOf(L); !Adapter.empty())
      Adapters.insert(std::move(Adapter));
  }
  if (Out.empty())
    return Out;
  const auto [First, Last] = std::minmax_element(
      Out.begin(), Out.end(),
      [](const LogLine &A, const LogLine &B) { return A.At < B.At; });
  const double Begin = First->At;
  const double End = Last->At;
  for (const LogLine &L : All) {
    if (!L.field("id").empty())
      continue;
    const bool OfAsk = Asks.contains(std::string(L.field("ask")));
    const bool OfAdapter = concernsAdapter(L) && L.At >= Begin && L.At <= End &&
                           Adapters.contains(std::string(L.field("adapter")));
    if (OfAsk || OfAdapter)
      Out.push_back(L);
  }
  std::stable_sort(
      Out.begin(), Out.end(),
      [](const LogLine &A, const LogLine &B) { return A.At < B.At; });
  return Out;
}

} // namespace goldcrestlink
