// An HTTP/1.1 client on one io_context with kept-alive connections.
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

/// How a call failed: before a byte could have left, or afterwards.
enum class CallError { NotSent, Broken, Silent };

/// Per-call behaviour.
class CallOptions {
public:
  bool freshConnection() const { return FreshConnection; }
  Duration connectTimeout() const { return ConnectTimeout; }
  Duration silenceTimeout() const { return SilenceTimeout; }
  /// Calls that may not be repeated use a connection of their own, so that a
  /// kept-alive connection closed by the peer cannot leave them in doubt.
  CallOptions &setFreshConnection(bool On) {
    FreshConnection = On;
    return *this;
  }
  CallOptions &setConnectTimeout(Duration D) {
    ConnectTimeout = D;
    return *this;
  }
  /// The longest wait without a byte before the call fails as Silent.
  CallOptions &setSilenceTimeout(Duration D) {
    SilenceTimeout = D;
    return *this;
  }
  Duration maxIdleAge() const { return MaxIdleAge; }
  /// A kept connection that was idle for longer is not used again. A shorter
  /// time that the peer announced goes before it.
  CallOptions &setMaxIdleAge(Duration D) {
    MaxIdleAge = D;
    return *this;
  }

  bool repeatReads() const { return RepeatReads; }
  /// Whether a GET on a kept connection that broke is repeated once on a fresh
  /// one. Off for callers' requests: whether to repeat is decided elsewhere.
  CallOptions &setRepeatReads(bool On) {
    RepeatReads = On;
    return *this;
  }

private:
  bool FreshConnection = false;
  bool RepeatReads = true;
  Duration MaxIdleAge = std::chrono::seconds(60);
  Duration ConnectTimeout = std::chrono::seconds(1);
  Duration SilenceTimeout = std::chrono::seconds(30);
};

/// What a call reports. Exactly one of OnDone and OnError ends it.
struct CallHandlers {
  std::function<void(const ResponseHead &)> OnHead;
  std::function<void(std::string)> OnData;
  std::function<void()> OnDone;
  std::function<void(CallError, const std::string &)> OnError;
};

/// A call in progress.
class Call {
public:
  virtual ~Call() = default;
  /// Ends the call silently and closes its connection. Idempotent.
  virtual void cancel() = 0;
};

/// A whole response, for calls that need no streaming.
struct Response {
  ResponseHead Head;
  std::string Body;
};

/// Starts calls and keeps idle connections. Not thread-safe.
class Client {
public:
  explicit Client(boost::asio::io_context &Io);
  ~Client();
  /// Starts a call. Handlers run on Io's thread, never from within start().
  std::shared_ptr<Call> start(const Endpoint &To, Request What,
                              CallOptions Options, CallHandlers On);
  /// Starts a call whose answer is wanted whole. \p Done gets null on failure.
  std::shared_ptr<Call>
  fetch(const Endpoint &To, Request What, CallOptions Options,
        std::function<void(const Response *, CallError)> Done);
  /// Closes idle connections to \p To.
  void dropIdle(const Endpoint &To);

  struct Pool;

private:
  std::shared_ptr<Pool> Idle;
};

/// Makes one call on the calling thread; throws std::runtime_error on failure.
Response fetchNow(const Endpoint &To, Request What, CallOptions Options);

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_CLIENT_H
