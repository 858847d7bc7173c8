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
  class Options {
  public:
    bool upstreams() const { return Upstreams; }
    bool staleLists() const { return StaleLists; }
    /// Whether the list of upstreams is followed, besides configuration and
    /// releases.
    Options &setUpstreams(bool On) {
      Upstreams = On;
      return *this;
    }
    Options &setStaleLists(bool On) {
      StaleLists = On;
      return *this;
    }

  private:
    bool Upstreams = true;
    bool StaleLists = false;
  };
  using OnChanged = std::function<void()>;
  using OnLog = std::function<void(std::string)>;

  StoreFollower(boost::asio::io_context &Io, const http::Endpoint &Store,
                Options O, uint64_t Seed, OnChanged Changed, OnLog Log);
  void start();
  const Catalog &catalog() const { return Believed; }
  /// False while the store cannot be reached.
  bool inContact() const { return InContact; }
  uint64_t storeCalls() const { return Store.calls(); }

private:
  void onConfigObject(const platform::StoreObject &O);
  void onUpstreams(uint64_t Revision,
                   const std::vector<platform::StoreObject> &List);
  void onUpstream(const platform::StoreObject &O);
  void onRelease(const platform::StoreObject &O);
  void onContact(bool Reached, std::string_view Why);
  void changed();
  void dropAbsent();

  boost::asio::io_context &Io;
  Options Opts;
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
