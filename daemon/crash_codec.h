// Encodes and decodes the messages by which processes exchange crash reports
// and quarantine verdicts.
//
//   wire::Envelope E = encodeCrashReport(Report);
//   auto Report = decodeCrashReport(E.crash_report());
#ifndef GOLDCRESTLINK_DAEMON_CRASH_CODEC_H
#define GOLDCRESTLINK_DAEMON_CRASH_CODEC_H

#include <span>

#include "forward/crash_attribution.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

// All functions are thread-safe.

wire::Envelope encodeCrashReport(const forward::CrashReport &Report);
/// Keeps at most as many traits as an entry reports.
forward::CrashReport decodeCrashReport(const wire::CrashReport &Message);
wire::Envelope encodeOutput(std::span<const forward::TraitOutput> Outputs);
std::vector<forward::TraitOutput>
decodeOutput(const wire::TraitOutput &Message);
wire::Envelope encodeVerdicts(std::span<const forward::TraitVerdict> Verdicts,
                              uint64_t Digest);
std::vector<forward::TraitVerdict>
decodeVerdicts(const wire::TraitVerdicts &Message);

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CRASH_CODEC_H
