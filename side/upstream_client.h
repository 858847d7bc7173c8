// Talks HTTP to the upstream that a side stands beside: calls, load orders and
// health checks. Engines are driven by
//
//   POST /v1/completions, /v1/chat/completions   whole or streamed answers
//   POST /v1/load_lora_adapter                   {"lora_name", "slot"}
//   GET  /v1/slots                               {"slots": ["a@1", "", ...]}
//
// and plain services by whatever their callers ask, and GET /healthz.
#ifndef GOLDCRESTLINK_SIDE_UPSTREAM_CLIENT_H
#define GOLDCRESTLINK_SIDE_UPSTREAM_CLIENT_H

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/declarations.h"
#include "http/client.h"
#include "side/side_machine.h"

namespace goldcrestlink::side {

/// What the upstream's answers are reported to.
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

/// Not thread-safe. Events come on Io's thread, never from within a call.
class UpstreamClient {
public:
  UpstreamClient(boost::asio::io_context &Io, UpstreamEvents On);
  /// Where the upstream is and of which kind.
  void setUpstream(const UpstreamDecl &Decl);
  void start(const StartRun &Run);
  void cancel(const std::string &AttemptId);
  void load(const LoadAdapter &Order);
  void check();

private:
  http::Client Http;
  UpstreamEvents On;
  UpstreamDecl Upstream;
  std::unordered_map<std::string, std::shared_ptr<http::Call>> Calls;
};

} // namespace goldcrestlink::side

#endif // GOLDCRESTLINK_SIDE_UPSTREAM_CLIENT_H
