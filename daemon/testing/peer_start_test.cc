// What a starting entry requests from the other entries while its store does
// not answer.
#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <zmq.hpp>

#include "daemon/catalog_exchange.h"
#include "daemon/entry_traffic.h"
#include "testing/process.h"
#include "wire/socket.h"

using namespace goldcrestlink;
using namespace goldcrestlink::testing;

namespace {

constexpr int PeerCount = 8;
constexpr uint64_t Version = 7;
constexpr double MaxWaitSeconds = 20;

Catalog catalogWithConfig() {
  Catalog Out;
  auto Config = std::make_shared<DeploymentConfig>();
  Config->Version = Version;
  Out.applyConfig(Config, "text");
  return Out;
}

// Entries that answer requests from \p Known; the first \p Empty of them know
// nothing. Requests that are answered with the configuration are counted.
struct Peers {
  Peers(boost::asio::io_context &Io, int Port, int Empty) {
    for (int I = 0; I < PeerCount; ++I)
      Sockets.push_back(std::make_unique<wire::RouterSocket>(
          Io, Context,
          "127.0.3." + std::to_string(I + 1) + ":" + std::to_string(Port),
          [this, I, Empty](const std::string &Peer, wire::Envelope &Message) {
            if (!Message.has_belief_request())
              return;
            const Catalog None;
            wire::Envelope E =
                catalogUpdateFor(currentTime().Steady, Message.belief_request(),
                                 I < Empty ? None : Known);
            Sent += E.beliefs().config().empty() ? 0 : 1;
            Sockets[static_cast<size_t>(I)]->send(Peer, E);
          }));
  }
  Catalog Known = catalogWithConfig();
  zmq::context_t Context{1};
  std::vector<std::unique_ptr<wire::RouterSocket>> Sockets;
  int Sent = 0;
};

} // namespace

// Guards against a start in which each of the other entries sends the same
// large configuration.
TEST_CASE("a starting entry gets the configuration from one peer at a time") {
  struct Row {
    const char *Name;
    int Empty;
  };
  const Row Rows[] = {{"all have it", 0}, {"one has it", PeerCount - 1}};
  for (const Row &R : Rows) {
    CAPTURE(R.Name);
    boost::asio::io_context Io;
    Settings S;
    S.Listen = {"127.0.0.1", static_cast<uint16_t>(freePort())};
    S.Fleet.ReadyListen = {"127.0.0.1", static_cast<uint16_t>(freePort())};
    S.Fleet.Address = "127.0.3.100";
    S.Fleet.LinkPort = freePort();
    for (int I = 0; I < PeerCount; ++I)
      S.Fleet.Peers.push_back({"127.0.3." + std::to_string(I + 1), 1});
    Peers Others(Io, static_cast<int>(S.Fleet.LinkPort), R.Empty);
    std::atomic<int> Received = 0;
    TrafficSinks Sinks;
    Sinks.Log = [](LogClass, const std::string &) {};
    Sinks.CatalogUpdates = [&](const CatalogUpdate &Update) {
      Received += Update.ConfigText.empty() ? 0 : 1;
    };
    Sinks.EntryCount = [](size_t) {};
    const Time Start = currentTime().Steady;
    EntryTraffic Traffic(S, 1, std::make_shared<MemoryBudget>(64 * 1024 * 1024),
                         std::move(Sinks));
    std::thread Thread([&] { Traffic.run(); });
    // What arrives is not applied, as if each answer took very long.
    CHECK(eventually(
        [&] {
          Io.run_for(std::chrono::milliseconds(5));
          Io.restart();
          return Received >= 2;
        },
        MaxWaitSeconds));
    const Duration Elapsed = currentTime().Steady - Start;
    CHECK(Others.Sent <= 1 + Elapsed / std::chrono::milliseconds(1500));
    Traffic.stop();
    Thread.join();
  }
}
