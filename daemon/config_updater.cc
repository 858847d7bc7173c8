// A process seldom reads from the platform: once at the start, by one watch at
// a time if it is a watcher, and by a slow poll with jitter in case an update
// is missed. The poll is faster until the first configuration is in force. At
// most MaxChunkReads chunk reads are open at once.
#include "daemon/config_updater.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

namespace goldcrestlink {

namespace {
constexpr size_t MaxChunkReads = 16;
constexpr Duration InitialPollInterval = std::chrono::milliseconds(500);
constexpr Duration PollInterval = std::chrono::seconds(60);
constexpr Duration WatchWait = std::chrono::seconds(20);
constexpr Duration WatchRetryDelay = std::chrono::milliseconds(500);
constexpr size_t MaxChunksPerRequest = 64;
constexpr size_t MaxBytesPerReply = 2 * 1024 * 1024;
} // namespace

struct ConfigUpdater::Timers {
  explicit Timers(boost::asio::io_context &Io) : Poll(Io), Watch(Io) {}
  boost::asio::steady_timer Poll;
  boost::asio::steady_timer Watch;
};

ConfigUpdater::ConfigUpdater(boost::asio::io_context &Io, ObjectClient &Client,
                             uint64_t Seed, OnConfig InPublish,
                             RequestFromPeer InSendRequest)
    : Platform(Client), Rand(Seed), Publish(std::move(InPublish)),
      SendRequest(std::move(InSendRequest)),
      Timer(std::make_unique<Timers>(Io)) {}

ConfigUpdater::~ConfigUpdater() = default;

void ConfigUpdater::start() { readHead(); }

void ConfigUpdater::readHead() {
  Platform.read(objects::ConfigHead,
                [this](ObjectStatus Status, const ObjectValue &Value) {
                  onHead(Status, Value);
                  schedulePoll();
                });
}

void ConfigUpdater::schedulePoll() {
  const Duration Interval =
      Replica.current() ? PollInterval : InitialPollInterval;
  // From half to one and a half times the interval, so that processes do not
  // poll at the same moment.
  Timer->Poll.expires_after(
      fromSeconds(seconds(Interval) * (0.5 + Rand.unit())));
  Timer->Poll.async_wait([this](boost::system::error_code Error) {
    if (!Error)
      readHead();
  });
}

void ConfigUpdater::setWatching(bool On) {
  Watching = On;
  if (Watching && !WatchOpen)
    watchHead();
}

void ConfigUpdater::watchHead() {
  WatchOpen = true;
  Platform.watch(
      objects::ConfigHead, HeadVersion, WatchWait,
      [this](ObjectStatus Status, const ObjectValue &Value) {
        onHead(Status, Value);
        const bool Failed =
            Status != ObjectStatus::Ok && Status != ObjectStatus::Unchanged;
        Timer->Watch.expires_after(Failed ? WatchRetryDelay : Duration(0));
        Timer->Watch.async_wait([this](boost::system::error_code Error) {
          WatchOpen = false;
          if (!Error && Watching)
            watchHead();
        });
      });
}

void ConfigUpdater::onHead(ObjectStatus Status, const ObjectValue &Value) {
  if (Status != ObjectStatus::Ok)
    return;
  HeadVersion = std::max(HeadVersion, Value.Version);
  fetchChunks(Replica.offerHead(Value.Body));
  tryPublish();
}

void ConfigUpdater::fetchChunks(const std::vector<std::string> &Missing) {
  for (const std::string &Hash : Missing) {
    if (OpenChunkReads >= MaxChunkReads)
      return; // The rest is read when the open reads have ended.
    ++OpenChunkReads;
    Platform.read(objects::configChunk(Hash),
                  [this, Hash](ObjectStatus Status, const ObjectValue &Value) {
                    --OpenChunkReads;
                    if (Status == ObjectStatus::Ok)
                      Replica.addChunk(Hash, Value.Body);
                    tryPublish();
                    if (Status == ObjectStatus::Ok && OpenChunkReads == 0)
                      fetchChunks(Replica.missing());
                  });
  }
}

void ConfigUpdater::onPeerReply(const std::string &Peer,
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
    if (static_cast<size_t>(Request.chunks_size()) >= MaxChunksPerRequest)
      break;
    Request.add_chunks(Hash);
  }
  SendRequest(Peer, Request);
}

wire::ConfigReply ConfigUpdater::answer(const wire::ConfigRequest &Request,
                                        uint64_t TheirGeneration) const {
  wire::ConfigReply Reply;
  if (Request.chunks_size() == 0 && Replica.generation() > TheirGeneration)
    Reply.set_head(Replica.headText());
  size_t Bytes = 0;
  for (const std::string &Hash : Request.chunks()) {
    const std::string *Data = Replica.chunk(Hash);
    if (!Data || Bytes >= MaxBytesPerReply)
      continue;
    Bytes += Data->size();
    wire::ConfigChunk &Chunk = *Reply.add_chunks();
    Chunk.set_hash(Hash);
    Chunk.set_data(*Data);
  }
  return Reply;
}

void ConfigUpdater::tryPublish() {
  FindingList Findings;
  const auto Ready = Replica.activatePending(Findings);
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
