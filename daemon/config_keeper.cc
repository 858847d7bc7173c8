// Reads of the platform are few: one at the start, one watch per watcher, and
// a slow poll with jitter as a last resort. Until the first configuration is
// in force the poll is fast. At most MaxFetches chunk reads are open at once.
#include "daemon/config_keeper.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

namespace goldcrestlink {

namespace {
constexpr size_t MaxFetches = 16;
constexpr Duration StartPoll = std::chrono::milliseconds(500);
constexpr Duration SlowPoll = std::chrono::seconds(60);
constexpr Duration WatchWait = std::chrono::seconds(20);
constexpr Duration WatchRetry = std::chrono::milliseconds(500);
constexpr size_t MaxChunksPerAnswer = 64;
constexpr size_t MaxBytesPerAnswer = 2 * 1024 * 1024;
} // namespace

struct ConfigKeeper::Timers {
  explicit Timers(boost::asio::io_context &Io) : Poll(Io), Watch(Io) {}
  boost::asio::steady_timer Poll;
  boost::asio::steady_timer Watch;
};

ConfigKeeper::ConfigKeeper(boost::asio::io_context &Io, ObjectClient &Client,
                           uint64_t Seed, OnConfig OnPublish, AskPeer OnAsk)
    : Platform(Client), Rand(Seed), Publish(std::move(OnPublish)),
      Ask(std::move(OnAsk)), Timer(std::make_unique<Timers>(Io)) {}

ConfigKeeper::~ConfigKeeper() = default;

void ConfigKeeper::start() { readHead(); }

void ConfigKeeper::readHead() {
  Platform.read(objects::ConfigHead,
                [this](ObjectStatus Status, const ObjectValue &Value) {
                  onHead(Status, Value);
                  schedulePoll();
                });
}

void ConfigKeeper::schedulePoll() {
  const Duration Base = Replica.current() ? SlowPoll : StartPoll;
  // Half to one and a half times the base, so that processes spread out.
  Timer->Poll.expires_after(fromSeconds(seconds(Base) * (0.5 + Rand.unit())));
  Timer->Poll.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      readHead();
  });
}

void ConfigKeeper::setWatching(bool On) {
  Watching = On;
  if (Watching && !WatchOpen)
    watchHead();
}

void ConfigKeeper::watchHead() {
  WatchOpen = true;
  Platform.watch(
      objects::ConfigHead, HeadVersion, WatchWait,
      [this](ObjectStatus Status, const ObjectValue &Value) {
        onHead(Status, Value);
        const bool Failed =
            Status != ObjectStatus::Ok && Status != ObjectStatus::Unchanged;
        Timer->Watch.expires_after(Failed ? WatchRetry : Duration(0));
        Timer->Watch.async_wait([this](boost::system::error_code Error) {
          WatchOpen = false;
          if (!Error && Watching)
            watchHead();
        });
      });
}

void ConfigKeeper::onHead(ObjectStatus Status, const ObjectValue &Value) {
  if (Status != ObjectStatus::Ok)
    return;
  HeadVersion = std::max(HeadVersion, Value.Version);
  fetchChunks(Replica.offerHead(Value.Body));
  tryPublish();
}

void ConfigKeeper::fetchChunks(const std::vector<std::string> &Missing) {
  for (const std::string &Hash : Missing) {
    if (FetchesOpen >= MaxFetches)
      return; // Continued as these end.
    ++FetchesOpen;
    Platform.read(objects::configChunk(Hash),
                  [this, Hash](ObjectStatus Status, const ObjectValue &Value) {
                    --FetchesOpen;
                    if (Status == ObjectStatus::Ok)
                      Replica.addChunk(Hash, Value.Body);
                    tryPublish();
                    if (Status == ObjectStatus::Ok && FetchesOpen == 0)
                      fetchChunks(Replica.missing());
                  });
  }
}

void ConfigKeeper::onPeerReply(const std::string &Peer,
                               const wire::ConfigReply &Reply) {
  std::vector<std::string> Missing;
  if (!Reply.head().empty())
    Replica.offerHead(Reply.head());
  for (const wire::ConfigChunk &Chunk : Reply.chunks())
    Replica.addChunk(Chunk.hash(), Chunk.data());
  Missing = Replica.missing();
  tryPublish();
  if (Missing.empty())
    return;
  wire::ConfigRequest Request;
  for (const std::string &Hash : Missing) {
    if (static_cast<size_t>(Request.chunks_size()) >= MaxChunksPerAnswer)
      break;
    Request.add_chunks(Hash);
  }
  Ask(Peer, Request);
}

wire::ConfigReply ConfigKeeper::answer(const wire::ConfigRequest &Request,
                                       uint64_t TheirGeneration) const {
  wire::ConfigReply Reply;
  if (Request.chunks_size() == 0 && Replica.generation() > TheirGeneration)
    Reply.set_head(Replica.headText());
  size_t Bytes = 0;
  for (const std::string &Hash : Request.chunks()) {
    const std::string *Data = Replica.chunk(Hash);
    if (!Data || Bytes >= MaxBytesPerAnswer)
      continue;
    Bytes += Data->size();
    wire::ConfigChunk &Chunk = *Reply.add_chunks();
    Chunk.set_hash(Hash);
    Chunk.set_data(*Data);
  }
  return Reply;
}

void ConfigKeeper::tryPublish() {
  FindingList Findings;
  const auto Ready = Replica.takeReady(Findings);
  if (!Findings.empty())
    LOG(ERROR) << "configuration refused:\n" << Findings.text();
  if (!Ready)
    return;
  LOG(INFO) << "configuration in force generation=" << Ready->generation()
            << " adapters=" << Ready->adapters().size()
            << " upstreams=" << Ready->upstreams().size();
  Publish(Ready);
}

} // namespace goldcrestlink
