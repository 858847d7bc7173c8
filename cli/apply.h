// Operators' commands on sets of declaration files: check, diff and apply.
//
//   DeclarationSet S = readDeclarations("deploy/");   // throws FindingError
//   ApplyResult R = apply(Client, S, ExpectedGeneration);
#ifndef GOLDCRESTLINK_CLI_APPLY_H
#define GOLDCRESTLINK_CLI_APPLY_H

#include <optional>
#include <string>
#include <vector>

#include "config/bundle.h"
#include "platform/object_client.h"

namespace goldcrestlink {

/// Files of a set, in the order of their names.
std::vector<DeclarationFile> readDeclarationFiles(const std::string &Folder);

/// The configuration in force on the platform.
struct RemoteConfig {
  uint64_t Version = 0;
  BundleHead Head;
  ChunkMap Chunks;
  std::vector<DeclarationFile> Files;
};

/// Reads it; throws std::runtime_error if the platform does not answer.
/// Without a configuration, Version is 0.
RemoteConfig readRemote(BlockingObjectClient &Platform);

/// Sections added, removed and changed from one set to another, one per line.
std::vector<std::string> diffSets(const std::vector<DeclarationFile> &From,
                                  const std::vector<DeclarationFile> &To);

enum class ApplyOutcome {
  Applied,
  /// The set is already in force.
  Unchanged,
  /// Another operator was faster; nothing was changed.
  Raced,
  /// The platform did not answer, and reading back did not settle it.
  Unknown
};

struct ApplyResult {
  ApplyOutcome Outcome = ApplyOutcome::Unknown;
  uint64_t Generation = 0;
  /// With Raced: what the other operator changed.
  std::vector<std::string> Changes;
};

/// Checks \p Files against what is in force, then applies them as a whole on
/// condition that it is still \p Base. Throws FindingError if the set is not
/// valid, and std::runtime_error if the chunks could not be written.
ApplyResult applySet(BlockingObjectClient &Platform,
                     const std::vector<DeclarationFile> &Files,
                     const RemoteConfig &Base);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CLI_APPLY_H
