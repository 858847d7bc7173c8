// An asynchronous HTTP/1.1 client on one io_context that reuses keep-alive
// connections.
//
//   http::Client C(Io);
//   auto Call = C.start({"127.0.0.1", 8000}, Request, http::CallOptions(),
//                       {OnHead, OnData, OnDone, OnError});
//   Call->cancel();   // closes the connection; no handler runs afterwards
#ifndef GOLDCRESTLINK_HTTP_CLIENT_H
#define GOLDCRESTLINK_HTTP_CLIENT_H

#include <functional>
#include <memory>

#include "base/time.h"
#include "http/message.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace goldcrestlink::http {

/// How a call failed.
enum class CallError {
  /// No byte of the request can have reached the peer.
  NotSent,
  /// The connection ended, or the response was malformed, after bytes may have
  /// been sent: the peer may have processed the request.
  Broken,
  /// The response or its next part did not arrive in time. The peer may have
  /// processed the request.
  TimedOut
};

/// Options of one call. Setters return the object so that they chain.
class CallOptions {
public:
  bool freshConnection() const { return FreshConnection; }
  Duration connectTimeout() const { return ConnectTimeout; }
  Duration readTimeout() const { return ReadTimeout; }
  /// Opens a new connection instead of reusing an idle one, and closes it
  /// after the call. For requests that must not be retried: the peer may close
  /// an idle connection just as a request is sent on it, and then it is unknown
  /// whether the request was processed.
  CallOptions &setFreshConnection(bool On) {
    FreshConnection = On;
    return *this;
  }
  /// The longest time until a new connection is established. A call that
  /// exceeds it fails as NotSent.
  CallOptions &setConnectTimeout(Duration Timeout) {
    ConnectTimeout = Timeout;
    return *this;
  }
  /// The longest time from the start of sending until the response header is
  /// complete, and after that until the next part of the body. A call that
  /// exceeds it fails as TimedOut.
  CallOptions &setReadTimeout(Duration Timeout) {
    ReadTimeout = Timeout;
    return *this;
  }
  Duration maxIdleAge() const { return MaxIdleAge; }
  /// The connection of this call is not reused after being idle for longer. If
  /// the peer announced a keep-alive timeout, that applies instead.
  CallOptions &setMaxIdleAge(Duration Age) {
    MaxIdleAge = Age;
    return *this;
  }

  bool retryGets() const { return RetryGets; }
  /// Whether a GET is retried once on a new connection if the reused connection
  /// broke before the response began. Off for callers' requests, whose retries
  /// follow the rules of their route.
  CallOptions &setRetryGets(bool On) {
    RetryGets = On;
    return *this;
  }

private:
  bool FreshConnection = false;
  bool RetryGets = true;
  Duration MaxIdleAge = std::chrono::seconds(60);
  Duration ConnectTimeout = std::chrono::seconds(1);
  Duration ReadTimeout = std::chrono::seconds(30);
};

/// Callbacks of a call; each may be empty. OnHead is called once, OnData for
/// each part of the body as it arrives. Exactly one of OnDone and OnError is
/// called at the end, unless the call is cancelled.
struct CallHandlers {
  /// Asked when a connection was opened, before the request is written on it.
  /// If false, the call fails as NotSent.
  std::function<bool()> MayWrite;
  std::function<void(const ResponseHead &)> OnHead;
  std::function<void(std::string)> OnData;
  std::function<void()> OnDone;
  std::function<void(CallError, const std::string &)> OnError;
};

/// A call in progress.
class Call {
public:
  virtual ~Call() = default;
  /// Ends the call without a callback and closes its connection. A request
  /// that has not arrived does not arrive later; a peer that has it learns that
  /// it was given up, also if packets are lost. Idempotent; no effect after the
  /// end of the call. Not thread-safe.
  virtual void cancel() = 0;
  /// Closes the connection after the response instead of keeping it for other
  /// calls. To be called from a handler of this call. Not thread-safe.
  virtual void closeWhenDone() = 0;
};

/// A complete response, for calls that need no streaming.
struct Response {
  ResponseHead Head;
  std::string Body;
};

/// Starts calls and keeps a pool of idle connections. Not thread-safe.
class Client {
public:
  explicit Client(boost::asio::io_context &Io);
  ~Client();
  /// Starts a call. Handlers run on Io's thread, never from within start().
  std::shared_ptr<Call> start(const Endpoint &To, Request Req,
                              CallOptions Options, CallHandlers Handlers);
  /// Starts a call and collects its response, up to 16 MB; a longer one fails
  /// the call. \p Done receives the complete response, or null and the error on
  /// failure; on success the error is to be
  /// ignored.
  std::shared_ptr<Call>
  fetch(const Endpoint &To, Request Req, CallOptions Options,
        std::function<void(const Response *, CallError)> Done);
  /// Closes the idle connections to \p To.
  void dropIdle(const Endpoint &To);

  struct Pool;

private:
  std::shared_ptr<Pool> Connections;
};

/// Makes one call and blocks until it ends; throws std::runtime_error on
/// failure. Thread-safe.
Response fetchBlocking(const Endpoint &To, Request Req, CallOptions Options);

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_CLIENT_H
