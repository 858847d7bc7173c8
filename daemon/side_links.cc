// A map by name. Bounded by the declared upstreams and the settings' peers.
#include "daemon/side_links.h"

namespace goldcrestlink {

SideLinks::SideLinks(boost::asio::io_context &OnIo, zmq::context_t &InContext,
                     std::string FromSource, OnMessage OnAny)
    : Io(OnIo), Context(InContext), Source(std::move(FromSource)),
      On(std::move(OnAny)) {}

void SideLinks::onConfig(std::shared_ptr<const Declarations> Config) {
  InForce = std::move(Config);
  std::erase_if(Links, [&](const auto &Item) {
    const UpstreamDecl *U = InForce->upstream(Item.first);
    return !U || U->Side.text() != Item.second->address();
  });
}

SideLink *SideLinks::find(const std::string &Peer) {
  const auto It = Links.find(Peer);
  if (It != Links.end())
    return It->second.get();
  std::string Address = Peer;
  if (const UpstreamDecl *U = InForce ? InForce->upstream(Peer) : nullptr)
    Address = U->Side.text();
  else if (Peer.find(':') == std::string::npos)
    return nullptr;
  auto Made = std::make_unique<SideLink>(
      Io, Context, Address, Source,
      [this, Peer](wire::Envelope &Message) { On(Peer, Message); });
  return Links.emplace(Peer, std::move(Made)).first->second.get();
}

SideLink *SideLinks::any(Random &Rand) {
  if (Links.empty())
    return nullptr;
  auto It = Links.begin();
  std::advance(It, Rand.below(Links.size()));
  return It->second.get();
}

void SideLinks::flush() {
  for (auto &[Name, Link] : Links)
    Link->flush();
}

} // namespace goldcrestlink
