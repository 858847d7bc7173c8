// Keeps a Catalog up to date from the platform's store, and tells what changed.
//
//   StoreFollower F(Io, Options, [](const Catalog &C) { publish(C); }, Log);
//   F.start();
#ifndef GOLDCRESTLINK_DAEMON_STORE_FOLLOWER_H
#define GOLDCRESTLINK_DAEMON_STORE_FOLLOWER_H

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "catalog/catalog.h"
#include "platform/store_client.h"

namespace goldcrestlink {

/// Not thread-safe.
class StoreFollower {
public:
  using OnChanged = std::function<void()>;
  using OnLog = std::function<void(std::string)>;

  StoreFollower(boost::asio::io_context &Io, const http::Endpoint &Store,
                uint64_t Seed, OnChanged Changed, OnLog Log);
  void start();
  /// What another process knows that this one lacks.
  void onBeliefs(const BeliefUpdate &U);
  /// Entries that tell each other what they learn, this one included. Their
  /// watches together are renewed at a rate that does not grow with them.
  void setEntries(size_t Count);
  const Catalog &catalog() const { return Believed; }
  /// False while the store cannot be reached.
  bool inContact() const { return InContact; }
  uint64_t storeCalls() const { return Store.calls(); }

private:
  void logList(std::string_view Kind, uint64_t Revision,
               const std::vector<platform::StoreObject> &List);
  void onConfigObject(const platform::StoreObject &O);
  void onUpstreams(uint64_t Revision,
                   const std::vector<platform::StoreObject> &List);
  void onUpstream(const platform::StoreObject &O);
  void onRelease(const platform::StoreObject &O);
  void onContact(bool Reached, std::string_view Why);
  void changed();
  void dropAbsent();

  boost::asio::io_context &Io;
  platform::StoreClient Store;
  boost::asio::steady_timer Timer;
  Catalog Believed;
  OnChanged Changed;
  OnLog Log;
  bool InContact = true;
  bool Announced = false;
};

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_STORE_FOLLOWER_H
