// One process's copy of the configuration: takes heads and chunks from any
// source, the platform or another process, and accepts only what is whole,
// valid and newer than what is in force.
//
//   ConfigReplica R;
//   std::vector<std::string> Missing = R.offerHead(HeadText);
//   for (...) R.addChunk(Hash, Data);
//   if (auto D = R.takeReady(Findings)) publish(D);
#ifndef GOLDCRESTLINK_CONFIG_CONFIG_REPLICA_H
#define GOLDCRESTLINK_CONFIG_CONFIG_REPLICA_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/bundle.h"

namespace goldcrestlink {

/// Not thread-safe. Holds the chunks of at most two generations.
class ConfigReplica {
public:
  /// Considers a head. Returns the hashes of the chunks still needed for it;
  /// none if the head is not newer than what is in force or pending.
  std::vector<std::string> offerHead(std::string_view HeadText);
  /// Adds a chunk if it is needed and matches its hash.
  void addChunk(const std::string &Hash, std::string Data);
  /// Chunks still needed for the pending generation.
  std::vector<std::string> missing() const;
  /// If the pending generation is complete, parses it and puts it in force.
  /// Null if it is not complete, or if it has findings; then it is refused.
  std::shared_ptr<const Declarations> takeReady(FindingList &Findings);

  /// What is in force; null before the first.
  const std::shared_ptr<const Declarations> &current() const { return InForce; }
  uint64_t generation() const { return InForce ? InForce->generation() : 0; }
  /// The head of what is in force, for other processes; empty before.
  const std::string &headText() const { return HeadInForce; }
  /// A chunk that this process holds, or null.
  const std::string *chunk(const std::string &Hash) const;

private:
  std::shared_ptr<const Declarations> buildPending(FindingList &Findings);
  void dropUnused();

  std::shared_ptr<const Declarations> InForce;
  std::string HeadInForce;
  BundleHead Current;
  std::optional<BundleHead> Pending;
  uint64_t RefusedGeneration = 0;
  ChunkMap Chunks;
  /// Chunks as read, so that a change reads only what it touches.
  std::map<std::string, std::shared_ptr<const ReadFile>> Read;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CONFIG_CONFIG_REPLICA_H
