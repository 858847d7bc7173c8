// HTTP client for the upstream that a side controls: calls, loads of adapters
// and health checks. An engine has to offer
//
//   POST /v1/completions, /v1/chat/completions   complete or streamed answers
//   POST /v1/load_lora_adapter                   {"lora_name", "slot"}
//   GET  /v1/slots                               {"slots": ["a@1", "", ...]}
//
// A plain service has to offer GET /healthz; its calls are forwarded with the
// method and path that the caller used.
//
//   UpstreamClient Client(Io, Events);
//   Client.setUpstream(Decl);
//   Client.start(Run);   // reported by Events.Head, Data, Done and Error
#ifndef GOLDCRESTLINK_SIDE_UPSTREAM_CLIENT_H
#define GOLDCRESTLINK_SIDE_UPSTREAM_CLIENT_H

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/declarations.h"
#include "http/client.h"
#include "side/side_state_machine.h"

namespace goldcrestlink::side {

/// Callbacks that report the results of calls, loads and checks. All must be
/// set.
struct UpstreamEvents {
  std::function<void(const std::string &Id, unsigned Status,
                     std::string_view ContentType)>
      Head;
  std::function<void(const std::string &Id, std::string_view Bytes)> Data;
  std::function<void(const std::string &Id)> Done;
  std::function<void(const std::string &Id, RunError Error)> Error;
  std::function<void(size_t Slot, const std::string &Key, bool Loaded)> Loaded;
  std::function<void(const UpstreamStatus &Status)> Checked;
};

/// Not thread-safe. The callbacks run on the thread of \p Io, never within a
/// call of a member function.
class UpstreamClient {
public:
  UpstreamClient(boost::asio::io_context &Io, UpstreamEvents Callbacks);
  /// Sets the address and kind of the upstream for later calls.
  void setUpstream(const UpstreamDecl &Decl);
  void start(const StartRun &Run);
  /// Closes the connection of the call. Nothing more is reported about it.
  void cancel(const std::string &AttemptId);
  void load(const LoadAdapter &Request);
  void check();

private:
  http::Client Http;
  UpstreamEvents Events;
  UpstreamDecl Upstream;
  std::unordered_map<std::string, std::shared_ptr<http::Call>> Calls;
};

} // namespace goldcrestlink::side

#endif // GOLDCRESTLINK_SIDE_UPSTREAM_CLIENT_H
