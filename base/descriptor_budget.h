// How many descriptors of a process callers may use. The others are for
// connections to upstreams, sides and the store, and for metrics and files.
//
//   Options.setMaxConnections(callerDescriptors(8192));
#ifndef GOLDCRESTLINK_BASE_DESCRIPTOR_BUDGET_H
#define GOLDCRESTLINK_BASE_DESCRIPTOR_BUDGET_H

#include <cstddef>
#include <cstdint>

namespace goldcrestlink {

/// The number of callers' connections for a process that may have \p Limit
/// descriptors; the process's own limit applies if it is lower. At least 1.
/// Thread-safe.
size_t callerDescriptors(int64_t Limit);

/// Connections to servers for operators and the platform: metrics, readiness.
constexpr size_t ControlConnections = 32;
/// Their requests have no bodies to speak of.
constexpr size_t ControlBodyBytes = 16 * 1024;
/// The receive buffer of each of their connections.
constexpr size_t ControlReceiveBytes = 16 * 1024;

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_BASE_DESCRIPTOR_BUDGET_H
