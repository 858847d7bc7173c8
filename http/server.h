// An HTTP/1.1 server on one io_context. The handler gets each whole request
// and a Responder with which it answers now or later, whole or streamed.
//
//   http::Server S(Io, {"127.0.0.1", 8080}, http::ServerOptions(),
//                  [](http::Request R, std::shared_ptr<http::Responder> A) {
//                    A->whole(200, {}, "hello");
//                  });
#ifndef GOLDCRESTLINK_HTTP_SERVER_H
#define GOLDCRESTLINK_HTTP_SERVER_H

#include <functional>
#include <memory>

#include "base/time.h"
#include "http/message.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace goldcrestlink::http {

/// Limits of a server. Setters return the object so that they chain.
class ServerOptions {
public:
  size_t maxHeaderBytes() const { return MaxHeaderBytes; }
  size_t maxBodyBytes() const { return MaxBodyBytes; }
  size_t maxConnections() const { return MaxConnections; }
  size_t maxUnsentBytes() const { return MaxUnsentBytes; }
  Duration idleTimeout() const { return IdleTimeout; }
  Duration headerTimeout() const { return HeaderTimeout; }
  Duration bodyTimeout() const { return BodyTimeout; }
  bool sharePort() const { return SharePort; }
  /// How long a caller may take to send a request's header.
  ServerOptions &setHeaderTimeout(Duration D) {
    HeaderTimeout = D;
    return *this;
  }
  ServerOptions &setMaxHeaderBytes(size_t N) {
    MaxHeaderBytes = N;
    return *this;
  }
  ServerOptions &setMaxBodyBytes(size_t N) {
    MaxBodyBytes = N;
    return *this;
  }
  ServerOptions &setMaxConnections(size_t N) {
    MaxConnections = N;
    return *this;
  }
  ServerOptions &setMaxUnsentBytes(size_t N) {
    MaxUnsentBytes = N;
    return *this;
  }
  ServerOptions &setIdleTimeout(Duration D) {
    IdleTimeout = D;
    return *this;
  }
  /// Several servers, one per thread, accept on the same port.
  ServerOptions &setSharePort(bool On) {
    SharePort = On;
    return *this;
  }

private:
  size_t MaxHeaderBytes = 16 * 1024;
  size_t MaxBodyBytes = 1024 * 1024;
  size_t MaxConnections = 8192;
  size_t MaxUnsentBytes = 4 * 1024 * 1024;
  Duration IdleTimeout = std::chrono::seconds(75);
  Duration HeaderTimeout = std::chrono::seconds(75);
  Duration BodyTimeout = std::chrono::seconds(60);
  bool SharePort = false;
};

/// Answers one request. All methods run on the server's thread.
class Responder {
public:
  virtual ~Responder() = default;
  /// Sends a whole answer. Precondition: nothing was sent before.
  virtual void whole(unsigned Status, const Headers &Fields,
                     std::string Body) = 0;
  /// Starts a streamed answer. Precondition: nothing was sent before.
  virtual void begin(unsigned Status, const Headers &Fields) = 0;
  /// Sends a part of a streamed answer. Precondition: begin() was called.
  virtual void data(std::string Part) = 0;
  /// Ends a streamed answer. Precondition: begin() was called.
  virtual void end() = 0;
  /// Sends what is queued, then cuts the connection, so that the caller sees
  /// the answer as incomplete.
  virtual void abort() = 0;
  /// Sets what to call once if the caller goes away before the answer ended.
  virtual void onGone(std::function<void()> Callback) = 0;
};

using Handler = std::function<void(Request, std::shared_ptr<Responder>)>;

/// Accepts connections until stopped. Not thread-safe: all on Io's thread.
class Server {
public:
  /// Binds at once; throws std::runtime_error if the address is taken.
  Server(boost::asio::io_context &Io, const Endpoint &Listen,
         ServerOptions Options, Handler OnRequest);
  ~Server();
  /// The bound port, also when 0 was asked for.
  uint16_t port() const;
  /// Limits for requests read from now on.
  void setOptions(const ServerOptions &Options);
  /// Further answers ask callers to close their connection.
  void announceClose();
  /// Closes the listener and idle connections; requests in progress go on.
  void stopAccepting();
  /// Requests that have no whole answer yet.
  size_t activeRequests() const;

  struct State;

private:
  std::shared_ptr<State> Shared;
};

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_SERVER_H
