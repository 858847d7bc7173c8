// Reads, compares and applies sets of declaration files, for the operators'
// commands check, diff and apply.
//
//   BlockingObjectClient Client({http::Endpoint::parse("127.0.0.1:9000")});
//   const RemoteConfig Base = readRemoteConfig(Client);
//   const auto Files = readDeclarationFiles("examples/totara");
//   ApplyResult R = applyDeclarations(Client, Files, Base);
#ifndef GOLDCRESTLINK_CLI_APPLY_H
#define GOLDCRESTLINK_CLI_APPLY_H

#include <optional>
#include <string>
#include <vector>

#include "config/bundle.h"
#include "platform/object_client.h"

namespace goldcrestlink {

/// Reads all .ini files of \p Folder, sorted by name. Throws FindingError if
/// there are none or the folder cannot be read.
std::vector<DeclarationFile> readDeclarationFiles(const std::string &Folder);

/// The ranks in the order of their urgency, one per line, with their time
/// limits in milliseconds; a longest pause of 0 is not declared. Thread-safe.
std::vector<std::string> describeRanks(const Declarations &D);

/// The configuration in force, as the platform's object API holds it.
struct RemoteConfig {
  /// Object version of the head; 0 if there is no configuration yet.
  uint64_t Version = 0;
  BundleHead Head;
  ChunkMap Chunks;
  std::vector<DeclarationFile> Files;
};

/// Reads the configuration in force. Throws std::runtime_error if the object
/// API does not answer or lacks a chunk, and std::invalid_argument if the
/// configuration cannot be decoded.
RemoteConfig readRemoteConfig(BlockingObjectClient &Platform);

/// Lists the sections that differ between two sets, one per line: "+ kind name"
/// for an added section, "~ kind name" for a changed and "- kind name" for a
/// removed one.
std::vector<std::string>
diffDeclarations(const std::vector<DeclarationFile> &From,
                 const std::vector<DeclarationFile> &To);

enum class ApplyOutcome {
  Applied,
  /// The declarations are already in force.
  Unchanged,
  /// Another operator's configuration is in force instead of this one.
  Conflict,
  /// The object API did not answer the update, and reading the head back did
  /// not show whether the update took effect.
  Unknown
};

struct ApplyResult {
  ApplyOutcome Outcome = ApplyOutcome::Unknown;
  /// The generation in force; if the outcome is unknown, the one that the
  /// update was to put in force.
  uint64_t Generation = 0;
  /// On a conflict: the other operator's changes, as listed by
  /// diffDeclarations().
  std::vector<std::string> Changes;
};

/// Validates \p Files, also against \p Base, then applies all of them
/// atomically if \p Base is still in force. Throws FindingError if the
/// declarations are not valid, and std::runtime_error if the chunks cannot be
/// written or, after a conflict, the other operator's configuration cannot be
/// read.
ApplyResult applyDeclarations(BlockingObjectClient &Platform,
                              const std::vector<DeclarationFile> &Files,
                              const RemoteConfig &Base);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CLI_APPLY_H
