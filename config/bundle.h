// A set of declaration files as content-addressed chunks and a small head, so
// that a change moves only the chunks that it touches and every value stays
// far below the platform's limit of 1 MB.
//
//   Bundle B = packBundle(Files);
//   put each B.Chunks[i] under its hash, then put B.headText(Generation).
//   BundleHead H = parseHead(Text);  Files = unpackBundle(H, FetchChunk);
#ifndef GOLDCRESTLINK_CONFIG_BUNDLE_H
#define GOLDCRESTLINK_CONFIG_BUNDLE_H

#include <map>
#include <string>
#include <vector>

#include "config/declarations.h"

namespace goldcrestlink {

/// The list of chunks that make up one generation.
struct BundleHead {
  uint64_t Generation = 0;
  std::vector<std::string> ChunkHashes;

  /// Text form: a line "generation N", then one hash per line.
  std::string text() const;
  /// Throws std::invalid_argument if \p Text is not a head.
  static BundleHead parse(std::string_view Text);
};

/// Chunks by hash. std::map keeps apply order stable.
using ChunkMap = std::map<std::string, std::string>;

struct Bundle {
  BundleHead Head;
  ChunkMap Chunks;
};

/// Splits files into chunks at section borders chosen by content. Thread-safe.
Bundle packBundle(const std::vector<DeclarationFile> &Files,
                  uint64_t Generation);

/// The part of a file that a chunk holds. Throws std::invalid_argument if the
/// chunk does not match its hash.
DeclarationFile openChunk(const std::string &Hash, std::string_view Chunk);

/// Joins the chunks named by \p Head back into files. Throws
/// std::invalid_argument if a chunk is missing or does not match its hash.
std::vector<DeclarationFile> unpackBundle(const BundleHead &Head,
                                          const ChunkMap &Chunks);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_BUNDLE_H
