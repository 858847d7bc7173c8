// A caller's request and what an entry does with it, as plain values between
// the decisions (forward/forwarder.h) and the shells around them.
#ifndef GOLDCRESTLINK_FORWARD_CALL_H
#define GOLDCRESTLINK_FORWARD_CALL_H

#include <cstdint>
#include <string>

#include "catalog/types.h"
#include "http/message.h"

namespace goldcrestlink::forward {

/// What a request asks of a model; Model is empty for plain services.
struct ModelAsk {
  std::string Model;
  /// Empty: the base model itself.
  std::string Adapter;
  uint32_t PromptTokens = 0;
  uint32_t MaxOutputTokens = 0;
};

/// A caller's request as it was received.
struct CallerCall {
  /// The caller's id of this attempt; passed on unchanged.
  std::string RequestId;
  std::string Method;
  /// Path and query, unchanged.
  std::string Target;
  std::string Host;
  /// Fields to pass on; those that only the system may set are left out.
  http::Headers Fields;
  std::string Body;
  /// How long the caller will wait; zero if it did not say.
  Duration TimeLeft{};
  ModelAsk Ask;
};

/// What the entry adds when it sends a call to an upstream.
struct SendTerms {
  UpstreamRecord To;
  Duration TimeLeft{};
  /// The adapter version that is to serve it; 0: any.
  uint64_t Version = 0;
  uint32_t Rank = 0;
  bool IsEngine = false;
  /// Id of the last event that the caller has; empty: from the start.
  std::string AfterEvent;
};

/// How an upstream's answer begins, its fields decoded.
struct AnswerHead {
  unsigned Status = 0;
  http::Headers Fields;
  /// The upstream states that it has not run the request.
  bool NotRun = false;
  /// The answer bears the upstream's signature.
  bool Signed = false;
  /// The answer names another request: it belongs to nobody here.
  bool OtherRequest = false;
  /// Set with NotRun if another incarnation answers at the address.
  bool OtherInstance = false;
  bool EventStream = false;
  /// The body has a content encoding, which no upstream was asked for.
  bool Encoded = false;
};

/// How a send failed.
enum class SendError { NotSent, Broken };

} // namespace goldcrestlink::forward

#endif // GOLDCRESTLINK_FORWARD_CALL_H
