// Keeps one process's configuration up to date, on the control thread: reads
// it from the platform at the start, watches it if this process is one of its
// cell's watchers, and otherwise takes newer generations from other processes.
//
//   ConfigKeeper K(Io, Client, OnConfig, AskPeer);
//   K.start();
//   K.onPeerReply(Reply, Peer);         // from another process
#ifndef GOLDCRESTLINK_DAEMON_CONFIG_KEEPER_H
#define GOLDCRESTLINK_DAEMON_CONFIG_KEEPER_H

#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "config/config_replica.h"
#include "platform/object_client.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

/// Not thread-safe: all on the control thread.
class ConfigKeeper {
public:
  using OnConfig = std::function<void(std::shared_ptr<const Declarations>)>;
  /// Sends a request to the named peer.
  using AskPeer =
      std::function<void(const std::string &Peer, const wire::ConfigRequest &)>;

  ConfigKeeper(boost::asio::io_context &Io, ObjectClient &Platform,
               uint64_t Seed, OnConfig Publish, AskPeer Ask);
  ~ConfigKeeper();
  /// Reads the head now and from time to time.
  void start();
  /// Whether this process watches the head for its cell.
  void setWatching(bool On);
  /// Another process answered.
  void onPeerReply(const std::string &Peer, const wire::ConfigReply &Reply);
  /// Answers another process that has \p TheirGeneration.
  wire::ConfigReply answer(const wire::ConfigRequest &Request,
                           uint64_t TheirGeneration) const;
  const ConfigReplica &replica() const { return Replica; }

private:
  struct Timers;
  void readHead();
  void watchHead();
  void schedulePoll();
  void onHead(ObjectStatus Status, const ObjectValue &Value);
  void fetchChunks(const std::vector<std::string> &Missing);
  void tryPublish();

  ObjectClient &Platform;
  Random Rand;
  OnConfig Publish;
  AskPeer Ask;
  ConfigReplica Replica;
  std::unique_ptr<Timers> Timer;
  uint64_t HeadVersion = 0;
  size_t FetchesOpen = 0;
  bool Watching = false;
  bool WatchOpen = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CONFIG_KEEPER_H
