// Logs and counts the connections that a server closes, with the reason and
// with what stood on them: shows afterwards whether a request was lost.
//
//   auto Closes = std::make_shared<CloseLog>("callers", Log);
//   Server S(Io, Listen, ServerOptions().setCloseLog(Closes), OnRequest);
//   Page += Closes->metrics();
#ifndef GOLDCRESTLINK_HTTP_CLOSE_LOG_H
#define GOLDCRESTLINK_HTTP_CLOSE_LOG_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/log_class.h"
#include "base/time.h"

namespace goldcrestlink::http {

/// Why a server closed a connection.
enum class CloseReason : uint8_t {
  /// A complete answer announced it.
  Answered,
  /// The client ended its sending direction, or reset the connection, while
  /// none of its requests was in progress.
  PeerClosed,
  /// The same after a request was read to its end.
  CallerLeft,
  ReadFailed,
  WriteFailed,
  /// No request began within the idle time.
  IdleTimeout,
  /// A head did not arrive in time.
  HeadTimeout,
  /// A body did not arrive in time.
  BodyTimeout,
  /// A client that was refused in the middle of its request did not close.
  RefusalTimeout,
  /// Idle; another connection needs the descriptor or the room.
  YieldedIdle,
  /// Its client has stopped in the middle of a request or of reading an answer;
  /// others need the room.
  YieldedStalled,
  /// There are too many connections.
  ConnectionLimit,
  /// The memory budget has no room for the connection.
  NoRoom,
  /// The answer exceeds the limit for unsent bytes.
  AnswerTooLarge,
  /// The memory budget has no room for the answer.
  AnswerNoRoom,
  /// The handler ended the answer as incomplete.
  Aborted,
  /// The handler threw, or gave the request up without an answer.
  Dropped,
  /// Idle, and the server accepts no more connections.
  Stopping,
  /// The server was destroyed.
  ServerEnded
};
constexpr size_t CloseReasons =
    static_cast<size_t>(CloseReason::ServerEnded) + 1;

/// Name of \p Reason in logs and metrics. Thread-safe.
std::string_view closeReasonName(CloseReason Reason);

/// How far the current request of a connection has come.
enum class ConnectionStage : uint8_t {
  /// No byte of a request was handled.
  Idle,
  /// A head was read in part.
  Head,
  /// A body was read in part.
  Body,
  /// The request was read to its end; no byte of its answer was queued.
  Waiting,
  /// An answer is queued in part, or not written to its end.
  Answering,
  /// The request was refused before it was read to its end.
  Refused
};

/// Name of \p Stage in logs. Thread-safe.
std::string_view connectionStageName(ConnectionStage Stage);

/// A connection at the moment of its close.
struct ClosedConnection {
  CloseReason Reason{};
  ConnectionStage Stage{};
  /// Of the next or the current request, in bytes: read and not handled, and
  /// received by the kernel and not read.
  size_t Read = 0;
  size_t Unread = 0;
  /// Since a byte was last read or written.
  Duration Quiet{};

  /// A request, or a part of one, had arrived and got no complete answer, and
  /// its client had not left before.
  bool isUnanswered() const;
};

/// Thread-safe. Constant size.
class CloseLog {
public:
  using Sink = std::function<void(LogClass, std::string)>;

  /// \p Server is the server's name in lines and metrics; \p Log is called for
  /// each connection and must be thread-safe.
  CloseLog(std::string Server, Sink Log)
      : Server(std::move(Server)), Log(std::move(Log)) {}
  void onClosed(const ClosedConnection &Closed);
  uint64_t count(CloseReason Reason) const {
    return Counts[static_cast<size_t>(Reason)];
  }
  /// Prometheus text: a counter for each reason that has occurred.
  std::string metrics() const;

private:
  const std::string Server;
  const Sink Log;
  std::array<std::atomic<uint64_t>, CloseReasons> Counts{};
};

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_CLOSE_LOG_H
