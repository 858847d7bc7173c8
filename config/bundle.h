// A set of declaration files as content-addressed chunks and a small head that
// lists them. A change transfers only the chunks that differ, and every value
// stays far below the platform's limit of 1 MB.
//
//   Bundle B = packBundle(Files, Generation);
//   // Store each chunk in B.Chunks under its hash, then store B.Head.text().
//   BundleHead Head = BundleHead::parse(Text);
//   Files = unpackBundle(Head, Chunks);
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

/// Chunks by hash, sorted so that they are always stored in the same order.
using ChunkMap = std::map<std::string, std::string>;

struct Bundle {
  BundleHead Head;
  ChunkMap Chunks;
};

/// Splits files into chunks at section headers, which are selected by their
/// hash. Thread-safe.
Bundle packBundle(const std::vector<DeclarationFile> &Files,
                  uint64_t Generation);

/// Returns the part of a file that \p Chunk contains. Throws
/// std::invalid_argument if the chunk does not match \p Hash. Thread-safe.
DeclarationFile decodeChunk(const std::string &Hash, std::string_view Chunk);

/// Joins the chunks listed in \p Head into files. Throws std::invalid_argument
/// if a chunk is missing or does not match its hash. Thread-safe.
std::vector<DeclarationFile> unpackBundle(const BundleHead &Head,
                                          const ChunkMap &Chunks);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_BUNDLE_H
