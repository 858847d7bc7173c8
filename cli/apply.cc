// Chunks are written before the head, each under its hash and only if absent.
// All declarations then become visible with one conditional update of the head.
// If the response to that update is lost or reports a conflict, the head is
// read back: it holds either these declarations, the base, or those of another
// operator. Only chunks that the base lacks are written, and the number of
// attempts is bounded.
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

constexpr int ReadBackAttempts = 20;
constexpr int ChunkWriteAttempts = 3;
constexpr auto ReadBackInterval = std::chrono::milliseconds(250);

// Maps each section's "kind name" to the text of its entries, to compare sets.
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
  // Shard owners and entries must map a key to the same shard at all times.
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
    // A chunk is named by the hash of its content, so writing it again is
    // harmless, and a conflict means that it already exists.
    for (int I = 0;
         I < ChunkWriteAttempts && Status == ObjectStatus::Unavailable; ++I)
      Status = Platform.put(objects::configChunk(Hash), 0, Data, Value);
    if (Status == ObjectStatus::Unavailable)
      throw std::runtime_error("object API does not answer; the configuration "
                               "in force was not changed");
  }
}

// Reads the head back until it shows whether the update took effect.
ApplyResult confirmUpdate(BlockingObjectClient &Platform, const Bundle &B,
                          const RemoteConfig &Base) {
  for (int I = 0; I < ReadBackAttempts; ++I) {
    ObjectValue Value;
    if (Platform.read(objects::ConfigHead, Value) == ObjectStatus::Ok) {
      if (Value.Body == B.Head.text())
        return {ApplyOutcome::Applied, B.Head.Generation, {}};
      if (Value.Version != Base.Version) {
        const RemoteConfig Theirs = readRemoteConfig(Platform);
        return {ApplyOutcome::Conflict, Theirs.Head.Generation,
                diffDeclarations(Base.Files, Theirs.Files)};
      }
    }
    std::this_thread::sleep_for(ReadBackInterval);
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

std::vector<std::string> describeRanks(const Declarations &D) {
  const auto Ms = [](Duration Value) {
    return std::to_string(Value.count() / 1000);
  };
  std::vector<std::string> Out;
  for (const RankDecl &R : D.ranks())
    Out.push_back("rank " + R.Name + " target_ms=" + Ms(R.Target) +
                  " deadline_ms=" + Ms(R.Deadline) +
                  " max_pause_ms=" + Ms(R.MaxPause));
  return Out;
}

RemoteConfig readRemoteConfig(BlockingObjectClient &Platform) {
  RemoteConfig Out;
  ObjectValue Value;
  const ObjectStatus Status = Platform.read(objects::ConfigHead, Value);
  if (Status == ObjectStatus::NotFound)
    return Out;
  if (Status != ObjectStatus::Ok)
    throw std::runtime_error("cannot read the head of the configuration: "
                             "object API does not answer");
  Out.Version = Value.Version;
  Out.Head = BundleHead::parse(Value.Body);
  for (const std::string &Hash : Out.Head.ChunkHashes) {
    ObjectValue Chunk;
    if (Platform.read(objects::configChunk(Hash), Chunk) != ObjectStatus::Ok)
      throw std::runtime_error("cannot read a chunk of the configuration: "
                               "object API does not answer or lacks it");
    Out.Chunks[Hash] = Chunk.Body;
  }
  Out.Files = unpackBundle(Out.Head, Out.Chunks);
  return Out;
}

std::vector<std::string>
diffDeclarations(const std::vector<DeclarationFile> &From,
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

ApplyResult applyDeclarations(BlockingObjectClient &Platform,
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
  return confirmUpdate(Platform, B, Base);
}

} // namespace goldcrestlink
