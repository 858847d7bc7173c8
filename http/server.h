// An HTTP/1.1 server on one io_context. The handler gets each complete request
// and a Responder, through which it responds at once or later, with a complete
// or a streamed response.
//
//   http::Server S(Io, {"127.0.0.1", 8080}, http::ServerOptions(),
//                  [](http::Request Req, std::shared_ptr<http::Responder> R) {
//                    R->respond(200, {}, "hello");
//                  });
#ifndef GOLDCRESTLINK_HTTP_SERVER_H
#define GOLDCRESTLINK_HTTP_SERVER_H

#include <functional>
#include <memory>

#include "base/memory_budget.h"
#include "base/time.h"
#include "http/close_log.h"
#include "http/message.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace goldcrestlink::http {

/// Limits and options of a server. Setters return the object so that they
/// chain.
class ServerOptions {
public:
  size_t maxHeaderBytes() const { return MaxHeaderBytes; }
  size_t maxBodyBytes() const { return MaxBodyBytes; }
  size_t maxConnections() const { return MaxConnections; }
  size_t receiveBytes() const { return ReceiveBytes; }
  size_t maxUnsentBytes() const { return MaxUnsentBytes; }
  Duration idleTimeout() const { return IdleTimeout; }
  Duration headerTimeout() const { return HeaderTimeout; }
  Duration bodyTimeout() const { return BodyTimeout; }
  Duration bodyPause() const { return BodyPause; }
  const std::shared_ptr<MemoryBudget> &memory() const { return Memory; }
  bool reusePort() const { return ReusePort; }
  const std::shared_ptr<CloseLog> &closeLog() const { return Closes; }
  /// Gets each connection that the server closes; may be null.
  ServerOptions &setCloseLog(std::shared_ptr<CloseLog> Log) {
    Closes = std::move(Log);
    return *this;
  }
  /// The longest time between the first bytes of a request and the end of its
  /// header.
  ServerOptions &setHeaderTimeout(Duration Timeout) {
    HeaderTimeout = Timeout;
    return *this;
  }
  ServerOptions &setMaxHeaderBytes(size_t Bytes) {
    MaxHeaderBytes = Bytes;
    return *this;
  }
  ServerOptions &setMaxBodyBytes(size_t Bytes) {
    MaxBodyBytes = Bytes;
    return *this;
  }
  /// A connection on which no byte of a body arrives for this long is closed.
  ServerOptions &setBodyPause(Duration Timeout) {
    BodyPause = Timeout;
    return *this;
  }
  /// What connections, bodies and unsent answers take is reserved here; null:
  /// only the limits of each connection apply.
  ServerOptions &setMemory(std::shared_ptr<MemoryBudget> Budget) {
    Memory = std::move(Budget);
    return *this;
  }
  /// SO_RCVBUF of each connection, in bytes; 0: the kernel's default, which
  /// grows and is not reserved in the budget. Takes effect when the server is
  /// constructed.
  ServerOptions &setReceiveBytes(size_t Bytes) {
    ReceiveBytes = Bytes;
    return *this;
  }
  /// When a connection is accepted above this number, the one that has been
  /// idle for longest is closed; if none is idle, the first request of the new
  /// one is refused with 503.
  ServerOptions &setMaxConnections(size_t Count) {
    MaxConnections = Count;
    return *this;
  }
  /// A connection whose queue of unsent response bytes exceeds this is closed.
  ServerOptions &setMaxUnsentBytes(size_t Bytes) {
    MaxUnsentBytes = Bytes;
    return *this;
  }
  /// How long a client may leave a connection unused, from when it has read the
  /// last answer. The server closes it somewhat later.
  ServerOptions &setIdleTimeout(Duration Timeout) {
    IdleTimeout = Timeout;
    return *this;
  }
  /// Sets SO_REUSEPORT, so that several servers, one per thread, can accept on
  /// the same port.
  ServerOptions &setReusePort(bool Enabled) {
    ReusePort = Enabled;
    return *this;
  }

private:
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxBodyBytes = 1024 * 1024;
  size_t MaxConnections = 8192;
  size_t ReceiveBytes = 0;
  size_t MaxUnsentBytes = 4 * 1024 * 1024;
  Duration IdleTimeout = std::chrono::seconds(75);
  Duration HeaderTimeout = std::chrono::seconds(75);
  Duration BodyTimeout = std::chrono::seconds(60);
  Duration BodyPause = std::chrono::seconds(15);
  std::shared_ptr<MemoryBudget> Memory;
  bool ReusePort = false;
  std::shared_ptr<CloseLog> Closes;
};

/// Responds to one request. Not thread-safe: call all methods on the server's
/// thread. Calls after the connection has closed have no effect.
class Responder {
public:
  virtual ~Responder() = default;
  /// Sends a complete response. Precondition: nothing was sent before.
  virtual void respond(unsigned Status, const Headers &Fields,
                       std::string Body) = 0;
  /// Starts a streamed response (chunked). Precondition: nothing was sent
  /// before.
  virtual void begin(unsigned Status, const Headers &Fields) = 0;
  /// Sends a part of a streamed response. Precondition: begin() was called.
  virtual void data(std::string Part) = 0;
  /// Ends a streamed response. Precondition: begin() was called.
  virtual void end() = 0;
  /// Closes the connection once all queued bytes are sent, so that the caller
  /// sees the response as incomplete.
  virtual void abort() = 0;
  /// Sets a callback that is called at most once: when the connection closes,
  /// also by abort(), before the complete response has been sent. The callback
  /// is posted, never called from within another method of this object.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;

/// Accepts connections until stopped. Not thread-safe: all methods and the
/// handler run on Io's thread.
class Server {
public:
  /// Binds at once; throws std::runtime_error if the address is taken.
  Server(boost::asio::io_context &Io, const Endpoint &Listen,
         ServerOptions Options, Handler OnRequest);
  ~Server();
  /// The bound port; the one chosen by the kernel if \p Listen has port 0.
  uint16_t port() const;
  /// Replaces the options. Limits apply to requests read from now on.
  void setOptions(const ServerOptions &Options);
  /// From now on, responses carry "Connection: close".
  void announceClose();
  /// Closes the listener and idle connections. Requests in progress continue;
  /// their connections close after the response.
  void stopAccepting();
  /// After stopAccepting(): refuses requests that are not read to their end,
  /// now and from now on, with 503. They have not run.
  void refuseIncomplete();
  /// Requests whose response is not yet written.
  size_t activeRequests() const;
  /// After stopAccepting(): connections on which a request has begun to arrive,
  /// or an answer is not written yet, or not yet in the client's kernel.
  size_t undelivered() const;
  /// Connections that were accepted while there was no place for another one.
  uint64_t refusedConnections() const;

  struct State;

private:
  std::shared_ptr<State> Shared;
};

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_SERVER_H
