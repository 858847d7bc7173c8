// A TCP relay that can silence open connections permanently: they stay open but
// carry no more bytes, while new connections work. This is what happens when a
// stateful device on the path, such as a firewall, loses its connection table.
//
//   relay --admin 127.0.0.1:9400 127.0.0.1:7100=127.0.0.1:7000 ...
//   POST /admin/silence?source=127.0.0.2&target=127.0.0.1:7000
//
// Silences the open connections from the given source (any if empty) to the
// given target (any if empty). Answers with the number of connections silenced
// since the start; a connection that is silenced again counts again. Each
// connection holds two fixed buffers.
#include <array>
#include <list>
#include <memory>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/write.hpp>

#include "http/server.h"

using namespace goldcrestlink;
using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr size_t BufferBytes = 64 * 1024;

struct Connection : std::enable_shared_from_this<Connection> {
  Connection(Tcp::socket From, boost::asio::io_context &Io,
             std::string InTarget)
      : Client(std::move(From)), Upstream(Io), Target(std::move(InTarget)) {
    ErrorCode Ignored;
    Source = Client.remote_endpoint(Ignored).address().to_string();
  }

  void start(const Tcp::endpoint &To) {
    Upstream.async_connect(To, [Self = shared_from_this()](ErrorCode Error) {
      if (Error)
        return Self->close();
      Self->copy(Self->Client, Self->Upstream, Self->Buffers[0]);
      Self->copy(Self->Upstream, Self->Client, Self->Buffers[1]);
    });
  }

  void copy(Tcp::socket &From, Tcp::socket &To,
            std::array<char, BufferBytes> &Buffer) {
    From.async_read_some(
        boost::asio::buffer(Buffer), [Self = shared_from_this(), &From, &To,
                                      &Buffer](ErrorCode Error, size_t Bytes) {
          if (Self->Silent)
            return;
          if (Error)
            return Self->close();
          boost::asio::async_write(
              To, boost::asio::buffer(Buffer.data(), Bytes),
              [Self, &From, &To, &Buffer](ErrorCode WriteError, size_t) {
                if (WriteError)
                  return Self->close();
                Self->copy(From, To, Buffer);
              });
        });
  }

  void close() {
    ErrorCode Ignored;
    Client.close(Ignored);
    Upstream.close(Ignored);
  }

  Tcp::socket Client;
  Tcp::socket Upstream;
  std::string Source;
  std::string Target;
  std::array<std::array<char, BufferBytes>, 2> Buffers;
  bool Silent = false;
};

class Relay {
public:
  Relay(boost::asio::io_context &InIo, const std::string &Admin)
      : Io(InIo),
        Server(Io, http::Endpoint::parse(Admin), http::ServerOptions(),
               [this](http::Request Request,
                      std::shared_ptr<http::Responder> Responder) {
                 silence(Request.query("source"), Request.query("target"));
                 Responder->respond(200, {},
                                    std::to_string(Silenced.size()) + "\n");
               }) {}

  void add(const std::string &Mapping) {
    const size_t Equals = Mapping.find('=');
    const auto From = http::Endpoint::parse(Mapping.substr(0, Equals));
    const std::string Target = Mapping.substr(Equals + 1);
    const auto To = http::Endpoint::parse(Target);
    Listeners.emplace_back(
        Io,
        Tcp::endpoint(boost::asio::ip::make_address(From.Address), From.Port));
    accept(Listeners.back(), Target,
           Tcp::endpoint(boost::asio::ip::make_address(To.Address), To.Port));
  }

private:
  void accept(Tcp::acceptor &Listener, const std::string &Target,
              Tcp::endpoint To) {
    Listener.async_accept(
        [this, &Listener, Target, To](ErrorCode Error, Tcp::socket Socket) {
          if (!Error) {
            auto Accepted =
                std::make_shared<Connection>(std::move(Socket), Io, Target);
            Connections.push_back(Accepted);
            Accepted->start(To);
          }
          accept(Listener, Target, To);
        });
  }

  void silence(std::string_view Source, std::string_view Target) {
    for (auto &Weak : Connections) {
      auto Open = Weak.lock();
      if (!Open || (!Source.empty() && Open->Source != Source) ||
          (!Target.empty() && Open->Target != Target))
        continue;
      Open->Silent = true;
      Silenced.push_back(Open); // Holding it keeps its sockets open.
    }
    Connections.remove_if([](const auto &Weak) { return Weak.expired(); });
  }

  boost::asio::io_context &Io;
  std::list<Tcp::acceptor> Listeners;
  std::list<std::weak_ptr<Connection>> Connections;
  std::vector<std::shared_ptr<Connection>> Silenced;
  http::Server Server;
};

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"TCP relay whose connections can be silenced"};
  std::string Admin = "127.0.0.1:9400";
  std::vector<std::string> Mappings;
  App.add_option("--admin", Admin, "ip:port for admin calls");
  App.add_option("mappings", Mappings, "listen ip:port=target ip:port")
      ->required();
  CLI11_PARSE(App, Argc, Argv);
  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](ErrorCode, int) { Io.stop(); });
  Relay Relays(Io, Admin);
  for (const std::string &Mapping : Mappings)
    Relays.add(Mapping);
  Io.run();
}
