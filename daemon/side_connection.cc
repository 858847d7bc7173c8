// The queue is bounded by MaxQueuedMessages. A reset closes the socket and with
// it discards the messages that ZeroMQ had buffered, so that none of them is
// sent afterwards.
#include "daemon/side_connection.h"

namespace goldcrestlink {

namespace {
constexpr size_t MaxQueuedMessages = 256;
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
  Socket.emplace(Io, Context, Address, SourceAddress, MessageHandler);
}

bool SideConnection::trySend(wire::Envelope &Message) {
  return Socket->send(Message);
}

void SideConnection::sendOrQueue(wire::Envelope &Message) {
  if (Queued.empty() && Socket->send(Message))
    return;
  if (Queued.size() >= MaxQueuedMessages)
    Queued.pop_front();
  Queued.push_back(Message);
}

void SideConnection::flush() {
  while (!Queued.empty() && Socket->send(Queued.front()))
    Queued.pop_front();
}

void SideConnection::reset() {
  Queued.clear();
  Socket.reset();
  open();
}

} // namespace goldcrestlink
