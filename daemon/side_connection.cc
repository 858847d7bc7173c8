// A socket that cannot be opened, for example for lack of descriptors, is tried
// again by flush(). The queue is bounded by MaxQueuedMessages. A reset closes
// the socket and with it discards the messages that ZeroMQ had buffered, so
// that none of them is sent afterwards.
#include "daemon/side_connection.h"

namespace goldcrestlink {

namespace {
constexpr size_t MaxQueuedMessages = 256;
constexpr Duration OpenInterval = std::chrono::milliseconds(100);
} // namespace

SideConnection::SideConnection(boost::asio::io_context &InIo,
                               zmq::context_t &InContext, std::string InAddress,
                               std::string InSourceAddress,
                               wire::DealerSocket::OnMessage InMessageHandler)
    : Io(InIo), Context(InContext), Address(std::move(InAddress)),
      SourceAddress(std::move(InSourceAddress)),
      MessageHandler(std::move(InMessageHandler)) {
  open();
}

void SideConnection::open() {
  try {
    Socket.emplace(Io, Context, Address, SourceAddress, MessageHandler);
  } catch (const std::exception &) {
    Socket.reset();
    NextOpen = currentTime().Steady + OpenInterval;
  }
}

bool SideConnection::trySend(wire::Envelope &Message) {
  return Socket && Socket->send(Message);
}

void SideConnection::sendOrQueue(wire::Envelope &Message) {
  if (Queued.empty() && trySend(Message))
    return;
  if (Queued.size() >= MaxQueuedMessages)
    Queued.pop_front();
  Queued.push_back(Message);
}

void SideConnection::flush() {
  if (!Socket && currentTime().Steady >= NextOpen)
    open();
  while (!Queued.empty() && trySend(Queued.front()))
    Queued.pop_front();
}

void SideConnection::reset() {
  Queued.clear();
  Socket.reset();
  open();
}

} // namespace goldcrestlink
