// Chunks are written before the head, each under its hash and only if absent,
// so a set becomes visible in one conditional update of the head. If that
// update's answer is lost, the head is read back: it holds either this set,
// the base, or another operator's.
#include "cli/apply.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <thread>

#include "config/ini_file.h"

namespace goldcrestlink {

namespace {

constexpr int SettleTries = 20;
constexpr int ChunkTries = 3;
constexpr auto SettlePause = std::chrono::milliseconds(250);

// Section headers with the text of their entries, for comparing sets.
std::map<std::string, std::string>
sectionTexts(const std::vector<DeclarationFile> &Files) {
  std::map<std::string, std::string> Out;
  FindingList Ignored;
  for (const DeclarationFile &File : Files)
    for (const IniSection &S : readIni(File.Name, File.Text, Ignored)) {
      std::string Text;
      for (const IniEntry &E : S.Entries)
        Text += E.Key + " = " + E.Value + "\n";
      Out[S.Kind + " " + S.Name] = Text;
    }
  return Out;
}

void checkAgainstBase(const Declarations &New, const RemoteConfig &Base,
                      FindingList &Findings) {
  if (Base.Version == 0)
    return;
  FindingList Ignored;
  const auto Old = Declarations::parse(Base.Files, 0, Ignored);
  // Owners and entries must agree on the shard of a key at all times.
  if (Old->policy().ShardsPerService != New.policy().ShardsPerService)
    Findings.add({"policy", 0}, "'shards_per_service' cannot be changed once "
                                "it is in force");
}

void writeChunks(BlockingObjectClient &Platform, const Bundle &B,
                 const RemoteConfig &Base) {
  for (const auto &[Hash, Data] : B.Chunks) {
    if (Base.Chunks.count(Hash))
      continue;
    ObjectValue Value;
    ObjectStatus Status = ObjectStatus::Unavailable;
    // A chunk's name is its content, so writing it again is harmless, and a
    // conflict means that it is there.
    for (int I = 0; I < ChunkTries && Status == ObjectStatus::Unavailable; ++I)
      Status = Platform.put(objects::configChunk(Hash), 0, Data, Value);
    if (Status == ObjectStatus::Unavailable)
      throw std::runtime_error("the platform does not answer; nothing was "
                               "changed");
  }
}

ApplyResult settle(BlockingObjectClient &Platform, const Bundle &B,
                   const RemoteConfig &Base) {
  for (int I = 0; I < SettleTries; ++I) {
    ObjectValue Value;
    if (Platform.read(objects::ConfigHead, Value) == ObjectStatus::Ok) {
      if (Value.Body == B.Head.text())
        return {ApplyOutcome::Applied, B.Head.Generation, {}};
      if (Value.Version != Base.Version) {
        const RemoteConfig Theirs = readRemote(Platform);
        return {ApplyOutcome::Raced, Theirs.Head.Generation,
                diffSets(Base.Files, Theirs.Files)};
      }
    }
    std::this_thread::sleep_for(SettlePause);
  }
  return {ApplyOutcome::Unknown, B.Head.Generation, {}};
}

} // namespace

std::vector<DeclarationFile> readDeclarationFiles(const std::string &Folder) {
  std::vector<std::filesystem::path> Paths;
  std::error_code Error;
  for (const auto &Item : std::filesystem::directory_iterator(Folder, Error))
    if (Item.path().extension() == ".ini")
      Paths.push_back(Item.path());
  if (Error || Paths.empty()) {
    FindingList Findings;
    Findings.add({Folder, 0}, "holds no .ini files");
    throw FindingError(Findings);
  }
  std::sort(Paths.begin(), Paths.end());
  std::vector<DeclarationFile> Out;
  for (const auto &Path : Paths) {
    std::ifstream In(Path, std::ios::binary);
    Out.push_back({Path.filename().string(),
                   std::string((std::istreambuf_iterator<char>(In)),
                               std::istreambuf_iterator<char>())});
  }
  return Out;
}

RemoteConfig readRemote(BlockingObjectClient &Platform) {
  RemoteConfig Out;
  ObjectValue Value;
  const ObjectStatus Status = Platform.read(objects::ConfigHead, Value);
  if (Status == ObjectStatus::NotFound)
    return Out;
  if (Status != ObjectStatus::Ok)
    throw std::runtime_error("the platform does not answer");
  Out.Version = Value.Version;
  Out.Head = BundleHead::parse(Value.Body);
  for (const std::string &Hash : Out.Head.ChunkHashes) {
    ObjectValue Chunk;
    if (Platform.read(objects::configChunk(Hash), Chunk) != ObjectStatus::Ok)
      throw std::runtime_error("the platform does not answer");
    Out.Chunks[Hash] = Chunk.Body;
  }
  Out.Files = unpackBundle(Out.Head, Out.Chunks);
  return Out;
}

std::vector<std::string> diffSets(const std::vector<DeclarationFile> &From,
                                  const std::vector<DeclarationFile> &To) {
  const auto Old = sectionTexts(From);
  const auto New = sectionTexts(To);
  std::vector<std::string> Out;
  for (const auto &[Name, Text] : New) {
    const auto It = Old.find(Name);
    if (It == Old.end())
      Out.push_back("+ " + Name);
    else if (It->second != Text)
      Out.push_back("~ " + Name);
  }
  for (const auto &[Name, Text] : Old)
    if (!New.count(Name))
      Out.push_back("- " + Name);
  return Out;
}

ApplyResult applySet(BlockingObjectClient &Platform,
                     const std::vector<DeclarationFile> &Files,
                     const RemoteConfig &Base) {
  FindingList Findings;
  const uint64_t Generation = Base.Head.Generation + 1;
  const auto Parsed = Declarations::parse(Files, Generation, Findings);
  checkAgainstBase(*Parsed, Base, Findings);
  if (!Findings.empty())
    throw FindingError(Findings);
  const Bundle B = packBundle(Files, Generation);
  if (Base.Version != 0 && B.Head.ChunkHashes == Base.Head.ChunkHashes)
    return {ApplyOutcome::Unchanged, Base.Head.Generation, {}};
  writeChunks(Platform, B, Base);
  ObjectValue Value;
  const ObjectStatus Status =
      Platform.put(objects::ConfigHead, Base.Version, B.Head.text(), Value);
  if (Status == ObjectStatus::Ok)
    return {ApplyOutcome::Applied, Generation, {}};
  return settle(Platform, B, Base);
}

} // namespace goldcrestlink
