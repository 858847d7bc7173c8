// oneTBB parses the files in parallel, since 45,000 adapters make a few
// megabytes. The sections are then processed in order, so that findings and
// results do not depend on scheduling. A table maps each section kind to the
// member function that reads it. References between sections are checked last.
// Linear in the text.
#include "config/declarations.h"

#include <algorithm>
#include <unordered_set>

#include <tbb/parallel_for.h>

#include "base/hash.h"
#include "config/field_reader.h"
#include "config/ini_file.h"

namespace goldcrestlink {

namespace {

constexpr size_t MaxNameBytes = 100;
constexpr size_t MaxRanks = 8;
constexpr int64_t MillisPerDay = 24LL * 3600 * 1000;

std::string groupKey(UpstreamKind Kind, std::string_view Group,
                     std::string_view Cell) {
  std::string Out = Kind == UpstreamKind::Engine ? "e/" : "s/";
  return Out.append(Group).append("/").append(Cell);
}

} // namespace

bool isValidName(std::string_view Name) {
  const auto IsAllowed = [](unsigned char C) {
    return std::isalnum(C) || C == '.' || C == '_' || C == '-';
  };
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::all_of(Name.begin(), Name.end(), IsAllowed);
}

std::string slotKey(std::string_view Adapter, std::string_view Version) {
  std::string Out(Adapter);
  return Out.append("@").append(Version);
}

/// Turns sections into declarations.
class DeclarationParser {
public:
  DeclarationParser(Declarations &Out, FindingList &Findings)
      : Out(Out), Findings(Findings) {}

  void section(const std::string &File, const IniSection &S);
  void finish();

private:
  using Reader = void (DeclarationParser::*)(FieldReader &, const IniSection &);
  struct SectionRow {
    const char *Kind;
    bool Named;
    Reader Read;
  };
  static const SectionRow SectionRows[];

  // A reference to another section, checked after all files are processed.
  struct Reference {
    FileLocation Where;
    enum class Kind { Rank, Service } What;
    std::string Name;
  };

  void rank(FieldReader &F, const IniSection &S);
  void application(FieldReader &F, const IniSection &S);
  void adapter(FieldReader &F, const IniSection &S);
  void engine(FieldReader &F, const IniSection &S);
  void service(FieldReader &F, const IniSection &S);
  void route(FieldReader &F, const IniSection &S);
  void store(FieldReader &F, const IniSection &S);
  void policy(FieldReader &F, const IniSection &S);
  void upstream(FieldReader &F, const IniSection &S, UpstreamKind Kind);
  bool isDuplicate(const IniSection &S);
  void checkReferences();
  void checkRanks();
  void buildIndexes();

  Declarations &Out;
  FindingList &Findings;
  std::string File;
  std::unordered_set<std::string> SectionNames;
  std::vector<Reference> References;
  // The first adapter section that names each model.
  std::unordered_map<std::string, FileLocation> AdapterModels;
};

const DeclarationParser::SectionRow DeclarationParser::SectionRows[] = {
    {"rank", true, &DeclarationParser::rank},
    {"application", true, &DeclarationParser::application},
    {"adapter", true, &DeclarationParser::adapter},
    {"engine", true, &DeclarationParser::engine},
    {"service", true, &DeclarationParser::service},
    {"route", true, &DeclarationParser::route},
    {"store", false, &DeclarationParser::store},
    {"policy", false, &DeclarationParser::policy},
};

void DeclarationParser::section(const std::string &InFile,
                                const IniSection &S) {
  if (File != InFile)
    File = InFile;
  const auto *Found =
      std::find_if(std::begin(SectionRows), std::end(SectionRows),
                   [&](const SectionRow &R) { return S.Kind == R.Kind; });
  if (Found == std::end(SectionRows))
    return Findings.add({File, S.Line},
                        "unknown section kind '" + S.Kind + "'");
  const bool IsPath = S.Kind == "route";
  if (Found->Named && !IsPath && !isValidName(S.Name))
    return Findings.add({File, S.Line},
                        "'" + S.Name + "' is not a usable name");
  if (!Found->Named && !S.Name.empty())
    return Findings.add({File, S.Line}, "[" + S.Kind + "] takes no name");
  if (isDuplicate(S))
    return;
  FieldReader F(File, S, Findings);
  (this->*Found->Read)(F, S);
  F.finish();
}

// Adapters are looked up in their own index instead of SectionNames, since they
// are by far the most numerous sections.
bool DeclarationParser::isDuplicate(const IniSection &S) {
  const bool IsUpstream = S.Kind == "engine" || S.Kind == "service";
  const std::string UniqueName =
      (IsUpstream ? "upstream" : S.Kind) + " " + S.Name;
  const bool IsNew = S.Kind == "adapter"
                         ? !Out.Adapters.count(S.Name)
                         : SectionNames.insert(UniqueName).second;
  if (!IsNew)
    Findings.add({File, S.Line}, "'" + UniqueName + "' is declared twice");
  return !IsNew;
}

void DeclarationParser::rank(FieldReader &F, const IniSection &S) {
  RankDecl R;
  R.Name = S.Name;
  F.integer("priority", R.Priority, 0, 100, Need::Required);
  F.millis("target_ms", R.Target, 1, MillisPerDay, Need::Required);
  R.Deadline = 2 * R.Target;
  F.millis("deadline_ms", R.Deadline, 1, MillisPerDay);
  F.number("share", R.Share, 0, 1);
  F.number("worth", R.Worth, 0.001, 1000);
  if (R.Deadline < R.Target)
    F.problem("'deadline_ms' is less than 'target_ms'", "deadline_ms");
  F.millis("max_pause_ms", R.MaxPause, 1, MillisPerDay);
  if (R.MaxPause > R.Deadline)
    F.problem("'max_pause_ms' is greater than 'deadline_ms'", "max_pause_ms");
  Out.Ranks.push_back(R);
}

void DeclarationParser::application(FieldReader &F, const IniSection &S) {
  ApplicationDecl A;
  A.Name = S.Name;
  F.words("ranks", A.Ranks, Need::Required);
  if (!A.Ranks.empty())
    A.DefaultRank = A.Ranks.front();
  F.text("default_rank", A.DefaultRank);
  F.number("share", A.Share, 0.001, 1000);
  for (const std::string &Rank : A.Ranks)
    References.push_back({{File, S.Line}, Reference::Kind::Rank, Rank});
  if (std::find(A.Ranks.begin(), A.Ranks.end(), A.DefaultRank) == A.Ranks.end())
    F.problem("'default_rank' is not one of 'ranks'", "default_rank");
  Out.Applications.push_back(std::move(A));
}

void DeclarationParser::adapter(FieldReader &F, const IniSection &S) {
  AdapterDecl A;
  A.Name = S.Name;
  F.text("model", A.Model, Need::Required);
  F.words("versions", A.Versions, Need::Required);
  for (const std::string &Version : A.Versions)
    if (!isValidName(Version))
      F.problem("'" + Version + "' is not a usable version", "versions");
  if (!AdapterModels.count(A.Model))
    AdapterModels.emplace(A.Model, FileLocation{File, S.Line});
  Out.Adapters.emplace(S.Name, std::move(A));
}

void DeclarationParser::upstream(FieldReader &F, const IniSection &S,
                                 UpstreamKind Kind) {
  UpstreamDecl U;
  U.Name = S.Name;
  U.Kind = Kind;
  U.NameHash = hash64(S.Name);
  F.text("data_center", U.DataCenter, Need::Required);
  U.Cell = U.DataCenter;
  F.text("cell", U.Cell);
  F.endpoint("side", U.Side, Need::Required);
  F.endpoint("address", U.Address, Need::Required);
  F.integer("max_concurrent", U.MaxSequences, 1, 4096);
  F.boolean("checks_fencing", U.ChecksFencing);
  if (Kind == UpstreamKind::Engine) {
    F.text("model", U.Group, Need::Required);
    F.integer("slots", U.Slots, 1, 1024);
  } else {
    F.text("service", U.Group, Need::Required);
  }
  Out.Upstreams.push_back(std::move(U));
}

void DeclarationParser::engine(FieldReader &F, const IniSection &S) {
  upstream(F, S, UpstreamKind::Engine);
}

void DeclarationParser::service(FieldReader &F, const IniSection &S) {
  upstream(F, S, UpstreamKind::Service);
}

void DeclarationParser::route(FieldReader &F, const IniSection &S) {
  RouteDecl R;
  R.PathPrefix = S.Name;
  F.text("service", R.Service, Need::Required);
  F.boolean("idempotent", R.Idempotent, Need::Required);
  F.text("rank", R.Rank, Need::Required);
  if (R.PathPrefix.empty() || R.PathPrefix.front() != '/')
    F.problem("a route's name must be a path that starts with '/'");
  if (R.PathPrefix.rfind("/v1/", 0) == 0 || R.PathPrefix == "/")
    F.problem("route '" + R.PathPrefix + "' would hide the completion calls");
  References.push_back({{File, S.Line}, Reference::Kind::Rank, R.Rank});
  References.push_back({{File, S.Line}, Reference::Kind::Service, R.Service});
  Out.Routes.push_back(std::move(R));
}

void DeclarationParser::store(FieldReader &F, const IniSection &) {
  F.number("loads_per_second", Out.Store.LoadsPerSecond, 0.01, 100000);
  F.integer("concurrent", Out.Store.Concurrent, 1, 10000);
  F.integer("full_speed_in_flight", Out.Store.FullSpeedInFlight, 1, 100000);
}

void DeclarationParser::policy(FieldReader &F, const IniSection &) {
  PolicyDecl &P = Out.Policy;
  F.millis("clock_skew_ms", P.ClockSkew, 0, 10000);
  F.millis("key_retention_ms", P.KeyRetention, 1000, MillisPerDay);
  F.millis("lease_ms", P.Lease, 500, 600000);
  F.millis("quarantine_ms", P.QuarantineDuration, 1000, MillisPerDay);
  F.integer("shards_per_service", P.ShardsPerService, 1, 1024);
}

void DeclarationParser::checkReferences() {
  std::unordered_set<std::string> Services;
  std::unordered_set<std::string> Models;
  for (const UpstreamDecl &U : Out.Upstreams)
    (U.Kind == UpstreamKind::Service ? Services : Models).insert(U.Group);
  for (const Reference &R : References) {
    const bool IsRank = R.What == Reference::Kind::Rank;
    if (IsRank && !Out.rankIndex(R.Name))
      Findings.add(R.Where, "rank '" + R.Name + "' is not declared");
    if (!IsRank && !Services.count(R.Name))
      Findings.add(R.Where, "service '" + R.Name + "' has no upstream");
  }
  for (const auto &[Model, Where] : AdapterModels)
    if (!Models.count(Model))
      Findings.add(Where, "model '" + Model + "' has no engine");
}

void DeclarationParser::checkRanks() {
  double Sum = 0;
  for (const RankDecl &R : Out.Ranks)
    Sum += R.Share;
  const FileLocation Where{File, 0};
  if (Out.Ranks.empty() || Out.Ranks.size() > MaxRanks)
    Findings.add(Where,
                 "declare from 1 to " + std::to_string(MaxRanks) + " ranks");
  if (Sum > 1.0 + 1e-9)
    Findings.add(Where, "the shares of all ranks add up to more than 1");
  for (size_t I = 1; I < Out.Ranks.size(); ++I)
    if (Out.Ranks[I].Priority == Out.Ranks[I - 1].Priority)
      Findings.add(Where, "ranks '" + Out.Ranks[I - 1].Name + "' and '" +
                              Out.Ranks[I].Name + "' have the same priority");
}

void DeclarationParser::buildIndexes() {
  for (size_t I = 0; I < Out.Upstreams.size(); ++I) {
    const UpstreamDecl &U = Out.Upstreams[I];
    Out.UpstreamIndex.emplace(U.Name, I);
    Out.Groups[groupKey(U.Kind, U.Group, U.Cell)].push_back(I);
    Out.Groups[groupKey(U.Kind, U.Group, {})].push_back(I);
  }
}

void DeclarationParser::finish() {
  std::sort(Out.Ranks.begin(), Out.Ranks.end(),
            [](const RankDecl &A, const RankDecl &B) {
              return A.Priority < B.Priority;
            });
  checkRanks();
  checkReferences();
  buildIndexes();
}

ParsedFile Declarations::parseFile(const DeclarationFile &File) {
  ParsedFile Out;
  Out.Name = File.Name;
  Out.Sections = readIni(File.Name, File.Text, Out.Findings);
  return Out;
}

std::shared_ptr<const Declarations>
Declarations::parse(const std::vector<DeclarationFile> &Files,
                    uint64_t Generation, FindingList &Findings) {
  std::vector<std::shared_ptr<const ParsedFile>> Parsed(Files.size());
  tbb::parallel_for(size_t(0), Files.size(), [&](size_t I) {
    Parsed[I] = std::make_shared<ParsedFile>(parseFile(Files[I]));
  });
  return build(Parsed, Generation, Findings);
}

std::shared_ptr<const Declarations>
Declarations::build(std::span<const std::shared_ptr<const ParsedFile>> Files,
                    uint64_t Generation, FindingList &Findings) {
  auto Out = std::make_shared<Declarations>();
  Out->Generation = Generation;
  size_t Sections = 0;
  for (const auto &File : Files)
    Sections += File->Sections.size();
  Out->Adapters.reserve(Sections);
  DeclarationParser Parser(*Out, Findings);
  for (const auto &File : Files) {
    for (const Finding &F : File->Findings.items())
      Findings.add(F.Where, F.Message);
    for (const IniSection &S : File->Sections)
      Parser.section(File->Name, S);
  }
  Parser.finish();
  return Out;
}

const AdapterDecl *Declarations::adapter(std::string_view Name) const {
  const auto It = Adapters.find(std::string(Name));
  return It == Adapters.end() ? nullptr : &It->second;
}

std::optional<size_t> Declarations::rankIndex(std::string_view Name) const {
  for (size_t I = 0; I < Ranks.size(); ++I)
    if (Ranks[I].Name == Name)
      return I;
  return std::nullopt;
}

const ApplicationDecl *Declarations::application(std::string_view Name) const {
  for (const ApplicationDecl &A : Applications)
    if (A.Name == Name)
      return &A;
  return nullptr;
}

const UpstreamDecl *Declarations::upstream(std::string_view Name) const {
  const auto It = UpstreamIndex.find(std::string(Name));
  return It == UpstreamIndex.end() ? nullptr : &Upstreams[It->second];
}

const RouteDecl *Declarations::route(std::string_view Path) const {
  const RouteDecl *Best = nullptr;
  for (const RouteDecl &R : Routes)
    if (Path.substr(0, R.PathPrefix.size()) == R.PathPrefix &&
        (!Best || R.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &R;
  return Best;
}

std::vector<const UpstreamDecl *>
Declarations::group(UpstreamKind Kind, std::string_view Group,
                    std::string_view Cell) const {
  std::vector<const UpstreamDecl *> Out;
  const auto It = Groups.find(groupKey(Kind, Group, Cell));
  if (It == Groups.end())
    return Out;
  for (size_t I : It->second)
    Out.push_back(&Upstreams[I]);
  return Out;
}

} // namespace goldcrestlink
