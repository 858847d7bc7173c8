// HTTP messages as plain values. The types do not depend on Boost.Beast, so
// only http/*.cc has to include it.
//
//   Request R;
//   R.Target = "/watch/config?version=3";
//   R.path();             // "/watch/config"
//   R.query("version");   // "3"
//   Endpoint::parse("127.0.0.1:8080").Port;   // 8080
#ifndef GOLDCRESTLINK_HTTP_MESSAGE_H
#define GOLDCRESTLINK_HTTP_MESSAGE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "http/shared_body.h"

namespace goldcrestlink::http {

/// One header field.
struct Header {
  std::string Name;
  std::string Value;
};

using Headers = std::vector<Header>;

/// The value of the first field named \p Name (case-insensitive), or an empty
/// view. Thread-safe; the view lives as long as \p List.
std::string_view headerValue(const Headers &List, std::string_view Name);

/// \p Text as a value in a query: every byte but letters, digits and "-._~" is
/// percent-encoded. Thread-safe.
std::string encodeQueryValue(std::string_view Text);

/// A complete request, body included.
struct Request {
  std::string Method = "GET";
  std::string Target = "/";
  Headers Fields;
  std::string Body;
  /// To send: used if Body is empty, without a copy.
  SharedBody Shared = {};
  /// As received: the room that Body takes in the server's memory budget.
  std::shared_ptr<MemoryReservation> BodyRoom = {};

  std::string_view body() const { return Body.empty() ? Shared.view() : Body; }
  /// The value of the first field named \p Name, empty if absent.
  std::string_view header(std::string_view Name) const {
    return headerValue(Fields, Name);
  }
  /// The target without its query string.
  std::string_view path() const {
    return std::string_view(Target).substr(0, Target.find('?'));
  }
  /// The value of a query parameter, empty if absent. Not percent-decoded.
  std::string_view query(std::string_view Name) const;
};

/// Status code and header fields of a response.
struct ResponseHead {
  unsigned Status = 0;
  Headers Fields;
  /// The body has neither a length nor chunks: it ends with the connection.
  bool EndsWithConnection = false;

  /// The value of the first field named \p Name, empty if absent.
  std::string_view header(std::string_view Name) const {
    return headerValue(Fields, Name);
  }
};

/// An IP address and a port.
struct Endpoint {
  std::string Address;
  uint16_t Port = 0;

  /// Parses "ip:port"; throws std::invalid_argument on anything else.
  static Endpoint parse(std::string_view Text);
  std::string text() const { return Address + ":" + std::to_string(Port); }
  bool operator==(const Endpoint &) const = default;
};

} // namespace goldcrestlink::http

#endif // GOLDCRESTLINK_HTTP_MESSAGE_H
