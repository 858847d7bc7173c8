// A deployment as the platform describes it, in plain value types: routes,
// services, running upstreams and the newest adapter versions. platform/
// decodes the records of the platform's store into these types, which do not
// depend on its protocol.
//
//   RouteSpec Route;
//   Route.PathPrefix = "/v1/";
//   Route.Targets = {{"engines", 1}};
#ifndef GOLDCRESTLINK_CATALOG_TYPES_H
#define GOLDCRESTLINK_CATALOG_TYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "catalog/store_revision.h"
#include "http/message.h"

namespace goldcrestlink {

/// Whether a request of a route may be sent again.
enum class Repeatability {
  /// A request may run more than once per caller's attempt.
  Idempotent,
  /// A request may run at most once per caller's attempt.
  AtMostOnce,
  /// A stream, which another upstream may continue after the last event
  /// received.
  ResumableStream
};

/// A service that receives a share of a route's traffic.
struct RouteTarget {
  std::string Service;
  /// The share, relative to the sum of the route's weights.
  double Weight = 1;
};

/// The targets and limits for requests of one host and path prefix.
struct RouteSpec {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  Repeatability Repeat = Repeatability::AtMostOnce;
  bool Streaming = false;
  /// The maximum time until the caller gets a final answer.
  Duration Timeout = std::chrono::seconds(30);
  /// Latency objective: answers within this time count in full. For streams,
  /// the time to the first event.
  Duration Objective = std::chrono::seconds(1);
  /// Longest pause between two events of a stream that still counts as on time;
  /// zero if the route states none.
  Duration MaxPause{};
  /// 0 is the most urgent.
  uint32_t Rank = 0;
  /// Requests need no key of an organisation.
  bool Public = false;
  /// The maximum number of upstreams that one caller's attempt may be sent to.
  uint32_t MaxAttempts = 1;
  std::vector<RouteTarget> Targets;
};

/// A base model that an engine service offers.
struct ModelSpec {
  std::string Name;
  double SizeMb = 0;
  /// Size of each adapter.
  double AdapterMb = 0;
  /// Duration of a load from the weight store.
  Duration LoadTime = std::chrono::seconds(1);
};

/// The properties that all engines of one service share.
struct EngineSpec {
  /// Maximum number of requests that run at the same time.
  uint32_t BatchSlots = 1;
  uint64_t MemoryTokens = 0;
  uint32_t AdapterSlots = 0;
  /// Tokens that an event of a stream holds.
  uint32_t TokensPerEvent = 1;
  /// Memory for base models and adapters together.
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

/// Size and time limits for callers' requests.
struct CallerLimits {
  size_t HeaderBytes = 16 * 1024;
  size_t BodyBytes = 4 * 1024 * 1024;
  /// Maximum time until a request's header is complete.
  Duration HeaderTime = std::chrono::seconds(3);
  Duration IdleTime = std::chrono::seconds(15);
};

/// What a quota counts.
enum class QuotaUnit { Requests, Tokens };

/// A limit on the requests of one organisation at all entries together.
struct QuotaSpec {
  QuotaUnit Unit = QuotaUnit::Requests;
  /// In units per second; 0 for no limit.
  double RatePerSecond = 0;
  /// In units.
  double Burst = 0;
  /// With Tokens: what a request that does not state its tokens counts.
  uint32_t PlainTokens = 0;

  bool operator==(const QuotaSpec &) const = default;
};

/// A customer whose callers identify themselves by keys.
struct OrganisationSpec {
  std::string Name;
  std::vector<std::string> Keys;
  /// Goes before the rank of the route; empty if only that counts.
  std::optional<uint32_t> Rank;
  QuotaSpec Quota;
};

/// A complete, accepted configuration.
struct DeploymentConfig {
  uint64_t Version = 0;
  /// If there are any, requests need a key unless their route is public.
  std::vector<OrganisationSpec> Organisations;
  std::vector<RouteSpec> Routes;
  std::vector<ServiceSpec> Services;
  CallerLimits Limits;
};

/// One incarnation of an upstream, from a start to its end, as it registered
/// itself in the store.
struct UpstreamRecord {
  std::string Id;
  std::string Service;
  http::Endpoint Address;
  std::string DataCentre;
  uint32_t Slots = 1;
  bool Draining = false;
  /// Version of the upstream's software, not of weights; empty if it has not
  /// stated one.
  std::string SoftwareVersion;
  /// Unix time of the incarnation's start in milliseconds; 0 if not stated.
  uint64_t StartedMs = 0;

  bool operator==(const UpstreamRecord &) const = default;
};

/// A version of an adapter or base model, and how long ago it was announced.
struct AnnouncedVersion {
  uint64_t Version = 0;
  /// See WeightRelease::Age.
  Duration Age{};

  bool operator==(const AnnouncedVersion &) const = default;
};

/// An announced version of an adapter, or of a base model if Adapter
/// is empty.
struct WeightRelease {
  std::string Model;
  std::string Adapter;
  uint64_t Version = 0;
  /// Revision of the announcement; 0 if it did not come from the store.
  StoreRevision Revision = {};
  /// Time since the announcement. It may be longer: this is the longest for
  /// which a process is known to have known it.
  Duration Age{};

  /// Stands for an age that is not known: every process takes the version for
  /// one that has replaced the older ones.
  static constexpr Duration LongAgo = std::chrono::hours(1);
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_CATALOG_TYPES_H
