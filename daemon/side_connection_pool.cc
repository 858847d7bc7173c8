// A map by name, bounded by the declared upstreams and the peers in the
// settings.
#include "daemon/side_connection_pool.h"

namespace goldcrestlink {

SideConnectionPool::SideConnectionPool(boost::asio::io_context &InIo,
                                       zmq::context_t &InContext,
                                       std::string InSourceAddress,
                                       OnMessage InMessageHandler)
    : Io(InIo), Context(InContext), SourceAddress(std::move(InSourceAddress)),
      MessageHandler(std::move(InMessageHandler)) {}

void SideConnectionPool::onConfig(std::shared_ptr<const Declarations> Config) {
  CurrentConfig = std::move(Config);
  std::erase_if(Connections, [&](const auto &Item) {
    const UpstreamDecl *U = CurrentConfig->upstream(Item.first);
    return !U || U->Side.text() != Item.second->address();
  });
}

SideConnection *SideConnectionPool::find(const std::string &Peer) {
  const auto It = Connections.find(Peer);
  if (It != Connections.end())
    return It->second.get();
  std::string Address = Peer;
  if (const UpstreamDecl *U =
          CurrentConfig ? CurrentConfig->upstream(Peer) : nullptr)
    Address = U->Side.text();
  else if (Peer.find(':') == std::string::npos)
    return nullptr;
  auto Opened = std::make_unique<SideConnection>(
      Io, Context, Address, SourceAddress,
      [this, Peer](wire::Envelope &Message) { MessageHandler(Peer, Message); });
  return Connections.emplace(Peer, std::move(Opened)).first->second.get();
}

SideConnection *SideConnectionPool::any(Random &Rand) {
  if (Connections.empty())
    return nullptr;
  auto It = Connections.begin();
  std::advance(It, Rand.below(Connections.size()));
  return It->second.get();
}

void SideConnectionPool::flush() {
  for (auto &[Name, Connection] : Connections)
    Connection->flush();
}

} // namespace goldcrestlink
