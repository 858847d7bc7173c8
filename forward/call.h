// A caller's request, the terms on which it is sent, and the start of an
// upstream's answer: plain values that pass between the state machine
// (forward/forwarder.h) and the I/O layer.
#ifndef GOLDCRESTLINK_FORWARD_CALL_H
#define GOLDCRESTLINK_FORWARD_CALL_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "catalog/types.h"
#include "http/message.h"

namespace goldcrestlink::forward {

/// The model, adapter and size of an inference request.
struct InferenceParams {
  /// Empty for requests to plain services.
  std::string Model;
  /// Empty for the base model itself.
  std::string Adapter;
  uint32_t PromptTokens = 0;
  uint32_t MaxOutputTokens = 0;
  /// Ids of the parts of the prompt that other requests may share, in prompt
  /// order. The last part, which belongs to the request or its session, is left
  /// out.
  std::vector<uint64_t> SharedParts = {};
  /// Numbers of tokens of these parts, 0 if not stated.
  std::vector<uint32_t> SharedTokens = {};
  /// The caller's estimate of the output in tokens; 0 if it states none.
  uint32_t LengthHint = 0;
};

/// A caller's request as received.
struct IncomingCall {
  /// The caller's id of this attempt; passed on unchanged.
  std::string RequestId;
  std::string Method;
  /// Path and query, unchanged.
  std::string Target;
  std::string Host;
  /// The key by which the caller identifies its organisation; empty if there is
  /// none. Never logged, and not passed on.
  std::string Key;
  /// Header fields to forward, without those that only the system may set. They
  /// contain the key, which encodeCall() removes.
  http::Headers Fields;
  http::SharedBody Body;
  /// Id of the last event that the caller has of a stream that it takes up;
  /// empty if it wants the stream from its start.
  std::string AfterEvent;
  /// With AfterEvent: RequestId of the caller's attempt that brought the first
  /// event of the stream.
  std::string Resumes;
  /// How long the caller will wait; zero if the caller did not state it.
  Duration TimeLeft{};
  InferenceParams Inference;
};

/// What the entry adds when it sends a call to an upstream.
struct SendOptions {
  UpstreamRecord To;
  Duration TimeLeft{};
  /// Adapter version that must serve the call; 0 for any.
  uint64_t Version = 0;
  uint32_t Rank = 0;
  bool IsEngine = false;
  /// Name of the organisation that the key identifies; empty if there is none.
  std::string Organisation;
  /// The caller's key and its own statement of an organisation are left out.
  bool RemoveCredentials = false;
  /// Id of the last event that the caller has received; empty to send the
  /// stream from its start.
  std::string AfterEvent;
};

/// What an upstream says of itself in any answer.
struct UpstreamNotice {
  /// Id of the incarnation that answers; empty if the answer names none or one
  /// that no upstream can have.
  std::string InstanceId;
  /// It leaves and wants no further requests.
  bool Leaving = false;
  /// It has turned a request away and wants none for so long; zero otherwise.
  Duration Pause{};
};

/// Status and decoded header fields of an upstream's answer.
struct AnswerHead {
  unsigned Status = 0;
  http::Headers Fields;
  /// The upstream states that it did not run the request.
  bool NotRun = false;
  /// The answer bears the upstream's signature.
  bool Signed = false;
  /// The answer carries the id of another request, or is a success that carries
  /// none, so it must not be used.
  bool OtherRequest = false;
  /// Set together with NotRun if another incarnation of the upstream answers
  /// at the address.
  bool OtherInstance = false;
  bool EventStream = false;
  /// The body has neither a length nor chunks: it ends with the connection.
  bool EndsWithConnection = false;
  /// Requests a second that the upstream takes from all entries together;
  /// empty if it names no limit.
  std::optional<double> RequestLimit = std::nullopt;
  UpstreamNotice Notice;
  /// The body has a content encoding, although the entry requests none.
  bool Encoded = false;
};

enum class SendError {
  /// Nothing was sent: the upstream cannot have run the request.
  NotSent,
  /// Nothing was sent, since Forwarder::maySend() did not allow it any longer.
  Withheld,
  /// The connection failed later: the upstream may have run the request.
  Broken
};

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_CALL_H
