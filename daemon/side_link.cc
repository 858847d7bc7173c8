// Waiting messages are bounded by MaxWaiting. A reset closes the socket, and
// with it whatever ZeroMQ still held, so nothing old is sent afterwards.
#include "daemon/side_link.h"

namespace goldcrestlink {

namespace {
constexpr size_t MaxWaiting = 256;
} // namespace

SideLink::SideLink(boost::asio::io_context &OnIo, zmq::context_t &InContext,
                   std::string ToAddress, std::string FromSource,
                   wire::DealerSocket::OnMessage OnMessage)
    : Io(OnIo), Context(InContext), Address(std::move(ToAddress)),
      Source(std::move(FromSource)), On(std::move(OnMessage)) {
  open();
}

void SideLink::open() { Socket.emplace(Io, Context, Address, Source, On); }

bool SideLink::sendNow(wire::Envelope &Message) {
  return Socket->send(Message);
}

void SideLink::sendSoon(wire::Envelope &Message) {
  if (Waiting.empty() && Socket->send(Message))
    return;
  if (Waiting.size() >= MaxWaiting)
    Waiting.pop_front();
  Waiting.push_back(Message);
}

void SideLink::flush() {
  while (!Waiting.empty() && Socket->send(Waiting.front()))
    Waiting.pop_front();
}

void SideLink::reset() {
  Waiting.clear();
  Socket.reset();
  open();
}

} // namespace goldcrestlink
