// One Connection per socket reads a request, passes it to the handler, and
// queues the response bytes. It reads the next request only after the response
// is written. While a request is in progress, the connection also waits for the
// socket to become readable, which is how a disconnect of the caller is
// detected. The header, body and unsent-bytes limits bound the memory per
// connection, and maxConnections() bounds the number of connections.
//
// A read has a deadline. When it runs out, the read is cancelled, and its
// handler closes the connection or refuses the request unless bytes have
// arrived: a process that got no processor time finds both at once. One timer
// per connection is armed for the earliest deadline and moved when it fires.
//
// With a memory budget, room for a body is reserved before it is read: at once
// for an announced length, step by step for chunks. If the budget is short,
// connections that have stopped in the middle of a body or of reading an answer
// yield (their bodies are refused with 503), then idle ones; then the request
// itself is refused. What the kernel may hold unread
// is reserved with each connection, since the platform counts it. An answer
// that finds no room closes the connection whose reader has taken nothing for
// longest, then idle ones. Each of these searches looks at every connection
// once. The read buffer is bounded, and with it chunk extensions and trailers;
// trailers are not passed on. One read of a body is parsed before other
// connections get their turn, so tiny chunks do not hold up the event loop.
#include "http/server.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <unordered_set>

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include "http/connection_policy.h"
#include "http/room_body.h"

namespace goldcrestlink::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {
class Connection;

// Size of the first read of a request; most headers are smaller.
constexpr size_t FirstReadBytes = 4096;
// What a connection takes in the budget: its object, parser and first buffer.
constexpr size_t ConnectionBytes = 8 * 1024;
// Part of ConnectionBytes: answers up to this size need no room of their own,
// so that a refusal always finds it.
constexpr size_t CoveredAnswerBytes = 1024;
// The kernel doubles the value of SO_RCVBUF.
constexpr size_t KernelFactor = 2;
// The read buffer also holds the end of a chunk before the next chunk's head.
constexpr size_t BufferSlack = 256;
// Requests and answers up to this size may use the room kept for small ones.
constexpr size_t SmallBytes = 16 * 1024;
// A client that is in the middle of a body and has sent nothing for so long, or
// a reader that has taken nothing for so long, loses its room to others.
constexpr Duration StalledAfter = std::chrono::seconds(1);
// Told to clients that are refused for lack of memory, in seconds.
constexpr const char *MemoryRetryAfter = "1";
// Told to clients of a process that stops: another one takes requests now.
constexpr const char *StoppingRetryAfter = "0";
// A client that is refused in the middle of its request gets this long to take
// the answer; a close with unread bytes would discard it.
constexpr Duration RefusalTime = std::chrono::seconds(1);
// A connection that has been idle for less does not yield: a request may be on
// its way.
constexpr Duration MinIdle = std::chrono::seconds(1);
// An idle connection is kept for one part in so many of the idle time beyond
// it: its client counts from when it has read the last answer, this process
// from when it has written it.
constexpr int IdleMarginPart = 2;
// Time to read what had arrived when the time for it ran out.
constexpr Duration ArrivedTime = std::chrono::seconds(1);
// How often it is checked whether an answer is in the client's kernel.
constexpr Duration DeliveryPoll = std::chrono::milliseconds(20);
// Connections for which there is no place, and whose first request is refused.
// Further ones wait in the listener's queue.
constexpr size_t MaxRefusing = 32;
// Pause after a failed accept, for example for lack of descriptors: the
// connection stays in the queue, and a new attempt would fail at once.
constexpr Duration AcceptPause = std::chrono::milliseconds(50);

using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
} // namespace

struct Server::State : std::enable_shared_from_this<Server::State> {
  State(asio::io_context &Io, ServerOptions Options, Handler OnRequest)
      : Io(Io), Acceptor(Io), AcceptTimer(Io), Options(std::move(Options)),
        OnRequest(std::move(OnRequest)),
        ReceiveBytes(this->Options.receiveBytes()) {}

  void listen(const Endpoint &Listen);
  void accept();
  void acceptLater();
  // Accepts the connections that wait in the listener's queue; closing the
  // listener would reset them, with the requests that they bring.
  void acceptQueued();
  void onAccepted(Tcp::socket Socket);
  void stop();
  // Closes the connections that have no request in progress.
  void closeIdle();
  // The connection that has been idle for longest yields; false if none is.
  bool closeOldestIdle();
  // The connection, other than \p Asking, that has stopped for longest in the
  // middle of a body, or of reading an answer, yields; false if none has.
  bool closeOldestStalled(const Connection *Asking);
  // One of these yields, a stalled one first; false if there is none.
  bool makeRoom(const Connection *Asking);
  bool yieldOldest(Duration MinQuiet, bool (Connection::*MayYield)() const,
                   const Connection *Asking);

  asio::io_context &Io;
  Tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  ServerOptions Options;
  Handler OnRequest;
  // Of each accepted connection; options that are set later do not change it.
  const size_t ReceiveBytes;
  std::unordered_set<Connection *> Connections;
  size_t Active = 0;
  // Connections whose answer is written but not yet in the client's kernel.
  size_t Delivering = 0;
  uint64_t Refused = 0;
  // Connections for which there is no place; they are among Connections.
  size_t Refusing = 0;
  // No new connections are accepted.
  bool Stopping = false;
  // Responses carry "Connection: close".
  bool AnnounceClose = false;
  // Requests that are not read to their end are refused.
  bool RefuseIncomplete = false;
};

namespace {

class Connection : public Responder,
                   public std::enable_shared_from_this<Connection> {
public:
  Connection(std::shared_ptr<Server::State> Owner, Tcp::socket Socket)
      : Owner(std::move(Owner)), Socket(std::move(Socket)),
        DeadlineTimer(this->Owner->Io), DeliveryTimer(this->Owner->Io),
        Room(this->Owner->Options.memory(), MemoryKind::Connections),
        AnswerRoom(this->Owner->Options.memory(), MemoryKind::Answers) {
    this->Owner->Connections.insert(this);
  }

  ~Connection() override {
    if (!Closed)
      reportClose(closed(CloseReason::Dropped));
    Owner->Connections.erase(this);
    if (RefusedFor)
      --Owner->Refusing;
    finishRequest();
  }

  // Reserves room for the connection; false if there is none.
  bool admit() { return Room.resize(baseBytes(), MemoryClaim::Small); }

  // Refuses the first request, instead of admit(), since there is no place for
  // the connection for the reason \p Why.
  void refuse(CloseReason Why) {
    RefusedFor = Why;
    ++Owner->Refusing;
    expireAfter(RefusalTime);
    awaitRequest();
  }

  void readRequest() {
    Parser.emplace();
    Parser->header_limit(
        static_cast<uint32_t>(Owner->Options.maxHeaderBytes()));
    Parser->body_limit(Owner->Options.maxBodyBytes());
    Buffer.max_size(std::max({Owner->Options.maxHeaderBytes(), FirstReadBytes,
                              Buffer.size()}) +
                    BufferSlack);
    if (Buffer.size() == 0 && Buffer.capacity() > FirstReadBytes)
      Buffer.shrink_to_fit();
    Room.shrink(baseBytes());
    LastProgress = currentTime().Steady;
    if (Buffer.size() > 0)
      return readHeader();
    expireAfter(Owner->Options.idleTimeout() +
                Owner->Options.idleTimeout() / IdleMarginPart);
    awaitRequest();
  }

  void awaitRequest() {
    AwaitsRequest = true;
    Socket.async_read_some(
        Buffer.prepare(FirstReadBytes),
        [Self = shared_from_this()](ErrorCode Error, size_t Bytes) {
          Self->AwaitsRequest = false;
          Self->FirstBytes = Bytes;
          if (Self->takesUpRead(Error))
            return Self->awaitRequest();
          if (Error)
            return Self->closeReading(Error);
          Self->FirstBytes = 0;
          if (Self->RefusedFor)
            return Self->reject(503, "busy");
          // It was to yield when the request arrived.
          if (!Self->admit())
            return Self->reject(503, "memory");
          Self->Buffer.commit(Bytes);
          Self->readHeader();
        });
  }

  // Closes the connection unless a request has begun to arrive.
  void closeAtStop() {
    if (AwaitsRequest)
      giveUp(CloseReason::Stopping);
  }

  bool awaitsRequest() const {
    return AwaitsRequest && !GivingUp && !RefusedFor;
  }
  // Waits for bytes of a body or for its client to take an answer.
  bool awaitsClient() const {
    return !Closed && !GivingUp && (ReadsBody || UnsentBytes > 0);
  }
  // The client takes no bytes of its answer that could be written, or has sent
  // nothing of its request that was not read. Otherwise this process is the one
  // that is late.
  bool isClientSilent() {
    if (UnsentBytes == 0)
      return !hasArrived();
    pollfd Writable = {Socket.native_handle(), POLLOUT, 0};
    return poll(&Writable, 1, 0) == 0;
  }
  Time lastProgress() const { return LastProgress; }

  // For lack of room or descriptors. The room that it gives up is free at once.
  void yield() {
    if (AwaitsRequest) {
      Room.shrink(0);
      return giveUp(CloseReason::YieldedIdle);
    }
    if (!ReadsBody)
      return close(CloseReason::YieldedStalled);
    Parser->get().body() = {};
    BodyRoom->shrink(0);
    giveUp(CloseReason::YieldedStalled);
  }

  // A request has begun to arrive and is not read to its end, or it was refused
  // and the rest of it is discarded.
  bool isReceiving() const { return !Closed && !AwaitsRequest && !InRequest; }

  // Refuses a request that is arriving. The handler of the read does it, since
  // it may be queued with the end of the request.
  void refuseIncomplete() {
    ErrorCode Ignored;
    if (isReceiving() && !Rejected)
      Socket.cancel(Ignored);
  }

  void closeIfIdle() {
    if (!InRequest && Unsent.empty())
      close(CloseReason::ServerEnded);
  }

  void respond(unsigned Status, const Headers &Fields,
               std::string Body) override {
    bhttp::response<bhttp::empty_body> Response;
    fillHead(Response, Status, Fields);
    // These have no body, and a client would take one for the next answer.
    if (Status / 100 == 1 || Status == 204 || Status == 304)
      Body.clear();
    else
      Response.content_length(Body.size());
    std::string Head = serialise(Response);
    if (Closed)
      return;
    const size_t Size = Head.size() + Body.size();
    if (Size > CoveredAnswerBytes && !reserveAnswer(Size))
      return respondWithoutRoom();
    ResponseComplete = true;
    if (Body.size() <= SmallBytes)
      return enqueue(std::move(Head) + Body);
    enqueue(std::move(Head));
    enqueue(std::move(Body));
  }

  void begin(unsigned Status, const Headers &Fields) override {
    bhttp::response<bhttp::empty_body> Response;
    if (!Chunked)
      KeepAlive = false;
    fillHead(Response, Status, Fields);
    if (Chunked)
      Response.chunked(true);
    EndsWithConnection = !Chunked;
    std::string Head = serialise(Response);
    if (!Closed && !reserveAnswer(Head.size())) {
      EndsWithConnection = false;
      IsReplaced = true;
      return respondWithoutRoom();
    }
    enqueue(std::move(Head));
  }

  void data(std::string Part) override {
    if (Part.empty() || IsReplaced)
      return;
    if (EndsWithConnection)
      return enqueue(std::move(Part));
    char Size[20];
    const int Length =
        std::snprintf(Size, sizeof(Size), "%zx\r\n", Part.size());
    std::string Frame;
    Frame.reserve(Part.size() + static_cast<size_t>(Length) + 2);
    Frame.append(Size, static_cast<size_t>(Length)).append(Part).append("\r\n");
    enqueue(std::move(Frame));
  }

  void end() override {
    if (IsReplaced)
      return;
    ResponseComplete = true;
    if (!EndsWithConnection)
      return enqueue("0\r\n\r\n");
    if (!Unsent.empty())
      return;
    OnDisconnect = nullptr;
    close(CloseReason::Answered);
  }

  void abort() override {
    if (IsReplaced)
      return;
    CloseAfterFlush = true;
    if (Unsent.empty() || EndsWithConnection)
      close(CloseReason::Aborted);
  }

  void onDisconnect(std::function<void()> Callback) override {
    OnDisconnect = std::move(Callback);
  }

private:
  // What the connection takes while it is open, with the bytes that the kernel
  // may hold unread.
  size_t baseBytes() const {
    return ConnectionBytes + KernelFactor * Owner->ReceiveBytes;
  }

  // The next read has to end within \p D.
  void expireAfter(Duration D) {
    Deadline = currentTime().Steady + D;
    // A timer that is armed for an earlier time is armed anew when it fires:
    // most reads end in time.
    if (TimerAt == Time{} || Deadline < TimerAt)
      armTimer();
  }

  void expireNever() { Deadline = Time::max(); }

  // In place of a complete answer that finds no room. The request may have run.
  void respondWithoutRoom() {
    KeepAlive = false;
    respond(502, {{"Content-Type", "application/json"}},
            "{\"error\":{\"code\":\"answer_too_large\","
            "\"outcome\":\"unknown\"}}");
  }

  void armTimer() {
    TimerAt = Deadline;
    DeadlineTimer.expires_at(Deadline);
    DeadlineTimer.async_wait([Weak = weak_from_this()](ErrorCode Error) {
      auto Self = Weak.lock();
      if (!Self || Error || Self->Closed)
        return;
      Self->TimerAt = Time{};
      Self->onDeadline(currentTime().Steady);
    });
  }

  void onDeadline(Time Now) {
    if (Deadline == Time::max())
      return;
    // The time of a body ends also for a client that sends on.
    const bool IsOverdue = ReadsBody && Now >= BodyUntil;
    switch (
        stepAtDeadline(Now, Deadline, stage(), hasArrived() && !IsOverdue)) {
    case DeadlineStep::Wait:
      if (Now >= Deadline)
        Deadline = Now + ArrivedTime;
      return armTimer();
    case DeadlineStep::Close:
    case DeadlineStep::Refuse:
      giveUp(timeoutReason());
      // A read of several steps may go on with bytes that it had read before it
      // was cancelled.
      Deadline = Now + ArrivedTime;
      return armTimer();
    }
  }

  CloseReason timeoutReason() const {
    switch (stage()) {
    case ConnectionStage::Head:
      return CloseReason::HeadTimeout;
    case ConnectionStage::Body:
      return CloseReason::BodyTimeout;
    case ConnectionStage::Refused:
      return CloseReason::RefusalTimeout;
    default:
      return RefusedFor.value_or(CloseReason::IdleTimeout);
    }
  }

  // Ends the read in progress to close the connection, unless bytes arrive.
  void giveUp(CloseReason Reason) {
    // The first reason stays: the body of a connection that yields is lost.
    if (!GivingUp)
      GivingUp = Reason;
    ErrorCode Ignored;
    Socket.cancel(Ignored);
  }

  // Bytes of the client wait in the kernel.
  bool hasArrived() const {
    ErrorCode Ignored;
    return Socket.available(Ignored) > 0;
  }

  // Whether a read that ended with \p Error is to be repeated: it was cancelled
  // to give the connection up, but bytes have arrived meanwhile.
  bool takesUpRead(ErrorCode Error) {
    if (!Error)
      GivingUp.reset();
    if (Error != asio::error::operation_aborted || !GivingUp || !hasArrived())
      return false;
    GivingUp.reset();
    expireAfter(ArrivedTime);
    return true;
  }

  void readHeader() {
    if (Owner->RefuseIncomplete)
      return reject(503, "stopping");
    expireAfter(Owner->Options.headerTimeout());
    const auto Received = Buffer.data();
    const bool IsComplete =
        std::string_view(static_cast<const char *>(Received.data()),
                         Received.size())
            .find("\r\n\r\n") != std::string_view::npos;
    if (!IsComplete &&
        !Room.resize(baseBytes() + Owner->Options.maxHeaderBytes(),
                     MemoryClaim::Small))
      return reject(503, "memory");
    readRestOfHeader();
  }

  void readRestOfHeader() {
    bhttp::async_read_header(
        Socket, Buffer, *Parser,
        [Self = shared_from_this()](ErrorCode Error, size_t) {
          if (Self->takesUpRead(Error))
            return Self->readRestOfHeader();
          if (Error)
            return Self->onRead(Error);
          // With any other coding the length of the body would be ambiguous.
          const auto Coding =
              Self->Parser->get()[bhttp::field::transfer_encoding];
          if (!Coding.empty() && !beast::iequals(Coding, "chunked"))
            return Self->reject(400, "bad_request");
          // Both are for the server itself; forwarded they would be ambiguous.
          const bhttp::verb Method = Self->Parser->get().method();
          if (Method == bhttp::verb::trace || Method == bhttp::verb::connect)
            return Self->reject(405, "method");
          Self->keepFields();
          if (Self->Parser->is_done())
            return Self->onRead(Error);
          Self->readBody();
        });
  }

  // Beast adds trailers to the fields, so these are taken before the body.
  void keepFields() {
    Fields.clear();
    for (const auto &Field : Parser->get())
      Fields.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
  }

  void readBody() {
    BodyRoom = std::make_shared<MemoryReservation>(Owner->Options.memory(),
                                                   MemoryKind::Bodies);
    LastProgress = currentTime().Steady;
    BodyUntil = currentTime().Steady + Owner->Options.bodyTimeout();
    if (!reserveBody(Parser->content_length().value_or(0)))
      return reject(503, "memory");
    if (beast::iequals(Parser->get()[bhttp::field::expect], "100-continue"))
      enqueue("HTTP/1.1 100 Continue\r\n\r\n");
    // Parses all chunks of a read at once.
    Parser->eager(true);
    ReadsBody = true;
    parseBody();
  }

  // Parses what has been read. Beast's own read operations go on reading while
  // a chunk is incomplete, so its progress would not be seen.
  void parseBody() {
    while (Buffer.size() > 0 && !Parser->is_done()) {
      ErrorCode Error;
      Buffer.consume(Parser->put(Buffer.data(), Error));
      if (Error == bhttp::error::need_more)
        break;
      if (Error == bhttp::error::need_buffer) {
        if (!reserveBody(nextRoom()))
          return reject(503, "memory");
      } else if (Error) {
        return onRead(Error);
      }
    }
    if (Parser->is_done())
      return onRead({});
    if (Buffer.size() >= Buffer.max_size())
      return onRead(bhttp::error::buffer_overflow);
    readPart();
  }

  void readPart() {
    if (Owner->RefuseIncomplete)
      return reject(503, "stopping");
    const Time Now = currentTime().Steady;
    expireAfter(std::min(Owner->Options.bodyPause(), BodyUntil - Now));
    readArrivedPart();
  }

  void readArrivedPart() {
    Socket.async_read_some(
        Buffer.prepare(
            std::min(FirstReadBytes, Buffer.max_size() - Buffer.size())),
        [Self = shared_from_this()](ErrorCode Error, size_t Bytes) {
          if (Self->Closed)
            return;
          // The body read so far is lost.
          if (Self->GivingUp == CloseReason::YieldedStalled)
            return Self->reject(503, "memory");
          if (Self->takesUpRead(Error))
            return Self->readArrivedPart();
          if (Error)
            return Self->onRead(Error);
          Self->LastProgress = currentTime().Steady;
          Self->Buffer.commit(Bytes);
          Self->parseBody();
        });
  }

  // Doubles the room for a body of unknown length, up to the limit.
  size_t nextRoom() {
    const size_t Room = Parser->get().body().Room;
    return std::max(Room + FirstReadBytes,
                    std::min(2 * Room, Owner->Options.maxBodyBytes()));
  }

  // Makes room for a body of \p Bytes; false if the budget is short. While a
  // string grows, its old and its new bytes are held.
  bool reserveBody(size_t Bytes) {
    RoomBody::value_type &Body = Parser->get().body();
    const MemoryClaim Claim =
        Bytes <= SmallBytes ? MemoryClaim::Small : MemoryClaim::Large;
    while (!BodyRoom->resize(BodyRoom->size() + Bytes, Claim))
      if (!Owner->makeRoom(this))
        return false;
    Body.Text.reserve(Bytes);
    Body.Room = Bytes;
    BodyRoom->shrink(Bytes);
    return true;
  }

  template <class Response>
  void fillHead(Response &R, unsigned Status, const Headers &Fields) {
    R.version(11);
    R.result(Status);
    R.keep_alive(KeepAlive && !Owner->AnnounceClose);
    KeepAlive = R.keep_alive();
    for (const Header &H : Fields)
      R.insert(H.Name, H.Value);
  }

  template <class Response> std::string serialise(Response &R) {
    std::string Out;
    bhttp::serializer<false, typename Response::body_type> Serializer(R);
    ErrorCode Error;
    while (!Serializer.is_done()) {
      Serializer.next(Error, [&](ErrorCode &, const auto &Buffers) {
        for (const auto &B : beast::buffers_range_ref(Buffers))
          Out.append(static_cast<const char *>(B.data()), B.size());
        Serializer.consume(beast::buffer_bytes(Buffers));
      });
      if (Serializer.is_header_done() &&
          std::is_same_v<typename Response::body_type, bhttp::empty_body>)
        break;
    }
    return Out;
  }

  void onRead(ErrorCode Error) {
    if (Error == bhttp::error::buffer_overflow)
      return reject(431, "too_large");
    if (Error == bhttp::error::body_limit)
      return reject(413, "too_large");
    if (Error == bhttp::error::header_limit)
      return reject(431, "too_large");
    if (Error &&
        Error.category() ==
            bhttp::make_error_code(bhttp::error::bad_method).category() &&
        Error != bhttp::error::end_of_stream &&
        Error != bhttp::error::partial_message)
      return reject(400, "bad_request");
    if (isRefusedAtStop(Error))
      return reject(503, "stopping");
    if (isTimeout(Error))
      return reject(408, "timeout");
    if (Error)
      return closeReading(Error);
    ReadsBody = false;
    auto Message = Parser->release();
    KeepAlive = Message.keep_alive();
    Chunked = Message.version() >= 11;
    EndsWithConnection = false;
    Request Out;
    Out.Method = std::string(Message.method_string());
    Out.Target = std::string(Message.target());
    Out.Fields = std::move(Fields);
    Out.Body = std::move(Message.body().Text);
    Out.BodyRoom = std::move(BodyRoom);
    Parser.reset();
    InRequest = true;
    AnswerBegun = false;
    IsReplaced = false;
    ResponseComplete = false;
    ++Owner->Active;
    expireNever();
    // If this process was paused, the caller may have disconnected long ago;
    // the handler must not start work for it.
    if (isClosedByPeer())
      return close(CloseReason::CallerLeft);
    watchForDisconnect();
    Owner->OnRequest(std::move(Out), shared_from_this());
  }

  // Whether a read ended with \p Error because of refuseIncomplete().
  bool isRefusedAtStop(ErrorCode Error) const {
    return Owner->RefuseIncomplete && Error == asio::error::operation_aborted;
  }

  // Whether a read ended with \p Error because the request took too long.
  bool isTimeout(ErrorCode Error) const {
    return Error == asio::error::operation_aborted && GivingUp;
  }

  // Answers a request that is not read to its end, and so has not run.
  void reject(unsigned Status, const char *Code) {
    GivingUp.reset();
    ReadsBody = false;
    KeepAlive = false;
    Rejected = true;
    InRequest = true;
    ++Owner->Active;
    Parser.reset();
    BodyRoom.reset();
    expireAfter(RefusalTime);
    Headers Fields = {{"Content-Type", "application/json"}};
    if (Status == 503) {
      const bool IsStopping = Owner->RefuseIncomplete;
      Fields.push_back(
          {"Retry-After", IsStopping ? StoppingRetryAfter : MemoryRetryAfter});
      if (!IsStopping && Owner->Options.memory())
        Owner->Options.memory()->countRefusal();
    }
    respond(Status, Fields,
            std::string("{\"error\":{\"code\":\"") + Code +
                "\",\"outcome\":\"not_run\"}}");
  }

  // True if the caller has closed its sending direction or reset the
  // connection.
  bool isClosedByPeer() {
    ErrorCode Error;
    char Byte;
    Socket.non_blocking(true, Error);
    Socket.receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek, Error);
    return Error == asio::error::eof || Error == asio::error::connection_reset;
  }

  // Closes the connection if the caller disconnects during the request. A
  // readable socket with no bytes available is at the end of the stream.
  // Pipelined bytes end the watch and stay in the kernel until the next
  // readRequest().
  void watchForDisconnect() {
    Socket.async_wait(Tcp::socket::wait_read,
                      [Weak = weak_from_this(),
                       RequestNumber = RequestNumber](ErrorCode Error) {
                        auto Self = Weak.lock();
                        if (!Self || Error || !Self->InRequest ||
                            Self->RequestNumber != RequestNumber)
                          return;
                        ErrorCode Bad;
                        if (Self->Socket.available(Bad) == 0)
                          Self->close(CloseReason::CallerLeft);
                      });
  }

  void enqueue(std::string Bytes) {
    if (Closed)
      return;
    if (!reserveAnswer(Bytes.size()))
      return close(UnsentBytes + Bytes.size() > Owner->Options.maxUnsentBytes()
                       ? CloseReason::AnswerTooLarge
                       : CloseReason::AnswerNoRoom);
    UnsentBytes += Bytes.size();
    AnswerBegun = true;
    Unsent.push_back(std::move(Bytes));
    if (Unsent.size() == 1) {
      LastProgress = currentTime().Steady;
      writeNext();
    }
  }

  // Makes room for \p Bytes more of an answer; false if they exceed the limit
  // or the budget is short. Short answers fit into the room of the connection.
  bool reserveAnswer(size_t Bytes) {
    const size_t Needed = UnsentBytes + Bytes;
    if (Needed <= CoveredAnswerBytes)
      return true;
    if (Needed > Owner->Options.maxUnsentBytes())
      return false;
    const MemoryClaim Claim =
        Needed <= SmallBytes ? MemoryClaim::Small : MemoryClaim::Large;
    while (AnswerRoom.size() < Needed && !AnswerRoom.resize(Needed, Claim))
      if (!Owner->makeRoom(this))
        return false;
    return true;
  }

  void writeNext() {
    Socket.async_write_some(
        asio::buffer(Unsent.front()) + Written,
        [Self = shared_from_this()](ErrorCode Error, size_t Bytes) {
          Self->onWritten(Error, Bytes);
        });
  }

  void onWritten(ErrorCode Error, size_t Bytes) {
    if (Closed)
      return;
    if (Error)
      return close(CloseReason::WriteFailed);
    LastProgress = currentTime().Steady;
    Written += Bytes;
    if (Written < Unsent.front().size())
      return writeNext();
    Written = 0;
    UnsentBytes -= Unsent.front().size();
    Unsent.pop_front();
    AnswerRoom.shrink(std::min(AnswerRoom.size(), UnsentBytes));
    if (!Unsent.empty())
      return writeNext();
    if (CloseAfterFlush)
      return close(CloseReason::Aborted);
    if (!ResponseComplete || !InRequest)
      return;
    OnDisconnect = nullptr;
    finishRequest();
    if (Rejected)
      return discardRequest();
    // A response that began before the server stopped did not announce the
    // close, so KeepAlive may still be set.
    if (!KeepAlive || Owner->Stopping)
      return close(CloseReason::Answered);
    readRequest();
  }

  // Takes what the client still sends, so that it gets the answer.
  void discardRequest() {
    ErrorCode Ignored;
    Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
    Buffer.clear();
    readDiscarded();
  }

  void readDiscarded() {
    Socket.async_read_some(
        Buffer.prepare(FirstReadBytes),
        [Self = shared_from_this()](ErrorCode Error, size_t) {
          Error || Self->GivingUp ? Self->closeReading(Error)
                                  : Self->readDiscarded();
        });
  }

  // True if the client's kernel has not yet acknowledged all bytes, and has not
  // reset the connection.
  bool isUndelivered() {
    pollfd Reset = {Socket.native_handle(), 0, 0};
    if (poll(&Reset, 1, 0) > 0 && (Reset.revents & POLLERR) != 0)
      return false;
    int Unacknowledged = 0;
    return ioctl(Socket.native_handle(), SIOCOUTQ, &Unacknowledged) == 0 &&
           Unacknowledged > 0;
  }

  // Holds the socket until the client's kernel has the answer, since the
  // process may exit when no socket is held.
  void awaitDelivery() {
    if (!isUndelivered()) {
      ErrorCode Ignored;
      Socket.close(Ignored);
      --Owner->Delivering;
      return;
    }
    DeliveryTimer.expires_after(DeliveryPoll);
    DeliveryTimer.async_wait(
        [Self = shared_from_this()](ErrorCode) { Self->awaitDelivery(); });
  }

  void finishRequest() {
    if (!InRequest)
      return;
    InRequest = false;
    ++RequestNumber;
    --Owner->Active;
  }

  void closeReading(ErrorCode Error) {
    const bool IsPeerGone = Error == asio::error::eof ||
                            Error == bhttp::error::end_of_stream ||
                            Error == bhttp::error::partial_message ||
                            Error == asio::error::connection_reset;
    close(IsPeerGone ? CloseReason::PeerClosed
                     : GivingUp.value_or(CloseReason::ReadFailed));
  }

  ConnectionStage stage() const {
    if (Rejected)
      return ConnectionStage::Refused;
    if (InRequest)
      return AnswerBegun ? ConnectionStage::Answering
                         : ConnectionStage::Waiting;
    if (ReadsBody)
      return ConnectionStage::Body;
    return AwaitsRequest || Buffer.size() == 0 ? ConnectionStage::Idle
                                               : ConnectionStage::Head;
  }

  ClosedConnection closed(CloseReason Reason) const {
    ErrorCode Ignored;
    return {Reason, stage(), FirstBytes + Buffer.size(),
            Socket.available(Ignored), currentTime().Steady - LastProgress};
  }

  void reportClose(const ClosedConnection &Report) {
    if (Owner->Options.closeLog())
      Owner->Options.closeLog()->onClosed(Report);
  }

  void close(CloseReason Reason) {
    if (Closed)
      return;
    // Logged after the close: bytes that arrive between would be lost.
    const ClosedConnection Report = closed(Reason);
    Closed = true;
    DeadlineTimer.cancel();
    ErrorCode Ignored;
    // An orderly close would look like the end of such a response.
    const bool IsCutShort = !ResponseComplete || !Unsent.empty();
    if (EndsWithConnection && IsCutShort)
      Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    else
      Socket.shutdown(Tcp::socket::shutdown_both, Ignored);
    if (Owner->AnnounceClose && !IsCutShort && isUndelivered()) {
      ++Owner->Delivering;
      awaitDelivery();
    } else {
      Socket.close(Ignored);
    }
    reportClose(Report);
    // A write in progress still uses the first of them; its handler runs next.
    while (Unsent.size() > 1)
      Unsent.pop_back();
    AnswerRoom.shrink(0);
    ReadsBody = false;
    BodyRoom.reset();
    finishRequest();
    // Posted, not called here: the caller of data() or abort() may be in the
    // middle of changing its own state.
    if (auto Callback = std::move(OnDisconnect); Callback)
      asio::post(Owner->Io, std::move(Callback));
    OnDisconnect = nullptr;
  }

  std::shared_ptr<Server::State> Owner;
  Tcp::socket Socket;
  beast::flat_buffer Buffer;
  std::optional<bhttp::request_parser<RoomBody>> Parser;
  // Of the request whose body is read.
  Headers Fields;
  std::shared_ptr<MemoryReservation> BodyRoom;
  Time BodyUntil{};
  asio::steady_timer DeadlineTimer;
  // Until when the read in progress has to end.
  Time Deadline = Time::max();
  // When DeadlineTimer fires, at Deadline or before; Time{}: not armed.
  Time TimerAt{};
  // The read in progress was cancelled to close the connection for this reason.
  // Its handler decides, since it may be queued with bytes that were read.
  std::optional<CloseReason> GivingUp;
  // Why there is no place for the connection.
  std::optional<CloseReason> RefusedFor;
  asio::steady_timer DeliveryTimer;
  MemoryReservation Room;
  MemoryReservation AnswerRoom;
  std::deque<std::string> Unsent;
  size_t UnsentBytes = 0;
  // Of the first of Unsent.
  size_t Written = 0;
  // When the client last sent or took a byte.
  Time LastProgress{};
  std::function<void()> OnDisconnect;
  // Number of finished requests; distinguishes the disconnect watch of an
  // earlier request from that of the current one.
  uint64_t RequestNumber = 0;
  bool KeepAlive = true;
  // Waits for the first byte of a request.
  bool AwaitsRequest = false;
  bool ReadsBody = false;
  // The request in progress was refused before its end was read.
  bool Rejected = false;
  // A request was read and its response is not yet written.
  bool InRequest = false;
  // The complete response is queued or sent.
  bool ResponseComplete = false;
  // Of the first bytes of a request, until they are in the buffer.
  size_t FirstBytes = 0;
  // A byte of the response is queued or sent.
  bool AnswerBegun = false;
  // A streamed response found no room for its head, and a failure was sent.
  bool IsReplaced = false;
  bool CloseAfterFlush = false;
  // The caller understands chunks.
  bool Chunked = true;
  // The response in progress has neither a length nor chunks.
  bool EndsWithConnection = false;
  bool Closed = false;
};

} // namespace

void Server::State::listen(const Endpoint &Listen) {
  const Tcp::endpoint Address(asio::ip::make_address(Listen.Address),
                              Listen.Port);
  try {
    Acceptor.open(Address.protocol());
    Acceptor.set_option(Tcp::acceptor::reuse_address(true));
    if (Options.reusePort())
      Acceptor.set_option(ReusePort(true));
    // Accepted sockets inherit it, before the first window is announced.
    if (ReceiveBytes > 0)
      Acceptor.set_option(asio::socket_base::receive_buffer_size(
          static_cast<int>(ReceiveBytes)));
    Acceptor.bind(Address);
    Acceptor.listen();
  } catch (const boost::system::system_error &E) {
    throw std::runtime_error("cannot listen on " + Listen.text() + ": " +
                             E.code().message());
  }
}

void Server::State::accept() {
  if (Refusing >= MaxRefusing)
    return acceptLater();
  Acceptor.async_accept(
      [Self = shared_from_this()](ErrorCode Error, Tcp::socket Socket) {
        if (Error) {
          if (Self->Stopping)
            return;
          Self->closeOldestIdle();
          return Self->acceptLater();
        }
        // First, so that an exception does not end the listener.
        if (!Self->Stopping)
          Self->accept();
        Self->onAccepted(std::move(Socket));
      });
}

void Server::State::acceptLater() {
  AcceptTimer.expires_after(AcceptPause);
  AcceptTimer.async_wait([Self = shared_from_this()](ErrorCode Cancelled) {
    if (!Cancelled && !Self->Stopping)
      Self->accept();
  });
}

void Server::State::onAccepted(Tcp::socket Socket) {
  ErrorCode Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  // The idle one is closed when its read has ended, so the limit is exceeded by
  // one connection until then.
  const bool IsFull = Connections.size() - Refusing >= Options.maxConnections();
  const bool HasPlace = !IsFull || closeOldestIdle();
  auto New =
      std::make_shared<Connection>(shared_from_this(), std::move(Socket));
  if (IsFull)
    ++Refused;
  if (!HasPlace)
    return New->refuse(CloseReason::ConnectionLimit);
  while (!New->admit()) {
    if (closeOldestIdle())
      continue;
    ++Refused;
    return New->refuse(CloseReason::NoRoom);
  }
  New->readRequest();
}

bool Server::State::yieldOldest(Duration MinQuiet,
                                bool (Connection::*MayYield)() const,
                                const Connection *Asking) {
  std::vector<Connection *> Eligible;
  std::vector<YieldCandidate> Candidates;
  for (Connection *C : Connections) {
    if (C == Asking || !(C->*MayYield)())
      continue;
    Eligible.push_back(C);
    Candidates.push_back({C->lastProgress()});
  }
  const auto Chosen =
      chooseYielding(currentTime().Steady, MinQuiet, Candidates,
                     [&](size_t I) { return Eligible[I]->isClientSilent(); });
  if (Chosen)
    Eligible[*Chosen]->yield();
  return Chosen.has_value();
}

bool Server::State::closeOldestIdle() {
  return yieldOldest(MinIdle, &Connection::awaitsRequest, nullptr);
}

bool Server::State::closeOldestStalled(const Connection *Asking) {
  return yieldOldest(StalledAfter, &Connection::awaitsClient, Asking);
}

void Server::State::acceptQueued() {
  ErrorCode Error;
  Acceptor.non_blocking(true, Error);
  while (!Error && Refusing < MaxRefusing) {
    Tcp::socket Socket(Io);
    Acceptor.accept(Socket, Error);
    if (!Error)
      onAccepted(std::move(Socket));
  }
}

bool Server::State::makeRoom(const Connection *Asking) {
  return closeOldestStalled(Asking) || closeOldestIdle();
}

void Server::State::stop() {
  if (!Stopping)
    acceptQueued();
  Stopping = true;
  AnnounceClose = true;
  ErrorCode Ignored;
  Acceptor.close(Ignored);
  AcceptTimer.cancel();
  for (Connection *C : Connections)
    C->closeAtStop();
}

void Server::State::closeIdle() {
  const std::vector<Connection *> Snapshot(Connections.begin(),
                                           Connections.end());
  for (Connection *C : Snapshot)
    C->closeIfIdle();
}

Server::Server(asio::io_context &Io, const Endpoint &Listen,
               ServerOptions Options, Handler OnRequest)
    : Shared(std::make_shared<State>(Io, std::move(Options),
                                     std::move(OnRequest))) {
  Shared->listen(Listen);
  Shared->accept();
}

Server::~Server() {
  Shared->stop();
  Shared->closeIdle();
  // What it writes to may not outlive the server, as connections do.
  Shared->Options.setCloseLog(nullptr);
}

uint16_t Server::port() const {
  return Shared->Acceptor.local_endpoint().port();
}

void Server::setOptions(const ServerOptions &Options) {
  Shared->Options = Options;
}

void Server::announceClose() { Shared->AnnounceClose = true; }

void Server::stopAccepting() { Shared->stop(); }

void Server::refuseIncomplete() {
  if (Shared->RefuseIncomplete)
    return;
  Shared->RefuseIncomplete = true;
  for (Connection *C : Shared->Connections)
    C->refuseIncomplete();
}

size_t Server::activeRequests() const { return Shared->Active; }

size_t Server::undelivered() const {
  const auto Receiving = static_cast<size_t>(
      std::count_if(Shared->Connections.begin(), Shared->Connections.end(),
                    [](const Connection *C) { return C->isReceiving(); }));
  return Shared->Active + Shared->Delivering + Receiving;
}

uint64_t Server::refusedConnections() const { return Shared->Refused; }

} // namespace goldcrestlink::http
