// Probes an upstream that may have crashed.
//
//   probeForCrash(Io, Upstream.Address, Timeout,
//                 [](forward::ProbeResult Result) { ... });
#ifndef GOLDCRESTLINK_DAEMON_CRASH_PROBE_H
#define GOLDCRESTLINK_DAEMON_CRASH_PROBE_H

#include <functional>
#include <utility>

#include "forward/crash_detector.h"
#include "http/connection_check.h"

namespace goldcrestlink {

/// Opens a connection to \p To and closes it at once. \p Done is called once,
/// on Io's thread, not from within this function. Not thread-safe.
inline void probeForCrash(boost::asio::io_context &Io, const http::Endpoint &To,
                          Duration Timeout,
                          std::function<void(forward::ProbeResult)> Done) {
  http::checkConnection(Io, To, Timeout,
                        [Done = std::move(Done)](http::ConnectionCheck Result) {
                          switch (Result) {
                          case http::ConnectionCheck::Refused:
                            return Done(forward::ProbeResult::Refused);
                          case http::ConnectionCheck::Accepted:
                            return Done(forward::ProbeResult::Accepted);
                          case http::ConnectionCheck::Unknown:
                            return Done(forward::ProbeResult::Unknown);
                          }
                        });
}

} // namespace goldcrestlink

#endif // GOLDCRESTLINK_DAEMON_CRASH_PROBE_H
