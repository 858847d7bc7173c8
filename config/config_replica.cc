// Generations only increase: a head that is not newer than both the active and
// the pending one is ignored, whatever its source. Generations share chunks by
// hash, so that a change fetches and parses only the chunks that differ. The
// line numbers of findings count from the start of a chunk; the command that
// applies a set of files reports them with their lines in the files.
#include "config/config_replica.h"

#include <set>
#include <stdexcept>

#include "base/hash.h"

namespace goldcrestlink {

std::vector<std::string> ConfigReplica::offerHead(std::string_view HeadText) {
  BundleHead Head;
  try {
    Head = BundleHead::parse(HeadText);
  } catch (const std::invalid_argument &) {
    return {};
  }
  const uint64_t Newest =
      std::max(generation(), Pending ? Pending->Generation : 0);
  if (Head.Generation > Newest && Head.Generation != RefusedGeneration)
    Pending = std::move(Head);
  return missing();
}

std::vector<std::string> ConfigReplica::missing() const {
  std::vector<std::string> Out;
  if (!Pending)
    return Out;
  for (const std::string &Hash : Pending->ChunkHashes)
    if (!Chunks.count(Hash))
      Out.push_back(Hash);
  return Out;
}

void ConfigReplica::addChunk(const std::string &Hash, std::string Data) {
  if (!Pending || contentHash(Data) != Hash)
    return;
  for (const std::string &Needed : Pending->ChunkHashes)
    if (Needed == Hash) {
      Chunks.emplace(Hash, std::move(Data));
      return;
    }
}

std::shared_ptr<const Declarations>
ConfigReplica::buildPending(FindingList &Findings) {
  std::vector<std::shared_ptr<const ParsedFile>> Files;
  Files.reserve(Pending->ChunkHashes.size());
  for (const std::string &Hash : Pending->ChunkHashes) {
    auto &Parsed = ParsedChunks[Hash];
    if (!Parsed)
      Parsed = std::make_shared<ParsedFile>(
          Declarations::parseFile(decodeChunk(Hash, Chunks.at(Hash))));
    Files.push_back(Parsed);
  }
  return Declarations::build(Files, Pending->Generation, Findings);
}

std::shared_ptr<const Declarations>
ConfigReplica::activatePending(FindingList &Findings) {
  if (!Pending || !missing().empty())
    return nullptr;
  std::shared_ptr<const Declarations> Parsed;
  try {
    Parsed = buildPending(Findings);
  } catch (const std::invalid_argument &Bad) {
    Findings.add({"configuration", 0}, Bad.what());
  }
  if (!Findings.empty()) {
    RefusedGeneration = Pending->Generation;
    Pending.reset();
    return nullptr;
  }
  ActiveDeclarations = Parsed;
  ActiveHeadText = Pending->text();
  ActiveHead = std::move(*Pending);
  Pending.reset();
  dropUnused();
  return ActiveDeclarations;
}

const std::string *ConfigReplica::chunk(const std::string &Hash) const {
  const auto It = Chunks.find(Hash);
  return It == Chunks.end() ? nullptr : &It->second;
}

void ConfigReplica::dropUnused() {
  const std::set<std::string> Used(ActiveHead.ChunkHashes.begin(),
                                   ActiveHead.ChunkHashes.end());
  std::erase_if(Chunks, [&](const auto &C) { return !Used.count(C.first); });
  std::erase_if(ParsedChunks,
                [&](const auto &R) { return !Used.count(R.first); });
}

} // namespace goldcrestlink
