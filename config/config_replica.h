// One process's copy of the configuration. It accepts heads and chunks from any
// source, the platform or another process, and activates only a configuration
// that is complete, valid and newer than the active one.
//
//   ConfigReplica Replica;
//   std::vector<std::string> Missing = Replica.offerHead(HeadText);
//   for (...) Replica.addChunk(Hash, Data);
//   if (auto Set = Replica.activatePending(Findings)) publish(Set);
#ifndef GOLDCRESTLINK_CONFIG_CONFIG_REPLICA_H
#define GOLDCRESTLINK_CONFIG_CONFIG_REPLICA_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/bundle.h"

namespace goldcrestlink {

/// Not thread-safe. Holds the chunks of the active generation and those added
/// for pending ones; each activation deletes the chunks that the new active
/// generation does not use.
class ConfigReplica {
public:
  /// Makes the head pending if it is newer than the active and the pending one
  /// and its generation was not the last one refused. Returns missing(), or
  /// nothing if \p HeadText is malformed.
  std::vector<std::string> offerHead(std::string_view HeadText);
  /// Adds a chunk if the pending generation needs it and it matches its hash.
  void addChunk(const std::string &Hash, std::string Data);
  /// Chunks still needed for the pending generation.
  std::vector<std::string> missing() const;
  /// Parses the pending generation and makes it active. Returns null if there
  /// is none or chunks are missing. A generation with findings is refused: it
  /// is dropped, and the result is null.
  std::shared_ptr<const Declarations> activatePending(FindingList &Findings);

  /// The active declarations; null before the first activation.
  const std::shared_ptr<const Declarations> &current() const {
    return ActiveDeclarations;
  }
  /// The active generation; 0 before the first activation.
  uint64_t generation() const {
    return ActiveDeclarations ? ActiveDeclarations->generation() : 0;
  }
  /// The active head, to be sent to other processes; empty before the first
  /// activation.
  const std::string &headText() const { return ActiveHeadText; }
  /// A chunk that this process has, or null.
  const std::string *chunk(const std::string &Hash) const;

private:
  std::shared_ptr<const Declarations> buildPending(FindingList &Findings);
  void dropUnused();

  std::shared_ptr<const Declarations> ActiveDeclarations;
  std::string ActiveHeadText;
  BundleHead ActiveHead;
  std::optional<BundleHead> Pending;
  uint64_t RefusedGeneration = 0;
  ChunkMap Chunks;
  /// Parsed chunks by hash, so that a change parses only the chunks that
  /// differ.
  std::map<std::string, std::shared_ptr<const ParsedFile>> ParsedChunks;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_CONFIG_REPLICA_H
