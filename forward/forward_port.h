// The actions that a Forwarder requests from the I/O layer, and the values that
// it names in them.
#ifndef GOLDCRESTLINK_FORWARD_FORWARD_PORT_H
#define GOLDCRESTLINK_FORWARD_FORWARD_PORT_H

#include <span>
#include <string>
#include <string_view>

#include "admission/side_admission.h"
#include "base/log_class.h"
#include "forward/call.h"
#include "forward/crash_attribution.h"
#include "forward/leaving_upstreams.h"
#include "forward/stream_origins.h"

namespace goldcrestlink::forward {

/// Why a call ended without an upstream's answer being forwarded.
enum class EndReason {
  NoConfig,
  /// The entry has just started and does not know yet what the others know.
  Starting,
  NoRoute,
  BadRequest,
  NoUpstream,
  Overloaded,
  /// The last upstream did not run the request, and no retry is allowed.
  NotAccepted,
  /// The connection failed after the request was sent, or no engine was left to
  /// retry a request that may have run.
  Broken,
  TimedOut,
  /// The answer is unsigned, encoded, too large or for another request, or does
  /// not state whether the request ran.
  BadAnswer,
  /// The limit of calls in progress was reached.
  TooMany,
  /// This process gets too little processor time to answer in time.
  Busy,
  /// The request has a trait that crashes upstreams.
  Quarantined,
  /// The request may crash its upstream, as may another one in progress.
  Suspect,
  /// It is not known which software version began the stream that the caller
  /// takes up.
  UnknownOrigin,
  /// The stream goes on at one software version only, and it is not certain
  /// which one the upstreams that this entry can reach run now.
  VersionUncertain,
  /// No upstream of the software version that began the stream can be used.
  OriginGone,
  /// Every upstream that could serve the call wants no requests for a while.
  Paused,
  /// The route needs a key of an organisation, which the request lacks.
  KeyUnknown,
  /// It is too long ago that the configuration was confirmed to decide about
  /// the key.
  ConfigUnconfirmed,
  /// The organisation has used up its quota.
  QuotaExceeded,
  /// This process stops before the call could end.
  Stopping
};

/// Name of \p Reason in logs, metrics and answers. Thread-safe.
std::string_view endReasonName(EndReason Reason);

/// Outcome in logs and metrics of a call that was answered with success.
constexpr std::string_view ServedOutcome = "served";

/// Identifies one send of one call.
struct SendId {
  uint64_t Call = 0;
  /// From 1 within the call. Used again if nothing was sent.
  uint32_t Number = 0;
};

/// A question for the origin of the stream that a caller takes up.
struct OriginQuery {
  uint64_t Call = 0;
  /// From 1 within the call; the sides are asked again after a time-out.
  uint32_t Round = 0;
  /// Hash of the id of the attempt that began the stream.
  uint64_t Attempt = 0;
};

/// The actions that a Forwarder requests from the I/O layer. The I/O layer
/// drops answers to callers that have disconnected.
class ForwardPort {
public:
  virtual ~ForwardPort() = default;
  /// Sends an admission request to the side beside \p Engine.
  virtual void requestAdmission(const UpstreamRecord &Engine,
                                const AdmissionRequest &Request) = 0;
  /// Notifies the side beside \p Engine that a request has ended, whether the
  /// side has granted it, lets it wait or has not answered yet. \p FirstToken
  /// is the time from the send to the first byte of the answer; zero if there
  /// was none.
  virtual void endAdmission(const UpstreamRecord &Engine, uint64_t AdmissionId,
                            Duration FirstToken) = 0;
  /// The side beside \p Engine did not answer in time; its connection may be
  /// dead.
  virtual void onSideTimeout(const UpstreamRecord &Engine) = 0;
  /// Informs the side beside \p Engine of the limit that the engine names, in
  /// requests per second; 0: none.
  virtual void shareLimit(const UpstreamRecord &Engine, double PerSecond) = 0;
  virtual void send(SendId Send, const IncomingCall &Request,
                    const SendOptions &SendOpts) = 0;
  /// Closes the connection that carries the send, if it is still open.
  virtual void cancelSend(SendId Send) = 0;
  /// Sends the caller a complete answer.
  virtual void answerInFull(uint64_t Call, unsigned Status,
                            const http::Headers &Fields, std::string Body) = 0;
  /// Starts a streamed answer.
  virtual void answerBegin(uint64_t Call, unsigned Status,
                           const http::Headers &Fields) = 0;
  virtual void answerData(uint64_t Call, std::string Part) = 0;
  virtual void answerEnd(uint64_t Call) = 0;
  /// Closes the caller's connection, so that the caller sees that the answer is
  /// incomplete.
  virtual void answerAbort(uint64_t Call) = 0;
  /// Sends an answer that the entry itself makes. \p RetryAfter is zero to send
  /// no Retry-After field.
  virtual void answerWithError(uint64_t Call, unsigned Status,
                               std::string_view RequestId, Duration RetryAfter,
                               EndReason Why) = 0;
  /// Checks whether \p Upstream accepts connections; the result goes to
  /// Forwarder::onProbe().
  virtual void probe(const UpstreamRecord &Upstream) = 0;
  /// Passes on to all processes that this incarnation leaves.
  virtual void shareLeaving(const UpstreamIncarnation &Leaving) = 0;
  /// Passes the origin of the stream that \p Attempt (a hash) began to the
  /// sides that keep it.
  virtual void recordOrigin(uint64_t Attempt, const StreamOrigin &Origin) = 0;
  /// Asks \p Keepers sides for the origin, or as many as there are; their
  /// answers go to Forwarder::onOrigin(). Returns the number of sides asked.
  virtual size_t requestOrigin(const OriginQuery &Query, size_t Keepers) = 0;
  /// Passes a crash that this entry has observed to the other entries.
  virtual void shareCrash(const CrashReport &Report) = 0;
  /// Informs the other entries of recent output.
  virtual void shareOutput(std::span<const TraitOutput> Outputs) = 0;
  /// Passes all verdicts to the other processes.
  virtual void shareVerdicts(std::span<const TraitVerdict> Verdicts) = 0;
  virtual void log(LogClass Class, std::string Line) = 0;
  /// Records an ended call in the metrics. \p FirstByte and \p Total count from
  /// the call's arrival; \p FirstByte is zero if there was none.
  virtual void record(uint32_t Rank, std::string_view Outcome,
                      Duration FirstByte, Duration Total) = 0;
  /// Records the longest pause of an ended stream in the metrics. \p MaxPause
  /// is the longest that is on time; zero if its route states none.
  virtual void recordPause(uint32_t Rank, Duration Longest,
                           Duration MaxPause) = 0;
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_FORWARD_PORT_H
