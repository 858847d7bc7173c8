// An upstream that answers with bytes of the test's choice, for answers that no
// HTTP library would write. One thread for each connection.
//
//   RawUpstream U("127.0.3.9", [](RawConnection &C) {
//     while (C.readRequest())
//       C.write(C.requestId() + ...);
//   });
#ifndef GOLDCRESTLINK_TESTING_RAW_UPSTREAM_H
#define GOLDCRESTLINK_TESTING_RAW_UPSTREAM_H

#include <functional>
#include <memory>
#include <string>

#include "http/message.h"

namespace goldcrestlink::testing {

/// Used by one thread.
class RawConnection {
public:
  struct State;
  explicit RawConnection(State &Impl) : Impl(Impl) {}

  /// Reads the next request; false if the peer has closed the connection.
  bool readRequest();
  /// The same without reading the body.
  bool readHead();
  /// Of the last request; empty if it has no such field.
  std::string field(const std::string &Name) const;
  std::string requestId() const { return field("Request-Id"); }
  bool isHealthCheck() const;
  /// False if the peer has closed the connection.
  bool write(const std::string &Bytes);
  /// Closes with a reset.
  void reset();

private:
  State &Impl;
};

class RawUpstream {
public:
  using Script = std::function<void(RawConnection &)>;

  /// Listens at a free port of \p Address. \p OnConnection runs on the thread
  /// of each connection, which is closed when it returns.
  /// \p ReceiveBytes, if not 0, is the size of the kernel's receive buffers.
  RawUpstream(const std::string &Address, Script OnConnection,
              int ReceiveBytes = 0);
  /// Closes all connections and waits for their threads.
  ~RawUpstream();
  http::Endpoint endpoint() const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace goldcrestlink::testing

#endif // GOLDCRESTLINK_TESTING_RAW_UPSTREAM_H
