// Keeps the configuration of one process up to date, on the control thread:
// reads it from the platform at the start, watches it if this process is one of
// its cell's watchers, and otherwise receives newer generations from other
// processes.
//
//   ConfigUpdater Updater(Io, Client, Seed, OnConfig, RequestFromPeer);
//   Updater.start();
//   Updater.onPeerReply(Peer, Reply);   // from another process
#ifndef GOLDCRESTLINK_DAEMON_CONFIG_UPDATER_H
#define GOLDCRESTLINK_DAEMON_CONFIG_UPDATER_H

#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "config/config_replica.h"
#include "platform/object_client.h"
#include "wire/generated/messages.pb.h"

namespace goldcrestlink {

/// Not thread-safe: to be used on the control thread.
class ConfigUpdater {
public:
  /// Called with each new configuration.
  using OnConfig = std::function<void(std::shared_ptr<const Declarations>)>;
  /// Sends a configuration request to the named peer.
  using RequestFromPeer =
      std::function<void(const std::string &Peer, const wire::ConfigRequest &)>;

  ConfigUpdater(boost::asio::io_context &Io, ObjectClient &Platform,
                uint64_t Seed, OnConfig Publish, RequestFromPeer SendRequest);
  ~ConfigUpdater();
  /// Reads the configuration's head now and polls it from then on.
  void start();
  /// Sets whether this process watches the head for its cell.
  void setWatching(bool On);
  /// Applies the head and chunks that another process sent, and requests the
  /// missing chunks from it.
  void onPeerReply(const std::string &Peer, const wire::ConfigReply &Reply);
  /// The reply to a process that has generation \p TheirGeneration.
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
  RequestFromPeer SendRequest;
  ConfigReplica Replica;
  std::unique_ptr<Timers> Timer;
  uint64_t HeadVersion = 0;
  size_t OpenChunkReads = 0;
  bool Watching = false;
  bool WatchOpen = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CONFIG_UPDATER_H
