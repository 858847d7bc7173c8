// What the platform says about a deployment, as plain values: routes, services,
// upstreams that run, and newest adapter versions. platform/ decodes the
// records of the platform's store into these types; nothing here names a field
// of its protocol.
#ifndef GOLDCRESTLINK_CATALOG_TYPES_H
#define GOLDCRESTLINK_CATALOG_TYPES_H

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace goldcrestlink {

/// What may be repeated on a route.
enum class Repeatability {
  /// May run more than once per caller's attempt.
  Idempotent,
  /// At most one run per caller's attempt.
  AtMostOnce,
  /// A stream that may go on at another upstream after its last event.
  ResumableStream
};

/// One share of a route's traffic.
struct RouteTarget {
  std::string Service;
  double Weight = 1;
};

/// Where requests of one host and path prefix go, and within which bounds.
struct RouteSpec {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  Repeatability Repeat = Repeatability::AtMostOnce;
  bool Streaming = false;
  /// The longest time that a caller may be kept without a final answer.
  Duration Timeout = std::chrono::seconds(30);
  /// Answers within this time earn full credit (streams: the first event).
  Duration Objective = std::chrono::seconds(1);
  /// 0 is the most urgent.
  uint32_t Rank = 0;
  /// The most upstreams that one caller's attempt may be sent to.
  uint32_t MaxAttempts = 1;
  std::vector<RouteTarget> Targets;
};

/// A base model that an engine service offers.
struct ModelSpec {
  std::string Name;
  double SizeMb = 0;
  double AdapterMb = 0;
  /// From the weight store.
  Duration LoadTime = std::chrono::seconds(1);
};

/// What is the same for all engines of one service.
struct EngineSpec {
  uint32_t BatchSlots = 1;
  uint64_t MemoryTokens = 0;
  uint32_t AdapterSlots = 0;
  /// Room for base models and adapters together.
  double WeightsMb = 0;
  std::vector<ModelSpec> Models;
};

/// A group of upstreams that serve the same routes.
struct ServiceSpec {
  std::string Name;
  std::string HealthPath = "/health";
  bool IsEngine = false;
  EngineSpec Engine;
};

/// Bounds on what a caller may send, and how slowly.
struct CallerLimits {
  size_t HeaderBytes = 16 * 1024;
  size_t BodyBytes = 4 * 1024 * 1024;
  Duration HeaderTime = std::chrono::seconds(3);
  Duration IdleTime = std::chrono::seconds(15);
};

/// One whole accepted configuration.
struct DeploymentConfig {
  uint64_t Version = 0;
  std::vector<RouteSpec> Routes;
  std::vector<ServiceSpec> Services;
  CallerLimits Limits;
};

/// One running incarnation of an upstream, as it registered itself.
struct UpstreamRecord {
  std::string Id;
  std::string Service;
  http::Endpoint Address;
  std::string DataCentre;
  uint32_t Slots = 1;
  bool Draining = false;

  bool operator==(const UpstreamRecord &) const = default;
};

/// The newest announced version of an adapter, or of a base model if Adapter
/// is empty.
struct WeightRelease {
  std::string Model;
  std::string Adapter;
  uint64_t Version = 0;
  /// Store revision of the announcement; 0 if it did not come from there.
  uint64_t Revision = 0;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CATALOG_TYPES_H
