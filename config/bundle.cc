// A chunk starts with a line "file NAME", followed by a contiguous part of the
// text of that file. A new chunk begins at a section header whose hash is a
// multiple of BoundaryModulus if the current chunk has at least MinChunkBytes,
// or at any header once it has MaxChunkBytes. Therefore an inserted or changed
// section affects the chunk that it is in and not all that follow, and each
// chunk can be parsed on its own. Linear in the text.
#include "config/bundle.h"

#include <charconv>
#include <stdexcept>

#include "base/hash.h"

namespace goldcrestlink {

namespace {

constexpr uint64_t BoundaryModulus = 96;
constexpr size_t MinChunkBytes = 2 * 1024;
constexpr size_t MaxChunkBytes = 256 * 1024;
constexpr std::string_view HeadPrefix = "generation ";
constexpr std::string_view FilePrefix = "file ";

class ChunkWriter {
public:
  explicit ChunkWriter(Bundle &Out) : Out(Out) {}

  void addFile(const DeclarationFile &File) {
    Name = File.Name;
    std::string_view Rest = File.Text;
    while (!Rest.empty()) {
      const size_t End = Rest.find('\n');
      const size_t Length =
          End == std::string_view::npos ? Rest.size() : End + 1;
      addLine(Rest.substr(0, Length));
      Rest.remove_prefix(Length);
    }
    flush();
  }

private:
  void addLine(std::string_view Line) {
    const bool IsHeader = Line.front() == '[';
    const bool IsBoundary = hash64(Line) % BoundaryModulus == 0;
    const bool IsFull = Text.size() >= MaxChunkBytes;
    if (IsHeader && (IsFull || (IsBoundary && Text.size() >= MinChunkBytes)))
      flush();
    Text.append(Line);
  }

  void flush() {
    if (Text.empty())
      return;
    std::string Chunk = std::string(FilePrefix) + Name + "\n" + Text;
    const std::string Hash = contentHash(Chunk);
    Out.Head.ChunkHashes.push_back(Hash);
    Out.Chunks.emplace(Hash, std::move(Chunk));
    Text.clear();
  }

  Bundle &Out;
  std::string Name;
  std::string Text;
};

} // namespace

std::string BundleHead::text() const {
  std::string Out = std::string(HeadPrefix) + std::to_string(Generation) + "\n";
  for (const std::string &Hash : ChunkHashes)
    Out += Hash + "\n";
  return Out;
}

BundleHead BundleHead::parse(std::string_view Text) {
  BundleHead Out;
  const size_t End = Text.find('\n');
  if (Text.substr(0, HeadPrefix.size()) != HeadPrefix ||
      End == std::string_view::npos)
    throw std::invalid_argument("configuration head has no generation");
  const std::string_view Number =
      Text.substr(HeadPrefix.size(), End - HeadPrefix.size());
  const auto [Stop, Error] = std::from_chars(
      Number.data(), Number.data() + Number.size(), Out.Generation);
  if (Error != std::errc() || Stop != Number.data() + Number.size())
    throw std::invalid_argument("configuration head has an invalid generation");
  Text.remove_prefix(End + 1);
  while (!Text.empty()) {
    const size_t Line = Text.find('\n');
    if (Line == std::string_view::npos)
      throw std::invalid_argument("configuration head is truncated");
    Out.ChunkHashes.emplace_back(Text.substr(0, Line));
    Text.remove_prefix(Line + 1);
  }
  return Out;
}

Bundle packBundle(const std::vector<DeclarationFile> &Files,
                  uint64_t Generation) {
  Bundle Out;
  Out.Head.Generation = Generation;
  ChunkWriter Writer(Out);
  for (const DeclarationFile &File : Files)
    Writer.addFile(File);
  return Out;
}

DeclarationFile decodeChunk(const std::string &Hash, std::string_view Chunk) {
  const size_t End = Chunk.find('\n');
  if (contentHash(Chunk) != Hash || End == std::string_view::npos ||
      Chunk.substr(0, FilePrefix.size()) != FilePrefix)
    throw std::invalid_argument("chunk " + Hash + " is corrupt");
  return {std::string(Chunk.substr(FilePrefix.size(), End - FilePrefix.size())),
          std::string(Chunk.substr(End + 1))};
}

std::vector<DeclarationFile> unpackBundle(const BundleHead &Head,
                                          const ChunkMap &Chunks) {
  std::vector<DeclarationFile> Files;
  for (const std::string &Hash : Head.ChunkHashes) {
    const auto It = Chunks.find(Hash);
    if (It == Chunks.end())
      throw std::invalid_argument("chunk " + Hash + " is missing");
    DeclarationFile Part = decodeChunk(Hash, It->second);
    if (Files.empty() || Files.back().Name != Part.Name)
      Files.push_back(std::move(Part));
    else
      Files.back().Text.append(Part.Text);
  }
  return Files;
}

} // namespace goldcrestlink
